"""What breaks first in a fleet as its load is raised, and what is next once that limit is lifted."""

from collections.abc import Sequence
from statistics import mean
from typing import TypedDict

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan import analytic
from ochrehoist.plan.demand import Streams, draw_speeds
from ochrehoist.plan.fleet_changes import with_limit_lifted
from ochrehoist.plan.runs import (
    IntervalValues,
    Progress,
    Run,
    RunValues,
    execute_until_interrupted,
    interval_of,
)


class LoadStep(TypedDict):
    """One step of the load; `busiest` is a worker's address."""

    factor: float
    rate: float
    goodput: IntervalValues
    refused: float
    busiest: str


class LimitReached(TypedDict):
    """Which limit is reached at which factor of the load, and by which worker first."""

    limit: str
    worker: str
    kind: str
    factor: float


class BreakingPoint(TypedDict):
    """The answer: the steps of the load by simulation, the limits by queueing theory."""

    steps: list[LoadStep]
    first: LimitReached
    next: LimitReached


def find_breaking_point(
    fleet: Fleet,
    factors: Sequence[float],
    seeds: Sequence[int],
    duration_s: float,
    jobs: int,
    progress: Progress,
) -> BreakingPoint:
    """Raises the load step by step; the steps that are known so far if interrupted."""
    rate = fleet.load.rate
    runs = [Run(fleet.with_load(rate * factor), seed, duration_s) for factor in factors for seed in seeds]
    results = execute_until_interrupted(runs, jobs, progress, len(seeds))
    steps = [
        _load_step(factor, rate, results[index * len(seeds) : (index + 1) * len(seeds)])
        for index, factor in enumerate(factors[: len(results) // len(seeds)])
    ]
    first = _limit_reached(fleet, rate, seeds[0])
    lifted = with_limit_lifted(fleet, first["kind"], analytic.Limit(first["limit"]))
    return {"steps": steps, "first": first, "next": _limit_reached(lifted, rate, seeds[0])}


def _load_step(factor: float, rate: float, results: Sequence[RunValues]) -> LoadStep:
    busiest = max(results[0]["workers"], key=lambda worker: worker["busy"])
    return {
        "factor": factor,
        "rate": rate * factor,
        "goodput": interval_of([values["goodput"] for values in results]).values(),
        "refused": mean(values["shares"]["refused"] for values in results),
        "busiest": busiest["address"],
    }


def _limit_reached(fleet: Fleet, described_rate: float, seed: int) -> LimitReached:
    speeds = draw_speeds(fleet, Streams(seed))
    worker = analytic.solve(fleet, speeds).first_limited
    return {
        "limit": worker.limit.value,
        "worker": worker.address,
        "kind": worker.kind,
        "factor": analytic.saturation_rate(fleet, speeds) / described_rate,
    }
