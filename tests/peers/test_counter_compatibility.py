"""Members of an earlier release beside those that tell counts in parts."""

import unittest

import msgspec

from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.own_counters import MAX_KEYS
from ochrehoist.peers.wire import (
    Ack,
    CounterCursor,
    CounterDelta,
    CounterSnapshot,
    Incarnation,
    KnownVersion,
    MemberUpdate,
    Ping,
)
from tests.peers.counter_messages import A, B, answer, encode, filled


class PingOfBefore(msgspec.Struct, tag="p", array_like=True):
    nonce: int
    known_versions: list[tuple[str, int, int]] = []
    gossip: list[MemberUpdate] = []


class AckOfBefore(msgspec.Struct, tag="a", array_like=True):
    nonce: int
    subject: str = ""
    updates: list[MemberUpdate] = []
    gossip: list[MemberUpdate] = []
    snapshots: list[CounterSnapshot] = []


class Mixed(unittest.TestCase):
    """During a rolling update members of before parts are in the group."""

    def test_members_of_before_read_what_they_get_and_are_read(self):
        ping = encode(Ping(5, [KnownVersion("c", 1, 2)], [], [CounterCursor("b", 1, 2, "k")]))
        self.assertEqual(msgspec.msgpack.decode(ping, type=PingOfBefore), PingOfBefore(5, [("c", 1, 2)], []))
        self.assertIsNone(msgspec.msgpack.decode(encode(PingOfBefore(5)), type=Ping).cursors)
        ack = encode(Ack(5, deltas=[CounterDelta(A, 0, "", "", 1, 0, False, 0, {"k": 1})]))
        self.assertEqual(msgspec.msgpack.decode(ack, type=AckOfBefore), AckOfBefore(5))
        back = msgspec.msgpack.decode(
            encode(AckOfBefore(5, snapshots=[CounterSnapshot(A, 1, 0, False, {})])), type=Ack
        )
        self.assertEqual((back.deltas, back.snapshots[0].incarnation), ([], A))

    def test_one_of_before_gets_whole_counts_or_none_and_never_a_part(self):
        for keys, told in ((3, True), (100, True), (300, False), (2000, False)):
            with self.subTest(keys=keys):
                teller = filled(A, keys)
                for n in range(6):
                    teller.merge_snapshot(
                        CounterSnapshot(
                            Incarnation(f"m{n}", 1, 1), 3, 0, False, {f"k{i}": 1 for i in range(keys)}
                        )
                        if keys <= MAX_KEYS
                        else CounterSnapshot(B, 1, 0, False, {}),
                        0.0,
                        1.0,
                    )
                for _ in range(10):
                    tallies = teller.snapshots(1.0, 6144)
                    self.assertLessEqual(len(encode(tallies)), 6144)
                    self.assertEqual(told, any(t.incarnation == A for t in tallies))
                    for t in tallies:
                        self.assertEqual(
                            t.counts,
                            dict(teller.own.counts)
                            if t.incarnation == A
                            else teller.replicas[t.incarnation].counts,
                        )

    def test_of_a_book_that_parts_have_begun_to_renew_none_of_before_is_told(self):
        teller, asker = filled(A, 100), ReplicatedCounters(B, 100.0, 0.0)
        self.assertTrue(answer(teller, asker, 1.0)[0].up_to_key)
        self.assertEqual([t.incarnation for t in asker.snapshots(1.0)], [B])

    def test_whole_counts_of_before_and_parts_go_together(self):
        teller, asker = filled(A, 100), ReplicatedCounters(B, 100.0, 0.0)
        asker.merge_snapshot(
            CounterSnapshot(A, teller.own.version, 0, False, dict(teller.own.counts)), 0.0, 1.0
        )
        teller.add("class/00003/served")
        self.assertEqual(answer(teller, asker, 2.0)[0].counts, {"class/00003/served": 2})
        asker.merge_snapshot(CounterSnapshot(A, 3, 0, False, {"class/00003/served": 1}), 0.0, 2.0)  # late
        self.assertEqual(asker.read("class/00003/served", 2.0).total, 2)
