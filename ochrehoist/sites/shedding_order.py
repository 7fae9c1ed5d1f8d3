"""The shedding order: the fleet-wide order in which requests are rejected in overload.

Each request has a rank from 0 (admitted first) to 1 (rejected first). The rank depends only on values that
all workers of the fleet agree on: the ratio of priority weight to cost of its class, whether it is
idempotent, its tenant's quota, and a hash of its identity. So all workers reject the same requests, and a
caller gains nothing by retrying at another worker. No I/O; times are in seconds.
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
# Weight of a new run time in the mean cost of its class; the higher one applies while the worker warms up.
COST_LEARNING_RATE = 0.08
COLD_COST_LEARNING_RATE = 0.25
LOG_VALUE_STEP = 0.3  # width of a priority level, in the natural logarithm of priority weight per cost
RETRY_WINDOW_S = 4.0  # a repeated identity within this time counts as a retry, even if not marked as one
MAX_RECENT_REQUESTS = 8192
MIN_TENANT_RATE_PER_S = 0.02  # tenants with a lower rate are no longer tracked
MAX_REPORTED_TENANTS = 64  # limited because a report must fit into one datagram
MIN_DIVISOR = 1e-9


class RequestIdentity(NamedTuple):
    """The identity of a request, which is the same for all of its attempts."""

    tenant: str
    class_name: str
    subject: object


class SheddingGroup(NamedTuple):
    """Requests of one class, within or beyond their tenants' quotas, which share a range of ranks."""

    class_name: str
    beyond_quota: bool


class RankRange(NamedTuple):
    """The ranks of one group: from `start` to `start + width`."""

    start: float
    width: float


class PriorityLevel(NamedTuple):
    """The sort key of a group; the lowest level is admitted first.

    Requests within their tenant's quota precede all requests beyond one. Among them, non-idempotent requests
    such as filings come first, then classes by descending priority weight per cost. That value is rounded to
    wide levels, so that workers with slightly different measurements agree. Groups of one level are rejected
    with equal probability, so no class is starved in favour of another of the same value.
    """

    beyond_quota: bool
    is_idempotent: bool
    negative_value_level: int


@dataclass(slots=True)
class FleetAggregates:
    """Aggregates of all workers' reports.

    `class_costs` holds the mean cost of each class in core seconds, `tenant_rates` the requests per second
    of each tenant in the whole fleet.
    """

    class_costs: Mapping[str, float]
    tenant_rates: Mapping[str, float]


_Key = TypeVar("_Key")


def _rate_of(rates: dict[_Key, DecayingRate], key: _Key) -> DecayingRate:
    rate = rates.get(key)
    if rate is None:
        rate = rates[key] = DecayingRate(RATE_SPAN_S)
    return rate


class SheddingOrder:
    """The learned costs and rates of a worker, and the ranks of requests that follow from them.

    `class_costs` holds the learned core seconds per request by class, `rank_ranges` the ranks of each group.
    `beyond_quota_weight` scales the priority weight of requests beyond their tenant's quota.
    """

    def __init__(
        self, classes: Iterable[RequestClass], tenants: TenantTable, beyond_quota_weight: float
    ) -> None:
        self.class_costs: dict[str, float] = {}
        self.aggregates = FleetAggregates({}, {})
        self.rank_ranges: dict[SheddingGroup, RankRange] = {}
        self._work_rates: dict[SheddingGroup, DecayingRate] = {}
        self._tenant_rates: dict[str, DecayingRate] = {}
        self._last_seen: dict[tuple[object, ...], float] = {}  # by identity, oldest first
        self.configure(classes, tenants, beyond_quota_weight)

    def configure(
        self, classes: Iterable[RequestClass], tenants: TenantTable, beyond_quota_weight: float
    ) -> None:
        """Applies changed settings; learned state of removed classes is discarded."""
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
        self.rank_ranges = {}

    def set_aggregates(self, aggregates: FleetAggregates) -> None:
        """Replaces the aggregates of the fleet's reports."""
        self.aggregates = aggregates

    # Learning.

    def record_run(
        self, class_name: str, duration_s: float, learning_rate: float = COST_LEARNING_RATE
    ) -> None:
        """Updates the mean cost of a class by a run of `duration_s` core seconds."""
        mean_s = self.class_costs.get(class_name)
        self.class_costs[class_name] = (
            duration_s if mean_s is None else mean_s + learning_rate * (duration_s - mean_s)
        )

    def cost(self, class_name: str) -> float | None:
        """Returns the mean cost by this worker's own runs, or by the fleet's if it has not run any."""
        return self.class_costs.get(class_name) or self.aggregates.class_costs.get(class_name)

    def agreed_cost(self, class_name: str) -> float | None:
        """Returns the fleet's mean cost, which all workers use for ranking regardless of their own speed."""
        return self.aggregates.class_costs.get(class_name) or self.class_costs.get(class_name)

    def record_arrival(
        self,
        identity: tuple[object, ...],
        class_name: str,
        tenant: str | None,
        marked_as_retry: bool,
        now: float,
    ) -> bool:
        """Counts a first attempt and returns True; returns False if the request is a retry."""
        if marked_as_retry or now - self._last_seen.get(identity, -math.inf) < RETRY_WINDOW_S:
            return False
        self._record_seen(identity, now)
        if tenant is not None:
            _rate_of(self._tenant_rates, tenant).add(now, 1.0)
        cost = self.agreed_cost(class_name)
        if cost is not None:
            group = self._group(class_name, self.is_beyond_quota(identity, tenant, now))
            _rate_of(self._work_rates, group).add(now, cost)
        return True

    def _group(self, class_name: str, beyond_quota: bool) -> SheddingGroup:
        """Returns a group from the precomputed ones; classes that are no longer configured get a new one."""
        groups = self._groups.get(class_name)
        return groups[beyond_quota] if groups is not None else SheddingGroup(class_name, beyond_quota)

    def _record_seen(self, identity: tuple[object, ...], now: float) -> None:
        self._last_seen.pop(identity, None)
        self._last_seen[identity] = now
        if len(self._last_seen) > MAX_RECENT_REQUESTS:
            del self._last_seen[next(iter(self._last_seen))]

    # Ranking.

    def is_beyond_quota(self, identity: tuple[object, ...], tenant: str | None, now: float) -> bool:
        """Whether the request counts as beyond its tenant's quota in the fleet.

        If the tenant's rate exceeds its quota, the excess share of its requests is selected by hash.
        """
        tenant_settings = self._tenants.get(tenant)
        if tenant_settings is None or tenant is None:
            return False
        quota = tenant_settings.quota_per_s
        rate = self.aggregates.tenant_rates.get(tenant, 0.0)
        own_rate = self._tenant_rates.get(tenant)
        rate = max(rate, own_rate.read(now) if own_rate is not None else 0.0)
        return rate > quota and hash_fraction("share", *identity) >= quota / rate

    def _priority_level(self, group: SheddingGroup) -> PriorityLevel:
        settings = self.classes[group.class_name]
        weight = settings.priority_weight * (self._beyond_quota_weight if group.beyond_quota else 1.0)
        cost = self.agreed_cost(group.class_name) or 1.0
        log_value = math.log(max(MIN_DIVISOR, weight) / max(MIN_DIVISOR, cost))
        return PriorityLevel(
            group.beyond_quota,
            settings.idempotency is Idempotency.IDEMPOTENT,
            -round(log_value / LOG_VALUE_STEP),
        )

    def refresh(self, now: float) -> None:
        """Recomputes the rank range of each group, in proportion to its work; called at each tick."""
        self._expire_recent_requests(now)
        self.rank_ranges = {}
        work = {
            group: rate.read(now)
            for group, rate in self._work_rates.items()
            if group.class_name in self.classes
        }
        total = sum(work.values())
        if total <= 0:
            return
        groups_by_level: dict[PriorityLevel, list[SheddingGroup]] = {}
        for group in work:
            groups_by_level.setdefault(self._priority_level(group), []).append(group)
        start = 0.0
        for _, groups in sorted(groups_by_level.items()):
            width = sum(work[group] for group in groups) / total
            self.rank_ranges |= dict.fromkeys(groups, RankRange(start, width))
            start += width

    def _expire_recent_requests(self, now: float) -> None:
        while self._last_seen:
            oldest = next(iter(self._last_seen))
            if now - self._last_seen[oldest] <= RETRY_WINDOW_S:
                return
            del self._last_seen[oldest]

    def rank(self, identity: tuple[object, ...], class_name: str, tenant: str | None, now: float) -> float:
        """Returns the rank of a request, from 0 to 1; 0 if its group has no measured work yet."""
        group = self._group(class_name, self.is_beyond_quota(identity, tenant, now))
        rank_range = self.rank_ranges.get(group)
        if rank_range is None:
            return 0.0
        return rank_range.start + rank_range.width * hash_fraction(*identity)

    # Reporting.

    @property
    def tracked_tenants(self) -> int:
        """The number of tenants whose rate is tracked."""
        return len(self._tenant_rates)

    def tenant_rates(self, now: float) -> dict[str, float]:
        """Returns requests per second by tenant; tenants with a negligible rate are dropped."""
        rates = {tenant: rate.read(now) for tenant, rate in self._tenant_rates.items()}
        for tenant in [tenant for tenant, rate in rates.items() if rate < MIN_TENANT_RATE_PER_S]:
            del self._tenant_rates[tenant], rates[tenant]
        return rates

    def reported_tenant_rates(self, now: float) -> dict[str, float]:
        """Returns the rates of the tenants with the highest use of their quota.

        Workers need a common view only of tenants near or beyond their quota.
        """

        def quota_use(tenant_rate: tuple[str, float]) -> float:
            tenant_settings = self._tenants.get(tenant_rate[0])
            return (
                tenant_rate[1] / max(MIN_DIVISOR, tenant_settings.quota_per_s)
                if tenant_settings is not None
                else 0.0
            )

        return dict(nlargest(MAX_REPORTED_TENANTS, self.tenant_rates(now).items(), key=quota_use))
