"""Tests of adaptive concurrency limits on simulated machines."""

import unittest
from random import Random

from ochrehoist.overload.completion_window import CompletionWindow, WindowAggregator
from ochrehoist.overload.concurrency_limits import LIMIT_ALGORITHMS, ExtremumSeekingLimit, LimitBounds


class ConcurrencyLimitTest(unittest.TestCase):
    """Convergence and bounds of the limit algorithms."""

    def mean_settled_limit(self, controller, time_at, windows=400, noise=0.05, seed=1):
        random, limits = Random(seed), []
        for n in range(windows):
            running = int(controller.limit)
            time = time_at(running, n) * random.lognormvariate(0, noise)
            controller.update(CompletionWindow(running / time, time, running, 30))
            limits.append(controller.limit)
        return sum(limits[windows // 2 :]) / (windows // 2)

    def machine(self, cores, overload_slowdown=0.08):
        return lambda n, _: max(1.0, n / cores) * (1 + overload_slowdown * max(0, n - 1.3 * cores))

    def test_extremum_seeking_converges_to_the_knee_from_any_start_and_follows_it(self):
        for cores in (3, 6, 16):
            for start in (1, cores, 8 * cores):
                mean_limit = self.mean_settled_limit(
                    ExtremumSeekingLimit(float(start), LimitBounds(1, 10 * cores)), self.machine(cores)
                )
                self.assertTrue(0.8 * cores <= mean_limit <= 1.8 * cores, (cores, start, mean_limit))
        machines = self.machine(8), self.machine(4)
        algorithm = ExtremumSeekingLimit(8.0, LimitBounds(1, 64))
        mean_limit = self.mean_settled_limit(
            algorithm, lambda n, window_index: machines[window_index > 100](n, window_index), windows=600
        )
        self.assertTrue(3 <= mean_limit <= 7.5, mean_limit)

    def test_no_limit_leaves_its_bounds_and_an_unused_limit_does_not_move(self):
        for name, algorithm_type in LIMIT_ALGORITHMS.items():
            controller = algorithm_type(5.0, LimitBounds(2, 9))
            self.mean_settled_limit(
                controller, lambda n, window_index: 1.0 + (window_index % 7), windows=300, noise=1.0
            )
            self.assertTrue(2 <= controller.limit <= 9, name)
            unused_limit = algorithm_type(6.0, LimitBounds(1, 60))
            for _ in range(200):
                unused_limit.update(CompletionWindow(1.0, 1.0, 1.0, 30))
            self.assertLessEqual(unused_limit.limit, 8, name)

    def test_a_window_counts_only_runs_that_began_in_it(self):
        windows = WindowAggregator()
        self.assertIsNone(windows.close(0.0))
        windows.record_completion(0.1, 1.0, 0.5)  # started before the window
        for n in range(20):
            windows.record_completion(0.2 + n * 0.05, 0.1, 0.05)
        windows.record_concurrency(3.0, 4)
        window = windows.close(3.0)
        self.assertEqual((window.count, round(window.time_per_work, 3), window.concurrency), (20, 0.5, 4.0))
