"""Tests of early rejection, before requests reach the core."""

import unittest
from random import Random

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.overload.early_rejection import MIN_CLASS_FRACTION, EarlyRejection
from ochrehoist.overload.overload_detector import SAMPLE_INTERVAL_S, OverloadDetector
from tests.overload.overload_requests import FILING, SETTINGS, S


class EarlyRejectionTest(unittest.TestCase):
    """Admission by priority, caller and tenant."""

    def admission(self, affordable_per_s, overloaded=True):
        detector = OverloadDetector(100_000_000)
        detector.overloaded, detector.affordable_per_s = overloaded, affordable_per_s
        return EarlyRejection(detector, SETTINGS, 1)

    def mean_admitted(self, admission, load, intervals=40, count_from=20):
        """Returns the mean number of admitted requests per interval, by (class, tenant, caller).

        `load` is the number of arrivals per interval by the same key; intervals before `count_from` are not
        counted.
        """
        admitted = dict.fromkeys(load, 0)
        for interval in range(intervals):
            arrivals = [key for key, count in load.items() for _ in range(count)]
            Random(interval).shuffle(arrivals)
            for key in arrivals:
                if admission.check_admission(*key, 0) is None and interval >= count_from:
                    admitted[key] += 1
            admission.end_interval(SAMPLE_INTERVAL_S)
        return {key: total / (intervals - count_from) for key, total in admitted.items()}

    def test_everything_is_admitted_while_the_worker_keeps_up(self):
        admission = self.admission(1.0, overloaded=False)
        self.assertEqual(self.mean_admitted(admission, {("read", "a", 1): 500})["read", "a", 1], 500)

    def test_filings_are_always_admitted_and_reduce_the_rate_of_other_classes(self):
        admitted = self.mean_admitted(self.admission(1000), {("filing", "a", 1): 60, ("read", "a", 1): 500})
        self.assertEqual(admitted["filing", "a", 1], 60)
        self.assertAlmostEqual(admitted["read", "a", 1], 40, delta=6)

    def test_classes_are_admitted_by_priority_weight_without_starvation(self):
        admitted = self.mean_admitted(self.admission(1000), {("read", "a", 1): 300, ("low", "a", 1): 300})
        self.assertGreater(admitted["read", "a", 1], 85)
        self.assertGreaterEqual(admitted["low", "a", 1], 0.9 * MIN_CLASS_FRACTION * 100)

    def test_a_flood_of_one_caller_or_tenant_does_not_affect_others(self):
        load = {("read", "a", 1): 900, ("read", "a", 2): 20, ("read", "b", 3): 20}
        admitted = self.mean_admitted(self.admission(1000), load)
        self.assertGreaterEqual(admitted["read", "a", 2], 19)
        self.assertGreaterEqual(admitted["read", "b", 3], 19)
        shares = self.mean_admitted(self.admission(1000), {("read", "a", 1): 500, ("read", "b", 2): 500})
        self.assertAlmostEqual(shares["read", "a", 1] / shares["read", "b", 2], 3.0, delta=0.5)

    def test_callers_with_low_rates_are_admitted_within_the_affordable_rate(self):
        load = {("read", "a", n): 2 for n in range(300)}
        admitted = self.mean_admitted(self.admission(1000), load, intervals=200, count_from=100)
        self.assertGreater(min(admitted.values()), 0.0)
        self.assertAlmostEqual(sum(admitted.values()), 100, delta=20)

    def test_requests_read_too_late_are_counted_and_get_a_jittered_retry_after(self):
        admission = self.admission(10_000)
        self.assertIsNotNone(admission.check_admission("read", "a", 1, 2 * S))
        reported = {admission.check_admission("read", "a", 1, 3 * S) for _ in range(50)}
        self.assertGreater(len(reported), 40)
        self.assertTrue(all(S // 2 <= backoff <= S for backoff in reported))
        self.assertEqual(admission.interval_counts.rejected["read", "read too late"], 51)

    def test_settings_can_change_while_requests_are_rejected(self):
        admission = self.admission(0.0)
        admission.check_admission("read", "a", 1, 0)
        admission.configure(
            AdmissionSettings(
                classes=(FILING,), cores=4, memory_kb=1e6, collapse_multiple=8.0, collapse_after_ns=S
            )
        )
        # Requests of a removed class are admitted here; only the core can decide on them.
        self.assertIsNone(admission.check_admission("read", "a", 1, 0))
        admission.end_interval(SAMPLE_INTERVAL_S)
