"""Which services are ejected: by own and remote observations, trials, and bounds."""

import unittest

from ochrehoist.peers.outlier_detection import (
    BASE_EJECTION_S,
    TRIALS_TO_RECOVER,
    OutlierDetector,
)
from ochrehoist.peers.remote_health import REMOTE_MAX_AGE_S, RemoteReport
from ochrehoist.peers.wire import (
    HealthObservation,
    HealthStatus,
)


class Outliers(unittest.TestCase):
    def setUp(self):
        self.reports = {}
        self.outliers = OutlierDetector(("s0", "s1", "s2"), 0.5, 1, remote_reports=lambda: self.reports)
        self.tickets = 0

    def run_at(self, name, at, took=0.02, status=HealthStatus.OK):
        self.tickets += 1
        self.outliers.call_started(name, self.tickets, "read", at)
        self.outliers.call_completed(name, self.tickets, status, at + took)

    def seen(self, at, slow=(), took=0.5, status=HealthStatus.OK, count=4):
        for n in range(count):
            for name in self.outliers.services:
                self.run_at(
                    name,
                    at + n * 0.01,
                    took if name in slow else 0.02,
                    status if name in slow else HealthStatus.OK,
                )

    def states(self, now):
        self.outliers.evaluate(now)
        return [s.ejection for s in self.outliers.services.values()]

    def test_a_slow_one_is_left_out_by_own_evidence_and_before_it_has_answered(self):
        self.seen(0.0, count=24)
        for n in range(4):
            self.outliers.call_started("s2", f"open{n}", "read", 1.0)
        self.assertEqual(self.states(1.05), ["in", "in", "in"])
        self.assertEqual(self.states(1.2), ["in", "in", "out"])

    def test_what_a_stopped_worker_did_not_read_is_nobodys_fault(self):
        for first in ("look", "answer"):  # after the stop either may come first
            with self.subTest(first):
                self.setUp()
                self.seen(0.0, count=24)
                for n in range(20):
                    self.outliers.tick(0.3 + n * 0.05, 0.05)
                for n in range(4):
                    self.outliers.call_started("s1", f"open{n}", "read", 1.25)
                if first == "look":
                    self.outliers.tick(2.3, 0.05)
                else:
                    for n in range(4):
                        self.outliers.call_completed("s1", f"open{n}", HealthStatus.OK, 2.3)
                self.assertEqual(self.states(2.3), ["in", "in", "in"])

    def test_a_trial_that_went_well_is_followed_by_the_next_at_once(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.assertEqual(self.states(3.3), ["in", "out", "in"])
        now, asked = 3.3, 0
        while self.outliers.services["s1"].ejection in ("out", "trial"):
            now += 0.05  # a look each time, and a request at every third
            self.outliers.evaluate(now)
            asked += 1
            self.assertLess(asked, 400)
            if asked % 3 == 0:
                self.run_at(self.outliers.rank_services({}, now)[0], now)
        self.assertLess(now, 3.3 + BASE_EJECTION_S + 1.0)

    def test_one_that_several_see_bad_takes_the_place_of_one_left_out_alone(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.assertEqual(self.states(3.1), ["in", "out", "in"])
        self.bad("s2")
        self.assertEqual(self.states(6.0), ["in", "back", "out"])
        self.bad("s1", "s2")  # others see both bad: whoever was left out stays so
        self.assertEqual(self.states(6.1), ["in", "back", "out"])

    def test_all_slow_means_that_none_is(self):
        self.seen(0.0, count=24)
        self.seen(3.0, slow=("s0", "s1", "s2"), took=0.4, count=12)
        self.assertEqual(self.states(4.0), ["in", "in", "in"])

    def test_no_more_than_the_stated_part_is_left_out(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1", "s2"), status=HealthStatus.FAILING)
        self.assertEqual(sorted(self.states(3.6)), ["in", "in", "out"])

    def bad(self, *names, who=("x", "y"), status=HealthStatus.SLOW):
        for member in who:
            self.reports[member] = RemoteReport(
                0.1,
                [
                    HealthObservation(n, status if n in names else HealthStatus.OK, 9, 0, 20.0)
                    for n in self.outliers.services
                ],
            )

    def test_remote_observations_count_from_two_and_have_an_end(self):
        self.bad("s1", who=("x",))
        self.assertEqual(self.states(1.0), ["in", "in", "in"])
        self.bad("s1")
        self.reports = {
            m: RemoteReport(REMOTE_MAX_AGE_S + 1, report.observations) for m, report in self.reports.items()
        }
        self.assertEqual(self.states(1.0), ["in", "in", "in"])
        self.bad("s1")
        self.assertEqual(self.states(1.0), ["in", "out", "in"])

    def test_own_fresh_observations_go_before_remote_ones(self):
        self.seen(0.0)
        self.bad("s1")
        self.assertEqual(self.states(0.5), ["in", "in", "in"])

    def test_observers_whose_own_link_is_bad_take_nothing_from_others(self):
        self.bad("s0", "s1")
        self.assertEqual(self.states(1.0), ["in", "in", "in"])

    def test_trials_are_one_at_a_time_and_take_it_back_in_steps(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.assertEqual(self.states(3.3), ["in", "out", "in"])
        now = 3.3 + BASE_EJECTION_S + 0.1
        first = [self.outliers.rank_services({}, now)[0] for _ in range(3)]
        self.assertIn("s1", first)
        self.outliers.call_started("s1", "trial", "read", now)
        self.assertNotEqual(self.outliers.rank_services({}, now)[0], "s1")
        self.outliers.call_completed("s1", "trial", HealthStatus.OK, now + 0.02)
        for n in range(TRIALS_TO_RECOVER - 1):
            self.run_trial(now + 0.1 + n)
        self.assertEqual(self.outliers.services["s1"].ejection, "back")
        later = now + 10
        self.outliers.evaluate(now + 5)
        for n in range(6):
            self.outliers.evaluate(now + 5 + n)
        self.assertEqual(self.states(later)[1], "in")

    def run_trial(self, at):
        self.outliers.call_started("s1", f"t{at}", "read", at)
        self.outliers.call_completed("s1", f"t{at}", HealthStatus.OK, at + 0.02)

    def test_a_trial_that_fails_puts_the_next_one_off(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.states(3.3)
        self.outliers.call_started("s1", "t", "read", 5.0)
        self.outliers.call_completed("s1", "t", HealthStatus.UNREACHABLE, 5.1)
        s = self.outliers.services["s1"]
        self.assertEqual((s.ejection, s.ejection_s), ("out", 2 * BASE_EJECTION_S))
