"""Cores that are shared by all that runs on them. No I/O and no clock: times are told, in seconds.

Each piece of work gets an equal part, at most a whole core. Past `slow_from` running for each core all
together get less done, down to `slow_to` of the capacity at the survivable crowd. A cold one warms evenly.
"""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from heapq import heappop, heappush


@dataclass(frozen=True)
class Machine:
    cores: int
    speed: float
    slow_from: float = 1.3
    slow_to: float = 0.7
    crowd: float = 8.0
    cold_from: float = 1.0
    cold_s: float = 0.0

    def efficiency(self, running: int) -> float:
        """Of the capacity that is got out of it, by what runs."""
        per_core = running / self.cores
        if per_core <= self.slow_from:
            return 1.0
        part = min(1.0, (per_core - self.slow_from) / max(1e-9, self.crowd - self.slow_from))
        return 1.0 - (1.0 - self.slow_to) * part

    def warmth(self, age_s: float) -> float:
        if age_s >= self.cold_s:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, age_s) / self.cold_s


BUSY_OVER = 0.5  # s that the gauge of busy cores looks back
WARMING_STEP = 0.25  # s at most between looks at a cold machine's speed


class Cores:
    """Work is in seconds on a core of speed 1. `tax` (0 to 1) takes a share of the capacity for nothing."""

    def __init__(self, machine: Machine, now: float, cold: bool = False) -> None:
        self.machine, self.now = machine, now
        self.born = now if cold else now - machine.cold_s
        self.tax = 0.0
        # All run alike, so each has ended once the work done for one since the start has reached its mark.
        self.done, self.marks, self.order = 0.0, [], 0
        self.running: dict[Hashable, float] = {}
        self.busy_s = 0.0  # core seconds used
        self.work_s = 0.0  # work done
        self.looks: deque[tuple[float, float]] = deque([(now, 0.0)])  # at busy_s, for the gauge

    def busy_share(self, now: float) -> float:
        """Of the cores, over the last half second; `advance` up to now first."""
        while len(self.looks) > 1 and self.looks[1][0] <= now - BUSY_OVER:
            self.looks.popleft()
        then, busy = self.looks[0]
        self.looks.append((now, self.busy_s))
        return min(1.0, (self.busy_s - busy) / max(1e-9, (now - then) * self.machine.cores))

    def rate(self) -> float:
        """Work done for each that runs, in a second."""
        n = len(self.running)
        if not n:
            return 0.0
        m = self.machine
        whole = m.speed * m.warmth(self.now - self.born) * m.efficiency(n) * (1 - self.tax)
        return whole * min(1.0, m.cores / n)

    def advance(self, now: float) -> list[Hashable]:
        """Lets time pass; gives what has ended, in order."""
        ended = []
        while now > self.now and self.running:
            rate = self.rate()
            until = min(now, self.now + (self.marks[0][0] - self.done) / rate)
            if self.now - self.born < self.machine.cold_s:
                until = min(until, self.now + WARMING_STEP)
            self._pass(until, rate)
            ended += self._ended()
        self.now = max(self.now, now)
        return ended

    def _pass(self, until: float, rate: float) -> None:
        span, n = until - self.now, len(self.running)
        self.done += span * rate
        self.busy_s += span * min(n, self.machine.cores)
        self.work_s += span * rate * n
        self.now = until

    def _ended(self) -> list[Hashable]:
        out = []
        while self.marks and self.marks[0][0] <= self.done + 1e-9:
            what = heappop(self.marks)[2]
            if what in self.running:
                del self.running[what]
                out.append(what)
        return out

    def start(self, what: Hashable, work: float) -> None:
        """Call `advance` up to now first."""
        self.order += 1
        self.running[what] = work
        heappush(self.marks, (self.done + max(0.0, work), self.order, what))

    def next_end(self) -> float | None:
        """When something ends if nothing else comes, or an earlier moment to look again; None where idle."""
        if not self.running:
            return None
        at = self.now + max(0.0, self.marks[0][0] - self.done) / self.rate()
        if self.now - self.born < self.machine.cold_s:
            at = min(at, self.now + WARMING_STEP)
        return at
