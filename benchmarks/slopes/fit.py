"""Straight lines through what was measured, and the size at which one meets a bound. No I/O."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

FLAT = 1.02  # times the value at the size before: what grew no more at the end has come to its bound
FEWEST = 4  # sizes under which no slope is told


@dataclass(frozen=True)
class Line:
    """`base` + `slope` * size, by least squares. `residual`: root of the mean square of what it misses, in
    parts of the largest value. `power`: the growth from the last size but one to the last, as an exponent:
    near 1 what is straight, near 0 what does not grow, above 1 what the line tells too low beyond."""

    base: float
    slope: float
    residual: float
    power: float

    def at(self, size: float) -> float:
        return self.base + self.slope * size

    def breaks_at(self, bound: float) -> float | None:
        """The size at which it meets the bound; None where it never does."""
        if self.base >= bound:
            return 0.0
        return (bound - self.base) / self.slope if self.slope > 0 else None


def line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Raises ValueError under four different sizes: a slope of fewer can't show that it is one."""
    if len(sizes) != len(values) or len(set(sizes)) < FEWEST:
        raise ValueError(f"a slope needs {FEWEST} sizes or more, each with its value")
    n = len(sizes)
    mean_x, mean_y = sum(sizes) / n, sum(values) / n
    spread = sum((x - mean_x) ** 2 for x in sizes)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)) / spread
    base = mean_y - slope * mean_x
    missed = math.sqrt(sum((y - base - slope * x) ** 2 for x, y in zip(sizes, values, strict=True)) / n)
    top = max(map(abs, values))
    return Line(base, slope, missed / top if top else 0.0, _power(sizes, values))


def crossing(sizes: Sequence[float], values: Sequence[float], bound: float) -> tuple[float | None, bool]:
    """The size at which what was measured meets the bound, and whether it was run up to there: between the
    two sizes around it where it was, else by the line. None where it never does."""
    points = sorted(_means(sizes, values).items())
    if points[0][1] >= bound:
        return points[0][0], True
    for (x1, a), (x2, b) in zip(points, points[1:], strict=False):
        if b >= bound:
            return x1 + (bound - a) / (b - a) * (x2 - x1), True
    if points[-1][1] <= FLAT * points[-2][1]:
        return None, False
    return line(sizes, values).breaks_at(bound), False


def _means(sizes: Sequence[float], values: Sequence[float]) -> dict[float, float]:
    by_size: dict[float, list[float]] = {}
    for x, y in zip(sizes, values, strict=True):
        by_size.setdefault(x, []).append(y)
    return {x: sum(ys) / len(ys) for x, ys in by_size.items()}


def _power(sizes: Sequence[float], values: Sequence[float]) -> float:
    (x1, before), (x2, last) = sorted(_means(sizes, values).items())[-2:]
    return math.log(last / before) / math.log(x2 / x1) if before > 0 and last > 0 and x1 > 0 else 0.0
