"""`ochrehoist plan fit`."""

from pathlib import Path

import click

from ochrehoist.cli.plan.options import handles_planner_errors, output_options
from ochrehoist.cli.plan.output import show_answer
from ochrehoist.cli.plan.tables import fit_tables


@click.command("fit", epilog="Example: ochrehoist plan fit /var/lib/ochrehoist-load")
@click.argument(
    "capture_paths", metavar="CAPTURE...", nargs=-1, required=True, type=click.Path(path_type=Path)
)
@output_options
@handles_planner_errors
def fit(capture_paths: tuple[Path, ...]) -> None:
    """What recorded load tells of speeds, the crowd, reading, popularity and repeats, with intervals."""
    from ochrehoist.capture.reader import read_capture
    from ochrehoist.plan.fit import estimate_all

    capture = read_capture(capture_paths)
    estimates = [estimate.values() for estimate in estimate_all(capture)]
    show_answer(
        "fit",
        "What the recorded load tells",
        {"estimates": estimates},
        fit_tables(capture, estimates),
        capture.warnings(),
    )
