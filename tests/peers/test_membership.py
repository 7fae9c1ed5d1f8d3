"""Who is a member: alive, suspected, dead or left."""

import unittest

from ochrehoist.peers.wire import (
    Incarnation,
    MemberState,
    MemberUpdate,
)
from tests.peers.peer_messages import A, B, membership


class MembershipTest(unittest.TestCase):
    """Suspicion, death and return."""

    def meet(self, m, now, *lives):
        for life in lives:
            self.assertTrue(m.register_sender(life, f"at:{life.name}", "", now))

    def quiet(self, m, now, until, answers=()):
        """Beats, with answers of those named."""
        while now < until:
            for probe in m.tick(now):
                if probe.target in answers and not probe.indirect:
                    m.on_ack(probe.nonce, probe.target, now)
            now += 0.05
        return now

    def test_who_does_not_answer_is_suspected_and_then_dead_while_others_answer(self):
        m = membership()
        self.meet(m, 0.0, B, Incarnation("c", 1, 1))
        self.quiet(m, 0.0, 6.0, answers=("c",))
        self.assertEqual((m.members["b"].state, m.members["c"].state), (MemberState.DEAD, MemberState.ALIVE))

    def test_a_member_that_receives_nothing_is_isolated_and_declares_nobody_dead(self):
        m = membership()
        self.meet(m, 0.0, B, Incarnation("c", 1, 1))
        now = self.quiet(m, 0.0, 2.0, answers=("b", "c"))
        now = self.quiet(m, now, now + 20.0)
        self.assertGreater(m.isolated_for_s(now), 10.0)
        self.assertNotIn(MemberState.DEAD, {x.state for x in m.members.values()})

    def test_one_that_stalled_itself_accuses_nobody_for_it(self):
        m = membership()
        self.meet(m, 0.0, B, Incarnation("c", 1, 1))
        now = self.quiet(m, 0.0, 2.0, answers=("b", "c"))
        m.tick(now + 30.0)  # half a minute later by its clock, with probes open
        now = self.quiet(m, now + 30.0, now + 31.0, answers=("b", "c"))
        self.assertEqual({x.state for x in m.members.values()}, {MemberState.ALIVE})
        self.assertEqual(m.stall_count, 1)

    def test_messages_of_an_earlier_incarnation_are_ignored_after_its_successor(self):
        m = membership()
        self.meet(m, 0.0, Incarnation("b", 20, 1))
        self.assertFalse(m.register_sender(B, "at:b", "", 1.0))
        m.apply_gossip(MemberUpdate(B, "elsewhere", "", MemberState.ALIVE), "c", 1.0)
        self.assertEqual(m.members["b"].incarnation.number, 20)

    def test_gossip_alone_neither_revives_a_member_nor_removes_one_that_answers(self):
        m = membership()
        self.meet(m, 0.0, B)
        now = self.quiet(m, 0.0, 1.0, answers=("b",))
        m.apply_gossip(MemberUpdate(B, "at:b", "", MemberState.DEAD), "c", now)
        self.assertEqual(m.members["b"].state, MemberState.ALIVE)
        m.apply_gossip(MemberUpdate(B, "at:b", "", MemberState.LEFT), "c", now)
        self.assertEqual(m.members["b"].state, MemberState.LEFT)

    def test_a_start_with_an_earlier_clock_comes_after_what_it_was(self):
        m = membership()
        m.note_duplicate(Incarnation("a", 500, 7))
        self.assertEqual((m.incarnation.number, m.incarnation.boot_id, m.duplicate), (501, 1, None))

    def test_a_member_already_seen_does_not_contest_its_name(self):
        m = membership()
        m.established = True
        m.note_duplicate(Incarnation("a", 500, 7))
        self.assertEqual((m.incarnation, m.duplicate), (A, Incarnation("a", 500, 7)))
        m.note_duplicate(Incarnation("a", 3, 7))  # what it said long ago, played again
