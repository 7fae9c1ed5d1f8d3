"""Answer sizes and replication times of counters, for whole fleets on virtual time."""

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
from tests.peers.counter_messages import A, expected_answer_count


class AnswerSizeTest(unittest.TestCase):
    """Fleets on virtual time; every message is encoded, so an oversized one fails the test."""

    def start_fleet_with_counters(self, count, tenants, loss=0.0, kind="tenant"):
        world = World(1, (), encoded=True, max_rate_per_s=20_000.0)
        nodes = world.start_fleet(count)
        world.run(4.0)
        world.set_network_conditions(loss, 0.1 if loss else 0.0, (0.0002, 0.002))
        for node in nodes:
            for t in range(tenants):
                node.group.counters.add(f"{kind}/customer-{t:05d}/served")
        return world, nodes

    def has_converged(self, world, nodes, total):
        return all(
            sum(
                n.group.counters.read(k, n.clock(world.now)).total
                for k in nodes[0].group.counters.sorted_keys()
            )
            == total
            and not n.group.counters.incomplete
            for n in nodes
        )

    def test_many_tenants_all_members_stay_alive_and_counts_arrive_in_time(self):
        for count, tenants, loss, kind in (
            (5, 100, 0.0, "tenant"),
            (5, 2000, 0.0, "tenant"),
            (5, 2000, 0.2, "class"),
            (12, 100, 0.0, "class"),
        ):
            with self.subTest(count=count, tenants=tenants, loss=loss):
                world, nodes = self.start_fleet_with_counters(count, tenants, loss, kind)
                started_at, rounds = (
                    world.now,
                    (2 + expected_answer_count(nodes[0].group.counters)) * (3 if loss else 1),
                )
                limit_s = rounds * (count - 1) * world.period_s * 1.25  # a probe may wait for the next tick
                while not self.has_converged(world, nodes, count * tenants):
                    self.assertLess(world.now - started_at, limit_s)
                    world.run(world.now + 0.5)
                self.assertEqual(
                    {m.state for n in nodes for m in n.group.members.members.values()}, {MemberState.ALIVE}
                )

    def test_message_rate_is_independent_of_tenants_and_bytes_are_bounded(self):
        sent = {}
        for tenants in (3, 100, 2000):
            world, nodes = self.start_fleet_with_counters(5, tenants)
            for _ in range(40):  # constant traffic of all tenants
                for node in nodes:
                    for t in range(tenants):
                        node.group.counters.add(f"tenant/customer-{t:05d}/served")
                world.run(world.now + 0.1)
            before = [(n.sent_count, n.sent_bytes) for n in nodes]
            world.run(world.now + 4.0)
            sent[tenants] = tuple(
                sum(x[i] for x in [(n.sent_count, n.sent_bytes) for n in nodes]) - sum(b[i] for b in before)
                for i in (0, 1)
            )
        for tenants in (100, 2000):
            self.assertLessEqual(sent[tenants][0], 1.05 * sent[3][0])
            answers = sent[3][0] / 2
            self.assertLessEqual(sent[tenants][1], sent[3][1] + answers * MAX_DELTA_BYTES)

    def test_size_limit_detects_answers_with_all_counts(self):
        with (
            mock.patch("ochrehoist.peers.counter_encoding.MAX_OWN_BYTES", 10**6),
            mock.patch("ochrehoist.peers.own_counters.MAX_KEYS", 2100),
            mock.patch("ochrehoist.peers.counter_replica.MAX_KEYS", 2100),
            mock.patch("ochrehoist.peers.counters.MAX_KEYS", 2100),
            self.assertRaisesRegex(MessageTooLongError, r"peer message of \d+ bytes exceeds"),
        ):
            world, _ = self.start_fleet_with_counters(5, 2000, kind="class")
            world.run(world.now + 3.0)

    def test_answer_has_room_for_counts_beside_member_updates(self):
        settings = FleetSettings("g", "at:a", "", {}, (), 0.1, (), (), 0.5, 100.0)
        group = Group(settings, A, 0.0, 1)
        group.members.established = True
        for t in range(2000):
            group.counters.add(f"tenant/{t:05d}/served")
        for n in range(40):
            incarnation = Incarnation(f"m{n}", 1, 1)
            group.members.register_sender(incarnation, f"at:m{n}", "", 0.0)
            group.members.apply_status(
                MemberUpdate(incarnation, f"at:m{n}", "", MemberState.ALIVE, 5, 0, b"x" * 3000), 0.0, 0.0
            )
        for cursors in (None, [CounterCursor("a", 10, 0, "")]):
            message = Message(
                "g",
                Incarnation("m1", 1, 1),
                "a",
                10,
                1 + (cursors is None),
                [Hello("at:m1", ""), Ping(7, [], [], cursors)],
            )
            replies = group.receive(message, "at:m1", 1.0)
            ack = replies[0].payloads[-1]
            self.assertGreater(len(ack.updates), 2)
            self.assertEqual(bool(ack.deltas), cursors is not None)
            wire.encode_datagram(Message("g", A, "m1", 1, 1, replies[0].payloads), b"a secret")
        with mock.patch.object(ping_exchange, "MAX_UPDATES_BYTES", 10**6):
            replies = group.receive(
                Message("g", Incarnation("m1", 1, 1), "a", 10, 3, [Ping(7, [], [], None)]), "at:m1", 1.0
            )
            with self.assertRaises(MessageTooLongError):
                wire.encode_datagram(Message("g", A, "m1", 1, 1, replies[0].payloads), b"a secret")

    def test_counts_of_a_revived_member_are_bounded_again(self):
        world, nodes = self.start_fleet_with_counters(5, 3)
        world.run(8.0)
        world.pause(nodes[1], 8.0)
        paused_incarnation = nodes[1].group.incarnation
        world.run(15.0)
        self.assertEqual(nodes[0].group.members.members["w001"].state, MemberState.DEAD)
        world.run(22.0)
        for node in [n for n in nodes if n is not nodes[1]]:
            self.assertEqual(node.group.members.members["w001"].state, MemberState.ALIVE)
            self.assertNotIn(paused_incarnation, node.group.ended_at)
            self.assertFalse(node.group.counters.replicas[paused_incarnation].ended)
        nodes[1].group.counters.add("tenant/customer-00000/served", 4)
        reading = nodes[0].group.counters.read(
            "tenant/customer-00000/served", nodes[0].clock(world.now), nodes[0].group.ended_at
        )
        self.assertLessEqual(9, reading.total + reading.missing)
