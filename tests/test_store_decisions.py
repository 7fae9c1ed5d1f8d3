"""What the store decides without a disk: ageing, records, losses, and what waits for the disk."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ochrehoist.store import records
from ochrehoist.store.ageing import SECOND, Stamp, aged, elapsed, remaining
from ochrehoist.store.backlog import (
    FIRST_RETRY,
    MAX_BYTES,
    MAX_GROUP,
    Backlog,
    Begin,
    Change,
    Drop,
    End,
    Error,
    Save,
    net,
)
from ochrehoist.store.loss import Case, Seen, held_for, judge
from ochrehoist.store.records import (
    Begun,
    Census,
    CorruptRecordError,
    Finished,
    Learned,
    Loss,
    UnsupportedFormatError,
    key_of,
    pack,
    unpack,
)

DAY, HOUR = 86_400 * SECOND, 3_600 * SECOND
TOKEN = ("acme", "filing", "k1")


def begun(n=1, **more):
    values = {
        "token": ("acme", "filing", f"k{n}"),
        "id": f"r{n}",
        "window": 20 * SECOND,
        "left": 20 * SECOND,
        "at": Stamp(DAY, "b", HOUR),
    } | more
    return Begun(**values)


class Ageing(unittest.TestCase):
    def test_within_one_boot_setting_the_clock_changes_nothing(self):
        then = Stamp(100 * DAY, "boot", HOUR)
        for unix in (100 * DAY - HOUR, 101 * DAY):
            now = Stamp(unix, "boot", HOUR + 5 * SECOND)
            self.assertEqual(remaining(then, 20 * SECOND, 20 * SECOND, now), 15 * SECOND)

    def test_over_a_boot_the_unix_clock_counts_and_a_step_back_gives_the_whole_window(self):
        then = Stamp(100 * DAY, "before", HOUR)
        for passed, left in ((5 * SECOND, 10 * SECOND), (15 * SECOND, 0), (7 * DAY, 0), (-HOUR, 20 * SECOND)):
            now = Stamp(then.unix + passed, "after", 3 * SECOND)
            self.assertEqual(remaining(then, 15 * SECOND, 20 * SECOND, now), left)

    def test_the_last_moment_of_a_window_still_counts(self):
        then = Stamp(DAY, "b", 0)
        self.assertEqual(remaining(then, 13_584_000_000, 13_584_000_000, Stamp(DAY, "b", 13_583_999_999)), 1)
        self.assertEqual(remaining(then, 13_584_000_000, 13_584_000_000, Stamp(DAY, "b", 13_584_000_000)), 0)

    @given(st.integers(0, DAY), st.integers(0, DAY), st.integers(-DAY, DAY), st.booleans())
    def test_never_more_than_the_window_nor_less_than_nothing(self, left, window, passed, same):
        left = min(left, window)
        now = Stamp(10 * DAY + passed, "a" if same else "b", 2 * DAY + passed)
        got = remaining(Stamp(10 * DAY, "a", 2 * DAY), left, window, now)
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
            "heard": [[1, 0], [2, 9 * SECOND]],
            "left": [[1, [3]], [2, [4]]],
            "patience": [[1, 5, 6 * SECOND], [2, 5, SECOND]],
        }
        then = Stamp(DAY, "b", DAY)
        soon = aged(learned, then, Stamp(DAY, "b", DAY + 2 * SECOND), HOUR, False)
        self.assertEqual(soon["heard"], [[1, 2 * SECOND]])
        self.assertEqual(soon["patience"], [[1, 5, 4 * SECOND]])
        later = aged(learned, then, Stamp(DAY, "b", DAY + HOUR), HOUR, False)
        self.assertEqual(later["took"], {"read": [5.0, 3.0]})  # of what may be cold now: a few results
        self.assertEqual(later["curve"], [2, 8, 1.0, [2.0], [3.0]])
        self.assertEqual((later["ran"], later["sent"]), ({"acme": 1.0}, 0))
        self.assertEqual((later["heard"], later["patience"], later["left"]), ([], [], []))
        self.assertEqual(aged(learned, then, Stamp(DAY, "b", DAY), HOUR, True)["curve"][0], 0)
        self.assertIsNone(elapsed(then, Stamp(DAY - 1, "c", 0)))


class Records(unittest.TestCase):
    ALL = (
        (begun(), key_of(TOKEN)),
        (Finished("OK", True, b"body", b'{"a": 1}', 3), b"k"),
        (Learned(Stamp(1), {"a": [1]}, 1), b"learned"),
        (Loss(Stamp(1), 2, "why"), b"loss"),
        (Census(1, 2, 2**64 - 1), b"census"),
    )

    def test_what_was_packed_is_unpacked(self):
        for record, key in self.ALL:
            self.assertEqual(unpack(key, pack(key, record), type(record)), record)

    @given(st.sampled_from(ALL), st.data())
    def test_any_change_to_any_byte_is_seen(self, which, data):
        record, key = which
        packed = bytearray(pack(key, record))
        at = data.draw(st.integers(0, len(packed) - 1))
        packed[at] ^= 1 << data.draw(st.integers(0, 7))
        with self.assertRaises((CorruptRecordError, UnsupportedFormatError)):
            unpack(key, bytes(packed), type(record))
        cut = data.draw(st.integers(0, len(packed) - 1))
        with self.assertRaises(CorruptRecordError):
            unpack(key, pack(key, record)[:cut], type(record))

    def test_a_record_under_another_key_or_of_another_kind_is_damaged(self):
        record, key = self.ALL[0]
        with self.assertRaises(CorruptRecordError):
            unpack(key + b"x", pack(key, record), Begun)
        with self.assertRaises(CorruptRecordError):
            unpack(key, pack(key, Census()), Begun)

    def test_one_of_version_1_is_made_into_one_of_now(self):
        old = msgspec.msgpack.encode([[1, "b", 2], {"a": 1}])
        data = bytes((1,)) + records.checksum(b"learned", b"\1" + old).to_bytes(8, "big") + old
        self.assertEqual(unpack(b"learned", data, Learned), Learned(Stamp(1, "b", 2), {"a": 1}, 1))

    def test_one_of_a_newer_version_is_told_apart(self):
        record, key = self.ALL[0]
        with self.assertRaises(UnsupportedFormatError):
            unpack(key, pack(key, record, records.FORMAT + 1), Begun)

    @given(st.binary(max_size=60))
    def test_no_bytes_raise_anything_else(self, data):
        for kind in (Begun, Finished, Census):
            with self.assertRaises((CorruptRecordError, UnsupportedFormatError)):
                unpack(b"k", data, kind)


class Losses(unittest.TestCase):
    def test_each_case(self):
        census = Census(7, 2, 5)
        sound = {"marker": True, "store": True, "census": census, "counted": census, "witness": 7}
        for changes, case, aside in (
            ({}, Case.SOUND, False),
            ({"witness": 6}, Case.SOUND, False),  # not synced: it may lag
            ({"witness": None, "marker": False}, Case.SOUND, False),
            ({"marker": False, "store": False}, Case.FIRST, False),
            ({"store": False}, Case.LOST, False),
            ({"witness": 8}, Case.LOST, True),
            ({"counted": Census(7, 1, 5)}, Case.LOST, True),
            ({"damaged": 1}, Case.LOST, True),
            ({"census": None}, Case.LOST, True),
            ({"unreadable": "malformed"}, Case.LOST, True),
            ({"newer": "state-9.db"}, Case.LOST, False),
            ({"newer": "state-9.db", "store": False, "marker": False}, Case.LOST, False),
        ):
            with self.subTest(changes):
                verdict = judge(Seen(**sound | changes))
                self.assertEqual((verdict.case, verdict.set_aside), (case, aside))
                self.assertEqual(bool(verdict.why), case is Case.LOST)

    def test_a_hold_is_not_shortened_by_restarts_and_can_be_waived(self):
        loss = Loss(Stamp(DAY, "b", HOUR), 20 * SECOND, "gone")
        now = Stamp(DAY, "b", HOUR + 5 * SECOND)
        self.assertEqual(held_for(loss, "hold", now), 15 * SECOND)
        self.assertEqual(held_for(loss, "serve", now), 0)
        self.assertEqual(held_for(None, "hold", now), 0)


class Groups(unittest.TestCase):
    def setUp(self):
        self.b = Backlog(0.001, 0.25)
        self.b.open = True

    def begin(self, n, now=0.0):
        self.b.add(now, Begin(f"r{n}", b"k%d" % n, begun(n)))

    def test_one_group_at_a_time_and_the_next_gathers_meanwhile(self):
        self.begin(1)
        self.assertIsNone(self.b.group(0.0005))
        self.assertEqual([op.id for op in self.b.group(0.001)], ["r1"])
        self.begin(2, 0.002)
        self.assertIsNone(self.b.group(0.1))
        self.assertEqual(self.b.committed(), ["r1"])
        self.assertEqual(len(self.b.group(0.1)), 1)

    def test_what_nobody_waits_for_rides_along_or_goes_a_little_later(self):
        self.b.add(0.0, Drop(b"k9"))
        self.assertIsNone(self.b.group(0.009))
        self.begin(1, 0.009)
        self.assertEqual([type(op) for op in self.b.group(0.01)], [Drop, Begin])
        self.b.committed()
        self.b.add(1.0, Drop(b"k9"))
        self.assertEqual(self.b.due(1.0), 1.01)
        self.assertEqual(len(self.b.group(1.01)), 1)

    def test_a_group_comes_to_one_change_for_each_filing(self):
        one, two, end = begun(1), begun(2), Finished("OK", True, b"x")
        lesson = Learned(Stamp(1), {}, 1)
        changes, named = net(
            [
                Drop(b"a"),
                Begin("r1", b"a", one),
                End(b"a", end),
                End(b"b", end),
                Begin("r2", b"c", two),
                Drop(b"c"),
                Save("x", lesson),
            ]
        )
        self.assertEqual(
            changes, {b"a": Change(True, one, end), b"b": Change(False, None, end), b"c": Change(True)}
        )
        self.assertEqual(named, {"x": lesson})

    def test_a_long_queue_goes_at_once_and_in_bounded_groups(self):
        for n in range(MAX_GROUP + 1):
            self.begin(n)
        self.assertEqual(len(self.b.group(0.0)), MAX_GROUP)
        self.b.committed()
        self.assertEqual(len(self.b.group(1.0)), 1)

    def test_a_stall_refuses_what_waits_and_takes_it_out_again_and_nothing_is_begun_late(self):
        self.begin(1)
        self.b.group(0.001)
        self.begin(2, 0.01)
        self.assertEqual(self.b.due(0.01), 0.25)
        self.assertEqual(self.b.overdue(0.25), ["r1"])
        self.assertEqual(self.b.refuses(0.2), None)
        self.assertIsNotNone(self.b.refuses(0.252))
        self.assertEqual(self.b.overdue(0.26), ["r2"])
        self.assertEqual(self.b.committed(), [])
        self.assertEqual(self.b.group(5.0), [Drop(b"k1")])
        self.b.committed()
        self.assertIsNone(self.b.refuses(5.1))

    def test_an_error_refuses_filings_keeps_the_rest_and_is_tried_again_ever_more_seldom(self):
        self.b.add(0, End(b"k0", Finished("OK", True, b"x")))
        self.begin(1)
        self.b.group(0.001)
        self.begin(2, 0.002)
        self.assertEqual(self.b.failed(0.01, Error.FULL), ["r1", "r2"])
        self.assertIn("room", self.b.refuses(0.02))
        self.assertIsNone(self.b.group(0.01 + FIRST_RETRY - 0.001))
        self.assertEqual([type(op) for op in self.b.group(0.01 + FIRST_RETRY)], [End])
        self.b.failed(1.0, Error.FULL)
        self.assertEqual(self.b.due(1.0), 1.0 + 2 * FIRST_RETRY)
        self.assertEqual(len(self.b.group(2.0)), 1)
        self.b.committed()
        self.assertIsNone(self.b.refuses(2.0))
        self.assertEqual(self.b.bytes, 0)

    def test_a_failed_sync_wants_all_written_anew_and_a_disk_that_is_full_does_not(self):
        for error, wants in (
            (Error.SYNC, True),
            (Error.IO, True),
            (Error.DAMAGED, True),
            (Error.FULL, False),
            (Error.READ_ONLY, False),
        ):
            self.setUp()
            self.begin(1)
            self.b.group(0.001)
            self.b.failed(0.01, error)
            self.assertEqual(self.b.may_rebuild(1.0), wants)
            if wants:
                self.assertIsNone(self.b.group(1.0))
                self.b.rebuilding(1.0)
                self.b.rebuilt()
            self.assertEqual(self.b.group(1.0), None if wants else [])

    def test_what_is_dropped_before_it_was_written_is_not_written(self):
        self.begin(1)
        self.b.add(0, End(b"k1", Finished("OK", True, b"xyz")))
        self.b.add(0, Save("learned", Learned(Stamp(1), {}, 1)))
        self.b.add(0, Drop(b"k1"))
        self.assertEqual([type(op) for op in self.b.group(1)], [Save, Drop])
        self.assertEqual((self.b.bytes, self.b.begins), (0, {}))

    def test_results_past_the_bound_are_let_go_and_filings_are_not(self):
        big = Finished("OK", True, bytes(MAX_BYTES // 2 - 4))
        self.assertEqual([self.b.add(0, End(b"k%d" % n, big)) for n in range(3)], [True, True, False])
        self.begin(1)
        self.assertEqual((self.b.not_recorded, self.b.end_of(b"k0"), self.b.end_of(b"k2")), (1, big, None))


class Any(RuleBasedStateMachine):
    """Whatever comes in whatever order: each try is told of once, and begun only after its commit."""

    def __init__(self):
        super().__init__()
        self.b, self.now, self.n = Backlog(0.001, 0.25), 0.0, 0
        self.b.open = True
        self.open, self.told, self.group = set(), {}, None

    def tell(self, ids, what):
        for rid in ids:
            assert rid in self.open and rid not in self.told
            self.told[rid] = what
            self.open.discard(rid)

    @rule(again=st.integers(0, 3))
    def begin(self, again):
        if self.b.refuses(self.now):
            return
        self.n += 1
        self.open.add(f"r{self.n}")
        self.b.add(self.now, Begin(f"r{self.n}", b"k%d" % (self.n - min(again, self.n)), begun(self.n)))

    @rule(n=st.integers(0, 9), size=st.integers(0, 99))
    def end(self, n, size):
        self.b.add(self.now, End(b"old%d" % n, Finished("OK", True, bytes(size))))

    @rule(n=st.integers(0, 9))
    def drop(self, n):
        self.b.add(self.now, Drop(b"old%d" % n))

    @rule(seconds=st.sampled_from((0.0005, 0.01, 0.3, 2.0)))
    def wait(self, seconds):
        self.now += seconds
        late = self.b.overdue(self.now)
        self.tell(late, "refused")
        if self.b.may_rebuild(self.now):
            self.b.rebuilding(self.now)
            self.group = []
        group = self.b.group(self.now)
        if group is not None:
            assert self.group is None
            self.group = group

    @precondition(lambda self: self.group is not None)
    @rule()
    def commit(self):
        ids = {op.id for op in self.group if isinstance(op, Begin)}
        self.group = None
        if self.b.untrusted:
            return self.b.rebuilt()
        begun = self.b.committed()
        assert set(begun) <= ids
        self.tell(begun, "begun")

    @precondition(lambda self: self.group is not None)
    @rule(error=st.sampled_from(Error))
    def fail(self, error):
        self.group = None
        self.tell(self.b.failed(self.now, error), "refused")

    @invariant()
    def sums(self):
        held = sum(
            len(op.record.body) + len(op.record.detail)
            for op in (*self.b.waiting, *(self.b.under_way or ()))
            if isinstance(op, End)
        )
        assert self.b.bytes == held
        assert set(self.b.begins) == self.open
        assert len(self.b.waiting) == len(self.b.since)
        if self.open:
            assert self.b.due(self.now) <= self.now + 0.25


TestAny = Any.TestCase


class Json(unittest.TestCase):
    def test_keys_tell_tenants_apart_that_have_none(self):
        self.assertNotEqual(key_of((None, "a", "b")), key_of(("", "a", "b")))
        self.assertEqual(msgspec.msgpack.decode(key_of(TOKEN)), list(TOKEN))


if __name__ == "__main__":
    unittest.main()
