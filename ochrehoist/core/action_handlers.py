"""Handlers that carry out the actions of the admission controller, one for each type of action."""

from collections.abc import Callable
from typing import Any

from ochrehoist.admission.actions import (
    Action,
    AttachDuplicate,
    CancelRun,
    FailRequest,
    LogMessage,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SendBackpressure,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipDownstreamCall,
    StartDownstreamCall,
    StartRun,
)
from ochrehoist.admission.events import Outcome
from ochrehoist.admission.settings import BackpressureSignal
from ochrehoist.core.context import CoreContext
from ochrehoist.core.messages import RunCompleted
from ochrehoist.core.request import RequestReference
from ochrehoist.core.results import FailureReason, RunResult


def start_run(core: CoreContext, action: StartRun) -> None:
    """Starts the run of a request; a filing is recorded in the journal first."""
    request = core.open_request(action.id)
    if request is None:
        # The request has ended already, for example after a fault. Without a completion the controller
        # would count it as running forever.
        assert isinstance(action.id, RequestReference)
        core.post(RunCompleted(action.id, RunResult(Outcome.NOT_STARTED), 0))
        return
    if request.started:
        return
    key = request.idempotency_key
    if key is None:
        request.started = True
        core.execute(request)
        return
    if not core.idempotency.may_run(key, request.arrived_ns):
        # The controller enforces the same rule; this check guards against a fault in it.
        core.log.error("duplicate_run_prevented", id=request.id)
        request.started = True
        core.post(RunCompleted(request.reference, RunResult(Outcome.FAILED), 0))
        return
    window_end_ns = request.arrived_ns + request.request_class.idempotency_window_ns
    core.idempotency.run_started(key, request.reference, window_end_ns, request.fingerprint)
    request.started = True
    core.idempotent_runs.record_and_start(request)


def reject_request(core: CoreContext, action: RejectRequest) -> None:
    """Rejects a request that did not run; the limiter may increase its Retry-After."""
    request = core.open_request(action.id)
    if request is None:
        return
    retry_after_ns = action.retry_after_ns
    if core.limiter is not None:
        retry_after_ns = core.faults.result(
            "limiter",
            retry_after_ns,
            core.limiter.request_rejected,
            request,
            retry_after_ns,
            core.now_ns,
        )
    core.responses.reject(request, retry_after_ns, action.no_retry)


def fail_request(core: CoreContext, action: FailRequest) -> None:
    """Fails a request that has reached its deadline."""
    request = core.open_request(action.id)
    if request is not None:
        core.responses.fail(request, FailureReason.DEADLINE_PASSED)


def retain_key(core: CoreContext, action: RetainKey) -> None:
    """Makes the request the holder of its idempotency key."""
    request = core.open_request(action.id)
    if request is not None and request.idempotency_key is not None:
        core.idempotency.retain(
            request.idempotency_key, request.reference, core.now_ns + action.ttl_ns, request.fingerprint
        )


def release_key(core: CoreContext, action: ReleaseKey) -> None:
    """Releases the idempotency key that the request holds."""
    assert isinstance(action.id, RequestReference)
    core.idempotency.release(action.id)


def attach_duplicate(core: CoreContext, action: AttachDuplicate) -> None:
    """Attaches a duplicate to the run that it duplicates, so that it is answered with the same result."""
    request = core.open_request(action.id)
    if request is not None:
        core.idempotent_runs.attach(request)


def set_health(core: CoreContext, action: SetHealth) -> None:
    """Updates the worker's health after a change in the controller's health."""
    core.controller_healthy = action.healthy
    core.update_health()


def set_idle_timeout(core: CoreContext, action: SetIdleTimeout) -> None:
    """Notifies the listeners of the time after which idle connections are closed."""
    for listener in core.listeners:
        listener.idle_timeout_changed(action.idle_timeout_ns or core.settings.idle_timeout_ns)


def set_timer(core: CoreContext, action: SetTimer) -> None:
    """Sets a timer of the controller."""
    core.deadlines.set_timer(core.now_ns + action.delay_ns, action.timer_id)


def send_backpressure(core: CoreContext, action: SendBackpressure) -> None:
    """Sets the weight that load reports request from routers."""
    if core.settings.backpressure is BackpressureSignal.WEIGHT:
        core.backpressure_weight_pct = max(1, min(100, round(action.value * 100)))


def log_message(core: CoreContext, action: LogMessage) -> None:
    """Logs a message of the controller."""
    core.log.info("controller_message", text=action.text)


def log_unsupported_action(core: CoreContext, action: Action) -> None:
    """Logs an action that workers do not support."""
    core.log.error("action_unsupported", action=type(action).__name__)


ACTION_HANDLERS: dict[type[Action], Callable[[CoreContext, Any], None]] = {
    StartRun: start_run,
    RejectRequest: reject_request,
    FailRequest: fail_request,
    RetainKey: retain_key,
    ReleaseKey: release_key,
    AttachDuplicate: attach_duplicate,
    SetHealth: set_health,
    SetIdleTimeout: set_idle_timeout,
    SetTimer: set_timer,
    LogMessage: log_message,
    CancelRun: log_unsupported_action,
    StartDownstreamCall: log_unsupported_action,
    SkipDownstreamCall: log_unsupported_action,
    SendBackpressure: send_backpressure,
}
