"""The types that cross the border of the decision module: settings, events, actions. Nothing here decides.

Times and spans are whole nanoseconds; memory is in kilobytes; work is time on a standard core.
"""

from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """Whether a request may be run again."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    FAILED = "failed"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


# The outcomes that prove that the run or call never took place.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT})


class Below(Enum):
    """What requests call while they run."""

    NOTHING = "nothing"
    SHARED = "shared"
    TIER = "tier"


class Advice(Enum):
    """How callers read the free value sent with each answer."""

    NONE = "none"
    WINDOW = "window"
    LEVEL = "level"
    WEIGHT = "weight"


class Preemption(Enum):
    """What stopping a run does."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestClass:
    """What a site lacks can be left out, here and in Settings: the values given decide nothing."""

    name: str
    aim: int
    deadline: int
    worth: float = 1.0
    late_worth: float = 0.0
    repeat: Repeat = Repeat.UNSAFE
    window: int = 0
    aim_stretch: float = 0.0
    calls: bool = False
    skip_worth: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Goal:
    """The weights of the parts of the result."""

    whole: float
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True, kw_only=True)
class Settings:
    classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    tip_multiple: float
    fall: int
    run_factor: float = 1.0
    drain_grace: int = 0
    answer_grace: int = 0
    goal: Goal = Goal(1.0)
    tenants: tuple[Tenant, ...] = ()
    prices: dict[str, float] = field(default_factory=dict)
    fleet_size: int = 1
    tier: int = 0  # 0: clients come straight here; above: other tiers call
    callers: int = 0
    key_kb: float = 0.0
    just_started: bool = False
    cold: int = 0
    cold_from: float = 1.0
    passes_deadline: bool = False
    tells_gone: bool = False
    marks_retry: bool = False
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    below: Below = Below.NOTHING
    fair_calls: float = 0.0
    calls_over: int = 0
    lingers: int = 0
    fresh_for: int = 0
    advice: Advice = Advice.NONE
    advice_heard_for: int = 0
    backoff_relayed: bool = False
    max_backoff: int = 0
    preemption: Preemption = Preemption.NONE
    readiness: bool = False
    deep_checks: bool = False
    idle: int = 0
    step: int = 1


# ---- events

UNLIMITED = 1 << 30


@dataclass(slots=True)
class Started:
    """The instance is up; sent once, before all else."""


@dataclass(slots=True)
class Request:
    id: str
    kind: int  # position in Settings.classes
    tenant: int | None = None  # position in Settings.tenants
    key: str | None = None
    remaining: int | None = None
    work: int | None = None
    memory_kb: float = 0.0
    rank: float = 0.0
    retry: bool = False
    write: bool = False
    caller: int = 0
    unread_for: int = 0
    original: str | None = None
    times: float = 1.0  # how many times the usual of its class it will cost; above 1 it keeps to the lane


@dataclass(slots=True)
class Adopted:
    """A request that the instance before this one started, and that may be over: it is never started here."""

    request: Request
    answered: bool
    over: bool


@dataclass(slots=True)
class Completed:
    id: str
    outcome: Outcome
    took: int


@dataclass(slots=True)
class CallNeeded:
    id: str


@dataclass(slots=True)
class CallEnded:
    id: str
    outcome: Outcome
    took: int


@dataclass(slots=True)
class CallerGone:
    id: str
    gave_up: bool = True  # of its own will: not where its connection was lost


@dataclass(slots=True)
class Alarm:
    token: int
    gauges: dict[str, float]


@dataclass(slots=True)
class Leave:
    remaining: int


@dataclass(slots=True, frozen=True)
class Limits:
    """How many may run, until told anew, as measured from outside the module; without it the module alone
    decides. `floors` and `caps` are by position in Settings.classes: up to its floor a class goes first, past
    its cap it waits; without them classes are alike. `heavy`: of those of many times the usual, together."""

    total: int = UNLIMITED
    floors: tuple[int, ...] = ()
    caps: tuple[int, ...] = ()
    heavy: int = UNLIMITED


@dataclass(slots=True)
class TenantsChanged:
    """The tenants are these from now on. Positions are stable: one that stays keeps its own, with its learned
    rates; new ones stand behind; the place of one that is gone stays taken until a fresh module is made (its
    open requests go on under it)."""

    tenants: tuple[Tenant, ...]


Event = (
    Started
    | Request
    | Adopted
    | Completed
    | CallNeeded
    | CallEnded
    | CallerGone
    | Alarm
    | Leave
    | Limits
    | TenantsChanged
)


# ---- actions


@dataclass(slots=True)
class Start:
    id: str


@dataclass(slots=True)
class Refuse:
    """Final: turned away, never run."""

    id: str
    backoff: int
    no_retry: bool


@dataclass(slots=True)
class Fail:
    """Final: an error, no promises."""

    id: str


@dataclass(slots=True)
class Stop:
    """Stop running work, where the site allows it."""

    id: str


@dataclass(slots=True)
class Call:
    id: str
    stop_at: int


@dataclass(slots=True)
class SkipCall:
    id: str


@dataclass(slots=True)
class Keep:
    id: str
    hold_for: int


@dataclass(slots=True)
class Forget:
    id: str


@dataclass(slots=True)
class Join:
    """Serve a repeat from the outcome of the request it repeats."""

    id: str


@dataclass(slots=True)
class Health:
    good: bool
    stored: bool


@dataclass(slots=True)
class Advise:
    value: float


@dataclass(slots=True)
class KeepAlive:
    hold_for: int


@dataclass(slots=True)
class SetAlarm:
    delay: int
    token: int


@dataclass(slots=True)
class Log:
    text: str


Action = (
    Start
    | Refuse
    | Fail
    | Stop
    | Call
    | SkipCall
    | Keep
    | Forget
    | Join
    | Health
    | Advise
    | KeepAlive
    | SetAlarm
    | Log
)
