"""Ejection of services by own and remote observations, trial calls, and limits."""

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


class OutlierDetectionTest(unittest.TestCase):
    """Slow and failing services, observed by one worker and by several."""

    def setUp(self):
        self.reports = {}
        self.outliers = OutlierDetector(("s0", "s1", "s2"), 0.5, 1, remote_reports=lambda: self.reports)
        self.tickets = 0

    def complete_call(self, name, at, latency_s=0.02, status=HealthStatus.OK):
        self.tickets += 1
        self.outliers.call_started(name, self.tickets, "read", at)
        self.outliers.call_completed(name, self.tickets, status, at + latency_s)

    def complete_calls(self, at, slow=(), latency_s=0.5, status=HealthStatus.OK, count=4):
        for n in range(count):
            for name in self.outliers.services:
                self.complete_call(
                    name,
                    at + n * 0.01,
                    latency_s if name in slow else 0.02,
                    status if name in slow else HealthStatus.OK,
                )

    def states(self, now):
        self.outliers.evaluate(now)
        return [s.ejection for s in self.outliers.services.values()]

    def test_slow_service_is_ejected_before_its_open_calls_complete(self):
        self.complete_calls(0.0, count=24)
        for n in range(4):
            self.outliers.call_started("s2", f"open{n}", "read", 1.0)
        self.assertEqual(self.states(1.05), ["in", "in", "in"])
        self.assertEqual(self.states(1.2), ["in", "in", "out"])

    def test_stall_of_the_worker_does_not_count_against_services(self):
        for first in ("tick", "answer"):  # either may be processed first after a stall
            with self.subTest(first):
                self.setUp()
                self.complete_calls(0.0, count=24)
                for n in range(20):
                    self.outliers.tick(0.3 + n * 0.05, 0.05)
                for n in range(4):
                    self.outliers.call_started("s1", f"open{n}", "read", 1.25)
                if first == "tick":
                    self.outliers.tick(2.3, 0.05)
                else:
                    for n in range(4):
                        self.outliers.call_completed("s1", f"open{n}", HealthStatus.OK, 2.3)
                self.assertEqual(self.states(2.3), ["in", "in", "in"])

    def test_successful_trial_is_followed_by_the_next_immediately(self):
        self.complete_calls(0.0)
        self.complete_calls(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.assertEqual(self.states(3.3), ["in", "out", "in"])
        now, step_count = 3.3, 0
        while self.outliers.services["s1"].ejection in ("out", "trial"):
            now += 0.05  # an evaluation at each step, and a request at every third
            self.outliers.evaluate(now)
            step_count += 1
            self.assertLess(step_count, 400)
            if step_count % 3 == 0:
                self.complete_call(self.outliers.rank_services({}, now)[0], now)
        self.assertLess(now, 3.3 + BASE_EJECTION_S + 1.0)

    def test_service_unhealthy_for_several_replaces_one_ejected_by_a_single_worker(self):
        self.complete_calls(0.0)
        self.complete_calls(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.assertEqual(self.states(3.1), ["in", "out", "in"])
        self.report_unhealthy("s2")
        self.assertEqual(self.states(6.0), ["in", "back", "out"])
        self.report_unhealthy("s1", "s2")  # others see both as unhealthy: the ejected one stays ejected
        self.assertEqual(self.states(6.1), ["in", "back", "out"])

    def test_no_service_is_ejected_if_all_are_slow(self):
        self.complete_calls(0.0, count=24)
        self.complete_calls(3.0, slow=("s0", "s1", "s2"), latency_s=0.4, count=12)
        self.assertEqual(self.states(4.0), ["in", "in", "in"])

    def test_ejected_fraction_is_bounded(self):
        self.complete_calls(0.0)
        self.complete_calls(3.0, slow=("s1", "s2"), status=HealthStatus.FAILING)
        self.assertEqual(sorted(self.states(3.6)), ["in", "in", "out"])

    def report_unhealthy(self, *names, observers=("x", "y"), status=HealthStatus.SLOW):
        for member in observers:
            self.reports[member] = RemoteReport(
                0.1,
                [
                    HealthObservation(n, status if n in names else HealthStatus.OK, 9, 0, 20.0)
                    for n in self.outliers.services
                ],
            )

    def test_remote_observations_need_two_observers_and_expire(self):
        self.report_unhealthy("s1", observers=("x",))
        self.assertEqual(self.states(1.0), ["in", "in", "in"])
        self.report_unhealthy("s1")
        self.reports = {
            m: RemoteReport(REMOTE_MAX_AGE_S + 1, report.observations) for m, report in self.reports.items()
        }
        self.assertEqual(self.states(1.0), ["in", "in", "in"])
        self.report_unhealthy("s1")
        self.assertEqual(self.states(1.0), ["in", "out", "in"])

    def test_fresh_own_observations_take_precedence_over_remote_ones(self):
        self.complete_calls(0.0)
        self.report_unhealthy("s1")
        self.assertEqual(self.states(0.5), ["in", "in", "in"])

    def test_observers_with_a_faulty_link_are_ignored(self):
        self.report_unhealthy("s0", "s1")
        self.assertEqual(self.states(1.0), ["in", "in", "in"])

    def test_trials_are_sequential_and_followed_by_a_slow_start(self):
        self.complete_calls(0.0)
        self.complete_calls(3.0, slow=("s1",), status=HealthStatus.FAILING)
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

    def test_failed_trial_delays_the_next_one(self):
        self.complete_calls(0.0)
        self.complete_calls(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.states(3.3)
        self.outliers.call_started("s1", "t", "read", 5.0)
        self.outliers.call_completed("s1", "t", HealthStatus.UNREACHABLE, 5.1)
        service = self.outliers.services["s1"]
        self.assertEqual((service.ejection, service.ejection_s), ("out", 2 * BASE_EJECTION_S))
