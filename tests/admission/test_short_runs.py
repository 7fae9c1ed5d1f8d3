"""Short runs at a high rate: gauges are outdated after a few runs, and events must cost little."""

import unittest

from ochrehoist.admission.actions import StartRun
from ochrehoist.admission.events import TimerFired
from tests.admission.controller_driver import CLASSES, MS, Driver, request_class

SHORT = (request_class(latency_objective_ns=450 * MS, deadline_ns=1500 * MS),)


def driver_after_short_runs(cores=4, **changes):
    """Returns a driver whose controller has learned from many runs of 5 ms."""
    driver = Driver(classes=SHORT, cores=cores, memory_kb=2_000_000.0, **changes)
    for _ in range(60):
        running_id, _ = driver.request(remaining_ns=None)
        driver.now_ns += 5 * MS
        driver.complete(running_id, duration_ns=5 * MS)
    return driver


class ShortRunsTest(unittest.TestCase):
    """Runs of a few milliseconds at a high rate."""

    def test_an_outdated_gauge_does_not_leave_cores_idle(self):
        driver = driver_after_short_runs()
        for _ in range(50):
            driver.request(remaining_ns=None, unread_ns=50 * MS)
        driver.controller.arrivals.rate_per_s = 500.0  # about 25 requests wait to be read
        running = [start for start in driver.ids(StartRun) if start in driver.controller.jobs]
        driver.send(TimerFired(1, {"cpu_busy": 0.9, "runnable": 40.0}))
        for running_id in running:  # each completes within two run times, long before the next gauge
            driver.now_ns += 10 * MS
            driver.complete(running_id, duration_ns=5 * MS)
        self.assertEqual(driver.controller.concurrency.running, 4)
        self.assertTrue(driver.controller.queue.jobs)

    def test_the_concurrency_floor_rises_only_a_little_on_one_gauge(self):
        driver = driver_after_short_runs(cores=8)
        driver.send(TimerFired(1, {"cpu_busy": 0.1, "runnable": 0.0}))
        for _ in range(60):
            driver.request(remaining_ns=None)
        max_floor, completions = 0, 0
        while running_id := next(
            (job_id for job_id, each in driver.controller.jobs.items() if each.started), None
        ):
            driver.now_ns += MS // 2
            driver.complete(running_id, duration_ns=5 * MS)
            max_floor, completions = max(max_floor, driver.controller.policy.floor), completions + 1
        self.assertGreater(completions, 20)
        self.assertLessEqual(max_floor, 8 + 3)

    def test_a_pause_of_the_process_is_not_a_stall_even_with_short_runs(self):
        driver = driver_after_short_runs()
        for _ in range(4):
            driver.request(remaining_ns=None)
        for _ in range(3):
            driver.now_ns += 50 * MS
            driver.send(TimerFired(1, {"cpu_busy": 1.0, "runnable": 4.0}))
            self.assertFalse(driver.controller.health.stalled)
        for _ in range(2):
            driver.now_ns += 50 * MS
            driver.send(TimerFired(1, {"cpu_busy": 1.0, "runnable": 4.0}))
        self.assertTrue(driver.controller.health.stalled)

    def test_arrivals_do_not_cause_a_full_evaluation_of_a_long_queue_each(self):
        driver = Driver(classes=CLASSES[:1], memory_kb=2_000_000.0, cores=40, collapse_multiple=2.0)
        evaluations = []
        selector = driver.controller._selector
        original = selector._should_reject
        selector._should_reject = lambda *args: evaluations.append(1) or original(*args)
        for _ in range(100):
            driver.request()
        queued, evaluations_before = len(driver.controller.queue.jobs), len(evaluations)
        self.assertGreater(queued, 20)
        for _ in range(100):
            driver.request()
        self.assertLess(len(evaluations) - evaluations_before, 300)


if __name__ == "__main__":
    unittest.main()
