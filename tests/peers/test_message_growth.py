"""Growth of messages and state with the size of the fleet.

Messages, bytes and state are measured on virtual time at three sizes. For each bound, a test checks that it
detects a defect.
"""

import itertools
import sys
import unittest
from unittest import mock

from ochrehoist.lab.virtual.world import World
from ochrehoist.peers import membership, ping_exchange, probing
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.wire import MemberState

SIZES = (5, 20, 60)
WARM_UP_S, MEASURED_S = 8.0, 3.0  # after the warm-up all members know each other and leases are stable
# Bounds for a worker that is not a grantor. At any size it sends 20 messages per second (a ping and an answer
# every 100 ms) and occasional lease requests. Bytes grow with the number of statuses of other members in an
# answer, which reaches its limit at about 25 members. Usual values per additional member: 325 to 340 bytes
# per second up to 20 members, then 59 to 72; 2,040 to 2,078 bytes of state.
MAX_SENT_PER_S = 26.0  # median over the workers
MAX_BYTES_PER_S_PER_MEMBER = {20: 450.0, 60: 150.0}  # by fleet size: increase per additional member
MAX_STATE_BYTES_PER_MEMBER = 2600.0  # increase per additional member


def start_world(count, seed=1):
    grantors = tuple(f"w{n:03d}" for n in range(min(count, 3)))
    world = World(
        seed, (Budget("rate", 60, grantors, floor_lease_s=4.0),), encoded=True, addresses_known=False
    )
    # Only the addresses of grantors are configured, as in a large fleet.
    world.start_fleet(count)
    return world


def deep_size(value, seen):
    """Returns the size in bytes of a value and of all objects reachable from it, except those in `seen`."""
    if id(value) in seen or isinstance(value, type) or callable(value):
        return 0
    seen.add(id(value))
    total = sys.getsizeof(value)
    if isinstance(value, dict):
        return total + sum(deep_size(k, seen) + deep_size(v, seen) for k, v in value.items())
    if isinstance(value, list | tuple | set | frozenset):
        return total + sum(deep_size(v, seen) for v in value)
    names = [s for c in type(value).__mro__ for s in getattr(c, "__slots__", ())]
    names += getattr(type(value), "__struct_fields__", ())
    return (
        total
        + sum(deep_size(getattr(value, n), seen) for n in names if hasattr(value, n))
        + deep_size(getattr(value, "__dict__", None) or (), seen)
    )


def state_size(node):
    node_group = node.group
    held = (
        node_group.members.members,
        node_group.members.latest_incarnations,
        node_group.members.gossip.remaining,
        node_group.members.probes,
        node_group.members.schedule.remaining_targets,
        node_group.inbound.replay_windows,
        node_group.peer_statuses.decoded,
        node_group.ended_at,
        node_group.counters.replicas,
        node_group.counters.folded_counts,
        node_group.outbound.last_greeting_at,
        node_group.pings.relayed_pings,
    )
    return deep_size(held, set())


class FleetMeasurement:
    """Messages and bytes per second (medians) and maximum state size of the members that are not grantors."""

    def __init__(self, count, seed=1):
        world = start_world(count, seed)
        world.run(WARM_UP_S)
        non_grantors = list(world.nodes.values())[3:]
        before = [(n.sent_count, n.sent_bytes) for n in non_grantors]
        world.run(WARM_UP_S + MEASURED_S)
        sent = sorted((n.sent_count - b[0]) / MEASURED_S for n, b in zip(non_grantors, before, strict=True))
        out = sorted((n.sent_bytes - b[1]) / MEASURED_S for n, b in zip(non_grantors, before, strict=True))
        self.count, self.sent, self.bytes = count, sent[len(sent) // 2], out[len(out) // 2]
        self.state = max(state_size(n) for n in non_grantors)


def slope(a, b, what):
    return (getattr(b, what) - getattr(a, what)) / (b.count - a.count)


def assert_bounded(measured):
    """Raises AssertionError if messages, bytes or state of a worker exceed the bounds."""
    for a, b in itertools.pairwise(measured):
        span = f"from {a.count} to {b.count} members"
        assert b.sent <= MAX_SENT_PER_S, f"{b.sent:.1f} messages a second at {b.count} members"
        bytes_, held = slope(a, b, "bytes"), slope(a, b, "state")
        assert bytes_ <= MAX_BYTES_PER_S_PER_MEMBER[b.count], (
            f"{bytes_:.0f} bytes a second for each member, {span}"
        )
        assert held <= MAX_STATE_BYTES_PER_MEMBER, f"{held:.0f} bytes of state for each member, {span}"


class MessageGrowthTest(unittest.TestCase):
    """Messages and state at three fleet sizes."""

    def test_messages_bytes_and_state_stay_within_the_bounds(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                assert_bounded([FleetMeasurement(count, seed) for count in SIZES])

    def test_bound_detects_answers_with_all_members(self):
        with (
            mock.patch.object(ping_exchange, "MAX_OTHER_STATUSES", 10**6),
            mock.patch.object(ping_exchange, "MAX_KNOWN_VERSIONS", 10**6),
            self.assertRaisesRegex(AssertionError, "bytes a second for each member"),
        ):
            assert_bounded([FleetMeasurement(count) for count in (20, 60)])

    def test_bound_detects_probes_proportional_to_fleet_size(self):
        original = membership.Membership.tick

        def tick(self, now):
            actions = original(self, now)
            extra = [
                probing.ProbeAction(name, self.rng.getrandbits(62) | 1, indirect=False)
                for name in self.sample_live(len(self.members) // 20, ())
            ]
            for probe in extra:
                self.probes[probe.nonce] = probing.Probe(probe.target, probe.nonce, now)
            return actions + extra

        with (
            mock.patch.object(membership.Membership, "tick", tick),
            self.assertRaisesRegex(AssertionError, "messages a second"),
        ):
            assert_bounded([FleetMeasurement(count) for count in (20, 60)])

    def test_bound_detects_state_quadratic_in_fleet_size(self):
        original = membership.Membership.apply_status

        def apply_status(self, update, round_trip_s, now):
            statuses = self.latest_incarnations.setdefault("statuses", {})
            statuses[update.incarnation.name, update.version] = update
            original(self, update, round_trip_s, now)

        with (
            mock.patch.object(membership.Membership, "apply_status", apply_status),
            self.assertRaisesRegex(AssertionError, "bytes of state for each member"),
        ):
            assert_bounded([FleetMeasurement(count) for count in (20, 60)])


class ConvergenceAfterPauseTest(unittest.TestCase):
    """Convergence of the membership after a pause of one member."""

    def assert_converges(self, count, fault, limit_s=30.0):
        """Asserts that all members see all others as alive within `limit_s`; returns the time taken in s."""
        world = start_world(count)
        world.run(WARM_UP_S)
        self.assertTrue(self.has_converged(world, count))
        fault(world, world.nodes[world.address("w004")])
        fault_started_at = world.now
        world.run(fault_started_at + 4.0)
        while not self.has_converged(world, count):
            self.assertLess(world.now - fault_started_at, limit_s, f"{count} members have not converged")
            world.run(world.now + 1.0)
        return world.now - fault_started_at

    @staticmethod
    def has_converged(world, count):
        return all(
            sum(m.state == MemberState.ALIVE for m in n.group.members.members.values()) == count - 1
            for n in world.nodes.values()
        )

    def test_small_fleet_converges_after_a_pause(self):
        self.assert_converges(8, lambda world, node: world.pause(node, 1.5))

    def test_fleet_of_twenty_converges_after_a_pause(self):
        self.assert_converges(20, lambda world, node: world.pause(node, 1.5))


if __name__ == "__main__":
    unittest.main()
