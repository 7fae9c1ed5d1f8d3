"""`ochrehoist lab drill` and `rolling`: losses and restarts in a small copy of a fleet, with real workers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ochrehoist.cli.common import ExitCode, fail
from ochrehoist.cli.lab.common import (
    exit_by_violations,
    handles_lab_errors,
    load_scenario,
    print_violations,
    progress_bar,
    silence_asyncio,
)

if TYPE_CHECKING:
    from ochrehoist.lab.scenario import Scenario


@click.command("drill")
@click.argument("site")
@click.option(
    "--fleet",
    "fleet_path",
    type=click.Path(path_type=Path),
    help="The fleet's description, as for `plan`.",
)
@click.option("--scenario", "scenario_name", type=click.Path(), help="Or a scenario of the laboratory.")
@click.option(
    "--workers",
    "worker_count",
    default=6,
    show_default=True,
    type=click.IntRange(2, 12),
    help="Real workers that stand for the fleet's, sites in proportion.",
)
@click.option("--lasts", "duration_s", default=8.0, show_default=True, help="s that the site is gone.")
@click.option("--seed", default=1, show_default=True)
@click.option("--html", "html_path", type=click.Path(path_type=Path), help="Write a page to this file.")
@handles_lab_errors
def drill(
    site: str,
    fleet_path: Path | None,
    scenario_name: str | None,
    worker_count: int,
    duration_s: float,
    seed: int,
    html_path: Path | None,
) -> None:
    """Play the loss of SITE with real workers, beside what figures alone foretell."""
    from ochrehoist.lab import drill as drills
    from ochrehoist.lab.scenario_runner import ScenarioRun

    silence_asyncio()
    scenario = _drill_scenario(site, fleet_path, scenario_name, worker_count, duration_s)
    forecast = drills.forecast(scenario, site)
    run = ScenarioRun(scenario, seed)
    with progress_bar(scenario.name, 1.0) as report_progress:
        record = run.run(report_progress)
    rows = drills.compare(scenario, site, forecast, run.calls, record)
    for name, expected, measured, note in rows:
        click.echo(f"{name:34} {expected:>12} {measured:>12}  {note}")
    print_violations(record)
    if html_path is not None:
        html_path.write_text(_drill_page(site, rows, record))
    exit_by_violations(len(record["broken"]))


def _drill_scenario(
    site: str, fleet_path: Path | None, scenario_name: str | None, worker_count: int, duration_s: float
) -> Scenario:
    """A scenario made from a fleet's description, or one of the laboratory's."""
    from ochrehoist.config.fleet_description import load
    from ochrehoist.lab.drill import site_loss_scenario

    if (fleet_path is None) == (scenario_name is None):
        fail("name --fleet or --scenario, and not both", ExitCode.INVALID_INPUT)
    if scenario_name is not None:
        return load_scenario(scenario_name)
    assert fleet_path is not None  # the other one of the two
    return site_loss_scenario(load(fleet_path), site, worker_count, duration_s)


def _drill_page(site: str, rows: Sequence[Sequence[Any]], record: Mapping[str, Any]) -> str:
    from ochrehoist.plan.report import page

    tables = [
        ("Foretold and measured", ["", "foretold", "measured", "where they differ"], rows),
        ("What workers knew", ["s", "worker", "site", "state", "why"], record["known"]),
        ("What was done", ["s", "event"], record["events"]),
    ]
    title = f"Drill: the loss of {site}"
    return page("play", title, f"ochrehoist lab drill {site}", record, tables, record["broken"])


@click.command("rolling")
@click.option("--fleet", "fleet_path", required=True, type=click.Path(path_type=Path), help="As for `plan`.")
@click.option("--workers", "worker_count", default=6, show_default=True, type=click.IntRange(2, 12))
@click.option("--at-once", default=1, show_default=True, type=click.IntRange(1, 11))
@click.option("--down", "down_s", default=1.0, show_default=True, help="s between an end and the next start.")
@click.option("--seed", default=1, show_default=True)
@handles_lab_errors
def rolling(fleet_path: Path, worker_count: int, at_once: int, down_s: float, seed: int) -> None:
    """Restart all of a small fleet of real workers, so many at once, and say what callers got."""
    from ochrehoist.config.fleet_description import load
    from ochrehoist.lab.drill import LOSS_AT_S, rolling_restart_scenario
    from ochrehoist.lab.scenario_runner import ScenarioRun

    silence_asyncio()
    scenario = rolling_restart_scenario(load(fleet_path), worker_count, at_once, down_s)
    with progress_bar(scenario.name, 1.0) as report_progress:
        record = ScenarioRun(scenario, seed).run(report_progress)
    during = [goodput for second, goodput in record["seconds"] if LOSS_AT_S <= second < scenario.seconds]
    click.echo(
        f"{at_once} of {scenario.workers} at once: before {record['goodput']['quiet']['all']:.3f}, meanwhile "
        f"{sum(during) / len(during):.3f}, worst second {min(during):.2f}, "
        f"{record['tries_per_call']:.2f} tries a call, {len(record['broken'])} rules broken"
    )
    print_violations(record)
    exit_by_violations(len(record["broken"]))
