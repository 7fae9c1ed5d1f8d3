"""Tests of the allocation of a capacity by weight, rank and minimum."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.overload.weighted_allocation import AllocationRequest, allocate


class WeightedAllocationTest(unittest.TestCase):
    """Allocations for random and specific requests."""

    requests = st.lists(
        st.builds(
            AllocationRequest, st.integers(0, 3), st.floats(0, 50), st.floats(0.01, 5), st.floats(0, 5)
        ),
        max_size=12,
    )

    @settings(max_examples=300, deadline=None)
    @given(st.floats(0, 200), requests)
    def test_allocations_exceed_neither_capacity_nor_demand_and_leave_no_capacity_unused(
        self, capacity, requests
    ):
        allocated = allocate(capacity, requests)
        self.assertTrue(all(-1e-9 <= g <= a.demand + 1e-6 for g, a in zip(allocated, requests, strict=True)))
        self.assertAlmostEqual(
            sum(allocated), min(capacity, sum(a.demand for a in requests)), delta=1e-6 * (1 + capacity)
        )

    @settings(max_examples=300, deadline=None)
    @given(st.floats(0, 200), requests)
    def test_within_a_rank_no_unmet_request_gets_less_per_weight_than_another(self, capacity, requests):
        requests = [AllocationRequest(a.rank, a.demand, a.weight) for a in requests]
        allocated = allocate(capacity, requests)
        for (a, x), (b, y) in itertools.permutations(zip(requests, allocated, strict=True), 2):
            if a.rank == b.rank and x < a.demand - 1e-6:
                self.assertGreaterEqual(x / a.weight + 1e-5 * (1 + capacity), y / b.weight)
            if a.rank < b.rank and x < a.demand - 1e-6:
                self.assertLess(y, 1e-5 * (1 + capacity))

    def test_minimums_precede_higher_ranks(self):
        self.assertEqual(
            allocate(10, [AllocationRequest(0, 100), AllocationRequest(1, 5, minimum=2)]), [8, 2]
        )
        self.assertEqual(
            allocate(10, [AllocationRequest(0, 100), AllocationRequest(1, 1, minimum=2)]), [9, 1]
        )
