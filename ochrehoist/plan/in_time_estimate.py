"""What workers in steady state end in time, by drawn work and an M/M/c queue. No I/O."""

from dataclasses import dataclass

import numpy as np

from ochrehoist.config.fleet_description import Fleet, MachineKind, RequestClass
from ochrehoist.plan.demand import FloatArray, draw_lognormal

USABLE_SHARE = 0.97  # of the cores that a queue which is never empty keeps busy
WORK_SAMPLES = 4000  # of each class
OVERLOAD_WAIT_SHARE = 0.6  # of an objective, that a queue in overload lets requests wait
OVERLOAD_WAIT_RANGE = (0.3, 1.0)  # of that share
MIN_DIVISOR = 1e-9
LOAD_STEPS = 50  # to which loads and speeds are rounded where one draw serves several workers


def erlang_c(servers: int, offered: float) -> float:
    """The probability that a request waits in an M/M/c queue, of `offered` servers' worth of work.

    With c servers and the offered load A: C(c, A) = top / (sum of A^k / k! for k < c, + top), where
    top = A^c / c! * c / (c - A).
    """
    if offered >= servers:
        return 1.0
    term = total = 1.0
    for number in range(1, servers):
        term *= offered / number
        total += term
    top = term * offered / servers * servers / (servers - offered)
    return top / (total + top)


@dataclass(frozen=True)
class InTime:
    """Of one worker.

    Attributes:
        gained: The share of the priority weight of what it serves that is gained.
        hopeless: The share of what arrives that no idle machine ends by its objective.
    """

    gained: float
    hopeless: float


class InTimeEstimator:
    """What workers end in time, by drawn work. Workers of nearly the same load share one draw."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._known: dict[tuple[str, int, int], InTime] = {}

    def estimate(self, kind: MachineKind, speed: float, load: float, offered_load: float) -> InTime:
        """Of a worker with this load, and this offered load if nothing were rejected."""
        key = (kind.name, round(speed * LOAD_STEPS), round(min(load, 1.0) * LOAD_STEPS))
        if key not in self._known:
            # The same draws at every load: a little less of it must not come out worse by chance.
            rng = np.random.default_rng(self._seed)
            effective_load = offered_load if offered_load > USABLE_SHARE else load
            self._known[key] = self._draw(kind, speed, effective_load, rng)
        return self._known[key]

    def _draw(self, kind: MachineKind, speed: float, load: float, rng: np.random.Generator) -> InTime:
        gained = 0.0
        total = 0.0
        hopeless = 0.0
        for each in self._fleet.classes:
            work, wait = _draw_work_and_wait(each, kind, speed, load, rng)
            ends = work + wait
            objective_s = each.aim_ms / 1000
            deadline_s = each.deadline_ms / 1000
            weight = each.share * each.worth * each.mean_work_ms
            # Weight is by work: a large one that no idle machine ends in time weighs more than its count.
            in_time = float(work[ends <= objective_s].sum() / work.sum())
            late = float(work[(ends > objective_s) & (ends <= deadline_s)].sum() / work.sum())
            gained += weight * (in_time + each.late_worth * late)
            total += weight
            hopeless += each.share * float((work > objective_s).mean())
        return InTime(gained / total, hopeless)


def _draw_work_and_wait(
    request_class: RequestClass, kind: MachineKind, speed: float, load: float, rng: np.random.Generator
) -> tuple[FloatArray, FloatArray]:
    """Run times and queueing times (s) of a class at a worker."""
    work: FloatArray = (
        draw_lognormal(rng, request_class.work_ms / 1000, request_class.cv, WORK_SAMPLES) / speed
    )
    is_heavy = rng.uniform(size=WORK_SAMPLES) < request_class.heavy_share
    work[is_heavy] *= request_class.heavy_times
    objective_s = request_class.aim_ms / 1000
    # At the most what waits in overload, where what would wait longer is rejected.
    wait: FloatArray = (
        rng.uniform(*OVERLOAD_WAIT_RANGE, WORK_SAMPLES)
        * OVERLOAD_WAIT_SHARE
        * objective_s
        * (1 - 1 / (1 + kind.cores))
    )
    if load < 1:
        waiting_share = erlang_c(kind.cores, load * kind.cores)
        drain_rate = kind.cores * (1 - load) / max(MIN_DIVISOR, float(work.mean()))
        queueing = np.where(
            rng.uniform(size=WORK_SAMPLES) < waiting_share, rng.exponential(1 / drain_rate, WORK_SAMPLES), 0.0
        )
        wait = np.minimum(wait, queueing)
    return work, wait
