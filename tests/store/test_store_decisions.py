"""What the store decides without a disk: expiry, records, damage assessment, and the write queue."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ochrehoist.config.tables import LossPolicy
from ochrehoist.store import records
from ochrehoist.store.damage import FolderInspection, StoreCondition, assess_damage, remaining_hold_ns
from ochrehoist.store.errors import FailureKind
from ochrehoist.store.expiry import expire_learned_state
from ochrehoist.store.operations import DeleteIntent, KeyChange, PutIntent, PutNamed, PutResult, coalesce
from ochrehoist.store.records import (
    CommitSummary,
    CorruptRecordError,
    DataLossRecord,
    IntentRecord,
    LearnedStateRecord,
    ResultRecord,
    UnsupportedFormatError,
    decode_record,
    encode_key,
    encode_record,
)
from ochrehoist.store.timestamps import Timestamp, elapsed_ns, remaining_window_ns
from ochrehoist.store.write_queue import (
    FIRST_RETRY_DELAY_S,
    MAX_GROUP_OPERATIONS,
    MAX_QUEUED_RESULT_BYTES,
    WriteQueue,
)
from ochrehoist.units import NS_PER_S

DAY, HOUR = 86_400 * NS_PER_S, 3_600 * NS_PER_S
TOKEN = ("acme", "filing", "k1")


def intent(n=1, **more):
    values = {
        "idempotency_key": ("acme", "filing", f"k{n}"),
        "request_id": f"r{n}",
        "window_ns": 20 * NS_PER_S,
        "remaining_ns": 20 * NS_PER_S,
        "recorded_at": Timestamp(DAY, "b", HOUR),
    } | more
    return IntentRecord(**values)


class Expiry(unittest.TestCase):
    def test_within_one_boot_setting_the_clock_changes_nothing(self):
        then = Timestamp(100 * DAY, "boot", HOUR)
        for unix in (100 * DAY - HOUR, 101 * DAY):
            now = Timestamp(unix, "boot", HOUR + 5 * NS_PER_S)
            self.assertEqual(remaining_window_ns(then, 20 * NS_PER_S, 20 * NS_PER_S, now), 15 * NS_PER_S)

    def test_over_a_boot_the_unix_clock_counts_and_a_step_back_gives_the_whole_window(self):
        then = Timestamp(100 * DAY, "before", HOUR)
        for passed, left in (
            (5 * NS_PER_S, 10 * NS_PER_S),
            (15 * NS_PER_S, 0),
            (7 * DAY, 0),
            (-HOUR, 20 * NS_PER_S),
        ):
            now = Timestamp(then.unix_ns + passed, "after", 3 * NS_PER_S)
            self.assertEqual(remaining_window_ns(then, 15 * NS_PER_S, 20 * NS_PER_S, now), left)

    def test_the_last_moment_of_a_window_still_counts(self):
        then = Timestamp(DAY, "b", 0)
        self.assertEqual(
            remaining_window_ns(then, 13_584_000_000, 13_584_000_000, Timestamp(DAY, "b", 13_583_999_999)), 1
        )
        self.assertEqual(
            remaining_window_ns(then, 13_584_000_000, 13_584_000_000, Timestamp(DAY, "b", 13_584_000_000)), 0
        )

    @given(st.integers(0, DAY), st.integers(0, DAY), st.integers(-DAY, DAY), st.booleans())
    def test_never_more_than_the_window_nor_less_than_nothing(self, left, window, passed, same):
        left = min(left, window)
        now = Timestamp(10 * DAY + passed, "a" if same else "b", 2 * DAY + passed)
        got = remaining_window_ns(Timestamp(10 * DAY, "a", 2 * DAY), left, window, now)
        self.assertTrue(0 <= got <= window)
        self.assertEqual(got == window or got <= left, True)

    def test_what_was_learned_fades_and_what_was_known_of_callers_expires(self):
        learned = {
            "took": {"read": [5.0, 8.0]},
            "means": {"unread": [1.0, 4.0]},
            "ran": {"acme": 2.0},
            "asked": [["read", 8.0]],
            "served": [["read", 0.1]],
            "curve": [2, 8, 1.0, [4.0], [6.0]],
            "floor": 3,
            "sent": 9.0,
            "heard": [[1, 0], [2, 9 * NS_PER_S]],
            "left": [[1, [3]], [2, [4]]],
            "patience": [[1, 5, 6 * NS_PER_S], [2, 5, NS_PER_S]],
        }
        then = Timestamp(DAY, "b", DAY)
        soon = expire_learned_state(learned, then, Timestamp(DAY, "b", DAY + 2 * NS_PER_S), HOUR, False)
        self.assertEqual(soon["heard"], [[1, 2 * NS_PER_S]])
        self.assertEqual(soon["patience"], [[1, 5, 4 * NS_PER_S]])
        later = expire_learned_state(learned, then, Timestamp(DAY, "b", DAY + HOUR), HOUR, False)
        self.assertEqual(later["took"], {"read": [5.0, 3.0]})  # of what may be cold now: a few results
        self.assertEqual(later["curve"], [2, 8, 1.0, [2.0], [3.0]])
        self.assertEqual((later["ran"], later["sent"]), ({"acme": 1.0}, 0))
        self.assertEqual((later["heard"], later["patience"], later["left"]), ([], [], []))
        self.assertEqual(
            expire_learned_state(learned, then, Timestamp(DAY, "b", DAY), HOUR, True)["curve"][0], 0
        )
        self.assertIsNone(elapsed_ns(then, Timestamp(DAY - 1, "c", 0)))


class Records(unittest.TestCase):
    ALL = (
        (intent(), encode_key(TOKEN)),
        (ResultRecord("OK", True, b"body", b'{"a": 1}', 3), b"k"),
        (LearnedStateRecord(Timestamp(1), {"a": [1]}, 1), b"learned"),
        (DataLossRecord(Timestamp(1), 2, "why"), b"loss"),
        (CommitSummary(1, 2, 2**64 - 1), b"census"),
    )

    def test_what_was_packed_is_unpacked(self):
        for record, key in self.ALL:
            self.assertEqual(decode_record(key, encode_record(key, record), type(record)), record)

    @given(st.sampled_from(ALL), st.data())
    def test_any_change_to_any_byte_is_seen(self, which, data):
        record, key = which
        packed = bytearray(encode_record(key, record))
        at = data.draw(st.integers(0, len(packed) - 1))
        packed[at] ^= 1 << data.draw(st.integers(0, 7))
        with self.assertRaises((CorruptRecordError, UnsupportedFormatError)):
            decode_record(key, bytes(packed), type(record))
        cut = data.draw(st.integers(0, len(packed) - 1))
        with self.assertRaises(CorruptRecordError):
            decode_record(key, encode_record(key, record)[:cut], type(record))

    def test_a_record_under_another_key_or_of_another_kind_is_damaged(self):
        record, key = self.ALL[0]
        with self.assertRaises(CorruptRecordError):
            decode_record(key + b"x", encode_record(key, record), IntentRecord)
        with self.assertRaises(CorruptRecordError):
            decode_record(key, encode_record(key, CommitSummary()), IntentRecord)

    def test_one_of_version_1_is_made_into_one_of_now(self):
        old = msgspec.msgpack.encode([[1, "b", 2], {"a": 1}])
        data = bytes((1,)) + records.checksum(b"learned", b"\1" + old).to_bytes(8, "big") + old
        self.assertEqual(
            decode_record(b"learned", data, LearnedStateRecord),
            LearnedStateRecord(Timestamp(1, "b", 2), {"a": 1}, 1),
        )

    def test_one_of_a_newer_version_is_told_apart(self):
        record, key = self.ALL[0]
        with self.assertRaises(UnsupportedFormatError):
            decode_record(key, encode_record(key, record, records.FORMAT_VERSION + 1), IntentRecord)

    @given(st.binary(max_size=60))
    def test_no_bytes_raise_anything_else(self, data):
        for kind in (IntentRecord, ResultRecord, CommitSummary):
            with self.assertRaises((CorruptRecordError, UnsupportedFormatError)):
                decode_record(b"k", data, kind)


class DamageAssessments(unittest.TestCase):
    def test_each_case(self):
        summary = CommitSummary(7, 2, 5)
        sound = {
            "has_marker": True,
            "has_store": True,
            "stored_summary": summary,
            "actual_summary": summary,
            "last_commit_number": 7,
        }
        for changes, case, aside in (
            ({}, StoreCondition.SOUND, False),
            ({"last_commit_number": 6}, StoreCondition.SOUND, False),  # not synced: it may lag
            ({"last_commit_number": None, "has_marker": False}, StoreCondition.SOUND, False),
            ({"has_marker": False, "has_store": False}, StoreCondition.FIRST_START, False),
            ({"has_store": False}, StoreCondition.LOST, False),
            ({"last_commit_number": 8}, StoreCondition.LOST, True),
            ({"actual_summary": CommitSummary(7, 1, 5)}, StoreCondition.LOST, True),
            ({"corrupt_records": 1}, StoreCondition.LOST, True),
            ({"stored_summary": None}, StoreCondition.LOST, True),
            ({"read_error": "malformed"}, StoreCondition.LOST, True),
            ({"newer_store": "state-9.db"}, StoreCondition.LOST, False),
            (
                {"newer_store": "state-9.db", "has_store": False, "has_marker": False},
                StoreCondition.LOST,
                False,
            ),
        ):
            with self.subTest(changes):
                assessment = assess_damage(FolderInspection(**sound | changes))
                self.assertEqual((assessment.condition, assessment.must_set_aside), (case, aside))
                self.assertEqual(bool(assessment.reasons), case is StoreCondition.LOST)

    def test_a_hold_is_not_shortened_by_restarts_and_can_be_waived(self):
        loss = DataLossRecord(Timestamp(DAY, "b", HOUR), 20 * NS_PER_S, "gone")
        now = Timestamp(DAY, "b", HOUR + 5 * NS_PER_S)
        self.assertEqual(remaining_hold_ns(loss, LossPolicy.HOLD, now), 15 * NS_PER_S)
        self.assertEqual(remaining_hold_ns(loss, LossPolicy.SERVE, now), 0)
        self.assertEqual(remaining_hold_ns(None, LossPolicy.HOLD, now), 0)


class Groups(unittest.TestCase):
    def setUp(self):
        self.queue = WriteQueue(0.001, 0.25)
        self.queue.open = True

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

    def test_what_nobody_waits_for_rides_along_or_goes_a_little_later(self):
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

    def test_a_stall_refuses_what_waits_and_takes_it_out_again_and_nothing_is_begun_late(self):
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
        self.queue.open = True
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
            return self.queue.rebuilt()
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


class Json(unittest.TestCase):
    def test_keys_tell_tenants_apart_that_have_none(self):
        self.assertNotEqual(encode_key((None, "a", "b")), encode_key(("", "a", "b")))
        self.assertEqual(msgspec.msgpack.decode(encode_key(TOKEN)), list(TOKEN))


if __name__ == "__main__":
    unittest.main()
