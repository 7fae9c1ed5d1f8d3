"""`ochrehoist plan`: what a fleet can carry. Its libraries are those of the extra `plan`, loaded on use."""

import click

from ochrehoist.cli.plan.breaks_command import breaks
from ochrehoist.cli.plan.check_command import check
from ochrehoist.cli.plan.compare_command import compare
from ochrehoist.cli.plan.fit_command import fit
from ochrehoist.cli.plan.forecast_command import forecast
from ochrehoist.cli.plan.lose_command import lose
from ochrehoist.cli.plan.measure_command import measure
from ochrehoist.cli.plan.restart_command import restart
from ochrehoist.cli.plan.size_command import size


@click.group()
def plan() -> None:
    """Work out what breaks first, how many machines a goal needs, and what a lost site does."""


for command in (check, forecast, fit, breaks, size, lose, restart, measure, compare):
    plan.add_command(command)
