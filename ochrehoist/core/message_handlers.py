"""Handlers for the messages that other tasks post to the core, one for each type of message."""

from collections.abc import Callable
from typing import Any

from ochrehoist.admission.events import DrainStarted, Outcome, RequestAbandoned, RequestCompleted, TimerFired
from ochrehoist.core import arrival_checks, reconfiguration, state_transfer
from ochrehoist.core.context import SHUTDOWN_ANSWER_MARGIN_NS, CoreContext
from ochrehoist.core.deadlines import REARM_DELAY_NS
from ochrehoist.core.messages import (
    CallerDisconnected,
    ConfigurationSwitched,
    DuplicateResolved,
    ExecutorReady,
    GaugesMeasured,
    IntentRecorded,
    KernelLinkChanged,
    Message,
    RequestArrived,
    RunCompleted,
    SettingsChanged,
    ShutdownRequested,
    StandbyChanged,
    StateRestored,
    StateTransferred,
    TenantsChanged,
)
from ochrehoist.core.request import InboundRequest, RequestReference, find_request
from ochrehoist.core.results import FailureReason, RunResult

MAX_TIMER_FAULTS = 20  # 2 s at REARM_DELAY_NS


def executor_ready(core: CoreContext, message: ExecutorReady) -> None:
    """Creates the controller, or first requests the state of the predecessor process if there is one."""
    if core.controller is not None or core.executor_ready is not None:
        return
    core.executor_ready = message
    core.instance_started_ns = core.now_ns - message.age_ns
    if core.request_predecessor_state is not None:
        # The predecessor may hold idempotency keys, so no request is decided on before they are known.
        core.request_predecessor_state()
    else:
        core.start_controller(core.settings)


def _find_known_key(core: CoreContext, request: InboundRequest) -> None:
    """Gives the request the key under which an earlier attempt of its filing is known, if there is one.

    The configuration may have changed between the attempts, so this must be decided together with the rest
    of the arrival.
    """
    key = request.idempotency_key or request.unconfirmed_key
    assert key is not None
    table = core.idempotency
    known_key = table.find_key(key, request.other_keys, request.fingerprint, request.arrived_ns)
    if known_key is None:
        return
    is_confirmed = request.idempotency_key is not None or known_key != key
    if is_confirmed or table.has_same_content(key, request.arrived_ns, request.fingerprint):
        request.idempotency_key = known_key


def request_arrived(core: CoreContext, message: RequestArrived) -> None:
    """Accepts a request and lets the controller decide on it, or answers it at once."""
    request = message.request
    if core.controller is None:  # no request runs before the controller is up
        core.reject(request)
        return
    if request.id in core.open_requests:  # the id is in use by an open request
        core.fail(request, FailureReason.INTERNAL)
        return
    # The arrival is Unix time, which may have been set since the process started, so only the age is used.
    # The age is not negative: an arrival in the future would extend the deadline and the window.
    request.arrived_ns = core.now_ns - max(0, core.wall_clock() - request.arrived_ns)
    if request.idempotency_key is not None or request.unconfirmed_key is not None:
        _find_known_key(core, request)
    for observer in core.responses.observers:
        core.faults.call("observer", observer.request_arrived, request)
    if arrival_checks.try_answer_on_arrival(core, request):
        return
    core.track(request)
    core.dispatch(core.received_event(request))


def caller_disconnected(core: CoreContext, message: CallerDisconnected) -> None:
    """Marks the request as abandoned by its caller and notifies the controller."""
    request = find_request(core.open_requests, message.request)
    if request is None:
        return
    core.faults.call("observer", core.responses.caller_disconnected, request)
    core.dispatch(RequestAbandoned(request.reference, message.gave_up))


def run_completed(core: CoreContext, message: RunCompleted) -> None:
    """Answers the request and the duplicates that wait for the same result."""
    request = find_request(core.open_requests, message.request)
    outcome = message.result.outcome
    if request is None:
        # The controller may still count the request as running.
        core.dispatch(RequestCompleted(message.request, outcome, message.duration_ns))
        return
    del core.open_requests[request.id]
    duration_ns = message.duration_ns
    if request.started_ns:  # otherwise it was never counted as running
        duration_ns = _notify_of_run_end(core, request, message)
    if request.idempotency_key is not None:
        core.faults.call(
            "run_end", core.idempotent_runs.run_ended, request, request.idempotency_key, message.result
        )
    _complete(core, request, message.result, duration_ns)


def _notify_of_run_end(core: CoreContext, request: InboundRequest, message: RunCompleted) -> int:
    """Notifies the limiter and the fleet; returns the duration to pass to the controller."""
    now_ns, duration_ns, outcome = core.now_ns, message.duration_ns, message.result.outcome
    if core.fleet_admission is not None:
        core.faults.call(
            "fleet_admission", core.fleet_admission.run_ended, request, now_ns, duration_ns, outcome
        )
    if core.limiter is None:
        return duration_ns
    return core.faults.result(
        "limiter", duration_ns, core.limiter.run_ended, request, now_ns, duration_ns, outcome
    )


def duplicate_resolved(core: CoreContext, message: DuplicateResolved) -> None:
    """Answers a duplicate with the result of the run that it duplicates."""
    request = find_request(core.open_requests, message.request)
    if request is not None:
        del core.open_requests[request.id]
        _complete(core, request, message.result, core.now_ns - request.attached_ns)


def _complete(core: CoreContext, request: InboundRequest, result: RunResult, duration_ns: int) -> None:
    core.responses.complete(request, result)
    core.dispatch(RequestCompleted(request.reference, result.outcome, duration_ns))


def gauges_measured(core: CoreContext, message: GaugesMeasured) -> None:
    """Updates the gauges and fires the timers that waited for them."""
    core.gauges = message.values
    fire_due_timers(core)


def fire_due_timers(core: CoreContext) -> None:
    """Fires all due timers of the controller; a timer on which the controller fails is set again.

    A controller that fails on MAX_TIMER_FAULTS timers in a row has stopped to do what depends on time, so the
    core ends.
    """
    for timer_id in core.deadlines.pop_due_timers():
        if core.dispatch(TimerFired(timer_id, dict(core.gauges))):
            core.timer_faults_in_row = 0
            continue
        core.deadlines.set_timer(core.now_ns + REARM_DELAY_NS, timer_id)
        core.timer_faults_in_row += 1
        if core.timer_faults_in_row >= MAX_TIMER_FAULTS and not core.ended:
            core.log.error("controller_stuck", timer_faults=core.timer_faults_in_row)
            core.end()


def shutdown_requested(core: CoreContext, message: ShutdownRequested) -> None:
    """Starts the drain: open requests must be answered before the process is stopped."""
    if core.drain_started_ns is not None:
        return
    core.drain_started_ns = core.now_ns - message.age_ns
    core.stop_ns = core.now_ns + message.remaining_ns
    for request in core.open_requests.values():
        if not request.answered:
            core.deadlines.set_answer_deadline(core.stop_ns - SHUTDOWN_ANSWER_MARGIN_NS, request.reference)
    if core.controller is not None:
        core.dispatch(DrainStarted(message.remaining_ns))
    for listener in core.listeners:
        listener.shutdown_started(message.remaining_ns)
    core.update_health()


def standby_changed(core: CoreContext, message: StandbyChanged) -> None:
    """Reports the worker as unhealthy while it is on standby."""
    core.inherited_standby = False
    if message.enabled != core.standby:
        core.standby = message.enabled
        core.log.info("standby_changed", enabled=message.enabled, unanswered=core.unanswered)
        core.update_health()


def kernel_link_changed(core: CoreContext, message: KernelLinkChanged) -> None:
    """Reports the worker as unhealthy while the kernel is unreachable."""
    core.kernel_connected = message.connected
    core.update_health()


def state_transferred(core: CoreContext, message: StateTransferred) -> None:
    """Creates the controller from the state of the predecessor process, or a new one without state."""
    core.request_predecessor_state = None
    if core.controller is not None:
        return
    if message.state is None:
        core.start_controller(core.settings)
        return
    message.state.idempotency.name_ended_runs()
    core.standby = core.inherited_standby = message.state.standby
    state_transfer.adopt_snapshot(core, message.state)
    core.update_health()


def intent_recorded(core: CoreContext, message: IntentRecorded) -> None:
    """Starts a filing whose intent is recorded, or rejects it if it could not be recorded."""
    core.idempotent_runs.intent_recorded(message)


def state_restored(core: CoreContext, message: StateRestored) -> None:
    """Adopts the runs and learned state that were recorded before a restart."""
    core.idempotent_runs.restore(message)


def answer_overdue_request(core: CoreContext, reference: RequestReference) -> None:
    """Fails a request whose deadline has passed, if it is unanswered.

    The controller fails requests at their deadline itself, so this is needed only after a fault or if its
    timer was late.
    """
    request = find_request(core.open_requests, reference)
    if request is None or request.answered:
        return
    core.log.warning("overdue_request_failed", id=request.id, started=request.started)
    core.responses.fail(request, FailureReason.DEADLINE_PASSED)
    core.dispatch(RequestAbandoned(request.reference, False))
    release_slot(core, request)


def release_slot(core: CoreContext, request: InboundRequest) -> None:
    """Releases the slot of a request that was not started but that the controller may count as running.

    The two can differ after a fault of the controller.
    """
    if not request.started:
        core.post(RunCompleted(request.reference, RunResult(Outcome.NOT_STARTED), 0))


MESSAGE_HANDLERS: dict[type[Message], Callable[[CoreContext, Any], None]] = {
    ExecutorReady: executor_ready,
    RequestArrived: request_arrived,
    CallerDisconnected: caller_disconnected,
    RunCompleted: run_completed,
    DuplicateResolved: duplicate_resolved,
    GaugesMeasured: gauges_measured,
    ShutdownRequested: shutdown_requested,
    StandbyChanged: standby_changed,
    KernelLinkChanged: kernel_link_changed,
    SettingsChanged: reconfiguration.change_settings,
    TenantsChanged: reconfiguration.change_tenants,
    ConfigurationSwitched: reconfiguration.switch_configuration,
    StateTransferred: state_transferred,
    IntentRecorded: intent_recorded,
    StateRestored: state_restored,
}
