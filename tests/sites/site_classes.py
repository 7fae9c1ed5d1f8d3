"""Classes of requests, and a shedding order of them."""

from ochrehoist.admission.settings import Idempotency, RequestClass, Tenant
from ochrehoist.core.tenants import initial_table
from ochrehoist.sites.shedding_order import FleetAverages, SheddingOrder

S = 1_000_000_000

READ = RequestClass(
    name="read", latency_objective_ns=2 * S, deadline_ns=5 * S, idempotency=Idempotency.IDEMPOTENT
)

REFRESH = RequestClass(
    name="refresh", latency_objective_ns=2 * S, deadline_ns=5 * S, idempotency=Idempotency.IDEMPOTENT
)

FILING = RequestClass(
    name="filing",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    priority_weight=0.5,
    idempotency=Idempotency.KEYED,
    idempotency_window_ns=20 * S,
)


def make_order(costs=(0.1, 0.1, 0.1), quota=None, rate=0.0):
    tenants = (Tenant("acme", quota, 1.0),) if quota is not None else ()
    o = SheddingOrder((READ, REFRESH, FILING), initial_table(tenants), 0.1)
    for c, cost in zip((READ, REFRESH, FILING), costs, strict=True):
        o.record_run(c.name, cost)
    o.set_averages(FleetAverages({}, {"acme": rate}))
    for n in range(300):
        for c in (READ, REFRESH, FILING):
            o.record_arrival(("", c.name, n), c.name, "acme" if tenants else None, False, n / 100)
    o.refresh(3.0)
    return o
