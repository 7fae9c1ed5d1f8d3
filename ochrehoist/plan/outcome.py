"""What became of the calls of a run, real or modelled: counted alike for both. No I/O."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

from ochrehoist.config.fleet_description import Fleet

LONGEST_MS = 120_000


class End(StrEnum):
    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed out"


class Quota:
    """Which calls of a tenant are within its share, counted over the whole fleet: a bucket of one second."""

    def __init__(self, per_s: float) -> None:
        self.per_s, self.left, self.at = per_s, per_s, 0.0

    def takes(self, now: float) -> bool:
        self.left = min(max(1.0, self.per_s), self.left + (now - self.at) * self.per_s)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


@dataclass
class WorkerCount:
    """One worker over the counted time."""

    address: str
    kind: str
    site: str
    speed: float
    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    busy: float = 0.0  # share of its cores
    peak_running: int = 0

    def line(self) -> dict[str, Any]:
        return self.__dict__ | {"speed": round(self.speed, 3), "busy": round(self.busy, 3)}


@dataclass
class Tally:
    """Counts calls that began within [settle, seconds). Latencies are from the client's first try."""

    fleet: Fleet
    settle: float
    seconds: float
    ends: Counter = field(default_factory=Counter)  # by (class, end)
    asked: Counter = field(default_factory=Counter)  # worth, by class
    gained: Counter = field(default_factory=Counter)
    tenant_asked: Counter = field(default_factory=Counter)  # worth, of calls within the share
    tenant_gained: Counter = field(default_factory=Counter)
    second_asked: Counter = field(default_factory=Counter)  # worth, by whole second of the call's begin
    second_gained: Counter = field(default_factory=Counter)
    tries: int = 0
    calls: int = 0
    workers: list[WorkerCount] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        # Of what was served, in ms.
        self.latency = [HdrHistogram(1, LONGEST_MS, 3) for _ in self.fleet.classes]

    def count(
        self,
        cls: int,
        tenant: int,
        inside: bool,
        began: float,
        end: End,
        took: float,
        tries: int,
        work: float,
    ) -> None:
        """`work` in s on a core of speed 1: worth is counted for each unit of it, as the module is told."""
        c, second = self.fleet.classes[cls], int(began)
        worth = c.worth * work * (1.0 if inside else self.fleet.over_share_worth)
        part = 1.0 if end is End.IN_TIME else c.late_worth if end is End.LATE else 0.0
        self.second_asked[second] += worth
        self.second_gained[second] += worth * part
        if not self.settle <= began < self.seconds:
            return
        self.calls += 1
        self.tries += tries
        self.ends[cls, end] += 1
        self.asked[cls] += worth
        self.gained[cls] += worth * part
        if inside and self.fleet.tenants:
            self.tenant_asked[tenant] += worth
            self.tenant_gained[tenant] += worth * part
        if end in (End.IN_TIME, End.LATE):
            self.latency[cls].record_value(max(1, min(LONGEST_MS, int(took * 1000))))

    @property
    def goodput(self) -> float:
        """The share of the worth asked for that was gained."""
        total = sum(self.asked.values())
        return sum(self.gained.values()) / total if total else 1.0

    def share(self, end: End, cls: int | None = None) -> float:
        counts = [n for (c, e), n in self.ends.items() if cls in (None, c) and e is end]
        total = sum(n for (c, _), n in self.ends.items() if cls in (None, c))
        return sum(counts) / total if total else 0.0

    def recovered(self, after: float, level: float) -> float | None:
        """Seconds from `after` until goodput stays at `level` for three seconds; None where it never does."""
        last = int(self.seconds) - 2
        for second in range(int(after), last):
            span = range(second, second + 3)
            asked = sum(self.second_asked[s] for s in span)
            if asked and sum(self.second_gained[s] for s in span) >= level * asked:
                return max(0.0, second - after)
        return None

    def values(self) -> dict[str, Any]:
        """Plain values for tables, JSON and reports."""

        def percentiles(cls: int) -> dict[str, float]:
            h = self.latency[cls]
            return {
                f"p{p}_ms": float(h.get_value_at_percentile(p)) if h.get_total_count() else 0.0
                for p in (50, 99)
            }

        return {
            "goodput": self.goodput,
            "calls": self.calls,
            "tries_per_call": self.tries / max(1, self.calls),
            "shares": {e.value: self.share(e) for e in End},
            "classes": {
                c.name: {
                    "goodput": self.gained[at] / self.asked[at] if self.asked[at] else 1.0,
                    "refused": self.share(End.REFUSED, at),
                }
                | percentiles(at)
                for at, c in enumerate(self.fleet.classes)
            },
            "tenants": {
                t.name: self.tenant_gained[at] / self.tenant_asked[at] if self.tenant_asked[at] else 1.0
                for at, t in enumerate(self.fleet.tenants)
            },
            "workers": [w.line() for w in self.workers],
            "seconds": [
                [s, self.second_gained[s] / self.second_asked[s]]
                for s in sorted(self.second_asked)
                if s < self.seconds
            ],
            "events": [[round(at, 2), text] for at, text in self.events],
        }
