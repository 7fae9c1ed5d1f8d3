"""Settings of a site, in the form in which the platform and the appliance's file hold them."""

from typing import Any

from tests.support.environment import MS

LONG_WINDOW_S = 900


def site_settings(**changes: Any) -> dict[str, Any]:
    """Settings whose callers wait long enough for a program to start between two steps of a test."""
    base = {
        "Classes": [
            {"Name": "read", "Slo": 9_000 * MS, "Deadline": 18_000 * MS, "Gain": 1.0, "Repeat": "idempotent"},
            {
                "Name": "filing",
                "Slo": 9_000 * MS,
                "Deadline": 18_000 * MS,
                "Gain": 3.0,
                "Repeat": "deduplicated",
                "Window": 20_000 * MS,
            },
        ],
        "FamilyInfo": {
            "Cores": 2,
            "HeapKb": 90000.0,
            "RunFactor": 4.0,
            "KeyKb": 10.0,
            "Callers": 2,
            "TellsGone": True,
            "Idle": 30_000 * MS,
            "OwnStats": ["cpu_busy", "runnable"],
        },
        "FleetSize": 2,
        "ResultMix": {"Whole": 1.0},
        "Step": MS,
        "PolicyLimits": {"RetryAfter": True, "MaxRetryAfter": 1000 * MS},
        "Tenants": [{"Name": "acme", "QuotaPerS": 100.0, "Fraction": 1.0}],
        "Rules": {
            "Cold": 1000 * MS,
            "ColdFrom": 0.3,
            "DrainGrace": 300 * MS,
            "Fall": 1000 * MS,
            "GraceToAnswer": 80 * MS,
            "TipMultiple": 5.0,
        },
    }
    return base | changes


def short_deadline_settings(**changes: Any) -> dict[str, Any]:
    """Settings whose deadlines fall within a test."""
    base = site_settings(**changes)
    for request_class in base["Classes"]:
        request_class.update(Slo=900 * MS, Deadline=1800 * MS)
    return base


def long_window_settings(window_s: int = LONG_WINDOW_S) -> dict[str, Any]:
    """Settings whose idempotency window outlasts a test."""
    base = site_settings()
    base["Classes"][1]["Window"] = window_s * 1000 * MS
    return base
