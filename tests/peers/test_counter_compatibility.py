"""Compatibility of counter deltas with the previous release, which exchanges only snapshots."""

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
from tests.peers.counter_messages import A, B, counters_with_keys, encode, exchange


class PreviousPing(msgspec.Struct, tag="p", array_like=True):
    """A ping as declared in the previous release."""

    nonce: int
    known_versions: list[tuple[str, int, int]] = []
    gossip: list[MemberUpdate] = []


class PreviousAck(msgspec.Struct, tag="a", array_like=True):
    """An acknowledgement as declared in the previous release."""

    nonce: int
    subject: str = ""
    updates: list[MemberUpdate] = []
    gossip: list[MemberUpdate] = []
    snapshots: list[CounterSnapshot] = []


class MixedReleasesTest(unittest.TestCase):
    """Groups with members of both releases, as during a rolling update."""

    def test_messages_are_compatible_with_the_previous_release(self):
        ping = encode(Ping(5, [KnownVersion("c", 1, 2)], [], [CounterCursor("b", 1, 2, "k")]))
        self.assertEqual(msgspec.msgpack.decode(ping, type=PreviousPing), PreviousPing(5, [("c", 1, 2)], []))
        self.assertIsNone(msgspec.msgpack.decode(encode(PreviousPing(5)), type=Ping).cursors)
        ack = encode(Ack(5, deltas=[CounterDelta(A, 0, "", "", 1, 0, False, 0, {"k": 1})]))
        self.assertEqual(msgspec.msgpack.decode(ack, type=PreviousAck), PreviousAck(5))
        decoded = msgspec.msgpack.decode(
            encode(PreviousAck(5, snapshots=[CounterSnapshot(A, 1, 0, False, {})])), type=Ack
        )
        self.assertEqual((decoded.deltas, decoded.snapshots[0].incarnation), ([], A))

    def test_previous_release_gets_complete_snapshots_or_none(self):
        for keys, is_sent in ((3, True), (100, True), (300, False), (2000, False)):
            with self.subTest(keys=keys):
                responder = counters_with_keys(A, keys)
                for n in range(6):
                    responder.merge_snapshot(
                        CounterSnapshot(
                            Incarnation(f"m{n}", 1, 1), 3, 0, False, {f"k{i}": 1 for i in range(keys)}
                        )
                        if keys <= MAX_KEYS
                        else CounterSnapshot(B, 1, 0, False, {}),
                        0.0,
                        1.0,
                    )
                for _ in range(10):
                    sent_snapshots = responder.snapshots(1.0, 6144)
                    self.assertLessEqual(len(encode(sent_snapshots)), 6144)
                    self.assertEqual(is_sent, any(snapshot.incarnation == A for snapshot in sent_snapshots))
                    for snapshot in sent_snapshots:
                        self.assertEqual(
                            snapshot.counts,
                            dict(responder.own.counts)
                            if snapshot.incarnation == A
                            else responder.replicas[snapshot.incarnation].counts,
                        )

    def test_incomplete_replica_is_not_sent_to_previous_release(self):
        responder, requester = counters_with_keys(A, 100), ReplicatedCounters(B, 100.0, 0.0)
        self.assertTrue(exchange(responder, requester, 1.0)[0].up_to_key)
        self.assertEqual([snapshot.incarnation for snapshot in requester.snapshots(1.0)], [B])

    def test_snapshots_and_deltas_can_be_combined(self):
        responder, requester = counters_with_keys(A, 100), ReplicatedCounters(B, 100.0, 0.0)
        requester.merge_snapshot(
            CounterSnapshot(A, responder.own.version, 0, False, dict(responder.own.counts)), 0.0, 1.0
        )
        responder.add("class/00003/served")
        self.assertEqual(exchange(responder, requester, 2.0)[0].counts, {"class/00003/served": 2})
        # A delayed snapshot has no effect.
        requester.merge_snapshot(CounterSnapshot(A, 3, 0, False, {"class/00003/served": 1}), 0.0, 2.0)
        self.assertEqual(requester.read("class/00003/served", 2.0).total, 2)
