"""Short runs at a high rate: a gauge of 100 ms ago is long past, and events must cost little."""

import unittest

from ochrehoist.admission.actions import StartRun
from ochrehoist.admission.events import TimerFired
from tests.admission.controller_driver import CLASSES, MS, Driver, request_class

SHORT = (request_class(latency_objective_ns=450 * MS, deadline_ns=1500 * MS),)


def learned(cores=4, **changes):
    """A server that has finished many runs of 5 ms."""
    d = Driver(classes=SHORT, cores=cores, memory_kb=2_000_000.0, **changes)
    for _ in range(60):
        job, _ = d.request(remaining_ns=None)
        d.now_ns += 5 * MS
        d.complete(job, duration_ns=5 * MS)
    return d


class ShortRunsTest(unittest.TestCase):
    """Runs of some milliseconds at a high rate."""

    def test_an_old_gauge_does_not_keep_work_from_idle_cores(self):
        d = learned()
        for _ in range(50):
            d.request(remaining_ns=None, unread_ns=50 * MS)
        d.controller.arrivals.rate_per_s = 500.0  # a second: two dozen of them wait to be read
        running = [x for x in d.ids(StartRun) if x in d.controller.jobs]
        d.send(TimerFired(1, {"cpu_busy": 0.9, "runnable": 40.0}))
        for job in running:  # they end within the time of a run or two, long before the next gauge
            d.now_ns += 10 * MS
            d.complete(job, duration_ns=5 * MS)
        self.assertEqual(d.controller.concurrency.running, 4)
        self.assertTrue(d.controller.queue.jobs)

    def test_one_gauge_lets_the_running_floor_climb_a_little_only(self):
        d = learned(cores=8)
        d.send(TimerFired(1, {"cpu_busy": 0.1, "runnable": 0.0}))
        for _ in range(60):
            d.request(remaining_ns=None)
        top, finishes = 0, 0
        while job := next((x for x, j in d.controller.jobs.items() if j.started), None):
            d.now_ns += MS // 2
            d.complete(job, duration_ns=5 * MS)
            top, finishes = max(top, d.controller.policy.floor), finishes + 1
        self.assertGreater(finishes, 20)
        self.assertLessEqual(top, 8 + 3)

    def test_a_pause_of_the_process_is_no_stall_where_runs_are_short(self):
        d = learned()
        for _ in range(4):
            d.request(remaining_ns=None)
        for _ in range(3):
            d.now_ns += 50 * MS
            d.send(TimerFired(1, {"cpu_busy": 1.0, "runnable": 4.0}))
            self.assertFalse(d.controller.health.stalled)
        for _ in range(2):
            d.now_ns += 50 * MS
            d.send(TimerFired(1, {"cpu_busy": 1.0, "runnable": 4.0}))
        self.assertTrue(d.controller.health.stalled)

    def test_arrivals_behind_a_long_queue_do_not_rank_it_anew_each(self):
        d = Driver(classes=CLASSES[:1], memory_kb=2_000_000.0, cores=40, collapse_multiple=2.0)
        asked = []
        selector = d.controller._selector
        plain = selector._should_reject
        selector._should_reject = lambda *args: asked.append(1) or plain(*args)
        for _ in range(100):
            d.request()
        held, before = len(d.controller.queue.jobs), len(asked)
        self.assertGreater(held, 20)
        for _ in range(100):
            d.request()
        self.assertLess(len(asked) - before, 300)


if __name__ == "__main__":
    unittest.main()
