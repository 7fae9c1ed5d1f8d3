"""Classes, requests and a controller for tests of overload control."""

import itertools

from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass, Tenant
from ochrehoist.core.request import InboundRequest
from tests.admission.controller_driver import Driver as ControllerDriver

S, MS = 10**9, 10**6

READ = RequestClass(
    name="read",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    priority_weight=1.0,
    idempotency=Idempotency.IDEMPOTENT,
)

LOW = RequestClass(
    name="low",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    priority_weight=0.2,
    idempotency=Idempotency.IDEMPOTENT,
)

FILING = RequestClass(
    name="filing",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    priority_weight=3.0,
    idempotency=Idempotency.KEYED,
    idempotency_window_ns=S,
)

SETTINGS = AdmissionSettings(
    classes=(READ, LOW, FILING),
    cores=4,
    memory_kb=1e6,
    collapse_multiple=8.0,
    collapse_after_ns=S,
    tenants=(Tenant("a", 10.0, 0.75), Tenant("b", 10.0, 0.25)),
)


class Driver(ControllerDriver):
    """A controller driver with a set of the ids of ended requests."""

    def __init__(self, **changes):
        self.ended = set()
        super().__init__(**changes)


class SilentResponder:
    """Responder for requests that are never answered."""

    def origin(self):
        """Returns the name of the front and the caller's address."""
        return "test", "127.0.0.1"


REQUEST_NUMBERS = itertools.count()


def make_request(class_settings=READ, key=None, work=None, kb=20.0, retry=False, caller=1):
    """Returns a request with default values for arguments that are not given."""
    return InboundRequest(
        id=f"r{next(REQUEST_NUMBERS)}",
        request_class=class_settings,
        arrived_ns=0,
        payload=None,
        responder=SilentResponder(),
        executor=None,
        routing_key=key,
        work_ns=work,
        memory_kb=kb,
        is_retry=retry,
        caller=caller,
    )
