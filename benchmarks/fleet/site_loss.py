"""What the loss of a site costs, and its return, with [sites] and without.

`virtual`: on virtual time, also without the recovery ramp and without the admission gate. `processes
REVISION`: real workers, half of them killed, beside an earlier revision in alternation.
"""

import argparse
import logging
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from itertools import repeat
from statistics import fmean
from unittest import mock

from benchmarks.shared.revisions import NOW, Tree, before_and_now
from ochrehoist.lab.drill import forecast
from ochrehoist.lab.goodput import goodput, recovery_time_s
from ochrehoist.lab.scenario import Scenario, parse
from ochrehoist.lab.scenario_runner import ScenarioRun
from ochrehoist.lab.virtual.site_measurements import measure_loss
from ochrehoist.lab.virtual.site_world import SiteWorld
from ochrehoist.sites.admission_gate import AdmissionGate
from ochrehoist.sites.recovery_ramp import RecoveryRamp

LOST_SITE = "antwerp"
VIRTUAL_SITES = {"brussels": 3, LOST_SITE: 3}
VIRTUAL_LOADS = (0.45, 0.6, 0.8, 0.95)
LOST_AT_S, RETURNED_AT_S, END_S = 10, 22, 46  # on virtual time
RETURN_S = 6  # first seconds of the return
CLASSES = [
    {"name": "read", "share": 0.8, "work_ms": 200},
    {"name": "filing", "share": 0.2, "work_ms": 200, "worth": 3, "keyed": True},
]
WORKERS = {"brussels": ["w0", "w1", "w2"], LOST_SITE: ["w3", "w4", "w5"]}
CAPACITY_PER_S = 120  # of all servers
KILLED_AT_S, KILLED_S, SCENARIO_S = 6, 12, 34
FIRST_SECONDS = 3  # after the kill, of which the worst is printed


class Missing(StrEnum):
    """Which parts of [sites] are switched off."""

    NOTHING = "nothing"
    RAMP = "recovery ramp"
    GATE_AND_RAMP = "gate and recovery ramp"


@dataclass(frozen=True)
class SiteLossFigures:
    """Goodput through the loss and the return of a site, over all seeds.

    `recovered_s`: from the return until goodput is as before; None where it never was. `attempts`: of a call.
    """

    during: float
    filings: float
    worst_second: float
    returning: float
    attempts: float
    recovered_s: float | None
    least_returning: float | None = None


@dataclass(frozen=True)
class ProcessLoss:
    """One loss of real workers: `possible` is the goodput that the servers that were left allow."""

    tree: Tree
    seed: int
    possible: float
    figures: SiteLossFigures
    broken_invariants: int


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    kinds = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
    virtual = kinds.add_parser("virtual", help="on virtual time")
    processes = kinds.add_parser("processes", help="real workers beside an earlier revision")
    processes.add_argument("revision", help="the earlier one")
    processes.add_argument("--load", type=float, default=0.8, help="of the capacity of all servers")
    for kind in (virtual, processes):
        kind.add_argument("--seeds", type=int, default=3)


def run(arguments: argparse.Namespace) -> int:
    """Run what was asked for and print each run."""
    if arguments.kind == "virtual":
        for load, missing, figures in virtual_losses(arguments.seeds):
            _print_virtual(load, missing, figures)
        return 0
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    with before_and_now(arguments.revision) as trees:
        for seed in range(1, arguments.seeds + 1):
            for tree in trees:
                _print_processes(process_loss(tree, seed, arguments.load))
    return 0


def virtual_losses(seeds: int) -> Iterator[tuple[float, Missing, SiteLossFigures]]:
    """Lose a site at each load, with parts of [sites] switched off; means over the seeds."""
    with ProcessPoolExecutor() as pool:
        for load in VIRTUAL_LOADS:
            for missing in Missing:
                losses = pool.map(virtual_loss, range(seeds), repeat(load), repeat(missing))
                yield load, missing, _mean(list(losses))


def virtual_loss(seed: int, load: float, missing: Missing) -> SiteLossFigures:
    """Lose a site on virtual time."""
    with ExitStack() as switched_off:
        if missing is not Missing.NOTHING:
            switched_off.enter_context(mock.patch.object(RecoveryRamp, "load_fraction", 1.0))
        if missing is Missing.GATE_AND_RAMP:
            switched_off.enter_context(mock.patch.object(AdmissionGate, "rank_limit", 1.0))
        world = SiteWorld(seed, VIRTUAL_SITES, load)
        world.at(LOST_AT_S, partial(world.lose_site, LOST_SITE))
        world.at(RETURNED_AT_S, partial(world.restore_site, LOST_SITE))
        world.run(END_S)
        figures = measure_loss(world, LOST_AT_S, RETURNED_AT_S)
        return SiteLossFigures(
            during=figures.during,
            filings=figures.filings,
            worst_second=figures.worst_second,
            returning=goodput(world.calls, RETURNED_AT_S, RETURNED_AT_S + RETURN_S),
            attempts=figures.attempts_per_call,
            recovered_s=figures.recovered_s,
            least_returning=figures.least_after_return,
        )


def process_loss(tree: Tree, seed: int, load: float) -> ProcessLoss:
    """Kill half of the real workers of a tree; only this tree has [sites]."""
    scenario = _scenario(tree, load)
    play = ScenarioRun(scenario, seed, tree.root)
    verdict = play.run()
    calls, by_second = play.calls, dict(verdict["seconds"])
    returned_s = KILLED_AT_S + KILLED_S
    figures = SiteLossFigures(
        during=goodput(calls, KILLED_AT_S, returned_s),
        filings=goodput(calls, KILLED_AT_S, returned_s, "filing"),
        worst_second=min(by_second[KILLED_AT_S + second] for second in range(FIRST_SECONDS)),
        returning=goodput(calls, returned_s, returned_s + RETURN_S),
        attempts=verdict["tries_per_call"],
        recovered_s=recovery_time_s(calls, returned_s, verdict["goodput"]["quiet"]["all"]),
    )
    possible = forecast(scenario, LOST_SITE).goodput
    return ProcessLoss(tree, seed, possible, figures, len(verdict["broken"]))


def _scenario(tree: Tree, load: float) -> Scenario:
    with_sites = tree.name == NOW
    return parse(
        {
            "name": tree.name,
            "seconds": SCENARIO_S,
            "workers": 6,
            "sites": WORKERS,
            "classes": CLASSES,
            "load": {"rate": CAPACITY_PER_S * load},
            "peers": with_sites,
            "tables": {"sites": {}} if with_sites else {},
            "services": {"shared": 0, "cores": 4, "cold_from": 0.21, "cold_s": 12.0},
            "balancer": {"choice": "weighted", "check_s": 0.2, "redispatch": True},
            "faults": [{"at": KILLED_AT_S, "kind": "kill", "who": [LOST_SITE], "lasts": KILLED_S}],
        }
    )


def _mean(losses: list[SiteLossFigures]) -> SiteLossFigures:
    """The means; what never recovered counts as recovering at the end."""
    never_s = END_S - RETURNED_AT_S
    return SiteLossFigures(
        during=fmean(loss.during for loss in losses),
        filings=fmean(loss.filings for loss in losses),
        worst_second=fmean(loss.worst_second for loss in losses),
        returning=fmean(loss.returning for loss in losses),
        attempts=fmean(loss.attempts for loss in losses),
        recovered_s=fmean(never_s if loss.recovered_s is None else loss.recovered_s for loss in losses),
        least_returning=fmean(loss.least_returning or 0.0 for loss in losses),
    )


def _print_virtual(load: float, missing: Missing, figures: SiteLossFigures) -> None:
    print(
        f"{load:.0%} without {missing}: meanwhile {figures.during:.3f}, filings {figures.filings:.3f}, "
        f"worst second {figures.worst_second:.2f}, return {figures.returning:.3f}, "
        f"least {figures.least_returning:.2f}, recovered after {figures.recovered_s:.1f} s, "
        f"{figures.attempts:.2f} attempts",
        flush=True,
    )


def _print_processes(loss: ProcessLoss) -> None:
    figures = loss.figures
    print(
        f"{loss.tree.name} seed {loss.seed}: meanwhile {figures.during:.3f} of {loss.possible:.3f} possible, "
        f"filings {figures.filings:.3f}, worst second {figures.worst_second:.2f}, "
        f"first {RETURN_S} s of the return {figures.returning:.3f}, recovered after {figures.recovered_s} s, "
        f"{figures.attempts:.2f} attempts, broken {loss.broken_invariants}",
        flush=True,
    )
