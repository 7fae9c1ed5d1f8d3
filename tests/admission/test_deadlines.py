"""Every request is answered once, by its deadline."""

from ochrehoist.admission.actions import (
    CancelRun,
    FailRequest,
    RejectRequest,
    StartRun,
)
from ochrehoist.admission.events import (
    DownstreamCallEnded,
    DownstreamCallNeeded,
    Outcome,
    RequestAbandoned,
)
from ochrehoist.admission.settings import (
    Preemption,
)
from tests.admission.controller_driver import MS, WRITE, Driver, S


def test_queued_and_running_requests_are_answered_by_their_deadline_while_runs_hang():
    driver = Driver()
    ids = [driver.request(class_index=n % 3)[0] for n in range(12)]
    driver.advance(3 * S + 100 * MS)
    for job_id in ids:
        answers = driver.times_of(FailRequest, job_id) + driver.times_of(RejectRequest, job_id)
        assert len(answers) == 1
        assert answers[0] <= 1000 * S + 3 * S + 100 * MS


def test_without_a_propagated_deadline_the_class_deadline_counts_from_the_arrival():
    driver = Driver(propagates_deadline=False)
    job_id, actions = driver.request(remaining_ns=None, unread_ns=1 * S)
    assert StartRun(job_id) in actions
    driver.advance(5 * S)
    assert driver.times_of(FailRequest, job_id)[0] <= 1000 * S + 4 * S + 100 * MS


def test_overdue_runs_are_cancelled_where_the_site_allows_it():
    driver = Driver(preemption=Preemption.DROP)
    job_id, _ = driver.request()
    driver.advance(3 * S)
    assert driver.ids(FailRequest) == [job_id] and driver.ids(CancelRun) == [job_id]


def test_a_request_that_has_ended_is_not_answered_again():
    driver = Driver()
    job_id, _ = driver.request()
    driver.complete(job_id)
    driver.complete(job_id)
    driver.send(RequestAbandoned(job_id))
    driver.send(DownstreamCallNeeded(job_id))
    driver.send(DownstreamCallEnded(job_id, Outcome.OK, 1))
    driver.advance(4 * S)
    assert not driver.ids(FailRequest) and not driver.ids(RejectRequest)


def test_an_abandoned_request_leaves_the_queue_and_is_not_answered():
    driver = Driver()
    ids = [driver.request()[0] for _ in range(12)]
    queued = [job_id for job_id in ids if job_id not in driver.ids(StartRun) + driver.ids(RejectRequest)]
    assert queued
    driver.send(RequestAbandoned(queued[0]))
    driver.advance(4 * S)
    assert queued[0] not in driver.ids(FailRequest) + driver.ids(RejectRequest) + driver.ids(StartRun)


def test_a_request_due_before_the_next_tick_is_answered_when_it_is_read():
    driver = Driver()
    first, _ = driver.request(class_index=WRITE)
    driver.request(remaining_ns=60 * S)  # the instance is not idle
    due_soon, _ = driver.request(remaining_ns=50 * MS)
    duplicate, _ = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True, remaining_ns=50 * MS)
    assert driver.times_of(RejectRequest, due_soon) + driver.times_of(StartRun, due_soon) == [
        driver.now_ns
    ] and driver.times_of(FailRequest, duplicate) == [driver.now_ns]
    driver = Driver()
    first_on_idle_instance, _ = driver.request(remaining_ns=50 * MS)
    assert driver.times_of(RejectRequest, first_on_idle_instance) == [driver.now_ns]
