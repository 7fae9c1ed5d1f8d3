"""SWIM membership: alive, suspected, dead and left members."""

import unittest

from ochrehoist.peers.wire import (
    Incarnation,
    MemberState,
    MemberUpdate,
)
from tests.peers.peer_messages import A, B, make_membership


class MembershipTest(unittest.TestCase):
    """Suspicion, declaration as dead, and revival."""

    def register(self, membership, now, *incarnations):
        for incarnation in incarnations:
            self.assertTrue(membership.register_sender(incarnation, f"at:{incarnation.name}", "", now))

    def run_ticks(self, membership, now, until, answers=()):
        """Runs ticks up to `until`; the members in `answers` acknowledge pings. Returns the end time."""
        while now < until:
            for probe in membership.tick(now):
                if probe.target in answers and not probe.indirect:
                    membership.on_ack(probe.nonce, probe.target, now)
            now += 0.05
        return now

    def test_unresponsive_member_is_suspected_then_declared_dead(self):
        membership = make_membership()
        self.register(membership, 0.0, B, Incarnation("c", 1, 1))
        self.run_ticks(membership, 0.0, 6.0, answers=("c",))
        self.assertEqual(
            (membership.members["b"].state, membership.members["c"].state),
            (MemberState.DEAD, MemberState.ALIVE),
        )

    def test_isolated_member_declares_no_member_dead(self):
        membership = make_membership()
        self.register(membership, 0.0, B, Incarnation("c", 1, 1))
        now = self.run_ticks(membership, 0.0, 2.0, answers=("b", "c"))
        now = self.run_ticks(membership, now, now + 20.0)
        self.assertGreater(membership.isolated_for_s(now), 10.0)
        self.assertNotIn(MemberState.DEAD, {x.state for x in membership.members.values()})

    def test_stalled_member_suspects_no_other(self):
        membership = make_membership()
        self.register(membership, 0.0, B, Incarnation("c", 1, 1))
        now = self.run_ticks(membership, 0.0, 2.0, answers=("b", "c"))
        membership.tick(now + 30.0)  # stall of 30 s, with outstanding probes
        now = self.run_ticks(membership, now + 30.0, now + 31.0, answers=("b", "c"))
        self.assertEqual({x.state for x in membership.members.values()}, {MemberState.ALIVE})
        self.assertEqual(membership.stall_count, 1)

    def test_messages_of_an_earlier_incarnation_are_ignored_after_its_successor(self):
        membership = make_membership()
        self.register(membership, 0.0, Incarnation("b", 20, 1))
        self.assertFalse(membership.register_sender(B, "at:b", "", 1.0))
        membership.apply_gossip(MemberUpdate(B, "elsewhere", "", MemberState.ALIVE), "c", 1.0)
        self.assertEqual(membership.members["b"].incarnation.number, 20)

    def test_gossip_alone_neither_revives_a_member_nor_removes_one_that_answers(self):
        membership = make_membership()
        self.register(membership, 0.0, B)
        now = self.run_ticks(membership, 0.0, 1.0, answers=("b",))
        membership.apply_gossip(MemberUpdate(B, "at:b", "", MemberState.DEAD), "c", now)
        self.assertEqual(membership.members["b"].state, MemberState.ALIVE)
        membership.apply_gossip(MemberUpdate(B, "at:b", "", MemberState.LEFT), "c", now)
        self.assertEqual(membership.members["b"].state, MemberState.LEFT)

    def test_restart_with_an_earlier_clock_supersedes_the_previous_incarnation(self):
        membership = make_membership()
        membership.note_duplicate(Incarnation("a", 500, 7))
        self.assertEqual(
            (membership.incarnation.number, membership.incarnation.boot_id, membership.duplicate),
            (501, 1, None),
        )

    def test_established_member_keeps_its_incarnation_despite_a_duplicate(self):
        membership = make_membership()
        membership.established = True
        membership.note_duplicate(Incarnation("a", 500, 7))
        self.assertEqual((membership.incarnation, membership.duplicate), (A, Incarnation("a", 500, 7)))
        membership.note_duplicate(Incarnation("a", 3, 7))  # replayed message of an earlier incarnation
