"""Fleets on virtual time: discovery, leases, failure detection and trials of ejected services."""

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


class FleetTest(unittest.TestCase):
    """Fleets with few or no faults."""

    def test_members_discover_each_other_from_one_seed_and_counts_agree(self):
        world = World(3, (), encoded=True, addresses_known=False)
        nodes = world.start_fleet(8)
        world.run(3.0)
        for n, node in enumerate(nodes):
            self.assertEqual(len(node.group.members.live_names()), 7)
            node.group.counters.add("served", n + 1)
        world.run(5.0)
        for node in nodes:
            reading = node.group.counters.read("served", node.clock(world.now))
            self.assertEqual(reading.total, 36)
            self.assertLess(reading.age_s, 4.0)

    def test_unused_rate_moves_to_the_worker_with_demand(self):
        names = tuple(f"w{n:03d}" for n in range(5))
        world = World(4, (Budget("rate", 40, names, floor_fraction=0.0, floor_lease_s=2.0),))
        nodes = world.start_fleet(5)
        world.observe_ticks(
            lambda node: [world.use_budget(node, "rate") for _ in range(5)] if node is nodes[2] else None
        )
        world.run(15.0)
        self.assertGreaterEqual(nodes[2].group.shares["rate"].holder.amount(nodes[2].clock(15.0)), 36)

    def test_message_rate_of_a_worker_is_independent_of_fleet_size(self):
        sent = {}
        for count in (5, 40):
            world = World(5, ())
            nodes = world.start_fleet(count)
            world.run(3.0)
            before = sum(n.sent_count for n in nodes)
            world.run(6.0)
            sent[count] = (sum(n.sent_count for n in nodes) - before) / count
        self.assertLess(sent[40], 1.3 * sent[5])

    def test_duplicate_accepted_by_others_ends_the_leases_of_the_first_process(self):
        names = ("w000", "w001", "w002")
        world = World(6, (Budget("rate", 12, names, floor_lease_s=2.0),), addresses_known=False)
        nodes = world.start_fleet(4)
        world.run(4.0)
        world.start("w003", duplicate=True)
        world.run(8.0)
        self.assertTrue(nodes[3].group.superseded)
        self.assertEqual(nodes[3].group.shares["rate"].holder.held_slots(nodes[3].clock(8.0)), [])

    @settings(deadline=None, max_examples=6)
    @given(st.integers(0, 10**6))
    def test_death_is_distinguished_from_a_pause_and_message_loss(self, seed):
        """With 20 % message loss and a pause of 1 s no member is declared dead; a killed one is."""
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


class EjectedServiceTrialsTest(unittest.TestCase):
    """Trials of many isolated workers, which must not overload a recovering service."""

    # Expected trial calls per second of one fleet: ten random draws, each followed by up to three trials.
    TRIALS_OF_ONE_FLEET = 10 * TRIALS_TO_RECOVER

    def count_first_second_calls(self, count, seed, fleet=None):
        """Returns the calls in the first second to a service that all workers have ejected in isolation."""
        addresses, rng = {f"w{n}": f"127.0.0.1:{9000 + n}" for n in range(count)}, Random(seed)
        groups, open_calls, sent = [], [], 0
        for name, address in addresses.items():
            fleet_settings = FleetSettings(
                "g",
                address,
                "",
                {n: a for n, a in addresses.items() if n != name},
                (),
                0.1,
                (),
                ("s0", "s1", "s2"),
                0.5,
                3000,
            )
            group = Group(fleet_settings, Incarnation(name, 1, 1), 0.0, rng.getrandbits(30))
            if fleet is not None:
                group.outliers._fleet_size = fleet
            group.outliers._change_state(
                group.outliers.services["s0"], "s0", EjectionState.EJECTED, "gone", 0.0
            )
            groups.append(group)
        for ticket in range(1, 40_000):
            now = ticket * 0.0002  # 200 calls per second in total, each at a random worker
            if now > BASE_EJECTION_S + 1.0:
                break
            for call in [c for c in open_calls if c[0] <= now]:
                open_calls.remove(call)
                call[1].outliers.call_completed(call[2], call[3], HealthStatus.OK, now)
            if ticket % 25 == 0:
                group = rng.choice(groups)
                group.tick(now)
                busy = Counter(name for _, g, name, _ in open_calls if g is group)
                name = group.outliers.rank_services({s: busy[s] for s in ("s0", "s1", "s2")}, now)[0]
                group.outliers.call_started(name, ticket, "read", now)
                open_calls.append((now + 0.04, group, name, ticket))
                sent += name == "s0"
        return sent

    def test_isolated_workers_send_no_more_trials_than_one_fleet(self):
        max_calls = self.TRIALS_OF_ONE_FLEET + 2 * math.sqrt(self.TRIALS_OF_ONE_FLEET) + 2
        for count in (20, 30):
            sent = [self.count_first_second_calls(count, seed) for seed in range(10)]
            self.assertLessEqual(max(sent), max_calls, sent)
            self.assertGreater(min(sent), 0)  # otherwise the service would never be readmitted

    def test_bound_detects_workers_that_assume_a_fleet_of_one(self):
        for seed in range(3):
            sent = self.count_first_second_calls(30, seed, fleet=lambda: 1)
            self.assertGreater(sent, self.TRIALS_OF_ONE_FLEET + 2 * math.sqrt(self.TRIALS_OF_ONE_FLEET) + 2)
