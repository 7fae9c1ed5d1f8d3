"""The events that the admission controller handles; each is handed to it with the time of handling.

Times and spans are whole nanoseconds (`_ns`); positions refer to the tuples of `AdmissionSettings`.
"""

from dataclasses import dataclass
from enum import Enum

from ochrehoist.admission.settings import Tenant

UNLIMITED = 1 << 30


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


# The outcomes that prove that the run or call never took place.
NEVER_RAN = frozenset({Outcome.QUEUE_FULL, Outcome.UNREACHABLE, Outcome.NOT_STARTED})


@dataclass(slots=True)
class InstanceStarted:
    """The instance is up; sent once, before all other events."""


@dataclass(slots=True)
class RequestReceived:
    """A request was read whole and waits for a decision."""

    id: str
    class_index: int
    tenant_index: int | None = None
    routing_key: str | None = None
    remaining_ns: int | None = None  # until its deadline, where the caller propagates it
    work_ns: int | None = None  # on a standard core, where the caller states it
    memory_kb: float = 0.0
    rank: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    caller: int = 0
    unread_ns: int = 0  # that it waited to be read
    duplicate_of: str | None = None  # id of an earlier attempt with the same idempotency key
    cost_multiple: float = 1.0  # of the usual cost of its class; above 1 it is limited with its like


@dataclass(slots=True)
class RunAdopted:
    """A request that an earlier instance started, and that may have ended: it is never started here."""

    request: RequestReceived
    answered: bool
    ended: bool


@dataclass(slots=True)
class RequestCompleted:
    """The run of a request, or of the attempt that it duplicates, has ended."""

    id: str
    outcome: Outcome
    duration_ns: int


@dataclass(slots=True)
class DownstreamCallNeeded:
    """A running request has come to its downstream call."""

    id: str


@dataclass(slots=True)
class DownstreamCallEnded:
    """The downstream call of a request has ended."""

    id: str
    outcome: Outcome
    duration_ns: int


@dataclass(slots=True)
class RequestAbandoned:
    """Nobody waits for the answer any more."""

    id: str
    gave_up: bool = True  # the caller gave up; False where its connection was lost


@dataclass(slots=True)
class TimerFired:
    """A timer that the controller set has expired; `gauges` are measured at that time."""

    timer_id: int
    gauges: dict[str, float]


@dataclass(slots=True)
class DrainStarted:
    """The instance is to shut down gracefully in so long."""

    remaining_ns: int


@dataclass(slots=True, frozen=True)
class ConcurrencyLimits:
    """How many requests may run, until the next event of this type, as measured from outside the module.

    Up to its floor a class is started first, past its cap it waits; without them all classes are alike.
    """

    total: int = UNLIMITED
    class_floors: tuple[int, ...] = ()
    class_caps: tuple[int, ...] = ()
    expensive: int = UNLIMITED  # requests with a cost multiple above 1, of all classes together


@dataclass(slots=True)
class TenantsReplaced:
    """The tenants are these from now on.

    Positions are stable: a tenant that stays keeps its own, with its learned rates; new ones come behind. The
    position of one that is gone stays taken until a new module is made, as its open requests refer to it.
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
