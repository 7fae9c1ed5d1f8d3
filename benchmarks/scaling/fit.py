"""Straight lines through what was measured, and the size at which one meets a limit. No I/O."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise

FLAT_RATIO = 1.02  # of the values at the last two sizes, up to which growth has ended
FEWEST_SIZES = 4


@dataclass(frozen=True)
class Line:
    """`base` + `slope` * size, by least squares.

    `residual`: root of the mean square of what the line misses, in parts of the largest value. `power`: the
    growth between the last two sizes as an exponent: near 1 what is straight, near 0 what does not grow,
    above 1 what the line puts too low beyond them.
    """

    base: float
    slope: float
    residual: float
    power: float

    def at(self, size: float) -> float:
        """The value at a size."""
        return self.base + self.slope * size

    def crosses(self, limit: float) -> float | None:
        """The size at which it meets a limit; None where it never does."""
        if self.base >= limit:
            return 0.0
        return (limit - self.base) / self.slope if self.slope > 0 else None


@dataclass(frozen=True)
class Crossing:
    """The size at which a limit is met, None where it never is, and whether it was measured up to there."""

    size: float | None
    measured: bool


def fitted_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """The line through points; ValueError under four sizes: a slope of fewer can't show that it is one."""
    if len(sizes) != len(values) or len(set(sizes)) < FEWEST_SIZES:
        message = f"a slope needs {FEWEST_SIZES} sizes or more, each with its value"
        raise ValueError(message)
    points = list(zip(sizes, values, strict=True))
    count = len(points)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / spread
    base = mean_value - slope * mean_size
    missed = math.sqrt(sum((value - base - slope * size) ** 2 for size, value in points) / count)
    largest = max(map(abs, values))
    return Line(base, slope, missed / largest if largest else 0.0, _power(sizes, values))


def limit_crossing(sizes: Sequence[float], values: Sequence[float], limit: float) -> Crossing:
    """Where what was measured meets a limit.

    Between the two sizes around it where it was measured up to there, else by the line.
    """
    points = sorted(_means(sizes, values).items())
    first_size, first_value = points[0]
    if first_value >= limit:
        return Crossing(first_size, measured=True)
    for (size, value), (next_size, next_value) in pairwise(points):
        if next_value >= limit:
            part = (limit - value) / (next_value - value)
            return Crossing(size + part * (next_size - size), measured=True)
    if points[-1][1] <= FLAT_RATIO * points[-2][1]:
        return Crossing(None, measured=False)
    return Crossing(fitted_line(sizes, values).crosses(limit), measured=False)


def _means(sizes: Sequence[float], values: Sequence[float]) -> dict[float, float]:
    """The mean value of each size."""
    by_size: dict[float, list[float]] = {}
    for size, value in zip(sizes, values, strict=True):
        by_size.setdefault(size, []).append(value)
    return {size: sum(found) / len(found) for size, found in by_size.items()}


def _power(sizes: Sequence[float], values: Sequence[float]) -> float:
    (size, value), (last_size, last_value) = sorted(_means(sizes, values).items())[-2:]
    if value <= 0 or last_value <= 0 or size <= 0:
        return 0.0
    return math.log(last_value / value) / math.log(last_size / size)
