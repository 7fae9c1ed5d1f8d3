"""`ochrehoist plan lose`."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ochrehoist.cli.plan.options import (
    UsageProblemError,
    fleet_argument,
    handles_planner_errors,
    load_fleet,
    run_options,
    seed_numbers,
)
from ochrehoist.cli.plan.output import progress_bar, show_answer, unfinished_notes
from ochrehoist.cli.plan.tables import site_loss_tables

if TYPE_CHECKING:
    from ochrehoist.config.fleet_description import Fleet
    from ochrehoist.plan.site_loss import SiteLossForecast

MIN_LOST_AT_S = 6
MIN_REST_S = 5  # of each run, after the loss or the return


@click.command("lose", epilog="Example: ochrehoist plan lose deploy/fleet.toml antwerp --back 25")
@fleet_argument
@click.argument("site")
@click.option("--at", "lost_at", default=12.0, show_default=True, help="Second at which it is lost.")
@click.option("--back", "back_at", type=float, help="Second at which it returns, cold; without it, never.")
@click.option(
    "--write",
    "playbook_path",
    metavar="FILE",
    type=click.Path(path_type=Path),
    help="Write the playbook for every site that may be lost, with this forecast.",
)
@run_options
@handles_planner_errors
def lose(
    fleet_path: Path,
    site: str,
    lost_at: float,
    back_at: float | None,
    playbook_path: Path | None,
    seed_count: int,
    duration_s: float,
    jobs: int,
) -> None:
    """What the loss of a data centre does, and whether the rest recovers."""
    from ochrehoist.plan.site_loss import forecast_site_loss

    fleet = load_fleet(fleet_path)
    last = duration_s - MIN_REST_S
    if not MIN_LOST_AT_S < lost_at < last or (back_at is not None and not lost_at < back_at < last):
        raise UsageProblemError.outage_out_of_range()
    with progress_bar() as progress:
        answer = forecast_site_loss(
            fleet, site, lost_at, back_at, seed_numbers(seed_count), duration_s, jobs, progress
        )
    if playbook_path is not None:
        _write_playbook(fleet, answer, playbook_path)
    show_answer(
        "lose",
        f"What losing {site} does to {fleet.name}",
        answer,
        site_loss_tables(answer),
        unfinished_notes(answer["seeds"], seed_count),
    )


def _write_playbook(fleet: Fleet, answer: SiteLossForecast, path: Path) -> None:
    """By queueing theory alone, beside what the simulation makes of this site's loss without it."""
    from ochrehoist.plan.playbook import make_playbook
    from ochrehoist.sites.playbook_codec import parse
    from ochrehoist.sites.playbook_text import render

    playbook, notes = make_playbook(fleet, int(time.time()))
    during = answer["during"]
    half = "" if during["half"] is None else f" ±{during['half']:.2f}"
    notes[answer["site"]] += (
        f"\nWithout a playbook the events give {during['mean']:.2f}{half} of the worth "
        f"meanwhile, {answer['worst_second']:.2f} in the worst second."
    )
    text = render(playbook, notes)
    parse(text, [each.name for each in fleet.classes])  # what is written can be read
    path.write_text(text)
    sites = ", ".join(loss.site for loss in playbook.losses)
    click.echo(f"{path}: playbook {playbook.digest} for the loss of {sites}", err=True)
