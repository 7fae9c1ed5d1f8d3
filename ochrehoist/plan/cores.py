"""Cores that are shared by all that runs on them. No I/O and no clock: times are passed in, in seconds.

Each piece of work gets an equal part, at most a whole core. Past `slow_from` running for each core all
together get less done, down to `slow_to` of the capacity at `crowd`. A cold machine warms up evenly.
"""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Self

from ochrehoist.config.fleet_description import MachineKind

BUSY_WINDOW_S = 0.5  # that the gauge of busy cores looks back
WARMUP_STEP_S = 0.25  # at most between two looks at the speed of a cold machine
MIN_DIVISOR = 1e-9
WORK_TOLERANCE_S = 1e-9  # by which a piece of work may be short of its end and still counts as done


@dataclass(frozen=True)
class Machine:
    """What a machine can do.

    Attributes:
        speed: Of each core, in work-seconds a second.
        slow_from: Running for each core, past which all together get less done.
        slow_to: The share of the capacity that is left at the crowd.
        crowd: Running for each core, past which it gets no slower.
        cold_from: The share of the speed that a cold machine begins with.
        cold_s: Until it is warm.
    """

    cores: int
    speed: float
    slow_from: float = 1.3
    slow_to: float = 0.7
    crowd: float = 8.0
    cold_from: float = 1.0
    cold_s: float = 0.0

    @classmethod
    def of_kind(cls, kind: MachineKind, speed: float) -> Self:
        """A machine of a described kind, whose cores turned out that fast."""
        return cls(
            cores=kind.cores,
            speed=speed,
            slow_from=kind.slow_from,
            slow_to=kind.slow_to,
            crowd=kind.crowd,
            cold_from=kind.cold_from,
            cold_s=kind.cold_s,
        )

    def efficiency(self, running: int) -> float:
        """The share of the capacity that so many pieces of work get out of it together."""
        per_core = running / self.cores
        if per_core <= self.slow_from:
            return 1.0
        part = min(1.0, (per_core - self.slow_from) / max(MIN_DIVISOR, self.crowd - self.slow_from))
        return 1.0 - (1.0 - self.slow_to) * part

    def warmth(self, age_s: float) -> float:
        """The share of the speed that it has so long after a cold start."""
        if age_s >= self.cold_s:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, age_s) / self.cold_s


class Cores:
    """Work is in seconds on a core of speed 1. `tax` (0 to 1) takes a share of the capacity for nothing.

    Attributes:
        now: Up to which time has passed here.
        running: The amount of each piece of work that has not ended.
        busy_s: Core-seconds in use since the start.
        work_s: Work done since the start.
    """

    def __init__(self, machine: Machine, now: float, cold: bool = False) -> None:
        self.machine = machine
        self.now = now
        self.tax = 0.0
        self.running: dict[Hashable, float] = {}
        self.busy_s = 0.0
        self.work_s = 0.0
        self._started_at = now if cold else now - machine.cold_s
        # All run alike: each has ended once the work done for one since the start has reached its mark.
        self._done_each = 0.0
        self._end_marks: list[tuple[float, int, Hashable]] = []
        self._start_count = 0
        self._busy_samples: deque[tuple[float, float]] = deque([(now, 0.0)])  # moment, busy_s

    def busy_share(self, now: float) -> float:
        """The share of the cores in use over the last BUSY_WINDOW_S; call `advance` up to now first."""
        samples = self._busy_samples
        while len(samples) > 1 and samples[1][0] <= now - BUSY_WINDOW_S:
            samples.popleft()
        then, busy_s = samples[0]
        samples.append((now, self.busy_s))
        return min(1.0, (self.busy_s - busy_s) / max(MIN_DIVISOR, (now - then) * self.machine.cores))

    def rate(self) -> float:
        """Work done for each that runs, in a second."""
        count = len(self.running)
        if not count:
            return 0.0
        machine = self.machine
        warmth = machine.warmth(self.now - self._started_at)
        per_core = machine.speed * warmth * machine.efficiency(count) * (1 - self.tax)
        return per_core * min(1.0, machine.cores / count)

    def advance(self, now: float) -> list[Hashable]:
        """Lets time pass; returns what has ended, in order."""
        ended: list[Hashable] = []
        while now > self.now and self.running:
            rate = self.rate()
            until = min(now, self.now + (self._end_marks[0][0] - self._done_each) / rate)
            if self.now - self._started_at < self.machine.cold_s:
                until = min(until, self.now + WARMUP_STEP_S)
            self._run_until(until, rate)
            ended += self._take_ended()
        self.now = max(self.now, now)
        return ended

    def _run_until(self, until: float, rate: float) -> None:
        span_s = until - self.now
        count = len(self.running)
        self._done_each += span_s * rate
        self.busy_s += span_s * min(count, self.machine.cores)
        self.work_s += span_s * rate * count
        self.now = until

    def _take_ended(self) -> list[Hashable]:
        ended = []
        while self._end_marks and self._end_marks[0][0] <= self._done_each + WORK_TOLERANCE_S:
            task = heappop(self._end_marks)[2]
            if task in self.running:
                del self.running[task]
                ended.append(task)
        return ended

    def start(self, task: Hashable, work_s: float) -> None:
        """Begins a piece of work; call `advance` up to now first."""
        self._start_count += 1
        self.running[task] = work_s
        heappush(self._end_marks, (self._done_each + max(0.0, work_s), self._start_count, task))

    def next_end(self) -> float | None:
        """When something ends if nothing else comes, or an earlier moment to look again; None where idle."""
        if not self.running:
            return None
        ends_at = self.now + max(0.0, self._end_marks[0][0] - self._done_each) / self.rate()
        if self.now - self._started_at < self.machine.cold_s:
            ends_at = min(ends_at, self.now + WARMUP_STEP_S)
        return ends_at
