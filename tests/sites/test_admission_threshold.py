"""How much of the order is admitted."""

import unittest

from ochrehoist.sites.admission_threshold import TICK_INTERVAL_S, AdmissionThreshold


class TheAdmissionThreshold(unittest.TestCase):
    def run_for(self, threshold, seconds, offered, running, waiting=0.0, done=None, start=0.0):
        now = start
        while now < start + seconds:
            now += TICK_INTERVAL_S
            threshold.record_arrival(offered * TICK_INTERVAL_S, now)
            threshold.record_completion(
                (done if done is not None else min(offered, 4.0)) * TICK_INTERVAL_S, now
            )
            threshold.update(now, running, waiting, running * 0.2)
        return now

    def test_all_is_let_in_while_the_cores_can_do_it(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 5, 3.0, 3)
        self.assertEqual(threshold.value, 1.0)

    def test_in_overload_it_is_what_the_cores_can_do_of_what_comes_less_for_a_backlog(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 6, 8.0, 5, done=4.0)
        self.assertTrue(0.35 < threshold.value < 0.7, threshold.value)
        before = threshold.value
        self.run_for(threshold, 1, 8.0, 6, waiting=6.0, done=4.0, start=6.0)
        self.assertLess(threshold.value, before)

    def test_cores_that_do_less_than_is_configured_are_found_out(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 8, 8.0, 8, done=2.0)
        self.assertTrue(1.7 < threshold.capacity < 2.6, threshold.capacity)
