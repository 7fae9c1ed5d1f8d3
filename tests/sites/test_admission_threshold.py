"""Tests of the admission threshold."""

import unittest

from ochrehoist.sites.admission_threshold import TICK_INTERVAL_S, AdmissionThreshold


class AdmissionThresholdTest(unittest.TestCase):
    """Load below and above the capacity of four cores."""

    def run_for(self, threshold, duration_s, offered, running, waiting_work=0.0, completed=None, start=0.0):
        """Updates the threshold at constant rates of offered and completed work."""
        now = start
        while now < start + duration_s:
            now += TICK_INTERVAL_S
            threshold.record_arrival(offered * TICK_INTERVAL_S, now)
            threshold.record_completion(
                (completed if completed is not None else min(offered, 4.0)) * TICK_INTERVAL_S, now
            )
            threshold.update(now, running, waiting_work, running * 0.2)
        return now

    def test_load_below_capacity_is_admitted_completely(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 5, 3.0, 3)
        self.assertEqual(threshold.value, 1.0)

    def test_in_overload_the_threshold_is_capacity_over_offered_work_reduced_by_a_backlog(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 6, 8.0, 5, completed=4.0)
        self.assertTrue(0.35 < threshold.value < 0.7, threshold.value)
        value_without_backlog = threshold.value
        self.run_for(threshold, 1, 8.0, 6, waiting_work=6.0, completed=4.0, start=6.0)
        self.assertLess(threshold.value, value_without_backlog)

    def test_capacity_below_the_configured_cores_is_measured(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 8, 8.0, 8, completed=2.0)
        self.assertTrue(1.7 < threshold.capacity < 2.6, threshold.capacity)
