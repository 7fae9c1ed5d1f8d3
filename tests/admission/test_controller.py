"""The controller as a whole: determinism, settings at their limits, and bounded cost."""

import pytest

from ochrehoist.admission.actions import (
    StartRun,
)
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    DownstreamCallNeeded,
    DrainStarted,
    InstanceStarted,
    RequestAbandoned,
    RequestReceived,
)
from ochrehoist.admission.settings import (
    AdmissionSettings,
    BackpressureSignal,
    DownstreamScope,
    RequestClass,
    Tenant,
)
from tests.admission.controller_driver import MS, Driver, S


def test_same_events_same_actions():
    def run_events():
        driver = Driver(backpressure=BackpressureSignal.WINDOW)
        for n in range(40):
            driver.request(class_index=n % 3, caller=n % 4, is_retry=n % 3 == 0)
            if n % 4 == 0 and driver.ids(StartRun):
                driver.complete(driver.ids(StartRun)[-1])
            driver.advance(50 * MS)
        return driver.log

    assert run_events() == run_events()


def test_silent_callers_are_removed_so_that_the_cost_of_a_tick_stays_bounded():
    driver = Driver(backpressure=BackpressureSignal.WINDOW)
    for n in range(3000):
        driver.request(caller=n, remaining_ns=20 * MS)
        driver.advance(25 * MS)
    assert len(driver.controller.callers.last_seen_ns) < 500 and not driver.controller.jobs


def test_the_initial_values_of_means_keep_their_weight_at_any_clock_time():
    driver = Driver()
    mean_before_ns = driver.controller.run_times.mean_run_ns[0].value
    driver.complete(driver.request()[0], duration_ns=1 * MS)
    assert driver.controller.run_times.mean_run_ns[0].value > mean_before_ns / 2


@pytest.mark.parametrize(
    "changes",
    [
        {"cores": 1, "fleet_size": 1, "caller_count": 0},
        {"caller_count": 1000, "backpressure": BackpressureSignal.WINDOW},
        {"warmup_ns": 0, "cold_start": True, "warmup_speed": 0.0},
        {"clock_step_ns": 1, "idle_timeout_ns": 0, "max_retry_after_ns": 0, "drain_grace_ns": 0},
        {"tenants": (Tenant("none", 0.0, 0.0),)},
        {
            "downstream": DownstreamScope.SHARED,
            "downstream_share": 0.0,
            "downstream_window_ns": 1,
            "abandoned_call_ns": 0,
        },
        {
            "cores": 2,
            "reports_disconnects": True,
            "propagates_deadline": False,
            "downstream": DownstreamScope.SHARED,
            "downstream_share": 0.02,
            "downstream_window_ns": 5 * S,
            "abandoned_call_ns": 200 * MS,
            "marks_retries": False,
            "tenants": (Tenant("far over quota", 1.0, 0.4), *(Tenant(f"t{n}", 90.0, 0.15) for n in range(4))),
        },
    ],
)
def test_settings_at_their_limits_and_missing_gauges_cause_no_error(changes):
    driver = Driver(**changes)
    for n in range(40):
        job_id, _ = driver.request(
            class_index=n % 4, caller=n, tenant_index=0 if driver.settings.tenants else None
        )
        if driver.settings.reports_disconnects and n % 3 == 0:
            driver.send(RequestAbandoned(job_id))
        driver.advance(100 * MS, step_ns=100 * MS, gauges={})
        if job_id in driver.ids(StartRun):
            driver.send(DownstreamCallNeeded(job_id))
            driver.complete(job_id)
    driver.send(DrainStarted(0))
    driver.advance(6 * S, gauges={})
    assert not driver.controller.jobs and driver.ids(StartRun)


def test_optional_settings_can_be_omitted():
    page_class = RequestClass(name="page", latency_objective_ns=2 * S, deadline_ns=5 * S)
    minimal_settings = AdmissionSettings(
        classes=(page_class,), cores=2, memory_kb=1000.0, collapse_multiple=3.0, collapse_after_ns=S
    )
    controller = AdmissionController(minimal_settings, 1)
    controller.handle(0, InstanceStarted())
    assert StartRun("a") in controller.handle(0, RequestReceived("a", 0))
