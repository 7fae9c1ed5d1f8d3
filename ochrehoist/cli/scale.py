"""`ochrehoist lab scale`: hundreds of hollow workers beside real ones."""

import json
from pathlib import Path
from typing import Any

import click

from ochrehoist.cli.common import NO, WRONG, end, stops

CHECK = 20  # hollow ones, and as many real ones


def _told(error: BaseException) -> None:
    if isinstance(error, ModuleNotFoundError):
        end("the laboratory's libraries are missing: install them by `pip install 'ochrehoist[plan]'`", WRONG)
    from ochrehoist.lab.errors import InvalidRunError, RunAbortedError

    if isinstance(error, InvalidRunError):
        end(str(error), WRONG)
    if isinstance(error, RunAbortedError | OSError):
        end(str(error), NO)
    if isinstance(error, KeyboardInterrupt):
        end("broken off; all processes of the run are ended", NO)


def _numbers(ctx: click.Context, param: click.Parameter, value: str) -> list[int]:
    try:
        return [int(n) for n in value.split(",")]
    except ValueError:
        raise click.BadParameter(f"not whole numbers with commas between: {value!r}") from None


def _runs(path: Path) -> list[dict[str, Any]]:
    try:
        return json.loads(path.read_text())["runs"]
    except (OSError, ValueError, KeyError, TypeError) as error:
        end(f"{path}: not the results of scale runs: {error}", WRONG)
        raise


@click.command(epilog="Example: ochrehoist lab scale --members 20,50,100 --changes 3 --json found/scale.json")
@click.option(
    "--members",
    default="20",
    show_default=True,
    callback=_numbers,
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
@click.option("--check", is_flag=True, help=f"Compare {CHECK} hollow with {CHECK} real workers instead.")
@click.option(
    "--seed", "seeds", default="1", show_default=True, callback=_numbers, help="Several with commas between."
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
    "--faults", default="rack,zone,region,restart", show_default=True, help="With commas between; or none."
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
    "--json", "out", type=click.Path(path_type=Path, dir_okay=False), help="Add the results to this file."
)
@click.option("--html", type=click.Path(path_type=Path, dir_okay=False), help="Write a page with plots.")
@click.option(
    "--against",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Show the slopes of this result beside.",
)
@click.option(
    "--tree", type=click.Path(path_type=Path, file_okay=False), help="Run the workers of this tree."
)
@click.pass_context
@stops(_told)
def scale(
    ctx: click.Context,
    members: list[int],
    seeds: list[int],
    check: bool,
    faults: str,
    out: Path | None,
    html: Path | None,
    against: Path | None,
    tree: Path | None,
    **spec: Any,
) -> None:
    """Run hundreds of hollow workers in one group: what each costs, and what faults move.

    Ends with 1 where a run was broken off by its bounds."""
    from rich.console import Console
    from rich.progress import Progress

    from ochrehoist.lab.scale import report
    from ochrehoist.lab.scale.calibration import run_calibration
    from ochrehoist.lab.scale.run import ScaleRun
    from ochrehoist.lab.scale.slopes import comparison, slopes
    from ochrehoist.lab.scale.spec import FaultKind, ScaleSpec
    from ochrehoist.lab.worker_process import ROOT

    words = [] if faults == "none" else faults.split(",")
    if set(words) - set(FaultKind):
        end(f"--faults: there are {', '.join(FaultKind)}", WRONG)
    kinds = tuple(FaultKind(word) for word in words)
    other = _runs(against) if against is not None else None
    runs = _runs(out) if out is not None and out.exists() else []
    new = []
    if check:
        members, spec["real"] = [2 * CHECK], CHECK
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("scale", total=float(len(members) * len(seeds)))
        for n, (count, seed) in enumerate((m, x) for m in members for x in seeds):

            def tell(share: float, what: str, n: int = n, count: int = count) -> None:
                progress.update(task, completed=n + share, description=f"{count} members: {what}")

            one = ScaleSpec(members=count, seed=seed, faults=kinds, **spec)
            root = (tree or ROOT).absolute()
            new.append(run_calibration(one, root, tell) if check else ScaleRun(one, root).run(tell))
            runs.append(new[-1])
            if out is not None:
                out.parent.mkdir(parents=True, exist_ok=True)
                out.write_text(json.dumps({"what": "scale", "runs": runs}, indent=1))
            for line in report.run_lines(new[-1]):
                click.echo(line)
    if not check:
        for line in report.calibration_lines(runs):
            click.echo(line)
    for line in report.slope_lines(slopes(runs)):
        click.echo(line)
    if other is not None:
        _, heads, rows = comparison(runs, other)
        for row in [heads, *rows]:
            click.echo(
                "  ".join("-" if x is None else f"{x:.4g}" if isinstance(x, float) else str(x) for x in row)
            )
    if html is not None:
        made = f"ochrehoist lab scale, {runs[-1]['date']}, version {runs[-1]['version']}"
        html.write_text(report.html_page(runs, made, other))
    ctx.exit(0 if all(r["ended"] == "whole" for r in new) else NO)
