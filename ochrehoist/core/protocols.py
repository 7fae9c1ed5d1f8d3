"""What the core needs of its fronts, executors and the parts that can be switched on.

None of these calls may block: they run in the task that owns the decision module.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

from ochrehoist.admission.events import ConcurrencyLimits, Outcome
from ochrehoist.core.results import FailureReason, Rejection, RunResult

if TYPE_CHECKING:
    from ochrehoist.core.request import IdempotencyKey, InboundRequest


class Responder(Protocol):
    """Carries one final answer to the caller. It never blocks; a caller that has left is no error."""

    def served(self, result: RunResult) -> bool:
        """Whether the caller was given it as served: some results another wire can't carry."""
        ...

    def rejected(self, backoff: int, no_retry: bool) -> None: ...

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None: ...

    def origin(self) -> tuple[str, str]:
        """The name of the front, and the address that the caller called from; empty where not known."""
        ...


class Executor(Protocol):
    """Runs requests. It never blocks, and posts one Ended for each start, whatever happens."""

    def start(self, request: InboundRequest) -> None: ...


class RequestObserver(Protocol):
    """Hears of each request that the core decides on. It never blocks, and changes nothing."""

    def request_arrived(self, request: InboundRequest) -> None:
        """It was read; `arrived` is by the core's clock."""
        ...

    def request_answered(self, request: InboundRequest, figure: str | None, backoff: int) -> None:
        """Nothing is owed for it any more: the figure that counted it, None where its caller left; `backoff`
        (ns) that a refused one was told."""
        ...


class Waker(Protocol):
    """Lets one task sleep until it is woken or a span (seconds) is over."""

    def set(self) -> None: ...

    def wait(self, timeout: float | None) -> bool: ...


class LifecycleListener(Protocol):
    """Hears what the module wants of the process as a whole."""

    def health_changed(self, good: bool) -> None: ...

    def idle_timeout_changed(self, hold_for: int) -> None: ...

    def shutdown_started(self, remaining: int) -> None: ...


class AdmissionFilter(Protocol):
    """Asked by fronts before a request becomes one of the core's, while the core decides here."""

    def admits(self, cls: str, tenant: str | None, caller: int, age: int) -> int | None:
        """None, or the time to stay away (ns) that one which is turned away is told; `age`: ns since it
        came."""
        ...


class ConcurrencyLimiter(Protocol):
    """What a worker measures of itself, beside the core: it says what the module is to keep to. Never blocks;
    `now` is by the core's clock."""

    def check_arrival(self, request: InboundRequest, now: int) -> Rejection | None:
        """One that never ran: whether it is turned away before the module hears of it."""
        ...

    def estimate_cost(self, request: InboundRequest, now: int) -> float: ...

    def run_started(self, request: InboundRequest, now: int) -> None: ...

    def run_ended(self, request: InboundRequest, now: int, took: int, outcome: Outcome) -> int:
        """The time that the module is to hear."""
        ...

    def request_rejected(self, request: InboundRequest, backoff: int, now: int) -> int:
        """The time to stay away that its caller is to hear."""
        ...

    def evaluate(self, now: int, held: Mapping[str, int]) -> ConcurrencyLimits | None: ...


class FleetAdmission(Protocol):
    """Decides with the whole fleet in view which of those that never ran are let in. Never blocks; `now` is
    by the core's clock."""

    def check_arrival(self, request: InboundRequest, now: int) -> Rejection | None:
        """One that never ran: whether it is turned away before the module hears of it."""
        ...

    def run_started(self, request: InboundRequest, now: int) -> None: ...

    def run_ended(self, request: InboundRequest, now: int, took: int, outcome: Outcome) -> None: ...


class IntentReplicator(Protocol):
    """Others that know which filings were begun here. It never blocks, and tells the journal what came of a
    call; keys are those on record."""

    def journal_opened(self, keys: list[bytes]) -> None: ...

    def may_have_run(self, key: bytes) -> bool:
        """Whether a filing that is not on record may have run all the same."""
        ...

    def begin(self, request_id: str, key: bytes, left: float) -> None:
        """The journal's `witnessed` follows; `left`: s of its window."""
        ...

    def drop(self, key: bytes) -> None: ...


class IdempotencyJournal(Protocol):
    """Keeps filings beyond the process. It never blocks, and tells by messages what has come of a call."""

    def rejection_for(self, token: IdempotencyKey) -> Rejection | None: ...

    def begin(self, request: InboundRequest, run: Any) -> None:
        """A Recorded follows, in any case and soon."""
        ...

    def end(self, token: IdempotencyKey, run: Any, result: RunResult) -> None: ...

    def drop(self, token: IdempotencyKey) -> None:
        """Its window is over."""
        ...

    def never_ran(self, token: IdempotencyKey) -> None:
        """It was to begin, and did not."""
        ...

    def fetch(self, token: IdempotencyKey, request_id: str) -> None:
        """A Joined follows."""
        ...
