"""`ochrehoist plan check`."""

from pathlib import Path

import click

from ochrehoist.cli.plan.options import fleet_argument, handles_planner_errors, load_fleet


@click.command("check", epilog="Example: ochrehoist plan check deploy/fleet.toml")
@fleet_argument
@handles_planner_errors
def check(fleet_path: Path) -> None:
    """Read the description of a fleet and say what is wrong, by the name of its key."""
    fleet = load_fleet(fleet_path)
    counts = {
        site.name: sum(worker.site == site.name for worker in fleet.placed_workers) for site in fleet.sites
    }
    placed = ", ".join(f"{name} {count}" for name, count in counts.items())
    click.echo(
        f"{fleet_path}: good; {len(fleet.placed_workers)} workers ({placed}), "
        f"{len(fleet.placed_routers)} routers; "
        f"{fleet.load.rate:g} calls a second are {fleet.demand:.0%} of the capacity"
    )
