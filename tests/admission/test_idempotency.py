"""A request with an idempotency key runs once within its window."""

import pytest

from ochrehoist.admission.actions import (
    AttachDuplicate,
    FailRequest,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    StartRun,
)
from ochrehoist.admission.events import (
    Outcome,
    RequestAbandoned,
)
from tests.admission.controller_driver import MS, WRITE, Driver, S


def test_a_key_is_retained_no_later_than_the_start_for_the_rest_of_its_window():
    driver = Driver()
    job_id, actions = driver.request(class_index=WRITE, unread_ns=400 * MS)
    retain_key = next(action for action in actions if isinstance(action, RetainKey))
    assert actions.index(retain_key) < actions.index(StartRun(job_id))
    assert 9600 * MS <= retain_key.ttl_ns <= 9700 * MS


def test_a_duplicate_is_attached_to_an_original_that_runs_has_completed_or_has_failed():
    for ending in (None, Outcome.OK, Outcome.FAILED):
        driver = Driver()
        first, _ = driver.request(class_index=WRITE)
        if ending:
            driver.complete(first, ending)
        duplicate, actions = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True)
        assert AttachDuplicate(duplicate) in actions
        driver.advance(4 * S)
        assert duplicate not in driver.ids(StartRun) + driver.ids(RejectRequest)


def driver_with_queued_write(**changes):
    driver = Driver(**changes)
    for _ in range(9):
        driver.request(class_index=WRITE)
    return driver, next(job_id for job_id in driver.controller.queue.jobs)


def test_a_duplicate_of_a_queued_request_waits_and_is_attached_when_it_starts():
    driver, queued = driver_with_queued_write()
    duplicate, actions = driver.request(class_index=WRITE, duplicate_of=queued, is_retry=True)
    assert not actions
    for job_id in driver.ids(StartRun):
        driver.complete(job_id)
    assert (
        queued in driver.ids(StartRun)
        and duplicate in driver.ids(AttachDuplicate)
        and duplicate not in driver.ids(StartRun)
    )


def test_a_duplicate_of_a_queued_request_outlives_it_when_the_first_caller_left():
    # A duplicate that was attached to the queued request failed with it, although its own caller was waiting.
    driver, queued = driver_with_queued_write()
    duplicate, _ = driver.request(class_index=WRITE, duplicate_of=queued, is_retry=True)
    second_duplicate, _ = driver.request(class_index=WRITE, duplicate_of=queued, is_retry=True)
    driver.send(RequestAbandoned(queued))
    for job_id in driver.ids(StartRun):
        driver.complete(job_id)
    assert (
        duplicate in driver.ids(StartRun)
        and second_duplicate in driver.ids(AttachDuplicate)
        and queued not in driver.ids(StartRun)
    )
    retained = [action.id for action in driver.actions_of(RetainKey)]
    assert retained.index(duplicate) > retained.index(queued) and queued in driver.ids(ReleaseKey)
    driver.advance(4 * S)
    assert not driver.controller.queue.jobs


def test_duplicates_of_a_queued_request_are_answered_at_once_when_it_is_dropped():
    driver, queued = driver_with_queued_write()
    duplicate, _ = driver.request(class_index=WRITE, duplicate_of=queued, is_retry=True)
    driver.advance(2 * S)
    # The objective of the original applies to the duplicate too.
    rejected_at_ns = driver.times_of(RejectRequest, queued) + driver.times_of(RejectRequest, duplicate)
    assert len(rejected_at_ns) == 2 and rejected_at_ns[1] - rejected_at_ns[0] <= 25 * MS


def test_a_duplicate_that_arrives_within_the_window_and_is_read_after_it_does_not_run():
    driver = Driver()
    first, _ = driver.request(class_index=WRITE)
    driver.complete(first)
    driver.advance(10 * S + 500 * MS)
    duplicate, _ = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True, unread_ns=700 * MS)
    assert duplicate in driver.ids(AttachDuplicate) and duplicate not in driver.ids(StartRun)


def test_two_attempts_that_name_each_other_as_original_run_once():
    driver = Driver()
    driver.request(class_index=WRITE, id="a", duplicate_of="b")
    driver.request(class_index=WRITE, id="b", duplicate_of="a", is_retry=True)
    assert driver.ids(StartRun) == ["a"] and driver.ids(AttachDuplicate) == ["b"]


def test_a_duplicate_of_a_rejected_request_may_run():
    driver = Driver()
    first, _actions = driver.request(class_index=WRITE, unread_ns=1990 * MS, remaining_ns=5 * MS)
    if first in driver.ids(StartRun):
        pytest.fail("a request that could not meet its objective was started")
    duplicate, _ = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True)
    assert duplicate in driver.ids(StartRun)


def test_a_keyed_request_does_not_run_without_memory_for_its_key():
    driver = Driver(memory_kb=1000.0, key_kb=990.0)
    job_id, _actions = driver.request(class_index=WRITE)
    assert job_id in driver.ids(RejectRequest) and not driver.ids(StartRun) and not driver.ids(RetainKey)


def test_a_duplicate_that_does_not_fit_in_memory_fails_and_is_neither_run_nor_rejected():
    driver = Driver(memory_kb=1100.0)
    first, _ = driver.request(class_index=WRITE, memory_kb=60.0)
    assert driver.ids(StartRun) == [first]
    duplicate, _ = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True, memory_kb=900.0)
    assert driver.ids(FailRequest) == [duplicate] and duplicate not in driver.ids(
        AttachDuplicate
    ) + driver.ids(StartRun) + driver.ids(RejectRequest)
