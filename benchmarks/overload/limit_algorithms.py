"""Algorithms that find how many may run at once, on modelled machines that none of them knows.

Work arrives without end, lognormal, on cores that slow each other down past a point. What counts is the
work done, as a share of what the best fixed limit does there, and how long runs take beside it. Each
algorithm begins at three limits: far too low, near, and far too high. "Halved" is a machine whose cores
lose half of their speed in the middle; on "noisy" runs vary by ten times.
"""

import argparse
import math
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass
from itertools import product
from random import Random
from statistics import fmean

import joblib

from ochrehoist.config.tables import LimitController
from ochrehoist.overload.completion_window import WindowAggregator
from ochrehoist.overload.concurrency_limits import (
    LIMIT_ALGORITHMS,
    FixedLimit,
    LimitAlgorithm,
    LimitBounds,
)
from ochrehoist.plan.cores import Cores, Machine

MEAN_WORK_S = 0.3
HALVED_FACTOR = 2.0  # by which runs take longer in the second half
FIRST_LIMITS = (2, 8, 60)
MAX_LIMIT_A_CORE = 8
SEEDS = (1, 2, 3)
FIXED_LIMIT_SEEDS = (1, 2)


@dataclass(frozen=True)
class MachineCase:
    """A machine, the coefficient of variation of the work, and whether it halves its speed in the middle."""

    machine: Machine
    work_cv: float = 0.9
    halved: bool = False


def _machine(cores: int, slow_from: float, slow_to: float) -> Machine:
    return Machine(cores, 1.0, slow_from=slow_from, slow_to=slow_to, crowd=8.0)


CASES = {
    "3 cores": MachineCase(_machine(3, 1.3, 0.6)),
    "6 cores": MachineCase(_machine(6, 1.3, 0.6)),
    "6 cores, steep": MachineCase(_machine(6, 1.0, 0.2)),
    "16 cores, late": MachineCase(_machine(16, 2.5, 0.4)),
    "6 cores, noisy": MachineCase(_machine(6, 1.3, 0.6), work_cv=2.5),
    "6 cores, halved": MachineCase(_machine(6, 1.3, 0.6), halved=True),
}


@dataclass(frozen=True)
class LimitFigures:
    """The second half of a simulation: work done a second, mean time of a run in s, mean limit."""

    work_per_s: float
    run_s: float
    limit: float


@dataclass(frozen=True)
class BestLimit:
    """The fixed limit that does the most work, and how much it does a second."""

    limit: int
    work_per_s: float


@dataclass
class _Run:
    work_s: float
    began_s: float


class MachineSimulation:
    """A machine that runs as many as a limit allows, always."""

    def __init__(self, case: MachineCase, algorithm: LimitAlgorithm, seed: int, duration_s: float) -> None:
        self._case = case
        self._algorithm = algorithm
        self._rng = Random(seed)
        self._half_s = duration_s / 2
        self._duration_s = duration_s
        self._sigma = math.sqrt(math.log(1 + case.work_cv**2))
        self._windows = WindowAggregator()
        self._cores = Cores(case.machine, 0.0, False)
        self._now_s = 0.0
        self._run_count = 0
        self._running: dict[Hashable, _Run] = {}
        self._work_done_s = 0.0
        self._run_time_s = 0.0
        self._runs_ended = 0
        self._limit_seconds = 0.0

    def run(self) -> LimitFigures:
        """Run to the end."""
        while self._now_s < self._duration_s:
            self._start_runs()
            next_end_s = self._cores.next_end()
            if next_end_s is None:
                break
            self._advance(next_end_s)
            window = self._windows.close(self._now_s)
            if window is not None:
                self._algorithm.update(window)
        return LimitFigures(
            work_per_s=self._work_done_s / self._half_s,
            run_s=self._run_time_s / max(1, self._runs_ended),
            limit=self._limit_seconds / self._half_s,
        )

    @property
    def _in_second_half(self) -> bool:
        return self._now_s > self._half_s

    def _start_runs(self) -> None:
        while len(self._running) < int(self._algorithm.limit):
            self._run_count += 1
            work_s = self._rng.lognormvariate(-self._sigma * self._sigma / 2, self._sigma) * MEAN_WORK_S
            factor = HALVED_FACTOR if self._case.halved and self._in_second_half else 1.0
            self._running[self._run_count] = _Run(work_s, self._now_s)
            self._cores.start(self._run_count, work_s * factor)

    def _advance(self, until_s: float) -> None:
        span_s = until_s - self._now_s
        self._windows.record_concurrency(span_s, len(self._running))
        self._now_s = until_s
        if self._in_second_half:
            self._limit_seconds += span_s * self._algorithm.limit
        for ended in self._cores.advance(until_s):
            self._end(self._running.pop(ended))

    def _end(self, run: _Run) -> None:
        run_s = self._now_s - run.began_s
        self._windows.record_completion(self._now_s, run.work_s, run_s)
        if self._in_second_half:
            self._work_done_s += run.work_s
            self._run_time_s += run_s
            self._runs_ended += 1


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("--seconds", type=float, default=240.0, help="of a simulation, on its own clock")


def run(arguments: argparse.Namespace) -> int:
    """Simulate all cases and print a line for each machine and first limit."""
    duration_s = arguments.seconds
    best = joblib.Parallel(n_jobs=-1)(joblib.delayed(best_fixed_limit)(case, duration_s) for case in CASES)
    simulations = list(product(CASES, LIMIT_ALGORITHMS, FIRST_LIMITS, SEEDS))
    figures = joblib.Parallel(n_jobs=-1)(joblib.delayed(simulated)(*one, duration_s) for one in simulations)
    by_start: dict[tuple[str, LimitController, int], list[LimitFigures]] = {}
    for (case, algorithm, first_limit, _), one in zip(simulations, figures, strict=True):
        by_start.setdefault((case, algorithm, first_limit), []).append(one)
    print(f"{'':18}{'best':>6}" + "".join(f"{algorithm:>24}" for algorithm in LIMIT_ALGORITHMS))
    for case, best_limit in zip(CASES, best, strict=True):
        for first_limit in FIRST_LIMITS:
            rows = [by_start[case, algorithm, first_limit] for algorithm in LIMIT_ALGORITHMS]
            print_row(case, first_limit, best_limit, rows)
    print("each: work done as a share of the best fixed limit's, mean limit, mean time of a run")
    return 0


def simulated(
    case: str, algorithm: LimitController, first_limit: int, seed: int, duration_s: float
) -> LimitFigures:
    """One algorithm on one machine, from one limit."""
    bounds = LimitBounds(1, CASES[case].machine.cores * MAX_LIMIT_A_CORE)
    limit = LIMIT_ALGORITHMS[algorithm](float(min(first_limit, bounds.maximum)), bounds)
    return MachineSimulation(CASES[case], limit, seed, duration_s).run()


def best_fixed_limit(case: str, duration_s: float) -> BestLimit:
    """Try fixed limits from half a run a core to four."""
    cores = CASES[case].machine.cores
    limits = sorted({max(1, round(cores * quarters / 4)) for quarters in range(2, 17)})
    tried = [BestLimit(limit, _fixed_limit_work_per_s(case, limit, duration_s)) for limit in limits]
    return max(tried, key=lambda best: (best.work_per_s, best.limit))


def print_row(
    case: str, first_limit: int, best: BestLimit, by_algorithm: Iterable[Sequence[LimitFigures]]
) -> None:
    """Print the line of one machine and one first limit."""
    cells = ""
    for figures in by_algorithm:
        share = fmean(one.work_per_s for one in figures) / best.work_per_s
        limit = fmean(one.limit for one in figures)
        run_s = fmean(one.run_s for one in figures)
        cells += f"{share:10.2f} {limit:6.1f} {run_s:5.2f}s"
    print(f"{case:15} {first_limit:2}{best.limit:6}{cells}")


def _fixed_limit_work_per_s(case: str, limit: int, duration_s: float) -> float:
    return fmean(
        MachineSimulation(CASES[case], FixedLimit(limit), seed, duration_s).run().work_per_s
        for seed in FIXED_LIMIT_SEEDS
    )
