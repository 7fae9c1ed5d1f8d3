"""The actor that owns the admission controller: only its task dispatches events and carries out actions.

All other tasks post messages to its inbox. It is independent of the wire protocols and of the scheduler: it
sleeps on a Waker.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    DrainStarted,
    Event,
    InstanceStarted,
    Outcome,
    RequestReceived,
)
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core import message_handlers, state_transfer
from ochrehoist.core.action_handlers import ACTION_HANDLERS
from ochrehoist.core.context import CoreContext
from ochrehoist.core.fault_confinement import Fault
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.handover_lines import SendLine
from ochrehoist.core.idempotency_table import IdempotencyTable
from ochrehoist.core.message_handlers import MESSAGE_HANDLERS
from ochrehoist.core.messages import ExecutorReady, RequestArrived, RunCompleted, StateTransferred
from ochrehoist.core.request import InboundRequest, RequestReference, find_request
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.core.snapshot import CoreSnapshot
from ochrehoist.units import NS_PER_MS, NS_PER_S

if TYPE_CHECKING:
    from ochrehoist.core.protocols import ConcurrencyLimiter, DetailCodec, Logger, Waker

LIMIT_EVALUATION_PERIOD_NS = 100 * NS_PER_MS
EXPIRY_PERIOD_NS = NS_PER_S  # interval between searches for expired idempotent runs
FROZEN_POLL_INTERVAL_S = 0.01  # poll interval while frozen or while another process decides

# Without what these messages bring about there is no controller, so a fault in their handling ends the core.
ESSENTIAL_MESSAGES = (ExecutorReady, StateTransferred)

Step = Callable[[], None]


class CoreActor(CoreContext):
    """The core as an actor. All methods except `post` may be called only by the task that runs it."""

    def __init__(
        self,
        settings: AdmissionSettings,
        seed: int,
        waker: Waker,
        clock: Callable[[], int],
        wall_clock: Callable[[], int],
        log: Logger,
        max_result_bytes: int,
        request_gauges: Callable[[], None],
    ) -> None:
        super().__init__(settings, seed, waker, clock, wall_clock, log, max_result_bytes, request_gauges)
        self._instrumented_step: Step = self.step
        self.last_expiry_ns = self._last_limits_ns = 0

    def instrument_step(self, wrap: Callable[[Step], Step]) -> None:
        """Wraps each step of `run`, for example with a timer."""
        self._instrumented_step = wrap(self._instrumented_step)

    # The loop.

    def run(self) -> None:
        """Runs the message loop until `end` is called."""
        while not self.ended:
            self._instrumented_step()
            self.waker.wait(self._timeout_s())

    def run_after_end(self) -> None:
        """Fails all requests, open and new ones, until the process ends; runs in place of `run`."""
        while True:
            self._fail_requests()
            self.waker.wait(None)

    def _fail_requests(self) -> None:
        fail = self.faults.call
        while self.inbox:
            message = self.inbox.popleft()
            if isinstance(message, RequestArrived):
                fail("failure_after_end", self.fail, message.request, FailureReason.INTERNAL)
        for request in list(self.open_requests.values()):
            fail("failure_after_end", self.responses.fail, request, FailureReason.INTERNAL)
        if self.forwarder is not None:
            fail("failure_after_end", self.forwarder.fail_pending)

    def step(self) -> None:
        """Handles all messages in the inbox, then all work that is due."""
        while self.inbox and not self.frozen:
            self._update_now()
            message = self.inbox.popleft()
            try:
                if self.forwarder is not None:
                    self.forwarder.handle_message(message)
                else:
                    MESSAGE_HANDLERS[type(message)](self, message)
            except Exception:
                # A bug in a handler must not end the process: open requests fail once they are overdue.
                self.faults.record(Fault.MESSAGE, message=type(message).__name__)
                if isinstance(message, ESSENTIAL_MESSAGES):
                    raise
                if isinstance(message, RequestArrived):
                    self._fail_untracked(message.request)
        self._update_now()
        if self.forwarder is not None:
            self.forwarder.tick()
        elif not self.frozen:
            self._run_due_work()

    def _fail_untracked(self, request: InboundRequest) -> None:
        """Fails a request that a fault kept from being tracked, so that it would never be overdue."""
        if not request.answered and find_request(self.open_requests, request.reference) is None:
            self.faults.call("failure_after_fault", self.fail, request, FailureReason.INTERNAL)

    def _update_now(self) -> None:
        self.now_ns = max(self.now_ns, self.clock())

    def _timeout_s(self) -> float | None:
        """Returns how long the core may sleep; None means until it is woken."""
        if self.frozen or self.forwarder is not None:
            return 0.0 if self.inbox and not self.frozen else FROZEN_POLL_INTERVAL_S
        if self.inbox:
            return 0.0
        due_ns = self.deadlines.next_due_ns()
        return None if due_ns is None else max(0, due_ns - self.clock()) / NS_PER_S

    def _run_due_work(self) -> None:
        """Does all work that is due; a fault in one part of it leaves the others."""
        call = self.faults.call
        for reference in self.deadlines.pop_overdue_requests(self.now_ns):
            call("overdue_request", message_handlers.answer_overdue_request, self, reference)
        if self.deadlines.collect_due_timers(self.now_ns):
            call("gauges", self.request_gauges)
        if self.deadlines.gauges_wait_expired(self.now_ns):
            message_handlers.fire_due_timers(self)
        if self.now_ns - self.last_expiry_ns >= EXPIRY_PERIOD_NS:
            self.last_expiry_ns = self.now_ns
            self.idempotent_runs.expire()
        if self.limiter is not None and self.controller is not None:
            call("limits", self._evaluate_limits, self.limiter)

    def _evaluate_limits(self, limiter: ConcurrencyLimiter) -> None:
        """Passes changed concurrency limits to the controller, at most once per evaluation period."""
        if self.now_ns - self._last_limits_ns < LIMIT_EVALUATION_PERIOD_NS:
            return
        self._last_limits_ns = self.now_ns
        waiting = Counter(
            request.request_class.name
            for request in self.open_requests.values()
            if not request.started and not request.answered
        )
        limits = limiter.evaluate(self.now_ns, waiting)
        # Limits are indexed by the position of the class, so the controller must have the same classes.
        if limits is not None and self.class_indices.keys() == self.served_classes:
            self.dispatch(limits)

    # The controller.

    def start_controller(self, settings: AdmissionSettings) -> None:
        """Creates a new controller for these settings; the executor must be ready."""
        ready = self.executor_ready
        self.deadlines.clear_timers()
        self.index_classes(settings)
        settings = replace(settings, tenants=self.controller_tenants)
        if ready is not None and ready.cold_start is not None:
            settings = replace(settings, cold_start=ready.cold_start)
        self.controller = AdmissionController(settings, self.seed)
        self.dispatch(InstanceStarted(), at_ns=self.instance_started_ns)
        if self.drain_started_ns is not None and self.stop_ns is not None:
            self.dispatch(DrainStarted(self.stop_ns - self.drain_started_ns), at_ns=self.drain_started_ns)
        self.idempotent_runs.restore_learned_state()

    def dispatch(self, event: Event, at_ns: int | None = None) -> bool:
        """Passes an event to the controller and carries out the actions that it returns.

        `at_ns` is the time of the event; the default is now. Returns False if the controller raised.
        """
        try:
            actions = self.controller.handle(self.now_ns if at_ns is None else at_ns, event)  # type: ignore[union-attr]
        except Exception:
            self.faults.record(Fault.CONTROLLER, event_type=type(event).__name__)
            self.faults.call("failure_after_fault", self._fail_after_fault, event)
            return False
        for action in actions:
            try:
                ACTION_HANDLERS[type(action)](self, action)
            except Exception:
                self.faults.record(Fault.ACTION, action=type(action).__name__)
        return True

    def _fail_after_fault(self, event: Event) -> None:
        """Fails the request that the controller could not decide on because it raised, unless it runs."""
        request_id = getattr(event, "id", None)
        request = None if request_id is None else self.open_request(request_id)
        if request is not None and not request.answered and not request.started:
            self.responses.fail(request, FailureReason.INTERNAL)
            message_handlers.release_slot(self, request)

    def received_event(self, request: InboundRequest) -> RequestReceived:
        """Returns the event that announces the request to the controller."""
        if self.limiter is not None:
            estimate_cost = self.limiter.estimate_cost
            request.cost_multiple = self.faults.result("limiter", 1.0, estimate_cost, request, self.now_ns)
        key = request.idempotency_key
        original: RequestReference | None = None
        if key is not None:
            original = self.idempotency.original_request(key, request.arrived_ns)
            if original is not None:
                self.idempotent_runs.adopt_if_restored(key)
        return RequestReceived(
            id=request.reference,
            class_index=self.class_indices[request.request_class.name],
            tenant_index=self.tenants.position(request.tenant),
            routing_key=request.routing_key,
            work_ns=request.work_ns,
            memory_kb=request.memory_kb,
            rank=request.rank,
            is_retry=request.is_retry,
            is_write=request.is_write,
            caller=request.caller,
            unread_ns=max(0, self.now_ns - request.arrived_ns),
            duplicate_of=original,
            cost_multiple=request.cost_multiple,
        )

    def execute(self, request: InboundRequest) -> None:
        """Starts the request on its executor."""
        request.started_ns = self.now_ns
        if self.limiter is not None:
            self.faults.call("limiter", self.limiter.run_started, request, self.now_ns)
        if self.fleet_admission is not None:
            self.faults.call("fleet_admission", self.fleet_admission.run_started, request, self.now_ns)
        if not self.responses.execute(request):
            self.post(RunCompleted(request.reference, RunResult(Outcome.FAILED), 0))

    # Process replacement: the side of the old process.

    def freeze(self) -> CoreSnapshot:
        """Stops message handling and returns a snapshot, which stays accurate until `thaw`."""
        self.frozen = True
        return state_transfer.take_snapshot(self)

    def thaw(self) -> None:
        """Resumes message handling, for example after the other process has refused the handover."""
        self.frozen = False
        self.waker.set()

    def hand_over(self, send: SendLine, codec: DetailCodec) -> Forwarder:
        """Hands control to the other process; this core only forwards messages afterwards."""
        self.forwarder = Forwarder(
            dict(self.open_requests), send, codec, self.responses, self.faults, self.clock, self.wall_clock
        )
        self.controller = None
        self.responses.clear()
        self.idempotency = IdempotencyTable(0, 0)  # frees the memory: the other process has the entries now
        self.thaw()
        return self.forwarder
