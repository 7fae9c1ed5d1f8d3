"""Prediction of run times from the work that requests state, if the statements prove to be accurate."""

import unittest
from random import Random

from ochrehoist.admission import learned_state
from ochrehoist.admission.actions import RejectRequest, StartRun
from ochrehoist.store.expiry import expire_learned_state
from ochrehoist.store.timestamps import Timestamp
from tests.admission.controller_driver import MS, Driver, S


class StatedWorkTest(unittest.TestCase):
    """Run times predicted from the work that requests state."""

    def driver_after_runs(self, accurate=True, count=80):
        """Returns a driver after runs with a mean of 100 ms, which take the stated work if `accurate`."""
        driver, rng = Driver(marks_retries=False), Random(1)
        for _ in range(count):
            stated_ns = int(100 * MS * rng.lognormvariate(-0.3, 0.8))
            job_id, _ = driver.request(remaining_ns=None, work_ns=stated_ns)
            driver.now_ns += 150 * MS
            if job_id in driver.ids(StartRun):
                driver.complete(
                    job_id,
                    duration_ns=stated_ns if accurate else int(100 * MS * rng.lognormvariate(-0.3, 0.8)),
                )
        self.assertFalse(driver.ids(RejectRequest))
        return driver

    def request_on_busy_cores(self, driver, *works):
        """Occupies all cores, sends requests of these amounts of work, and returns their ids."""
        for _ in range(driver.settings.cores):
            driver.request(remaining_ns=None, work_ns=100 * MS)
        return [driver.request(remaining_ns=None, work_ns=work)[0] for work in works]

    def test_a_large_request_that_would_end_too_late_is_rejected_and_a_small_one_waits(self):
        driver = self.driver_after_runs()
        large, small = self.request_on_busy_cores(driver, 1800 * MS, 20 * MS)
        self.assertIn(large, driver.ids(RejectRequest))
        self.assertNotIn(small, driver.ids(RejectRequest))

    def test_inaccurate_stated_work_is_ignored(self):
        driver = self.driver_after_runs(accurate=False)
        self.assertLess(driver.controller.run_times.stated_work_gain_ns[0].value, 0)
        large, small = self.request_on_busy_cores(driver, 1800 * MS, 20 * MS)
        self.assertNotIn(large, driver.ids(RejectRequest))
        self.assertNotIn(small, driver.ids(RejectRequest))

    def test_an_idle_core_starts_a_request_that_can_just_meet_its_objective(self):
        driver = self.driver_after_runs()
        run_time_per_work = (
            driver.controller.run_times.mean_run_ns[0].value
            / driver.controller.run_times.mean_stated_work_ns[0].value
        )
        in_time_ns, too_late_ns = int(1600 * MS / run_time_per_work), int(4000 * MS / run_time_per_work)
        driver.request(remaining_ns=None, work_ns=100 * MS)  # an idle instance accepts any request
        self.assertIn(driver.request(remaining_ns=None, work_ns=in_time_ns)[0], driver.ids(StartRun))
        self.assertIn(driver.request(remaining_ns=None, work_ns=too_late_ns)[0], driver.ids(RejectRequest))

    def test_large_requests_do_not_distort_the_run_time_of_the_class(self):
        driver = self.driver_after_runs()
        mean_before_ns = driver.controller.run_times.mean_run_ns[0].value
        for _ in range(5):
            job_id, _ = driver.request(remaining_ns=None, work_ns=1500 * MS)
            driver.now_ns += 1600 * MS
            driver.complete(job_id, duration_ns=1500 * MS)
        self.assertLess(driver.controller.run_times.mean_run_ns[0].value, 1.5 * mean_before_ns)

    def test_stated_work_is_in_the_snapshot_and_a_snapshot_without_it_is_restored(self):
        driver = self.driver_after_runs()
        learned = learned_state.snapshot(driver.controller)
        now = Timestamp(driver.now_ns, 0, "b")
        stored = expire_learned_state(learned, now, now, 3600 * S, False)
        for data in (learned, stored):
            fresh = Driver(marks_retries=False)
            learned_state.restore(fresh.controller, data, fresh.now_ns)
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
