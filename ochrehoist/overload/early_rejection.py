"""Early rejection: while the worker is overloaded, rejects requests before they reach the core.

Everything is admitted unless the detector says that the worker is overloaded. Then the affordable rate is
shared out among classes by priority weight, among tenants by share, and among callers alike. A filing is
always admitted: only the core knows whether it ran, and nothing that ran may be rejected. What is rejected
gets a Retry-After at once.
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

MIN_CLASS_FRACTION = 0.05  # of what is admitted, for each class: none starves, whatever its weight
BURST_INTERVALS = 2.0  # whose allowance may be used in one, and one more request
MAX_CALLERS = 512  # told apart in an interval; those beyond share one allowance
MIN_RETRY_AFTER_NS = 500_000_000  # and up to twice as much: callers must not come back at one moment
MAX_AGE_OBJECTIVE_MULTIPLE = 1.0  # past which one that was read late is of no use to its caller
PREVIOUS_DEMAND_WEIGHT = 0.7  # of the earlier intervals in the mean,
LATEST_DEMAND_WEIGHT = 0.3  # and of the latest
MIN_TRACKED_DEMAND = 0.05  # requests an interval, below which a caller is forgotten
DEMAND_HEADROOM = 1.1  # of the expected demand that may be admitted, and one request more
MIN_TENANT_SHARE = 1e-3

CallerKey = tuple[str, str | None, int]  # class, tenant, caller: plain, as one is made for each request


class RejectionReason(StrEnum):
    """Why a request was rejected early, as published in status and metrics."""

    OVERLOADED = "behind"
    READ_TOO_LATE = "read too late"


@dataclass(slots=True)
class AdmissionCounts:
    """How many requests were admitted, and how many rejected by class and reason."""

    admitted: int = 0
    rejected: Counter[tuple[str, RejectionReason]] = field(default_factory=Counter)

    @property
    def rejected_total(self) -> int:
        """All that were rejected."""
        return sum(self.rejected.values())


class EarlyRejection:
    """The core's AdmissionFilter: token buckets by class, tenant and caller, refilled once an interval."""

    def __init__(
        self,
        detector: OverloadDetector,
        settings: AdmissionSettings,
        seed: int,
        tenants: TenantTable | None = None,
    ) -> None:
        self.counts = AdmissionCounts()  # of all intervals that are over
        self.interval_counts = AdmissionCounts()  # of the current one
        self._detector = detector
        self._random = Random(seed)
        self._arrivals: Counter[CallerKey] = Counter()  # in the current interval
        self._demand: dict[CallerKey, float] = {}  # requests an interval, a moving mean
        self._tokens: dict[CallerKey, float] = {}
        self._shared_tokens = 0.0  # for callers without a bucket
        self.configure(settings, tenants)

    def configure(self, settings: AdmissionSettings, tenants: TenantTable | None = None) -> None:
        """Takes new classes and tenants; requests that were admitted are not concerned."""
        classes = settings.classes
        weights = sorted({known.priority_weight for known in classes}, reverse=True)
        self._ranks = {known.name: weights.index(known.priority_weight) for known in classes}
        self._idempotent = {known.name: known.idempotency is Idempotency.IDEMPOTENT for known in classes}
        self._objectives_ns = {known.name: known.latency_objective_ns for known in classes}
        self._tenants = tenants if tenants is not None else initial_table(settings.tenants)

    def may_reject(self, class_name: str) -> bool:
        """Whether requests of this class may be rejected here: not filings, nor what may run only once."""
        return self._idempotent.get(class_name, False)

    def check_admission(self, class_name: str, tenant: str | None, caller: int, age_ns: int) -> int | None:
        """None where the request is admitted; else the Retry-After (ns) that its caller gets.

        Args:
            class_name: the name of its class.
            tenant: the name of its tenant.
            caller: tells the callers of a tenant apart.
            age_ns: since it reached the machine.
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
        """Ends the current interval, gives its counts, and allots the next, of so many seconds."""
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
        """For operators, under the published status keys."""
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
        """Allots what can be admitted in the next interval, of which filings are expected to take theirs."""
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
        allocated = allocate(capacity, self._claims(keys, capacity))
        # Fractions of a token are kept, or whoever asks seldom would never have a whole one.
        self._tokens = {
            key: min(self._tokens.get(key, 0.0) + amount, BURST_INTERVALS * amount + 1)
            for key, amount in zip(keys, allocated, strict=True)
        }
        self._shared_tokens = max(1.0, capacity - sum(allocated))

    def _claims(self, keys: list[CallerKey], capacity: float) -> list[AllocationRequest]:
        """One claim for each caller, which has an equal part of what its tenant has in the class."""
        callers = Counter((class_name, tenant) for class_name, tenant, _ in keys)
        tenants = Counter(class_name for class_name, _ in callers)
        claims = []
        for key in keys:
            class_name, tenant, _ = key
            part = 1 / callers[class_name, tenant]
            claims.append(
                AllocationRequest(
                    rank=self._ranks[class_name],
                    demand=DEMAND_HEADROOM * self._demand[key] + 1,
                    weight=self._tenant_weight(tenant) * part,
                    minimum=MIN_CLASS_FRACTION * capacity * part / tenants[class_name],
                )
            )
        return claims

    def _tenant_weight(self, name: str | None) -> float:
        tenant = self._tenants.get(name)
        return max(MIN_TENANT_SHARE, tenant.share) if tenant is not None else 1.0
