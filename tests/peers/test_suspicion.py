"""How an accusation of a member ends: refutation numbers, which only the accused raises (SWIM)."""

import unittest

import msgspec

from ochrehoist.lab.virtual.world import World
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.wire import Incarnation, MemberState, MemberUpdate

A, B = Incarnation("a", 10, 1), Incarnation("b", 10, 1)


def update(state, refutations=0, life=B, version=0):
    return MemberUpdate(life, f"at:{life.name}", "", state, version, -1, b"", refutations)


class RefutationTest(unittest.TestCase):
    """Accusations and their refutation."""

    def setUp(self):
        self.m = Membership(A, "at:a", "", {}, 0.1, 0.0, 1)
        self.m.register_sender(B, "at:b", "", 0.0)
        self.b = self.m.members["b"]

    def receive(self, *entries, now=10.0):
        for e in entries:
            self.m.apply_gossip(e, "c", now)
        return self.b.state

    def test_a_higher_number_ends_a_suspicion_and_the_same_does_not(self):
        self.assertEqual(
            self.receive(update(MemberState.SUSPECT), update(MemberState.ALIVE)), MemberState.SUSPECT
        )
        self.assertEqual(self.receive(update(MemberState.ALIVE, 1)), MemberState.ALIVE)
        self.assertEqual(self.b.accusers, set())

    def test_a_newer_version_alone_ends_no_suspicion(self):
        """Each tick makes one: it may be older than the accusation, and newer than what the accuser had."""
        self.receive(update(MemberState.SUSPECT, version=5))
        self.assertEqual(self.receive(update(MemberState.ALIVE, version=900)), MemberState.SUSPECT)

    def test_an_accusation_that_was_refuted_is_ignored_whoever_repeats_it(self):
        self.receive(update(MemberState.ALIVE, 1))
        self.assertEqual(
            self.receive(update(MemberState.SUSPECT), update(MemberState.DEAD)), MemberState.ALIVE
        )
        self.assertEqual(self.receive(update(MemberState.SUSPECT, 1)), MemberState.SUSPECT)

    def test_an_accusation_of_a_higher_number_begins_anew(self):
        self.receive(update(MemberState.SUSPECT), now=10.0)
        self.receive(update(MemberState.SUSPECT, 3), now=11.0)
        self.assertEqual(
            (self.b.state, self.b.suspected_at, self.b.refutations), (MemberState.SUSPECT, 11.0, 3)
        )

    def test_one_called_dead_returns_by_a_higher_number_only(self):
        self.b.state = MemberState.DEAD
        self.assertEqual(self.receive(update(MemberState.ALIVE)), MemberState.DEAD)
        self.assertEqual(self.receive(update(MemberState.ALIVE, 1)), MemberState.ALIVE)

    def test_who_left_stays_so(self):
        self.receive(update(MemberState.LEFT))
        self.assertEqual(self.receive(update(MemberState.ALIVE, 4)), MemberState.LEFT)

    def test_an_accusation_of_another_incarnation_does_not_affect_this_one(self):
        self.receive(update(MemberState.SUSPECT))
        self.assertEqual(
            self.receive(update(MemberState.ALIVE, 4, Incarnation("b", 9, 1))), MemberState.SUSPECT
        )
        self.receive(update(MemberState.ALIVE, 4, Incarnation("b", 11, 1)))
        self.assertEqual((self.m.members["b"].state, self.m.members["b"].refutations), (MemberState.ALIVE, 4))
        self.assertEqual(self.m.members["b"].incarnation.number, 11)

    def test_a_refutation_in_an_answer_counts_too(self):
        self.receive(update(MemberState.SUSPECT))
        self.m.apply_status(MemberUpdate(B, "at:b", "", MemberState.ALIVE, 7, 20, b"", 1), 0.01, 10.0)
        self.assertEqual(self.b.state, MemberState.ALIVE)

    def test_the_accused_alone_raises_its_number_above_the_accusation(self):
        self.m.apply_gossip(update(MemberState.SUSPECT, 0, A), "c", 1.0)
        self.assertEqual(self.m.refutations, 1)
        self.m.apply_gossip(update(MemberState.DEAD, 0, A), "c", 1.0)  # answered before
        self.m.apply_gossip(update(MemberState.ALIVE, 1, A), "c", 1.0)
        self.assertEqual(self.m.refutations, 1)
        self.m.apply_gossip(update(MemberState.DEAD, 6, A), "c", 1.0)
        self.assertEqual(self.m.refutations, 7)
        self.m.apply_gossip(
            update(MemberState.SUSPECT, 6, Incarnation("a", 9, 1)), "c", 1.0
        )  # an earlier incarnation
        self.assertEqual(self.m.refutations, 7)
        self.m._suspect(self.b, "a", 1.0)
        self.assertEqual(self.b.refutations, 0)

    def test_a_pinged_member_receives_its_accusation_and_each_other_update(self):
        self.receive(update(MemberState.SUSPECT))
        self.m.gossip.remaining.clear()
        me = update(MemberState.ALIVE, 0, A)
        self.assertEqual(
            [(e.incarnation, e.state) for e in self.m.select_gossip(me, "b")],
            [(B, MemberState.SUSPECT)],
        )
        self.assertEqual(self.m.select_gossip(me, "c"), [])
        self.m.gossip.remaining = {"b": 2, "a": 1}
        self.assertEqual([e.incarnation for e in self.m.select_gossip(me, "b")], [B, A])
        self.receive(update(MemberState.ALIVE, 1))
        self.m.gossip.remaining.clear()
        self.assertEqual(self.m.select_gossip(me, "b"), [])


class EntryOfBefore(msgspec.Struct, array_like=True):
    """What a member before refutation numbers reads and says."""

    life: Incarnation
    address: str
    site: str
    state: str
    version: int = 0
    age_ms: int = -1
    status: bytes = b""


class EarlierReleaseTest(unittest.TestCase):
    """Members of an earlier release."""

    def test_members_of_before_read_what_they_get_and_are_read(self):
        new = MemberUpdate(B, "at:b", "s", MemberState.SUSPECT, 3, 7, b"status", 5)
        old = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=EntryOfBefore)
        self.assertEqual(old, EntryOfBefore(B, "at:b", "s", MemberState.SUSPECT, 3, 7, b"status"))
        back = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=MemberUpdate)
        self.assertEqual(back, MemberUpdate(B, "at:b", "s", MemberState.SUSPECT, 3, 7, b"status", 0))


class Rest(unittest.TestCase):
    """A group is at rest again after one fault, at sizes where not all have heard each other lately."""

    WITHIN_S = 30.0

    def after(self, count, fault, lasts):
        w = World(
            1,
            (Budget("rate", 60, ("w000", "w001", "w002"), floor_lease_s=4.0),),
            encoded=True,
            addresses_known=False,
        )
        w.start_fleet(count)
        w.run(10.0)
        self.assertEqual(self.wrong(w, count), [])
        fault(w, w.nodes[w.address("w004")])
        over = w.now + lasts
        w.run(over + 1.0)
        while self.wrong(w, count):
            self.assertLess(w.now - over, self.WITHIN_S, self.wrong(w, count))
            w.run(w.now + 1.0)
        w.run(w.now + 5.0)
        self.assertEqual(self.wrong(w, count), [])  # and stays so
        return w

    @staticmethod
    def wrong(w, count):
        if len(w.nodes) < count:
            return ["one is not there"]
        return [
            (n.name, m.incarnation.name, m.state)
            for n in w.nodes.values()
            for m in n.group.members.members.values()
            if m.state != MemberState.ALIVE
            or m.incarnation != w.nodes[w.address(m.incarnation.name)].group.incarnation
        ] + [n.name for n in w.nodes.values() if len(n.group.members.members) != count - 1]

    def test_after_a_pause(self):
        for count in (20, 40):
            with self.subTest(count=count):
                self.after(count, lambda w, node: w.pause(node, 1.5), 1.5)

    def test_after_a_pause_that_all_call_a_death(self):
        w = self.after(20, lambda w, node: w.pause(node, 10.0), 10.0)
        self.assertGreaterEqual(sum(bool(n.group.members.deaths) for n in w.nodes.values()), 19)

    def test_after_a_kill_and_a_start(self):
        def fault(w, node):
            w.kill(node)
            w.at(w.now + 1.0, lambda: w.start(node.name))

        self.after(20, fault, 1.0)

    def test_after_a_cut_of_one(self):
        self.after(20, lambda w, node: w.partition({node.name}, set(w.names) - {node.name}, 3.0), 3.0)

    def test_after_a_cut_into_halves(self):
        w = self.after(20, lambda w, node: w.partition(set(w.names[:10]), set(w.names[10:]), 8.0), 8.0)
        self.assertTrue(any(n.group.members.deaths for n in w.nodes.values()))

    def test_a_death_is_agreed_by_all_and_not_revoked(self):
        w = World(2, (), encoded=True, addresses_known=False)
        nodes = w.start_fleet(20)
        w.run(10.0)
        w.kill(nodes[4])
        w.run(25.0)
        for _ in range(10):
            self.assertEqual(
                {n.group.members.members["w004"].state for n in w.nodes.values()}, {MemberState.DEAD}
            )
            w.run(w.now + 1.0)


if __name__ == "__main__":
    unittest.main()
