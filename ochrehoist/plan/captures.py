"""Two captures side by side: what changed from one day to another, and which of it is not chance. No I/O.

Each figure is taken over whole stretches of time, and its interval by drawing stretches anew: requests that
come together share their fate, so drawing them one by one would call chance a change.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.capture.records import RequestOutcome

STRETCH_S = 5  # of time that is drawn as one
FEWEST = 8  # stretches under which no interval is told
RESAMPLES = 400
MS = 1e6


@dataclass(frozen=True)
class Change:
    """One figure in both; `change` is in parts of A's, None where one has nothing to tell it by."""

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
        return self.low is not None and (self.low > 0 or self.high < 0)

    def line(self) -> dict[str, Any]:
        return self.__dict__ | {"clear": self.clear}


class Figure:
    """One figure: the value of each request that has one, and what is made of all values of a span (s)."""

    def __init__(
        self,
        of: Callable[[CapturedRequest], float | None],
        reduced: Callable[[np.ndarray, float], float] | None = None,
    ) -> None:
        self.of, self.reduced = of, reduced or (lambda values, _: float(values.mean()))

    def values(self, entries: list[CapturedRequest]) -> np.ndarray:
        return np.array([v for v in map(self.of, entries) if v is not None], dtype=float)

    def taken(self, parts: list[np.ndarray]) -> float:
        """Of so many stretches; NaN where no request has a value."""
        values = np.concatenate(parts)
        return self.reduced(values, len(parts) * STRETCH_S) if len(values) else math.nan


def _quantile(q: float, of: Callable[[CapturedRequest], int]) -> Figure:
    def value(e: CapturedRequest) -> float | None:
        v = of(e)
        return v / MS if v >= 0 else None

    return Figure(value, lambda values, _: float(np.quantile(values, q)))


def _share(of: Callable[[CapturedRequest], bool]) -> Figure:
    return Figure(lambda e: float(of(e)))


def _of_class(name: str, figure: Figure) -> Figure:
    return Figure(lambda e: figure.of(e) if e.record.class_name == name else None, figure.reduced)


def _rate(sample: float) -> Figure:
    return Figure(
        lambda e: None if e.record.is_retry else 1.0, lambda values, span: len(values) / span / sample
    )


def figures(a: Capture, b: Capture) -> dict[str, tuple[Figure, Figure]]:
    """What is compared, by name, each as it is taken of A and of B."""
    held, repeats = Figure(lambda e: e.record.queued_requests), _share(lambda e: e.record.is_retry)
    out = {
        "first tries a second": (_rate(a.sample_fraction), _rate(b.sample_fraction)),
        "marked repeats": (repeats, repeats),
        "held before them": (held, held),
    }
    of_class = {
        "refused": _share(lambda e: e.record.outcome == RequestOutcome.REJECTED),
        "failed": _share(lambda e: e.record.outcome == RequestOutcome.FAILED),
        "callers gone": _share(lambda e: e.record.outcome == RequestOutcome.CALLER_GONE),
        "stated work, ms": Figure(lambda e: e.record.work_ns / MS if e.record.work_ns else None),
        "waited p50, ms": _quantile(0.5, lambda e: e.record.queue_ns),
        "waited p99, ms": _quantile(0.99, lambda e: e.record.queue_ns),
        "ran p50, ms": _quantile(0.5, lambda e: e.record.run_ns),
        "ran p99, ms": _quantile(0.99, lambda e: e.record.run_ns),
    }
    for name in sorted({e.record.class_name for e in (*a.requests, *b.requests)}):
        for what, figure in of_class.items():
            out[f"{name}: {what}"] = (_of_class(name, figure),) * 2
    return out


def stretches(capture: Capture) -> list[list[CapturedRequest]]:
    """Its requests by stretches of time; the last, which is not whole, is left out if there are others."""
    if not capture.requests:
        raise ValueError("no requests are on record")
    begin, count = capture.requests[0].arrived_unix_ns, max(1, int(capture.duration_s / STRETCH_S))
    out: list[list[CapturedRequest]] = [[] for _ in range(count)]
    for e in capture.requests:
        at = int((e.arrived_unix_ns - begin) / 1e9 / STRETCH_S)
        if at < count:
            out[at].append(e)
    return out


def side_by_side(a: Capture, b: Capture, seed: int = 1) -> list[Change]:
    """Every figure of both, with the interval of its change. Raises ValueError where one holds nothing."""
    rng, parts = np.random.default_rng(seed), (stretches(a), stretches(b))
    return [_change(what, of, parts, rng) for what, of in figures(a, b).items()]


def _change(
    what: str,
    of: tuple[Figure, Figure],
    parts: tuple[list[list[CapturedRequest]], list[list[CapturedRequest]]],
    rng: np.random.Generator,
) -> Change:
    values = [[figure.values(part) for part in mine] for figure, mine in zip(of, parts, strict=True)]
    first, second = (figure.taken(v) for figure, v in zip(of, values, strict=True))
    told = [None if math.isnan(v) else v for v in (first, second)]
    if None in told or first == 0:
        note = "nothing in A to measure it by" if told[0] in (None, 0) else "nothing of it in B"
        return Change(what, *told, note="" if first == second == 0 else note)
    change = second / first - 1
    if min(map(len, parts)) < FEWEST:
        return Change(what, *told, change, note=f"under {FEWEST * STRETCH_S} s: no interval can be told")
    drawn = []
    for _ in range(RESAMPLES):
        x, y = (
            figure.taken([v[n] for n in rng.integers(0, len(v), len(v))])
            for figure, v in zip(of, values, strict=True)
        )
        if x and not math.isnan(x) and not math.isnan(y):
            drawn.append(y / x - 1)
    if len(drawn) < RESAMPLES / 2:
        return Change(what, *told, change, note="too rare for an interval")
    low, high = np.quantile(drawn, (0.025, 0.975))
    return Change(what, *told, change, float(low), float(high))
