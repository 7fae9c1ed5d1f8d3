"""`ochrehoist plan measure`."""

from pathlib import Path

import click

from ochrehoist.cli.common import ExitCode, fail
from ochrehoist.cli.plan.options import (
    demand_option,
    fleet_argument,
    handles_planner_errors,
    load_fleet,
    output_options,
)
from ochrehoist.cli.plan.output import progress_bar, show_answer
from ochrehoist.cli.plan.tables import measurement_tables

MAX_LATE_P99_MS = 50.0  # by which a measurement's calls may begin late


@click.command("measure", epilog="Example: ochrehoist plan measure small.toml --demand 1.05 --seconds 25")
@fleet_argument
@demand_option
@click.option("--seconds", "duration_s", default=25.0, show_default=True, type=click.FloatRange(12, 600))
@click.option("--seed", default=1, show_default=True)
@click.option("--lose", "lost_site", metavar="SITE", help="A site that is lost at the middle.")
@click.option(
    "--record",
    "record_folder",
    metavar="FOLDER",
    type=click.Path(path_type=Path),
    help="The workers record there what they saw, for fit, forecast and compare.",
)
@output_options
@handles_planner_errors
def measure(
    fleet_path: Path, duration_s: float, seed: int, lost_site: str | None, record_folder: Path | None
) -> None:
    """Start real workers on stand-in machines, play the load in real time, and set it beside the forecast."""
    from ochrehoist.plan import measurement
    from ochrehoist.plan.errors import MeasurementError

    fleet = load_fleet(fleet_path)
    try:
        with progress_bar() as progress:
            answer = measurement.measure(fleet, seed, duration_s, lost_site, progress, record_folder)
    except MeasurementError as error:
        fail(str(error), ExitCode.FAILED)
    show_answer(
        "measure",
        f"Real workers beside the forecast, {fleet.demand:.0%} of the capacity",
        answer,
        measurement_tables(fleet, answer),
        _busy_machine_notes(answer["late_p99_ms"]),
    )


def _busy_machine_notes(late_p99_ms: float) -> list[str]:
    if late_p99_ms <= MAX_LATE_P99_MS:
        return []
    return [f"this machine was too busy: calls began {late_p99_ms:.0f} ms late (p99); measure again"]
