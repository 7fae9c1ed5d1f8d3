"""`ochrehoist plan forecast`."""

from pathlib import Path

import click

from ochrehoist.cli.plan.options import (
    fleet_argument,
    handles_planner_errors,
    load_fleet,
    run_options,
    seed_numbers,
)
from ochrehoist.cli.plan.output import progress_bar, show_answer, unfinished_notes
from ochrehoist.cli.plan.tables import forecast_tables


@click.command("forecast", epilog="Example: ochrehoist plan forecast deploy/fleet.toml --demand 1.05")
@fleet_argument
@click.option(
    "--capture",
    "capture_paths",
    multiple=True,
    type=click.Path(path_type=Path),
    metavar="FILE",
    help="Play what was recorded (files or folders) instead of the described load.",
)
@run_options
@handles_planner_errors
def forecast(
    fleet_path: Path, capture_paths: tuple[Path, ...], seed_count: int, duration_s: float, jobs: int
) -> None:
    """Goodput by class, tenant and worker, with ranges over the seeds."""
    from ochrehoist.capture.reader import read_capture
    from ochrehoist.plan import forecast as planner

    fleet = load_fleet(fleet_path)
    seeds = seed_numbers(seed_count)
    notes: list[str] = []
    with progress_bar() as progress:
        if capture_paths:
            capture = read_capture(capture_paths)
            notes = capture.warnings()
            answer = planner.forecast_of_capture(fleet, capture, seeds, jobs, progress)
        else:
            answer = planner.forecast(fleet, seeds, duration_s, jobs, progress)
    show_answer(
        "forecast",
        f"What {fleet.name} would serve",
        answer,
        forecast_tables(fleet, answer),
        notes + unfinished_notes(answer["seeds"], seed_count),
    )
