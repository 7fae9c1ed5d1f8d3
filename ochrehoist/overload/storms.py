"""Repeated attempts: a budget for each caller, marked or not, and advice that spreads their return. No I/O.

Nothing is refused for being a repeat while there is room. Once requests are being turned away, a caller whose
repeats are more than a part of its first tries multiplies the load that caused them.
"""

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

SHARE = 0.2  # of a caller's first tries that its repeats may be
LEAST_PER_S = 0.5  # repeats that any caller may make
SAVED = 10.0  # repeats that a caller may save up
PRESSED = 0.02  # of all that came lately turned away, from which on budgets are kept
CALLERS = 1024  # remembered, the latest
REFUSED = 4096  # refusals remembered, to know an unmarked repeat by,
KNOWN_S = 3.0  # for so long
MEAN_S = 2.0  # over which the part turned away is taken
SPREAD = 0.5  # more, at most, of the time that callers are told to stay away

Likeness = tuple  # by which an unmarked repeat is known: caller, class, subject, stated work


@dataclass(slots=True)
class Caller:
    saved: float
    at: float
    repeats: int = 0
    denied: int = 0


class Storms:
    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.callers: OrderedDict[int | str, Caller] = OrderedDict()
        self.refused: OrderedDict[Likeness, float] = OrderedDict()
        self.turned, self.all, self.at = 0.0, 0.0, 0.0
        self.marked = self.unmarked = self.denied = 0

    def _pass(self, now: float) -> None:
        keep = max(0.0, 1 - (now - self.at) / MEAN_S)
        self.turned, self.all, self.at = self.turned * keep, self.all * keep, now

    @property
    def pressed(self) -> bool:
        return self.all > 20 and self.turned > PRESSED * self.all

    def allows(self, caller: int | str, likeness: Likeness, marked: bool, full: bool, now: float) -> bool:
        """Whether this try is within its caller's budget; each that came is counted. While there is room
        nobody is held to it: a repeat that can be run is as good as a first try."""
        self._pass(now)
        self.all += 1
        known = self.refused.pop(likeness, None)
        repeat = marked or (known is not None and now - known <= KNOWN_S)
        c = self.callers.pop(caller, None) or Caller(SAVED, now)
        self.callers[caller] = c
        if len(self.callers) > CALLERS:
            self.callers.popitem(last=False)
        c.saved = min(SAVED, c.saved + (now - c.at) * LEAST_PER_S + (0 if repeat else SHARE))
        c.at = now
        if not repeat:
            return True
        self.marked, self.unmarked = self.marked + marked, self.unmarked + (not marked)
        c.repeats += 1
        if c.saved >= 1 or not (full and self.pressed):
            c.saved = max(0.0, c.saved - 1)
            return True
        c.denied += 1
        self.denied += 1
        return False

    def was_refused(self, likeness: Likeness, now: float) -> None:
        self._pass(now)
        self.turned += 1
        self.refused[likeness] = now
        self.refused.move_to_end(likeness)
        if len(self.refused) > REFUSED:
            self.refused.popitem(last=False)

    def spread(self, backoff: int) -> int:
        """A time to stay away (ns), never shorter: told alike, callers would return at one moment."""
        return int(backoff * (1 + SPREAD * self.rng.random()))
