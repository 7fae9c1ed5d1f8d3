"""`ochrehoist plan breaks`."""

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
from ochrehoist.cli.plan.tables import breaking_point_tables

MAX_FIRST_DEMAND = 0.5  # of the capacity


@click.command("breaks", epilog="Example: ochrehoist plan breaks deploy/fleet.toml --to 1.6")
@fleet_argument
@click.option(
    "--to", "last_demand", default=1.5, show_default=True, help="The last step, as a share of the capacity."
)
@click.option("--steps", "step_count", default=6, show_default=True, type=click.IntRange(2, 50))
@run_options
@handles_planner_errors
def breaks(
    fleet_path: Path, last_demand: float, step_count: int, seed_count: int, duration_s: float, jobs: int
) -> None:
    """Raise the load step by step; which limit binds first, where, and what is next once it is lifted."""
    from ochrehoist.plan.breaking_point import find_breaking_point

    fleet = load_fleet(fleet_path)
    first_demand = min(MAX_FIRST_DEMAND, last_demand / 2)
    factors = [
        (first_demand + (last_demand - first_demand) * step / (step_count - 1)) / fleet.demand
        for step in range(step_count)
    ]
    with progress_bar() as progress:
        answer = find_breaking_point(fleet, factors, seed_numbers(seed_count), duration_s, jobs, progress)
    show_answer(
        "breaks",
        f"What breaks first in {fleet.name}",
        answer,
        breaking_point_tables(fleet, answer),
        unfinished_notes(len(answer["steps"]), step_count, "steps"),
    )
