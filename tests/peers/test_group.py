"""Fleets of members on virtual time."""

import math
import unittest
from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.lab.virtual.world import World
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.group import Group
from ochrehoist.peers.outlier_detection import (
    BASE_EJECTION_S,
    TRIALS_TO_RECOVER,
    EjectionState,
)
from ochrehoist.peers.wire import (
    HealthStatus,
    Incarnation,
    MemberState,
)


class Fleet(unittest.TestCase):
    """Whole groups on virtual time, in quiet."""

    def test_members_find_each_other_from_one_address_and_counts_agree(self):
        world = World(3, (), encoded=True, addresses_known=False)
        nodes = world.start_fleet(8)
        world.run(3.0)
        for n, node in enumerate(nodes):
            self.assertEqual(len(node.group.members.live_names()), 7)
            node.group.counters.add("served", n + 1)
        world.run(5.0)
        for node in nodes:
            r = node.group.counters.read("served", node.clock(world.now))
            self.assertEqual(r.total, 36)
            self.assertLess(r.age_s, 4.0)

    def test_a_rate_that_one_worker_wants_goes_there(self):
        names = tuple(f"w{n:03d}" for n in range(5))
        world = World(4, (Budget("rate", 40, names, floor_fraction=0.0, floor_lease_s=2.0),))
        nodes = world.start_fleet(5)
        world.observe_ticks(
            lambda node: [world.use_budget(node, "rate") for _ in range(5)] if node is nodes[2] else None
        )
        world.run(15.0)
        self.assertGreaterEqual(nodes[2].group.shares["rate"].holder.amount(nodes[2].clock(15.0)), 36)

    def test_the_load_of_a_worker_does_not_grow_with_the_fleet(self):
        sent = {}
        for count in (5, 40):
            world = World(5, ())
            nodes = world.start_fleet(count)
            world.run(3.0)
            before = sum(n.sent_count for n in nodes)
            world.run(6.0)
            sent[count] = (sum(n.sent_count for n in nodes) - before) / count
        self.assertLess(sent[40], 1.3 * sent[5])

    def test_a_second_process_of_a_name_that_others_follow_ends_the_leases_of_the_first(self):
        names = ("w000", "w001", "w002")
        world = World(6, (Budget("rate", 12, names, floor_lease_s=2.0),), addresses_known=False)
        nodes = world.start_fleet(4)
        world.run(4.0)
        world.start("w003", duplicate=True)
        world.run(8.0)
        self.assertTrue(nodes[3].group.yielded)
        self.assertEqual(nodes[3].group.shares["rate"].holder.held_slots(nodes[3].clock(8.0)), [])

    @settings(deadline=None, max_examples=6)
    @given(st.integers(0, 10**6))
    def test_a_death_is_told_from_a_pause_and_a_cut_of_messages(self, seed):
        """A fifth of the messages is lost, and members pause for 1 s: nobody is called dead for it."""
        world = World(seed, ())
        nodes = world.start_fleet(5)
        world.run(2.0)
        world.set_network_conditions(0.2, 0.0, (0.001, 0.02))
        world.at(3.0, lambda: world.pause(nodes[1], 1.0))
        world.run(8.0)
        self.assertEqual([n.group.members.deaths for n in nodes], [[]] * 5)
        world.kill(nodes[4])
        world.run(20.0)
        for node in nodes[:4]:
            self.assertEqual(node.group.members.members["w004"].state, MemberState.DEAD)


class ColdServer(unittest.TestCase):
    """What comes to a server that returns is the sum of what all workers send, whoever hears whom."""

    # Calls a second that one fleet gives a server it left out: ten throws, each up to three trials in a row.
    BUDGET = 10 * TRIALS_TO_RECOVER

    def first_second(self, count, seed, fleet=None):
        """Calls in the first second at a server that all left out; nobody hears anybody."""
        at, rng = {f"w{n}": f"127.0.0.1:{9000 + n}" for n in range(count)}, Random(seed)
        groups, open_, sent = [], [], 0
        for name, address in at.items():
            terms = FleetSettings(
                "g",
                address,
                "",
                {n: a for n, a in at.items() if n != name},
                (),
                0.1,
                (),
                ("s0", "s1", "s2"),
                0.5,
                3000,
            )
            group = Group(terms, Incarnation(name, 1, 1), 0.0, rng.getrandbits(30))
            if fleet is not None:
                group.outliers._fleet_size = fleet
            group.outliers._change_state(
                group.outliers.services["s0"], "s0", EjectionState.EJECTED, "gone", 0.0
            )
            groups.append(group)
        for ticket in range(1, 40_000):
            now = ticket * 0.0002  # 200 calls a second over all, each at any worker
            if now > BASE_EJECTION_S + 1.0:
                break
            for call in [c for c in open_ if c[0] <= now]:
                open_.remove(call)
                call[1].outliers.call_completed(call[2], call[3], HealthStatus.OK, now)
            if ticket % 25 == 0:
                group = rng.choice(groups)
                group.tick(now)
                busy = Counter(name for _, g, name, _ in open_ if g is group)
                name = group.outliers.rank_services({s: busy[s] for s in ("s0", "s1", "s2")}, now)[0]
                group.outliers.call_started(name, ticket, "read", now)
                open_.append((now + 0.04, group, name, ticket))
                sent += name == "s0"
        return sent

    def test_workers_that_hear_nobody_try_a_server_no_more_often_than_one_fleet_does(self):
        most = self.BUDGET + 2 * math.sqrt(self.BUDGET) + 2
        for count in (20, 30):
            sent = [self.first_second(count, seed) for seed in range(10)]
            self.assertLessEqual(max(sent), most, sent)
            self.assertGreater(min(sent), 0)  # or the server would never be taken back

    def test_it_is_red_where_each_takes_itself_for_the_whole_fleet(self):
        for seed in range(3):
            sent = self.first_second(30, seed, fleet=lambda: 1)
            self.assertGreater(sent, self.BUDGET + 2 * math.sqrt(self.BUDGET) + 2)
