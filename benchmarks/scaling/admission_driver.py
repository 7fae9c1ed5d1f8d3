"""An admission controller under measurement: its settings, its clock and the requests it gets."""

from itertools import count
from random import Random
from typing import Any

from benchmarks.scaling.probe import Measures
from benchmarks.scaling.timing import cpu_us, median_cpu_us, short_call_cpu_us
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    Event,
    InstanceStarted,
    Outcome,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)
from ochrehoist.admission.settings import (
    AdmissionSettings,
    Idempotency,
    ObjectiveWeights,
    RequestClass,
    Tenant,
)

MS = 1_000_000
S = 1000 * MS
RUN_NS = 4 * MS
TICK_NS = MS  # so little that nothing expires while a tick is measured again and again
WARMUP_REQUESTS = 30
TIMED_REQUESTS = 200
REQUESTS_A_TICK = 17  # at 171 requests a second
BUSY_TICKS = 9
IDEMPOTENCY_WINDOW_NS = 900 * S


def admission_settings(
    tenants: int = 3, classes: int = 2, latency_objective_ns: int = 900 * MS, **changes: Any
) -> AdmissionSettings:
    """Settings of an appliance as its deploy file has it: reads first, the last class of filings."""
    values: dict[str, Any] = {
        "classes": tuple(
            _request_class(number, latency_objective_ns, keyed=number == classes - 1)
            for number in range(classes)
        ),
        "tenants": tuple(
            Tenant(f"tenant-{number:06}", 100.0, 1 / max(1, tenants)) for number in range(tenants)
        ),
        "cores": 16,
        "memory_kb": 90e6,
        "collapse_multiple": 5.0,
        "collapse_after_ns": S,
        "run_memory_factor": 4.0,
        "key_kb": 10.0,
        "caller_count": 2,
        "idle_timeout_ns": 30 * S,
        "fleet_size": 2,
        "objective": ObjectiveWeights(0.5, 0.1, 0.2, 0.2),
        "max_retry_after_ns": S,
        "over_quota_weight": 0.2,
    }
    return AdmissionSettings(**values | changes)


def _request_class(number: int, latency_objective_ns: int, keyed: bool) -> RequestClass:
    return RequestClass(
        name=f"class-{number}",
        latency_objective_ns=latency_objective_ns,
        deadline_ns=2 * latency_objective_ns,
        priority_weight=1.0 + number % 3,
        idempotency=Idempotency.KEYED if keyed else Idempotency.IDEMPOTENT,
        idempotency_window_ns=IDEMPOTENCY_WINDOW_NS if keyed else 0,
    )


class AdmissionDriver:
    """A controller and its clock. Probes may move `now_ns` and read `controller`."""

    def __init__(self, settings: AdmissionSettings, seed: int) -> None:
        self.rng = Random(seed)
        self.controller = AdmissionController(settings, seed)
        self.now_ns = S
        self._tenant_count = len(settings.tenants)
        self._numbers = count()
        self.dispatch(InstanceStarted())

    def dispatch(self, event: Event) -> None:
        """Hand an event to the controller."""
        self.controller.handle(self.now_ns, event)

    def receive(self, class_index: int = 0, caller: int = 0, tenant: int | None = None) -> str:
        """Receive one request, of a random tenant where none is given; its id."""
        request_id = f"r{next(self._numbers)}"
        if tenant is None and self._tenant_count:
            tenant = self.rng.randrange(self._tenant_count)
        self.dispatch(
            RequestReceived(request_id, class_index, tenant_index=tenant, memory_kb=24.0, caller=caller)
        )
        return request_id

    def complete(self, request_id: str, outcome: Outcome = Outcome.OK) -> None:
        """Complete a request whose run took RUN_NS."""
        self.dispatch(RequestCompleted(request_id, outcome, RUN_NS))

    def serve(self, class_index: int = 0) -> None:
        """Receive one request, let it run, and complete it."""
        request_id = self.receive(class_index)
        self.now_ns += RUN_NS
        self.complete(request_id)

    def serve_tenants(self, count: int, outcome: Outcome = Outcome.OK) -> None:
        """Complete one request of each of so many different tenants, all at one time."""
        for tenant in self.rng.sample(range(self._tenant_count), count):
            self.complete(self.receive(tenant=tenant), outcome)

    def tick(self) -> None:
        """Fire the timer."""
        self.now_ns += TICK_NS
        self.dispatch(TimerFired(1, {"cpu_busy": 0.5, "runnable": 1.0}))

    def measures(self) -> Measures:
        """Processor time of a tick after silence, of one after requests, and of a request's decision."""
        for _ in range(WARMUP_REQUESTS):
            self.serve()
        quiet_tick_us = median_cpu_us(self.tick)
        busy_ticks_us = sorted(self._busy_tick_us() for _ in range(BUSY_TICKS))
        return {
            "tick_us": quiet_tick_us,
            "busy_tick_us": busy_ticks_us[BUSY_TICKS // 2],
            "decision_us": short_call_cpu_us(self.serve, TIMED_REQUESTS),
        }

    def _busy_tick_us(self) -> float:
        for _ in range(REQUESTS_A_TICK):
            self.serve()
        return cpu_us(self.tick)
