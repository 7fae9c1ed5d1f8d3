"""Two captures side by side: what changed from one day to another, and which of it is not chance. No I/O.

Each figure is taken over whole stretches of time, and its interval by drawing stretches anew: requests that
come together share their fate, so drawing them one by one would call chance a change.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.capture.records import RequestOutcome
from ochrehoist.plan.demand import FloatArray
from ochrehoist.plan.errors import CaptureUnusableError

STRETCH_S = 5  # of time that is drawn as one
MIN_STRETCHES = 8  # under which there is no interval
RESAMPLES = 400
INTERVAL_95 = (0.025, 0.975)
NS_PER_S = 1e9
NS_PER_MS = 1e6

Stretch = list[CapturedRequest]
Value = Callable[[CapturedRequest], float | None]  # None where the request has none
Reduction = Callable[[FloatArray, float], float]  # of all values of a span in s


@dataclass(frozen=True)
class Change:
    """One figure in both captures. The names of the fields are keys of the planner's answers.

    Attributes:
        change: In parts of A's figure; None where there is nothing to measure it by.
        low: Of the 95% interval of the change, None where there is none.
        high: Likewise.
    """

    what: str
    a: float | None
    b: float | None
    change: float | None = None
    low: float | None = None
    high: float | None = None
    note: str = ""

    @property
    def clear(self) -> bool:
        """Whether the whole interval lies on one side."""
        if self.low is None or self.high is None:
            return False
        return self.low > 0 or self.high < 0

    def values(self) -> dict[str, Any]:
        """Plain values for tables, JSON and reports."""
        return self.__dict__ | {"clear": self.clear}


def _mean(values: FloatArray, span_s: float) -> float:  # noqa: ARG001 (a Reduction)
    return float(values.mean())


@dataclass(frozen=True)
class Figure:
    """One figure: the value of each request that has one, and what all values of a span are reduced to."""

    value: Value
    reduce: Reduction = _mean

    def values_of(self, stretch: Stretch) -> FloatArray:
        """Of the requests of a stretch that have one."""
        values = (self.value(request) for request in stretch)
        return np.array([value for value in values if value is not None], dtype=float)

    def over(self, stretches: Sequence[FloatArray]) -> float:
        """Over the values of so many stretches; NaN where no request has a value."""
        values = np.concatenate(stretches)
        return self.reduce(values, len(stretches) * STRETCH_S) if len(values) else math.nan


def _quantile(quantile: float, duration_ns: Callable[[CapturedRequest], int]) -> Figure:
    """Of a duration, in ms; requests whose duration is not known (below 0) have none."""

    def value(request: CapturedRequest) -> float | None:
        duration = duration_ns(request)
        return duration / NS_PER_MS if duration >= 0 else None

    return Figure(value, lambda values, _span_s: float(np.quantile(values, quantile)))


def _outcome_share(outcome: RequestOutcome) -> Figure:
    return Figure(lambda request: float(request.record.outcome == outcome))


def _of_class(name: str, figure: Figure) -> Figure:
    def value(request: CapturedRequest) -> float | None:
        return figure.value(request) if request.record.class_name == name else None

    return Figure(value, figure.reduce)


def _first_attempt_rate(sample_fraction: float) -> Figure:
    return Figure(
        lambda request: None if request.record.is_retry else 1.0,
        lambda values, span_s: len(values) / span_s / sample_fraction,
    )


def _stated_work_ms(request: CapturedRequest) -> float | None:
    return request.record.work_ns / NS_PER_MS if request.record.work_ns else None


CLASS_FIGURES = {
    "refused": _outcome_share(RequestOutcome.REJECTED),
    "failed": _outcome_share(RequestOutcome.FAILED),
    "callers gone": _outcome_share(RequestOutcome.CALLER_DISCONNECTED),
    "stated work, ms": Figure(_stated_work_ms),
    "waited p50, ms": _quantile(0.5, lambda request: request.record.queue_ns),
    "waited p99, ms": _quantile(0.99, lambda request: request.record.queue_ns),
    "ran p50, ms": _quantile(0.5, lambda request: request.record.run_ns),
    "ran p99, ms": _quantile(0.99, lambda request: request.record.run_ns),
}


def figures_of(capture_a: Capture, capture_b: Capture) -> dict[str, tuple[Figure, Figure]]:
    """What is compared, by name, each as it is taken of A and of B."""
    queued = Figure(lambda request: request.record.queued_requests)
    retries = Figure(lambda request: float(request.record.is_retry))
    figures = {
        "first tries a second": (
            _first_attempt_rate(capture_a.sample_fraction),
            _first_attempt_rate(capture_b.sample_fraction),
        ),
        "marked repeats": (retries, retries),
        "held before them": (queued, queued),
    }
    requests = (*capture_a.requests, *capture_b.requests)
    for class_name in sorted({request.record.class_name for request in requests}):
        for what, figure in CLASS_FIGURES.items():
            of_class = _of_class(class_name, figure)
            figures[f"{class_name}: {what}"] = (of_class, of_class)
    return figures


def stretches_of(capture: Capture) -> list[Stretch]:
    """Its requests by stretches of time; the last, which is not whole, is left out if there are others.

    Raises:
        CaptureUnusableError: Nothing is on record.
    """
    if not capture.requests:
        raise CaptureUnusableError.no_requests()
    begin_ns = capture.requests[0].arrived_unix_ns
    count = max(1, int(capture.duration_s / STRETCH_S))
    stretches: list[Stretch] = [[] for _ in range(count)]
    for request in capture.requests:
        index = int((request.arrived_unix_ns - begin_ns) / NS_PER_S / STRETCH_S)
        if index < count:
            stretches[index].append(request)
    return stretches


def compare_captures(capture_a: Capture, capture_b: Capture, seed: int = 1) -> list[Change]:
    """Every figure of both, with the interval of its change.

    Raises:
        CaptureUnusableError: Nothing is on record in one of them.
    """
    rng = np.random.default_rng(seed)
    stretches_a = stretches_of(capture_a)
    stretches_b = stretches_of(capture_b)
    changes = []
    for what, (figure_a, figure_b) in figures_of(capture_a, capture_b).items():
        side_a = _Side(figure_a, [figure_a.values_of(stretch) for stretch in stretches_a])
        side_b = _Side(figure_b, [figure_b.values_of(stretch) for stretch in stretches_b])
        changes.append(_change(what, side_a, side_b, rng))
    return changes


@dataclass(frozen=True)
class _Side:
    """A figure of one capture, with its values by stretch."""

    figure: Figure
    stretches: list[FloatArray]

    def figure_over_all(self) -> float | None:
        """None where no request has a value."""
        value = self.figure.over(self.stretches)
        return None if math.isnan(value) else value

    def figure_resampled(self, rng: np.random.Generator) -> float:
        """Over as many stretches, drawn with replacement."""
        count = len(self.stretches)
        return self.figure.over([self.stretches[index] for index in rng.integers(0, count, count)])


def _change(what: str, side_a: _Side, side_b: _Side, rng: np.random.Generator) -> Change:
    value_a = side_a.figure_over_all()
    value_b = side_b.figure_over_all()
    if value_a is None or value_b is None or value_a == 0:
        return Change(what, value_a, value_b, note=_missing_note(value_a, value_b))
    change = value_b / value_a - 1
    if min(len(side_a.stretches), len(side_b.stretches)) < MIN_STRETCHES:
        note = f"under {MIN_STRETCHES * STRETCH_S} s: no interval can be told"
        return Change(what, value_a, value_b, change, note=note)
    changes = _resampled_changes(side_a, side_b, rng)
    if len(changes) < RESAMPLES / 2:
        return Change(what, value_a, value_b, change, note="too rare for an interval")
    low, high = np.quantile(changes, INTERVAL_95)
    return Change(what, value_a, value_b, change, float(low), float(high))


def _missing_note(value_a: float | None, value_b: float | None) -> str:
    """Why there is no change to tell; nothing where there is nothing in either."""
    if value_a == 0 and value_b == 0:
        return ""
    return "nothing of it in B" if value_a else "nothing in A to measure it by"


def _resampled_changes(side_a: _Side, side_b: _Side, rng: np.random.Generator) -> list[float]:
    changes = []
    for _ in range(RESAMPLES):
        value_a = side_a.figure_resampled(rng)
        value_b = side_b.figure_resampled(rng)
        if value_a and not math.isnan(value_a) and not math.isnan(value_b):
            changes.append(value_b / value_a - 1)
    return changes
