"""The one order in which requests are admitted while there is more than the cores can do. No I/O; seconds.

Each request has a rank from 0 (admitted first) to 1 (rejected first), made of nothing but what every worker
of the fleet knows alike: priority weight by work of its class, whether it may be retried, its tenant's
quota, and a hash of what it asks. So all reject the same requests, and a caller who tries the next worker
wins nothing by it.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nlargest
from typing import NamedTuple, TypeVar

from ochrehoist.admission.settings import Idempotency, RequestClass
from ochrehoist.core.tenants import TenantTable
from ochrehoist.sites.rates import DecayingRate, hash_fraction

RATE_SPAN_S = 6.0
COST_LEARNING_RATE = 0.08  # of a run's time, in the mean of its class
COLD_COST_LEARNING_RATE = 0.25  # likewise while the machine warms up
LOG_VALUE_STEP = 0.3  # by which the value by work of two classes may differ in a logarithm and count as alike
RETRY_WINDOW_S = 4.0  # in which the same request is taken for a retry, marked or not
MAX_RECENT_REQUESTS = 8192
MIN_TENANT_RATE_PER_S = 0.02  # under which a tenant's rate is forgotten
MAX_REPORTED_TENANTS = 64  # whose rates are reported to others: a report must fit in a datagram
LEAST_DIVISOR = 1e-9


class RequestIdentity(NamedTuple):
    """What all tries of one request share."""

    tenant: str
    class_name: str
    subject: object


class SheddingGroup(NamedTuple):
    """Requests that are ranked together."""

    class_name: str
    beyond_quota: bool


class RankSpan(NamedTuple):
    """The ranks of one group: from `start` on, `width` of them."""

    start: float
    width: float


class PriorityStep(NamedTuple):
    """What is admitted first has the least.

    Filings and what may run once only come first, then value by work in wide steps, so that two workers
    which measured a little differently agree. Groups of one step are rejected alike: no class is starved
    for another of the same value. Beyond a tenant's quota nothing goes before what is within one.
    """

    beyond_quota: bool
    is_idempotent: bool
    negative_value_step: int


@dataclass(slots=True)
class FleetAverages:
    """What all workers report: the mean cost of a class, and what tenants send to the whole fleet."""

    class_costs: Mapping[str, float]
    tenant_rates: Mapping[str, float]


_Key = TypeVar("_Key")


def _rate_of(rates: dict[_Key, DecayingRate], key: _Key) -> DecayingRate:
    rate = rates.get(key)
    if rate is None:
        rate = rates[key] = DecayingRate(RATE_SPAN_S)
    return rate


class SheddingOrder:
    """Learns costs and rates, and ranks requests by them.

    `beyond_quota_weight` scales the priority weight of what a tenant sends beyond its quota.
    """

    def __init__(
        self, classes: Iterable[RequestClass], tenants: TenantTable, beyond_quota_weight: float
    ) -> None:
        self.class_costs: dict[str, float] = {}  # s of one core for one request
        self.averages = FleetAverages({}, {})
        self.spans: dict[SheddingGroup, RankSpan] = {}
        self._work_rates: dict[SheddingGroup, DecayingRate] = {}
        self._tenant_rates: dict[str, DecayingRate] = {}
        self._last_seen: dict[tuple[object, ...], float] = {}  # by identity, oldest first
        self.configure(classes, tenants, beyond_quota_weight)

    def configure(
        self, classes: Iterable[RequestClass], tenants: TenantTable, beyond_quota_weight: float
    ) -> None:
        """Takes new settings; what was learned of classes that stay is kept."""
        self.classes = {c.name: c for c in classes}
        self._groups = {
            name: (SheddingGroup(name, False), SheddingGroup(name, True)) for name in self.classes
        }
        self._tenants = tenants
        self._beyond_quota_weight = beyond_quota_weight
        self.class_costs = {name: cost for name, cost in self.class_costs.items() if name in self.classes}
        self._work_rates = {
            group: rate for group, rate in self._work_rates.items() if group.class_name in self.classes
        }
        self.spans = {}

    def set_averages(self, averages: FleetAverages) -> None:
        """Takes what the fleet reports."""
        self.averages = averages

    # What is learned.

    def record_run(
        self, class_name: str, duration_s: float, learning_rate: float = COST_LEARNING_RATE
    ) -> None:
        """One run took so long of a core."""
        before = self.class_costs.get(class_name)
        self.class_costs[class_name] = (
            duration_s if before is None else before + learning_rate * (duration_s - before)
        )

    def cost(self, class_name: str) -> float | None:
        """By own runs; before there are any, as the others report."""
        return self.class_costs.get(class_name) or self.averages.class_costs.get(class_name)

    def agreed_cost(self, class_name: str) -> float | None:
        """As the order counts it: alike at all workers, however fast each is."""
        return self.averages.class_costs.get(class_name) or self.class_costs.get(class_name)

    def record_arrival(
        self,
        identity: tuple[object, ...],
        class_name: str,
        tenant: str | None,
        marked_as_retry: bool,
        now: float,
    ) -> bool:
        """Counts a first try; False where this is a retry."""
        if marked_as_retry or now - self._last_seen.get(identity, -math.inf) < RETRY_WINDOW_S:
            return False
        self._remember(identity, now)
        if tenant is not None:
            _rate_of(self._tenant_rates, tenant).add(now, 1.0)
        cost = self.agreed_cost(class_name)
        if cost is not None:
            group = self._group(class_name, self.is_beyond_quota(identity, tenant, now))
            _rate_of(self._work_rates, group).add(now, cost)
        return True

    def _group(self, class_name: str, beyond_quota: bool) -> SheddingGroup:
        """One that was made beforehand, but for a class that the settings no longer have."""
        groups = self._groups.get(class_name)
        return groups[beyond_quota] if groups is not None else SheddingGroup(class_name, beyond_quota)

    def _remember(self, identity: tuple[object, ...], now: float) -> None:
        self._last_seen.pop(identity, None)
        self._last_seen[identity] = now
        if len(self._last_seen) > MAX_RECENT_REQUESTS:
            del self._last_seen[next(iter(self._last_seen))]

    # Ranks.

    def is_beyond_quota(self, identity: tuple[object, ...], tenant: str | None, now: float) -> bool:
        """Whether it is of the part that its tenant sends beyond its quota in the fleet."""
        known = self._tenants.get(tenant)
        if known is None or tenant is None:
            return False
        quota = known.quota_per_s
        rate = self.averages.tenant_rates.get(tenant, 0.0)
        own_rate = self._tenant_rates.get(tenant)
        rate = max(rate, own_rate.read(now) if own_rate is not None else 0.0)
        return rate > quota and hash_fraction("share", *identity) >= quota / rate

    def _priority_step(self, group: SheddingGroup) -> PriorityStep:
        settings = self.classes[group.class_name]
        weight = settings.priority_weight * (self._beyond_quota_weight if group.beyond_quota else 1.0)
        cost = self.agreed_cost(group.class_name) or 1.0
        log_value = math.log(max(LEAST_DIVISOR, weight) / max(LEAST_DIVISOR, cost))
        return PriorityStep(
            group.beyond_quota,
            settings.idempotency is Idempotency.IDEMPOTENT,
            -round(log_value / LOG_VALUE_STEP),
        )

    def refresh(self, now: float) -> None:
        """Several times a second: divides the ranks anew, by the work that each group brings."""
        self._forget_old_requests(now)
        self.spans = {}
        work = {
            group: rate.read(now)
            for group, rate in self._work_rates.items()
            if group.class_name in self.classes
        }
        total = sum(work.values())
        if total <= 0:
            return
        steps: dict[PriorityStep, list[SheddingGroup]] = {}
        for group in work:
            steps.setdefault(self._priority_step(group), []).append(group)
        start = 0.0
        for _, groups in sorted(steps.items()):
            width = sum(work[group] for group in groups) / total
            self.spans |= dict.fromkeys(groups, RankSpan(start, width))
            start += width

    def _forget_old_requests(self, now: float) -> None:
        while self._last_seen:
            oldest = next(iter(self._last_seen))
            if now - self._last_seen[oldest] <= RETRY_WINDOW_S:
                return
            del self._last_seen[oldest]

    def rank(self, identity: tuple[object, ...], class_name: str, tenant: str | None, now: float) -> float:
        """From 0 to 1. What nothing is known of yet stands where its class would: first."""
        group = self._group(class_name, self.is_beyond_quota(identity, tenant, now))
        span = self.spans.get(group)
        if span is None:
            return 0.0
        return span.start + span.width * hash_fraction(*identity)

    # What is reported.

    @property
    def tracked_tenants(self) -> int:
        """Tenants whose rate is remembered."""
        return len(self._tenant_rates)

    def tenant_rates(self, now: float) -> dict[str, float]:
        """Requests a second of the tenants that sent lately."""
        rates = {tenant: rate.read(now) for tenant, rate in self._tenant_rates.items()}
        for tenant in [tenant for tenant, rate in rates.items() if rate < MIN_TENANT_RATE_PER_S]:
            del self._tenant_rates[tenant], rates[tenant]
        return rates

    def reported_tenant_rates(self, now: float) -> dict[str, float]:
        """Of those nearest to their quota, or furthest beyond it: only there do all have to agree."""

        def quota_use(item: tuple[str, float]) -> float:
            known = self._tenants.get(item[0])
            return item[1] / max(LEAST_DIVISOR, known.quota_per_s) if known is not None else 0.0

        return dict(nlargest(MAX_REPORTED_TENANTS, self.tenant_rates(now).items(), key=quota_use))
