"""Reads the settings object of a worker's configuration or of the simulator's first message."""

from collections.abc import Generator, Mapping
from dataclasses import dataclass
from typing import Any

from ochrehoist.admission.settings import (
    AdmissionSettings,
    BackpressureSignal,
    DownstreamScope,
    Idempotency,
    ObjectiveWeights,
    Preemption,
    RequestClass,
)
from ochrehoist.config import json_reader
from ochrehoist.config.object_reader import REQUIRED, ObjectReader
from ochrehoist.config.tenants import TenantReader
from ochrehoist.errors import InvalidInputError
from ochrehoist.steps import run_to_completion

# The values of the settings object, and their types in the code.
IDEMPOTENCY_BY_VALUE = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.AT_MOST_ONCE,
}
DOWNSTREAM_SCOPE_BY_VALUE = {
    "off": DownstreamScope.NONE,
    "shared": DownstreamScope.SHARED,
    "tier": DownstreamScope.TIER,
}
BACKPRESSURE_BY_VALUE = {
    "off": BackpressureSignal.NONE,
    "window": BackpressureSignal.WINDOW,
    "threshold": BackpressureSignal.THRESHOLD,
    "share_of": BackpressureSignal.WEIGHT,
}
PREEMPTION_BY_VALUE = {"off": Preemption.NONE, "abort": Preemption.DROP, "suspend": Preemption.PAUSE}
WEIGHS_WORK_BY_VALUE = {"request": False, "work": True}

MESSAGE_TENANTS_PATH = ("Tenants",)


@dataclass(slots=True, frozen=True)
class LoadedSettings:
    """Settings of the admission decisions, and the tenants' positions by name."""

    settings: AdmissionSettings
    tenant_positions: Mapping[str, int]


def read_settings(text: str) -> AdmissionSettings:
    """Parses and validates the settings object of a CREATE message. Raises InvalidInputError."""
    try:
        data = run_to_completion(
            json_reader.read_in_steps(text, {MESSAGE_TENANTS_PATH: TenantReader().append_element})
        )
    except ValueError as error:
        raise InvalidInputError.in_message("CREATE", str(error), field="Settings") from None
    return settings_from(data)


def settings_from(data: Any) -> AdmissionSettings:
    """Validates a parsed settings object. Raises InvalidInputError."""
    return run_to_completion(settings_in_steps(data, TenantReader())).settings


def settings_in_steps(data: Any, tenants: TenantReader) -> Generator[None, None, LoadedSettings]:
    """Validates a parsed settings object in steps.

    The elements of `Tenants` may already have been read by `tenants`. Raises InvalidInputError.
    """
    top = ObjectReader(data, "")
    family = top.section("FamilyInfo")
    rules = top.section("Rules")
    limits = top.section("PolicyLimits", {})
    result_mix = top.section("ResultMix")
    charges = top.section("Charges", {})
    downstream = family.choice("DependsOn", DOWNSTREAM_SCOPE_BY_VALUE, "off")
    downstream_default = REQUIRED if downstream is DownstreamScope.SHARED else 0
    backpressure = family.choice("Say", BACKPRESSURE_BY_VALUE, "off")
    classes = _read_request_classes(top, family)
    table = yield from tenants.read_in_steps(top.items("Tenants", []))
    settings = AdmissionSettings(
        classes=classes,
        tenants=table.tenants,
        objective=_read_objective(result_mix),
        prices={k: v for k, v in charges.data.items() if isinstance(v, int | float)},
        fleet_size=top.integer("FleetSize", minimum=1),
        tier=top.integer("Stage", 0),
        caller_count=family.integer("Callers", 0),
        cores=family.integer("Cores", minimum=1),
        memory_kb=family.number("HeapKb"),
        run_memory_factor=family.number("RunFactor", minimum=1.0),
        key_kb=family.number("KeyKb", 0.0),
        cold_start=family.flag("JustStarted", False),
        warmup_ns=rules.integer("Cold"),
        warmup_speed=rules.number("ColdFrom"),
        collapse_multiple=rules.number("TipMultiple", minimum=1.0),
        collapse_after_ns=rules.integer("Fall"),
        drain_grace_ns=rules.integer("DrainGrace"),
        answer_grace_ns=rules.integer("GraceToAnswer"),
        propagates_deadline=family.flag("PassesDeadline", False),
        reports_disconnects=family.flag("TellsGone", False),
        marks_retries=top.section("ClientHabits", {}).flag("MarksRetry", False),
        weighs_work=top.choice("WorthBy", WEIGHS_WORK_BY_VALUE, "request"),
        over_quota_weight=top.number("OverShareWorth", 1.0),
        downstream=downstream,
        downstream_share=family.number("FairCalls", downstream_default),
        downstream_window_ns=family.integer("CallsOver", downstream_default),
        abandoned_call_ns=family.integer("Lingers", 0),
        freshness_ns=family.integer("FreshFor", 0),
        backpressure=backpressure,
        backpressure_ttl_ns=family.integer("HeardFor", 0),
        relays_retry_after=limits.flag("RetryAfter", False),
        max_retry_after_ns=limits.integer("MaxRetryAfter", 0),
        preemption=family.choice("Preemption", PREEMPTION_BY_VALUE, "off"),
        readiness=family.flag("Readiness", False),
        deep_health_checks=family.flag("DeepChecks", False),
        idle_timeout_ns=family.integer("Idle", 0),
        clock_step_ns=top.integer("Step", minimum=1),
    )
    return LoadedSettings(settings, table.positions)


def _read_objective(mix: ObjectReader) -> ObjectiveWeights:
    return ObjectiveWeights(
        mix.number("Whole"),
        mix.number("WorstWindow", 0.0),
        mix.number("WorstClass", 0.0),
        mix.number("WorstTenant", 0.0),
    )


def _read_request_classes(top: ObjectReader, family: ObjectReader) -> tuple[RequestClass, ...]:
    elements = top.items("Classes")
    if not elements:
        raise top.invalid_value("Classes", [])
    calls = _read_array_per_class(family, "ClassCalls", bool, [False] * len(elements))
    fallbacks = _read_array_per_class(family, "ClassSkipWorth", int | float, [0.0] * len(elements))
    classes = tuple(
        _read_request_class(top.element("Classes", index, data), calls[index], fallbacks[index])
        for index, data in enumerate(elements)
    )
    names = [c.name for c in classes]
    if len(set(names)) < len(names):
        raise top.error("Classes", f"contains a duplicate name: {names!r}")
    return classes


def _read_array_per_class(family: ObjectReader, key: str, kind: Any, default: list[Any]) -> list[Any]:
    """Returns an array that has one value of type `kind` for each request class."""
    values = family.items(key, default)
    if len(values) != len(default) or not all(isinstance(value, kind) for value in values):
        raise family.invalid_value(key, values)
    return values


def _read_request_class(table: ObjectReader, calls_downstream: bool, fallback_weight: float) -> RequestClass:
    idempotency = table.choice("Repeat", IDEMPOTENCY_BY_VALUE)
    return RequestClass(
        name=table.text("Name"),
        latency_objective_ns=table.integer("Slo", minimum=1),
        deadline_ns=table.integer("Deadline", minimum=1),
        priority_weight=table.number("Gain"),
        late_weight=table.number("LateValue", 0.0),
        idempotency=idempotency,
        idempotency_window_ns=table.integer("Window", REQUIRED if idempotency is Idempotency.KEYED else 0),
        objective_stretch=table.number("AimStretch", 0.0),
        calls_downstream=calls_downstream,
        fallback_weight=float(fallback_weight),
    )
