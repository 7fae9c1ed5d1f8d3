"""Decaying counts of received and served requests by class and tenant.

Counts decay lazily: a record stores its last tick, and is brought up to the current one by a single power
when it is accessed. A tenant without a record counts as one that has sent nothing since the start. So the
cost of a tick depends on the number of active tenants, not on the number of all tenants.
"""

from math import exp, inf
from typing import NamedTuple

from ochrehoist.admission.settings import AdmissionSettings, Tenant
from ochrehoist.admission.timing import DECAY_TIME_S, TICK_INTERVAL_NS
from ochrehoist.units import NS_PER_S

TICK_DECAY = exp(-TICK_INTERVAL_NS / NS_PER_S / DECAY_TIME_S)  # factor by which counts decay per tick
MIN_COUNT = 0.1  # lower bound of request counts
FULLY_SERVED_SHORTFALL = (1.01 - 1.0) ** 2
FORGET_AFTER_TICKS = 3000  # counts have decayed too far by then to influence decisions
MIN_STARTS_PER_S = 1e-9


class RequestCounts(NamedTuple):
    """Decaying counts of received requests and of those that were served."""

    requested: float
    served: float


class ActivityCounts:
    """Decaying counts of one class or tenant, and the values derived from them at the last tick."""

    __slots__ = "expected_demand", "requested", "served", "shortfall", "starts_per_s", "tick"

    def __init__(self, starts_per_s: float, expected_demand: float) -> None:
        """The counts begin at one request, served; `starts_per_s` is the assumed rate so far."""
        self.requested = 1.0  # received requests other than retries
        self.served = 1.0  # requests answered within the latency objective
        self.starts_per_s = starts_per_s
        self.tick = 0  # the counts are valid at this tick
        self.expected_demand = expected_demand
        self.shortfall = FULLY_SERVED_SHORTFALL  # squared share of demand not served, with an offset of 0.01

    def decayed(self, ticks: int) -> tuple[float, float, float]:
        """Returns `requested`, `served` and `starts_per_s` decayed by a number of ticks."""
        decay = TICK_DECAY**ticks
        requested = self.requested * decay
        served = self.served * decay
        # max() is avoided: with thousands of active tenants it takes half of the time.
        return (
            requested if requested > MIN_COUNT else MIN_COUNT,
            served if served > MIN_COUNT else MIN_COUNT,
            self.starts_per_s * decay,
        )

    def advance(self, tick: int, max_demand: float) -> None:
        """Brings the counts and the derived values up to this tick, from any earlier one."""
        previous_tick = tick - 1
        if previous_tick < self.tick:
            return
        requested = self.requested
        served = self.served
        if previous_tick > self.tick:
            requested, served, _ = self.decayed(previous_tick - self.tick)
        demand = max_demand if max_demand > MIN_COUNT else MIN_COUNT
        if requested <= max_demand:
            demand = requested
        self.expected_demand = demand
        self.shortfall = (1.01 - served / demand) ** 2 if served < demand else FULLY_SERVED_SHORTFALL
        self.requested, self.served, self.starts_per_s = self.decayed(tick - self.tick)
        self.tick = tick

    def restore(self, requested: float, served: float, starts_per_s: float, tick: int) -> None:
        """Sets counts that were learned elsewhere, valid at `tick`."""
        self.requested = requested
        self.served = served
        self.starts_per_s = starts_per_s
        self.tick = tick


class ActivityTracker:
    """Counts of all classes and of recently active tenants."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Each tenant begins as if it had used its whole quota so far."""
        self.tick = 0
        self.by_class = [ActivityCounts(0.0, 1.0) for _ in settings.classes]
        self.by_tenant: dict[int, ActivityCounts] = {}
        self.total_shortfall = 0.0  # sum over all tenants at the last refresh
        self._tenants = settings.tenants
        self._fleet_size = settings.fleet_size
        self._initial_quotas = [tenant.quota_per_s for tenant in settings.tenants]
        self._underserved: set[int] = set()  # tenants with new requests or unserved demand

    def replace_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        """Replaces the tenants; remaining ones keep their indices, and new ones are appended."""
        self._initial_quotas += [0.0] * (len(tenants) - len(self._initial_quotas))
        self._tenants = tenants

    def tenant_counts(self, tenant: int) -> ActivityCounts:
        """Returns the counts of a tenant, brought up to the current tick."""
        counts = self.by_tenant.get(tenant)
        if counts is None or counts.tick < self.tick:
            max_demand = self._tenants[tenant].quota_per_s / self._fleet_size * DECAY_TIME_S
            if counts is None:
                initial_starts_per_s = self._initial_quotas[tenant] / self._fleet_size
                counts = ActivityCounts(initial_starts_per_s, min(1.0, max(MIN_COUNT, max_demand)))
            counts.advance(self.tick, max_demand)
            self.by_tenant[tenant] = counts
        return counts

    def observe_request(self, class_index: int, tenant: int | None, is_retry: bool) -> None:
        """Counts a received request, unless it is a retry."""
        self.by_class[class_index].requested += not is_retry
        if tenant is not None:
            self._underserved.add(tenant)
            self.tenant_counts(tenant).requested += not is_retry

    def observe_start(self, tenant: int | None) -> None:
        """Counts a start in the start rate of its tenant."""
        if tenant is not None:
            self.tenant_counts(tenant).starts_per_s += 1 / DECAY_TIME_S

    def observe_served(self, class_index: int, tenant: int | None) -> None:
        """Counts a request that was answered within its latency objective."""
        self.by_class[class_index].served += 1
        if tenant is not None:
            self.tenant_counts(tenant).served += 1

    def share_within_quota(self, tenant: int, starts_per_s: float) -> float:
        """Returns the share of a tenant's starts on this instance that its quota covers.

        Requests of one tenant over its quota must not displace those of others. If the fleet has grown since
        the start, the local share of the quota is overestimated.
        """
        quota_per_s = self._tenants[tenant].quota_per_s / self._fleet_size
        rate_per_s = starts_per_s if starts_per_s > MIN_STARTS_PER_S else MIN_STARTS_PER_S
        return 1.0 if quota_per_s >= rate_per_s else quota_per_s / rate_per_s

    def is_mostly_over_quota(self, tenant: int | None) -> bool:
        """Returns whether more than half of a tenant's starts are over its quota."""
        if tenant is None:
            return False
        return self.share_within_quota(tenant, self.tenant_counts(tenant).starts_per_s) < 0.5

    def next_tick(self) -> None:
        """Advances by one tick, and refreshes the derived values."""
        self.tick += 1
        self.refresh()

    def refresh(self) -> None:
        """Recomputes the total shortfall of tenants, and brings all classes up to the current tick.

        A fully served tenant has a constant shortfall until its next request, so all of them are added as one
        product.
        """
        underserved = {tenant: self.tenant_counts(tenant) for tenant in self._underserved}
        fully_served = len(self._tenants) - len(underserved)
        shortfall = sum(counts.shortfall for counts in underserved.values())
        self.total_shortfall = shortfall + fully_served * FULLY_SERVED_SHORTFALL
        self._underserved = {
            tenant for tenant, counts in underserved.items() if counts.served < counts.requested
        }
        for counts in self.by_class:
            counts.advance(self.tick, inf)
        if not self.tick % FORGET_AFTER_TICKS:
            self._forget_idle_tenants()

    def _forget_idle_tenants(self) -> None:
        self.by_tenant = {
            tenant: counts
            for tenant, counts in self.by_tenant.items()
            if self.tick - counts.tick < FORGET_AFTER_TICKS
        }

    def initial_starts_per_s(self, tenant: int) -> float:
        """Returns the start rate that a tenant is assumed to have had before its first request."""
        return self._initial_quotas[tenant] / self._fleet_size

    def restore(
        self,
        tick: int,
        classes: list[RequestCounts],
        tenants: dict[int, RequestCounts],
        starts_per_s: dict[int, float],
    ) -> None:
        """Sets counts that were learned elsewhere; tenants are given by index.

        The counts are set as of the previous tick, so that the refresh derives values from them immediately.
        """
        self.by_tenant = {}
        self.tick = tick
        for counts, (requested, served) in zip(self.by_class, classes, strict=True):
            counts.restore(requested, served, counts.starts_per_s, tick - 1)
        for tenant in tenants.keys() | starts_per_s.keys():
            counts = self.tenant_counts(tenant)
            requested, served = tenants.get(tenant, RequestCounts(counts.requested, counts.served))
            counts.restore(requested, served, starts_per_s.get(tenant, counts.starts_per_s), tick - 1)
        self._underserved = set(tenants)
        self.refresh()
