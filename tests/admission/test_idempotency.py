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
    keep = next(a for a in actions if isinstance(a, RetainKey))
    assert actions.index(keep) < actions.index(StartRun(job_id))
    assert 9600 * MS <= keep.ttl_ns <= 9700 * MS


def test_a_duplicate_is_attached_to_the_original_queued_running_done_or_failed():
    for ending in (None, Outcome.OK, Outcome.FAILED):
        driver = Driver()
        first, _ = driver.request(class_index=WRITE)
        if ending:
            driver.complete(first, ending)
        again, actions = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True)
        assert AttachDuplicate(again) in actions
        driver.advance(4 * S)
        assert again not in driver.ids(StartRun) + driver.ids(RejectRequest)


def held_write(**changes):
    driver = Driver(**changes)
    for _ in range(9):
        driver.request(class_index=WRITE)
    return driver, next(x for x in driver.controller.queue.jobs)


def test_a_duplicate_of_a_queued_request_waits_and_is_attached_when_it_starts():
    driver, held = held_write()
    again, actions = driver.request(class_index=WRITE, duplicate_of=held, is_retry=True)
    assert not actions
    for job_id in driver.ids(StartRun):
        driver.complete(job_id)
    assert (
        held in driver.ids(StartRun)
        and again in driver.ids(AttachDuplicate)
        and again not in driver.ids(StartRun)
    )


def test_a_duplicate_of_a_queued_request_outlives_it_when_the_first_caller_left():
    # Joined to what was still held, it failed with it, though its own caller went on waiting.
    driver, held = held_write()
    again, _ = driver.request(class_index=WRITE, duplicate_of=held, is_retry=True)
    third, _ = driver.request(class_index=WRITE, duplicate_of=held, is_retry=True)
    driver.send(RequestAbandoned(held))
    for job_id in driver.ids(StartRun):
        driver.complete(job_id)
    assert (
        again in driver.ids(StartRun)
        and third in driver.ids(AttachDuplicate)
        and held not in driver.ids(StartRun)
    )
    kept = [a.id for a in driver.actions_of(RetainKey)]
    assert kept.index(again) > kept.index(held) and held in driver.ids(ReleaseKey)
    driver.advance(4 * S)
    assert not driver.controller.queue.jobs


def test_duplicates_of_a_queued_request_are_answered_at_once_when_it_is_dropped():
    driver, held = held_write()
    again, _ = driver.request(class_index=WRITE, duplicate_of=held, is_retry=True)
    driver.advance(2 * S)
    told = driver.times_of(RejectRequest, held) + driver.times_of(
        RejectRequest, again
    )  # the aim of both is the first try's
    assert len(told) == 2 and told[1] - told[0] <= 25 * MS


def test_a_duplicate_near_the_end_of_the_window_and_read_after_it_is_not_run():
    driver = Driver()
    first, _ = driver.request(class_index=WRITE)
    driver.complete(first)
    driver.advance(10 * S + 500 * MS)
    again, _ = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True, unread_ns=700 * MS)
    assert again in driver.ids(AttachDuplicate) and again not in driver.ids(StartRun)


def test_two_attempts_in_one_batch_that_name_each_other_run_once():
    driver = Driver()
    driver.request(class_index=WRITE, id="a", duplicate_of="b")
    driver.request(class_index=WRITE, id="b", duplicate_of="a", is_retry=True)
    assert driver.ids(StartRun) == ["a"] and driver.ids(AttachDuplicate) == ["b"]


def test_a_duplicate_of_a_rejected_request_may_run():
    driver = Driver()
    first, _actions = driver.request(class_index=WRITE, unread_ns=1990 * MS, remaining_ns=5 * MS)
    if first in driver.ids(StartRun):
        pytest.fail("it could not meet its aim and was started")
    again, _ = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True)
    assert again in driver.ids(StartRun)


def test_without_memory_for_its_key_a_keyed_request_is_not_run():
    driver = Driver(memory_kb=1000.0, key_kb=990.0)
    job_id, _actions = driver.request(class_index=WRITE)
    assert job_id in driver.ids(RejectRequest) and not driver.ids(StartRun) and not driver.ids(RetainKey)


def test_a_duplicate_with_no_memory_to_wait_in_fails_and_is_not_run_or_rejected():
    driver = Driver(memory_kb=1100.0)
    first, _ = driver.request(class_index=WRITE, memory_kb=60.0)
    assert driver.ids(StartRun) == [first]
    again, _ = driver.request(class_index=WRITE, duplicate_of=first, is_retry=True, memory_kb=900.0)
    assert driver.ids(FailRequest) == [again] and again not in driver.ids(AttachDuplicate) + driver.ids(
        StartRun
    ) + driver.ids(RejectRequest)
