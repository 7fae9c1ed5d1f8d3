"""The bounds of shared state, under seeded faults on virtual time and in all orders of events.

Each rule that they rest on is taken out one at a time; the check that then fails is named beside it.
"""

import unittest
from collections import deque
from unittest import mock

from ochrehoist.lab.lease_exploration import Bounds, explore, replay
from ochrehoist.lab.virtual.budget_oracle import BudgetExceededError
from ochrehoist.lab.virtual.budget_sweep import run_schedule
from ochrehoist.peers import membership
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.leases import HeldLease, LeaseGrantor, LeaseHolder, RequestRound
from ochrehoist.peers.outlier_detection import OutlierDetector
from ochrehoist.peers.remote_health import RemoteReport
from ochrehoist.peers.wire import HealthObservation, HealthStatus, Incarnation

NAMES = ("w000", "w001", "w002")


class SeededFaultsTest(unittest.TestCase):
    """Seeded faults on virtual time."""

    def test_no_budget_is_exceeded_under_seeded_faults(self):
        for seed in range(24):
            with self.subTest(seed):
                world = run_schedule(seed, 10.0)
                self.assertGreater(sum(world.oracle.use_counts.values()), 0)

    def test_a_seed_makes_the_same_events_every_time(self):
        one, two = run_schedule(7, 8.0), run_schedule(7, 8.0)
        self.assertEqual(one.oracle.use_counts, two.oracle.use_counts)
        self.assertEqual(
            [n.sent_count for n in one.nodes.values()], [n.sent_count for n in two.nodes.values()]
        )


class Orders(unittest.TestCase):
    """Two claimants and one right, every order within the bounds. `make orders` takes wider ones."""

    def test_no_order_of_messages_grants_a_slot_twice(self):
        self.assertGreater(explore(Bounds(voters=1, asks=1, gifts=1, kills=0, repeats=1, ticks=3)), 500)

    def test_no_death_of_a_grantor_or_holder_grants_a_slot_twice(self):
        self.assertGreater(explore(Bounds(voters=1, asks=1, gifts=0, kills=1, repeats=0, ticks=3)), 200)

    def test_no_two_majorities_grant_a_slot_twice(self):
        self.assertGreater(explore(Bounds(voters=2, asks=1, gifts=0, kills=0, repeats=0, ticks=2)), 200)


def no_end(patch):
    patch(
        HeldLease,
        "valid_until",
        lambda self, quorum: float("inf") if len(self.expiry_by_grantor) >= quorum else float("-inf"),
    )


def half_is_enough(patch):
    patch(Budget, "quorum", property(lambda self: len(self.grantors) // 2))


def counted_from_the_answer(patch):
    usual = LeaseHolder.record_grant

    def record_grant(self, grantor, round_number, granted, now):
        self.rounds = deque((RequestRound(r.number, now) for r in self.rounds), maxlen=64)
        return usual(self, grantor, round_number, granted, now)

    patch(LeaseHolder, "record_grant", record_grant)


def grantor_without_a_wait(patch):
    usual = LeaseGrantor.__init__

    def start(self, budget, started_at):
        usual(self, budget, started_at)
        self.no_grants_until_by_floor = {False: 0.0, True: 0.0}

    patch(LeaseGrantor, "__init__", start)


def old_grants_count(patch):
    patch(
        LeaseHolder,
        "request",
        lambda self, slot, now: self.leases.setdefault(slot, HeldLease(requested_at=now)),
    )


def any_incarnation_releases(patch):
    def release(self, incarnation, round_number, slots):
        for slot in slots:
            if slot in self.grants and self.grants[slot].incarnation.name == incarnation.name:
                del self.grants[slot]

    patch(LeaseGrantor, "release", release)


def no_incarnation(patch):
    usual = LeaseGrantor.grant

    def grant(self, incarnation, terms_digest, round_number, slots, now):
        for given in self.grants.values():
            if given.incarnation.name == incarnation.name:
                given.incarnation = incarnation
        return usual(self, incarnation, terms_digest, round_number, slots, now)

    patch(LeaseGrantor, "grant", grant)


def no_window_between(patch):
    usual = LeaseHolder.amount
    patch(
        LeaseHolder,
        "amount",
        lambda self, now, held_for_s=0.0, remaining_s=0.0: usual(self, now, 0.0, remaining_s),
    )


ONE = Bounds(voters=1)
HELD = ["ask 0", "take 0", "take 0"]  # the first claimant asks, the voter hears, its word comes
OTHERS = ["ask 1", "take 0", "take 0"]


def storms(seeds=range(1000, 1060)):
    for seed in seeds:
        run_schedule(seed, 10.0)


class Defects(unittest.TestCase):
    """Each is caught by what is named."""

    def with_defect(self, defect, check):
        patches = []

        def patch(owner, name, value):
            patches.append(mock.patch.object(owner, name, value))
            patches[-1].start()

        try:
            defect(patch)
            check()
        finally:
            for p in patches:
                p.stop()

    def caught(self, defect):
        """By one of some storms, none of which breaks a rule without the defect."""

        def check():
            with self.assertRaises(BudgetExceededError):
                storms()

        self.with_defect(defect, check)

    def doubled_by(self, defect, path):
        """A path of steps that doubles a right with the defect, and not without it."""
        self.assertFalse(replay(ONE, path))
        self.with_defect(defect, lambda: self.assertTrue(replay(ONE, path)))

    def test_a_lease_that_never_expires_is_detected(self):
        self.caught(no_end)

    def test_half_of_the_grantors_as_a_majority_is_detected(self):
        self.caught(half_is_enough)

    def test_a_lease_used_as_soon_as_it_is_held_is_detected(self):
        self.caught(no_window_between)

    def test_a_new_process_taken_for_its_predecessor_is_detected(self):
        self.caught(no_incarnation)

    def test_a_lease_counted_from_the_answer_is_detected(self):
        path = ["ask 0", "take 0", "tick", "tick", "tick", "ask 1", "take 1", "take 1", "take 0"]
        self.doubled_by(counted_from_the_answer, path)

    def test_a_grantor_that_forgets_its_grants_at_a_restart_is_detected(self):
        self.doubled_by(grantor_without_a_wait, [*HELD, "kill voter 0", *OTHERS])

    def test_a_grant_for_a_released_request_is_detected(self):
        self.doubled_by(
            old_grants_count,
            [
                "ask 0",
                "take 0",
                "again 0",
                "gift 0",
                "take 1",
                "ask 1",
                "take 1",
                "take 1",
                "ask 0",
                "take 0",
            ],
        )

    def test_a_release_by_an_earlier_incarnation_is_detected(self):
        self.doubled_by(
            any_incarnation_releases,
            [*HELD, "gift 0", "again 0", "kill holder 0", "ask 0", "take 1", "take 1", "take 0", *OTHERS],
        )

    def test_suspicion_without_a_check_of_own_stalls_is_detected(self):
        def states():
            m = membership.Membership(Incarnation("a", 1, 1), "at:a", "", {}, 0.1, 0.0, 1)
            m.register_sender(Incarnation("b", 1, 1), "at:b", "", 0.0)
            m.last_ack_at = 0.2
            for beat in range(5):
                m.tick(beat * 0.05)
            m.tick(30.0)  # it stood still for half a minute, with a probe open
            m.tick(30.05)
            return {x.state for x in m.members.values()}

        self.assertEqual(states(), {"alive"})
        with mock.patch.object(membership.Membership, "_on_stall", lambda self, gap: None):
            self.assertEqual(states(), {"suspect"})

    def test_trust_in_a_single_observer_is_detected(self):
        reports = {"x": RemoteReport(0.1, [HealthObservation("s1", HealthStatus.SLOW, 9, 0, 20.0)])}
        outliers = OutlierDetector(("s0", "s1", "s2"), 0.5, 1, remote_reports=lambda: reports)
        outliers.evaluate(1.0)
        self.assertEqual(outliers.services["s1"].ejection, "in")

    def test_the_same_holds_for_more_than_two_grantors(self):
        b = Budget("x", 1, NAMES, lease_s=2.0, floor_fraction=0.0)
        voters, first, second = [LeaseGrantor(b, -99.0) for _ in NAMES], LeaseHolder(b), LeaseHolder(b)
        for holder, life, some in (
            (first, Incarnation("a", 1, 1), voters[:2]),
            (second, Incarnation("b", 1, 1), voters[1:]),
        ):
            holder.request(0, 0.0)
            round_, due = holder.due_slots(0.0, 0.2)
            for n, voter in enumerate(voters):
                if voter in some:
                    holder.record_grant(
                        NAMES[n], round_, voter.grant(life, b.terms_digest, round_, due, 0.0), 0.0
                    )
        self.assertEqual((first.holds(0, 1.0), second.holds(0, 1.0)), (True, False))
