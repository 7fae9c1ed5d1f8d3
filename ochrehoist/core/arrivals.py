"""What is answered as it arrives, and never reaches the decision module."""

from collections.abc import Callable
from typing import Protocol

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.filings import Filings
from ochrehoist.core.keys import KeyTable
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason


class Core(Protocol):
    """What these checks need of the core."""

    settings: AdmissionSettings
    keys: KeyTable
    filings: Filings
    served_classes: set[str]
    leave_at: int | None
    now: int
    turn_away: Callable[..., None]


def turned_away(core: Core, r: InboundRequest) -> bool:
    """Answers what is not to be decided on; whether it did."""
    repeats = (
        r.idempotency_key is not None and core.keys.original(r.idempotency_key, r.arrived_ns) is not None
    )
    if r.arrived_ns + r.request_class.deadline_ns <= core.now:
        # Its caller has given up. The module would take so long a wait for what all others wait now.
        core.turn_away(r, FailureReason.DEADLINE_PASSED)
    elif r.idempotency_key is not None and not core.keys.same(r.idempotency_key, r.arrived_ns, r.fingerprint):
        # The result of the other filing would be taken for this one's, and this one lost unseen.
        core.turn_away(r, FailureReason.KEY_CONFLICT)
    elif r.request_class.name not in core.served_classes and not repeats:
        core.turn_away(r)  # its class is gone, and no other try of it can have run
    elif (
        core.leave_at is not None
        and r.arrived_ns > core.leave_at + core.settings.drain_grace_ns
        and not repeats
    ):
        # The module counts the grace from when it heard of the notice, which a stall makes later than it was.
        core.turn_away(r, backoff=core.settings.max_retry_after_ns)
    else:
        return r.idempotency_key is not None and core.filings.turned_away(r)
    return True
