"""What a request will take is told from the work that it states, where that proves to tell."""

import unittest
from random import Random

from ochrehoist.admission import learned_state
from ochrehoist.admission.actions import RejectRequest, StartRun
from ochrehoist.store.expiry import expire_learned_state
from ochrehoist.store.timestamps import Timestamp
from tests.admission.controller_driver import MS, Driver, S


class StatedWorkTest(unittest.TestCase):
    """Run times predicted from the work that requests state."""

    def taught(self, tells=True, count=80):
        """A module whose runs take 100 ms on the mean, as they state; or whatever they state."""
        driver, rng = Driver(marks_retries=False), Random(1)
        for _ in range(count):
            work = int(100 * MS * rng.lognormvariate(-0.3, 0.8))
            rid, _ = driver.request(remaining_ns=None, work_ns=work)
            driver.now_ns += 150 * MS
            if rid in driver.ids(StartRun):
                driver.complete(
                    rid, duration_ns=work if tells else int(100 * MS * rng.lognormvariate(-0.3, 0.8))
                )
        self.assertFalse(driver.ids(RejectRequest))
        return driver

    def held(self, driver, *works):
        """All cores with work that does not end, then these."""
        for _ in range(driver.settings.cores):
            driver.request(remaining_ns=None, work_ns=100 * MS)
        return [driver.request(remaining_ns=None, work_ns=w)[0] for w in works]

    def test_a_large_one_that_would_end_too_late_is_rejected_and_a_small_one_waits(self):
        driver = self.taught()
        large, small = self.held(driver, 1800 * MS, 20 * MS)
        self.assertIn(large, driver.ids(RejectRequest))
        self.assertNotIn(small, driver.ids(RejectRequest))

    def test_where_stated_work_means_nothing_all_of_a_class_are_alike(self):
        driver = self.taught(tells=False)
        self.assertLess(driver.controller.run_times.stated_work_gain_ns[0].value, 0)
        large, small = self.held(driver, 1800 * MS, 20 * MS)
        self.assertNotIn(large, driver.ids(RejectRequest))
        self.assertNotIn(small, driver.ids(RejectRequest))

    def test_an_idle_core_takes_what_can_just_end_in_time(self):
        driver = self.taught()
        usual = (
            driver.controller.run_times.mean_run_ns[0].value
            / driver.controller.run_times.mean_stated_work_ns[0].value
        )
        just, over = int(1600 * MS / usual), int(4000 * MS / usual)
        driver.request(remaining_ns=None, work_ns=100 * MS)  # an empty server tries anything
        self.assertIn(driver.request(remaining_ns=None, work_ns=just)[0], driver.ids(StartRun))
        self.assertIn(driver.request(remaining_ns=None, work_ns=over)[0], driver.ids(RejectRequest))

    def test_large_requests_do_not_distort_the_run_time_of_the_class(self):
        driver = self.taught()
        before = driver.controller.run_times.mean_run_ns[0].value
        for _ in range(5):
            rid, _ = driver.request(remaining_ns=None, work_ns=1500 * MS)
            driver.now_ns += 1600 * MS
            driver.complete(rid, duration_ns=1500 * MS)
        self.assertLess(driver.controller.run_times.mean_run_ns[0].value, 1.5 * before)

    def test_it_is_in_the_snapshot_and_one_of_an_older_program_is_restored_too(self):
        driver = self.taught()
        learned = learned_state.snapshot(driver.controller)
        now = Timestamp(driver.now_ns, 0, "b")
        kept = expire_learned_state(learned, now, now, 3600 * S, False)
        for told in (learned, kept):
            fresh = Driver(marks_retries=False)
            learned_state.restore(fresh.controller, told, fresh.now_ns)
            self.assertAlmostEqual(
                fresh.controller.run_times.mean_stated_work_ns[0].value,
                driver.controller.run_times.mean_stated_work_ns[0].value,
            )
            self.assertAlmostEqual(
                fresh.controller.run_times.stated_work_gain_ns[0].value,
                driver.controller.run_times.stated_work_gain_ns[0].value,
            )
        older = {name: value for name, value in learned.items() if name not in ("stated", "tells")}
        learned_state.restore(Driver(marks_retries=False).controller, older, driver.now_ns)
        self.assertNotIn("stated", expire_learned_state(older, now, now, 3600 * S, False))


if __name__ == "__main__":
    unittest.main()
