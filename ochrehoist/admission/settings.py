"""Settings of an admission controller: classes, tenants, capacity and the rules of a site.

Times and durations are whole nanoseconds (`_ns`), memory is in kilobytes (`_kb`), and work is time on a
standard core. `ochrehoist.config` reads and checks the values. A site without a feature leaves its settings
at the defaults, which have no effect on decisions.
"""

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Retry semantics of a request class."""

    IDEMPOTENT = "idempotent"  # may be run again at any time
    KEYED = "keyed"  # requests carry an idempotency key: a retry gets the first result
    AT_MOST_ONCE = "at most once"


class DownstreamScope(Enum):
    """Kind of dependency that requests call while they run."""

    NONE = "none"
    SHARED = "shared"  # one dependency of all instances
    TIER = "tier"  # a tier of servers that run the same code


class BackpressureSignal(Enum):
    """Meaning of the backpressure value that is sent to callers with each answer."""

    NONE = "none"
    WINDOW = "window"  # requests that one caller may have outstanding
    THRESHOLD = "threshold"  # the priority below which requests are rejected
    WEIGHT = "weight"  # share of the usual load


class Preemption(Enum):
    """Effect of cancelling a run."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestClass:
    """A class of requests: its latency objective, its weight, and whether it may be retried."""

    name: str
    latency_objective_ns: int
    deadline_ns: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # weight of an answer after the objective and by the deadline
    idempotency: Idempotency = Idempotency.AT_MOST_ONCE
    idempotency_window_ns: int = 0  # a retry with the same key within it gets the first result
    objective_stretch: float = 0.0
    calls_downstream: bool = False
    fallback_weight: float = 0.0  # weight of an answer without the downstream call; 0: no fallback


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its load quota across the whole fleet."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class ObjectiveWeights:
    """Weights of the components of the objective that admission decisions maximise."""

    overall: float
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True, kw_only=True)
class AdmissionSettings:
    """Configuration of the admission controller for its site."""

    classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    collapse_multiple: float  # concurrent runs per core at which the instance collapses
    collapse_after_ns: int  # time that the instance survives at that concurrency
    run_memory_factor: float = 1.0  # memory of a running request, as a multiple of a queued one
    drain_grace_ns: int = 0
    answer_grace_ns: int = 0
    objective: ObjectiveWeights = ObjectiveWeights(1.0)
    tenants: tuple[Tenant, ...] = ()
    prices: dict[str, float] = field(default_factory=dict)
    fleet_size: int = 1
    tier: int = 0  # 0: called by clients; above 0: called by other tiers
    caller_count: int = 0
    key_kb: float = 0.0  # memory of one idempotency key
    cold_start: bool = False
    warmup_ns: int = 0
    warmup_speed: float = 1.0  # initial speed during warm-up, as a share of the full speed
    propagates_deadline: bool = False
    reports_disconnects: bool = False
    marks_retries: bool = False
    weighs_work: bool = False  # the weight of a request is per unit of its work
    over_quota_weight: float = 1.0  # weight factor of requests over their tenant's quota
    downstream: DownstreamScope = DownstreamScope.NONE
    downstream_share: float = 0.0  # concurrent calls that this instance is entitled to
    downstream_window_ns: int = 0  # averaging window of that share
    abandoned_call_ns: int = 0  # time that an abandoned call continues to occupy the dependency
    freshness_ns: int = 0
    backpressure: BackpressureSignal = BackpressureSignal.NONE
    backpressure_ttl_ns: int = 0
    relays_retry_after: bool = False
    max_retry_after_ns: int = 0
    preemption: Preemption = Preemption.NONE
    readiness: bool = False
    deep_health_checks: bool = False
    idle_timeout_ns: int = 0
    clock_step_ns: int = 1
