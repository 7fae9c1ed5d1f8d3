"""Which requests are rejected before they are read whole."""

import unittest
from random import Random

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.overload.early_rejection import MIN_CLASS_FRACTION, EarlyRejection
from ochrehoist.overload.overload_detector import SAMPLE_INTERVAL_S, OverloadDetector
from tests.overload.overload_requests import FILING, SITE, S


class EarlyRejectionTest(unittest.TestCase):
    """By priority, caller and tenant."""

    def admission(self, affordable_per_s, overloaded=True):
        detector = OverloadDetector(100_000_000)
        detector.overloaded, detector.affordable_per_s = overloaded, affordable_per_s
        return EarlyRejection(detector, SITE, 1)

    def played(self, admission, load, looks=40, count_from=20):
        """`load`: requests a look, by (class, tenant, caller); how many of each are let in, a look."""
        admitted = dict.fromkeys(load, 0)
        for n in range(looks):
            arrivals = [g for g, many in load.items() for _ in range(many)]
            Random(n).shuffle(arrivals)
            for g in arrivals:
                if admission.check_admission(*g, 0) is None and n >= count_from:
                    admitted[g] += 1
            admission.end_interval(SAMPLE_INTERVAL_S)
        return {g: n / (looks - count_from) for g, n in admitted.items()}

    def test_everything_is_admitted_while_the_worker_keeps_up(self):
        admission = self.admission(1.0, overloaded=False)
        self.assertEqual(self.played(admission, {("read", "a", 1): 500})["read", "a", 1], 500)

    def test_filings_are_always_admitted_and_take_theirs_off_the_rest(self):
        admitted = self.played(self.admission(1000), {("filing", "a", 1): 60, ("read", "a", 1): 500})
        self.assertEqual(admitted["filing", "a", 1], 60)
        self.assertAlmostEqual(admitted["read", "a", 1], 40, delta=6)

    def test_by_priority_weight_but_no_class_starves(self):
        admitted = self.played(self.admission(1000), {("read", "a", 1): 300, ("low", "a", 1): 300})
        self.assertGreater(admitted["read", "a", 1], 85)
        self.assertGreaterEqual(admitted["low", "a", 1], 0.9 * MIN_CLASS_FRACTION * 100)

    def test_a_flood_of_one_caller_or_tenant_takes_nothing_from_another(self):
        load = {("read", "a", 1): 900, ("read", "a", 2): 20, ("read", "b", 3): 20}
        admitted = self.played(self.admission(1000), load)
        self.assertGreaterEqual(admitted["read", "a", 2], 19)
        self.assertGreaterEqual(admitted["read", "b", 3], 19)
        shares = self.played(self.admission(1000), {("read", "a", 1): 500, ("read", "b", 2): 500})
        self.assertAlmostEqual(shares["read", "a", 1] / shares["read", "b", 2], 3.0, delta=0.5)

    def test_rare_callers_are_admitted_and_all_together_no_more_than_is_affordable(self):
        load = {("read", "a", n): 2 for n in range(300)}
        admitted = self.played(self.admission(1000), load, looks=200, count_from=100)
        self.assertGreater(min(admitted.values()), 0.0)
        self.assertAlmostEqual(sum(admitted.values()), 100, delta=20)

    def test_read_too_late_is_counted_so_and_each_gets_a_retry_after_of_its_own(self):
        admission = self.admission(10_000)
        self.assertIsNotNone(admission.check_admission("read", "a", 1, 2 * S))
        reported = {admission.check_admission("read", "a", 1, 3 * S) for _ in range(50)}
        self.assertGreater(len(reported), 40)
        self.assertTrue(all(S // 2 <= backoff <= S for backoff in reported))
        self.assertEqual(admission.interval_counts.rejected["read", "read too late"], 51)

    def test_new_settings_are_taken_while_it_rejects(self):
        admission = self.admission(0.0)
        admission.check_admission("read", "a", 1, 0)
        admission.configure(
            AdmissionSettings(
                classes=(FILING,), cores=4, memory_kb=1e6, collapse_multiple=8.0, collapse_after_ns=S
            )
        )
        # Of a class that is gone only the core can speak.
        self.assertIsNone(admission.check_admission("read", "a", 1, 0))
        admission.end_interval(SAMPLE_INTERVAL_S)
