"""Answers over a fleet on virtual time: bounded bytes, and counts in the stated time."""

import unittest
from unittest import mock

from ochrehoist.lab.virtual.world import World
from ochrehoist.peers import ping_exchange, wire
from ochrehoist.peers.counter_encoding import MAX_DELTA_BYTES
from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.group import Group
from ochrehoist.peers.wire import (
    CounterCursor,
    Hello,
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
    MessageTooLongError,
    Ping,
)
from tests.peers.counter_messages import A, parts_of


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

    def test_the_bound_fails_where_an_answer_holds_all_counts(self):
        with (
            mock.patch("ochrehoist.peers.counter_encoding.MAX_OWN_BYTES", 10**6),
            mock.patch("ochrehoist.peers.own_counters.MAX_KEYS", 2100),
            mock.patch("ochrehoist.peers.counter_replica.MAX_KEYS", 2100),
            mock.patch("ochrehoist.peers.counters.MAX_KEYS", 2100),
            self.assertRaisesRegex(MessageTooLongError, r"peer message of \d+ bytes exceeds"),
        ):
            w, _ = self.fleet(5, 2000, kind="class")
            w.run(w.now + 3.0)

    def test_an_answer_has_room_for_counts_whatever_member_updates_it_holds(self):
        terms = FleetSettings("g", "at:a", "", {}, (), 0.1, (), (), 0.5, 100.0)
        g = Group(terms, A, 0.0, 1)
        g.members.established = True
        for t in range(2000):
            g.counters.add(f"tenant/{t:05d}/served")
        for n in range(40):
            life = Incarnation(f"m{n}", 1, 1)
            g.members.register_sender(life, f"at:m{n}", "", 0.0)
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
