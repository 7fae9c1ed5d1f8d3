"""Two fleets side by side on the same seeds, with the interval of their difference."""

from collections.abc import Sequence
from typing import TypedDict

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.runs import IntervalValues, Progress, Run, execute_until_interrupted, interval_of


class FleetComparison(TypedDict):
    """The answer: goodput of both, and of B less A; `clear` where the interval leaves out 0."""

    a: IntervalValues
    b: IntervalValues
    difference: IntervalValues
    clear: bool
    seeds: int
    pairs: list[tuple[float, float]]


def compare_fleets(
    fleet_a: Fleet, fleet_b: Fleet, seeds: Sequence[int], duration_s: float, jobs: int, progress: Progress
) -> FleetComparison:
    """Goodput of each, and the interval of the difference, pair by pair; whole pairs if interrupted."""
    runs = [Run(fleet, seed, duration_s) for seed in seeds for fleet in (fleet_a, fleet_b)]
    results = execute_until_interrupted(runs, jobs, progress, group_size=2)
    pairs = [
        (results[index]["goodput"], results[index + 1]["goodput"]) for index in range(0, len(results), 2)
    ]
    difference = interval_of([goodput_b - goodput_a for goodput_a, goodput_b in pairs])
    is_clear = difference.half_width is not None and abs(difference.mean) > difference.half_width
    return {
        "a": interval_of([goodput_a for goodput_a, _ in pairs]).values(),
        "b": interval_of([goodput_b for _, goodput_b in pairs]).values(),
        "difference": difference.values(),
        "clear": is_clear,
        "seeds": len(pairs),
        "pairs": pairs,
    }
