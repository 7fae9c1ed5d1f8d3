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
    repeats = r.token is not None and core.keys.original(r.token, r.arrived) is not None
    if r.arrived + r.cls.deadline_ns <= core.now:
        # Its caller has given up. The module would take so long a wait for what all others wait now.
        core.turn_away(r, FailureReason.GIVEN_UP)
    elif r.token is not None and not core.keys.same(r.token, r.arrived, r.fingerprint):
        # The result of the other filing would be taken for this one's, and this one lost unseen.
        core.turn_away(r, FailureReason.OTHER_CONTENT)
    elif r.cls.name not in core.served_classes and not repeats:
        core.turn_away(r)  # its class is gone, and no other try of it can have run
    elif (
        core.leave_at is not None and r.arrived > core.leave_at + core.settings.drain_grace_ns and not repeats
    ):
        # The module counts the grace from when it heard of the notice, which a stall makes later than it was.
        core.turn_away(r, backoff=core.settings.max_retry_after_ns)
    else:
        return r.token is not None and core.filings.turned_away(r)
    return True
