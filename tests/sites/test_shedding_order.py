"""In which order requests are rejected: the same at all workers of a site."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.sites.shedding_order import FleetAverages
from tests.sites.site_classes import make_order


class TheSheddingOrder(unittest.TestCase):
    @given(st.lists(st.floats(0.05, 0.2), min_size=3, max_size=3))
    def test_filings_go_first_whatever_they_cost_and_classes_of_like_worth_are_refused_alike(self, costs):
        o = make_order(costs)
        ranks = {c: [o.rank(("", c, n), c, None, 3.0) for n in range(50)] for c in o.classes}
        self.assertLess(max(ranks["filing"]), min(ranks["read"] + ranks["refresh"]))
        self.assertTrue(0 <= min(map(min, ranks.values())) and max(map(max, ranks.values())) < 1 + 1e-9)
        if abs(math.log(costs[0] / costs[1])) < 1e-3:
            self.assertEqual(o.spans["read", False], o.spans["refresh", False])

    @given(st.floats(0.9, 1.1), st.floats(0.2, 0.9))
    def test_two_workers_that_measured_a_little_differently_refuse_the_same(self, noise, level):
        told = {"read": 0.1, "refresh": 0.1, "filing": 0.1}
        a, b = make_order(), make_order((0.1 * noise, 0.1, 0.1 / noise))
        for order in (a, b):
            order.set_averages(FleetAverages(told, {}))
            order.refresh(3.0)
        idents = [("", "read", n) for n in range(400)]
        lets = [[o.rank(x, "read", None, 3.0) < level for x in idents] for o in (a, b)]
        self.assertLess(sum(x != y for x, y in zip(*lets, strict=True)), 0.12 * len(idents))

    def test_what_a_tenant_sends_beyond_its_share_goes_last(self):
        o = make_order(quota=100.0, rate=200.0)
        beyond = [x for n in range(300) if o.is_beyond_quota(x := ("", "read", n), "acme", 3.0)]
        self.assertTrue(0.4 < len(beyond) / 300 < 0.6)
        inside = [("", "read", n) for n in range(300) if ("", "read", n) not in beyond]
        self.assertLess(
            max(o.rank(x, "read", "acme", 3.0) for x in inside),
            min(o.rank(x, "read", "acme", 3.0) for x in beyond),
        )

    def test_further_tries_are_no_demand_marked_or_not(self):
        o = make_order()
        self.assertTrue(o.record_arrival(("", "read", "new"), "read", None, False, 3.0))
        self.assertFalse(o.record_arrival(("", "read", "new"), "read", None, False, 3.5))
        self.assertFalse(o.record_arrival(("", "read", "other"), "read", None, True, 3.5))
        self.assertTrue(o.record_arrival(("", "read", "new"), "read", None, False, 9.0))
