"""Starts and answers of a controller during a graceful shutdown."""

from ochrehoist.admission.actions import (
    FailRequest,
    RejectRequest,
    SetHealth,
    StartRun,
)
from ochrehoist.admission.events import (
    DrainStarted,
)
from tests.admission.controller_driver import MS, Driver, S


def test_requests_after_the_drain_grace_never_run_and_all_are_answered_before_the_end():
    driver = Driver()
    early = [driver.request()[0] for _ in range(8)]
    driver.send(DrainStarted(4 * S))
    driver.advance(2 * S + 100 * MS)
    late, _ = driver.request(remaining_ns=30 * S)
    late_arrival_before_grace, _ = driver.request(remaining_ns=30 * S, unread_ns=1500 * MS)
    driver.advance(1900 * MS)
    assert late in driver.ids(RejectRequest) and late not in driver.ids(StartRun)
    for job_id in [*early, late_arrival_before_grace]:
        assert len(driver.times_of(FailRequest, job_id) + driver.times_of(RejectRequest, job_id)) == 1
    assert SetHealth(False, True) in driver.actions_of(SetHealth)


def test_a_request_with_a_deadline_after_the_end_of_the_process_is_answered_before_it():
    driver = Driver()
    job_id, _ = driver.request(remaining_ns=30 * S)
    driver.send(DrainStarted(3 * S))
    driver.advance(3 * S)
    assert driver.ids(FailRequest) == [job_id]


def test_an_idle_instance_runs_requests_that_arrived_within_the_drain_grace_and_no_later_ones():
    driver = Driver()
    driver.send(DrainStarted(5 * S))
    driver.advance(2100 * MS)
    in_time, _ = driver.request(remaining_ns=30 * S, unread_ns=150 * MS)
    late, _ = driver.request(remaining_ns=30 * S, unread_ns=50 * MS)
    driver.advance(1 * S)
    assert driver.ids(StartRun) == [in_time] and driver.ids(RejectRequest) == [late]
