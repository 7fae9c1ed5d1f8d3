"""Events that the admission controller handles; each is passed to it with the current time.

Times and durations are whole nanoseconds (`_ns`); indices refer to the tuples of `AdmissionSettings`.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

from ochrehoist.admission.settings import Tenant

UNLIMITED = 1 << 30

# Identifies a request, open or ended. Whoever passes events to the controller chooses it, and must never give
# it to a second request; the ids that remote callers choose are not unique.
RequestId = Hashable


class Outcome(Enum):
    """How a run or a downstream call ended."""

    OK = "ok"
    FAILED = "failed"
    QUEUE_FULL = "queue full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CONNECTION_RESET = "connection reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "not started"


# Outcomes that prove that the run or call never took place.
NEVER_RAN = frozenset({Outcome.QUEUE_FULL, Outcome.UNREACHABLE, Outcome.NOT_STARTED})


@dataclass(slots=True)
class InstanceStarted:
    """Start of the instance; sent once, before all other events."""


@dataclass(slots=True)
class RequestReceived:
    """A request that was read completely and waits for a decision."""

    id: RequestId
    class_index: int
    tenant_index: int | None = None
    routing_key: str | None = None
    remaining_ns: int | None = None  # time until the deadline; None if the caller does not propagate it
    work_ns: int | None = None  # time on a standard core; None if the caller does not state it
    memory_kb: float = 0.0
    rank: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    caller: int = 0
    unread_ns: int = 0  # time between arrival and reading
    duplicate_of: RequestId | None = None  # id of an earlier attempt with the same idempotency key
    cost_multiple: float = 1.0  # relative to the usual cost of the class; requests above 1 share a limit


@dataclass(slots=True)
class RunAdopted:
    """A request that an earlier instance started and that may have ended; it is never started again."""

    request: RequestReceived
    answered: bool
    ended: bool


@dataclass(slots=True)
class RequestCompleted:
    """End of the run of a request, or of the run that a duplicate is attached to."""

    id: RequestId
    outcome: Outcome
    duration_ns: int


@dataclass(slots=True)
class DownstreamCallNeeded:
    """A running request that has reached its downstream call."""

    id: RequestId


@dataclass(slots=True)
class DownstreamCallEnded:
    """End of the downstream call of a request."""

    id: RequestId
    outcome: Outcome
    duration_ns: int


@dataclass(slots=True)
class RequestAbandoned:
    """A request whose caller no longer waits for the answer."""

    id: RequestId
    gave_up: bool = True  # the caller gave up; False where its connection was lost


@dataclass(slots=True)
class TimerFired:
    """Expiry of a timer that the controller set, with gauges measured at that time."""

    timer_id: int
    gauges: dict[str, float]


@dataclass(slots=True)
class DrainStarted:
    """Start of a graceful shutdown."""

    remaining_ns: int  # time until the process ends


@dataclass(slots=True, frozen=True)
class ConcurrencyLimits:
    """Externally measured concurrency limits, valid until the next event of this type.

    Requests of a class that runs fewer than its floor start first; those of a class at its cap wait. Empty
    tuples leave the classes unlimited and equal.
    """

    total: int = UNLIMITED
    class_floors: tuple[int, ...] = ()
    class_caps: tuple[int, ...] = ()
    expensive: int = UNLIMITED  # limit for requests with a cost multiple above 1, of all classes together


@dataclass(slots=True)
class TenantsReplaced:
    """A changed list of tenants.

    Indices are stable: a tenant that remains keeps its index and its learned rates; new tenants are appended.
    The index of a removed tenant stays reserved for the lifetime of the controller, because open requests may
    refer to it.
    """

    tenants: tuple[Tenant, ...]


Event = (
    InstanceStarted
    | RequestReceived
    | RunAdopted
    | RequestCompleted
    | DownstreamCallNeeded
    | DownstreamCallEnded
    | RequestAbandoned
    | TimerFired
    | DrainStarted
    | ConcurrencyLimits
    | TenantsReplaced
)
