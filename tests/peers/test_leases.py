"""Leases of slots: granted by a majority, bounded in time, never held twice."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.peers import lease_assignment
from ochrehoist.peers.budget import CLOCK_DRIFT, GRANT_GUARD_S, RATE_WINDOW_S, Budget
from ochrehoist.peers.leases import LeaseGrantor, LeaseHolder
from ochrehoist.peers.usage import UsageMeter
from ochrehoist.peers.wire import (
    Incarnation,
)
from tests.peers.peer_messages import BUDGET, A, B


class Leases(unittest.TestCase):
    def held(self, budget=BUDGET, right=3, now=100.0, life=A):
        grantors = {n: LeaseGrantor(budget, 0.0) for n in budget.grantors}
        holder = LeaseHolder(budget)
        self.request(grantors, holder, life, right, now)
        return grantors, holder

    def request(self, grantors, holder, life, right, now, silent=()):
        holder.request(right, now)
        holder.leases[right].last_round_at = -1e9
        round_, due = holder.due_slots(now, 0.2)
        for name, grantor in grantors.items():
            if name not in silent:
                holder.record_grant(
                    name, round_, grantor.grant(life, holder.budget.terms_digest, round_, due, now), now
                )

    def test_the_slots_of_a_budget_come_to_its_amount(self):
        for amount in (1, 2, 7, 63, 64, 65, 1000):
            b = Budget("x", amount, ("a", "b", "c"))
            self.assertEqual(sum(b.slot_amount(r) for r in range(b.slot_count)), amount)
            self.assertTrue(all(b.slot_amount(r) >= 1 for r in range(b.slot_count)))

    def test_a_majority_is_needed_and_ends_by_the_holders_own_clock(self):
        grantors, holder = self.held()
        self.assertTrue(holder.holds(3, 101.99))
        self.assertFalse(holder.holds(3, 102.0))
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        self.request(grantors, holder, A, 3, 100.0, silent=("b", "c"))
        self.assertFalse(holder.holds(3, 100.1))

    def test_another_incarnation_is_granted_a_slot_only_once_the_first_can_use_it_no_more(self):
        grantors, holder = self.held()
        other = LeaseHolder(BUDGET)
        last = 100 + 2.0 * (1 + CLOCK_DRIFT) + GRANT_GUARD_S
        self.request(grantors, other, Incarnation("a", 11, 2), 3, last - 0.01)
        self.assertFalse(other.holds(3, last))
        self.request(grantors, other, Incarnation("a", 11, 2), 3, last + 0.01)
        self.assertTrue(other.holds(3, last + 0.02))

    def test_a_grant_is_counted_from_when_it_was_requested(self):
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        holder.request(3, 100.0)
        round_, due = holder.due_slots(100.0, 0.2)
        for name, grantor in grantors.items():  # the answers take 1.5 s
            holder.record_grant(
                name, round_, grantor.grant(A, BUDGET.terms_digest, round_, due, 100.0), 101.5
            )
        self.assertFalse(holder.holds(3, 102.0))

    def test_a_grantor_that_has_just_started_waits_for_what_it_may_have_granted_before(self):
        grantor = LeaseGrantor(BUDGET, 100.0)
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 1, [3, 0], 102.0), [])
        self.assertEqual(
            grantor.grant(A, BUDGET.terms_digest, 2, [3, 0], 102.5), [3]
        )  # the floor takes longer
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 3, [0], 110.9), [0])

    def test_a_floor_is_its_homes_alone(self):
        grantor = LeaseGrantor(BUDGET, 0.0)
        self.assertEqual(grantor.grant(B, BUDGET.terms_digest, 1, [0, 1], 100.0), [1])

    def test_on_other_terms_nothing_is_granted_until_the_old_grants_end(self):
        grantors, _ = self.held()
        half = Budget("x", 6, ("a", "b", "c"), lease_s=2.0, floor_fraction=0.25, floor_lease_s=10.0)
        for grantor in grantors.values():
            self.assertEqual(grantor.grant(B, half.terms_digest, 1, [2], 100.0), [])
            grantor.reconfigure(half, 100.5)
            self.assertEqual(grantor.grant(B, half.terms_digest, 1, [2], 101.0), [])
            self.assertEqual(grantor.grant(B, half.terms_digest, 2, [2], 113.0), [2])

    def test_what_was_released_is_not_granted_to_a_request_from_before(self):
        grantor = LeaseGrantor(BUDGET, 0.0)
        grantor.grant(A, BUDGET.terms_digest, 1, [3], 100.0)
        grantor.release(A, 3, [3])
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 2, [3], 100.1), [])
        self.assertEqual(grantor.grant(B, BUDGET.terms_digest, 1, [3], 100.1), [3])
        grantor.release(A, 3, [3])  # once more: it is another's now
        self.assertEqual(grantor.grants[3].incarnation, B)

    def test_a_grant_for_an_earlier_request_does_not_count_for_the_next(self):
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        holder.request(3, 100.0)
        round_, due = holder.due_slots(100.0, 0.2)
        grants = {n: v.grant(A, BUDGET.terms_digest, round_, due, 100.0) for n, v in grantors.items()}
        back, _ = holder.drop([3])
        for v in grantors.values():
            v.release(A, back, [3])
        holder.request(3, 100.1)
        for name, granted in grants.items():
            holder.record_grant(name, round_, granted, 100.2)
        self.assertFalse(holder.holds(3, 100.3))

    def test_a_slot_is_used_only_once_the_window_of_the_one_before_is_over(self):
        _, holder = self.held()
        meter = UsageMeter(holder)
        self.assertIsNone(meter.acquire(100.5))
        self.assertIsNotNone(meter.acquire(100 + RATE_WINDOW_S * 1.03))

    def test_one_that_slept_past_its_lease_finds_so_at_the_moment_of_use(self):
        grantors, holder = self.held()
        meter = UsageMeter(holder)
        self.request(grantors, holder, A, 3, 101.5)
        self.assertIsNotNone(meter.acquire(101.6))
        self.assertIsNone(meter.acquire(104.7))

    def test_a_run_is_begun_only_where_the_lease_lasts_for_all_of_it(self):
        budget = Budget(
            "x", 6, ("a", "b", "c"), concurrent=True, lease_s=1.0, floor_fraction=0.0, max_run_s=2.0
        )
        _, holder = self.held(budget)
        meter = UsageMeter(holder)
        ticket = meter.acquire(100.9)
        self.assertIsNotNone(ticket)
        self.assertIsNone(meter.acquire(100.95))  # the lease is for one
        meter.release(ticket)
        self.assertIsNone(meter.acquire(101.1))

    @given(st.integers(1, 6), st.integers(1, 200), st.data())
    def test_all_slots_have_an_assignee_and_no_slot_has_two(self, count, amount, data):
        names = tuple(f"m{n}" for n in range(count))
        budget = Budget("x", amount, names, floor_fraction=data.draw(st.sampled_from((0.0, 0.25, 1.0))))
        alive = set(data.draw(st.lists(st.sampled_from(names), min_size=1)))
        claimed = [r for me in alive for r in lease_assignment.slots_to_request(budget, me, set(), alive, {})]
        self.assertEqual(len(claimed), len(set(claimed)))
        missing = set(range(budget.slot_count)) - set(claimed)
        self.assertTrue(all(budget.is_floor(r) and budget.home_of(r) not in alive for r in missing))

    def test_a_slot_goes_to_where_one_is_denied_and_not_below_what_is_wanted_here(self):
        needy = {"b": lease_assignment.PeerDemand(held_slots=0, wanted=9, denied=3, fresh=True)}
        self.assertEqual(lease_assignment.choose_transfer(BUDGET, [0, 3, 6], 0, 3, needy).recipient, "b")
        self.assertIsNone(lease_assignment.choose_transfer(BUDGET, [0, 3, 6], 0, 0, needy))  # all of it runs
        self.assertIsNone(
            lease_assignment.choose_transfer(
                BUDGET, [0, 3, 6], 3, 3, {"b": lease_assignment.PeerDemand(0b10010, 2, 1, True)}
            )
        )
        self.assertIsNone(
            lease_assignment.choose_transfer(
                BUDGET, [0, 3], 0, 3, {"b": lease_assignment.PeerDemand(0, 9, 3, False)}
            )
        )
