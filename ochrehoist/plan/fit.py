"""What a capture reveals of speeds, the crowd, reading, popularity and retries of a fleet. No I/O.

Each estimate has a 95% interval by bootstrap resampling, or says why the capture cannot tell.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.capture.records import RequestOutcome
from ochrehoist.plan.demand import FloatArray
from ochrehoist.plan.errors import CaptureUnusableError

RESAMPLES = 300
MIN_VALUES = 40  # under which nothing is said
INTERVAL_95 = (0.025, 0.975)
SLOWED_SHARE = 0.93  # of the capacity, under which a crowd counts as slower
CROWD_STEP = 0.5  # running a core, to which crowds are rounded down
IDLE_SHARE = 0.5  # of the cores busy, up to which a wait to be read is reading itself
MAX_ZIPF_EXPONENT = 2.5
ZIPF_STEPS = 501
LIKELIHOOD_RATIO_95 = 1.92  # of the logarithm: half of the 95% quantile of chi-squared with one degree
NS_PER_S = 1e9
NS_PER_MS = 1e6
FIRST_ATTEMPT_RATE = "first tries a second"
SLOWS = "running a core, past which work slows"
ZIPF_EXPONENT = "popularity of subjects (zipf)"


@dataclass(frozen=True)
class Estimate:
    """One figure with its interval; `value` is None where the capture cannot tell, and `note` says why.

    The names of the fields are keys of the planner's answers.
    """

    what: str
    value: float | None
    low: float | None = None
    high: float | None = None
    count: int = 0
    note: str = ""

    def values(self) -> dict[str, Any]:
        """Plain values for tables, JSON and reports."""
        return dict(self.__dict__)


def bootstrap(
    what: str,
    values: FloatArray,
    statistic: Callable[[FloatArray], float],
    rng: np.random.Generator,
    note: str = "",
) -> Estimate:
    """A statistic of the values, with its interval by drawing them anew; none of too few values."""
    count = len(values)
    if count < MIN_VALUES:
        return Estimate(what, None, count=count, note=f"only {count} values; {MIN_VALUES} are needed")
    samples = [statistic(values[rng.integers(0, count, count)]) for _ in range(RESAMPLES)]
    low, high = np.quantile(samples, INTERVAL_95)
    return Estimate(what, float(statistic(values)), float(low), float(high), count, note)


def _mean(values: FloatArray) -> float:
    return float(values.mean())


def _median(values: FloatArray) -> float:
    return float(np.median(values))


def _coefficient_of_variation(values: FloatArray) -> float:
    return float(values.std() / values.mean())


def estimate_all(capture: Capture, seed: int = 1) -> list[Estimate]:
    """All that a capture can tell, classes and workers by name.

    Raises:
        CaptureUnusableError: Nothing is on record.
    """
    if not capture.requests:
        raise CaptureUnusableError.no_requests()
    rng = np.random.default_rng(seed)
    estimates = [_first_attempt_rate(capture, rng)]
    by_class: dict[str, list[CapturedRequest]] = defaultdict(list)
    by_worker: dict[str, list[CapturedRequest]] = defaultdict(list)
    for request in capture.requests:
        by_class[request.record.class_name].append(request)
        by_worker[request.worker].append(request)
    for name, requests in sorted(by_class.items()):
        estimates += _stated_work(name, requests, rng)
    cores = {header.worker: header.cores for header in capture.headers}
    is_sampled = capture.sample_fraction < 1
    for name, requests in sorted(by_worker.items()):
        estimates += _WorkerFit(name, requests, cores[name], is_sampled).estimates(rng)
    return [*estimates, _zipf_exponent(capture), _retry_share(capture, rng)]


def _first_attempt_rate(capture: Capture, rng: np.random.Generator) -> Estimate:
    """By whole seconds."""
    arrivals_ns = [request.arrived_unix_ns for request in capture.requests if not request.record.is_retry]
    if capture.duration_s < MIN_VALUES:
        return Estimate(
            FIRST_ATTEMPT_RATE,
            len(arrivals_ns) / max(1.0, capture.duration_s) / capture.sample_fraction,
            count=len(arrivals_ns),
            note=f"{capture.duration_s:.0f} s are too short for an interval",
        )
    begin_ns = capture.requests[0].arrived_unix_ns
    counts = Counter((arrived_ns - begin_ns) // 1_000_000_000 for arrived_ns in arrivals_ns)
    rates = [counts[second] / capture.sample_fraction for second in range(int(capture.duration_s))]
    return bootstrap(FIRST_ATTEMPT_RATE, np.array(rates, dtype=float), _mean, rng)


def _stated_work(name: str, requests: list[CapturedRequest], rng: np.random.Generator) -> list[Estimate]:
    """Mean and spread of the work that requests of a class state."""
    work_ms = np.array([request.record.work_ns / NS_PER_MS for request in requests if request.record.work_ns])
    note = "" if len(work_ms) else "no request stated its work"
    return [
        bootstrap(f"{name}: stated work (ms)", work_ms, _mean, rng, note),
        bootstrap(f"{name}: spread of it (cv)", work_ms, _coefficient_of_variation, rng),
    ]


@dataclass(frozen=True)
class _Neighbours:
    """What ran beside a run, on the average over its time: its share of a core, and the crowd a core."""

    core_share: float
    crowd: float


class _WorkerFit:
    """One worker: the speed of its cores, the crowd past which they slow, and what reading takes.

    What ran beside a run is known from all others' times; of a sampled capture only by how many ran as it
    arrived.
    """

    def __init__(self, name: str, requests: list[CapturedRequest], cores: int, is_sampled: bool) -> None:
        self._name = name
        self._requests = requests
        self._cores = cores
        self._runs = [request for request in requests if _has_run(request)]
        measured = {} if is_sampled else _neighbours_by_index(requests, cores)
        self._measured = {id(request): measured.get(index) for index, request in enumerate(requests)}

    def estimates(self, rng: np.random.Generator) -> list[Estimate]:
        """All that can be told of the worker."""
        speed = self._speed(rng)
        if speed.value is None:
            return [speed, Estimate(f"{self._name}: {SLOWS}", None, note="no speed is known")]
        estimates = [speed, self._slowing_crowd(speed.value, rng)]
        reading = self._reading(speed.value, rng)
        return estimates if reading is None else [*estimates, reading]

    def _neighbours(self, request: CapturedRequest) -> _Neighbours:
        measured = self._measured[id(request)]
        if measured is not None:
            return measured
        crowd = (request.record.running_requests + 1) / self._cores
        return _Neighbours(min(1.0, 1 / crowd), crowd)

    def _speed(self, rng: np.random.Generator) -> Estimate:
        """By runs that had a core of their own."""
        speeds = []
        for request in self._runs:
            neighbours = self._neighbours(request)
            if neighbours.crowd <= 1.0:
                record = request.record
                speeds.append(record.work_ns / record.run_ns / neighbours.core_share)
        is_enough = len(speeds) >= MIN_VALUES
        note = (
            "as runs have it, less what reading takes"
            if is_enough
            else "too few runs had a core of their own"
        )
        return bootstrap(f"{self._name}: speed of a core", np.array(speeds), _median, rng, note)

    def _slowing_crowd(self, speed: float, rng: np.random.Generator) -> Estimate:
        """The smallest crowd in which work is clearly slower than its share of the cores explains."""
        efficiency_by_crowd: dict[float, list[float]] = defaultdict(list)
        for request in self._runs:
            neighbours = self._neighbours(request)
            record = request.record
            crowd = math.floor(neighbours.crowd / CROWD_STEP) * CROWD_STEP
            efficiency = record.work_ns / record.run_ns / (neighbours.core_share * speed)
            efficiency_by_crowd[crowd].append(efficiency)
        what = f"{self._name}: {SLOWS}"
        slowing: Estimate | None = None
        largest = 0.0
        for crowd, efficiencies in sorted(efficiency_by_crowd.items()):
            if len(efficiencies) < MIN_VALUES or crowd < 1:
                continue
            largest = crowd
            efficiency_there = bootstrap("", np.array(efficiencies), _median, rng)
            if slowing is None and _is_below(efficiency_there, SLOWED_SHARE):
                note = f"to {efficiency_there.value:.2f} of the capacity there"
                slowing = Estimate(
                    what, crowd, crowd - CROWD_STEP, crowd + CROWD_STEP, len(efficiencies), note
                )
        if slowing is not None:
            return slowing
        return Estimate(what, None, note=f"it was never seen to slow, up to {largest:g} running a core")

    def _reading(self, speed: float, rng: np.random.Generator) -> Estimate | None:
        """What reading a request takes, as a share of the mean work; None where no work is stated."""
        work_s = np.array(
            [request.record.work_ns / NS_PER_S for request in self._requests if request.record.work_ns]
        )
        if not len(work_s):
            return None
        read_delays_s = np.array(
            [
                request.record.read_delay_ns / NS_PER_S
                for request in self._requests
                if request.record.running_requests <= IDLE_SHARE * self._cores
                and not request.record.queued_requests
            ]
        )
        return bootstrap(
            f"{self._name}: reading, of the mean work",
            read_delays_s * speed / float(work_s.mean()),
            _median,
            rng,
            "an upper bound: what passed before the request was read",
        )


def _is_below(estimate: Estimate, bound: float) -> bool:
    """Whether the whole interval lies below the bound."""
    return estimate.high is not None and estimate.high < bound


def _has_run(request: CapturedRequest) -> bool:
    """Whether it was served, and both its work and the duration of its run are known."""
    record = request.record
    return record.outcome == RequestOutcome.SERVED and record.run_ns > 0 and bool(record.work_ns)


def _neighbours_by_index(requests: list[CapturedRequest], cores: int) -> dict[int, _Neighbours]:
    """What ran beside each run, by its place in the list.

    How many run is a step function of time; the mean over a run is the difference of that function's integral
    between its begin and its end.
    """
    indices = [
        index
        for index, request in enumerate(requests)
        if request.record.queue_ns >= 0 and request.record.run_ns > 0
    ]
    if not indices:
        return {}
    begins = np.array([_run_begin_ns(requests[index]) for index in indices], dtype=float)
    ends = begins + np.array([requests[index].record.run_ns for index in indices], dtype=float)
    moments = np.concatenate([begins, ends])
    changes = np.concatenate([np.ones(len(indices)), -np.ones(len(indices))])
    order = np.argsort(moments, kind="stable")
    moments = moments[order]
    running = np.cumsum(changes[order])[:-1]
    widths = np.diff(moments)
    share_integral = _integral(widths * np.minimum(1.0, cores / np.maximum(1, running)))
    crowd_integral = _integral(widths * running / cores)
    durations = np.maximum(1.0, ends - begins)
    shares, crowds = (
        (np.interp(ends, moments, integral) - np.interp(begins, moments, integral)) / durations
        for integral in (share_integral, crowd_integral)
    )
    return {
        index: _Neighbours(float(shares[position]), float(crowds[position]))
        for position, index in enumerate(indices)
    }


def _run_begin_ns(request: CapturedRequest) -> int:
    return request.arrived_unix_ns + request.record.read_delay_ns + request.record.queue_ns


def _integral(areas: FloatArray) -> FloatArray:
    return np.concatenate([[0.0], np.cumsum(areas)])


def _zipf_exponent(capture: Capture) -> Estimate:
    """The exponent of Zipf's law by maximum likelihood.

    Of the file with most subjects: hashes differ by file.
    """
    counts = _subject_counts(capture)
    total = sum(counts.values())
    if total < 10 * MIN_VALUES or len(counts) < MIN_VALUES:
        return Estimate(ZIPF_EXPONENT, None, count=total, note="too few requests name a subject")
    frequencies = np.sort(np.array(list(counts.values()), dtype=float))[::-1]
    log_ranks = np.log(np.arange(1, len(frequencies) + 1))

    def negative_log_likelihood(exponent: float) -> float:
        log_weights = -exponent * log_ranks
        return float(-(frequencies * log_weights).sum() + total * np.log(np.exp(log_weights).sum()))

    exponents = np.linspace(0.0, MAX_ZIPF_EXPONENT, ZIPF_STEPS)
    losses = np.array([negative_log_likelihood(exponent) for exponent in exponents])
    best = int(losses.argmin())
    within = exponents[losses <= losses[best] + LIKELIHOOD_RATIO_95]
    note = (
        "of the sampled subjects"
        if capture.sample_fraction < 1
        else "subjects never asked for are not counted"
    )
    return Estimate(
        ZIPF_EXPONENT, float(exponents[best]), float(within.min()), float(within.max()), total, note
    )


def _subject_counts(capture: Capture) -> Counter[int]:
    """First attempts by subject, in the file that has most subjects."""
    counts_by_file: dict[tuple[str, int], Counter[int]] = defaultdict(Counter)
    for request in capture.requests:
        if request.subject and not request.record.is_retry:
            file_start_ns = request.arrived_unix_ns - request.record.arrived_ns
            counts_by_file[request.worker, file_start_ns][request.subject] += 1
    return max(counts_by_file.values(), key=len, default=Counter())


def _retry_share(capture: Capture, rng: np.random.Generator) -> Estimate:
    marks = np.array([float(request.record.is_retry) for request in capture.requests])
    return bootstrap("marked repeats, of all requests", marks, _mean, rng)
