"""Concurrency limits, bulkheads, a low-priority lane and retry budgets in fleets on virtual time.

The real core and admission controller run, each case with and without, on the same draws. Printed is the
goodput, and that of the class that the case is about.
"""

import argparse
import dataclasses
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager, ExitStack
from dataclasses import dataclass, field
from statistics import fmean
from typing import Any
from unittest import mock

import joblib

from benchmarks.planner.fleets import Description, base_description, changed_fleet, retry_storm
from ochrehoist.config.fleet_description import Fleet
from ochrehoist.config.tables import LimitController, OverloadConfig
from ochrehoist.core.request import InboundRequest
from ochrehoist.overload.limiter import AdaptiveLimiter
from ochrehoist.plan.cores import Cores
from ochrehoist.plan.simulated_worker import Attempt, SimulatedWorker
from ochrehoist.plan.simulation import Simulation

SETTLE_S = 8.0
READ, FILING = base_description()["classes"]
CHEAP_CALLS: Description = {
    "classes": [
        {**READ, "name": "lookup", "share": 0.5, "work_ms": 10.0, "cv": 0.3},
        {**READ, "share": 0.4},
        {**FILING, "share": 0.1},
    ]
}
HEAVY_TAIL: Description = {"classes": [{**READ, "heavy_share": 0.02, "heavy_times": 15.0}, FILING]}


@dataclass(frozen=True)
class Case:
    """A load in parts of the capacity, and what differs from the small fleet.

    `cores_factor`: how many times the real cores workers are configured with. `states_work`: whether
    requests say how much work they are. `class_name`: the class that the case is about. `prints_attempts`:
    of each call.
    """

    demand: float
    changes: Description = field(default_factory=dict)
    cores_factor: float = 1.0
    states_work: bool = True
    class_name: str | None = None
    prints_attempts: bool = False


CASES = {
    "90%": Case(0.9),
    "120%": Case(1.2),
    "150%": Case(1.5),
    "200%": Case(2.0),
    "twice the cores configured, 120%": Case(1.2, cores_factor=2),
    "twice the cores configured, 200%": Case(2.0, cores_factor=2),
    "half the cores configured, 120%": Case(1.2, cores_factor=0.5),
    "cheap calls, 150%": Case(1.5, CHEAP_CALLS, class_name="lookup"),
    "cheap calls, 200%": Case(2.0, CHEAP_CALLS, class_name="lookup"),
    "heavy tail, 85%": Case(0.85, HEAVY_TAIL),
    "heavy tail, 105%": Case(1.05, HEAVY_TAIL),
    "heavy tail, no work stated, 105%": Case(1.05, HEAVY_TAIL, states_work=False),
    "retry storm, 120%": Case(1.2, retry_storm(), prints_attempts=True),
}
OFF = OverloadConfig(admission=False, bulkheads=False, low_priority_lane=False, retry_budget=False)
POLICIES: dict[str, OverloadConfig | None] = {
    "module alone": None,
    **{
        controller.value: dataclasses.replace(OFF, bulkheads=True, controller=controller)
        for controller in LimitController
        if controller is not LimitController.MODULE
    },
    "bulkheads": dataclasses.replace(OFF, bulkheads=True),
    "bulkheads, lane": dataclasses.replace(OFF, bulkheads=True, low_priority_lane=True),
    "lane": dataclasses.replace(OFF, low_priority_lane=True),
    "budgets": dataclasses.replace(OFF, retry_budget=True),
    "all": OverloadConfig(low_priority_lane=True, retry_budget=True),
}


@dataclass(frozen=True)
class PolicyFigures:
    """One case under one policy: goodput, that of the class that the case is about, attempts of a call."""

    case: str
    policy: str
    goodput: float
    class_goodput: float | None
    attempts_per_call: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=60.0, help="of a run, on its own clock")
    parser.add_argument("--jobs", type=int, default=-1, help="runs side by side; -1: as many as cores")
    parser.add_argument("cases", nargs="*", choices=[*CASES, []], metavar="CASE", help="all by default")


def run(arguments: argparse.Namespace) -> int:
    """Run all cases under all policies, and print a table."""
    cases = arguments.cases or list(CASES)
    by_run: dict[tuple[str, str], list[PolicyFigures]] = {}
    for figures in _runs(cases, arguments.seeds, arguments.seconds, arguments.jobs):
        by_run.setdefault((figures.case, figures.policy), []).append(figures)
    print(f"{'':34}" + "".join(f"{policy:>16}" for policy in POLICIES))
    for case in cases:
        _print_case(case, [by_run[case, policy] for policy in POLICIES])
    return 0


def simulated(name: str, policy: str, seed: int, duration_s: float) -> PolicyFigures:
    """Run one case under one policy."""
    case, overload = CASES[name], POLICIES[policy]
    fleet = changed_fleet(case.changes, case.demand)
    with ExitStack() as stack:
        if not case.states_work:
            stack.enter_context(_unstated_work())
        simulation = _simulation(fleet, case.cores_factor, seed, duration_s)
        if overload is not None:
            for worker in simulation.workers:
                limiter = AdaptiveLimiter(overload, worker.actor.settings, seed)
                worker.actor.register_limiter(limiter)
        tally = simulation.run()
    values = tally.values()
    class_goodput = values["classes"][case.class_name]["goodput"] if case.class_name else None
    return PolicyFigures(name, policy, tally.goodput, class_goodput, values["tries_per_call"])


def _simulation(fleet: Fleet, cores_factor: float, seed: int, duration_s: float) -> Simulation:
    """A simulation whose workers are configured with `cores_factor` times the cores that they run on."""
    if cores_factor == 1:
        return Simulation(fleet, seed, duration_s, settle_s=SETTLE_S)
    real = fleet.kinds[0]
    configured = real.model_copy(update={"cores": int(real.cores * cores_factor)})
    simulation = Simulation(
        fleet.model_copy(update={"kinds": [configured]}), seed, duration_s, settle_s=SETTLE_S
    )
    for worker in simulation.workers:
        worker.machine = dataclasses.replace(worker.machine, cores=real.cores)
        worker.cores = Cores(worker.machine, 0.0, False)
    return simulation


def _unstated_work() -> AbstractContextManager[Any]:
    """Let simulated requests not say how much work they are."""
    inbound_request = SimulatedWorker._inbound_request

    def unstated(worker: SimulatedWorker, attempt: Attempt) -> InboundRequest:
        request = inbound_request(worker, attempt)
        request.work_ns = None
        return request

    return mock.patch.object(SimulatedWorker, "_inbound_request", unstated)


def _runs(cases: Iterable[str], seeds: int, duration_s: float, jobs: int) -> Iterator[PolicyFigures]:
    wanted = [(case, policy, seed) for case in cases for policy in POLICIES for seed in range(1, seeds + 1)]
    runs = joblib.Parallel(n_jobs=jobs, return_as="generator_unordered")(
        joblib.delayed(simulated)(*one, duration_s) for one in wanted
    )
    yield from runs


def _print_case(name: str, by_policy: list[list[PolicyFigures]]) -> None:
    """Print the line of a case, and those of its class and attempts where they matter."""
    case = CASES[name]
    goodput = [fmean(one.goodput for one in figures) for figures in by_policy]
    print(f"{name:34}" + "".join(f"{value:16.3f}" for value in goodput), flush=True)
    if case.class_name:
        in_class = [fmean(one.class_goodput or 0.0 for one in figures) for figures in by_policy]
        print(f"{'   ' + case.class_name:34}" + "".join(f"{value:16.3f}" for value in in_class), flush=True)
    if case.prints_attempts:
        attempts = [fmean(one.attempts_per_call for one in figures) for figures in by_policy]
        print(
            f"{'   attempts for each call':34}" + "".join(f"{value:16.2f}" for value in attempts), flush=True
        )
