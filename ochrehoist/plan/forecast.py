"""What a fleet would serve: goodput by class, tenant and worker, rejections and latencies, over seeds."""

from collections.abc import Sequence
from typing import Any, TypedDict

from ochrehoist.capture.reader import Capture
from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.demand import PlannedCall, Streams, calls_of_capture
from ochrehoist.plan.runs import (
    IntervalValues,
    Progress,
    Run,
    RunValues,
    execute_until_interrupted,
    interval_of,
)

CAPTURE_SEED = 1  # of the draws that make a sampled capture whole
MIN_DURATION_S = 12.0


class Forecast(TypedDict):
    """The answer; `workers`, `seconds_line` and `events` are of the first run."""

    goodput: IntervalValues
    tries_per_call: IntervalValues
    demand: float
    rate: float
    shares: dict[str, IntervalValues]
    classes: dict[str, dict[str, IntervalValues]]
    tenants: dict[str, IntervalValues]
    workers: list[dict[str, Any]]
    seconds_line: list[list[float]]
    events: list[list[Any]]
    seeds: int
    asked_seeds: int
    seconds: float


def forecast(
    fleet: Fleet,
    seeds: Sequence[int],
    duration_s: float,
    jobs: int,
    progress: Progress,
    planned_calls: tuple[PlannedCall, ...] | None = None,
) -> Forecast:
    """What the fleet makes of the described load, or of these calls; what is known so far if interrupted."""
    runs = [Run(fleet, seed, duration_s, planned_calls=planned_calls) for seed in seeds]
    results = execute_until_interrupted(runs, jobs, progress)
    first = results[0]
    return {
        "goodput": _interval(results, "goodput"),
        "tries_per_call": _interval(results, "tries_per_call"),
        "demand": fleet.demand,
        "rate": fleet.load.rate,
        "shares": {outcome: _interval(results, "shares", outcome) for outcome in first["shares"]},
        "classes": {
            each.name: {
                figure: _interval(results, "classes", each.name, figure)
                for figure in first["classes"][each.name]
            }
            for each in fleet.classes
        },
        "tenants": {tenant.name: _interval(results, "tenants", tenant.name) for tenant in fleet.tenants},
        "workers": first["workers"],
        "seconds_line": first["seconds"],
        "events": first["events"],
        "seeds": len(results),
        "asked_seeds": len(seeds),
        "seconds": duration_s,
    }


def forecast_of_capture(
    fleet: Fleet, capture: Capture, seeds: Sequence[int], jobs: int, progress: Progress
) -> Forecast:
    """What the fleet would make of a recorded load; the seeds draw its speeds and habits.

    Raises:
        CaptureUnusableError: The capture does not fit the fleet.
    """
    calls, span_s = calls_of_capture(fleet, capture, Streams(CAPTURE_SEED))
    at_recorded_rate = fleet.with_load(len(calls) / max(1.0, span_s))
    duration_s = max(MIN_DURATION_S, span_s)
    return forecast(at_recorded_rate, seeds, duration_s, jobs, progress, tuple(calls))


def _interval(results: Sequence[RunValues], *path: str) -> IntervalValues:
    """Over all runs, of the figure that this path of keys leads to."""
    figures = []
    for values in results:
        figure: Any = values
        for key in path:
            figure = figure[key]
        figures.append(float(figure))
    return interval_of(figures).values()
