"""What is answered as it arrives, and never reaches the admission controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ochrehoist.core.context import CoreContext
from ochrehoist.core.request import IdempotencyKey, InboundRequest
from ochrehoist.core.results import FailureReason

if TYPE_CHECKING:
    from ochrehoist.core.protocols import ConcurrencyLimiter, FleetAdmission


def answered_on_arrival(core: CoreContext, request: InboundRequest) -> bool:
    """Answers a request that is not to be decided on; whether it did."""
    if request.arrived_ns + request.request_class.deadline_ns <= core.now_ns:
        # Its caller has given up. The controller would take so long a wait for what all others wait now.
        core.fail(request, FailureReason.DEADLINE_PASSED)
        return True
    if request.idempotency_key is not None and _has_conflict(core, request, request.idempotency_key):
        # The result of the other filing would be taken for this one's, and this one lost unseen.
        core.fail(request, FailureReason.KEY_CONFLICT)
        return True
    if request.request_class.name not in core.served_classes and not is_duplicate(core, request):
        core.reject(request)  # its class was removed, and no other attempt of it can have run
        return True
    if core.drain_started_ns is not None and _came_too_late(core, request, core.drain_started_ns):
        core.reject(request, core.settings.max_retry_after_ns)
        return True
    if request.idempotency_key is not None and core.idempotent_runs.answered_on_arrival(request):
        return True
    for guard in (core.fleet_admission, core.limiter):
        if guard is not None and _rejected_by(guard, core, request):
            return True
    return False


def is_duplicate(core: CoreContext, request: InboundRequest) -> bool:
    """Whether another attempt of the same filing is known."""
    key = request.idempotency_key
    return key is not None and core.idempotency.original(key, request.arrived_ns) is not None


def _has_conflict(core: CoreContext, request: InboundRequest, key: IdempotencyKey) -> bool:
    """Whether the idempotency key stands for other content."""
    return not core.idempotency.has_same_content(key, request.arrived_ns, request.fingerprint)


def _came_too_late(core: CoreContext, request: InboundRequest, drain_started_ns: int) -> bool:
    """Whether it arrived after the drain's grace period, and no other attempt of it is known.

    The controller counts the grace from when it heard of the drain, which a stall makes later than it was.
    """
    if request.arrived_ns <= drain_started_ns + core.settings.drain_grace_ns:
        return False
    return not is_duplicate(core, request)


def _rejected_by(
    guard: FleetAdmission | ConcurrencyLimiter, core: CoreContext, request: InboundRequest
) -> bool:
    """Rejects what the fleet's or this worker's own limits do not admit; whether it did."""
    if is_duplicate(core, request):
        return False
    rejection = guard.check_arrival(request, core.now_ns)
    if rejection is None:
        return False
    core.reject(request, rejection.retry_after_ns, rejection.no_retry)
    return True
