"""What a tick and a request cost the admission controller by tenants, beside an earlier revision.

    python -m benchmarks decision-cost 000e6de

Both run in one process, in alternation, each with the types of its own tree. A tick is timed alone, in
processor time of the thread (us). A request is its arrival and its end together, in short rounds in which
each revision goes first every other time: the median of the rounds, and of the ratio within each. Memory is
what the controller takes beyond its settings, as tracemalloc counts it. `active` tenants sent requests
before and were served; those of `unanswered` ones failed; the others sent nothing.
"""

import argparse
import json
import os
import random
import statistics
import time
import tracemalloc
from dataclasses import dataclass
from typing import Any

from benchmarks.decisions.decision_api import DecisionApi
from benchmarks.decisions.history import FAILED, OK
from benchmarks.decisions.history_settings import MS, S, admission_settings, request_class
from benchmarks.shared.paired_runs import Pair, paired_rounds
from benchmarks.shared.revisions import BEFORE, NOW, ROOT, before_and_now
from benchmarks.shared.samples import MEDIAN, P99, percentile

IDEMPOTENCY_KEYED = 1  # position in the enum Idempotency
CLASS_COUNT = 3
CALLER_COUNT = 10
TICK_NS = 100 * MS
RUN_NS = 20 * MS
MAX_REQUESTS_A_TICK = 20
NO_QUEUE, LONG_QUEUE = 0, 24  # requests that wait while others are measured
BLOCKS = (
    4  # of ticks, in alternation: a revision finds its own data in the caches, as in a process of its own
)
TICKS_A_BLOCK = 500
REQUESTS_A_ROUND = 60
REQUEST_ROUNDS = 150
SMALL_TENANTS, LARGE_TENANTS = 3, 58_000
TICKS_SIDE_BY_SIDE = 40  # in a block
BLOCKS_SIDE_BY_SIDE = 100


@dataclass(frozen=True)
class Population:
    """How many tenants there are, how many of them asked before, and whether those got no answers."""

    tenants: int
    active: int
    unanswered: bool = False


POPULATIONS = (
    Population(3, 0),
    Population(3, 3),
    Population(100, 0),
    Population(1000, 0),
    Population(10_000, 0),
    Population(58_000, 0),
    Population(58_000, 2000),
    Population(58_000, 2000, unanswered=True),
    Population(58_000, 8000),
)


@dataclass(frozen=True)
class TickCost:
    """Processor time of a tick in us, over so many of them, and the controller's memory in kB."""

    ticks: int
    p50_us: float
    p99_us: float
    most_us: float
    memory_kb: float


@dataclass(frozen=True)
class RequestCost:
    """Processor time of a request in us: the median of the rounds, and of the ratio now/before."""

    before_us: float
    now_us: float
    ratio: float


@dataclass(frozen=True)
class PopulationCost:
    """What was measured with one population of tenants."""

    population: Population
    tick_before: TickCost
    tick_now: TickCost
    request: RequestCost
    queued_request: RequestCost


class DrivenController:
    """The controller of one revision with one population of tenants, and its clock."""

    def __init__(self, api: DecisionApi, population: Population) -> None:
        settings = _settings(api, population.tenants)
        self._event_types = api.event_types
        self._start_run = api.action_types["StartRun"]
        self._tenant_count = population.tenants
        self._rng = random.Random(1)
        self._now_ns = 1000 * S
        self._request_count = 0
        self._running: list[str] = []
        self._queue_length = NO_QUEUE
        self._outcome = api.outcomes[FAILED if population.unanswered else OK]
        self.tick_times_ns: list[int] = []
        tracemalloc.start()
        allocated_before = tracemalloc.get_traced_memory()[0]
        self._controller = api.controller(settings, 1)
        self._dispatch(api.event("InstanceStarted"))
        self._active = self._rng.sample(range(population.tenants), population.active)
        self.memory_kb = (tracemalloc.get_traced_memory()[0] - allocated_before) / 1000
        tracemalloc.stop()
        for tenant in self._active:
            self._request(tenant)

    def tick(self) -> None:
        """Let the requests of a tick come, then time the tick alone."""
        self._now_ns += TICK_NS
        for _ in range(min(MAX_REQUESTS_A_TICK, len(self._active))):
            self._request(self._rng.choice(self._active))
        began_ns = time.thread_time_ns()
        self._dispatch(self._event_types["TimerFired"](1, {"cpu_busy": 0.5}))
        self.tick_times_ns.append(time.thread_time_ns() - began_ns)

    def ticks(self, count: int) -> None:
        """Time so many ticks."""
        for _ in range(count):
            self.tick()

    def discard_tick(self) -> None:
        """Make a tick that does not count: after the other revision's block its data is not in the caches."""
        self.tick()
        del self.tick_times_ns[-1]

    def request_us(self, count: int, queue_length: int) -> float:
        """Processor time of a request in us: the mean of so many, behind a queue that long."""
        self._queue_length = queue_length
        tenants = [self._rng.randrange(self._tenant_count) for _ in range(count)]
        for _ in range(queue_length):
            self._request(0)
        began_ns = time.thread_time_ns()
        for tenant in tenants:
            self._request(tenant)
        return (time.thread_time_ns() - began_ns) / count / 1000

    def _dispatch(self, event: Any) -> list[Any]:
        actions: list[Any] = self._controller.handle(self._now_ns, event)
        return actions

    def _request(self, tenant: int) -> None:
        """Receive one request; complete the oldest run where more than the queue are open."""
        self._request_count += 1
        number = self._request_count
        received = self._event_types["RequestReceived"](
            f"r{number}",
            number % CLASS_COUNT,
            tenant,
            None,
            None,
            None,
            10.0,
            0.0,
            False,
            False,
            number % CALLER_COUNT,
        )
        self._note_started(self._dispatch(received))
        self._now_ns += 1
        if self._running and len(self._controller.jobs) > self._queue_length:
            completed = self._event_types["RequestCompleted"](self._running.pop(0), self._outcome, RUN_NS)
            self._note_started(self._dispatch(completed))

    def _note_started(self, actions: list[Any]) -> None:
        self._running += [action.id for action in actions if isinstance(action, self._start_run)]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("revision", help="the earlier one")
    parser.add_argument("--scale", type=float, default=1.0, help="of the ticks and requests measured")


def run(arguments: argparse.Namespace) -> int:
    """Measure all populations and print each as a line of JSON."""
    with before_and_now(arguments.revision) as (before, now):
        apis = Pair(DecisionApi(before.root), DecisionApi(now.root))
    for population in POPULATIONS:
        print(json.dumps(report(population_cost(apis, population, arguments.scale))), flush=True)
    print(json.dumps(small_beside_large(DecisionApi(ROOT), arguments.scale)))
    print(json.dumps({"load": os.getloadavg()}))
    return 0


def population_cost(apis: Pair[DecisionApi], population: Population, scale: float) -> PopulationCost:
    """Measure both revisions with one population, in alternation."""
    before, now = (DrivenController(api, population) for api in (apis.before, apis.now))
    for _ in range(BLOCKS):
        for controller in (before, now):
            controller.discard_tick()
            controller.ticks(max(3, int(scale * TICKS_A_BLOCK)))
    return PopulationCost(
        population,
        _tick_cost(before),
        _tick_cost(now),
        _request_cost(before, now, NO_QUEUE, scale),
        _request_cost(before, now, LONG_QUEUE, scale),
    )


def small_beside_large(api: DecisionApi, scale: float) -> dict[str, object]:
    """A tick of one revision with few and with many tenants, none active, in short blocks in alternation."""
    small, large = (DrivenController(api, Population(size, 0)) for size in (SMALL_TENANTS, LARGE_TENANTS))
    for _ in range(int(scale * BLOCKS_SIDE_BY_SIDE)):
        small.ticks(TICKS_SIDE_BY_SIDE)
        large.ticks(TICKS_SIDE_BY_SIDE)
    small_cost, large_cost = _tick_cost(small), _tick_cost(large)
    return {
        "ticks": small_cost.ticks,
        "p50_us": {SMALL_TENANTS: small_cost.p50_us, LARGE_TENANTS: large_cost.p50_us},
        "p99_us": {SMALL_TENANTS: small_cost.p99_us, LARGE_TENANTS: large_cost.p99_us},
        "p99_ratio": round(large_cost.p99_us / small_cost.p99_us, 2),
    }


def report(cost: PopulationCost) -> dict[str, object]:
    """What is printed of one population."""
    return {
        "tenants": cost.population.tenants,
        "active": cost.population.active,
        "unanswered": cost.population.unanswered,
        BEFORE: _version_report(cost.tick_before, cost.request.before_us, cost.queued_request.before_us),
        NOW: _version_report(cost.tick_now, cost.request.now_us, cost.queued_request.now_us),
        "tick_ratio": round(cost.tick_now.p50_us / cost.tick_before.p50_us, 3),
        "request_ratio": round(cost.request.ratio, 3),
        "queued_request_ratio": round(cost.queued_request.ratio, 3),
    }


def _version_report(tick: TickCost, request_us: float, queued_request_us: float) -> dict[str, object]:
    return {
        "ticks": tick.ticks,
        "p50_us": tick.p50_us,
        "p99_us": tick.p99_us,
        "most_us": tick.most_us,
        "memory_kb": round(tick.memory_kb, 1),
        "request_us": round(request_us, 2),
        "queued_request_us": round(queued_request_us, 2),
    }


def _tick_cost(controller: DrivenController) -> TickCost:
    times_ns = controller.tick_times_ns
    return TickCost(
        ticks=len(times_ns),
        p50_us=percentile(times_ns, MEDIAN) / 1000,
        p99_us=percentile(times_ns, P99) / 1000,
        most_us=max(times_ns) / 1000,
        memory_kb=controller.memory_kb,
    )


def _request_cost(
    before: DrivenController, now: DrivenController, queue_length: int, scale: float
) -> RequestCost:
    pairs = list(
        paired_rounds(
            max(2, int(scale * REQUEST_ROUNDS)),
            lambda: before.request_us(REQUESTS_A_ROUND, queue_length),
            lambda: now.request_us(REQUESTS_A_ROUND, queue_length),
        )
    )
    return RequestCost(
        statistics.median(pair.before for pair in pairs),
        statistics.median(pair.now for pair in pairs),
        statistics.median(pair.now / pair.before for pair in pairs),
    )


def _settings(api: DecisionApi, tenant_count: int) -> Any:
    classes = (
        request_class(api, name="read", latency_objective_ns=800 * MS, deadline_ns=3 * S),
        request_class(
            api,
            name="write",
            latency_objective_ns=2 * S,
            deadline_ns=5 * S,
            priority_weight=3.0,
            idempotency=api.member("Idempotency", IDEMPOTENCY_KEYED),
        ),
        request_class(api, name="report", latency_objective_ns=4 * S, deadline_ns=9 * S, priority_weight=2.0),
    )
    tenant = api.settings_types["Tenant"]
    return admission_settings(
        api,
        classes=classes,
        tenants=tuple(tenant(f"tenant-{number}", 40.0, 1 / tenant_count) for number in range(tenant_count)),
        objective=api.settings_types["ObjectiveWeights"](0.45, 0.15, 0.3, 0.1),
        fleet_size=12,
        caller_count=CALLER_COUNT,
        cores=4,
        memory_kb=1e6,
        collapse_multiple=3.0,
        collapse_after_ns=S,
        over_quota_weight=0.1,
        max_retry_after_ns=S,
    )
