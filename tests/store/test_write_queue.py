"""Tests of the write queue: grouping, limits, stalls and failures."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ochrehoist.core.request import RequestReference
from ochrehoist.store.errors import FailureKind
from ochrehoist.store.operations import DeleteIntent, KeyChange, PutIntent, PutNamed, PutResult, coalesce
from ochrehoist.store.records import (
    LearnedStateRecord,
    ResultRecord,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.store.write_queue import (
    FIRST_RETRY_DELAY_S,
    MAX_GROUP_OPERATIONS,
    MAX_QUEUED_RESULT_BYTES,
    WriteQueue,
)
from tests.store.store_values import intent


def reference(number):
    """Names the request of the n-th attempt."""
    return RequestReference(f"r{number}", number)


class WriteGroupsTest(unittest.TestCase):
    """Groups of operations and the outcomes of their commits."""

    def setUp(self):
        self.queue = WriteQueue(0.001, 0.25)
        self.queue.is_open = True

    def add_intent(self, number, now=0.0):
        self.queue.add(now, PutIntent(reference(number), b"k%d" % number, intent(number)))

    def test_one_group_is_committed_at_a_time_while_operations_queue_for_the_next(self):
        self.add_intent(1)
        self.assertIsNone(self.queue.next_group(0.0005))
        self.assertEqual([op.request for op in self.queue.next_group(0.001)], [reference(1)])
        self.add_intent(2, 0.002)
        self.assertIsNone(self.queue.next_group(0.1))
        self.assertEqual(self.queue.committed(), [reference(1)])
        self.assertEqual(len(self.queue.next_group(0.1)), 1)

    def test_the_commit_of_a_timed_out_attempt_does_not_confirm_a_later_one_of_its_id(self):
        # Guards against a filing that runs twice after a crash: it began before its own intent was on disk.
        self.queue.add(0.0, PutIntent(RequestReference("same", 1), b"k1", intent(1)))
        self.assertEqual(len(self.queue.next_group(0.1)), 1)
        self.assertEqual(self.queue.take_timed_out(0.26), [RequestReference("same", 1)])
        self.queue.add(0.27, PutIntent(RequestReference("same", 2), b"k2", intent(2)))
        self.assertEqual(self.queue.committed(), [])
        self.queue.next_group(0.5)
        self.assertEqual(self.queue.committed(), [RequestReference("same", 2)])

    def test_operations_without_a_waiting_attempt_join_a_group_or_are_committed_after_a_delay(self):
        self.queue.add(0.0, DeleteIntent(b"k9"))
        self.assertIsNone(self.queue.next_group(0.009))
        self.add_intent(1, 0.009)
        self.assertEqual([type(op) for op in self.queue.next_group(0.01)], [DeleteIntent, PutIntent])
        self.queue.committed()
        self.queue.add(1.0, DeleteIntent(b"k9"))
        self.assertEqual(self.queue.next_event_at(1.0), 1.01)
        self.assertEqual(len(self.queue.next_group(1.01)), 1)

    def test_a_group_is_reduced_to_one_change_per_key(self):
        first_intent, second_intent, result = intent(1), intent(2), ResultRecord("OK", True, b"x")
        learned = LearnedStateRecord(Timestamp(1), {}, 1)
        changes = coalesce(
            [
                DeleteIntent(b"a"),
                PutIntent(reference(1), b"a", first_intent),
                PutResult(b"a", result),
                PutResult(b"b", result),
                PutIntent(reference(2), b"c", second_intent),
                DeleteIntent(b"c"),
                PutNamed("x", learned),
            ]
        )
        self.assertEqual(
            changes.by_key,
            {
                b"a": KeyChange(True, first_intent, result),
                b"b": KeyChange(False, None, result),
                b"c": KeyChange(True),
            },
        )
        self.assertEqual(changes.named, {"x": learned})

    def test_a_full_group_is_committed_at_once_and_groups_are_limited(self):
        for n in range(MAX_GROUP_OPERATIONS + 1):
            self.add_intent(n)
        self.assertEqual(len(self.queue.next_group(0.0)), MAX_GROUP_OPERATIONS)
        self.queue.committed()
        self.assertEqual(len(self.queue.next_group(1.0)), 1)

    def test_a_stall_rejects_waiting_attempts_and_deletes_their_intents(self):
        self.add_intent(1)
        self.queue.next_group(0.001)
        self.add_intent(2, 0.01)
        self.assertEqual(self.queue.next_event_at(0.01), 0.25)
        self.assertEqual(self.queue.take_timed_out(0.25), [reference(1)])
        self.assertEqual(self.queue.rejection_reason(0.2), None)
        self.assertIsNotNone(self.queue.rejection_reason(0.252))
        self.assertEqual(self.queue.take_timed_out(0.26), [reference(2)])
        self.assertEqual(self.queue.committed(), [])
        self.assertEqual(self.queue.next_group(5.0), [DeleteIntent(b"k1")])
        self.queue.committed()
        self.assertIsNone(self.queue.rejection_reason(5.1))

    def test_a_failure_rejects_attempts_keeps_other_operations_and_retries_with_backoff(self):
        self.queue.add(0, PutResult(b"k0", ResultRecord("OK", True, b"x")))
        self.add_intent(1)
        self.queue.next_group(0.001)
        self.add_intent(2, 0.002)
        self.assertEqual(self.queue.failed(0.01, FailureKind.FULL), [reference(1), reference(2)])
        self.assertIn("room", self.queue.rejection_reason(0.02))
        self.assertIsNone(self.queue.next_group(0.01 + FIRST_RETRY_DELAY_S - 0.001))
        self.assertEqual([type(op) for op in self.queue.next_group(0.01 + FIRST_RETRY_DELAY_S)], [PutResult])
        self.queue.failed(1.0, FailureKind.FULL)
        self.assertEqual(self.queue.next_event_at(1.0), 1.0 + 2 * FIRST_RETRY_DELAY_S)
        self.assertEqual(len(self.queue.next_group(2.0)), 1)
        self.queue.committed()
        self.assertIsNone(self.queue.rejection_reason(2.0))
        self.assertEqual(self.queue.result_bytes, 0)

    def test_failures_that_make_stored_data_doubtful_need_a_rebuild_and_others_do_not(self):
        for failure, needs_rebuild in (
            (FailureKind.SYNC, True),
            (FailureKind.IO, True),
            (FailureKind.DAMAGED, True),
            (FailureKind.FULL, False),
            (FailureKind.READ_ONLY, False),
        ):
            self.setUp()
            self.add_intent(1)
            self.queue.next_group(0.001)
            self.queue.failed(0.01, failure)
            self.assertEqual(self.queue.rebuild_is_due(1.0), needs_rebuild)
            if needs_rebuild:
                self.assertIsNone(self.queue.next_group(1.0))
                self.queue.rebuild_started(1.0)
                self.queue.rebuilt()
            self.assertEqual(self.queue.next_group(1.0), None if needs_rebuild else [])

    def test_operations_of_a_key_that_is_deleted_before_their_commit_are_not_written(self):
        self.add_intent(1)
        self.queue.add(0, PutResult(b"k1", ResultRecord("OK", True, b"xyz")))
        self.queue.add(0, PutNamed("learned", LearnedStateRecord(Timestamp(1), {}, 1)))
        self.queue.add(0, DeleteIntent(b"k1"))
        self.assertEqual([type(op) for op in self.queue.next_group(1)], [PutNamed, DeleteIntent])
        self.assertEqual((self.queue.result_bytes, self.queue.attempts), (0, {}))

    def test_results_beyond_the_limit_are_discarded_and_intents_are_not(self):
        large_result = ResultRecord("OK", True, bytes(MAX_QUEUED_RESULT_BYTES // 2 - 4))
        self.assertEqual(
            [self.queue.add(0, PutResult(b"k%d" % n, large_result)) for n in range(3)], [True, True, False]
        )
        self.add_intent(1)
        self.assertEqual(
            (self.queue.results_not_stored, self.queue.queued_result(b"k0"), self.queue.queued_result(b"k2")),
            (1, large_result, None),
        )


class WriteQueueStateMachine(RuleBasedStateMachine):
    """Random sequences of events: each attempt is resolved once, and runs only after its commit."""

    def __init__(self):
        super().__init__()
        self.queue, self.now, self.attempt_count = WriteQueue(0.001, 0.25), 0.0, 0
        self.queue.is_open = True
        self.waiting, self.resolved, self.group = set(), {}, None

    def resolve(self, requests, outcome):
        for request in requests:
            assert request in self.waiting and request not in self.resolved
            self.resolved[request] = outcome
            self.waiting.discard(request)

    @rule(key_distance=st.integers(0, 3))
    def add_intent(self, key_distance):
        """Adds an intent under a new key, or under the key of one of the latest attempts."""
        if self.queue.rejection_reason(self.now):
            return
        self.attempt_count += 1
        self.waiting.add(reference(self.attempt_count))
        self.queue.add(
            self.now,
            PutIntent(
                reference(self.attempt_count),
                b"k%d" % (self.attempt_count - min(key_distance, self.attempt_count)),
                intent(self.attempt_count),
            ),
        )

    @rule(number=st.integers(0, 9), size=st.integers(0, 99))
    def add_result(self, number, size):
        self.queue.add(self.now, PutResult(b"old%d" % number, ResultRecord("OK", True, bytes(size))))

    @rule(number=st.integers(0, 9))
    def delete(self, number):
        self.queue.add(self.now, DeleteIntent(b"old%d" % number))

    @rule(duration_s=st.sampled_from((0.0005, 0.01, 0.3, 2.0)))
    def wait(self, duration_s):
        self.now += duration_s
        timed_out = self.queue.take_timed_out(self.now)
        self.resolve(timed_out, "refused")
        if self.queue.rebuild_is_due(self.now):
            self.queue.rebuild_started(self.now)
            self.group = []
        group = self.queue.next_group(self.now)
        if group is not None:
            assert self.group is None
            self.group = group

    @precondition(lambda self: self.group is not None)
    @rule()
    def commit(self):
        group_ids = {op.request for op in self.group if isinstance(op, PutIntent)}
        self.group = None
        if self.queue.rebuild_needed:
            self.queue.rebuilt()
            return
        ready_ids = self.queue.committed()
        assert set(ready_ids) <= group_ids
        self.resolve(ready_ids, "begun")

    @precondition(lambda self: self.group is not None)
    @rule(failure=st.sampled_from(FailureKind))
    def fail(self, failure):
        self.group = None
        self.resolve(self.queue.failed(self.now, failure), "refused")

    @invariant()
    def counts_are_consistent(self):
        queued_bytes = sum(
            len(op.record.body) + len(op.record.detail)
            for op in (*self.queue.waiting, *(self.queue.committing or ()))
            if isinstance(op, PutResult)
        )
        assert self.queue.result_bytes == queued_bytes
        assert set(self.queue.attempts) == self.waiting
        assert len(self.queue.waiting) == len(self.queue.enqueued_at)
        if self.waiting:
            assert self.queue.next_event_at(self.now) <= self.now + 0.25


TestWriteQueue = WriteQueueStateMachine.TestCase
