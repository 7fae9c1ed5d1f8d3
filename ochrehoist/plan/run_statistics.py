"""What became of the calls of a run, measured or simulated: counted alike for both. No I/O."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.routing import Call

MAX_LATENCY_MS = 120_000
LATENCY_DIGITS = 3
MIN_QUOTA_BURST = 1.0  # calls
RECOVERY_WINDOW_S = 3  # for which goodput must hold before a fleet counts as recovered


class CallOutcome(StrEnum):
    """How a call ended for its client. The values are words of the planner's answers."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed out"


class QuotaBucket:
    """A token bucket of one second: which calls of a tenant are within its quota over the whole fleet."""

    def __init__(self, calls_per_s: float) -> None:
        self._calls_per_s = calls_per_s
        self._tokens = calls_per_s
        self._refilled_at = 0.0

    def take(self, now: float) -> bool:
        """Takes one token; False where none is left. `now`: s, never less than before."""
        refilled = self._tokens + (now - self._refilled_at) * self._calls_per_s
        self._tokens = min(max(MIN_QUOTA_BURST, self._calls_per_s), refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass
class WorkerStatistics:
    """One worker over the whole run. The names of the fields are keys of the planner's answers.

    Attributes:
        speed: Of its cores, as a multiple of the described one.
        tries: Requests that reached it.
        busy: The share of its cores that was in use.
        peak_running: The most requests that ran at once.
    """

    address: str
    kind: str
    site: str
    speed: float
    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    busy: float = 0.0
    peak_running: int = 0

    def values(self) -> dict[str, Any]:
        """Plain values for tables, JSON and reports."""
        return self.__dict__ | {"speed": round(self.speed, 3), "busy": round(self.busy, 3)}


@dataclass
class RunStatistics:
    """Counts calls that began within [settle_s, duration_s). Latencies are from the client's first attempt.

    Attributes:
        outcomes: Calls by class index and outcome.
        weight_asked: The priority weight of all calls, by class index.
        weight_gained: The part of it that was gained.
        tenant_weight_asked: The same of calls within their quota, by tenant index.
        tenant_weight_gained: The part of it that was gained.
        second_weight_asked: The same by the whole second in which a call began, settling included.
        second_weight_gained: The part of it that was gained.
        attempts: Requests that routers sent, or would have sent had a worker been listed.
        events: What was done to workers: s since the start, and a text.
        latency_ms: A histogram of what was served, by class index.
    """

    fleet: Fleet
    settle_s: float
    duration_s: float
    outcomes: Counter[tuple[int, CallOutcome]] = field(default_factory=Counter)
    weight_asked: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    weight_gained: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    tenant_weight_asked: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    tenant_weight_gained: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    second_weight_asked: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    second_weight_gained: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    attempts: int = 0
    calls: int = 0
    workers: list[WorkerStatistics] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.latency_ms = [HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS) for _ in self.fleet.classes]

    def add(self, call: Call, outcome: CallOutcome, latency_s: float) -> None:
        """Counts one call that ended. Its weight is for each unit of its work, as the controller is told."""
        request_class = self.fleet.classes[call.class_index]
        quota_weight = 1.0 if call.within_quota else self.fleet.over_share_worth
        weight = request_class.worth * call.work_s * quota_weight
        gained = weight * _gained_share(outcome, request_class.late_worth)
        second = int(call.began_at)
        self.second_weight_asked[second] += weight
        self.second_weight_gained[second] += gained
        if not self.settle_s <= call.began_at < self.duration_s:
            return
        self.calls += 1
        self.attempts += call.attempts
        self.outcomes[call.class_index, outcome] += 1
        self.weight_asked[call.class_index] += weight
        self.weight_gained[call.class_index] += gained
        if call.within_quota and self.fleet.tenants:
            self.tenant_weight_asked[call.tenant_index] += weight
            self.tenant_weight_gained[call.tenant_index] += gained
        if outcome in (CallOutcome.IN_TIME, CallOutcome.LATE):
            latency_ms = max(1, min(MAX_LATENCY_MS, int(latency_s * 1000)))
            self.latency_ms[call.class_index].record_value(latency_ms)

    @property
    def goodput(self) -> float:
        """The share of the priority weight asked for that was gained."""
        total = sum(self.weight_asked.values())
        return sum(self.weight_gained.values()) / total if total else 1.0

    def share(self, outcome: CallOutcome, class_index: int | None = None) -> float:
        """The share of all calls, or of one class, that ended so."""
        counts = {
            key: count for key, count in self.outcomes.items() if class_index is None or key[0] == class_index
        }
        total = sum(counts.values())
        return (
            sum(count for (_, ended), count in counts.items() if ended is outcome) / total if total else 0.0
        )

    def recovery_time_s(self, after_s: float, goodput: float) -> float | None:
        """Seconds from `after_s` until `goodput` holds for RECOVERY_WINDOW_S; None where it never does."""
        last = int(self.duration_s) - RECOVERY_WINDOW_S + 1
        for second in range(int(after_s), last):
            window = range(second, second + RECOVERY_WINDOW_S)
            asked = sum(self.second_weight_asked.get(at, 0.0) for at in window)
            gained = sum(self.second_weight_gained.get(at, 0.0) for at in window)
            if asked and gained >= goodput * asked:
                return max(0.0, second - after_s)
        return None

    def values(self) -> dict[str, Any]:
        """Plain values for tables, JSON and reports."""
        return {
            "goodput": self.goodput,
            "calls": self.calls,
            "tries_per_call": self.attempts / max(1, self.calls),
            "shares": {outcome.value: self.share(outcome) for outcome in CallOutcome},
            "classes": {
                request_class.name: self._class_values(index)
                for index, request_class in enumerate(self.fleet.classes)
            },
            "tenants": {
                tenant.name: _ratio(self.tenant_weight_gained[index], self.tenant_weight_asked[index])
                for index, tenant in enumerate(self.fleet.tenants)
            },
            "workers": [worker.values() for worker in self.workers],
            "seconds": [
                [second, self.second_weight_gained[second] / self.second_weight_asked[second]]
                for second in sorted(self.second_weight_asked)
                if second < self.duration_s
            ],
            "events": [[round(at, 2), text] for at, text in self.events],
        }

    def _class_values(self, index: int) -> dict[str, float]:
        latency_ms = self.latency_ms[index]
        percentiles = {
            f"p{percent}_ms": float(latency_ms.get_value_at_percentile(percent))
            if latency_ms.get_total_count()
            else 0.0
            for percent in (50, 99)
        }
        return {
            "goodput": _ratio(self.weight_gained[index], self.weight_asked[index]),
            "refused": self.share(CallOutcome.REFUSED, index),
        } | percentiles


def _gained_share(outcome: CallOutcome, late_share: float) -> float:
    """The share of a call's weight that its outcome gains."""
    if outcome is CallOutcome.IN_TIME:
        return 1.0
    return late_share if outcome is CallOutcome.LATE else 0.0


def _ratio(gained: float, asked: float) -> float:
    """Goodput; 1 where nothing was asked for."""
    return gained / asked if asked else 1.0
