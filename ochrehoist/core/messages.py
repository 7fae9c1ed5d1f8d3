"""What other tasks post to the core: each message says what happened, and to what."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.request import IdempotencyKey, InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.core.snapshot import CoreSnapshot, LearnedState
from ochrehoist.core.tenants import TenantTable


@dataclass(slots=True)
class ExecutorReady:
    """The executor is up: the controller can be created."""

    cold_start: bool | None  # None: as the settings say
    age_ns: int  # how long ago it came up


@dataclass(slots=True)
class RequestArrived:
    """A front has read a request."""

    request: InboundRequest


@dataclass(slots=True)
class CallerDisconnected:
    """The caller of a request waits no longer."""

    id: str
    gave_up: bool = True  # False where its connection was lost


@dataclass(slots=True)
class RunCompleted:
    """The executor's run of a request ended."""

    id: str
    result: RunResult
    duration_ns: int


@dataclass(slots=True)
class DuplicateResolved:
    """A duplicate that waited for, or found, the result of the run that it duplicates."""

    id: str
    result: RunResult


@dataclass(slots=True)
class GaugesMeasured:
    """Gauges of the executor, as they were asked for."""

    values: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ShutdownRequested:
    """The process is to end."""

    remaining_ns: int
    age_ns: int = 0  # how long ago, at the most, the order came


@dataclass(slots=True)
class StandbyChanged:
    """The operators empty the worker, or take that back: checks turn bad, and nothing else changes."""

    enabled: bool


@dataclass(slots=True)
class IntentRecorded:
    """Whether a filing that was to begin is on record.

    If not, it is rejected and may come again after `retry_after_ns`.
    """

    id: str
    recorded: bool
    retry_after_ns: int = 0


@dataclass(slots=True)
class StateRestored:
    """What was on record: runs by idempotency key, and the learned state."""

    runs: dict[IdempotencyKey, IdempotentRun]
    learned_state: LearnedState | None


@dataclass(slots=True)
class KernelLinkChanged:
    """Whether what runs the requests is within reach; a short break is not reported."""

    connected: bool


@dataclass(slots=True)
class SettingsChanged:
    """New settings, read while the worker runs."""

    settings: AdmissionSettings
    tenants: TenantTable | None = None  # where their table was made beforehand


@dataclass(slots=True)
class TenantsChanged:
    """New settings that differ in nothing but tenants."""

    settings: AdmissionSettings
    tenants: TenantTable


@dataclass(slots=True)
class ConfigurationSwitched:
    """A configuration read again comes into force between two messages: at all parts, and in the core."""

    apply_parts: Callable[[], None]
    core_change: SettingsChanged | TenantsChanged | None  # None where the core is not concerned
    on_done: Callable[[], None]


@dataclass(slots=True)
class StateTransferred:
    """How asking the process before this one ended."""

    state: CoreSnapshot | None  # None: there is nothing to adopt


Message = (
    ExecutorReady
    | RequestArrived
    | CallerDisconnected
    | RunCompleted
    | DuplicateResolved
    | GaugesMeasured
    | ShutdownRequested
    | StandbyChanged
    | IntentRecorded
    | StateRestored
    | KernelLinkChanged
    | SettingsChanged
    | TenantsChanged
    | ConfigurationSwitched
    | StateTransferred
)
