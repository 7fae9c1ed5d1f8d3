"""Runs of the simulation over several seeds, spread over processes, and what their results make together."""

import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from statistics import mean, stdev
from typing import Any, TypedDict

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.demand import PlannedCall
from ochrehoist.plan.fleet_run import DEFAULT_SETTLE_S, Outage
from ochrehoist.plan.simulation import Simulation

Progress = Callable[[int, int], None]  # runs that are done, of all; 0 where nobody knows how many
RunValues = dict[str, Any]  # plain values of one run, as RunStatistics.values has them

# Student's t for a two-sided 95% interval, by the number of values; beyond them the normal distribution's.
STUDENT_T_95 = {2: 12.71, 3: 4.30, 4: 3.18, 5: 2.78, 6: 2.57, 7: 2.45, 8: 2.36, 9: 2.31, 10: 2.26}
NORMAL_95 = 1.96
RECOVERED_SHARE = 0.95  # of the goodput before a loss
RECOVERY_MARGIN_S = 1  # before the loss, that is not counted as before it


class IntervalValues(TypedDict):
    """An interval as plain values."""

    mean: float
    half: float | None


@dataclass(frozen=True)
class Interval:
    """A mean over seeds and its 95% interval; `half_width` is None where one seed gives no interval."""

    mean: float
    half_width: float | None

    def values(self) -> IntervalValues:
        """Plain values for tables, JSON and reports."""
        half = None if self.half_width is None else round(self.half_width, 4)
        return {"mean": round(self.mean, 4), "half": half}


def interval_of(values: Sequence[float]) -> Interval:
    """The mean of the values, with its interval by Student's t."""
    if len(values) < 2:
        return Interval(values[0], None)
    half_width = STUDENT_T_95.get(len(values), NORMAL_95) * stdev(values) / math.sqrt(len(values))
    return Interval(mean(values), half_width)


@dataclass(frozen=True)
class Run:
    """One run to make; it can be pickled for another process.

    Attributes:
        planned_calls: What clients do; None for the described load.
        recovery_from_s: The moment of a loss, after which the recovery is timed.
    """

    fleet: Fleet
    seed: int
    duration_s: float
    settle_s: float = DEFAULT_SETTLE_S
    outages: tuple[Outage, ...] = ()
    planned_calls: tuple[PlannedCall, ...] | None = None
    recovery_from_s: float | None = None


def execute(run: Run) -> RunValues:
    """Makes one run."""
    statistics = Simulation(
        run.fleet, run.seed, run.duration_s, run.settle_s, run.outages, run.planned_calls
    ).run()
    values = statistics.values()
    if run.recovery_from_s is not None:
        before = [
            statistics.second_weight_gained[second] / asked
            for second, asked in statistics.second_weight_asked.items()
            if run.settle_s <= second < run.recovery_from_s - RECOVERY_MARGIN_S and asked
        ]
        values["before"] = mean(before) if before else 1.0
        values["recovered_s"] = statistics.recovery_time_s(
            run.recovery_from_s, RECOVERED_SHARE * values["before"]
        )
    return values


def execute_all(runs: Sequence[Run], jobs: int, progress: Progress) -> Iterator[RunValues]:
    """Results in the order of the runs, spread over processes; `jobs` of -1: one for each core."""
    results: Iterator[RunValues]
    if jobs == 1 or len(runs) == 1:
        results = map(execute, runs)
    else:
        import joblib

        delayed = (joblib.delayed(execute)(run) for run in runs)
        results = joblib.Parallel(n_jobs=jobs, return_as="generator")(delayed)
    for count, values in enumerate(results, 1):
        progress(count, len(runs))
        yield values


def execute_until_interrupted(
    runs: Sequence[Run], jobs: int, progress: Progress, group_size: int = 1
) -> list[RunValues]:
    """As `execute_all`; after an interrupt what is known so far, in whole groups of runs.

    Raises:
        KeyboardInterrupt: Not even one group is known.
    """
    results: list[RunValues] = []
    try:
        for values in execute_all(runs, jobs, progress):
            results.append(values)  # noqa: PERF402 (what came before an interrupt is kept)
    except KeyboardInterrupt:
        if len(results) < group_size:
            raise
    return results[: len(results) // group_size * group_size]
