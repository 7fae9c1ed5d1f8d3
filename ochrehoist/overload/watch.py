"""What a worker measures of itself, and whether it is behind: without I/O, on times that are handed in.

Behind means that what is offered costs more processor time than there is, or that greenlets run late. Both
are needed: lateness tells it at once but vanishes as soon as shedding helps, so it can't tell when shedding
may end; the processor time that all that is offered would cost can, as it counts what is shed too.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import perf_counter
from typing import Any

from hdrh.histogram import HdrHistogram

MS, US = 0.001, 1e-6
LOOK_S = 0.1  # between two samples
SMOOTH = 0.3  # weight of what was seen last
SPARE = 0.85  # of the processor time that is to be had, kept to: bursts and collections need the rest
LATE_S = 0.020  # loop delay from which on it counts as behind: less than half of the 50 ms that are promised
CALM_S = 0.010  # and under which it may count as well again
CALM_SHARE = 0.9  # of what could be admitted, under which all that is offered must be,
BUSY = 0.25  # of the processor time to be had, from which on costs are learned
CROWDED = 0.7  # of the time in rounds of the loop, from which on a rate too high counts as behind
CALM_LOOKS = 10  # for so many looks: as long as two bursts are apart, or it would turn with each
BEHIND_LOOKS = 2  # one late look is a garbage collection, or a pause of the machine
MEMORY_HIGH, MEMORY_FULL = 0.80, 0.95  # of the limit: from where on less is let in, and nothing but filings
FEED, FEED_LEAST = 2.0, 20.0  # times the runs begun a second, and so many more, are let in whatever comes
LEAST_SHARE = 0.02  # of a processor that a starved worker is taken to have at least
FIRST_COST = 300e-6  # s of processor time for a request, until it is measured
LONGEST_US = 60_000_000


@dataclass(slots=True)
class Sample:
    """What was counted since the last look; times in s."""

    at: float
    cpu_s: float  # processor time of this process
    busy_s: float  # time that rounds of the loop took
    late_s: float  # the longest that anything which could run waited
    admitted: int = 0  # requests let in
    shed: int = 0  # and turned away at admission
    rss: int = 0  # bytes
    unread: int = 0  # bytes that wait in the system's buffers
    begun: int = 0  # runs begun


class Histogram:
    """Spans in s, kept for the last minutes by halves: two histograms, the older one is dropped in turn."""

    HALF_S = 60.0

    def __init__(self) -> None:
        self.halves = [HdrHistogram(1, LONGEST_US, 2), HdrHistogram(1, LONGEST_US, 2)]
        self.turned = 0.0

    def add(self, now: float, span: float) -> None:
        if now - self.turned > self.HALF_S:
            self.turned = now
            self.halves = [HdrHistogram(1, LONGEST_US, 2), self.halves[0]]
        self.halves[0].record_value(max(1, min(LONGEST_US, int(span / US))))

    def quantile(self, q: float) -> float:
        """Of the half that holds most; 0 where nothing was seen."""
        h = max(self.halves, key=lambda h: h.get_total_count())
        return h.get_value_at_percentile(q * 100) * US if h.get_total_count() else 0.0


@dataclass
class Watch:
    """Whether this worker is behind, and how many requests a second it can take in: `rate`."""

    memory_bytes: int
    behind: bool = False
    rate: float = float("inf")  # requests a second that may be let in
    share: float = 1.0  # of a processor that we get while we want one
    cost: float = FIRST_COST  # s of processor time, of one request that is let in
    shed_cost: float = FIRST_COST / 4  # of one that is turned away at admission
    offered: float = 0.0  # requests a second, with those shed
    begun: float = 0.0  # runs a second
    late: float = 0.0
    rss: int = 0
    unread: int = 0
    gain: float = 1.0  # what lateness says beyond the costs
    times_behind: int = 0
    since: float = 0.0
    delays: Histogram = field(default_factory=Histogram)
    _last: float | None = None
    _bad: int = 0
    _calm: int = 0

    def look(self, s: Sample) -> None:
        """Takes a sample, and judges anew."""
        span = LOOK_S if self._last is None else max(1e-3, s.at - self._last)
        self._last = s.at
        self.late, self.rss, self.unread = s.late_s, s.rss, s.unread
        if s.busy_s > 5 * MS:
            got = min(1.0, max(LEAST_SHARE, s.cpu_s / s.busy_s))
            self.share += SMOOTH * (got - self.share)
        self._learn_costs(s, span)
        # A pause of the machine brings in one look what came in all of it: by the span that it took.
        self.offered += SMOOTH * ((s.admitted + s.shed) / span - self.offered)
        self.begun += SMOOTH * (s.begun / span - self.begun)
        self.rate = self._affordable(s)
        self._judge(s, span)

    def _learn_costs(self, s: Sample, span: float) -> None:
        """One look tells two costs at most where one of them is known: what is shed is taken as it was."""
        count = s.admitted + s.shed
        if count < 5 or s.cpu_s < BUSY * self.share * span:
            return  # what the program takes by itself would count as theirs
        if s.shed > 4 * s.admitted:
            rest = max(0.0, s.cpu_s - s.admitted * self.cost)
            self.shed_cost += SMOOTH * (rest / s.shed - self.shed_cost)
        elif s.admitted > s.shed:
            rest = max(0.0, s.cpu_s - s.shed * self.shed_cost)
            self.cost += SMOOTH * (rest / s.admitted - self.cost)
        self.cost = max(20 * US, self.cost)
        self.shed_cost = max(5 * US, min(self.shed_cost, self.cost))

    def _affordable(self, s: Sample) -> float:
        """Requests a second: what is left of the processor after all others are turned away, and of
        memory."""
        if s.late_s > LATE_S:
            self.gain = max(0.2, self.gain * 0.9)
        elif s.late_s < CALM_S:
            self.gain = min(1.0, self.gain + 0.02)
        room = self.share * SPARE * self.gain
        # a requests a second are let in and offered - a are turned away: a * cost + (offered - a) * shed =
        # room
        rate = (room - self.offered * self.shed_cost) / max(1e-9, self.cost - self.shed_cost)
        # A flood may cost more to turn away than there is: the cores must have something to run all the same.
        return max(FEED * self.begun + FEED_LEAST, rate) * self._memory_room(s.rss)

    def _memory_room(self, rss: int) -> float:
        used = rss / self.memory_bytes
        return min(1.0, max(0.0, (MEMORY_FULL - used) / (MEMORY_FULL - MEMORY_HIGH)))

    def _judge(self, s: Sample, span: float) -> None:
        over = s.late_s > LATE_S or (self.offered > self.rate and s.busy_s > CROWDED * span)
        calm = self.offered < CALM_SHARE * self.rate and s.late_s < CALM_S
        self._bad = self._bad + 1 if over else 0
        self._calm = self._calm + 1 if calm else 0
        if not self.behind and self._bad >= BEHIND_LOOKS:
            self.behind, self.since, self._calm = True, s.at, 0
            self.times_behind += 1
        elif self.behind and self._calm >= CALM_LOOKS:
            self.behind, self.since, self.gain = False, s.at, 1.0

    def view(self) -> dict[str, Any]:
        """For operators, in plain values."""
        return {
            "behind": self.behind,
            "times_behind": self.times_behind,
            "loop_delay_ms": {f"p{q}": round(self.delays.quantile(q / 100) / MS, 2) for q in (50, 99)},
            "share_of_a_core": round(self.share, 2),
            "cost_us": round(self.cost / US),
            "shed_cost_us": round(self.shed_cost / US),
            "offered_per_s": round(self.offered, 1),
            "affordable_per_s": None if self.rate == float("inf") else round(self.rate, 1),
            "rss_mb": round(self.rss / 1e6, 1),
            "unread_bytes": self.unread,
        }


class Parts:
    """Time by part of the program: what runs within another is taken off it."""

    def __init__(self) -> None:
        self.spent: dict[str, float] = {}
        self._inner: list[float] = []

    def timed(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        self.spent.setdefault(name, 0.0)

        def around(*args: Any) -> Any:
            began = perf_counter()
            self._inner.append(0.0)
            try:
                return call(*args)
            finally:
                took = perf_counter() - began
                self.spent[name] += took - self._inner.pop()
                if self._inner:
                    self._inner[-1] += took

        return around
