"""Tests of class floors, caps and reserves within the total concurrency limit."""

import unittest

from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits
from ochrehoist.overload.bulkheads import (
    LOW_COST_RESERVE_DURATION_S,
    ClassActivity,
    bulkhead_limits,
    low_cost_classes,
)
from tests.overload.overload_requests import SETTINGS


class BulkheadsTest(unittest.TestCase):
    """Floors, reserves and low-cost classes."""

    def test_floors_fit_into_the_limit_and_filings_have_the_highest(self):
        for total in (1, 2, 3, 5, 9, 40):
            limits = bulkhead_limits(total, SETTINGS, {}, 0.0, set(), True)
            self.assertLessEqual(sum(limits.class_floors), total)
            self.assertEqual(limits.class_caps, (total,) * 3)
            self.assertGreaterEqual(limits.expensive, 1)
        self.assertEqual(
            bulkhead_limits(40, SETTINGS, {}, 0.0, set(), False), ConcurrencyLimits(40, (4, 4, 10), (40,) * 3)
        )

    def test_low_cost_classes_have_a_reserve_while_their_requests_arrive(self):
        activity = {"low": ClassActivity(last_arrival_s=100.0), "read": ClassActivity()}
        limits = bulkhead_limits(20, SETTINGS, activity, 100.0 + LOW_COST_RESERVE_DURATION_S, {"low"}, False)
        self.assertEqual((limits.class_caps, limits.class_floors[1]), ((18, 20, 18), 2))
        self.assertEqual(
            bulkhead_limits(
                20, SETTINGS, activity, 101.0 + LOW_COST_RESERVE_DURATION_S, {"low"}, False
            ).class_caps,
            (20, 20, 20),
        )

    def test_a_low_cost_class_costs_little_compared_with_the_mean_request(self):
        activity = {
            "read": ClassActivity(queued=5, running=5, cost_s=0.3),
            "low": ClassActivity(queued=5, running=5, cost_s=0.02),
            "filing": ClassActivity(cost_s=0.0),
        }
        self.assertEqual(low_cost_classes(activity), {"low"})
        self.assertEqual(low_cost_classes({"read": activity["read"]}), set())

    def test_without_a_total_the_controller_alone_limits_concurrency(self):
        limits = bulkhead_limits(
            None, SETTINGS, {"low": ClassActivity(last_arrival_s=0.0)}, 0.0, {"low"}, True
        )
        self.assertEqual((limits.total, limits.class_caps), (UNLIMITED, (32, 32, 32)))
