"""`ochrehoist lab`: runs of real workers with faults between them. Its libraries are loaded on use."""

import click

from ochrehoist.cli.lab.drill_commands import drill, rolling
from ochrehoist.cli.lab.scale_command import scale
from ochrehoist.cli.lab.scenario_commands import list_scenarios, play, sweep
from ochrehoist.cli.lab.virtual_commands import orders, seeds, sites


@click.group()
def lab() -> None:
    """Real workers on this machine, every link through a relay, with faults between them."""


for command in (scale, list_scenarios, play, sweep, seeds, sites, drill, rolling, orders):
    lab.add_command(command)
