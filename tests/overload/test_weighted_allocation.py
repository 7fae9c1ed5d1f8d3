"""Shares of a capacity by weight, rank and minimum."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.overload.weighted_allocation import AllocationRequest, allocate


class Allocation(unittest.TestCase):
    claims = st.lists(
        st.builds(
            AllocationRequest, st.integers(0, 3), st.floats(0, 50), st.floats(0.01, 5), st.floats(0, 5)
        ),
        max_size=12,
    )

    @settings(max_examples=300, deadline=None)
    @given(st.floats(0, 200), claims)
    def test_never_more_than_the_capacity_or_the_demand_and_nothing_left_over_while_demand_is_unmet(
        self, budget, claims
    ):
        got = allocate(budget, claims)
        self.assertTrue(all(-1e-9 <= g <= a.demand + 1e-6 for g, a in zip(got, claims, strict=True)))
        self.assertAlmostEqual(
            sum(got), min(budget, sum(a.demand for a in claims)), delta=1e-6 * (1 + budget)
        )

    @settings(max_examples=300, deadline=None)
    @given(st.floats(0, 200), claims)
    def test_within_a_rank_no_unmet_claim_has_less_for_its_weight_than_another(self, budget, claims):
        claims = [AllocationRequest(a.rank, a.demand, a.weight) for a in claims]
        got = allocate(budget, claims)
        for (a, x), (b, y) in itertools.permutations(zip(claims, got, strict=True), 2):
            if a.rank == b.rank and x < a.demand - 1e-6:
                self.assertGreaterEqual(x / a.weight + 1e-5 * (1 + budget), y / b.weight)
            if a.rank < b.rank and x < a.demand - 1e-6:
                self.assertLess(y, 1e-5 * (1 + budget))

    def test_minimums_come_before_better_ranks(self):
        self.assertEqual(
            allocate(10, [AllocationRequest(0, 100), AllocationRequest(1, 5, minimum=2)]), [8, 2]
        )
        self.assertEqual(
            allocate(10, [AllocationRequest(0, 100), AllocationRequest(1, 1, minimum=2)]), [9, 1]
        )
