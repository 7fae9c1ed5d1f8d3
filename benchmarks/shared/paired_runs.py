"""Runs of two versions in alternation, so that what else the machine does meets both."""

import statistics
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

Measured = TypeVar("Measured")


@dataclass(frozen=True)
class Pair(Generic[Measured]):
    """One measurement of each version, from the same round."""

    before: Measured
    now: Measured


@dataclass(frozen=True)
class RatioSummary:
    """The ratios now/before of several rounds."""

    median: float
    least: float
    most: float

    def __str__(self) -> str:
        return f"{self.median:.3f} ({self.least:.3f} to {self.most:.3f})"


def paired_rounds(
    rounds: int, before: Callable[[], Measured], now: Callable[[], Measured]
) -> Iterator[Pair[Measured]]:
    """Measure both in each round; each goes first in every second one."""
    for number in range(rounds):
        if number % 2:
            measured_now = now()
            yield Pair(before(), measured_now)
        else:
            measured_before = before()
            yield Pair(measured_before, now())


def ratio_summary(pairs: Sequence[Pair[float]]) -> RatioSummary:
    """How the ratio now/before varied over the rounds; `pairs` must not be empty."""
    ratios = [pair.now / pair.before for pair in pairs]
    return RatioSummary(statistics.median(ratios), min(ratios), max(ratios))
