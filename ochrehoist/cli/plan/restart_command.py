"""`ochrehoist plan restart`."""

from pathlib import Path

import click

from ochrehoist.cli.plan.options import (
    demand_option,
    fleet_argument,
    handles_planner_errors,
    load_fleet,
    output_options,
    seed_numbers,
)
from ochrehoist.cli.plan.output import progress_bar, show_answer
from ochrehoist.cli.plan.tables import restart_tables


@click.command("restart", epilog="Example: ochrehoist plan restart deploy/fleet.toml --goal 0.95 --down 3")
@fleet_argument
@click.option("--goal", default=0.95, show_default=True, help="Of the worth served before, kept meanwhile.")
@click.option(
    "--down",
    "down_s",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help="s for which a worker that restarts is gone.",
)
@demand_option
@click.option("--seeds", "seed_count", default=3, show_default=True, type=click.IntRange(1, 100))
@click.option("--jobs", default=4, show_default=True, type=click.IntRange(1, 64))
@output_options
@handles_planner_errors
def restart(fleet_path: Path, goal: float, down_s: float, seed_count: int, jobs: int) -> None:
    """How many workers may restart at once at this load, sites in turn."""
    from ochrehoist.plan.rolling_restart import find_concurrent_restarts

    fleet = load_fleet(fleet_path)
    with progress_bar() as progress:
        answer = find_concurrent_restarts(fleet, goal, down_s, seed_numbers(seed_count), jobs, progress)
    title = f"How many of {fleet.name} may restart at once"
    show_answer("restart", title, answer, restart_tables(fleet, answer))
