"""`ochrehoist plan compare`."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from ochrehoist.cli.plan.options import (
    UsageProblemError,
    handles_planner_errors,
    load_fleet,
    run_options,
    seed_numbers,
)
from ochrehoist.cli.plan.output import progress_bar, show_answer, unfinished_notes
from ochrehoist.cli.plan.tables import (
    capture_comparison_tables,
    fleet_comparison_tables,
    forecasts_of_captures_table,
)

if TYPE_CHECKING:
    from ochrehoist.plan.forecast import Forecast


@click.command(
    "compare",
    epilog="Examples: ochrehoist plan compare today.toml tomorrow.toml --seeds 6; "
    "ochrehoist plan compare load/monday load/tuesday --on deploy/fleet.toml",
)
@click.argument("path_a", metavar="A", type=click.Path(path_type=Path))
@click.argument("path_b", metavar="B", type=click.Path(path_type=Path))
@click.option(
    "--on",
    "fleet_path",
    type=click.Path(path_type=Path),
    metavar="FLEET",
    help="Two captures: also what this fleet would make of each.",
)
@run_options
@handles_planner_errors
def compare(
    path_a: Path, path_b: Path, fleet_path: Path | None, seed_count: int, duration_s: float, jobs: int
) -> None:
    """Two fleets, or two captures (files or folders), side by side, with the interval of their difference."""
    from ochrehoist.capture.records import FILE_SUFFIX

    are_captures = [path.is_dir() or path.suffix == FILE_SUFFIX for path in (path_a, path_b)]
    if all(are_captures):
        _compare_captures(path_a, path_b, fleet_path, seed_count, jobs)
    elif any(are_captures) or fleet_path is not None:
        raise UsageProblemError.not_comparable()
    else:
        _compare_fleets(path_a, path_b, seed_count, duration_s, jobs)


def _compare_fleets(path_a: Path, path_b: Path, seed_count: int, duration_s: float, jobs: int) -> None:
    from ochrehoist.plan.fleet_comparison import compare_fleets

    fleet_a = load_fleet(path_a)
    fleet_b = load_fleet(path_b)
    with progress_bar() as progress:
        answer = compare_fleets(fleet_a, fleet_b, seed_numbers(seed_count), duration_s, jobs, progress)
    show_answer(
        "compare",
        f"{path_a} and {path_b}",
        answer,
        fleet_comparison_tables(path_a, path_b, answer),
        unfinished_notes(answer["seeds"], seed_count),
    )


def _compare_captures(
    path_a: Path, path_b: Path, fleet_path: Path | None, seed_count: int, jobs: int
) -> None:
    from ochrehoist.capture.reader import read_capture
    from ochrehoist.plan.capture_comparison import compare_captures
    from ochrehoist.plan.forecast import forecast_of_capture

    paths = (path_a, path_b)
    captures = [read_capture([path]) for path in paths]
    changes = [change.values() for change in compare_captures(captures[0], captures[1])]
    tables = capture_comparison_tables(changes)
    forecasts: list[Forecast] = []
    if fleet_path is not None:
        fleet = load_fleet(fleet_path)
        with progress_bar() as progress:
            forecasts = [
                forecast_of_capture(fleet, capture, seed_numbers(seed_count), jobs, progress)
                for capture in captures
            ]
        tables.append(forecasts_of_captures_table(fleet_path, paths, forecasts))
    notes = [
        f"{path}: {line}"
        for path, capture in zip(paths, captures, strict=True)
        for line in capture.warnings()
    ]
    show_answer("captures", f"{path_a} and {path_b}", {"figures": changes, "on": forecasts}, tables, notes)
