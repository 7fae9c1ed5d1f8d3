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
    d = Driver()
    ids = [d.request(remaining_ns=20 * S)[0] for _ in range(4)]
    d.advance(3 * S)
    assert SetHealth(False, True) in d.actions_of(SetHealth)
    refused, _ = d.request(remaining_ns=20 * S)
    assert refused in d.ids(RejectRequest)
    d.complete(ids[0], duration_ns=3 * S)
    d.advance(50 * MS)
    taken, _ = d.request(remaining_ns=20 * S)
    assert taken in d.ids(StartRun)


def test_a_stall_and_quick_failures_do_not_move_the_service_rate_curve():
    d = Driver()
    before = [d.controller.curve.rate_per_s(n) for n in range(1, 10)]
    for _ in range(20):
        job_id, _ = d.request()
        d.now_ns += 2 * MS
        d.complete(job_id, Outcome.FAILED, duration_ns=2 * MS)
    after = [d.controller.curve.rate_per_s(n) for n in range(1, 10)]
    assert after == pytest.approx(before, rel=0.02)


def test_rejections_alone_never_report_bad_health():
    # Swamped servers that left the list took the whole fleet with them in overload (incident i50d041).
    d = Driver(marks_retries=False)
    d.request(remaining_ns=60 * S)  # one runs, so that what cannot meet its aim is not tried
    for _ in range(60):
        for _ in range(3):
            d.request(remaining_ns=1 * MS)
        d.advance(25 * MS)
    assert len(d.ids(RejectRequest)) == 180 and d.actions_of(SetHealth) == [SetHealth(True, True)]


def test_a_pause_of_the_process_is_neither_time_at_work_nor_a_stall():
    d = Driver()
    for _ in range(4):
        d.request(remaining_ns=20 * S)
    d.advance(500 * MS, step_ns=100 * MS)
    before, d.now_ns = sum(d.controller.curve.observed_s), d.now_ns + 30 * S
    d.send(TimerFired(1, {"cpu_busy": 1.0}))
    assert sum(d.controller.curve.observed_s) - before <= 0.11
    assert SetHealth(False, True) not in d.actions_of(SetHealth)
