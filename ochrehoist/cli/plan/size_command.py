"""`ochrehoist plan size`."""

from pathlib import Path

import click

from ochrehoist.cli.plan.options import (
    UsageProblemError,
    fleet_argument,
    handles_planner_errors,
    load_fleet,
    run_options,
    seed_numbers,
)
from ochrehoist.cli.plan.output import progress_bar, show_answer
from ochrehoist.cli.plan.tables import size_tables


@click.command("size", epilog="Example: ochrehoist plan size deploy/fleet.toml --kind small-node --goal 0.95")
@fleet_argument
@click.option("--kind", required=True, help="The kind of machine to count.")
@click.option("--goal", default=0.95, show_default=True, help="Share of the worth that is to be served.")
@run_options
@handles_planner_errors
def size(fleet_path: Path, kind: str, goal: float, seed_count: int, duration_s: float, jobs: int) -> None:
    """The smallest number of machines for a goal, and with a margin for one that is lost."""
    from ochrehoist.plan.sizing import find_size

    fleet = load_fleet(fleet_path)
    kinds = sorted(each.name for each in fleet.kinds)
    if kind not in kinds:
        raise UsageProblemError.unknown_kind(kind, kinds)
    with progress_bar() as progress:
        answer = find_size(fleet, kind, goal, seed_numbers(seed_count), duration_s, jobs, progress)
    show_answer("size", f"How many {kind} {fleet.name} needs", answer, size_tables(fleet, answer))
