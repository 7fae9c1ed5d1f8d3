"""What the workers of a described fleet are configured with."""

from typing import Any

from ochrehoist.admission.settings import AdmissionSettings, ObjectiveWeights, RequestClass, Tenant
from ochrehoist.config.fleet_description import Fleet, MachineKind
from ochrehoist.config.settings import IDEMPOTENCY_BY_VALUE
from ochrehoist.units import NS_PER_MS

COLLAPSE_AFTER_MS = 1500
DRAIN_GRACE_MS = 2500
ANSWER_GRACE_MS = 80
MAX_RETRY_AFTER_MS = 1000
CLOCK_STEP_MS = 4
OBJECTIVE = ObjectiveWeights(overall=0.45, worst_window=0.15, worst_class=0.3, worst_tenant=0.1)


def admission_settings(fleet: Fleet, kind: MachineKind, cold: bool) -> AdmissionSettings:
    """The settings of the decision module of a worker of this kind."""
    return AdmissionSettings(
        classes=tuple(
            RequestClass(
                name=each.name,
                latency_objective_ns=int(each.aim_ms * NS_PER_MS),
                deadline_ns=int(each.deadline_ms * NS_PER_MS),
                priority_weight=each.worth,
                late_weight=each.late_worth,
                idempotency=IDEMPOTENCY_BY_VALUE[each.repeat],
                idempotency_window_ns=int(each.window_ms * NS_PER_MS),
            )
            for each in fleet.classes
        ),
        tenants=tuple(Tenant(tenant.name, fleet.quota(tenant), tenant.share) for tenant in fleet.tenants),
        cores=kind.cores,
        memory_kb=kind.memory_mb * 1000,
        collapse_multiple=kind.crowd,
        collapse_after_ns=COLLAPSE_AFTER_MS * NS_PER_MS,
        run_memory_factor=fleet.intake.run_factor,
        drain_grace_ns=DRAIN_GRACE_MS * NS_PER_MS,
        answer_grace_ns=ANSWER_GRACE_MS * NS_PER_MS,
        objective=OBJECTIVE,
        fleet_size=len(fleet.placed_workers),
        caller_count=len(fleet.placed_routers),
        key_kb=fleet.intake.key_kb,
        cold_start=cold,
        warmup_ns=int(kind.cold_s * 1000 * NS_PER_MS),
        warmup_speed=kind.cold_from,
        reports_disconnects=True,
        marks_retries=True,
        weighs_work=True,
        over_quota_weight=fleet.over_share_worth,
        relays_retry_after=True,
        max_retry_after_ns=MAX_RETRY_AFTER_MS * NS_PER_MS,
        readiness=True,
        idle_timeout_ns=int(fleet.intake.idle_s * 1000 * NS_PER_MS),
        clock_step_ns=CLOCK_STEP_MS * NS_PER_MS,
    )


def platform_settings(fleet: Fleet, kind: MachineKind) -> dict[str, Any]:
    """The same as the platform's settings object, for a real worker."""
    settings = admission_settings(fleet, kind, cold=False)
    return {
        "Classes": [_class_table(each) for each in settings.classes],
        "Tenants": [
            {"Name": tenant.name, "QuotaPerS": tenant.quota_per_s, "Fraction": tenant.share}
            for tenant in settings.tenants
        ],
        "FamilyInfo": {
            "Cores": settings.cores,
            "HeapKb": settings.memory_kb,
            "RunFactor": settings.run_memory_factor,
            "KeyKb": settings.key_kb,
            "Callers": settings.caller_count,
            "Idle": settings.idle_timeout_ns,
            "TellsGone": True,
            "Readiness": True,
            "OwnStats": ["cpu_busy", "runnable"],
        },
        "FleetSize": settings.fleet_size,
        "Step": settings.clock_step_ns,
        "WorthBy": "work",
        "OverShareWorth": settings.over_quota_weight,
        "ClientHabits": {"MarksRetry": True},
        "ResultMix": {
            "Whole": settings.objective.overall,
            "WorstWindow": settings.objective.worst_window,
            "WorstClass": settings.objective.worst_class,
            "WorstTenant": settings.objective.worst_tenant,
        },
        "PolicyLimits": {"RetryAfter": True, "MaxRetryAfter": settings.max_retry_after_ns},
        "Rules": _rules_table(settings),
    }


def _class_table(request_class: RequestClass) -> dict[str, Any]:
    """One class, as the platform's settings object has it."""
    repeat_words = {idempotency: word for word, idempotency in IDEMPOTENCY_BY_VALUE.items()}
    table = {
        "Name": request_class.name,
        "Slo": request_class.latency_objective_ns,
        "Deadline": request_class.deadline_ns,
        "Gain": request_class.priority_weight,
        "LateValue": request_class.late_weight,
        "Repeat": repeat_words[request_class.idempotency],
    }
    if request_class.idempotency_window_ns:
        table["Window"] = request_class.idempotency_window_ns
    return table


def _rules_table(settings: AdmissionSettings) -> dict[str, Any]:
    """The rules, as the platform's settings object has them."""
    return {
        "Cold": max(1, settings.warmup_ns),
        "ColdFrom": settings.warmup_speed,
        "DrainGrace": settings.drain_grace_ns,
        "Fall": settings.collapse_after_ns,
        "GraceToAnswer": settings.answer_grace_ns,
        "TipMultiple": settings.collapse_multiple,
    }
