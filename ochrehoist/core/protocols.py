"""Interfaces that the core requires of its fronts, its executors and the optional parts.

These methods must not block, as they run in the task that owns the admission controller. Times are ns of the
core's clock unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from ochrehoist.admission.events import ConcurrencyLimits, Outcome
from ochrehoist.core.results import Rejection, RunResult

if TYPE_CHECKING:
    from ochrehoist.core.idempotency_table import IdempotentRun
    from ochrehoist.core.metrics import RequestCounter
    from ochrehoist.core.request import Fingerprint, IdempotencyKey, InboundRequest, RequestReference


class Logger(Protocol):
    """Writer of log events, which have a name in snake_case and typed fields."""

    def info(self, event: str, **fields: object) -> None:
        """Logs an event for information."""
        ...

    def warning(self, event: str, **fields: object) -> None:
        """Logs an event that may need attention."""
        ...

    def error(self, event: str, **fields: object) -> None:
        """Logs an event that needs attention."""
        ...

    def exception(self, event: str, **fields: object) -> None:
        """Logs an error with the traceback of the current exception."""
        ...


class RequestObserver(Protocol):
    """Observer of the requests that the core decides on. It must not modify them."""

    def request_arrived(self, request: InboundRequest) -> None:
        """Called when a request arrived, before it is decided on; `arrived_ns` is by the core's clock."""
        ...

    def request_answered(
        self, request: InboundRequest, counter: RequestCounter | None, retry_after_ns: int
    ) -> None:
        """Called when a request was answered or its caller has disconnected.

        `counter` is the counter that was incremented, None if the caller has disconnected; `retry_after_ns`
        is the Retry-After of a rejection.
        """
        ...


class Waker(Protocol):
    """Event on which one task sleeps until it is woken or a timeout (s) expires."""

    def set(self) -> None:
        """Wakes the task."""
        ...

    def wait(self, timeout: float | None) -> bool:
        """Sleeps; returns whether the task was woken before the timeout."""
        ...


class LifecycleListener(Protocol):
    """Listener for events that concern the whole process."""

    def health_changed(self, healthy: bool) -> None:
        """Called when the worker became healthy or unhealthy."""
        ...

    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Called with the new time after which idle connections are closed."""
        ...

    def shutdown_started(self, remaining_ns: int) -> None:
        """Called when the drain starts; the process is stopped after `remaining_ns`."""
        ...


class AdmissionFilter(Protocol):
    """Filter that fronts apply before they post a request to the core, while this process decides."""

    def check_admission(self, class_name: str, tenant: str | None, caller: int, age_ns: int) -> int | None:
        """Returns None to admit a request, else the Retry-After (ns) of its rejection.

        `age_ns` is the time since the request arrived.
        """
        ...


class ConcurrencyLimiter(Protocol):
    """Source of the controller's concurrency limits, based on measurements of this worker."""

    def check_arrival(self, request: InboundRequest, now_ns: int) -> Rejection | None:
        """Returns a rejection if a request that never ran must not reach the controller."""
        ...

    def estimate_cost(self, request: InboundRequest, now_ns: int) -> float:
        """Returns the predicted cost as a multiple of the usual cost of the class."""
        ...

    def run_started(self, request: InboundRequest, now_ns: int) -> None:
        """Called when the request is started on its executor."""
        ...

    def run_ended(self, request: InboundRequest, now_ns: int, duration_ns: int, outcome: Outcome) -> int:
        """Called when the run has ended; returns the duration (ns) to report to the controller."""
        ...

    def request_rejected(self, request: InboundRequest, retry_after_ns: int, now_ns: int) -> int:
        """Called when the controller rejected the request; returns the Retry-After (ns) to send."""
        ...

    def evaluate(self, now_ns: int, waiting: Mapping[str, int]) -> ConcurrencyLimits | None:
        """Returns the limits if they have changed.

        `waiting` counts, by class, the requests that are neither started nor answered.
        """
        ...


class FleetAdmission(Protocol):
    """Admission check for requests that never ran, based on the state of the whole fleet."""

    def check_arrival(self, request: InboundRequest, now_ns: int) -> Rejection | None:
        """Returns a rejection if a request that never ran must not reach the controller."""
        ...

    def run_started(self, request: InboundRequest, now_ns: int) -> None:
        """Called when the request is started on its executor."""
        ...

    def run_ended(self, request: InboundRequest, now_ns: int, duration_ns: int, outcome: Outcome) -> None:
        """Called when the run has ended."""
        ...


class IntentReplicator(Protocol):
    """Replication, to other workers, of the intents to run filings on this one.

    It reports to the journal by messages. Keys are in the encoding of the store.
    """

    def journal_opened(self, keys: list[bytes]) -> None:
        """Called when the store is open; `keys` are those that it holds."""
        ...

    def may_have_run(self, keys: Sequence[bytes]) -> bool:
        """Returns whether a filing that the store does not hold may nevertheless have run.

        `keys` are those under which it may have been recorded.
        """
        ...

    def begin(self, request: RequestReference, keys: Sequence[bytes], window_left_s: float) -> None:
        """Records the intent at the replicas; the journal's `replication_ended` is called afterwards."""
        ...

    def drop(self, keys: Sequence[bytes]) -> None:
        """Removes an intent that did not become a run."""
        ...


class IdempotencyJournal(Protocol):
    """Persistent record of idempotent runs. It reports the results of calls by messages to the core."""

    def rejection_for(self, request: InboundRequest) -> Rejection | None:
        """Returns a rejection if a filing cannot be recorded now, else None."""
        ...

    def begin(self, request: InboundRequest, run: IdempotentRun) -> None:
        """Records the intent to run. An IntentRecorded message always follows, within a bounded time."""
        ...

    def end(self, key: IdempotencyKey, run: IdempotentRun, result: RunResult) -> None:
        """Records the result of a run."""
        ...

    def drop(self, key: IdempotencyKey) -> None:
        """Removes a run whose window has ended."""
        ...

    def never_ran(self, key: IdempotencyKey, fingerprint: Fingerprint | None) -> None:
        """Removes a recorded intent whose run did not take place."""
        ...

    def fetch(self, key: IdempotencyKey, request: RequestReference) -> None:
        """Reads a stored result for the request. A DuplicateResolved message follows."""
        ...


class DetailCodec(Protocol):
    """Conversion of the `detail` of a result to JSON values and back."""

    def to_json(self, detail: Any) -> Any:
        """Returns the JSON value of a detail."""
        ...

    def from_json(self, data: Any) -> Any:
        """Returns the detail for a JSON value."""
        ...
