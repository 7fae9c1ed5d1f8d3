"""How many may run at once, found from what completes, without knowing the machine. No I/O.

Each takes windows of completions. Published: `Aimd` (Chiu and Jain, 1989), `Vegas` (Brakmo and Peterson,
1994, as used on concurrency), `Gradient` (the second gradient limit of Netflix's concurrency-limits, 2018)
and `Steps` (incremental steps; Heiss and Wagner, 1991). Times are the run's time for each unit of its
stated work, where it states any, so that a mix of large and small requests does not look like a change of
the machine. `Seek` is ours: see benchmarks/knee.py for how they compare.
"""

import math
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Window:
    """What completed in a span: `rate` of work done a second, `time` a unit took on the mean, and how many
    ran on the mean."""

    rate: float
    time: float
    running: float
    count: int


class Controller(Protocol):
    limit: float

    def window(self, w: Window) -> float:
        """Takes one window and gives the limit from now on."""
        ...


@dataclass
class Bounds:
    least: float = 1.0
    most: float = 1000.0

    def keep(self, limit: float) -> float:
        return min(self.most, max(self.least, limit))


USED = 0.8  # of the limit that must run for a window to say anything of it


class Fixed:
    def __init__(self, limit: float, bounds: Bounds | None = None) -> None:
        self.limit = limit

    def window(self, w: Window) -> float:
        return self.limit


class Aimd:
    """One more while times stay near the best ever seen, a tenth less where they don't."""

    WORSE, BACK = 2.0, 0.9

    def __init__(self, limit: float, bounds: Bounds | None = None) -> None:
        self.limit, self.bounds, self.best = limit, bounds or Bounds(), math.inf

    def window(self, w: Window) -> float:
        self.best = min(self.best * 1.002, w.time)
        if w.time > self.WORSE * self.best:
            self.limit *= self.BACK
        elif w.running >= USED * int(self.limit):
            self.limit += 1
        self.limit = self.bounds.keep(self.limit)
        return self.limit


class Vegas:
    """Estimates how many of those running only wait, and keeps that between two bounds."""

    ALPHA, BETA = 3.0, 6.0

    def __init__(self, limit: float, bounds: Bounds | None = None) -> None:
        self.limit, self.bounds, self.best = limit, bounds or Bounds(), math.inf

    def window(self, w: Window) -> float:
        self.best = min(self.best * 1.002, w.time)
        queue = self.limit * (1 - self.best / w.time)
        scale = max(1.0, math.log10(self.limit))
        if queue > self.BETA * scale:
            self.limit -= scale
        elif queue < self.ALPHA * scale and w.running >= USED * int(self.limit):
            self.limit += scale
        self.limit = self.bounds.keep(self.limit)
        return self.limit


class Gradient:
    """Follows the quotient of long and short times, with room for a short queue."""

    TOLERANCE, SMOOTH, LONG = 1.5, 0.2, 60

    def __init__(self, limit: float, bounds: Bounds | None = None) -> None:
        self.limit, self.bounds, self.long = limit, bounds or Bounds(), 0.0

    def window(self, w: Window) -> float:
        self.long = w.time if not self.long else self.long + (w.time - self.long) * 2 / (self.LONG + 1)
        if self.long / w.time > 2:  # after a load that has gone, the long time must not teach a wide limit
            self.long *= 0.95
        if w.running < USED * int(self.limit):
            return self.limit
        gradient = max(0.5, min(1.0, self.TOLERANCE * self.long / w.time))
        wanted = self.limit * gradient + math.sqrt(self.limit)
        self.limit = self.bounds.keep(self.limit * (1 - self.SMOOTH) + wanted * self.SMOOTH)
        return self.limit


class Steps:
    """Climbs the throughput itself: goes on while a step brought more, and turns round where it brought less.

    It needs no time that counts as good. A window is compared with the mean of the last at the limit
    before; a difference within the noise of counting is none, and then fewer is better: what runs takes
    memory, and what waits unstarted can still be told.
    """

    STEP, AGREE = 0.08, 2

    def __init__(self, limit: float, bounds: Bounds | None = None) -> None:
        self.limit, self.bounds = limit, bounds or Bounds()
        self.before: tuple[float, float] | None = None  # limit and rate, at the step before
        self.rates: list[tuple[float, int]] = []
        self.up = True

    def window(self, w: Window) -> float:
        if w.running < USED * int(self.limit):  # nothing is learned of a limit that nobody reaches
            self.rates.clear()
            return self.limit
        self.rates.append((w.rate, w.count))
        count = sum(n for _, n in self.rates)
        if len(self.rates) < self.AGREE or count < 40:
            return self.limit
        rate = sum(r * n for r, n in self.rates) / count
        self.rates.clear()
        if self.before is not None:
            noise = 1.5 / math.sqrt(count)
            change = rate / max(1e-9, self.before[1]) - 1
            larger = self.limit > self.before[0]
            if abs(change) <= noise:
                self.up = not larger and change < -noise / 2
            else:
                self.up = larger == (change > 0)
        self.before = (self.limit, rate)
        step = max(1.0, self.STEP * self.limit)
        self.limit = self.bounds.keep(self.limit + (step if self.up else -step))
        return self.limit


class Seek:
    """Probes a little below and a little above by turns, and moves towards where more running still brings
    more done: extremum seeking, on the elasticity of throughput.

    One per cent more running brings one per cent more below the knee, and nothing or less past it. Throughput
    is taken as running over the time of a unit of work (Little), which varies far less than counts of ends.
    """

    SPAN, GAIN, AIM = 0.15, 0.2, 0.12  # of the probe, each way; of a pair of probes; the elasticity held to

    def __init__(self, limit: float, bounds: Bounds | None = None) -> None:
        self.centre, self.bounds, self.high = limit, bounds or Bounds(), False
        self.low_rate: float | None = None
        self.limit = limit
        self._probe()

    def _probe(self) -> None:
        self.low = max(self.bounds.least, math.floor(self.centre * (1 - self.SPAN)))
        self.top = min(max(self.low + 1, math.ceil(self.centre * (1 + self.SPAN))), self.bounds.most)
        self.limit = self.top if self.high else self.low

    def window(self, w: Window) -> float:
        if w.running < USED * int(self.limit):  # nothing is learned of a limit that nobody reaches
            self.low_rate, self.high = None, True  # and nobody is kept from reaching it
            self._probe()
            return self.limit
        rate = w.running / w.time
        if not self.high:
            self.low_rate = rate
        elif self.low_rate is not None and self.top > self.low:
            elasticity = math.log(rate / self.low_rate) / math.log(self.top / self.low)
            move = self.GAIN * (max(-1.0, min(1.0, elasticity)) - self.AIM)
            self.centre = self.bounds.keep(self.centre * math.exp(move))
        self.high = not self.high
        self._probe()
        return self.limit


CONTROLLERS: dict[str, type] = {
    "seek": Seek,
    "steps": Steps,
    "gradient": Gradient,
    "vegas": Vegas,
    "aimd": Aimd,
    "fixed": Fixed,
}


class Windows:
    """Gathers completions into windows. Work is in s as stated, or 1 for each where nothing is stated. Runs
    that began before the window tell of the limit before it, and are left out."""

    SPAN_S, FEWEST, LASTS = 0.5, 10, 3.0  # at least; and so many times the mean time of a run

    def __init__(self) -> None:
        self.began: float | None = None
        self.usual = 0.0  # s of a run
        self._clear()

    def _clear(self) -> None:
        self.done = self.took = self.area = 0.0
        self.count = 0

    def ended(self, now: float, work: float, took: float) -> None:
        self.usual += 0.05 * (took - self.usual) if self.usual else took
        if self.began is not None and now - took >= self.began:
            self.done += work
            self.took += took
            self.count += 1

    def passed(self, span: float, running: int) -> None:
        """So much time with so many running."""
        self.area += span * running

    def close(self, now: float) -> Window | None:
        """The window, once it is long enough and holds enough."""
        if self.began is None:
            self.began = now
            self._clear()
        span = now - self.began
        if span < max(self.SPAN_S, self.LASTS * self.usual) or self.count < self.FEWEST:
            return None
        w = Window(self.done / span, self.took / max(1e-9, self.done), self.area / span, self.count)
        self.began = now
        self._clear()
        return w
