"""Settings of the admission controller, random or given, for the types of any tree."""

import dataclasses
import random
from dataclasses import dataclass
from typing import Any

from benchmarks.decisions.decision_api import DecisionApi

MS = 1_000_000
S = 1_000_000_000
# Fields of the settings in the order that all trees share, by their names in this one.
CLASS_FIELDS = (
    "name",
    "latency_objective_ns",
    "deadline_ns",
    "priority_weight",
    "late_weight",
    "idempotency",
    "idempotency_window_ns",
    "objective_stretch",
    "calls_downstream",
    "fallback_weight",
)
SETTINGS_FIELDS = (
    "classes",
    "cores",
    "memory_kb",
    "collapse_multiple",
    "collapse_after_ns",
    "run_memory_factor",
    "drain_grace_ns",
    "answer_grace_ns",
    "objective",
    "tenants",
    "prices",
    "fleet_size",
    "tier",
    "caller_count",
    "key_kb",
    "cold_start",
    "warmup_ns",
    "warmup_speed",
    "propagates_deadline",
    "reports_disconnects",
    "marks_retries",
    "weighs_work",
    "over_quota_weight",
    "downstream",
    "downstream_share",
    "downstream_window_ns",
    "abandoned_call_ns",
    "freshness_ns",
    "backpressure",
    "backpressure_ttl_ns",
    "relays_retry_after",
    "max_retry_after_ns",
    "preemption",
    "readiness",
    "deep_health_checks",
    "idle_timeout_ns",
    "clock_step_ns",
)
# Positions in the enum DownstreamScope.
NO_DOWNSTREAM, SHARED_DOWNSTREAM, DOWNSTREAM_TIER = range(3)
# Weights of the objective that a random history draws from.
OBJECTIVES = ((0.45, 0.15, 0.3, 0.1), (0.6, 0.2, 0.2, 0.0), (0.2, 0.0, 0.1, 0.7), (0, 0, 0, 1.0))


@dataclass(frozen=True)
class KnownSettings:
    """What a history needs of the settings, whatever their tree calls it."""

    classes: tuple[Any, ...]
    cores: int
    propagates_deadline: bool
    calls_downstream: bool


def request_class(api: DecisionApi, **values: Any) -> Any:
    """A request class of the tree; `values` by the names of this tree."""
    positions = {CLASS_FIELDS.index(name): value for name, value in values.items()}
    return api.settings_value("RequestClass", positions)


def admission_settings(api: DecisionApi, **values: Any) -> Any:
    """Settings of the tree; `values` by the names of this tree."""
    positions = {SETTINGS_FIELDS.index(name): value for name, value in values.items()}
    return api.settings_value("AdmissionSettings", positions)


def known_settings(api: DecisionApi, settings: Any) -> KnownSettings:
    """Read from the tree's settings what a history needs of them."""
    names = [field.name for field in dataclasses.fields(settings)]

    def value(name: str) -> Any:
        return getattr(settings, names[SETTINGS_FIELDS.index(name)])

    return KnownSettings(
        classes=value("classes"),
        cores=value("cores"),
        propagates_deadline=value("propagates_deadline"),
        calls_downstream=value("downstream") is not api.member("DownstreamScope", NO_DOWNSTREAM),
    )


def random_settings(api: DecisionApi, rng: random.Random, tenant_count: int) -> Any:
    """Settings with any weights of the objective, and quotas from none to more than there is capacity for."""
    classes = tuple(_random_class(api, rng, number) for number in range(rng.randint(1, 4)))
    cores = rng.randint(1, 8)
    quotas_per_s = _random_quotas(rng, tenant_count, cores * 10.0 / max(1, min(tenant_count, 8)))
    objective = rng.choice(OBJECTIVES)
    fleet_size = rng.choice((1, 1, 12))
    tenant = api.settings_types["Tenant"]
    return admission_settings(
        api,
        classes=classes,
        tenants=tuple(
            tenant(f"tenant{number}", quota * fleet_size, 1 / tenant_count)
            for number, quota in enumerate(quotas_per_s)
        ),
        objective=api.settings_types["ObjectiveWeights"](*objective),
        fleet_size=fleet_size,
        caller_count=rng.choice((0, 3, 400)),
        cores=cores,
        memory_kb=rng.choice((4000.0, 200_000.0)),
        run_memory_factor=rng.choice((1.0, 4.0)),
        key_kb=10.0,
        cold_start=rng.random() < 0.2,
        warmup_ns=10 * S,
        warmup_speed=0.25,
        collapse_multiple=rng.choice((2.0, 5.0)),
        collapse_after_ns=2 * S,
        drain_grace_ns=2 * S,
        propagates_deadline=rng.random() < 0.5,
        reports_disconnects=True,
        marks_retries=rng.random() < 0.5,
        weighs_work=rng.random() < 0.5,
        over_quota_weight=rng.choice((0.0, 0.1, 1.0)),
        downstream=api.member(
            "DownstreamScope",
            rng.choice((NO_DOWNSTREAM, NO_DOWNSTREAM, DOWNSTREAM_TIER, SHARED_DOWNSTREAM)),
        ),
        downstream_share=2.0,
        downstream_window_ns=5 * S,
        abandoned_call_ns=200 * MS,
        backpressure=rng.choice(tuple(api.settings_types["BackpressureSignal"])),
        max_retry_after_ns=S,
        preemption=rng.choice(tuple(api.settings_types["Preemption"])),
        idle_timeout_ns=15 * S,
        clock_step_ns=4 * MS,
    )


def _random_class(api: DecisionApi, rng: random.Random, number: int) -> Any:
    return request_class(
        api,
        name=f"class{number}",
        latency_objective_ns=rng.randrange(200, 3000) * MS,
        deadline_ns=rng.randrange(1000, 6000) * MS,
        priority_weight=rng.choice((1.0, 1.0, 2.0, 5.5)),
        idempotency=rng.choice(tuple(api.settings_types["Idempotency"])),
        idempotency_window_ns=rng.choice((0, 10 * S)),
        calls_downstream=rng.random() < 0.3,
        fallback_weight=rng.choice((0.0, 0.5)),
    )


def _random_quotas(rng: random.Random, tenant_count: int, usual_per_s: float) -> list[float]:
    return [
        rng.choice((0.0, usual_per_s / 10, usual_per_s, usual_per_s, usual_per_s * rng.random() * 2))
        for _ in range(tenant_count)
    ]
