"""The actions that the admission controller answers its events with.

Times are in ns of the clock of the events.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class StartRun:
    """Hand the request to its executor."""

    id: str


@dataclass(slots=True)
class RejectRequest:
    """Final answer: rejected without having run."""

    id: str
    retry_after_ns: int
    no_retry: bool  # other instances should not be tried either


@dataclass(slots=True)
class FailRequest:
    """Final answer: an error, which says nothing of whether the request ran."""

    id: str


@dataclass(slots=True)
class CancelRun:
    """Cancel the run, where the site allows preemption."""

    id: str


@dataclass(slots=True)
class StartDownstreamCall:
    """Make the downstream call of the request, until `stop_at_ns` at the latest."""

    id: str
    stop_at_ns: int


@dataclass(slots=True)
class SkipDownstreamCall:
    """Go on without the downstream call: the answer will be the fallback."""

    id: str


@dataclass(slots=True)
class RetainKey:
    """Keep the idempotency key of the request."""

    id: str
    ttl_ns: int


@dataclass(slots=True)
class ReleaseKey:
    """Forget the idempotency key of a request that never ran."""

    id: str


@dataclass(slots=True)
class AttachDuplicate:
    """Answer a duplicate with the result of the request that it repeats."""

    id: str


@dataclass(slots=True)
class SetHealth:
    """What health checks answer from now on; `cached`: without asking the instance each time."""

    healthy: bool
    cached: bool


@dataclass(slots=True)
class SendBackpressure:
    """The value that is sent to callers with each answer; its meaning is a `BackpressureSignal`."""

    value: float


@dataclass(slots=True)
class SetIdleTimeout:
    """Close connections that were idle for so long."""

    idle_timeout_ns: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` after `delay_ns`."""

    delay_ns: int
    timer_id: int


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    StartRun
    | RejectRequest
    | FailRequest
    | CancelRun
    | StartDownstreamCall
    | SkipDownstreamCall
    | RetainKey
    | ReleaseKey
    | AttachDuplicate
    | SetHealth
    | SendBackpressure
    | SetIdleTimeout
    | SetTimer
    | LogMessage
)
