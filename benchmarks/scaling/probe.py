"""What a probe of scaling is: a cost measured at several sizes, and the limits that it must stay within."""

from collections.abc import Callable
from dataclasses import dataclass

Measures = dict[str, float]  # by name, which ends in its unit


@dataclass(frozen=True)
class Limit:
    """The most that a measure may come to at the goal, and the reason in a few words."""

    measure: str
    most: float
    reason: str


@dataclass(frozen=True)
class Probe:
    """One cost by size: `measure` gives the measures at a size with a seed; `goal` is the size to reach."""

    name: str
    grows_with: str
    sizes: tuple[int, ...]
    measure: Callable[[int, int], Measures]
    goal: float
    limits: tuple[Limit, ...] = ()


REQUEST_DELAY_US = 5400
REQUEST_DELAY = "5.4 ms on a request's way"
CORE_SHARE_US_A_SECOND = 21_000  # 2.1% of a core


def request_delay(measure: str) -> Limit:
    """A measure in us that holds requests up."""
    return Limit(measure, REQUEST_DELAY_US, REQUEST_DELAY)


def core_share(measure: str, times_a_second: int) -> Limit:
    """A measure in us that is spent so many times a second."""
    most_us = CORE_SHARE_US_A_SECOND / times_a_second
    frequency = "each second" if times_a_second == 1 else f"at {times_a_second} a second"
    return Limit(measure, most_us, f"2.1% of a core {frequency}")
