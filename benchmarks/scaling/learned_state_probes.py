"""The learned-state snapshot, which each handover and each new setting take, and [state] every 5 s."""

import json
from collections import deque
from typing import Any

from benchmarks.scaling.admission_driver import MS, AdmissionDriver, S, admission_settings
from benchmarks.scaling.admission_probes import ALL_TENANTS
from benchmarks.scaling.probe import Limit, Measures, Probe, request_delay
from benchmarks.scaling.timing import median_cpu_us
from ochrehoist.admission import learned_state
from ochrehoist.admission.caller_activity import CANCELLATIONS_KEPT, TimeoutEstimate

SERVED_REQUESTS = 300
CANCELLATION_AGE_NS = 450 * MS
HANDOVER_LINE = Limit("encoded_bytes", 8 << 20, "the longest line of a handover")


def by_tenants(size: int, seed: int) -> Measures:
    """So many tenants, some of whom were served."""
    driver = AdmissionDriver(admission_settings(size), seed)
    for _ in range(SERVED_REQUESTS):
        driver.serve()
    driver.tick()
    text = _encoded(learned_state.snapshot(driver.controller))
    return _snapshot_measures(driver) | {"decode_us": median_cpu_us(lambda: json.loads(text))}


def by_active_tenants(size: int, seed: int) -> Measures:
    """The same where so many of 58,000 tenants were active lately."""
    driver = AdmissionDriver(admission_settings(ALL_TENANTS), seed)
    driver.serve_tenants(size)
    driver.tick()
    return _snapshot_measures(driver)


def by_callers(size: int, seed: int) -> Measures:
    """So many callers, each with cancellations and an estimated timeout."""
    driver = AdmissionDriver(admission_settings(), seed)
    callers = driver.controller.callers
    for caller in range(size):
        callers.last_seen_ns[caller] = driver.now_ns
        callers.cancellation_ages_ns[caller] = deque(
            [CANCELLATION_AGE_NS] * CANCELLATIONS_KEPT, CANCELLATIONS_KEPT
        )
        callers.timeouts[caller] = TimeoutEstimate(CANCELLATION_AGE_NS, driver.now_ns + 10 * S)
    controller = driver.controller
    return {
        "encoded_bytes": len(_encoded(learned_state.snapshot(controller))),
        "snapshot_us": median_cpu_us(lambda: learned_state.snapshot(controller)),
    }


def _snapshot_measures(driver: AdmissionDriver) -> Measures:
    """The snapshot's size, and processor time of taking, encoding and restoring it."""
    controller = driver.controller
    snapshot = learned_state.snapshot(controller)
    return {
        "encoded_bytes": len(_encoded(snapshot)),
        "snapshot_us": median_cpu_us(lambda: learned_state.snapshot(controller)),
        "encode_us": median_cpu_us(lambda: _encoded(snapshot)),
        "restore_us": median_cpu_us(lambda: learned_state.restore(controller, snapshot, controller.now_ns)),
    }


def _encoded(snapshot: Any) -> str:
    return json.dumps(snapshot, separators=(",", ":"))


def learned_state_probes() -> list[Probe]:
    """The probes of this module."""
    snapshot, encode, restore = (
        request_delay(measure) for measure in ("snapshot_us", "encode_us", "restore_us")
    )
    return [
        Probe(
            "learned state by tenants",
            "tenants",
            (3, 1000, 5000, 20000, ALL_TENANTS),
            by_tenants,
            ALL_TENANTS,
            (HANDOVER_LINE, snapshot, encode),
        ),
        Probe(
            "learned state by active tenants",
            "tenants active lately, of 58,000",
            (100, 1000, 3000, 8000),
            by_active_tenants,
            7400,
            (HANDOVER_LINE, snapshot, encode, restore),
        ),
        Probe(
            "learned state by callers",
            "callers",
            (100, 1000, 5000, 19000),
            by_callers,
            1710,
            (HANDOVER_LINE, snapshot),
        ),
    ]
