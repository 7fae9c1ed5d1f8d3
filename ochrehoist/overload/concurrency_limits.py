"""Adaptive concurrency limits: algorithms that derive a limit from completed runs only.

Published algorithms: AIMD (Chiu and Jain, 1989), Vegas (Brakmo and Peterson, 1994, applied to concurrency),
the second gradient limit of Netflix's concurrency-limits (2018) and hill climbing by incremental steps (Heiss
and Wagner, 1991). Extremum seeking on the elasticity of throughput was developed for this project;
`python -m benchmarks limit-algorithms` compares all of them.

Times are run times per unit of stated work, if a request states any, so that a mix of large and small
requests is not mistaken for a change in the machine's speed.
"""

import math
from dataclasses import dataclass
from typing import Protocol

from ochrehoist.config.tables import LimitController
from ochrehoist.overload.completion_window import CompletionWindow

MIN_UTILISATION = 0.8  # fraction of the limit that must be in use for a window to be significant
BEST_TIME_DRIFT = 1.002  # factor that raises the best time with each window, so that old ones expire


@dataclass
class LimitBounds:
    """Minimum and maximum of a concurrency limit."""

    minimum: float = 1.0
    maximum: float = 1000.0

    def clamp(self, limit: float) -> float:
        """Returns the limit restricted to these bounds."""
        return min(self.maximum, max(self.minimum, limit))


class LimitAlgorithm(Protocol):
    """Concurrency limit that adapts to consecutive windows of completions."""

    limit: float
    bounds: LimitBounds

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None: ...

    def update(self, window: CompletionWindow) -> float:
        """Updates the limit from one window and returns it."""
        ...


def _limit_reached(window: CompletionWindow, limit: float) -> bool:
    return window.concurrency >= MIN_UTILISATION * int(limit)


class FixedLimit:
    """A constant limit."""

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()

    def update(self, window: CompletionWindow) -> float:  # noqa: ARG002 (the algorithms' common signature)
        """Returns the constant limit."""
        return self.limit


class AimdLimit:
    """Limit with additive increase while times stay close to the best time, else multiplicative decrease."""

    SLOW_MULTIPLE = 2.0  # multiple of the best time above which the limit is decreased
    DECREASE = 0.9

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._best_time = math.inf

    def update(self, window: CompletionWindow) -> float:
        """Updates the limit from one window and returns it."""
        self._best_time = min(self._best_time * BEST_TIME_DRIFT, window.time_per_work)
        if window.time_per_work > self.SLOW_MULTIPLE * self._best_time:
            self.limit *= self.DECREASE
        elif _limit_reached(window, self.limit):
            self.limit += 1
        self.limit = self.bounds.clamp(self.limit)
        return self.limit


class VegasLimit:
    """Limit that keeps the estimated number of running requests that only wait between two bounds."""

    MIN_QUEUE = 3.0  # alpha in the publication
    MAX_QUEUE = 6.0  # beta in the publication

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._best_time = math.inf

    def update(self, window: CompletionWindow) -> float:
        """Updates the limit from one window and returns it."""
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
    """Limit that follows the ratio of the long-term time to the latest time, and allows for a short queue."""

    TOLERANCE = 1.5  # multiple of the long-term time up to which the limit is not decreased
    SMOOTHING = 0.2
    LONG_TERM_WINDOWS = 60

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._long_term_time = 0.0

    def update(self, window: CompletionWindow) -> float:
        """Updates the limit from one window and returns it."""
        self._update_long_term(window.time_per_work)
        if not _limit_reached(window, self.limit):
            return self.limit
        gradient = max(0.5, min(1.0, self.TOLERANCE * self._long_term_time / window.time_per_work))
        target_limit = self.limit * gradient + math.sqrt(self.limit)
        self.limit = self.bounds.clamp(self.limit * (1 - self.SMOOTHING) + target_limit * self.SMOOTHING)
        return self.limit

    def _update_long_term(self, latest_time: float) -> None:
        if not self._long_term_time:
            self._long_term_time = latest_time
        else:
            self._long_term_time += (latest_time - self._long_term_time) * 2 / (self.LONG_TERM_WINDOWS + 1)
        if self._long_term_time / latest_time > 2:
            # After a heavy load has ended, the long-term time is too high and would raise the limit too far.
            self._long_term_time *= 0.95


@dataclass(slots=True, frozen=True)
class StepResult:
    """Throughput that was measured at a limit."""

    limit: float
    throughput: float


class HillClimbingLimit:
    """Limit that moves in steps, in the direction that increases throughput, and reverses otherwise.

    It needs no reference time. The throughput of several windows is compared with that at the previous limit.
    A difference within the counting noise is ignored, and the limit is decreased then: running requests use
    memory, and waiting requests can still be rejected.
    """

    STEP = 0.08  # fraction of the limit
    WINDOWS_PER_STEP = 2
    MIN_COMPLETIONS = 40
    NOISE = 1.5  # standard deviations of a count within which a change is not significant

    def __init__(self, limit: float, bounds: LimitBounds | None = None) -> None:
        self.limit = limit
        self.bounds = bounds or LimitBounds()
        self._previous: StepResult | None = None
        self._windows: list[CompletionWindow] = []
        self._increasing = True

    def update(self, window: CompletionWindow) -> float:
        """Updates the limit from one window and returns it."""
        if not _limit_reached(window, self.limit):
            self._windows.clear()
            return self.limit
        self._windows.append(window)
        count = sum(past.count for past in self._windows)
        if len(self._windows) < self.WINDOWS_PER_STEP or count < self.MIN_COMPLETIONS:
            return self.limit
        throughput = sum(past.throughput * past.count for past in self._windows) / count
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
    """Limit that probes below and above a centre in turn, and moves the centre by the result.

    It keeps the elasticity of throughput at a target: 1 % more concurrency gives 1 % more throughput below
    the knee of the curve, and no more throughput, or less, beyond it. Throughput is computed as concurrency
    divided by the time per unit of work (Little's law), which varies much less than the count of completions.
    """

    PROBE_WIDTH = 0.15  # distance of each probe from the centre, as a fraction of the centre
    GAIN = 0.2  # change of the centre's logarithm per unit of elasticity error
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
        """Updates the limit from one window and returns it."""
        if not _limit_reached(window, self.limit):
            self._low_throughput = None
            self._probing_high = True  # the high probe does not restrict a load that stays below the limit
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
        log_step = self.GAIN * (max(-1.0, min(1.0, elasticity)) - self.ELASTICITY_TARGET)
        self._centre = self.bounds.clamp(self._centre * math.exp(log_step))


# A controller of the configuration that is not listed here uses FixedLimit.
LIMIT_ALGORITHMS: dict[LimitController, type[LimitAlgorithm]] = {
    LimitController.SEEK: ExtremumSeekingLimit,
    LimitController.STEPS: HillClimbingLimit,
    LimitController.GRADIENT: GradientLimit,
    LimitController.VEGAS: VegasLimit,
    LimitController.AIMD: AimdLimit,
    LimitController.FIXED: FixedLimit,
}
