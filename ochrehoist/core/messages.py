"""What other tasks post to the core: each message says what happened, and to what."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.request import IdempotencyKey, InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.core.tenants import Tenants


@dataclass(slots=True)
class ExecutorReady:
    """The executor is up: the module can be created."""

    cold_start: bool | None  # None: as the settings say
    age_ns: int


@dataclass(slots=True)
class RequestArrived:
    request: InboundRequest


@dataclass(slots=True)
class CallerDisconnected:
    id: str
    gave_up: bool = True  # False where its connection was lost


@dataclass(slots=True)
class RunCompleted:
    id: str
    result: RunResult
    duration_ns: int


@dataclass(slots=True)
class DuplicateResolved:
    """A repeat that waited for, or found, the result of the run it repeats."""

    id: str
    result: RunResult


@dataclass(slots=True)
class GaugesMeasured:
    values: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ShutdownRequested:
    remaining_ns: int
    age_ns: int = 0  # how long ago, at the most, the notice came


@dataclass(slots=True)
class StandbyChanged:
    """The operators empty the worker, or take that back: checks turn bad, and nothing else changes."""

    enabled: bool


@dataclass(slots=True)
class IntentRecorded:
    """Whether a filing that was to begin is on record; if not, it is refused and may come again after
    `backoff`."""

    id: str
    recorded: bool
    retry_after_ns: int = 0


@dataclass(slots=True)
class StateRestored:
    """What was on record: runs by token, and what was learned."""

    runs: dict[IdempotencyKey, Any]
    learned_state: dict | None


@dataclass(slots=True)
class KernelLinkChanged:
    """Whether what runs the requests is within reach; a short break is not told."""

    connected: bool


@dataclass(slots=True)
class SettingsChanged:
    """New settings, read while the worker runs; `tenants`: their table, where it was made beforehand."""

    settings: AdmissionSettings
    tenants: Tenants | None = None


@dataclass(slots=True)
class TenantsChanged:
    """New settings that differ in nothing but tenants."""

    settings: AdmissionSettings
    tenants: Tenants


@dataclass(slots=True)
class ConfigurationSwitched:
    """A configuration read again comes into force between two messages: at all parts, and in the core."""

    apply_parts: Callable[[], None]
    core_change: SettingsChanged | TenantsChanged | None  # None where the core is not concerned
    on_done: Callable[[], None]


@dataclass(slots=True)
class StateTransferred:
    """How asking the process before this one ended: its state, or None where there is none to take."""

    state: Any


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
