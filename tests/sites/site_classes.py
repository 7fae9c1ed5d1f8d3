"""Request classes and a shedding order for the tests of the sites package."""

from ochrehoist.admission.settings import Idempotency, RequestClass, Tenant
from ochrehoist.core.tenants import initial_table
from ochrehoist.sites.shedding_order import FleetAggregates, SheddingOrder

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
    """Returns an order of READ, REFRESH and FILING after 100 arrivals per second of each, at 3 s.

    `costs` are their core seconds per request. With a `quota`, all requests are of the tenant `acme`, which
    sends `rate` requests per second to the fleet.
    """
    tenants = (Tenant("acme", quota, 1.0),) if quota is not None else ()
    order = SheddingOrder((READ, REFRESH, FILING), initial_table(tenants), 0.1)
    for request_class, cost in zip((READ, REFRESH, FILING), costs, strict=True):
        order.record_run(request_class.name, cost)
    order.set_aggregates(FleetAggregates({}, {"acme": rate}))
    for number in range(300):
        for request_class in (READ, REFRESH, FILING):
            order.record_arrival(
                ("", request_class.name, number),
                request_class.name,
                "acme" if tenants else None,
                False,
                number / 100,
            )
    order.refresh(3.0)
    return order
