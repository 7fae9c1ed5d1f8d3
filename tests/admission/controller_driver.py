"""Settings and a driver for tests of the controller; the driver does not model the speed of a server."""

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
    """Returns a request class with default values for the fields that are not given."""
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
    """Returns settings with default values for the fields that are not given."""
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
    """A controller with its clock and the log of its actions."""

    def __init__(self, **changes):
        self.settings = settings(**changes)
        self.controller = AdmissionController(self.settings, 7)
        self.now_ns, self.request_count, self.log, self.arrived_at_ns = 1000 * S, 0, [], {}
        self.send(InstanceStarted())

    def send(self, event):
        """Passes an event to the controller and returns the resulting actions."""
        actions = self.controller.handle(self.now_ns, event)
        self.log += [(self.now_ns, action) for action in actions]
        return actions

    def request(self, class_index=0, remaining_ns=3 * S, **changes):
        """Sends a request; returns its id and the resulting actions."""
        self.request_count += 1
        base = RequestReceived(
            id=f"r{self.request_count}",
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
        self.arrived_at_ns[event.id] = self.now_ns - event.unread_ns
        return event.id, self.send(event)

    def complete(self, job_id, outcome=Outcome.OK, duration_ns=100 * MS):
        """Completes a run and returns the resulting actions."""
        return self.send(RequestCompleted(job_id, outcome, duration_ns))

    def advance(self, span_ns, step_ns=25 * MS, gauges=None):
        """Advances the clock in steps, firing the tick timer at each; returns the resulting actions."""
        actions = []
        end_ns = self.now_ns + span_ns
        while self.now_ns < end_ns:
            self.now_ns = min(end_ns, self.now_ns + step_ns)
            actions += self.send(TimerFired(1, gauges if gauges is not None else {"cpu_busy": 1.0}))
        return actions

    def actions_of(self, action_type):
        """Returns all actions of a type so far."""
        return [action for _, action in self.log if isinstance(action, action_type)]

    def ids(self, action_type):
        """Returns the request ids of all actions of a type so far."""
        return [action.id for action in self.actions_of(action_type)]

    def times_of(self, action_type, job_id):
        """Returns the times of all actions of a type for a request, in ns."""
        return [
            time_ns for time_ns, action in self.log if isinstance(action, action_type) and action.id == job_id
        ]
