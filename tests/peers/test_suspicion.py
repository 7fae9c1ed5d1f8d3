"""SWIM suspicion and its refutation by numbers that only the accused member raises."""

import unittest

import msgspec

from ochrehoist.lab.virtual.world import World
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.wire import Incarnation, MemberState, MemberUpdate

A, B = Incarnation("a", 10, 1), Incarnation("b", 10, 1)


def update(state, refutations=0, incarnation=B, version=0):
    return MemberUpdate(incarnation, f"at:{incarnation.name}", "", state, version, -1, b"", refutations)


class RefutationTest(unittest.TestCase):
    """Accusations and their refutation."""

    def setUp(self):
        self.membership = Membership(A, "at:a", "", {}, 0.1, 0.0, 1)
        self.membership.register_sender(B, "at:b", "", 0.0)
        self.member = self.membership.members["b"]

    def receive(self, *entries, now=10.0):
        for entry in entries:
            self.membership.apply_gossip(entry, "c", now)
        return self.member.state

    def test_only_a_higher_refutation_number_ends_a_suspicion(self):
        self.assertEqual(
            self.receive(update(MemberState.SUSPECT), update(MemberState.ALIVE)), MemberState.SUSPECT
        )
        self.assertEqual(self.receive(update(MemberState.ALIVE, 1)), MemberState.ALIVE)
        self.assertEqual(self.member.accusers, set())

    def test_newer_status_version_does_not_end_a_suspicion(self):
        """A version grows with each tick, so a newer one may still be older than the accusation."""
        self.receive(update(MemberState.SUSPECT, version=5))
        self.assertEqual(self.receive(update(MemberState.ALIVE, version=900)), MemberState.SUSPECT)

    def test_refuted_accusation_is_ignored(self):
        self.receive(update(MemberState.ALIVE, 1))
        self.assertEqual(
            self.receive(update(MemberState.SUSPECT), update(MemberState.DEAD)), MemberState.ALIVE
        )
        self.assertEqual(self.receive(update(MemberState.SUSPECT, 1)), MemberState.SUSPECT)

    def test_accusation_with_a_higher_number_starts_a_new_suspicion(self):
        self.receive(update(MemberState.SUSPECT), now=10.0)
        self.receive(update(MemberState.SUSPECT, 3), now=11.0)
        self.assertEqual(
            (self.member.state, self.member.suspected_at, self.member.refutations),
            (MemberState.SUSPECT, 11.0, 3),
        )

    def test_dead_member_is_revived_only_by_a_higher_number(self):
        self.member.state = MemberState.DEAD
        self.assertEqual(self.receive(update(MemberState.ALIVE)), MemberState.DEAD)
        self.assertEqual(self.receive(update(MemberState.ALIVE, 1)), MemberState.ALIVE)

    def test_member_that_left_is_not_revived(self):
        self.receive(update(MemberState.LEFT))
        self.assertEqual(self.receive(update(MemberState.ALIVE, 4)), MemberState.LEFT)

    def test_refutation_of_an_earlier_incarnation_does_not_affect_the_current_one(self):
        self.receive(update(MemberState.SUSPECT))
        self.assertEqual(
            self.receive(update(MemberState.ALIVE, 4, Incarnation("b", 9, 1))), MemberState.SUSPECT
        )
        self.receive(update(MemberState.ALIVE, 4, Incarnation("b", 11, 1)))
        self.assertEqual(
            (self.membership.members["b"].state, self.membership.members["b"].refutations),
            (MemberState.ALIVE, 4),
        )
        self.assertEqual(self.membership.members["b"].incarnation.number, 11)

    def test_refutation_in_an_acknowledgement_ends_a_suspicion(self):
        self.receive(update(MemberState.SUSPECT))
        self.membership.apply_status(
            MemberUpdate(B, "at:b", "", MemberState.ALIVE, 7, 20, b"", 1), 0.01, 10.0
        )
        self.assertEqual(self.member.state, MemberState.ALIVE)

    def test_only_the_accused_member_raises_its_refutation_number(self):
        self.membership.apply_gossip(update(MemberState.SUSPECT, 0, A), "c", 1.0)
        self.assertEqual(self.membership.refutations, 1)
        self.membership.apply_gossip(update(MemberState.DEAD, 0, A), "c", 1.0)  # already refuted
        self.membership.apply_gossip(update(MemberState.ALIVE, 1, A), "c", 1.0)
        self.assertEqual(self.membership.refutations, 1)
        self.membership.apply_gossip(update(MemberState.DEAD, 6, A), "c", 1.0)
        self.assertEqual(self.membership.refutations, 7)
        # An accusation of an earlier incarnation has no effect.
        self.membership.apply_gossip(update(MemberState.SUSPECT, 6, Incarnation("a", 9, 1)), "c", 1.0)
        self.assertEqual(self.membership.refutations, 7)
        self.membership._suspect(self.member, "a", 1.0)
        self.assertEqual(self.member.refutations, 0)

    def test_pinged_member_always_receives_its_accusation(self):
        self.receive(update(MemberState.SUSPECT))
        self.membership.gossip.remaining.clear()
        own_update = update(MemberState.ALIVE, 0, A)
        self.assertEqual(
            [(e.incarnation, e.state) for e in self.membership.select_gossip(own_update, "b")],
            [(B, MemberState.SUSPECT)],
        )
        self.assertEqual(self.membership.select_gossip(own_update, "c"), [])
        self.membership.gossip.remaining = {"b": 2, "a": 1}
        self.assertEqual([e.incarnation for e in self.membership.select_gossip(own_update, "b")], [B, A])
        self.receive(update(MemberState.ALIVE, 1))
        self.membership.gossip.remaining.clear()
        self.assertEqual(self.membership.select_gossip(own_update, "b"), [])


class PreviousMemberUpdate(msgspec.Struct, array_like=True):
    """A member update as declared in the previous release, without refutation numbers."""

    incarnation: Incarnation
    address: str
    site: str
    state: str
    version: int = 0
    age_ms: int = -1
    status: bytes = b""


class EarlierReleaseTest(unittest.TestCase):
    """Compatibility with members of the previous release."""

    def test_member_updates_are_compatible_with_the_previous_release(self):
        new = MemberUpdate(B, "at:b", "s", MemberState.SUSPECT, 3, 7, b"status", 5)
        old = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=PreviousMemberUpdate)
        self.assertEqual(old, PreviousMemberUpdate(B, "at:b", "s", MemberState.SUSPECT, 3, 7, b"status"))
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=MemberUpdate)
        self.assertEqual(decoded, MemberUpdate(B, "at:b", "s", MemberState.SUSPECT, 3, 7, b"status", 0))


class ConvergenceAfterFaultTest(unittest.TestCase):
    """Convergence after one fault, in fleets too large for all members to have pinged each other recently."""

    CONVERGENCE_LIMIT_S = 30.0

    def run_fault(self, count, fault, duration_s):
        world = World(
            1,
            (Budget("rate", 60, ("w000", "w001", "w002"), floor_lease_s=4.0),),
            encoded=True,
            addresses_known=False,
        )
        world.start_fleet(count)
        world.run(10.0)
        self.assertEqual(self.inconsistencies(world, count), [])
        fault(world, world.nodes[world.address("w004")])
        fault_ends_at = world.now + duration_s
        world.run(fault_ends_at + 1.0)
        while self.inconsistencies(world, count):
            self.assertLess(
                world.now - fault_ends_at, self.CONVERGENCE_LIMIT_S, self.inconsistencies(world, count)
            )
            world.run(world.now + 1.0)
        world.run(world.now + 5.0)
        self.assertEqual(self.inconsistencies(world, count), [])  # the fleet remains converged
        return world

    @staticmethod
    def inconsistencies(world, count):
        if len(world.nodes) < count:
            return ["a member is not running"]
        return [
            (n.name, m.incarnation.name, m.state)
            for n in world.nodes.values()
            for m in n.group.members.members.values()
            if m.state != MemberState.ALIVE
            or m.incarnation != world.nodes[world.address(m.incarnation.name)].group.incarnation
        ] + [n.name for n in world.nodes.values() if len(n.group.members.members) != count - 1]

    def test_after_a_pause(self):
        for count in (20, 40):
            with self.subTest(count=count):
                self.run_fault(count, lambda world, node: world.pause(node, 1.5), 1.5)

    def test_after_a_pause_that_leads_to_a_declared_death(self):
        world = self.run_fault(20, lambda world, node: world.pause(node, 10.0), 10.0)
        self.assertGreaterEqual(sum(bool(n.group.members.deaths) for n in world.nodes.values()), 19)

    def test_after_a_crash_and_restart(self):
        def fault(world, node):
            world.kill(node)
            world.at(world.now + 1.0, lambda: world.start(node.name))

        self.run_fault(20, fault, 1.0)

    def test_after_a_partition_of_one_member(self):
        self.run_fault(
            20, lambda world, node: world.partition({node.name}, set(world.names) - {node.name}, 3.0), 3.0
        )

    def test_after_a_partition_into_halves(self):
        world = self.run_fault(
            20, lambda world, node: world.partition(set(world.names[:10]), set(world.names[10:]), 8.0), 8.0
        )
        self.assertTrue(any(n.group.members.deaths for n in world.nodes.values()))

    def test_a_death_is_agreed_by_all_and_not_revoked(self):
        world = World(2, (), encoded=True, addresses_known=False)
        nodes = world.start_fleet(20)
        world.run(10.0)
        world.kill(nodes[4])
        world.run(25.0)
        for _ in range(10):
            self.assertEqual(
                {n.group.members.members["w004"].state for n in world.nodes.values()}, {MemberState.DEAD}
            )
            world.run(world.now + 1.0)


if __name__ == "__main__":
    unittest.main()
