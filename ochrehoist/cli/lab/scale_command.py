"""`ochrehoist lab scale`: hundreds of hollow workers beside real ones."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

from ochrehoist.cli.common import ExitCode, fail, handles_errors
from ochrehoist.cli.lab.common import MISSING_LIBRARIES

if TYPE_CHECKING:
    from collections.abc import Callable

    from ochrehoist.lab.scale.spec import FaultKind, ScaleSpec

CALIBRATION_WORKERS = 20  # hollow ones, and as many real ones
NO_FAULTS = "none"
ENDED_COMPLETE = "whole"  # the word of a result that was not broken off

RunRecord = dict[str, Any]  # as the result file has it


@handles_errors
def _handles_scale_errors(error: BaseException) -> None:
    """Ends the command with a line for each fault that can be named."""
    if isinstance(error, ModuleNotFoundError):
        fail(MISSING_LIBRARIES, ExitCode.INVALID_INPUT)
    from ochrehoist.lab.errors import InvalidRunError, RunAbortedError

    if isinstance(error, InvalidRunError):
        fail(str(error), ExitCode.INVALID_INPUT)
    if isinstance(error, (RunAbortedError, OSError)):
        fail(str(error), ExitCode.FAILED)
    if isinstance(error, KeyboardInterrupt):
        fail("broken off; all processes of the run are ended", ExitCode.FAILED)


def _parse_numbers(_context: click.Context, _option: click.Parameter, value: str) -> list[int]:
    try:
        return [int(number) for number in value.split(",")]
    except ValueError:
        message = f"not whole numbers with commas between: {value!r}"
        raise click.BadParameter(message) from None


def _parse_faults(text: str) -> tuple[FaultKind, ...]:
    from ochrehoist.lab.scale.spec import FaultKind

    words = [] if text == NO_FAULTS else text.split(",")
    if set(words) - set(FaultKind):
        fail(f"--faults: there are {', '.join(FaultKind)}", ExitCode.INVALID_INPUT)
    return tuple(FaultKind(word) for word in words)


def _read_results(path: Path) -> list[RunRecord]:
    try:
        runs: list[RunRecord] = json.loads(path.read_text())["runs"]
    except (OSError, ValueError, KeyError, TypeError) as error:
        fail(f"{path}: not the results of scale runs: {error}", ExitCode.INVALID_INPUT)
    return runs


def _write_results(path: Path, runs: Sequence[RunRecord]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps({"what": "scale", "runs": runs}, indent=1))


@click.command(epilog="Example: ochrehoist lab scale --members 20,50,100 --changes 3 --json found/scale.json")
@click.option(
    "--members",
    "sizes",
    default="20",
    show_default=True,
    callback=_parse_numbers,
    help="Workers of the group, real ones counted; several sizes with commas between.",
)
@click.option("--tenants", default=3, show_default=True, type=click.IntRange(1))
@click.option("--routes", default=3, show_default=True, type=click.IntRange(1))
@click.option(
    "--changes",
    default=0,
    show_default=True,
    type=click.IntRange(0),
    help="Of configuration, each read by all while the faults last.",
)
@click.option("--regions", default=3, show_default=True, type=click.IntRange(1, 8))
@click.option(
    "--real",
    default=0,
    show_default=True,
    type=click.IntRange(0),
    help="Of the members, processes of the program itself.",
)
@click.option(
    "--check",
    "calibrate",
    is_flag=True,
    help=f"Compare {CALIBRATION_WORKERS} hollow with {CALIBRATION_WORKERS} real workers instead.",
)
@click.option(
    "--seed",
    "seeds",
    default="1",
    show_default=True,
    callback=_parse_numbers,
    help="Several with commas between.",
)
@click.option("--seconds", default=10.0, show_default=True, help="At rest, of the workers' clocks.")
@click.option(
    "--pace",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.001, 1),
    help="Speed of the workers' clocks: below 1 where the cores do not bear so many.",
)
@click.option(
    "--uses",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0),
    help="Requests a second that each hollow worker is told of.",
)
@click.option(
    "--faults",
    "fault_text",
    default="rack,zone,region,restart",
    show_default=True,
    help="With commas between; or none.",
)
@click.option("--lasts", default=5.0, show_default=True, help="s of a cut, of the workers' clocks.")
@click.option("--met", is_flag=True, help="Begin as if all had heard of all: without the joining.")
@click.option("--settle", "settle_s", default=3.0, show_default=True, help="s before what is at rest counts.")
@click.option("--join", "join_s", default=60.0, show_default=True, help="s at the most until all know all.")
@click.option("--heal", "heal_s", default=60.0, show_default=True, help="s at the most after a fault.")
@click.option("--limit", "limit_s", default=300.0, show_default=True, help="s of wall time for each run.")
@click.option(
    "--most-memory",
    "most_memory_mb",
    type=float,
    metavar="MB",
    help="Less than half of the machine's memory, which is the bound in any case.",
)
@click.option("--most-processes", default=300, show_default=True, type=click.IntRange(1, 300))
@click.option(
    "--json",
    "json_path",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Add the results to this file.",
)
@click.option(
    "--html", "html_path", type=click.Path(path_type=Path, dir_okay=False), help="Write a page with plots."
)
@click.option(
    "--against",
    "other_path",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Show the slopes of this result beside.",
)
@click.option(
    "--tree", "tree", type=click.Path(path_type=Path, file_okay=False), help="Run the workers of this tree."
)
@_handles_scale_errors
def scale(
    sizes: list[int],
    seeds: list[int],
    calibrate: bool,
    fault_text: str,
    json_path: Path | None,
    html_path: Path | None,
    other_path: Path | None,
    tree: Path | None,
    **spec_options: Any,
) -> None:
    """Run hundreds of hollow workers in one group: what each costs, and what faults move.

    Ends with 1 where a run was broken off by its bounds.
    """
    from ochrehoist.lab.scale import report
    from ochrehoist.lab.scale.spec import ScaleSpec
    from ochrehoist.lab.worker_process import ROOT

    faults = _parse_faults(fault_text)
    other_runs = _read_results(other_path) if other_path is not None else None
    runs = _read_results(json_path) if json_path is not None and json_path.exists() else []
    if calibrate:
        sizes = [2 * CALIBRATION_WORKERS]
        spec_options["real"] = CALIBRATION_WORKERS
    specs = [
        ScaleSpec(members=members, seed=seed, faults=faults, **spec_options)
        for members in sizes
        for seed in seeds
    ]
    new_runs = []
    for record in _execute(specs, (tree or ROOT).absolute(), calibrate):
        new_runs.append(record)
        runs.append(record)
        if json_path is not None:
            _write_results(json_path, runs)
        _print_lines(report.run_lines(record))
    _print_summary(runs, other_runs, calibrate)
    if html_path is not None:
        origin = f"ochrehoist lab scale, {runs[-1]['date']}, version {runs[-1]['version']}"
        html_path.write_text(report.html_page(runs, origin, other_runs))
    _exit(all(record["ended"] == ENDED_COMPLETE for record in new_runs))


def _execute(specs: Sequence[ScaleSpec], root: Path, calibrate: bool) -> Iterator[RunRecord]:
    """The record of each run, one after the other, with a bar of progress over all."""
    from ochrehoist.lab.scale.calibration import run_calibration
    from ochrehoist.lab.scale.run import ScaleRun

    with _progress_bar(len(specs)) as report_progress:
        for number, spec in enumerate(specs):

            def report_share(share: float, what: str, number: int = number, spec: ScaleSpec = spec) -> None:
                report_progress(number + share, f"{spec.members} members: {what}")

            if calibrate:
                yield run_calibration(spec, root, report_share)
            else:
                yield ScaleRun(spec, root).run(report_share)


@contextmanager
def _progress_bar(run_count: int) -> Iterator[Callable[[float, str], None]]:
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("scale", total=float(run_count))
        yield lambda done, what: progress.update(task, completed=done, description=what)


def _print_lines(lines: Sequence[str]) -> None:
    for line in lines:
        click.echo(line)


def _print_summary(
    runs: Sequence[RunRecord], other_runs: Sequence[RunRecord] | None, calibrate: bool
) -> None:
    """What all runs make together, and beside those of another result."""
    from ochrehoist.lab.scale import report
    from ochrehoist.lab.scale.slopes import comparison, slopes

    if not calibrate:
        _print_lines(report.calibration_lines(runs))
    _print_lines(report.slope_lines(slopes(runs)))
    if other_runs is None:
        return
    _, heads, rows = comparison(runs, other_runs)
    for row in (heads, *rows):
        click.echo("  ".join(_format_cell(cell) for cell in row))


def _format_cell(cell: Any) -> str:
    if cell is None:
        return "-"
    return f"{cell:.4g}" if isinstance(cell, float) else str(cell)


def _exit(complete: bool) -> NoReturn:
    raise click.exceptions.Exit(ExitCode.OK if complete else ExitCode.FAILED)
