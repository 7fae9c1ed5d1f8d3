"""Algorithms that find how many requests may run at once from what completes, without knowing the machine.

Published: AIMD (Chiu and Jain, 1989), Vegas (Brakmo and Peterson, 1994, as used on concurrency), the second
gradient limit of Netflix's concurrency-limits (2018) and hill climbing by incremental steps (Heiss and
Wagner, 1991). Extremum seeking on the elasticity of throughput is ours; `python -m benchmarks
limit-algorithms` compares them all.

Times are a run's time for each unit of its stated work, where it states any, so that a mix of large and small
requests does not look like a change of the machine.
"""

import math
from dataclasses import dataclass
from typing import Protocol

from ochrehoist.config.tables import LimitController
from ochrehoist.overload.completion_window import CompletionWindow

MIN_UTILISATION = 0.8  # of the limit that must run for a window to say anything about it
BEST_TIME_DRIFT = 1.002  # by which the best time ever seen is raised with each window


@dataclass
class LimitBounds:
    """Between which a limit stays."""

    minimum: float = 1.0
    maximum: float = 1000.0

    def clamp(self, limit: float) -> float:
        """The limit, or the bound that it exceeds."""
        return min(self.maximum, max(self.minimum, limit))


class LimitAlgorithm(Protocol):
    """Finds a concurrency limit from one window of completions after the other."""

    limit: float
    bounds: LimitBounds

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None: ...

    def update(self, window: CompletionWindow) -> float:
        """Takes one window and gives the limit from now on."""
        ...


def _limit_reached(window: CompletionWindow, limit: float) -> bool:
    return window.concurrency >= MIN_UTILISATION * int(limit)


class FixedLimit:
    """The limit that it was given, for good."""

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()

    def update(self, window: CompletionWindow) -> float:  # noqa: ARG002 (the algorithms' common signature)
        """Changes nothing."""
        return self.limit


class AimdLimit:
    """Additive increase while times stay near the best ever seen, else multiplicative decrease."""

    SLOW_MULTIPLE = 2.0  # of the best time
    DECREASE = 0.9

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._best_time = math.inf

    def update(self, window: CompletionWindow) -> float:
        """Takes one window and gives the limit from now on."""
        self._best_time = min(self._best_time * BEST_TIME_DRIFT, window.time_per_work)
        if window.time_per_work > self.SLOW_MULTIPLE * self._best_time:
            self.limit *= self.DECREASE
        elif _limit_reached(window, self.limit):
            self.limit += 1
        self.limit = self.bounds.clamp(self.limit)
        return self.limit


class VegasLimit:
    """Estimates how many of those running only wait, and keeps that between two bounds."""

    MIN_QUEUE = 3.0  # the published alpha
    MAX_QUEUE = 6.0  # and beta

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._best_time = math.inf

    def update(self, window: CompletionWindow) -> float:
        """Takes one window and gives the limit from now on."""
        self._best_time = min(self._best_time * BEST_TIME_DRIFT, window.time_per_work)
        queue = self.limit * (1 - self._best_time / window.time_per_work)
        scale = max(1.0, math.log10(self.limit))
        if queue > self.MAX_QUEUE * scale:
            self.limit -= scale
        elif queue < self.MIN_QUEUE * scale and _limit_reached(window, self.limit):
            self.limit += scale
        self.limit = self.bounds.clamp(self.limit)
        return self.limit


class GradientLimit:
    """Follows the ratio of the long-term to the latest time, with room for a short queue."""

    TOLERANCE = 1.5  # of the long-term time, up to which the limit is not lowered
    SMOOTHING = 0.2
    LONG_TERM_WINDOWS = 60

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._long_term_time = 0.0

    def update(self, window: CompletionWindow) -> float:
        """Takes one window and gives the limit from now on."""
        self._update_long_term(window.time_per_work)
        if not _limit_reached(window, self.limit):
            return self.limit
        gradient = max(0.5, min(1.0, self.TOLERANCE * self._long_term_time / window.time_per_work))
        wanted = self.limit * gradient + math.sqrt(self.limit)
        self.limit = self.bounds.clamp(self.limit * (1 - self.SMOOTHING) + wanted * self.SMOOTHING)
        return self.limit

    def _update_long_term(self, time: float) -> None:
        if not self._long_term_time:
            self._long_term_time = time
        else:
            self._long_term_time += (time - self._long_term_time) * 2 / (self.LONG_TERM_WINDOWS + 1)
        if self._long_term_time / time > 2:  # after a load that has gone, it must not teach a wide limit
            self._long_term_time *= 0.95


@dataclass(slots=True, frozen=True)
class StepResult:
    """What a limit brought."""

    limit: float
    throughput: float


class HillClimbingLimit:
    """Climbs the throughput by steps: goes on while a step brought more, and turns where it did not.

    It needs no time that counts as good. Some windows together are compared with the mean of those at the
    limit before; a difference within the noise of counting is none, and then fewer is better: what runs
    takes memory, and what waits unstarted can still be rejected.
    """

    STEP = 0.08  # of the limit
    WINDOWS_PER_STEP = 2
    MIN_COMPLETIONS = 40
    NOISE = 1.5  # standard deviations of a count, within which a change says nothing

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._previous: StepResult | None = None
        self._windows: list[CompletionWindow] = []
        self._increasing = True

    def update(self, window: CompletionWindow) -> float:
        """Takes one window and gives the limit from now on."""
        if not _limit_reached(window, self.limit):
            self._windows.clear()
            return self.limit
        self._windows.append(window)
        count = sum(known.count for known in self._windows)
        if len(self._windows) < self.WINDOWS_PER_STEP or count < self.MIN_COMPLETIONS:
            return self.limit
        throughput = sum(known.throughput * known.count for known in self._windows) / count
        self._windows.clear()
        if self._previous is not None:
            self._choose_direction(self._previous, throughput, count)
        self._previous = StepResult(self.limit, throughput)
        step = max(1.0, self.STEP * self.limit)
        self.limit = self.bounds.clamp(self.limit + (step if self._increasing else -step))
        return self.limit

    def _choose_direction(self, previous: StepResult, throughput: float, count: int) -> None:
        noise = self.NOISE / math.sqrt(count)
        change = throughput / max(1e-9, previous.throughput) - 1
        was_increased = self.limit > previous.limit
        if abs(change) <= noise:
            self._increasing = not was_increased and change < -noise / 2
        else:
            self._increasing = was_increased == (change > 0)


class ExtremumSeekingLimit:
    """Probes a little below and a little above by turns, and moves to where more concurrency brings more.

    It holds the elasticity of throughput: one per cent more running brings one per cent more below the
    knee, and nothing or less past it. Throughput is taken as concurrency over the time of a unit of work
    (Little's law), which varies far less than counts of completions.
    """

    PROBE_WIDTH = 0.15  # of the limit, each way
    GAIN = 0.2  # of a pair of probes
    ELASTICITY_TARGET = 0.12

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._centre = limit
        self._probing_high = False
        self._low_throughput: float | None = None
        self._probe()

    def _probe(self) -> None:
        self._low = max(self.bounds.minimum, math.floor(self._centre * (1 - self.PROBE_WIDTH)))
        self._high = min(
            max(self._low + 1, math.ceil(self._centre * (1 + self.PROBE_WIDTH))), self.bounds.maximum
        )
        self.limit = self._high if self._probing_high else self._low

    def update(self, window: CompletionWindow) -> float:
        """Takes one window and gives the limit from now on."""
        if not _limit_reached(window, self.limit):
            self._low_throughput = None
            self._probing_high = True  # nobody is kept from reaching it
            self._probe()
            return self.limit
        throughput = window.concurrency / window.time_per_work
        if not self._probing_high:
            self._low_throughput = throughput
        elif self._low_throughput is not None and self._high > self._low:
            self._move(throughput / self._low_throughput)
        self._probing_high = not self._probing_high
        self._probe()
        return self.limit

    def _move(self, throughput_ratio: float) -> None:
        elasticity = math.log(throughput_ratio) / math.log(self._high / self._low)
        move = self.GAIN * (max(-1.0, min(1.0, elasticity)) - self.ELASTICITY_TARGET)
        self._centre = self.bounds.clamp(self._centre * math.exp(move))


# Every other controller of the configuration stands for a fixed limit.
LIMIT_ALGORITHMS: dict[LimitController, type[LimitAlgorithm]] = {
    LimitController.SEEK: ExtremumSeekingLimit,
    LimitController.STEPS: HillClimbingLimit,
    LimitController.GRADIENT: GradientLimit,
    LimitController.VEGAS: VegasLimit,
    LimitController.AIMD: AimdLimit,
    LimitController.FIXED: FixedLimit,
}
