"""Controllers with many tenants, and one that goes through all of them at each tick."""

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
    """A tenant whose quota follows something else."""

    def __init__(self, name, quota):
        self.name, self.quota_per_s, self.share = name, quota, 1.0


def tenants(count, quota=20.0):
    """So many tenants of one quota."""
    return tuple(Tenant(f"tenant{n}", quota, 1 / count) for n in range(count))


class TenantDriver:
    """The controller, its clock, and requests that end well at once."""

    def __init__(self, of, **changes):
        goal = ObjectiveWeights(0.45, 0.15, 0.3, 0.1)
        self.settings = settings(tenants=of, objective=goal, classes=CLASSES[:1] * 2, **changes)
        self.controller = AdmissionController(self.settings, 1)
        self.now_ns, self.number, self.actions = 1000 * S, 0, []
        self.send(InstanceStarted())

    def send(self, event):
        """One event; the actions that follow."""
        acts = self.controller.handle(self.now_ns, event)
        self.actions += acts
        return acts

    def request(self, tenant, retry=False):
        """A request of a tenant; the actions that follow."""
        self.number += 1
        return self.send(
            RequestReceived(f"r{self.number}", self.number % 2, tenant, is_retry=retry, caller=1)
        )

    def serve(self, tenant, retry=False, outcome=Outcome.OK):
        """A request of a tenant that runs to its end if it is started; how many were."""
        started = [a.id for a in self.request(tenant, retry) if isinstance(a, StartRun)]
        for job in started:
            self.send(RequestCompleted(job, outcome, 10 * MS))
        return len(started)

    def tick(self, count=1):
        """So many ticks."""
        for _ in range(count):
            self.now_ns += TICK_NS
            self.send(TimerFired(1, {"cpu_busy": 0.5}))

    def probe(self, tenant):
        """What the goal gains by an answer to it, and the part of what it starts that is within its share."""
        job = Job(RequestReceived("probe", 0, tenant, work_ns=S), self.settings.classes[0], self.now_ns)
        return self.controller.priority.value(job), self.controller.activity.share_within_quota(
            tenant, self.controller.activity.tenant_counts(tenant).starts_per_s
        )


class FullRecomputation:
    """The same, with every tenant gone through at each tick: as the design's formulas are written down."""

    def __init__(self, module):
        self.m, n = module, len(module.settings.tenants)
        self.requested, self.served = [1.0] * (2 + n), [1.0] * (2 + n)
        self.of = module.settings.tenants
        self.ran = [self.share(t) for t in self.of]
        self.value()

    def share(self, tenant):
        """What a tenant may start a second at this instance."""
        return tenant.quota_per_s / self.m.settings.fleet_size

    def value(self):
        """Values all anew."""
        goal, classes = self.m.settings.objective, self.m.settings.classes
        most = [float("inf")] * 2 + [max(0.1, self.share(t) * 20) for t in self.of]
        asked = [min(a, driver) for a, driver in zip(self.requested, most, strict=True)]
        lack = [(1.01 - min(1.0, v / a)) ** 2 for v, a in zip(self.served, asked, strict=True)]
        offered = sum(c.priority_weight * a for c, a in zip(classes, asked, strict=False))
        self.gains = [
            (goal.overall + goal.worst_window) * classes[at].priority_weight / offered
            + goal.worst_class * lack[at] / sum(lack[:2]) / asked[at]
            for at in range(2)
        ]
        self.plus = [
            goal.worst_tenant * miss / sum(lack[2:]) / a for miss, a in zip(lack[2:], asked[2:], strict=True)
        ]

    def tick(self):
        """One tick."""
        self.value()
        self.requested = [max(0.1, a * DECAY_PER_TICK) for a in self.requested]
        self.served = [max(0.1, v * DECAY_PER_TICK) for v in self.served]
        self.ran = [r * DECAY_PER_TICK for r in self.ran]

    def probe(self, tenant):
        """As `TenantDriver.probe`."""
        inside = min(1.0, self.share(self.of[tenant]) / max(1e-9, self.ran[tenant]))
        times = inside**2 + (1 - inside**2) * self.m.settings.over_quota_weight
        return (self.gains[0] + self.plus[tenant]) * times / S, inside


class CountingTable(tuple):
    """Tenants that count who goes through them, in C as well."""

    times = 0

    def __iter__(self):
        CountingTable.times += len(self)
        return super().__iter__()

    def __getitem__(self, at):
        CountingTable.times += len(range(len(self))[at]) if isinstance(at, slice) else 1
        return super().__getitem__(at)
