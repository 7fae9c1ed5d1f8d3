"""Health reports of an instance: stalls, and conditions that are not a stall."""

import pytest

from ochrehoist.admission.actions import (
    RejectRequest,
    SetHealth,
    StartRun,
)
from ochrehoist.admission.events import (
    Outcome,
    TimerFired,
)
from tests.admission.controller_driver import MS, Driver, S


def test_a_stall_rejects_arrivals_reports_bad_health_and_ends_with_the_first_completion():
    driver = Driver()
    ids = [driver.request(remaining_ns=20 * S)[0] for _ in range(4)]
    driver.advance(3 * S)
    assert SetHealth(False, True) in driver.actions_of(SetHealth)
    during_stall, _ = driver.request(remaining_ns=20 * S)
    assert during_stall in driver.ids(RejectRequest)
    driver.complete(ids[0], duration_ns=3 * S)
    driver.advance(50 * MS)
    after_stall, _ = driver.request(remaining_ns=20 * S)
    assert after_stall in driver.ids(StartRun)


def test_a_stall_and_quick_failures_do_not_move_the_service_rate_curve():
    driver = Driver()
    rates_before = [driver.controller.curve.rate_per_s(n) for n in range(1, 10)]
    for _ in range(20):
        job_id, _ = driver.request()
        driver.now_ns += 2 * MS
        driver.complete(job_id, Outcome.FAILED, duration_ns=2 * MS)
    rates_after = [driver.controller.curve.rate_per_s(n) for n in range(1, 10)]
    assert rates_after == pytest.approx(rates_before, rel=0.02)


def test_rejections_alone_never_report_bad_health():
    # Overloaded servers that reported bad health were removed from the list of instances, which took the
    # whole fleet down (incident i50d041).
    driver = Driver(marks_retries=False)
    # An idle instance would start a request even if it misses its objective.
    driver.request(remaining_ns=60 * S)
    for _ in range(60):
        for _ in range(3):
            driver.request(remaining_ns=1 * MS)
        driver.advance(25 * MS)
    assert len(driver.ids(RejectRequest)) == 180 and driver.actions_of(SetHealth) == [SetHealth(True, True)]


def test_a_pause_of_the_process_is_neither_working_time_nor_a_stall():
    driver = Driver()
    for _ in range(4):
        driver.request(remaining_ns=20 * S)
    driver.advance(500 * MS, step_ns=100 * MS)
    observed_before_s, driver.now_ns = sum(driver.controller.curve.observed_s), driver.now_ns + 30 * S
    driver.send(TimerFired(1, {"cpu_busy": 1.0}))
    assert sum(driver.controller.curve.observed_s) - observed_before_s <= 0.11
    assert SetHealth(False, True) not in driver.actions_of(SetHealth)
