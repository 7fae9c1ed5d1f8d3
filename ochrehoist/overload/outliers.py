"""Which requests will cost many times what is usual for their class, before they run: by what they state, by
what their subject cost lately, by their size. No I/O.

The usual cost is a running median: a few costly ones don't move it, as they would a mean.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from ochrehoist.core.request import InboundRequest

HEAVY = 6.0  # times the usual, from which on one belongs in the narrow lane
MOST_TIMES = 40.0  # that is believed
SUBJECTS = 2048  # remembered, the latest
FORGET_S = 60.0  # after which what a subject cost counts half
LEARN = 0.05  # step of the running median, in log
FIRST = 20  # completions of a class before anything is called usual
AGREES = 0.35  # of the spread of costs that what is stated must explain to be believed
SIZE_TIMES = 4.0  # times the usual size, and
SIZE_SEEN = 8  # so many of such a size that were heavy, before a size alone says anything


class Why(StrEnum):
    STATED = "stated work"
    SUBJECT = "subject"
    SIZE = "size"


@dataclass
class Median:
    """A running median of log values; steps shrink as it settles."""

    value: float = 0.0
    count: int = 0

    def add(self, x: float) -> None:
        self.count += 1
        if self.count == 1:
            self.value = x
            return
        step = max(LEARN, 1.0 / self.count)
        self.value += step if x > self.value else -step if x < self.value else 0.0


@dataclass
class Agreement:
    """How much of the spread of costs (log) what is stated explains: the square of their correlation, on the
    last hundred or so."""

    keep: float = 0.99
    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    yy: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        for name, value in (("n", 1.0), ("x", x), ("y", y), ("xx", x * x), ("yy", y * y), ("xy", x * y)):
            setattr(self, name, getattr(self, name) * self.keep + value)

    @property
    def share(self) -> float:
        if self.n < FIRST / 2:
            return 0.0
        vx, vy = self.xx / self.n - (self.x / self.n) ** 2, self.yy / self.n - (self.y / self.n) ** 2
        cov = self.xy / self.n - self.x * self.y / self.n**2
        return 0.0 if vx < 1e-9 or vy < 1e-9 else max(0.0, cov) ** 2 / (vx * vy)


@dataclass
class Usual:
    """What one class usually takes (s), states (s) and holds (KB), in logs."""

    took: Median = field(default_factory=Median)
    stated: Median = field(default_factory=Median)
    size: Median = field(default_factory=Median)
    agrees: Agreement = field(default_factory=Agreement)
    large_heavy: float = 0.0  # of those of many times the usual size: how many were heavy,
    large: float = 0.0  # of how many


class Outliers:
    """`times` tells how many times the usual a request will cost; 1 where nothing says otherwise."""

    def __init__(self) -> None:
        self.usual: dict[str, Usual] = {}
        self.subjects: OrderedDict[tuple[str, str], tuple[float, float]] = OrderedDict()  # log times, when
        self.found = dict.fromkeys(Why, 0)
        self.missed = 0  # ran as heavy unforeseen

    def times(self, r: InboundRequest, now: float) -> float:
        usual = self.usual.get(r.request_class.name)
        if usual is None or usual.took.count < FIRST:
            return 1.0
        for why, guess in (
            (Why.STATED, self._by_stated(usual, r)),
            (Why.SUBJECT, self._by_subject(r, now)),
            (Why.SIZE, self._by_size(usual, r)),
        ):
            if guess >= math.log(HEAVY):
                self.found[why] += 1
                return min(MOST_TIMES, math.exp(guess))
        return 1.0

    @staticmethod
    def _by_stated(usual: Usual, r: InboundRequest) -> float:
        if not r.work_ns or usual.agrees.share < AGREES:
            return 0.0
        return math.log(r.work_ns / 1e9) - usual.stated.value

    def _by_subject(self, r: InboundRequest, now: float) -> float:
        known = self.subjects.get((r.request_class.name, r.routing_key)) if r.routing_key else None
        if known is None:
            return 0.0
        value, at = known
        return value * 0.5 ** ((now - at) / FORGET_S)

    @staticmethod
    def _by_size(usual: Usual, r: InboundRequest) -> float:
        if not _large(usual, r) or usual.large_heavy < SIZE_SEEN or usual.large_heavy < 0.7 * usual.large:
            return 0.0
        return math.log(HEAVY)

    def ended(self, r: InboundRequest, now: float, took: float, crowding: float) -> float:
        """Learns from a run that took so long (s) where runs took `crowding` times their time alone; gives
        how many times the usual it was."""
        usual = self.usual.setdefault(r.request_class.name, Usual())
        alone = math.log(max(1e-6, took / max(1.0, crowding)))
        over = alone - usual.took.value if usual.took.count >= FIRST else 0.0
        heavy = over >= math.log(HEAVY)
        usual.took.add(alone)
        if r.work_ns:
            stated = math.log(r.work_ns / 1e9)
            usual.stated.add(stated)
            usual.agrees.add(stated, alone)
        if r.memory_kb > 0:
            if _large(usual, r):
                usual.large, usual.large_heavy = usual.large * 0.97 + 1, usual.large_heavy * 0.97 + heavy
            usual.size.add(math.log(r.memory_kb))
        if r.routing_key:
            self._remember((r.request_class.name, r.routing_key), over, heavy, now)
        return math.exp(over)

    def _remember(self, subject: tuple[str, str], over: float, heavy: bool, now: float) -> None:
        """Only subjects that were heavy: the popular are many, and usual."""
        known = self.subjects.pop(subject, None)
        if known is None and not heavy:
            return
        value = over if known is None else (known[0] + over) / 2
        if value > math.log(HEAVY) / 2:
            self.subjects[subject] = value, now
        while len(self.subjects) > SUBJECTS:
            self.subjects.popitem(last=False)


def _large(usual: Usual, r: InboundRequest) -> bool:
    return (
        usual.size.count >= FIRST
        and r.memory_kb > 0
        and math.log(r.memory_kb) - usual.size.value >= math.log(SIZE_TIMES)
    )
