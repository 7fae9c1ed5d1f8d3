"""`ochrehoist lab seeds`, `sites` and `orders`: the fleet's pure parts in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, TypeVar

import click

from ochrehoist.cli.common import ExitCode
from ochrehoist.cli.lab.common import exit_by_violations, handles_lab_errors, progress_bar

Command = TypeVar("Command", bound=Callable[..., Any])

SEEDS_PER_TASK = 8
SITE_SEEDS_PER_TASK = 4


def _seed_options(command: Command) -> Command:
    """Which seeds are run, and on how many processes."""
    command = click.option("--jobs", default=4, show_default=True)(command)
    command = click.option("--first", default=0, show_default=True)(command)
    return click.option("--count", default=1000, show_default=True)(command)


@click.command("seeds")
@_seed_options
@handles_lab_errors
def seeds(count: int, first: int, jobs: int) -> None:
    """Seeded schedules of faults for the fleet's pure parts, on virtual time."""
    from ochrehoist.lab.virtual.budget_sweep import check_seed

    violated = 0
    uses = 0
    with progress_bar("schedules", count) as report_progress, ProcessPoolExecutor(jobs) as pool:
        results = pool.map(check_seed, range(first, first + count), chunksize=SEEDS_PER_TASK)
        for done, result in enumerate(results, 1):
            report_progress(done)
            uses += result.use_count
            if result.violation is not None:
                violated += 1
                click.echo(f"seed {result.seed}: {result.violation}")
    click.echo(f"{count} schedules, {uses} uses of budgets, {violated} broken")
    exit_by_violations(violated)


@click.command("sites")
@_seed_options
@handles_lab_errors
def sites(count: int, first: int, jobs: int) -> None:
    """Seeded losses, cuts, pauses and evacuations of sites, on virtual time: missed, invented, at once."""
    from ochrehoist.lab.virtual.site_fault_sweep import check_seed

    violated = 0
    losses = 0
    detection_times_s: list[float] = []
    with progress_bar("schedules", count) as report_progress, ProcessPoolExecutor(jobs) as pool:
        results = pool.map(check_seed, range(first, first + count), chunksize=SITE_SEEDS_PER_TASK)
        for done, result in enumerate(results, 1):
            report_progress(done)
            losses += result.loss_count
            detection_times_s += result.detection_times_s
            violated += bool(result.violations)
            for line in result.violations:
                click.echo(f"seed {result.seed}: {line}")
    click.echo(f"{count} schedules, {losses} losses, {violated} schedules broken")
    if detection_times_s:
        detection_times_s.sort()
        p50 = detection_times_s[len(detection_times_s) // 2]
        p99 = detection_times_s[int(len(detection_times_s) * 0.99)]
        click.echo(f"losses known after: p50 {p50:.2f} s, p99 {p99:.2f} s")
    exit_by_violations(violated)


@click.command("orders")
@click.option("--voters", default=2, show_default=True)
@click.option("--asks", default=1, show_default=True, help="Claims of each of the two claimants.")
@click.option("--gifts", default=1, show_default=True)
@click.option("--kills", default=1, show_default=True)
@click.option("--repeats", default=0, show_default=True)
@click.option("--ticks", default=3, show_default=True)
@click.option(
    "--most",
    "max_states",
    default=500_000,
    show_default=True,
    help="States, past which it is broken off.",
)
@handles_lab_errors
def orders(max_states: int, **bounds: int) -> None:
    """Every order of events for one right and two claimants, within the bounds."""
    from ochrehoist.lab.lease_exploration import Bounds, SlotDoubledError, explore

    try:
        states = explore(Bounds(**bounds), max_states)
    except SlotDoubledError as error:
        click.echo(f"a right is held twice: {error}")
    except OverflowError as error:
        click.echo(f"broken off: {error}, none of them with a right doubled")
    else:
        click.echo(f"{states} states, no right doubled")
        return
    raise click.exceptions.Exit(ExitCode.FAILED)
