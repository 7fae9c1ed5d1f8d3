"""What crosses between the core, the fronts that read requests and the executors that run them."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from ochrehoist.core.tenants import Tenants
from ochrehoist.interface import Limits, Outcome, RequestClass, Settings

KeyId = tuple[str | None, str, str]  # names of tenant and class, and the caller's token: one filing
# Digests of what one filing says: of its target, where the wire has one, and of its body.
Fingerprint = tuple[bytes | None, bytes]


class Reason(Enum):
    """Why a request failed, for fronts that tell it apart."""

    GIVEN_UP = "no answer by the due time"
    EXECUTOR = "the run failed"
    INTERNAL = "internal fault"
    MAY_HAVE_RUN = "whether it ran is not known yet"
    OTHER_CONTENT = "the key belongs to a filing with other content"


@dataclass(slots=True, frozen=True)
class Result:
    """How a run ended. `detail` belongs to the executor that made it; the core passes it on unread."""

    outcome: Outcome
    body: bytes = b""
    detail: Any = None
    detail_bytes: int = 0  # what it takes in memory
    success: bool = True  # to the caller, on any wire: a run may end well with an error


class Responder(Protocol):
    """Carries one final answer to the caller. It never blocks; a caller that has left is no error."""

    def served(self, result: Result) -> bool:
        """Whether the caller was given it as served: some results another wire can't carry."""
        ...

    def refused(self, backoff: int, no_retry: bool) -> None: ...

    def failed(self, reason: Reason, result: Result | None = None) -> None: ...

    def origin(self) -> tuple[str, str]:
        """The name of the front, and the address that the caller called from; empty where not known."""
        ...


class Executor(Protocol):
    """Runs requests. It never blocks, and posts one Ended for each start, whatever happens."""

    def start(self, request: "Inbound") -> None: ...


class Observer(Protocol):
    """Hears of each request that the core decides on. It never blocks, and changes nothing."""

    def arrived(self, request: "Inbound") -> None:
        """It was read; `arrived` is by the core's clock."""
        ...

    def answered(self, request: "Inbound", figure: str | None, backoff: int) -> None:
        """Nothing is owed for it any more: the figure that counted it, None where its caller left; `backoff`
        (ns) that a refused one was told."""
        ...


class Waker(Protocol):
    """Lets one task sleep until it is woken or a span (seconds) is over."""

    def set(self) -> None: ...

    def wait(self, timeout: float | None) -> bool: ...


class Listener(Protocol):
    """Hears what the module wants of the process as a whole."""

    def health_changed(self, good: bool) -> None: ...

    def keep_alive_changed(self, hold_for: int) -> None: ...

    def leaving(self, remaining: int) -> None: ...


@dataclass(slots=True, frozen=True)
class Refusal:
    """Why the journal takes no filing now: for how long (ns), or because what ran is not known yet."""

    backoff: int
    may_have_run: bool = False
    no_retry: bool = True  # no other worker would take it either


class Admission(Protocol):
    """Asked by fronts before a request becomes one of the core's, while the core decides here."""

    def admits(self, cls: str, tenant: str | None, caller: int, age: int) -> int | None:
        """None, or the time to stay away (ns) that one which is turned away is told; `age`: ns since it
        came."""
        ...


class Limiter(Protocol):
    """What a worker measures of itself, beside the core: it says what the module is to keep to. Never blocks;
    `now` is by the core's clock."""

    def arrives(self, request: "Inbound", now: int) -> Refusal | None:
        """One that never ran: whether it is turned away before the module hears of it."""
        ...

    def times(self, request: "Inbound", now: int) -> float: ...

    def begun(self, request: "Inbound", now: int) -> None: ...

    def ended(self, request: "Inbound", now: int, took: int, outcome: Outcome) -> int:
        """The time that the module is to hear."""
        ...

    def refused(self, request: "Inbound", backoff: int, now: int) -> int:
        """The time to stay away that its caller is to hear."""
        ...

    def look(self, now: int, held: Mapping[str, int]) -> Limits | None: ...


class Gate(Protocol):
    """Decides with the whole fleet in view which of those that never ran are let in. Never blocks; `now` is
    by the core's clock."""

    def arrives(self, request: "Inbound", now: int) -> Refusal | None:
        """One that never ran: whether it is turned away before the module hears of it."""
        ...

    def begun(self, request: "Inbound", now: int) -> None: ...

    def ended(self, request: "Inbound", now: int, took: int, outcome: Outcome) -> None: ...


class Testifier(Protocol):
    """Others that know which filings were begun here. It never blocks, and tells the journal what came of a
    call; keys are those on record."""

    def opened(self, keys: list[bytes]) -> None: ...

    def refuses(self, key: bytes) -> bool:
        """Whether a filing that is not on record may have run all the same."""
        ...

    def begin(self, request_id: str, key: bytes, left: float) -> None:
        """The journal's `witnessed` follows; `left`: s of its window."""
        ...

    def drop(self, key: bytes) -> None: ...


class Journal(Protocol):
    """Keeps filings beyond the process. It never blocks, and tells by messages what has come of a call."""

    def refuses(self, token: KeyId) -> Refusal | None: ...

    def begin(self, request: "Inbound", run: Any) -> None:
        """A Recorded follows, in any case and soon."""
        ...

    def end(self, token: KeyId, run: Any, result: Result) -> None: ...

    def drop(self, token: KeyId) -> None:
        """Its window is over."""
        ...

    def never_ran(self, token: KeyId) -> None:
        """It was to begin, and did not."""
        ...

    def fetch(self, token: KeyId, request_id: str) -> None:
        """A Joined follows."""
        ...


@dataclass(slots=True, eq=False)
class Inbound:
    """One request that was read whole, and how far it has come."""

    id: str
    cls: RequestClass  # as it was when the request was read: an open request keeps it
    arrived: int  # Unix ns when it reached the machine
    payload: Any  # for the executor, unread here
    responder: Responder
    executor: Executor
    tenant: str | None = None
    key: str | None = None
    token: KeyId | None = None
    fingerprint: Fingerprint | None = None
    subject: int = 0  # what is asked and by whom, hashed: alike in all tries; 0 where the front tells none
    work: int | None = None
    memory_kb: float = 0.0
    rank: float = 0.0
    retry: bool = False
    write: bool = False
    caller: int = 0
    due: int = 0
    begun_at: int = 0  # 0: not begun
    joined_at: int = 0
    times: float = 1.0  # the usual cost of its class, as a Limiter foresaw it
    answered: bool = False  # or the caller has gone: no answer is owed
    started: bool = False
    remote: bool = False  # read by another process, which answers it, counts it and runs it


# ---- what other tasks post to the owner


@dataclass(slots=True)
class Booted:
    """The executor is up: the module can be created."""

    cold: bool | None  # None: as the settings say
    age: int


@dataclass(slots=True)
class Arrived:
    request: Inbound


@dataclass(slots=True)
class Gone:
    id: str
    gave_up: bool = True  # False where its connection was lost


@dataclass(slots=True)
class Ended:
    id: str
    result: Result
    took: int


@dataclass(slots=True)
class Joined:
    """A repeat that waited for, or found, the result of the run it repeats."""

    id: str
    result: Result


@dataclass(slots=True)
class Gauges:
    values: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Leaving:
    remaining: int
    age: int = 0  # how long ago, at the most, the notice came


@dataclass(slots=True)
class Standby:
    """The operators empty the worker, or take that back: checks turn bad, and nothing else changes."""

    on: bool


@dataclass(slots=True)
class Recorded:
    """Whether a filing that was to begin is on record; if not, it is refused and may come again after
    `backoff`."""

    id: str
    ok: bool
    backoff: int = 0


@dataclass(slots=True)
class Restored:
    """What was on record: runs by token, and what was learned."""

    runs: dict[KeyId, Any]
    learned: dict | None


@dataclass(slots=True)
class Linked:
    """Whether what runs the requests is within reach; a short break is not told."""

    up: bool


@dataclass(slots=True)
class Retuned:
    """New settings, read while the worker runs; `tenants`: their table, where it was made beforehand."""

    settings: Settings
    tenants: Tenants | None = None


@dataclass(slots=True)
class TenantsRetuned:
    """New settings that differ in nothing but tenants."""

    settings: Settings
    tenants: Tenants


@dataclass(slots=True)
class Switched:
    """A configuration read again comes into force between two messages: at all parts, and in the core."""

    parts: Callable[[], None]
    core: Retuned | TenantsRetuned | None  # None where the core is not concerned
    done: Callable[[], None]


@dataclass(slots=True)
class TakenOver:
    """How asking the process before this one ended: its state, or None where there is none to take."""

    state: Any


Message = (
    Booted
    | Arrived
    | Gone
    | Ended
    | Joined
    | Gauges
    | Leaving
    | Standby
    | Recorded
    | Restored
    | Linked
    | Retuned
    | TenantsRetuned
    | Switched
    | TakenOver
)
