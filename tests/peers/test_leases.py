"""Leases of budget slots: granted by a majority, limited in time, never held by two incarnations."""

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


class LeasesTest(unittest.TestCase):
    """Requests, grants and releases."""

    def lease_slot(self, budget=BUDGET, slot=3, now=100.0, incarnation=A):
        grantors = {n: LeaseGrantor(budget, 0.0) for n in budget.grantors}
        holder = LeaseHolder(budget)
        self.request(grantors, holder, incarnation, slot, now)
        return grantors, holder

    def request(self, grantors, holder, incarnation, slot, now, unreachable=()):
        holder.request(slot, now)
        holder.leases[slot].last_requested_at = -1e9
        round_number, due = holder.due_slots(now, 0.2)
        for name, grantor in grantors.items():
            if name not in unreachable:
                holder.record_grant(
                    name,
                    round_number,
                    grantor.grant(incarnation, holder.budget.terms_digest, round_number, due, now),
                    now,
                )

    def test_slot_amounts_add_up_to_the_budget(self):
        for amount in (1, 2, 7, 63, 64, 65, 1000):
            budget = Budget("x", amount, ("a", "b", "c"))
            self.assertEqual(sum(budget.slot_amount(slot) for slot in range(budget.slot_count)), amount)
            self.assertTrue(all(budget.slot_amount(slot) >= 1 for slot in range(budget.slot_count)))

    def test_lease_needs_a_majority_and_expires_by_the_holders_clock(self):
        grantors, holder = self.lease_slot()
        self.assertTrue(holder.holds(3, 101.99))
        self.assertFalse(holder.holds(3, 102.0))
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        self.request(grantors, holder, A, 3, 100.0, unreachable=("b", "c"))
        self.assertFalse(holder.holds(3, 100.1))

    def test_slot_is_granted_to_another_incarnation_only_after_the_lease_expired(self):
        grantors, _holder = self.lease_slot()
        other = LeaseHolder(BUDGET)
        last = 100 + 2.0 * (1 + CLOCK_DRIFT) + GRANT_GUARD_S
        self.request(grantors, other, Incarnation("a", 11, 2), 3, last - 0.01)
        self.assertFalse(other.holds(3, last))
        self.request(grantors, other, Incarnation("a", 11, 2), 3, last + 0.01)
        self.assertTrue(other.holds(3, last + 0.02))

    def test_lease_is_counted_from_its_request(self):
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        holder.request(3, 100.0)
        round_number, due = holder.due_slots(100.0, 0.2)
        for name, grantor in grantors.items():  # answers delayed by 1.5 s
            holder.record_grant(
                name, round_number, grantor.grant(A, BUDGET.terms_digest, round_number, due, 100.0), 101.5
            )
        self.assertFalse(holder.holds(3, 102.0))

    def test_restarted_grantor_waits_for_earlier_grants_to_expire(self):
        grantor = LeaseGrantor(BUDGET, 100.0)
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 1, [3, 0], 102.0), [])
        # Slot 0 is a floor slot, whose leases are longer.
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 2, [3, 0], 102.5), [3])
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 3, [0], 110.9), [0])

    def test_floor_slot_is_granted_only_to_its_home(self):
        grantor = LeaseGrantor(BUDGET, 0.0)
        self.assertEqual(grantor.grant(B, BUDGET.terms_digest, 1, [0, 1], 100.0), [1])

    def test_changed_terms_are_granted_only_after_old_grants_expire(self):
        grantors, _ = self.lease_slot()
        changed = Budget("x", 6, ("a", "b", "c"), lease_s=2.0, floor_fraction=0.25, floor_lease_s=10.0)
        for grantor in grantors.values():
            self.assertEqual(grantor.grant(B, changed.terms_digest, 1, [2], 100.0), [])
            grantor.reconfigure(changed, 100.5)
            self.assertEqual(grantor.grant(B, changed.terms_digest, 1, [2], 101.0), [])
            self.assertEqual(grantor.grant(B, changed.terms_digest, 2, [2], 113.0), [2])

    def test_released_slot_is_not_granted_to_an_earlier_request(self):
        grantor = LeaseGrantor(BUDGET, 0.0)
        grantor.grant(A, BUDGET.terms_digest, 1, [3], 100.0)
        grantor.release(A, 3, [3])
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 2, [3], 100.1), [])
        self.assertEqual(grantor.grant(B, BUDGET.terms_digest, 1, [3], 100.1), [3])
        grantor.release(A, 3, [3])  # repeated release, after another incarnation got the slot
        self.assertEqual(grantor.grants[3].incarnation, B)

    def test_grant_of_an_earlier_round_does_not_count_after_a_release(self):
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        holder.request(3, 100.0)
        round_number, due = holder.due_slots(100.0, 0.2)
        grants = {
            n: grantor.grant(A, BUDGET.terms_digest, round_number, due, 100.0)
            for n, grantor in grantors.items()
        }
        release_round, _ = holder.drop([3])
        for grantor in grantors.values():
            grantor.release(A, release_round, [3])
        holder.request(3, 100.1)
        for name, granted in grants.items():
            holder.record_grant(name, round_number, granted, 100.2)
        self.assertFalse(holder.holds(3, 100.3))

    def test_slot_is_used_only_after_the_rate_window_of_the_previous_holder(self):
        _, holder = self.lease_slot()
        meter = UsageMeter(holder)
        self.assertIsNone(meter.acquire(100.5))
        self.assertIsNotNone(meter.acquire(100 + RATE_WINDOW_S * 1.03))

    def test_expired_lease_is_detected_at_use_after_a_pause(self):
        grantors, holder = self.lease_slot()
        meter = UsageMeter(holder)
        self.request(grantors, holder, A, 3, 101.5)
        self.assertIsNotNone(meter.acquire(101.6))
        self.assertIsNone(meter.acquire(104.7))

    def test_run_begins_only_if_the_lease_covers_it(self):
        budget = Budget(
            "x", 6, ("a", "b", "c"), concurrent=True, lease_s=1.0, floor_fraction=0.0, max_run_s=2.0
        )
        _, holder = self.lease_slot(budget)
        meter = UsageMeter(holder)
        ticket = meter.acquire(100.9)
        self.assertIsNotNone(ticket)
        self.assertIsNone(meter.acquire(100.95))  # the lease covers only one run
        meter.release(ticket)
        self.assertIsNone(meter.acquire(101.1))

    @given(st.integers(1, 6), st.integers(1, 200), st.data())
    def test_all_slots_have_an_assignee_and_no_slot_has_two(self, count, amount, data):
        names = tuple(f"m{n}" for n in range(count))
        budget = Budget("x", amount, names, floor_fraction=data.draw(st.sampled_from((0.0, 0.25, 1.0))))
        alive = set(data.draw(st.lists(st.sampled_from(names), min_size=1)))
        claimed = [
            slot
            for own_name in alive
            for slot in lease_assignment.slots_to_request(budget, own_name, set(), alive, {})
        ]
        self.assertEqual(len(claimed), len(set(claimed)))
        missing = set(range(budget.slot_count)) - set(claimed)
        self.assertTrue(all(budget.is_floor(slot) and budget.home_of(slot) not in alive for slot in missing))

    def test_surplus_slot_is_transferred_to_a_denied_worker(self):
        denied_peers = {"b": lease_assignment.PeerDemand(held_slots=0, wanted=9, denied=3, fresh=True)}
        self.assertEqual(
            lease_assignment.choose_transfer(BUDGET, [0, 3, 6], 0, 3, denied_peers).recipient, "b"
        )
        # The whole amount is in use.
        self.assertIsNone(lease_assignment.choose_transfer(BUDGET, [0, 3, 6], 0, 0, denied_peers))
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
