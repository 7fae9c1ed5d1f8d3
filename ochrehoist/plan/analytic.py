"""The fleet in steady state, by queueing theory alone. No I/O.

It finds the offered work with the fixed point of retries, and what limits each worker.
It checks the event model where both apply: constant load, warm machines, a queue that is short against the
latency objectives.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

import numpy as np

from ochrehoist.config.fleet_description import Fleet, WorkerSelection
from ochrehoist.plan.demand import FloatArray, zipf_weights
from ochrehoist.plan.in_time_estimate import USABLE_SHARE, InTimeEstimator
from ochrehoist.plan.routing import rendezvous

FIXED_POINT_ROUNDS = 200  # of the retries; each is damped by half
BISECTION_ROUNDS = 40
HASHED_SUBJECTS = 2000  # placed one by one; the rest is even enough
MAX_HOPELESS_SHARE = (
    0.25  # of the requests that no idle machine ends in time: then the objective is the limit
)
RUNNING_PER_CORE = 1.3
HELD_S = 0.3  # for which a request takes memory beside its run
MAX_SWING = 0.5
MIN_DIVISOR = 1e-9


class Limit(StrEnum):
    """What may limit a worker. The values are words of the planner's answers."""

    CORES = "cores"
    READING = "reading"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    OBJECTIVE = "aim"


@dataclass(frozen=True)
class WorkerState:
    """One worker in steady state.

    Attributes:
        speed: Of its cores.
        attempts: A second.
        served: A second.
        load: Work offered, reading included, as a share of what its cores can do.
        memory: The share in use.
        connections: The share in use.
        limit: What limits it first.
        headroom: The load grows by this factor before that limit is reached; under 1 it is exceeded now.
    """

    address: str
    kind: str
    speed: float
    attempts: float
    served: float
    load: float
    memory: float
    connections: float
    limit: Limit
    headroom: float


@dataclass(frozen=True)
class SteadyState:
    """A fleet in steady state; goodput is the share of the priority weight asked for that is gained."""

    goodput: float
    attempts_per_call: float
    workers: list[WorkerState]

    @property
    def first_limited(self) -> WorkerState:
        """The worker whose limit is reached first."""
        return min(self.workers, key=lambda worker: worker.headroom)


def solve(fleet: Fleet, speeds: Sequence[float], seed: int = 0) -> SteadyState:
    """The steady state with these speeds of the workers, in the fleet's order.

    The same arguments give the same result.

    Within an objective the work that arrives swings about its mean, in a small fleet by much: goodput is that
    of three loads, with the weights of Gauss-Hermite quadrature. Workers are described at the mean.
    """
    rate = fleet.load.rate
    middle = _solve_at_load(fleet, speeds, seed)
    objective_s = sum(each.share * each.aim_ms for each in fleet.classes) / 1000
    spread = sum(each.share * (1 + each.cv**2) for each in fleet.classes)
    swing = min(MAX_SWING, math.sqrt(3 * spread / max(1.0, rate * objective_s)))
    low = _solve_at_load(fleet.with_load(rate * (1 + -swing)), speeds, seed).goodput
    high = _solve_at_load(fleet.with_load(rate * (1 + swing)), speeds, seed).goodput
    # By share of the priority weight: what arrives in a heavier spell weighs by its load.
    goodput = ((1 - swing) * low + 4 * middle.goodput + (1 + swing) * high) / 6
    return SteadyState(goodput, middle.attempts_per_call, middle.workers)


def saturation_rate(fleet: Fleet, speeds: Sequence[float]) -> float:
    """The rate (calls a second) at which the first worker reaches its limit, by bisection."""
    low = fleet.load.rate * 0.01
    high = fleet.load.rate * 100
    for _ in range(BISECTION_ROUNDS):
        middle = math.sqrt(low * high)
        if solve(fleet.with_load(middle), speeds).first_limited.headroom >= 1:
            low = middle
        else:
            high = middle
    return low


@dataclass(frozen=True)
class _Offer:
    """What routers send to the workers at one load.

    Attributes:
        attempts: A second, by worker.
        rejected: The share of them, by worker.
    """

    attempts: FloatArray
    rejected: FloatArray

    @property
    def served(self) -> FloatArray:
        """A second, by worker."""
        return self.attempts * (1 - self.rejected)


class _FleetCapacity:
    """The workers of a fleet with their speeds; work is in seconds on a core of speed 1."""

    def __init__(self, fleet: Fleet, speeds: Sequence[float]) -> None:
        self.fleet = fleet
        self.speeds = speeds
        self.kinds = [fleet.kind(worker.kind) for worker in fleet.placed_workers]
        self.mean_work_s = fleet.mean_work_s
        self.read_work_s = fleet.intake.share * fleet.mean_work_s
        self.capacity = np.array([kind.cores * speed for kind, speed in zip(self.kinds, speeds, strict=True)])


def _solve_at_load(fleet: Fleet, speeds: Sequence[float], seed: int) -> SteadyState:
    """The steady state at one load, without its swing."""
    workers = _FleetCapacity(fleet, speeds)
    offer = _offered(workers)
    served = offer.served
    in_time = InTimeEstimator(fleet, seed)
    states = []
    gained = 0.0
    served_total = 0.0
    for index, kind in enumerate(workers.kinds):
        load = _load(workers, offer, index)
        offered_load = float(
            offer.attempts[index] * (workers.mean_work_s + workers.read_work_s) / workers.capacity[index]
        )
        estimate = in_time.estimate(kind, speeds[index], load, offered_load)
        gained += float(served[index]) * estimate.gained
        served_total += float(served[index])
        states.append(_worker_state(workers, offer, index, offered_load, estimate.hopeless))
    rate = fleet.load.rate
    goodput = 0.0
    if served_total:
        goodput = _weight_served(fleet, min(1.0, served_total / rate)) * gained / served_total
    return SteadyState(goodput, float(offer.attempts.sum()) / rate, states)


def _load(workers: _FleetCapacity, offer: _Offer, index: int) -> float:
    """Work of what is served and of all reading, as a share of what the worker's cores can do."""
    work_s = workers.mean_work_s * (1 - offer.rejected[index]) + workers.read_work_s
    return float(offer.attempts[index] * work_s / workers.capacity[index])


def _offered(workers: _FleetCapacity) -> _Offer:
    """The fixed point of retries: what is rejected is sent again as often as routers and clients try."""
    fleet = workers.fleet
    rate = fleet.load.rate
    by_choice, by_open_requests = _first_attempt_shares(fleet, workers.capacity)
    share = by_choice + by_open_requests
    capacity = workers.capacity
    router_retries = _mean_router_retries(fleet)
    rejected: FloatArray = np.zeros(len(capacity))
    attempts = rate * share
    retries = 0.0
    for _ in range(FIXED_POINT_ROUNDS):
        rejected_share = float((attempts * rejected).sum()) / max(MIN_DIVISOR, float(attempts.sum()))
        retries = _retries_per_call(rejected_share, retries, router_retries, fleet.clients.retries)
        spread = np.maximum(MIN_DIVISOR, (1 - rejected) * capacity) if rejected.any() else capacity
        wanted = rate * (share + retries * spread / spread.sum())
        attempts = (attempts + wanted) / 2
        room = np.maximum(0.0, USABLE_SHARE * capacity - attempts * workers.read_work_s) / workers.mean_work_s
        rejected = np.where(attempts > room, 1 - room / np.maximum(MIN_DIVISOR, attempts), 0.0)
    return _Offer(attempts, rejected)


def _mean_router_retries(fleet: Fleet) -> float:
    groups = [fleet.routers[router.group] for router in fleet.placed_routers]
    return sum(group.weight * group.retries for group in groups) / sum(group.weight for group in groups)


def _retries_per_call(
    rejected_share: float, retries: float, router_retries: float, client_retries: int
) -> float:
    """Further attempts for each call where this share of the attempts is rejected.

    The controller wishes that a marked attempt is not sent on, and of the others the more, the more marked
    ones arrive.
    """
    no_retry_share = min(1.0, 2 * retries / (1 + retries))
    by_routers = min(1.0, router_retries) * rejected_share * (1 - no_retry_share)
    failed = rejected_share - by_routers * (1 - rejected_share)
    return by_routers + sum(failed * rejected_share**number for number in range(client_retries))


def _first_attempt_shares(fleet: Fleet, capacity: FloatArray) -> tuple[FloatArray, FloatArray]:
    """The share of each worker in first attempts, of all routers together.

    First of routers that choose without regard to load; then, in proportion to capacity, of those that regard
    open requests.
    """
    count = len(capacity)
    shares: FloatArray = np.zeros(count)
    groups = [fleet.routers[router.group] for router in fleet.placed_routers]
    total_weight = sum(group.weight for group in groups)
    by_subject: FloatArray | None = None
    looking = 0.0
    for group in groups:
        part = group.weight / total_weight
        match group.choice:
            case WorkerSelection.SUBJECT_HASH:
                if by_subject is None:
                    by_subject = _subject_shares(fleet, count)
                shares += part * by_subject
            case WorkerSelection.WEIGHTED:
                shares += part * capacity / capacity.sum()
            case WorkerSelection.ROUND_ROBIN:
                shares += part / count
            case _:
                looking += part
    return shares, looking * capacity / capacity.sum()


def _subject_shares(fleet: Fleet, count: int) -> FloatArray:
    """The share of each worker where each subject has its own."""
    load = fleet.load
    shares: FloatArray = np.zeros(count)
    workers = range(count)
    hot_share = load.hot_share if load.hot else 0.0
    weights = zipf_weights(load.subjects, load.zipf) * (1 - hot_share)
    for index in range(min(load.subjects, HASHED_SUBJECTS)):
        shares[rendezvous(index + 1, workers)] += weights[index]
    shares += weights[HASHED_SUBJECTS:].sum() / count
    for index in range(load.hot):
        shares[rendezvous(load.subjects + 1 + index, workers)] += hot_share / load.hot
    normalized: FloatArray = shares / shares.sum()
    return normalized


def _weight_served(fleet: Fleet, served: float) -> float:
    """The share of the priority weight of all calls that this served share has, the dearest served first."""
    total = 0.0
    gained = 0.0
    for each in sorted(fleet.classes, key=lambda request_class: -request_class.worth):
        part = min(1.0, served / each.share) if each.share else 0.0
        served = max(0.0, served - each.share)
        total += each.share * each.worth * each.mean_work_ms
        gained += part * each.share * each.worth * each.mean_work_ms
    return gained / total


def _worker_state(
    workers: _FleetCapacity, offer: _Offer, index: int, offered_load: float, hopeless: float
) -> WorkerState:
    """What the worker does, and what limits it first."""
    fleet = workers.fleet
    placed = fleet.placed_workers[index]
    kind = workers.kinds[index]
    attempts = float(offer.attempts[index])
    served = float(offer.served[index])
    memory = _memory_share(workers, index, attempts, served)
    connections = len(fleet.placed_routers) / kind.connections
    reading = attempts * workers.read_work_s / workers.capacity[index]
    usage = {
        Limit.CORES: offered_load / USABLE_SHARE,
        Limit.READING: reading / USABLE_SHARE,
        Limit.MEMORY: memory,
        Limit.CONNECTIONS: connections,
        Limit.OBJECTIVE: hopeless / MAX_HOPELESS_SHARE,
    }
    limit = max(usage, key=lambda each: usage[each])
    return WorkerState(
        address=placed.address,
        kind=placed.kind,
        speed=workers.speeds[index],
        attempts=attempts,
        served=served,
        load=offered_load,
        memory=memory,
        connections=connections,
        limit=limit,
        headroom=1 / max(MIN_DIVISOR, usage[limit]),
    )


def _memory_share(workers: _FleetCapacity, index: int, attempts: float, served: float) -> float:
    """The share of a worker's memory that requests, runs and idempotency keys take."""
    fleet = workers.fleet
    kind = workers.kinds[index]
    request_kb = sum(fleet.intake.held_kb) / 2
    key_lifetime_s = sum(
        each.share * each.window_ms / 1000 for each in fleet.classes if each.repeat == "deduplicated"
    )
    running = min(kind.cores * RUNNING_PER_CORE, served * workers.mean_work_s / workers.speeds[index] + 1)
    return (
        running * request_kb * fleet.intake.run_factor
        + served * key_lifetime_s * fleet.intake.key_kb
        + attempts * HELD_S * request_kb
    ) / (kind.memory_mb * 1000)
