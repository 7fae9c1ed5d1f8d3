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
    d = Driver()
    job_id, actions = d.request(class_index=WRITE, unread_ns=400 * MS)
    keep = next(a for a in actions if isinstance(a, RetainKey))
    assert actions.index(keep) < actions.index(StartRun(job_id))
    assert 9600 * MS <= keep.ttl_ns <= 9700 * MS


def test_a_duplicate_is_attached_to_the_original_queued_running_done_or_failed():
    for ending in (None, Outcome.OK, Outcome.FAILED):
        d = Driver()
        first, _ = d.request(class_index=WRITE)
        if ending:
            d.complete(first, ending)
        again, actions = d.request(class_index=WRITE, duplicate_of=first, is_retry=True)
        assert AttachDuplicate(again) in actions
        d.advance(4 * S)
        assert again not in d.ids(StartRun) + d.ids(RejectRequest)


def held_write(**changes):
    d = Driver(**changes)
    for _ in range(9):
        d.request(class_index=WRITE)
    return d, next(x for x in d.controller.queue.jobs)


def test_a_duplicate_of_a_queued_request_waits_and_is_attached_when_it_starts():
    d, held = held_write()
    again, actions = d.request(class_index=WRITE, duplicate_of=held, is_retry=True)
    assert not actions
    for job_id in d.ids(StartRun):
        d.complete(job_id)
    assert held in d.ids(StartRun) and again in d.ids(AttachDuplicate) and again not in d.ids(StartRun)


def test_a_duplicate_of_a_queued_request_outlives_it_when_the_first_caller_left():
    # Joined to what was still held, it failed with it, though its own caller went on waiting.
    d, held = held_write()
    again, _ = d.request(class_index=WRITE, duplicate_of=held, is_retry=True)
    third, _ = d.request(class_index=WRITE, duplicate_of=held, is_retry=True)
    d.send(RequestAbandoned(held))
    for job_id in d.ids(StartRun):
        d.complete(job_id)
    assert again in d.ids(StartRun) and third in d.ids(AttachDuplicate) and held not in d.ids(StartRun)
    kept = [a.id for a in d.actions_of(RetainKey)]
    assert kept.index(again) > kept.index(held) and held in d.ids(ReleaseKey)
    d.advance(4 * S)
    assert not d.controller.queue.jobs


def test_duplicates_of_a_queued_request_are_answered_at_once_when_it_is_dropped():
    d, held = held_write()
    again, _ = d.request(class_index=WRITE, duplicate_of=held, is_retry=True)
    d.advance(2 * S)
    told = d.times_of(RejectRequest, held) + d.times_of(
        RejectRequest, again
    )  # the aim of both is the first try's
    assert len(told) == 2 and told[1] - told[0] <= 25 * MS


def test_a_duplicate_near_the_end_of_the_window_and_read_after_it_is_not_run():
    d = Driver()
    first, _ = d.request(class_index=WRITE)
    d.complete(first)
    d.advance(10 * S + 500 * MS)
    again, _ = d.request(class_index=WRITE, duplicate_of=first, is_retry=True, unread_ns=700 * MS)
    assert again in d.ids(AttachDuplicate) and again not in d.ids(StartRun)


def test_two_attempts_in_one_batch_that_name_each_other_run_once():
    d = Driver()
    d.request(class_index=WRITE, id="a", duplicate_of="b")
    d.request(class_index=WRITE, id="b", duplicate_of="a", is_retry=True)
    assert d.ids(StartRun) == ["a"] and d.ids(AttachDuplicate) == ["b"]


def test_a_duplicate_of_a_rejected_request_may_run():
    d = Driver()
    first, _actions = d.request(class_index=WRITE, unread_ns=1990 * MS, remaining_ns=5 * MS)
    if first in d.ids(StartRun):
        pytest.fail("it could not meet its aim and was started")
    again, _ = d.request(class_index=WRITE, duplicate_of=first, is_retry=True)
    assert again in d.ids(StartRun)


def test_without_memory_for_its_key_a_keyed_request_is_not_run():
    d = Driver(memory_kb=1000.0, key_kb=990.0)
    job_id, _actions = d.request(class_index=WRITE)
    assert job_id in d.ids(RejectRequest) and not d.ids(StartRun) and not d.ids(RetainKey)


def test_a_duplicate_with_no_memory_to_wait_in_fails_and_is_not_run_or_rejected():
    d = Driver(memory_kb=1100.0)
    first, _ = d.request(class_index=WRITE, memory_kb=60.0)
    assert d.ids(StartRun) == [first]
    again, _ = d.request(class_index=WRITE, duplicate_of=first, is_retry=True, memory_kb=900.0)
    assert d.ids(FailRequest) == [again] and again not in d.ids(AttachDuplicate) + d.ids(StartRun) + d.ids(
        RejectRequest
    )
