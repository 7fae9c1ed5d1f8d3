"""Checks that answer a request on arrival, before it reaches the admission controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ochrehoist.core.context import CoreContext
from ochrehoist.core.request import IdempotencyKey, InboundRequest
from ochrehoist.core.results import FailureReason

if TYPE_CHECKING:
    from ochrehoist.core.protocols import ConcurrencyLimiter, FleetAdmission


def try_answer_on_arrival(core: CoreContext, request: InboundRequest) -> bool:
    """Answers a request that the controller must not see. Returns whether it was answered."""
    if request.arrived_ns + request.request_class.deadline_ns <= core.now_ns:
        # The caller has given up. The controller would mistake this long wait for the current wait of all
        # requests.
        core.fail(request, FailureReason.DEADLINE_PASSED)
        return True
    if request.idempotency_key is not None and _has_conflict(core, request, request.idempotency_key):
        # Otherwise the caller would receive the result of a different filing, and this one would be lost
        # silently.
        core.fail(request, FailureReason.KEY_CONFLICT)
        return True
    if request.request_class.name not in core.served_classes and not is_duplicate(core, request):
        core.reject(request)  # the class was removed, and no earlier attempt can have run
        return True
    if core.drain_started_ns is not None and _arrived_after_drain_grace(core, request, core.drain_started_ns):
        core.reject(request, core.settings.max_retry_after_ns)
        return True
    if request.idempotency_key is not None and core.idempotent_runs.try_answer_on_arrival(request):
        return True
    for guard in (core.fleet_admission, core.limiter):
        if guard is not None and _try_reject(guard, core, request):
            return True
    return False


def is_duplicate(core: CoreContext, request: InboundRequest) -> bool:
    """Returns whether another attempt of the same filing is known."""
    key = request.idempotency_key
    return key is not None and core.idempotency.original_request(key, request.arrived_ns) is not None


def _has_conflict(core: CoreContext, request: InboundRequest, key: IdempotencyKey) -> bool:
    """Returns whether the idempotency key belongs to a filing with different content."""
    return not core.idempotency.has_same_content(key, request.arrived_ns, request.fingerprint)


def _arrived_after_drain_grace(core: CoreContext, request: InboundRequest, drain_started_ns: int) -> bool:
    """Returns whether the request arrived after the drain's grace period and no other attempt is known.

    The controller starts the grace period when it is notified of the drain, which a stall can delay.
    """
    if request.arrived_ns <= drain_started_ns + core.settings.drain_grace_ns:
        return False
    return not is_duplicate(core, request)


def _try_reject(
    guard: FleetAdmission | ConcurrencyLimiter, core: CoreContext, request: InboundRequest
) -> bool:
    """Rejects a request that exceeds the limits of `guard`. Returns whether it was rejected."""
    if is_duplicate(core, request):
        return False
    rejection = guard.check_arrival(request, core.now_ns)
    if rejection is None:
        return False
    core.reject(request, rejection.retry_after_ns, rejection.no_retry)
    return True
