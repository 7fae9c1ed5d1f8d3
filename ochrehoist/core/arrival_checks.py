"""What is answered as it arrives, and never reaches the admission controller."""

from ochrehoist.core.context import CoreContext
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason


def answered_on_arrival(core: CoreContext, request: InboundRequest) -> bool:
    """Answers a request that is not to be decided on; whether it did."""
    return (
        _answered_by_content(core, request)
        or _rejected_by_journal(core, request)
        or _rejected_by_guard(core, request)
    )


def is_duplicate(core: CoreContext, request: InboundRequest) -> bool:
    """Whether another attempt of the same filing is known."""
    key = request.idempotency_key
    return key is not None and core.idempotency.original(key, request.arrived_ns) is not None


def _answered_by_content(core: CoreContext, request: InboundRequest) -> bool:
    """Answers what came too late, conflicts with another filing, or is not served any more."""
    if request.arrived_ns + request.request_class.deadline_ns <= core.now_ns:
        # Its caller has given up. The controller would take so long a wait for what all others wait now.
        core.fail(request, FailureReason.DEADLINE_PASSED)
    elif _conflicts(core, request):
        # The result of the other filing would be taken for this one's, and this one lost unseen.
        core.fail(request, FailureReason.KEY_CONFLICT)
    elif request.request_class.name not in core.served_classes and not is_duplicate(core, request):
        core.reject(request)  # its class was removed, and no other attempt of it can have run
    elif _after_drain_grace(core, request) and not is_duplicate(core, request):
        core.reject(request, core.settings.max_retry_after_ns)
    else:
        return False
    return True


def _conflicts(core: CoreContext, request: InboundRequest) -> bool:
    """Whether the idempotency key stands for other content."""
    key = request.idempotency_key
    if key is None:
        return False
    return not core.idempotency.has_same_content(key, request.arrived_ns, request.fingerprint)


def _after_drain_grace(core: CoreContext, request: InboundRequest) -> bool:
    """Whether it arrived after the drain's grace period.

    The controller counts the grace from when it heard of the drain, which a stall makes later than it was.
    """
    if core.drain_started_ns is None:
        return False
    return request.arrived_ns > core.drain_started_ns + core.settings.drain_grace_ns


def _rejected_by_journal(core: CoreContext, request: InboundRequest) -> bool:
    """Answers a filing that cannot go on record now."""
    return request.idempotency_key is not None and core.idempotent_runs.answered_on_arrival(request)


def _rejected_by_guard(core: CoreContext, request: InboundRequest) -> bool:
    """Rejects what the fleet's or this worker's own limits do not admit."""
    for guard in (core.fleet_admission, core.limiter):
        if guard is None or is_duplicate(core, request):
            continue
        rejection = guard.check_arrival(request, core.now_ns)
        if rejection is not None:
            core.reject(request, rejection.retry_after_ns, rejection.no_retry)
            return True
    return False
