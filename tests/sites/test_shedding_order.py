"""Tests of the shedding order, which is the same at all workers."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.sites.shedding_order import FleetAggregates
from tests.sites.site_classes import make_order


class SheddingOrderTest(unittest.TestCase):
    """Ranks of classes, tenants and retries."""

    @given(st.lists(st.floats(0.05, 0.2), min_size=3, max_size=3))
    def test_filings_rank_first_at_any_cost_and_equal_classes_share_their_ranks(self, costs):
        order = make_order(costs)
        ranks = {
            name: [order.rank(("", name, n), name, None, 3.0) for n in range(50)] for name in order.classes
        }
        self.assertLess(max(ranks["filing"]), min(ranks["read"] + ranks["refresh"]))
        self.assertTrue(min(map(min, ranks.values())) >= 0 and max(map(max, ranks.values())) < 1 + 1e-9)
        if abs(math.log(costs[0] / costs[1])) < 1e-3:
            self.assertEqual(order.rank_ranges["read", False], order.rank_ranges["refresh", False])

    @given(st.floats(0.9, 1.1), st.floats(0.2, 0.9))
    def test_workers_with_slightly_different_measurements_reject_the_same_requests(self, noise, threshold):
        fleet_costs = {"read": 0.1, "refresh": 0.1, "filing": 0.1}
        exact, noisy = make_order(), make_order((0.1 * noise, 0.1, 0.1 / noise))
        for order in (exact, noisy):
            order.set_aggregates(FleetAggregates(fleet_costs, {}))
            order.refresh(3.0)
        identities = [("", "read", n) for n in range(400)]
        admitted = [
            [worker_order.rank(identity, "read", None, 3.0) < threshold for identity in identities]
            for worker_order in (exact, noisy)
        ]
        self.assertLess(sum(x != y for x, y in zip(*admitted, strict=True)), 0.12 * len(identities))

    def test_requests_beyond_a_tenants_quota_rank_last(self):
        order = make_order(quota=100.0, rate=200.0)
        beyond_quota = [
            identity for n in range(300) if order.is_beyond_quota(identity := ("", "read", n), "acme", 3.0)
        ]
        self.assertTrue(0.4 < len(beyond_quota) / 300 < 0.6)
        within_quota = [("", "read", n) for n in range(300) if ("", "read", n) not in beyond_quota]
        self.assertLess(
            max(order.rank(identity, "read", "acme", 3.0) for identity in within_quota),
            min(order.rank(identity, "read", "acme", 3.0) for identity in beyond_quota),
        )

    def test_retries_do_not_count_as_arrivals_whether_marked_or_not(self):
        order = make_order()
        self.assertTrue(order.record_arrival(("", "read", "new"), "read", None, False, 3.0))
        self.assertFalse(order.record_arrival(("", "read", "new"), "read", None, False, 3.5))
        self.assertFalse(order.record_arrival(("", "read", "other"), "read", None, True, 3.5))
        self.assertTrue(order.record_arrival(("", "read", "new"), "read", None, False, 9.0))
