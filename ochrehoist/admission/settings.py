"""The settings of an admission controller: classes, tenants, capacity and the rules of a site.

Times and spans are whole nanoseconds (`_ns`), memory is in kilobytes (`_kb`), work is time on a standard
core.
The values are read and checked by `ochrehoist.config`; a site that lacks one leaves it at its default, which
decides nothing.
"""

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be run again."""

    IDEMPOTENT = "idempotent"  # at any time
    KEYED = "keyed"  # it carries an idempotency key: a retry gets the first result
    AT_MOST_ONCE = "at most once"


class DownstreamScope(Enum):
    """What requests call while they run."""

    NONE = "none"
    SHARED = "shared"  # one dependency of all instances
    TIER = "tier"  # a tier of servers that run the same code


class BackpressureSignal(Enum):
    """How callers read the value that is sent with each answer."""

    NONE = "none"
    WINDOW = "window"  # requests that one caller may have outstanding
    THRESHOLD = "threshold"  # the priority below which requests are rejected
    WEIGHT = "weight"  # share of the usual load


class Preemption(Enum):
    """What cancelling a run does."""

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
    idempotency_window_ns: int = 0  # for which a retry with the same key gets the first result
    objective_stretch: float = 0.0
    calls_downstream: bool = False
    fallback_weight: float = 0.0  # weight of an answer without its downstream call; 0: it needs the call


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the load that it is entitled to, over the whole fleet."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class ObjectiveWeights:
    """The weights of the parts of the result that the decisions maximise."""

    overall: float
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True, kw_only=True)
class AdmissionSettings:
    """All that the admission controller knows of its site."""

    classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    collapse_multiple: float  # concurrent runs per core at which the instance collapses
    collapse_after_ns: int  # for which it bears that
    run_memory_factor: float = 1.0  # memory of a request that runs, as a multiple of one that is queued
    drain_grace_ns: int = 0
    answer_grace_ns: int = 0
    objective: ObjectiveWeights = ObjectiveWeights(1.0)
    tenants: tuple[Tenant, ...] = ()
    prices: dict[str, float] = field(default_factory=dict)
    fleet_size: int = 1
    tier: int = 0  # 0: clients call directly; above: other tiers do
    caller_count: int = 0
    key_kb: float = 0.0  # memory of one idempotency key
    cold_start: bool = False
    warmup_ns: int = 0
    warmup_speed: float = 1.0  # at its beginning, as a share of the full speed
    propagates_deadline: bool = False
    reports_disconnects: bool = False
    marks_retries: bool = False
    weighs_work: bool = False  # the weight of a request counts per unit of its work
    over_quota_weight: float = 1.0  # of requests beyond the tenant's quota, as a share of their weight
    downstream: DownstreamScope = DownstreamScope.NONE
    downstream_share: float = 0.0  # concurrent calls that this instance is entitled to
    downstream_window_ns: int = 0  # over which that share is averaged
    abandoned_call_ns: int = 0  # for which a call goes on once it was abandoned
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
