"""A driver for controllers with many tenants, and a reference that recomputes all of them at each tick."""

from math import exp

from ochrehoist.admission.actions import StartRun
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    InstanceStarted,
    Outcome,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)
from ochrehoist.admission.job import Job
from ochrehoist.admission.settings import ObjectiveWeights, Tenant
from tests.admission.controller_driver import CLASSES, MS, S, settings

TICK_NS = 100 * MS

DECAY_PER_TICK = exp(-0.1 / 20)

SIZES = 3, 2000, 58_000


class MutableTenant:
    """Tenant whose quota a test changes during a run."""

    def __init__(self, name, quota):
        self.name, self.quota_per_s, self.share = name, quota, 1.0


def tenants(count, quota=20.0):
    """Returns `count` tenants with the same quota."""
    return tuple(Tenant(f"tenant{n}", quota, 1 / count) for n in range(count))


class TenantDriver:
    """Controller with its clock, whose requests complete as soon as they start."""

    def __init__(self, initial_tenants, **changes):
        weights = ObjectiveWeights(0.45, 0.15, 0.3, 0.1)
        self.settings = settings(
            tenants=initial_tenants, objective=weights, classes=CLASSES[:1] * 2, **changes
        )
        self.controller = AdmissionController(self.settings, 1)
        self.now_ns, self.request_count, self.actions = 1000 * S, 0, []
        self.send(InstanceStarted())

    def send(self, event):
        """Passes an event to the controller and returns the resulting actions."""
        new_actions = self.controller.handle(self.now_ns, event)
        self.actions += new_actions
        return new_actions

    def request(self, tenant, retry=False):
        """Sends a request of a tenant and returns the resulting actions."""
        self.request_count += 1
        return self.send(
            RequestReceived(
                f"r{self.request_count}", self.request_count % 2, tenant, is_retry=retry, caller=1
            )
        )

    def serve(self, tenant, retry=False, outcome=Outcome.OK):
        """Sends a request of a tenant, completes the runs that start, and returns their number."""
        started = [action.id for action in self.request(tenant, retry) if isinstance(action, StartRun)]
        for job_id in started:
            self.send(RequestCompleted(job_id, outcome, 10 * MS))
        return len(started)

    def tick(self, count=1):
        """Advances by `count` ticks."""
        for _ in range(count):
            self.now_ns += TICK_NS
            self.send(TimerFired(1, {"cpu_busy": 0.5}))

    def probe(self, tenant):
        """Returns the priority of a request of a tenant, and the share of its starts within its quota."""
        job = Job(RequestReceived("probe", 0, tenant, work_ns=S), self.settings.classes[0], self.now_ns)
        return self.controller.priority.value(job), self.controller.activity.share_within_quota(
            tenant, self.controller.activity.tenant_counts(tenant).starts_per_s
        )


class FullRecomputation:
    """Reference for the priorities that evaluates the formulas of the design for every tenant at each tick.

    The lists of counts hold the two classes first, then the tenants.
    """

    def __init__(self, tenant_driver):
        self.driver, tenant_count = tenant_driver, len(tenant_driver.settings.tenants)
        self.requested, self.served = [1.0] * (2 + tenant_count), [1.0] * (2 + tenant_count)
        self.all_tenants = tenant_driver.settings.tenants
        self.starts_per_s = [self.local_quota_per_s(tenant) for tenant in self.all_tenants]
        self.recompute()

    def local_quota_per_s(self, tenant):
        """Returns the part of a tenant's quota for this instance."""
        return tenant.quota_per_s / self.driver.settings.fleet_size

    def recompute(self):
        """Recomputes the gains of all classes and tenants."""
        weights, classes = self.driver.settings.objective, self.driver.settings.classes
        max_demands = [float("inf")] * 2 + [
            max(0.1, self.local_quota_per_s(tenant) * 20) for tenant in self.all_tenants
        ]
        demands = [min(count, limit) for count, limit in zip(self.requested, max_demands, strict=True)]
        shortfalls = [
            (1.01 - min(1.0, served_count / demand)) ** 2
            for served_count, demand in zip(self.served, demands, strict=True)
        ]
        offered_weight = sum(
            each.priority_weight * demand for each, demand in zip(classes, demands, strict=False)
        )
        self.class_gains = [
            (weights.overall + weights.worst_window) * classes[index].priority_weight / offered_weight
            + weights.worst_class * shortfalls[index] / sum(shortfalls[:2]) / demands[index]
            for index in range(2)
        ]
        self.tenant_gains = [
            weights.worst_tenant * shortfall / sum(shortfalls[2:]) / demand
            for shortfall, demand in zip(shortfalls[2:], demands[2:], strict=True)
        ]

    def tick(self):
        """Advances by one tick: recomputes the gains, then decays all counts."""
        self.recompute()
        self.requested = [max(0.1, count * DECAY_PER_TICK) for count in self.requested]
        self.served = [max(0.1, served_count * DECAY_PER_TICK) for served_count in self.served]
        self.starts_per_s = [rate * DECAY_PER_TICK for rate in self.starts_per_s]

    def probe(self, tenant):
        """Returns the same pair as `TenantDriver.probe`."""
        within_quota = min(
            1.0, self.local_quota_per_s(self.all_tenants[tenant]) / max(1e-9, self.starts_per_s[tenant])
        )
        factor = within_quota**2 + (1 - within_quota**2) * self.driver.settings.over_quota_weight
        return (self.class_gains[0] + self.tenant_gains[tenant]) * factor / S, within_quota


class CountingTenants(tuple):
    """Tuple of tenants that counts how many of them are accessed, also from C code."""

    accesses = 0

    def __iter__(self):
        CountingTenants.accesses += len(self)
        return super().__iter__()

    def __getitem__(self, index):
        CountingTenants.accesses += len(range(len(self))[index]) if isinstance(index, slice) else 1
        return super().__getitem__(index)
