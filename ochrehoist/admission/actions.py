"""Actions that the admission controller returns for each event.

Times are in nanoseconds (`_ns`) on the same clock as the events.
"""

from dataclasses import dataclass

from ochrehoist.admission.events import RequestId


@dataclass(slots=True)
class StartRun:
    """Instruction to hand the request to its executor."""

    id: RequestId


@dataclass(slots=True)
class RejectRequest:
    """Final answer to a request that was rejected without having run."""

    id: RequestId
    retry_after_ns: int
    no_retry: bool  # the caller should not retry on other instances either


@dataclass(slots=True)
class FailRequest:
    """Final error answer; the request may or may not have run."""

    id: RequestId


@dataclass(slots=True)
class CancelRun:
    """Instruction to cancel the run; sent only where the site allows preemption."""

    id: RequestId


@dataclass(slots=True)
class StartDownstreamCall:
    """Instruction to make the downstream call of the request and abandon it at `stop_at_ns`."""

    id: RequestId
    stop_at_ns: int


@dataclass(slots=True)
class SkipDownstreamCall:
    """Instruction to continue the run without its downstream call and answer with the fallback."""

    id: RequestId


@dataclass(slots=True)
class RetainKey:
    """Instruction to keep the idempotency key of the request for `ttl_ns`."""

    id: RequestId
    ttl_ns: int


@dataclass(slots=True)
class ReleaseKey:
    """Instruction to delete the idempotency key of a request that never ran."""

    id: RequestId


@dataclass(slots=True)
class AttachDuplicate:
    """Instruction to answer a duplicate with the result of the request that it repeats."""

    id: RequestId


@dataclass(slots=True)
class SetHealth:
    """The health state to answer health checks with, until the next action of this type."""

    healthy: bool
    cached: bool  # health checks are answered without querying the instance each time


@dataclass(slots=True)
class SendBackpressure:
    """The backpressure value to send with each answer; `BackpressureSignal` defines its meaning."""

    value: float


@dataclass(slots=True)
class SetIdleTimeout:
    """The idle time after which connections are closed; 0 keeps them open."""

    idle_timeout_ns: int


@dataclass(slots=True)
class SetTimer:
    """Instruction to send a `TimerFired` after `delay_ns`."""

    delay_ns: int
    timer_id: int


@dataclass(slots=True)
class LogMessage:
    """A line to write to the log."""

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
