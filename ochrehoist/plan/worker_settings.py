"""What the workers of a described fleet are configured with."""

from typing import Any

from ochrehoist.admission import settings as admission_settings_types
from ochrehoist.admission.settings import AdmissionSettings, ObjectiveWeights, RequestClass
from ochrehoist.config.fleet_description import Fleet, Kind
from ochrehoist.config.settings import IDEMPOTENCY_WORDS

MS = 1_000_000


def admission_settings(fleet: Fleet, kind: Kind, cold: bool) -> AdmissionSettings:
    """The settings of the decision module of a worker of this kind."""
    return AdmissionSettings(
        classes=tuple(
            RequestClass(
                name=c.name,
                latency_objective_ns=int(c.aim_ms * MS),
                deadline_ns=int(c.deadline_ms * MS),
                priority_weight=c.worth,
                late_weight=c.late_worth,
                idempotency=IDEMPOTENCY_WORDS[c.repeat],
                idempotency_window_ns=int(c.window_ms * MS),
            )
            for c in fleet.classes
        ),
        tenants=tuple(
            admission_settings_types.Tenant(t.name, fleet.quota(t), t.share) for t in fleet.tenants
        ),
        cores=kind.cores,
        memory_kb=kind.memory_mb * 1000,
        collapse_multiple=kind.crowd,
        collapse_after_ns=1500 * MS,
        run_memory_factor=fleet.intake.run_factor,
        drain_grace_ns=2500 * MS,
        answer_grace_ns=80 * MS,
        objective=ObjectiveWeights(0.45, 0.15, 0.3, 0.1),
        fleet_size=len(fleet.placed_workers),
        caller_count=len(fleet.placed_routers),
        key_kb=fleet.intake.key_kb,
        cold_start=cold,
        warmup_ns=int(kind.cold_s * 1000 * MS),
        warmup_speed=kind.cold_from,
        reports_disconnects=True,
        marks_retries=True,
        weighs_work=True,
        over_quota_weight=fleet.over_share_worth,
        relays_retry_after=True,
        max_retry_after_ns=1000 * MS,
        readiness=True,
        idle_timeout_ns=int(fleet.intake.idle_s * 1000 * MS),
        clock_step_ns=4 * MS,
    )


def platform_settings(fleet: Fleet, kind: Kind) -> dict[str, Any]:
    """The same as the platform's settings object, for a real worker."""
    ns = 1_000_000_000
    names = {repeat: name for name, repeat in IDEMPOTENCY_WORDS.items()}
    s = admission_settings(fleet, kind, cold=False)
    return {
        "Classes": [
            {
                "Name": c.name,
                "Slo": c.latency_objective_ns,
                "Deadline": c.deadline_ns,
                "Gain": c.priority_weight,
                "LateValue": c.late_weight,
                "Repeat": names[c.idempotency],
            }
            | ({"Window": c.idempotency_window_ns} if c.idempotency_window_ns else {})
            for c in s.classes
        ],
        "Tenants": [{"Name": t.name, "QuotaPerS": t.quota_per_s, "Fraction": t.share} for t in s.tenants],
        "FamilyInfo": {
            "Cores": s.cores,
            "HeapKb": s.memory_kb,
            "RunFactor": s.run_memory_factor,
            "KeyKb": s.key_kb,
            "Callers": s.caller_count,
            "Idle": s.idle_timeout_ns,
            "TellsGone": True,
            "Readiness": True,
            "OwnStats": ["cpu_busy", "runnable"],
        },
        "FleetSize": s.fleet_size,
        "Step": s.clock_step_ns,
        "WorthBy": "work",
        "OverShareWorth": s.over_quota_weight,
        "ClientHabits": {"MarksRetry": True},
        "ResultMix": {
            "Whole": s.objective.overall,
            "WorstWindow": s.objective.worst_window,
            "WorstClass": s.objective.worst_class,
            "WorstTenant": s.objective.worst_tenant,
        },
        "PolicyLimits": {"RetryAfter": True, "MaxRetryAfter": s.max_retry_after_ns},
        "Rules": {
            "Cold": max(1, s.warmup_ns),
            "ColdFrom": s.warmup_speed,
            "DrainGrace": s.drain_grace_ns,
            "Fall": int(1.5 * ns),
            "GraceToAnswer": s.answer_grace_ns,
            "TipMultiple": s.collapse_multiple,
        },
    }
