"""Short runs at a high rate: a gauge of 100 ms ago is long past, and events must cost little."""

import unittest

from ochrehoist.admission.actions import StartRun
from ochrehoist.admission.events import TimerFired
from tests.admission.controller_driver import CLASSES, MS, Driver, request_class

SHORT = (request_class(latency_objective_ns=450 * MS, deadline_ns=1500 * MS),)


def learned(cores=4, **changes):
    """A server that has finished many runs of 5 ms."""
    driver = Driver(classes=SHORT, cores=cores, memory_kb=2_000_000.0, **changes)
    for _ in range(60):
        job, _ = driver.request(remaining_ns=None)
        driver.now_ns += 5 * MS
        driver.complete(job, duration_ns=5 * MS)
    return driver


class ShortRunsTest(unittest.TestCase):
    """Runs of some milliseconds at a high rate."""

    def test_an_old_gauge_does_not_keep_work_from_idle_cores(self):
        driver = learned()
        for _ in range(50):
            driver.request(remaining_ns=None, unread_ns=50 * MS)
        driver.controller.arrivals.rate_per_s = 500.0  # a second: two dozen of them wait to be read
        running = [x for x in driver.ids(StartRun) if x in driver.controller.jobs]
        driver.send(TimerFired(1, {"cpu_busy": 0.9, "runnable": 40.0}))
        for job in running:  # they end within the time of a run or two, long before the next gauge
            driver.now_ns += 10 * MS
            driver.complete(job, duration_ns=5 * MS)
        self.assertEqual(driver.controller.concurrency.running, 4)
        self.assertTrue(driver.controller.queue.jobs)

    def test_one_gauge_lets_the_running_floor_climb_a_little_only(self):
        driver = learned(cores=8)
        driver.send(TimerFired(1, {"cpu_busy": 0.1, "runnable": 0.0}))
        for _ in range(60):
            driver.request(remaining_ns=None)
        top, finishes = 0, 0
        while job := next((x for x, j in driver.controller.jobs.items() if j.started), None):
            driver.now_ns += MS // 2
            driver.complete(job, duration_ns=5 * MS)
            top, finishes = max(top, driver.controller.policy.floor), finishes + 1
        self.assertGreater(finishes, 20)
        self.assertLessEqual(top, 8 + 3)

    def test_a_pause_of_the_process_is_no_stall_where_runs_are_short(self):
        driver = learned()
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

    def test_arrivals_behind_a_long_queue_do_not_rank_it_anew_each(self):
        driver = Driver(classes=CLASSES[:1], memory_kb=2_000_000.0, cores=40, collapse_multiple=2.0)
        asked = []
        selector = driver.controller._selector
        plain = selector._should_reject
        selector._should_reject = lambda *args: asked.append(1) or plain(*args)
        for _ in range(100):
            driver.request()
        held, before = len(driver.controller.queue.jobs), len(asked)
        self.assertGreater(held, 20)
        for _ in range(100):
            driver.request()
        self.assertLess(len(asked) - before, 300)


if __name__ == "__main__":
    unittest.main()
