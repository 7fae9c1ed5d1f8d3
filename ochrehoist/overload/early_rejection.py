"""Early rejection: while the worker is overloaded, rejects requests before they reach the core.

All requests are admitted unless the detector reports overload. Then the affordable rate is divided among
classes by priority weight, among tenants by their shares, and equally among callers. Filings are always
admitted: only the core knows whether a filing ran, and one that ran must not be rejected. Rejected requests
receive a Retry-After at once.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Any

from ochrehoist.admission.settings import AdmissionSettings, Idempotency
from ochrehoist.core.tenants import TenantTable, initial_table
from ochrehoist.overload.overload_detector import OverloadDetector
from ochrehoist.overload.weighted_allocation import AllocationRequest, allocate

MIN_CLASS_FRACTION = 0.05  # guaranteed fraction of the admitted rate for each class, to prevent starvation
BURST_INTERVALS = 2.0  # capacity of a bucket in allowances of one interval; one token is added
MAX_CALLERS = 512  # callers with a bucket of their own; all others share one
MIN_RETRY_AFTER_NS = 500_000_000  # up to as much again is added, so that callers retry at different times
MAX_AGE_OBJECTIVE_MULTIPLE = 1.0  # age, in latency objectives, from which an answer is useless to the caller
PREVIOUS_DEMAND_WEIGHT = 0.7  # weight of the previous mean in the moving mean of the demand
LATEST_DEMAND_WEIGHT = 0.3  # weight of the latest interval in the same mean
MIN_TRACKED_DEMAND = 0.05  # requests per interval below which a caller is dropped
DEMAND_HEADROOM = 1.1  # factor on the expected demand of a caller; one request is added
MIN_TENANT_SHARE = 1e-3

CallerKey = tuple[str, str | None, int]  # class, tenant, caller; a plain tuple, as each request creates one


class RejectionReason(StrEnum):
    """Reason for an early rejection, as published in status and metrics."""

    OVERLOADED = "behind"
    READ_TOO_LATE = "read too late"


@dataclass(slots=True)
class AdmissionCounts:
    """Counts of admitted requests, and of rejected requests by class and reason."""

    admitted: int = 0
    rejected: Counter[tuple[str, RejectionReason]] = field(default_factory=Counter)

    @property
    def rejected_total(self) -> int:
        """Number of rejected requests of all classes."""
        return sum(self.rejected.values())


class EarlyRejection:
    """AdmissionFilter with a token bucket per class, tenant and caller, refilled once per interval."""

    def __init__(
        self,
        detector: OverloadDetector,
        settings: AdmissionSettings,
        seed: int,
        tenants: TenantTable | None = None,
    ) -> None:
        self.counts = AdmissionCounts()  # totals of all past intervals
        self.interval_counts = AdmissionCounts()  # counts of the current interval
        self._detector = detector
        self._random = Random(seed)
        self._arrivals: Counter[CallerKey] = Counter()  # in the current interval
        self._demand: dict[CallerKey, float] = {}  # moving mean of requests per interval
        self._tokens: dict[CallerKey, float] = {}
        self._shared_tokens = 0.0  # for callers without a bucket
        self.configure(settings, tenants)

    def configure(self, settings: AdmissionSettings, tenants: TenantTable | None = None) -> None:
        """Sets new classes and tenants; requests that were already admitted are not affected."""
        classes = settings.classes
        weights = sorted({c.priority_weight for c in classes}, reverse=True)
        self._ranks = {c.name: weights.index(c.priority_weight) for c in classes}
        self._idempotent = {c.name: c.idempotency is Idempotency.IDEMPOTENT for c in classes}
        self._objectives_ns = {c.name: c.latency_objective_ns for c in classes}
        self._tenants = tenants if tenants is not None else initial_table(settings.tenants)

    def may_reject(self, class_name: str) -> bool:
        """Returns whether requests of this class may be rejected early: only those of idempotent classes."""
        return self._idempotent.get(class_name, False)

    def check_admission(self, class_name: str, tenant: str | None, caller: int, age_ns: int) -> int | None:
        """Returns None if the request is admitted, else the Retry-After (ns) for its caller.

        Args:
            class_name: Name of the request's class.
            tenant: Name of its tenant, if any.
            caller: Identifies the caller within the tenant.
            age_ns: Time since the request reached the machine.
        """
        key = (class_name, tenant, caller)
        self._arrivals[key] += 1
        if not self._detector.overloaded or not self.may_reject(class_name):
            self.interval_counts.admitted += 1
            return None
        if age_ns >= MAX_AGE_OBJECTIVE_MULTIPLE * self._objectives_ns[class_name]:
            return self._reject(class_name, RejectionReason.READ_TOO_LATE)
        if not self._take_token(key):
            return self._reject(class_name, RejectionReason.OVERLOADED)
        self.interval_counts.admitted += 1
        return None

    def end_interval(self, interval_s: float) -> AdmissionCounts:
        """Ends the current interval and refills the buckets for the next, which lasts `interval_s`.

        Returns the counts of the interval that ended.
        """
        ended = self.interval_counts
        self.interval_counts = AdmissionCounts()
        self.counts.admitted += ended.admitted
        self.counts.rejected.update(ended.rejected)
        self._update_demand()
        if self._detector.overloaded:
            self._refill(interval_s)
        else:
            self._tokens.clear()
        return ended

    def status_section(self) -> dict[str, Any]:
        """Returns the counts under the published status keys."""
        return {
            "let_in": self.counts.admitted,
            "shed": {
                f"{class_name}: {reason}": count
                for (class_name, reason), count in sorted(self.counts.rejected.items())
            },
        }

    def _take_token(self, key: CallerKey) -> bool:
        if key in self._tokens:
            if self._tokens[key] < 1:
                return False
            self._tokens[key] -= 1
            return True
        if self._shared_tokens < 1:
            return False
        self._shared_tokens -= 1
        return True

    def _reject(self, class_name: str, reason: RejectionReason) -> int:
        self.interval_counts.rejected[class_name, reason] += 1
        return int(MIN_RETRY_AFTER_NS * (1 + self._random.random()))

    def _update_demand(self) -> None:
        demand = self._demand
        for key in set(demand) | set(self._arrivals):
            mean = PREVIOUS_DEMAND_WEIGHT * demand.get(key, 0.0) + LATEST_DEMAND_WEIGHT * self._arrivals.get(
                key, 0
            )
            if mean < MIN_TRACKED_DEMAND:
                demand.pop(key, None)
            else:
                demand[key] = mean
        if len(demand) > MAX_CALLERS:
            largest = sorted(demand, key=demand.__getitem__, reverse=True)[:MAX_CALLERS]
            self._demand = {key: demand[key] for key in largest}
        self._arrivals.clear()

    def _refill(self, interval_s: float) -> None:
        """Divides the affordable requests of the next interval, less the expected filings, among callers."""
        capacity = self._detector.affordable_per_s * interval_s
        always_admitted = sum(
            demand for (class_name, *_), demand in self._demand.items() if not self.may_reject(class_name)
        )
        capacity = max(0.0, capacity - always_admitted)
        keys = [key for key in self._demand if self.may_reject(key[0])]
        if not keys:
            self._tokens = {}
            self._shared_tokens = capacity
            return
        allocated = allocate(capacity, self._allocation_requests(keys, capacity))
        # Fractions of a token are carried over; otherwise a caller with a low rate would never get a token.
        self._tokens = {
            key: min(self._tokens.get(key, 0.0) + amount, BURST_INTERVALS * amount + 1)
            for key, amount in zip(keys, allocated, strict=True)
        }
        self._shared_tokens = max(1.0, capacity - sum(allocated))

    def _allocation_requests(self, keys: list[CallerKey], capacity: float) -> list[AllocationRequest]:
        """Returns one allocation request per caller; callers of a tenant have equal parts of its weight."""
        callers = Counter((class_name, tenant) for class_name, tenant, _ in keys)
        tenants = Counter(class_name for class_name, _ in callers)
        requests = []
        for key in keys:
            class_name, tenant, _ = key
            caller_fraction = 1 / callers[class_name, tenant]
            requests.append(
                AllocationRequest(
                    rank=self._ranks[class_name],
                    demand=DEMAND_HEADROOM * self._demand[key] + 1,
                    weight=self._tenant_weight(tenant) * caller_fraction,
                    minimum=MIN_CLASS_FRACTION * capacity * caller_fraction / tenants[class_name],
                )
            )
        return requests

    def _tenant_weight(self, name: str | None) -> float:
        tenant = self._tenants.get(name)
        return max(MIN_TENANT_SHARE, tenant.share) if tenant is not None else 1.0
