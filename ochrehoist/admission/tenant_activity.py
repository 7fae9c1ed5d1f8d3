"""What classes and tenants asked for and got, as counts that decay.

Counts decay when they are looked at: a record knows its tick, and is brought up to the current one by a
single power. A tenant without a record is one that was not heard of since the start. So the cost of a tick
follows the tenants that are active, not all that there are.
"""

from math import exp, inf
from typing import NamedTuple

from ochrehoist.admission.settings import AdmissionSettings, Tenant
from ochrehoist.admission.timing import DECAY_S, TICK_INTERVAL_NS
from ochrehoist.units import NS_PER_S

TICK_DECAY = exp(-TICK_INTERVAL_NS / NS_PER_S / DECAY_S)  # what a tick leaves of a count
MIN_COUNT = 0.1  # a count of requests falls no further
FULLY_SERVED_SHORTFALL = (1.01 - 1.0) ** 2
FORGET_AFTER_TICKS = 3000  # after which what is left of counts decides nothing
MIN_STARTS_PER_S = 1e-9


class RequestCounts(NamedTuple):
    """What was asked and what was served of it, each decaying."""

    requested: float
    served: float


class ActivityCounts:
    """Decaying counts of one class or tenant, and what followed from them at the last tick."""

    __slots__ = "expected_demand", "requested", "served", "shortfall", "starts_per_s", "tick"

    def __init__(self, starts_per_s: float, expected_demand: float) -> None:
        """Asked once, and served; `starts_per_s` is what it is taken to have used so far."""
        self.requested = 1.0  # requests that are no retries
        self.served = 1.0  # answered within their objective
        self.starts_per_s = starts_per_s
        self.tick = 0  # as of which the counts are
        self.expected_demand = expected_demand
        self.shortfall = FULLY_SERVED_SHORTFALL  # grows with the square of the share that was not served

    def decayed(self, ticks: int) -> tuple[float, float, float]:
        """What is left of `asked`, `served` and `starts_per_s` after so many ticks."""
        kept = TICK_DECAY**ticks
        requested = self.requested * kept
        served = self.served * kept
        # No max(): with thousands of active tenants that takes half of the time.
        return (
            requested if requested > MIN_COUNT else MIN_COUNT,
            served if served > MIN_COUNT else MIN_COUNT,
            self.starts_per_s * kept,
        )

    def advance(self, tick: int, max_demand: float) -> None:
        """Brings the counts up to this tick, however many ticks nobody looked at them."""
        last = tick - 1
        if last < self.tick:
            return
        requested = self.requested
        served = self.served
        if last > self.tick:
            requested, served, _ = self.decayed(last - self.tick)
        demand = max_demand if max_demand > MIN_COUNT else MIN_COUNT
        if requested <= max_demand:
            demand = requested
        self.expected_demand = demand
        self.shortfall = (1.01 - served / demand) ** 2 if served < demand else FULLY_SERVED_SHORTFALL
        self.requested, self.served, self.starts_per_s = self.decayed(tick - self.tick)
        self.tick = tick

    def restore(self, requested: float, served: float, starts_per_s: float, tick: int) -> None:
        """Continues from counts that were learned elsewhere, as of a tick."""
        self.requested = requested
        self.served = served
        self.starts_per_s = starts_per_s
        self.tick = tick


class ActivityTracker:
    """The counts of all classes, and of the tenants that were active lately."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Each tenant begins as if it had used its quota until now."""
        self.tick = 0
        self.by_class = [ActivityCounts(0.0, 1.0) for _ in settings.classes]
        self.by_tenant: dict[int, ActivityCounts] = {}
        self.total_shortfall = 0.0  # of all tenants, as of the last refresh
        self._tenants = settings.tenants
        self._fleet_size = settings.fleet_size
        self._initial_quotas = [tenant.quota_per_s for tenant in settings.tenants]
        self._underserved: set[int] = set()  # those that asked since, or were not served in full

    def replace_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        """Takes other tenants; those that stay keep their positions, and new ones come behind."""
        self._initial_quotas += [0.0] * (len(tenants) - len(self._initial_quotas))
        self._tenants = tenants

    def tenant_counts(self, tenant: int) -> ActivityCounts:
        """The counts of a tenant, as of this tick."""
        counts = self.by_tenant.get(tenant)
        if counts is None or counts.tick < self.tick:
            max_demand = self._tenants[tenant].quota_per_s / self._fleet_size * DECAY_S
            if counts is None:
                initial_starts_per_s = self._initial_quotas[tenant] / self._fleet_size
                counts = ActivityCounts(initial_starts_per_s, min(1.0, max(MIN_COUNT, max_demand)))
            counts.advance(self.tick, max_demand)
            self.by_tenant[tenant] = counts
        return counts

    def observe_request(self, class_index: int, tenant: int | None, is_retry: bool) -> None:
        """A request was received."""
        self.by_class[class_index].requested += not is_retry
        if tenant is not None:
            self._underserved.add(tenant)
            self.tenant_counts(tenant).requested += not is_retry

    def observe_start(self, tenant: int | None) -> None:
        """A request starts."""
        if tenant is not None:
            self.tenant_counts(tenant).starts_per_s += 1 / DECAY_S

    def observe_served(self, class_index: int, tenant: int | None) -> None:
        """A request was answered within its objective."""
        self.by_class[class_index].served += 1
        if tenant is not None:
            self.tenant_counts(tenant).served += 1

    def share_within_quota(self, tenant: int, starts_per_s: float) -> float:
        """The part of a tenant's starts here that its quota covers.

        What one tenant sends past its quota must not crowd out others. The cost: where the fleet has grown
        since the start, the local share of the quota is taken to be larger than it is.
        """
        quota_per_s = self._tenants[tenant].quota_per_s / self._fleet_size
        rate_per_s = starts_per_s if starts_per_s > MIN_STARTS_PER_S else MIN_STARTS_PER_S
        return 1.0 if quota_per_s >= rate_per_s else quota_per_s / rate_per_s

    def is_mostly_over_quota(self, tenant: int | None) -> bool:
        """Whether more than half of a tenant's starts are beyond its quota."""
        if tenant is None:
            return False
        return self.share_within_quota(tenant, self.tenant_counts(tenant).starts_per_s) < 0.5

    def next_tick(self) -> None:
        """Counts one tick, and refreshes what follows from the counts."""
        self.tick += 1
        self.refresh()

    def refresh(self) -> None:
        """Sums up what tenants lack, and brings all classes up to this tick.

        A tenant that is served in full lacks the same until it asks again, so all such are one product.
        """
        underserved = {tenant: self.tenant_counts(tenant) for tenant in self._underserved}
        served_in_full = len(self._tenants) - len(underserved)
        shortfall = sum(counts.shortfall for counts in underserved.values())
        self.total_shortfall = shortfall + served_in_full * FULLY_SERVED_SHORTFALL
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
        """What a tenant is taken to have used before it was heard of."""
        return self._initial_quotas[tenant] / self._fleet_size

    def restore(
        self,
        tick: int,
        classes: list[RequestCounts],
        tenants: dict[int, RequestCounts],
        starts_per_s: dict[int, float],
    ) -> None:
        """Continues from counts that were learned elsewhere, by position.

        They are taken as of the tick before, so that all of them decide at once.
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
