"""What the core needs of its fronts, executors and the parts that can be switched on.

None of these calls may block: they run in the task that owns the admission controller. Times are ns of the
core's clock unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

from ochrehoist.admission.events import ConcurrencyLimits, Outcome
from ochrehoist.core.results import FailureReason, Rejection, RunResult

if TYPE_CHECKING:
    from ochrehoist.core.idempotency_table import IdempotentRun
    from ochrehoist.core.metrics import RequestCounter
    from ochrehoist.core.request import IdempotencyKey, InboundRequest


class Logger(Protocol):
    """Writes log events: a name in snake_case and typed fields."""

    def info(self, event: str, **fields: object) -> None:
        """Logs what is worth knowing."""
        ...

    def warning(self, event: str, **fields: object) -> None:
        """Logs what may need attention."""
        ...

    def error(self, event: str, **fields: object) -> None:
        """Logs what needs attention."""
        ...

    def exception(self, event: str, **fields: object) -> None:
        """Logs an error with the traceback of the exception that is being handled."""
        ...


class Responder(Protocol):
    """Carries one final answer to the caller. A caller that has left is no error."""

    def served(self, result: RunResult) -> bool:
        """Sends a result; False where the wire cannot carry it and a failure was sent instead."""
        ...

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:
        """Sends a rejection: the request did not run."""
        ...

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        """Sends a failure; `result` is that of the run where it has ended."""
        ...

    def origin(self) -> tuple[str, str]:
        """The name of the front, and the caller's address; empty where not known."""
        ...


class Executor(Protocol):
    """Runs requests."""

    def start(self, request: InboundRequest) -> None:
        """Starts a run. Exactly one RunCompleted is posted for each start, whatever happens."""
        ...


class RequestObserver(Protocol):
    """Is notified of each request that the core decides on. It changes nothing."""

    def request_arrived(self, request: InboundRequest) -> None:
        """The request was read; its `arrived_ns` is by the core's clock."""
        ...

    def request_answered(
        self, request: InboundRequest, counter: RequestCounter | None, retry_after_ns: int
    ) -> None:
        """No answer is owed any more.

        `counter` is the one that counted it, None where its caller left; `retry_after_ns` is what a rejected
        caller received.
        """
        ...


class Waker(Protocol):
    """Lets one task sleep until it is woken or a time in seconds is over."""

    def set(self) -> None:
        """Wakes the task."""
        ...

    def wait(self, timeout: float | None) -> bool:
        """Sleeps; whether it was woken."""
        ...


class LifecycleListener(Protocol):
    """Is notified of what concerns the process as a whole."""

    def health_changed(self, good: bool) -> None:
        """The worker became healthy or unhealthy."""
        ...

    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Idle connections are to be kept for so long from now on."""
        ...

    def shutdown_started(self, remaining_ns: int) -> None:
        """The worker drains, and will be stopped after this time."""
        ...


class AdmissionFilter(Protocol):
    """Asked by fronts before a request becomes one of the core's, while the core decides here."""

    def admits(self, class_name: str, tenant: str | None, caller: int, age_ns: int) -> int | None:
        """None to admit it, or the Retry-After (ns) of its rejection; `age_ns`: since it arrived."""
        ...


class ConcurrencyLimiter(Protocol):
    """What a worker measures of itself: it says which limits the controller is to keep to."""

    def check_arrival(self, request: InboundRequest, now_ns: int) -> Rejection | None:
        """Whether a request that never ran is rejected before the controller sees it."""
        ...

    def estimate_cost(self, request: InboundRequest, now_ns: int) -> float:
        """The predicted cost as a multiple of the usual cost of its class."""
        ...

    def run_started(self, request: InboundRequest, now_ns: int) -> None:
        """The request was given to its executor."""
        ...

    def run_ended(self, request: InboundRequest, now_ns: int, duration_ns: int, outcome: Outcome) -> int:
        """The run ended; returns the duration that the controller is to learn from."""
        ...

    def request_rejected(self, request: InboundRequest, retry_after_ns: int, now_ns: int) -> int:
        """The controller rejected it; returns the Retry-After (ns) for its caller."""
        ...

    def evaluate(self, now_ns: int, waiting: Mapping[str, int]) -> ConcurrencyLimits | None:
        """New limits, if any; `waiting`: requests by class that are neither started nor answered."""
        ...


class FleetAdmission(Protocol):
    """Decides with the whole fleet in view which of the requests that never ran are admitted."""

    def check_arrival(self, request: InboundRequest, now_ns: int) -> Rejection | None:
        """Whether a request that never ran is rejected before the controller sees it."""
        ...

    def run_started(self, request: InboundRequest, now_ns: int) -> None:
        """The request was given to its executor."""
        ...

    def run_ended(self, request: InboundRequest, now_ns: int, duration_ns: int, outcome: Outcome) -> None:
        """The run ended."""
        ...


class IntentReplicator(Protocol):
    """Other workers that know which filings were begun here.

    It answers the journal by messages; keys are those on record.
    """

    def journal_opened(self, keys: list[bytes]) -> None:
        """The store is in use, and these keys are on record."""
        ...

    def may_have_run(self, key: bytes) -> bool:
        """Whether a filing that is not on record may have run all the same."""
        ...

    def begin(self, request_id: str, key: bytes, window_left_s: float) -> None:
        """Records the intent at the replicas; the journal's `replication_ended` follows."""
        ...

    def drop(self, key: bytes) -> None:
        """The intent never became a run."""
        ...


class IdempotencyJournal(Protocol):
    """Keeps idempotent runs beyond the process. It reports by messages what has come of a call."""

    def rejection_for(self, key: IdempotencyKey) -> Rejection | None:
        """Why a filing cannot go on record now; None where it can."""
        ...

    def begin(self, request: InboundRequest, run: IdempotentRun) -> None:
        """Puts the run on record. An IntentRecorded follows, in any case and soon."""
        ...

    def end(self, key: IdempotencyKey, run: IdempotentRun, result: RunResult) -> None:
        """Puts its result on record."""
        ...

    def drop(self, key: IdempotencyKey) -> None:
        """Its window is over."""
        ...

    def never_ran(self, key: IdempotencyKey) -> None:
        """It was to begin, and did not."""
        ...

    def fetch(self, key: IdempotencyKey, request_id: str) -> None:
        """Reads a stored result for the request. A DuplicateResolved follows."""
        ...


class DetailCodec(Protocol):
    """Puts the `detail` of a result into JSON and back."""

    def to_json(self, detail: Any) -> Any:
        """The detail as JSON values."""
        ...

    def from_json(self, data: Any) -> Any:
        """The detail of these JSON values."""
        ...
