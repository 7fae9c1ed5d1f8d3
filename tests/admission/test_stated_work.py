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
        d, rng = Driver(marks_retries=False), Random(1)
        for _ in range(count):
            work = int(100 * MS * rng.lognormvariate(-0.3, 0.8))
            rid, _ = d.request(remaining_ns=None, work_ns=work)
            d.now_ns += 150 * MS
            if rid in d.ids(StartRun):
                d.complete(rid, duration_ns=work if tells else int(100 * MS * rng.lognormvariate(-0.3, 0.8)))
        self.assertFalse(d.ids(RejectRequest))
        return d

    def held(self, d, *works):
        """All cores with work that does not end, then these."""
        for _ in range(d.settings.cores):
            d.request(remaining_ns=None, work_ns=100 * MS)
        return [d.request(remaining_ns=None, work_ns=w)[0] for w in works]

    def test_a_large_one_that_would_end_too_late_is_rejected_and_a_small_one_waits(self):
        d = self.taught()
        large, small = self.held(d, 1800 * MS, 20 * MS)
        self.assertIn(large, d.ids(RejectRequest))
        self.assertNotIn(small, d.ids(RejectRequest))

    def test_where_stated_work_means_nothing_all_of_a_class_are_alike(self):
        d = self.taught(tells=False)
        self.assertLess(d.controller.run_times.stated_work_gain_ns[0].value, 0)
        large, small = self.held(d, 1800 * MS, 20 * MS)
        self.assertNotIn(large, d.ids(RejectRequest))
        self.assertNotIn(small, d.ids(RejectRequest))

    def test_an_idle_core_takes_what_can_just_end_in_time(self):
        d = self.taught()
        usual = (
            d.controller.run_times.mean_run_ns[0].value / d.controller.run_times.mean_stated_work_ns[0].value
        )
        just, over = int(1600 * MS / usual), int(4000 * MS / usual)
        d.request(remaining_ns=None, work_ns=100 * MS)  # an empty server tries anything
        self.assertIn(d.request(remaining_ns=None, work_ns=just)[0], d.ids(StartRun))
        self.assertIn(d.request(remaining_ns=None, work_ns=over)[0], d.ids(RejectRequest))

    def test_large_requests_do_not_distort_the_run_time_of_the_class(self):
        d = self.taught()
        before = d.controller.run_times.mean_run_ns[0].value
        for _ in range(5):
            rid, _ = d.request(remaining_ns=None, work_ns=1500 * MS)
            d.now_ns += 1600 * MS
            d.complete(rid, duration_ns=1500 * MS)
        self.assertLess(d.controller.run_times.mean_run_ns[0].value, 1.5 * before)

    def test_it_is_in_the_snapshot_and_one_of_an_older_program_is_restored_too(self):
        d = self.taught()
        learned = learned_state.snapshot(d.controller)
        now = Timestamp(d.now_ns, 0, "b")
        kept = expire_learned_state(learned, now, now, 3600 * S, False)
        for told in (learned, kept):
            fresh = Driver(marks_retries=False)
            learned_state.restore(fresh.controller, told, fresh.now_ns)
            self.assertAlmostEqual(
                fresh.controller.run_times.mean_stated_work_ns[0].value,
                d.controller.run_times.mean_stated_work_ns[0].value,
            )
            self.assertAlmostEqual(
                fresh.controller.run_times.stated_work_gain_ns[0].value,
                d.controller.run_times.stated_work_gain_ns[0].value,
            )
        older = {name: value for name, value in learned.items() if name not in ("stated", "tells")}
        learned_state.restore(Driver(marks_retries=False).controller, older, d.now_ns)
        self.assertNotIn("stated", expire_learned_state(older, now, now, 3600 * S, False))


if __name__ == "__main__":
    unittest.main()
