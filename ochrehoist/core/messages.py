"""Messages that other tasks post to the core."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.request import IdempotencyKey, InboundRequest, RequestReference
from ochrehoist.core.results import RunResult
from ochrehoist.core.snapshot import CoreSnapshot, LearnedState
from ochrehoist.core.tenants import TenantTable


@dataclass(slots=True)
class ExecutorReady:
    """Notification that the executor is ready, so that the controller can be created."""

    cold_start: bool | None  # None: the settings decide
    age_ns: int  # time since the executor became ready


@dataclass(slots=True)
class RequestArrived:
    """Notification that a front has read a request."""

    request: InboundRequest


@dataclass(slots=True)
class CallerDisconnected:
    """Notification that the caller of a request no longer waits for the answer."""

    request: RequestReference
    gave_up: bool = True  # False if its connection was lost


@dataclass(slots=True)
class RunCompleted:
    """Notification that the run of a request has ended."""

    request: RequestReference
    result: RunResult
    duration_ns: int


@dataclass(slots=True)
class DuplicateResolved:
    """The result for a duplicate, from the run that it duplicates."""

    request: RequestReference
    result: RunResult


@dataclass(slots=True)
class GaugesMeasured:
    """Gauges of the executor, measured on request."""

    values: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ShutdownRequested:
    """Order to shut the process down."""

    remaining_ns: int  # time until the process is stopped
    age_ns: int = 0  # maximum time since the order arrived


@dataclass(slots=True)
class StandbyChanged:
    """Order of the operators to set or clear standby, which only affects the reported health."""

    enabled: bool


@dataclass(slots=True)
class IntentRecorded:
    """The journal's answer to the intent to run a filing.

    A filing whose intent was not recorded is rejected with `retry_after_ns`.
    """

    request: RequestReference
    recorded: bool
    retry_after_ns: int = 0


@dataclass(slots=True)
class StateRestored:
    """State read from the store: runs by idempotency key, and the learned state."""

    runs: dict[IdempotencyKey, IdempotentRun]
    learned_state: LearnedState | None
    on_adopted: Callable[[], None] = lambda: None


@dataclass(slots=True)
class KernelLinkChanged:
    """Notification that the kernel became reachable or unreachable; short interruptions are not reported."""

    connected: bool


@dataclass(slots=True)
class SettingsChanged:
    """New settings from a configuration reload."""

    settings: AdmissionSettings
    tenants: TenantTable | None = None  # their tenant table, if it was built in advance


@dataclass(slots=True)
class TenantsChanged:
    """New settings from a configuration reload that differ only in tenants."""

    settings: AdmissionSettings
    tenants: TenantTable


@dataclass(slots=True)
class ConfigurationSwitched:
    """Order to apply a reloaded configuration between two messages, in the core and in all other parts."""

    apply_parts: Callable[[], None]  # applies the configuration to the other parts
    core_change: SettingsChanged | TenantsChanged | None  # None if nothing changes for the core
    on_done: Callable[[], None]


@dataclass(slots=True)
class StateTransferred:
    """The answer to the request for the predecessor process's state."""

    state: CoreSnapshot | None  # None if there is no state to adopt


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
