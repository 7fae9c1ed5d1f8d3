"""All limits of one worker beside its core: hears what comes, begins and ends, and says what the module is to
keep to. It is the core's Limiter, and does no I/O."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Any

from ochrehoist.admission.events import ConcurrencyLimits, Outcome
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.schema import OverloadConfig
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import Rejection
from ochrehoist.overload.controllers import CONTROLLERS, Bounds, Fixed, Windows
from ochrehoist.overload.outliers import FIRST, HEAVY, Outliers
from ochrehoist.overload.pools import Seen, cheap, limits
from ochrehoist.overload.storms import Storms

S = 1_000_000_000
STORM_BACKOFF = S  # that one over its caller's budget is told
TOLD = 4.0  # times the usual that the module hears of a run at most: rare ones must not teach a class


class Limiter:
    def __init__(self, config: OverloadConfig, settings: AdmissionSettings, seed: int) -> None:
        self.config, self.seed = config, seed
        self.outliers, self.storms, self.windows = Outliers(), Storms(seed), Windows()
        self.seen: dict[str, Seen] = {}
        self.units: dict[str, float] = {}  # what one of a class counts as, fixed once known
        self.running, self.at = 0, 0.0
        self.told: ConcurrencyLimits | None = None
        self.cheap: set[str] = set()
        self.clipped = 0
        self.controller: Any = None
        self.configure(settings)

    def configure(self, settings: AdmissionSettings) -> None:
        """Takes new settings; what was learned of classes that stay is kept."""
        self.settings = settings
        c, crowd = (
            self.config,
            max(settings.cores + 1, int(settings.cores * settings.collapse_multiple * 0.8)),
        )
        bounds = Bounds(c.min_running or max(1, settings.cores // 4), c.max_running or crowd)
        kind = CONTROLLERS.get(c.controller, Fixed)
        if not isinstance(self.controller, kind) or kind is Fixed:
            self.controller = kind(bounds.keep(float(settings.cores)), bounds)
        else:
            self.controller.bounds = bounds
            self.controller.limit = bounds.keep(self.controller.limit)
        names = {k.name for k in settings.classes}
        self.seen = {name: self.seen.get(name, Seen()) for name in names}
        self.told = None

    def _pass(self, now: int) -> float:
        t = now / S
        self.windows.passed(max(0.0, t - self.at) if self.at else 0.0, self.running)
        self.at = t
        return t

    # ---- what the core tells
    def check_arrival(self, r: InboundRequest, now: int) -> Rejection | None:
        """Whether one that never ran is turned away before the module hears of it."""
        t = self._pass(now)
        if (seen := self.seen.get(r.request_class.name)) is not None:
            seen.came = t
        if not self.config.retry_budget:
            return None
        full = self.running >= self.settings.cores and any(s.held for s in self.seen.values())
        allowed = self.storms.allows(self._caller(r), self._likeness(r), r.is_retry, full, t)
        # A filing is worth more than a first try of a read; the cheap cost little more than to refuse them.
        if not allowed and r.idempotency_key is None and r.request_class.name not in self.cheap:
            return Rejection(self.storms.spread(STORM_BACKOFF))
        return None

    def estimate_cost(self, r: InboundRequest, now: int) -> float:
        """How many times the usual it will cost."""
        if not self.config.low_priority_lane:
            return 1.0
        return self.outliers.times(r, now / S)

    def run_started(self, r: InboundRequest, now: int) -> None:
        self._pass(now)
        self.running += 1
        if (seen := self.seen.get(r.request_class.name)) is not None:
            seen.running += 1

    def run_ended(self, r: InboundRequest, now: int, took: int, outcome: Outcome) -> int:
        """Learns from a run; gives the time that the module is to hear."""
        t = self._pass(now)
        crowding = max(1.0, self.running / max(1, self.settings.cores))
        self.running = max(0, self.running - 1)
        seen = self.seen.get(r.request_class.name)
        if seen is not None:
            seen.running = max(0, seen.running - 1)
        if outcome is not Outcome.OK or took <= 0:
            return took
        times = self.outliers.ended(r, t, took / S, crowding)
        usual = self.outliers.usual[r.request_class.name]
        if usual.took.count == FIRST:
            self.units[r.request_class.name] = math.exp(usual.took.value)
        if seen is not None:
            seen.cost = math.exp(usual.took.value)
        work = r.work_ns / S if r.work_ns else self.units.get(r.request_class.name, 1.0)
        # One that costs many times what it states would look like a machine gone slow.
        self.windows.ended(t, work * (times if times >= HEAVY and not r.work_ns else 1.0), took / S)
        if self.config.low_priority_lane and r.cost_multiple <= 1 and times > TOLD:
            self.clipped += 1
            return int(took * TOLD / times)
        return took

    def request_rejected(self, r: InboundRequest, backoff: int, now: int) -> int:
        """The time to stay away that it is told."""
        if not self.config.retry_budget:
            return backoff
        self.storms.was_refused(self._likeness(r), now / S)
        return self.storms.spread(backoff)

    def evaluate(self, now: int, held: Mapping[str, int]) -> ConcurrencyLimits | None:
        """What the module is to keep to, where that has changed; `held` are requests by class."""
        t = self._pass(now)
        for name, seen in self.seen.items():
            seen.held = held.get(name, 0)
        if not self.config.bulkheads:
            return None
        if (w := self.windows.close(t)) is not None:
            self.controller.window(w)
        self.cheap = cheap(self.seen)
        total = None if self.config.controller == "module" else self.controller.limit
        new = limits(total, self.settings, self.seen, t, self.cheap, self.config.low_priority_lane)
        if new == self.told:
            return None
        self.told = new
        return new

    # ---- how callers and repeats are told apart
    @staticmethod
    def _caller(r: InboundRequest) -> int | str:
        return r.caller or r.responder.origin()[1]

    def _likeness(self, r: InboundRequest) -> tuple:
        return (
            self._caller(r),
            r.request_class.name,
            r.routing_key or r.idempotency_key,
            r.work_ns or r.memory_kb,
        )

    def view(self) -> dict[str, Any]:
        """For operators, in plain values."""
        return {
            "limit": round(self.controller.limit, 1) if self.config.controller != "module" else None,
            "controller": self.config.controller,
            "running": self.running,
            "cheap": sorted(self.cheap),
            "floors": dict(zip([c.name for c in self.settings.classes], self.told.class_floors, strict=False))
            if self.told
            else {},
            "usual_ms": {name: round(s.cost * 1000, 1) for name, s in self.seen.items() if s.cost},
            "heavy": Counter({str(k): v for k, v in self.outliers.found.items()})
            | Counter({"unforeseen": self.clipped}),
            "repeats": {
                "marked": self.storms.marked,
                "unmarked": self.storms.unmarked,
                "denied": self.storms.denied,
            },
        }
