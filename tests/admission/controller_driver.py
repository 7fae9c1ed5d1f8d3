"""Settings and a driver for tests of the controller: events in, actions out, no model of a server's speed."""

import dataclasses

from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    InstanceStarted,
    Outcome,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)
from ochrehoist.admission.settings import (
    AdmissionSettings,
    BackpressureSignal,
    DownstreamScope,
    Idempotency,
    ObjectiveWeights,
    Preemption,
    RequestClass,
)

MS, S = 1_000_000, 1_000_000_000


def request_class(**changes):
    """A class with usual values for what is not given."""
    base = RequestClass(
        name="read",
        latency_objective_ns=2 * S,
        deadline_ns=5 * S,
        priority_weight=1.0,
        late_weight=0.0,
        idempotency=Idempotency.IDEMPOTENT,
        idempotency_window_ns=0,
        objective_stretch=0.0,
        calls_downstream=False,
        fallback_weight=0.0,
    )
    return dataclasses.replace(base, **changes)


CLASSES = (
    request_class(),
    request_class(
        name="write", priority_weight=3.0, idempotency=Idempotency.KEYED, idempotency_window_ns=10 * S
    ),
    request_class(name="pay", priority_weight=2.0, idempotency=Idempotency.AT_MOST_ONCE),
    request_class(name="rich", priority_weight=1.0, calls_downstream=True, fallback_weight=0.5),
)

READ, WRITE, PAY, RICH = range(4)  # indices of the classes


def settings(**changes):
    """Settings with usual values for what is not given."""
    base = AdmissionSettings(
        classes=CLASSES,
        tenants=(),
        objective=ObjectiveWeights(0.6, 0.2, 0.2, 0.0),
        prices={},
        fleet_size=10,
        tier=0,
        caller_count=3,
        cores=4,
        memory_kb=20_000.0,
        run_memory_factor=4.0,
        key_kb=50.0,
        cold_start=False,
        warmup_ns=10 * S,
        warmup_speed=0.25,
        collapse_multiple=5.0,
        collapse_after_ns=2 * S,
        drain_grace_ns=2 * S,
        answer_grace_ns=100 * MS,
        propagates_deadline=True,
        reports_disconnects=False,
        marks_retries=True,
        weighs_work=False,
        over_quota_weight=0.1,
        downstream=DownstreamScope.NONE,
        downstream_share=0.0,
        downstream_window_ns=0,
        abandoned_call_ns=0,
        freshness_ns=0,
        backpressure=BackpressureSignal.NONE,
        backpressure_ttl_ns=S,
        relays_retry_after=True,
        max_retry_after_ns=S,
        preemption=Preemption.NONE,
        readiness=False,
        deep_health_checks=False,
        idle_timeout_ns=15 * S,
        clock_step_ns=4 * MS,
    )
    return dataclasses.replace(base, **changes)


class Driver:
    """One controller, its clock, and all that it has said."""

    def __init__(self, **changes):
        self.settings = settings(**changes)
        self.controller = AdmissionController(self.settings, 7)
        self.now_ns, self.count, self.log, self.arrived = 1000 * S, 0, [], {}
        self.send(InstanceStarted())

    def send(self, event):
        """One event; the actions that follow."""
        actions = self.controller.handle(self.now_ns, event)
        self.log += [(self.now_ns, a) for a in actions]
        return actions

    def request(self, class_index=0, remaining_ns=3 * S, **changes):
        """A request that arrives; its id, and the actions that follow."""
        self.count += 1
        base = RequestReceived(
            id=f"r{self.count}",
            class_index=class_index,
            tenant_index=None,
            routing_key=None,
            remaining_ns=remaining_ns,
            work_ns=None,
            memory_kb=30.0,
            rank=0.5,
            is_retry=False,
            is_write=False,
            caller=1,
            unread_ns=10 * MS,
            duplicate_of=None,
        )
        event = dataclasses.replace(base, **changes)
        self.arrived[event.id] = self.now_ns - event.unread_ns
        return event.id, self.send(event)

    def complete(self, job_id, outcome=Outcome.OK, duration_ns=100 * MS):
        """A run that ends; the actions that follow."""
        return self.send(RequestCompleted(job_id, outcome, duration_ns))

    def advance(self, span_ns, step_ns=25 * MS, gauges=None):
        """Let time pass, the sweep timer ringing."""
        out = []
        end = self.now_ns + span_ns
        while self.now_ns < end:
            self.now_ns = min(end, self.now_ns + step_ns)
            out += self.send(TimerFired(1, gauges if gauges is not None else {"cpu_busy": 1.0}))
        return out

    def actions_of(self, kind):
        """All actions of a kind so far."""
        return [a for _, a in self.log if isinstance(a, kind)]

    def ids(self, kind):
        """The ids in all actions of a kind so far."""
        return [a.id for a in self.actions_of(kind)]

    def times_of(self, kind, job_id):
        """When an action of a kind came for a request."""
        return [t for t, a in self.log if isinstance(a, kind) and a.id == job_id]
