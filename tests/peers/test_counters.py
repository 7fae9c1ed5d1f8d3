"""Counts told in parts: bounded bytes, whole books within a stated time, bounds that hold meanwhile."""

import math
import unittest
from random import Random
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.lab.virtual.world import World
from ochrehoist.peers import own_counters, ping_exchange, wire
from ochrehoist.peers.budget import CLOCK_DRIFT
from ochrehoist.peers.counter_encoding import MAX_DELTA_BYTES, MAX_OWN_BYTES
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.group import Group
from ochrehoist.peers.own_counters import MAX_KEY_BYTES, MAX_KEYS, OVERFLOW_KEY
from ochrehoist.peers.wire import (
    Ack,
    CounterCursor,
    CounterDelta,
    CounterSnapshot,
    Hello,
    Incarnation,
    KnownVersion,
    MemberState,
    MemberUpdate,
    Message,
    MessageTooLongError,
    Ping,
)

A, B, C = (Incarnation(name, 10, 1) for name in "abc")
encode = msgspec.msgpack.encode


def filled(life, keys, n=1, born=0.0, long=0):
    counters = ReplicatedCounters(life, 100.0, born)
    for k in range(keys):
        counters.add(f"class/{'x' * long}{k:05d}/served", n)
    return counters


def answer(teller, asker, now, lag=0.0):
    """One question, its answer, and what the asker takes of it."""
    parts = teller.deltas_for(
        asker.cursors_for(teller.incarnation.name, teller.incarnation.number), now - lag
    )
    for p in parts:
        asker.merge_delta(p, lag, now)
    return parts


def parts_of(counters):
    """Answers in which the whole of it is told, as the page states it."""
    keys = [len(k.encode()) for k in counters.own.counts]
    longest = max(keys)
    return math.ceil(
        sum(k + 12 for k in keys) / (MAX_OWN_BYTES - 72 - len(counters.incarnation.name) - 3 * longest - 24)
    )


class Parts(unittest.TestCase):
    def test_what_an_answer_tells_is_bounded_however_much_there_is(self):
        for keys, long in ((1, 0), (100, 0), (2000, 0), (2000, 130), (2000, 10_000)):
            with self.subTest(keys=keys, long=long):
                teller, asker = filled(A, keys, 2**50, long=long), ReplicatedCounters(B, 100.0, 0.0)
                for n in range(20):
                    other = filled(Incarnation(f"m{n}", 1, 2**60), keys, 2**50, long=long)
                    for _ in range(60):
                        answer(other, teller, 1.0)
                for _ in range(200):
                    self.assertLessEqual(len(encode(answer(teller, asker, 2.0))), MAX_DELTA_BYTES)
                self.assertEqual(asker.replicas[A].counts, dict(teller.own.counts))

    def test_all_of_it_is_there_after_as_many_answers_as_is_stated(self):
        for keys in (1, 60, 100, 500, 2000):
            with self.subTest(keys=keys):
                teller, asker = filled(A, keys), ReplicatedCounters(B, 100.0, 0.0)
                for n in range(parts_of(teller)):
                    if n < 0.6 * parts_of(teller):  # the statement is not idle
                        self.assertNotEqual(asker.replicas[A].as_of if A in asker.replicas else None, 5.0)
                    answer(teller, asker, 5.0)
                self.assertEqual(
                    (asker.replicas[A].as_of, asker.replicas[A].version), (5.0, teller.own.version)
                )
                self.assertEqual(asker.replicas[A].counts, dict(teller.own.counts))

    def test_only_what_has_changed_is_told_again(self):
        teller, asker = filled(A, 500), ReplicatedCounters(B, 100.0, 0.0)
        while answer(teller, asker, 5.0)[0].up_to_key:
            pass
        self.assertEqual(answer(teller, asker, 6.0)[0].counts, {})
        teller.add("class/00400/served", 3)
        self.assertEqual(answer(teller, asker, 7.0)[0].counts, {"class/00400/served": 4})
        self.assertEqual((asker.replicas[A].as_of, asker.incomplete), (7.0, {}))

    def test_while_parts_are_missing_the_bound_counts_from_the_beginning_of_that_life(self):
        teller, asker = filled(A, 500, born=1.0), ReplicatedCounters(B, 100.0, 0.0)
        part = answer(teller, asker, 6.0)[0]
        self.assertTrue(part.up_to_key)
        r = asker.read("class/00499/served", 6.0)
        self.assertEqual(r.total, 0)
        self.assertGreaterEqual(r.missing, 500)  # five seconds at 100
        self.assertLessEqual(r.missing, 500 * (1 + CLOCK_DRIFT) + 2)  # clocks may differ by that

    def test_one_whose_beginning_is_unknown_is_read_only_once_all_of_it_came(self):
        teller, asker = filled(A, 500, born=None), ReplicatedCounters(B, 100.0, 0.0)
        while answer(teller, asker, 6.0)[0].up_to_key:
            self.assertEqual(asker.read("class/00000/served", 6.0).total, 0)
        self.assertEqual(asker.read("class/00000/served", 6.0).total, 1)

    def test_a_part_that_leaves_out_what_is_not_here_makes_nothing_whole(self):
        asker = ReplicatedCounters(B, 100.0, 0.0)
        asker.merge_delta(CounterDelta(A, 7, "", "", 9, 0, False, 5000, {"k": 3}), 0.0, 5.0)
        self.assertEqual(
            (asker.replicas[A].version, asker.replicas[A].as_of), (0, 5.0 - 5.0 * (1 + CLOCK_DRIFT))
        )
        self.assertEqual(asker.read("k", 5.0).total, 3)

    def test_parts_of_several_versions_make_the_earliest_whole(self):
        asker = ReplicatedCounters(B, 100.0, 0.0)
        asker.merge_delta(CounterDelta(A, 0, "", "k", 9, 0, False, 5000, {"k": 3}), 0.0, 5.0)
        asker.merge_delta(CounterDelta(A, 0, "k", "", 8, 0, False, 5000, {"m": 1}), 0.0, 5.0)
        self.assertEqual((asker.replicas[A].complete_up_to, asker.replicas[A].version), ("", 8))
        asker.merge_delta(CounterDelta(A, 8, "", "k", 10, 0, False, 6000, {"k": 4}), 0.0, 6.0)
        for version, after in ((8, "k"), (12, "j"), (12, "")):  # not newer; not from where it has come to
            asker.merge_delta(CounterDelta(A, 8, after, "z", version, 0, False, 6000, {}), 0.0, 6.0)
        self.assertEqual((asker.replicas[A].complete_up_to, asker.replicas[A].version), ("k", 8))
        asker.merge_delta(CounterDelta(A, 8, "k", "", 12, 0, False, 7000, {"m": 2}), 0.0, 7.0)
        self.assertEqual((asker.replicas[A].version, asker.replicas[A].as_of), (10, 6.0))
        self.assertEqual(asker.replicas[A].counts, {"k": 4, "m": 2})

    def test_one_that_nobody_can_tell_to_its_end_does_not_keep_others_from_being_asked_for(self):
        asker, lives = ReplicatedCounters(B, 100.0, 0.0), [Incarnation(f"m{n}", 1, 1) for n in range(9)]
        for life in lives:
            asker.merge_delta(CounterDelta(life, 0, "", "", 1, 0, False, 5000, {"k": 1}), 0.0, 5.0)
        asker.merge_delta(CounterDelta(lives[0], 1, "", "k", 9, 0, False, 5000, {"k": 3}), 0.0, 5.0)
        asked = {a.name for _ in range(20) for a in asker.cursors_for("b2", 1)}
        self.assertEqual(asked, {"b2", *(life.name for life in lives)})

    def test_an_incarnation_that_ended_is_sent_by_others_in_parts_also_beside_a_large_own_one(self):
        gone, teller, asker = filled(C, 300), filled(A, 2000), ReplicatedCounters(B, 100.0, 0.0)
        while answer(gone, teller, 1.0)[0].up_to_key:
            pass
        teller.mark_ended(C)
        for _ in range(200):
            answer(teller, asker, 2.0)
        self.assertEqual(asker.replicas[C].counts, dict(gone.own.counts))
        self.assertTrue(asker.replicas[C].ended)
        self.assertEqual(asker.incomplete, {})

    def test_keys_over_the_most_are_told_as_one_rest(self):
        counters = filled(A, 5000, 2)
        self.assertEqual((len(counters.own.counts), sum(counters.own.counts.values())), (MAX_KEYS, 10_000))
        self.assertEqual(counters.own.counts[OVERFLOW_KEY], 2 * (5000 - MAX_KEYS + 1))
        counters.add("tenant/one/served")
        self.assertEqual(
            (len(counters.own.counts), counters.own.counts[OVERFLOW_KEY]),
            (MAX_KEYS, 2 * (5000 - MAX_KEYS + 1) + 1),
        )
        other = ReplicatedCounters(B, 100.0, 0.0)
        for key in ("class/" + "x" * MAX_KEY_BYTES, "", "tenant/" + "x" * MAX_KEY_BYTES + "/served"):
            other.add(key)
        self.assertEqual(other.own.counts, {OVERFLOW_KEY: 2, "tenant/others/served": 1})

    def test_tenants_leave_room_for_other_kinds_and_are_counted_together(self):
        counters = ReplicatedCounters(A, 100.0, 0.0)
        for n in range(5000):
            counters.add(f"tenant/{n:05d}/served", 2)
        self.assertLess(
            sum(len(key) + own_counters.COUNT_BYTES for key in counters.own.counts),
            own_counters.MAX_TOTAL_BYTES + 40,
        )
        self.assertEqual(sum(counters.own.counts.values()), 10_000)
        self.assertEqual(
            counters.own.counts["tenant/others/served"], 2 * (5000 - len(counters.own.counts) + 1)
        )
        for n in range(40):
            counters.add(f"class/c{n}/served", 1)
        self.assertEqual(sum(counters.own.counts[f"class/c{n}/served"] for n in range(40)), 40)

    @settings(deadline=None, max_examples=150)
    @given(st.integers(0, 2**32), st.sampled_from((0.0, 0.3, 0.7)))
    def test_the_truth_is_within_the_bound_whatever_is_lost_late_or_repeated(self, seed, loss):
        """Three and a late one count and ask each other; answers are lost, late, out of order, repeated."""
        rng, now, true = Random(seed), 0.0, {}
        keys = [f"kind/{n:03d}/{'x' * rng.randint(0, 60)}" for n in range(rng.choice((3, 40, 120)))]
        all_counters, late = [ReplicatedCounters(Incarnation(f"m{n}", 1, 1), 20.0, 0.0) for n in range(3)], []

        def check(key):
            for counters in all_counters:
                r = counters.read(key, now)
                known = {counters.incarnation, *counters.replicas}
                truth = sum(n for (life, k), n in true.items() if k == key and life in known)
                self.assertLessEqual(r.total, truth)
                self.assertLessEqual(truth, r.total + r.missing + r.lost)

        for step in range(120):
            now += 0.5
            if step == 60:
                all_counters.append(ReplicatedCounters(Incarnation("m3", 1, 1), 20.0, now))
            for counters in all_counters:
                for _ in range(rng.randint(0, 10)):  # within its most
                    key = rng.choice(keys)
                    counters.add(key)
                    true[counters.incarnation, key] = true.get((counters.incarnation, key), 0) + 1
            teller, asker = rng.sample(all_counters, 2)
            asked = asker.cursors_for(teller.incarnation.name, teller.incarnation.number)
            late.append((asker, teller.deltas_for(asked, now), now))
            rng.shuffle(late)
            for entry in late[:]:
                to, parts, at = entry
                if rng.random() >= loss:
                    for p in parts:
                        to.merge_delta(p, now - at, now)
                if rng.random() < 0.8:
                    late.remove(entry)
            check(rng.choice(keys))
        for _ in range(300):  # quiet: all is told
            now += 0.1
            answer(*rng.sample(all_counters, 2), now)
        for key in keys:
            check(key)
            total = sum(n for (_, k), n in true.items() if k == key)
            self.assertEqual({counters.read(key, now).total for counters in all_counters}, {total})


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


class Answers(unittest.TestCase):
    """Whole groups on virtual time, each message encoded: one that is too long breaks the run."""

    def fleet(self, count, tenants, loss=0.0, kind="tenant"):
        w = World(1, (), encoded=True, max_rate_per_s=20_000.0)
        nodes = w.start_fleet(count)
        w.run(4.0)
        w.set_network_conditions(loss, 0.1 if loss else 0.0, (0.0002, 0.002))
        for node in nodes:
            for t in range(tenants):
                node.group.counters.add(f"{kind}/customer-{t:05d}/served")
        return w, nodes

    def whole(self, w, nodes, total):
        return all(
            sum(n.group.counters.read(k, n.clock(w.now)).total for k in nodes[0].group.counters.sorted_keys())
            == total
            and not n.group.counters.incomplete
            for n in nodes
        )

    def test_with_many_tenants_all_stay_alive_and_all_counts_come_in_the_stated_time(self):
        for count, tenants, loss, kind in (
            (5, 100, 0.0, "tenant"),
            (5, 2000, 0.0, "tenant"),
            (5, 2000, 0.2, "class"),
            (12, 100, 0.0, "class"),
        ):
            with self.subTest(count=count, tenants=tenants, loss=loss):
                w, nodes = self.fleet(count, tenants, loss, kind)
                began, rounds = w.now, (2 + parts_of(nodes[0].group.counters)) * (3 if loss else 1)
                within = rounds * (count - 1) * w.period_s * 1.25  # a probe waits for a beat
                while not self.whole(w, nodes, count * tenants):
                    self.assertLess(w.now - began, within)
                    w.run(w.now + 0.5)
                self.assertEqual(
                    {m.state for n in nodes for m in n.group.members.members.values()}, {MemberState.ALIVE}
                )

    def test_messages_do_not_grow_with_tenants_and_bytes_only_up_to_the_bound(self):
        sent = {}
        for tenants in (3, 100, 2000):
            w, nodes = self.fleet(5, tenants)
            for _ in range(40):  # each tenant has answers all the time
                for node in nodes:
                    for t in range(tenants):
                        node.group.counters.add(f"tenant/customer-{t:05d}/served")
                w.run(w.now + 0.1)
            began = [(n.sent_count, n.sent_bytes) for n in nodes]
            w.run(w.now + 4.0)
            sent[tenants] = tuple(
                sum(x[i] for x in [(n.sent_count, n.sent_bytes) for n in nodes]) - sum(b[i] for b in began)
                for i in (0, 1)
            )
        for tenants in (100, 2000):
            self.assertLessEqual(sent[tenants][0], 1.05 * sent[3][0])
            answers = sent[3][0] / 2
            self.assertLessEqual(sent[tenants][1], sent[3][1] + answers * MAX_DELTA_BYTES)

    def test_it_is_red_where_an_answer_tells_all(self):
        with (
            mock.patch("ochrehoist.peers.counter_encoding.MAX_OWN_BYTES", 10**6),
            mock.patch("ochrehoist.peers.own_counters.MAX_KEYS", 2100),
            mock.patch("ochrehoist.peers.counter_replica.MAX_KEYS", 2100),
            mock.patch("ochrehoist.peers.counters.MAX_KEYS", 2100),
            self.assertRaisesRegex(MessageTooLongError, "a message of"),
        ):
            w, _ = self.fleet(5, 2000, kind="class")
            w.run(w.now + 3.0)

    def test_an_answer_finds_room_whatever_is_told_of_members(self):
        terms = FleetSettings("g", "at:a", "", {}, (), 0.1, (), (), 0.5, 100.0)
        g = Group(terms, A, 0.0, 1)
        g.members.established = True
        for t in range(2000):
            g.counters.add(f"tenant/{t:05d}/served")
        for n in range(40):
            life = Incarnation(f"m{n}", 1, 1)
            g.members.on_message_from(life, f"at:m{n}", "", 0.0)
            g.members.apply_status(
                MemberUpdate(life, f"at:m{n}", "", MemberState.ALIVE, 5, 0, b"x" * 3000), 0.0, 0.0
            )
        for asked in (None, [CounterCursor("a", 10, 0, "")]):
            m = Message(
                "g",
                Incarnation("m1", 1, 1),
                "a",
                10,
                1 + (asked is None),
                [Hello("at:m1", ""), Ping(7, [], [], asked)],
            )
            sends = g.receive(m, "at:m1", 1.0)
            ack = sends[0].payloads[-1]
            self.assertGreater(len(ack.updates), 2)
            self.assertEqual(bool(ack.deltas), asked is not None)
            wire.encode_datagram(Message("g", A, "m1", 1, 1, sends[0].payloads), b"a secret")
        with mock.patch.object(ping_exchange, "MAX_UPDATES_BYTES", 10**6):
            sends = g.receive(
                Message("g", Incarnation("m1", 1, 1), "a", 10, 3, [Ping(7, [], [], None)]), "at:m1", 1.0
            )
            with self.assertRaises(MessageTooLongError):
                wire.encode_datagram(Message("g", A, "m1", 1, 1, sends[0].payloads), b"a secret")

    def test_what_one_called_dead_and_back_counts_is_bounded_again(self):
        w, nodes = self.fleet(5, 3)
        w.run(8.0)
        w.pause(nodes[1], 8.0)
        life = nodes[1].group.incarnation
        w.run(15.0)
        self.assertEqual(nodes[0].group.members.members["w001"].state, MemberState.DEAD)
        w.run(22.0)
        for node in [n for n in nodes if n is not nodes[1]]:
            self.assertEqual(node.group.members.members["w001"].state, MemberState.ALIVE)
            self.assertNotIn(life, node.group.ended_at)
            self.assertFalse(node.group.counters.replicas[life].ended)
        nodes[1].group.counters.add("tenant/customer-00000/served", 4)
        r = nodes[0].group.counters.read(
            "tenant/customer-00000/served", nodes[0].clock(w.now), nodes[0].group.ended_at
        )
        self.assertLessEqual(9, r.total + r.missing)


if __name__ == "__main__":
    unittest.main()
