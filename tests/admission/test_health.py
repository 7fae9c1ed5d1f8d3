"""When an instance reports bad health: stalls, and what is none."""

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
    refused, _ = driver.request(remaining_ns=20 * S)
    assert refused in driver.ids(RejectRequest)
    driver.complete(ids[0], duration_ns=3 * S)
    driver.advance(50 * MS)
    taken, _ = driver.request(remaining_ns=20 * S)
    assert taken in driver.ids(StartRun)


def test_a_stall_and_quick_failures_do_not_move_the_service_rate_curve():
    driver = Driver()
    before = [driver.controller.curve.rate_per_s(n) for n in range(1, 10)]
    for _ in range(20):
        job_id, _ = driver.request()
        driver.now_ns += 2 * MS
        driver.complete(job_id, Outcome.FAILED, duration_ns=2 * MS)
    after = [driver.controller.curve.rate_per_s(n) for n in range(1, 10)]
    assert after == pytest.approx(before, rel=0.02)


def test_rejections_alone_never_report_bad_health():
    # Swamped servers that left the list took the whole fleet with them in overload (incident i50d041).
    driver = Driver(marks_retries=False)
    driver.request(remaining_ns=60 * S)  # one runs, so that what cannot meet its aim is not tried
    for _ in range(60):
        for _ in range(3):
            driver.request(remaining_ns=1 * MS)
        driver.advance(25 * MS)
    assert len(driver.ids(RejectRequest)) == 180 and driver.actions_of(SetHealth) == [SetHealth(True, True)]


def test_a_pause_of_the_process_is_neither_time_at_work_nor_a_stall():
    driver = Driver()
    for _ in range(4):
        driver.request(remaining_ns=20 * S)
    driver.advance(500 * MS, step_ns=100 * MS)
    before, driver.now_ns = sum(driver.controller.curve.observed_s), driver.now_ns + 30 * S
    driver.send(TimerFired(1, {"cpu_busy": 1.0}))
    assert sum(driver.controller.curve.observed_s) - before <= 0.11
    assert SetHealth(False, True) not in driver.actions_of(SetHealth)
