"""Floors and reserves of classes within a limit of all."""

import unittest

from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits
from ochrehoist.overload.bulkheads import (
    LOW_COST_RESERVE_DURATION_S,
    ClassActivity,
    bulkhead_limits,
    low_cost_classes,
)
from tests.overload.overload_requests import SITE


class BulkheadsTest(unittest.TestCase):
    """Floors, reserves and low-cost classes."""

    def test_floors_fit_and_are_kept_for_filings_first(self):
        for total in (1, 2, 3, 5, 9, 40):
            reported = bulkhead_limits(total, SITE, {}, 0.0, set(), True)
            self.assertLessEqual(sum(reported.class_floors), total)
            self.assertEqual(reported.class_caps, (total,) * 3)
            self.assertGreaterEqual(reported.expensive, 1)
        self.assertEqual(
            bulkhead_limits(40, SITE, {}, 0.0, set(), False), ConcurrencyLimits(40, (4, 4, 10), (40,) * 3)
        )

    def test_low_cost_classes_keep_a_reserve_while_they_arrive(self):
        activity = {"low": ClassActivity(last_arrival_s=100.0), "read": ClassActivity()}
        reported = bulkhead_limits(20, SITE, activity, 100.0 + LOW_COST_RESERVE_DURATION_S, {"low"}, False)
        self.assertEqual((reported.class_caps, reported.class_floors[1]), ((18, 20, 18), 2))
        self.assertEqual(
            bulkhead_limits(
                20, SITE, activity, 101.0 + LOW_COST_RESERVE_DURATION_S, {"low"}, False
            ).class_caps,
            (20, 20, 20),
        )

    def test_a_low_cost_class_costs_little_beside_the_rest(self):
        activity = {
            "read": ClassActivity(queued=5, running=5, cost_s=0.3),
            "low": ClassActivity(queued=5, running=5, cost_s=0.02),
            "filing": ClassActivity(cost_s=0.0),
        }
        self.assertEqual(low_cost_classes(activity), {"low"})
        self.assertEqual(low_cost_classes({"read": activity["read"]}), set())

    def test_without_a_total_the_controller_alone_limits_concurrency(self):
        reported = bulkhead_limits(None, SITE, {"low": ClassActivity(last_arrival_s=0.0)}, 0.0, {"low"}, True)
        self.assertEqual((reported.total, reported.class_caps), (UNLIMITED, (32, 32, 32)))
