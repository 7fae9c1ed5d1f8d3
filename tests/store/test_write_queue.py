"""Writes in groups: order, limits, stalls and failures."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

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


class WriteGroupsTest(unittest.TestCase):
    """Groups of operations and their commits."""

    def setUp(self):
        self.queue = WriteQueue(0.001, 0.25)
        self.queue.is_open = True

    def begin(self, n, now=0.0):
        self.queue.add(now, PutIntent(f"r{n}", b"k%d" % n, intent(n)))

    def test_one_group_at_a_time_and_the_next_gathers_meanwhile(self):
        self.begin(1)
        self.assertIsNone(self.queue.next_group(0.0005))
        self.assertEqual([op.request_id for op in self.queue.next_group(0.001)], ["r1"])
        self.begin(2, 0.002)
        self.assertIsNone(self.queue.next_group(0.1))
        self.assertEqual(self.queue.committed(), ["r1"])
        self.assertEqual(len(self.queue.next_group(0.1)), 1)

    def test_operations_nobody_waits_for_join_a_group_or_follow_a_little_later(self):
        self.queue.add(0.0, DeleteIntent(b"k9"))
        self.assertIsNone(self.queue.next_group(0.009))
        self.begin(1, 0.009)
        self.assertEqual([type(op) for op in self.queue.next_group(0.01)], [DeleteIntent, PutIntent])
        self.queue.committed()
        self.queue.add(1.0, DeleteIntent(b"k9"))
        self.assertEqual(self.queue.next_event_at(1.0), 1.01)
        self.assertEqual(len(self.queue.next_group(1.01)), 1)

    def test_a_group_comes_to_one_change_for_each_filing(self):
        one, two, end = intent(1), intent(2), ResultRecord("OK", True, b"x")
        learned = LearnedStateRecord(Timestamp(1), {}, 1)
        changes = coalesce(
            [
                DeleteIntent(b"a"),
                PutIntent("r1", b"a", one),
                PutResult(b"a", end),
                PutResult(b"b", end),
                PutIntent("r2", b"c", two),
                DeleteIntent(b"c"),
                PutNamed("x", learned),
            ]
        )
        self.assertEqual(
            changes.by_key,
            {b"a": KeyChange(True, one, end), b"b": KeyChange(False, None, end), b"c": KeyChange(True)},
        )
        self.assertEqual(changes.named, {"x": learned})

    def test_a_long_queue_goes_at_once_and_in_bounded_groups(self):
        for n in range(MAX_GROUP_OPERATIONS + 1):
            self.begin(n)
        self.assertEqual(len(self.queue.next_group(0.0)), MAX_GROUP_OPERATIONS)
        self.queue.committed()
        self.assertEqual(len(self.queue.next_group(1.0)), 1)

    def test_a_stall_rejects_what_waits_and_deletes_it_and_nothing_starts_late(self):
        self.begin(1)
        self.queue.next_group(0.001)
        self.begin(2, 0.01)
        self.assertEqual(self.queue.next_event_at(0.01), 0.25)
        self.assertEqual(self.queue.take_timed_out(0.25), ["r1"])
        self.assertEqual(self.queue.rejection_reason(0.2), None)
        self.assertIsNotNone(self.queue.rejection_reason(0.252))
        self.assertEqual(self.queue.take_timed_out(0.26), ["r2"])
        self.assertEqual(self.queue.committed(), [])
        self.assertEqual(self.queue.next_group(5.0), [DeleteIntent(b"k1")])
        self.queue.committed()
        self.assertIsNone(self.queue.rejection_reason(5.1))

    def test_an_error_refuses_filings_keeps_the_rest_and_is_tried_again_ever_more_seldom(self):
        self.queue.add(0, PutResult(b"k0", ResultRecord("OK", True, b"x")))
        self.begin(1)
        self.queue.next_group(0.001)
        self.begin(2, 0.002)
        self.assertEqual(self.queue.failed(0.01, FailureKind.FULL), ["r1", "r2"])
        self.assertIn("room", self.queue.rejection_reason(0.02))
        self.assertIsNone(self.queue.next_group(0.01 + FIRST_RETRY_DELAY_S - 0.001))
        self.assertEqual([type(op) for op in self.queue.next_group(0.01 + FIRST_RETRY_DELAY_S)], [PutResult])
        self.queue.failed(1.0, FailureKind.FULL)
        self.assertEqual(self.queue.next_event_at(1.0), 1.0 + 2 * FIRST_RETRY_DELAY_S)
        self.assertEqual(len(self.queue.next_group(2.0)), 1)
        self.queue.committed()
        self.assertIsNone(self.queue.rejection_reason(2.0))
        self.assertEqual(self.queue.result_bytes, 0)

    def test_a_failed_sync_wants_all_written_anew_and_a_disk_that_is_full_does_not(self):
        for error, wants in (
            (FailureKind.SYNC, True),
            (FailureKind.IO, True),
            (FailureKind.DAMAGED, True),
            (FailureKind.FULL, False),
            (FailureKind.READ_ONLY, False),
        ):
            self.setUp()
            self.begin(1)
            self.queue.next_group(0.001)
            self.queue.failed(0.01, error)
            self.assertEqual(self.queue.rebuild_is_due(1.0), wants)
            if wants:
                self.assertIsNone(self.queue.next_group(1.0))
                self.queue.rebuild_started(1.0)
                self.queue.rebuilt()
            self.assertEqual(self.queue.next_group(1.0), None if wants else [])

    def test_what_is_dropped_before_it_was_written_is_not_written(self):
        self.begin(1)
        self.queue.add(0, PutResult(b"k1", ResultRecord("OK", True, b"xyz")))
        self.queue.add(0, PutNamed("learned", LearnedStateRecord(Timestamp(1), {}, 1)))
        self.queue.add(0, DeleteIntent(b"k1"))
        self.assertEqual([type(op) for op in self.queue.next_group(1)], [PutNamed, DeleteIntent])
        self.assertEqual((self.queue.result_bytes, self.queue.attempts), (0, {}))

    def test_results_past_the_bound_are_let_go_and_filings_are_not(self):
        big = ResultRecord("OK", True, bytes(MAX_QUEUED_RESULT_BYTES // 2 - 4))
        self.assertEqual(
            [self.queue.add(0, PutResult(b"k%d" % n, big)) for n in range(3)], [True, True, False]
        )
        self.begin(1)
        self.assertEqual(
            (self.queue.results_not_stored, self.queue.queued_result(b"k0"), self.queue.queued_result(b"k2")),
            (1, big, None),
        )


class Any(RuleBasedStateMachine):
    """Whatever comes in whatever order: each attempt is resolved once, and runs only after its commit."""

    def __init__(self):
        super().__init__()
        self.queue, self.now, self.n = WriteQueue(0.001, 0.25), 0.0, 0
        self.queue.is_open = True
        self.open, self.resolved, self.group = set(), {}, None

    def resolve(self, ids, what):
        for rid in ids:
            assert rid in self.open and rid not in self.resolved
            self.resolved[rid] = what
            self.open.discard(rid)

    @rule(again=st.integers(0, 3))
    def begin(self, again):
        if self.queue.rejection_reason(self.now):
            return
        self.n += 1
        self.open.add(f"r{self.n}")
        self.queue.add(
            self.now, PutIntent(f"r{self.n}", b"k%d" % (self.n - min(again, self.n)), intent(self.n))
        )

    @rule(n=st.integers(0, 9), size=st.integers(0, 99))
    def end(self, n, size):
        self.queue.add(self.now, PutResult(b"old%d" % n, ResultRecord("OK", True, bytes(size))))

    @rule(n=st.integers(0, 9))
    def drop(self, n):
        self.queue.add(self.now, DeleteIntent(b"old%d" % n))

    @rule(seconds=st.sampled_from((0.0005, 0.01, 0.3, 2.0)))
    def wait(self, seconds):
        self.now += seconds
        late = self.queue.take_timed_out(self.now)
        self.resolve(late, "refused")
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
        ids = {op.request_id for op in self.group if isinstance(op, PutIntent)}
        self.group = None
        if self.queue.rebuild_needed:
            self.queue.rebuilt()
            return
        intent = self.queue.committed()
        assert set(intent) <= ids
        self.resolve(intent, "begun")

    @precondition(lambda self: self.group is not None)
    @rule(error=st.sampled_from(FailureKind))
    def fail(self, error):
        self.group = None
        self.resolve(self.queue.failed(self.now, error), "refused")

    @invariant()
    def sums(self):
        held = sum(
            len(op.record.body) + len(op.record.detail)
            for op in (*self.queue.waiting, *(self.queue.committing or ()))
            if isinstance(op, PutResult)
        )
        assert self.queue.result_bytes == held
        assert set(self.queue.attempts) == self.open
        assert len(self.queue.waiting) == len(self.queue.enqueued_at)
        if self.open:
            assert self.queue.next_event_at(self.now) <= self.now + 0.25


TestAny = Any.TestCase
