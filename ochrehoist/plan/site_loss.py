"""What the loss of a site does to a fleet, and whether the rest recovers."""

import math
from collections.abc import Sequence
from statistics import mean
from typing import Any, TypedDict

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.fleet_run import Outage
from ochrehoist.plan.runs import (
    IntervalValues,
    Progress,
    Run,
    RunValues,
    execute_until_interrupted,
    interval_of,
)


class SiteLossForecast(TypedDict):
    """The answer; goodput before and during the loss, `seconds_line` and `events` of the first run."""

    site: str
    workers: int
    of: int
    at: float
    back: float | None
    before: IntervalValues
    during: IntervalValues
    worst_second: float
    tips_over: int
    seeds: int
    recovered_s: IntervalValues | None
    seconds_line: list[list[float]]
    events: list[list[Any]]


def workers_of_site(fleet: Fleet, site: str) -> tuple[int, ...]:
    """The numbers of the workers that lie in the site."""
    return tuple(number for number, worker in enumerate(fleet.placed_workers) if worker.site == site)


def forecast_site_loss(
    fleet: Fleet,
    site: str,
    lost_at: float,
    back_at: float | None,
    seeds: Sequence[int],
    duration_s: float,
    jobs: int,
    progress: Progress,
) -> SiteLossForecast:
    """A site is lost at once, and returns cold, if ever; moments in s from the start of each run.

    Raises:
        UnanswerableQuestionError: The site holds none of the workers, or all, or is gone for no whole second.
    """
    lost_workers = _lost_workers(fleet, site)
    gone_until = back_at if back_at is not None else duration_s
    if math.ceil(lost_at) >= gone_until:
        raise UnanswerableQuestionError.outage_too_short(lost_at, gone_until)
    outage = Outage(lost_at, lost_workers, back_at, site)
    runs = [Run(fleet, seed, duration_s, outages=(outage,), recovery_from_s=lost_at) for seed in seeds]
    results = execute_until_interrupted(runs, jobs, progress)
    times = [values["recovered_s"] for values in results]
    after_loss = [
        goodput
        for values in results
        for second, goodput in values["seconds"]
        if lost_at <= second < duration_s - 1
    ]
    return {
        "site": site,
        "workers": len(lost_workers),
        "of": len(fleet.placed_workers),
        "at": lost_at,
        "back": back_at,
        "before": interval_of([values["before"] for values in results]).values(),
        "during": interval_of([_mean_goodput(values, lost_at, gone_until) for values in results]).values(),
        "worst_second": min(after_loss),
        "tips_over": sum(time is None for time in times),
        "seeds": len(results),
        "recovered_s": None if None in times else interval_of(times).values(),
        "seconds_line": results[0]["seconds"],
        "events": results[0]["events"],
    }


def _lost_workers(fleet: Fleet, site: str) -> tuple[int, ...]:
    """The workers of a site that is a part of the fleet; raises UnanswerableQuestionError."""
    lost_workers = workers_of_site(fleet, site)
    if not lost_workers:
        raise UnanswerableQuestionError.unknown_site(site, (each.name for each in fleet.sites))
    if len(lost_workers) == len(fleet.placed_workers):
        raise UnanswerableQuestionError.no_workers_left(site, "nothing is left to forecast")
    return lost_workers


def _mean_goodput(values: RunValues, first: float, last: float) -> float:
    """Over the seconds of a run from `first` up to `last`."""
    return mean(float(goodput) for second, goodput in values["seconds"] if first <= second < last)
