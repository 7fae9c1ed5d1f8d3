"""The lines that docs/CAPACITY.md rests on: what a fit tells, and when it tells none."""

import json
import random
import unittest

from benchmarks.scaling.fit import Crossing, fitted_line, limit_crossing
from benchmarks.scaling.probe import Limit, Probe
from benchmarks.scaling.slopes import Slope, measured_slope
from benchmarks.scaling.timing import in_child_process


class FittedLineTest(unittest.TestCase):
    """Lines fitted to figures of several sizes."""

    def test_a_straight_line_is_found_whole(self):
        sizes = [3, 1000, 20000, 58000]
        found = fitted_line(sizes, [40 + 1.25 * n for n in sizes])
        self.assertAlmostEqual(found.base, 40, places=6)
        self.assertAlmostEqual(found.slope, 1.25, places=9)
        self.assertLess(found.residual, 1e-9)
        self.assertAlmostEqual(found.power, 1.0, delta=0.01)
        self.assertAlmostEqual(found.crosses(2100), 1648, places=6)

    def test_two_seeds_at_each_size_count_alike(self):
        found = fitted_line([1, 1, 2, 2, 3, 3, 4, 4], [9, 11, 19, 21, 29, 31, 39, 41])
        self.assertAlmostEqual(found.slope, 10)
        self.assertAlmostEqual(found.base, 0, places=9)
        self.assertAlmostEqual(found.residual, 1 / 41)

    def test_what_bends_shows_in_residual_and_power(self):
        sizes = [100, 1000, 5000, 19000]
        found = fitted_line(sizes, [n * n / 1000 for n in sizes])
        self.assertGreater(found.residual, 0.05)
        self.assertAlmostEqual(found.power, 2.0)

    def test_what_does_not_grow_breaks_nowhere(self):
        found = fitted_line([1, 10, 100, 1000], [5, 5, 5, 5])
        self.assertIsNone(found.crosses(6))
        self.assertEqual(found.crosses(5), 0.0)
        self.assertEqual(found.power, 0.0)

    def test_a_measured_crossing_is_distinguished_from_an_extrapolated_one(self):
        sizes, values = [10, 10, 100, 100, 1000, 1000, 5000, 5000], [9, 11, 90, 110, 900, 1100, 4900, 5100]
        found = limit_crossing(sizes, values, 3000)
        self.assertEqual((round(found.size), found.measured), (3000, True))
        found = limit_crossing(sizes, values, 58_000)
        self.assertEqual((round(found.size), found.measured), (58_000, False))
        self.assertEqual(limit_crossing(sizes, values, 5), Crossing(10, measured=True))
        self.assertEqual(limit_crossing([1, 2, 3, 4], [7, 7, 7, 7], 8), Crossing(None, measured=False))

    def test_a_figure_that_has_levelled_off_has_no_crossing_beyond(self):
        sizes = [10, 100, 1000, 5000]
        self.assertEqual(limit_crossing(sizes, [20, 200, 500, 505], 600), Crossing(None, measured=False))
        self.assertIsNotNone(limit_crossing(sizes, [20, 200, 400, 505], 600).size)

    def test_noise_leaves_the_slope_near_the_truth(self):
        for seed in range(20):
            rng = random.Random(seed)
            sizes = [n for n in (100, 1000, 10000, 50000) for _ in range(2)]
            found = fitted_line(sizes, [(10 + 2 * n) * rng.uniform(0.9, 1.1) for n in sizes])
            self.assertLess(abs(found.slope / 2 - 1), 0.12, seed)

    def test_three_sizes_give_no_slope(self):
        for sizes in ([1, 2, 3], [1, 1, 2, 2, 3, 3]):
            with self.assertRaisesRegex(ValueError, "4 sizes"):
                fitted_line(sizes, [float(n) for n in sizes])
        with self.assertRaisesRegex(ValueError, "each with its value"):
            fitted_line([1, 2, 3, 4], [1.0])


class ChildProcessTest(unittest.TestCase):
    """Points measured in a process of their own."""

    def test_a_point_comes_back_from_its_own_process(self):
        self.assertEqual(in_child_process(lambda: {"n": 3.0}), {"n": 3.0})

    def test_a_point_that_fails_is_no_figure(self):
        def fails():
            message = "17 of 20 were held"
            raise AssertionError(message)

        with self.assertRaisesRegex(RuntimeError, "17 of 20 were held"):
            in_child_process(fails)


class Probes(unittest.TestCase):
    """What is made of the points of one probe."""

    def _measured(self, measure, sizes=(10, 20, 30, 40, 50)):
        limits = Limit("us", 70.0, "a limit"), Limit("us", 1000.0, "another")
        return measured_slope(Probe("probe", "n", sizes, measure, 100, limits), seeds=2)

    def test_every_size_is_measured_with_every_seed(self):
        slope = self._measured(lambda size, seed: {"us": 2.0 * size + seed})
        self.assertEqual(len(slope.points), 10)
        self.assertAlmostEqual(slope.lines["us"].slope, 2)
        self.assertAlmostEqual(slope.lines["us"].at(slope.goal), 201.5)
        self.assertEqual([check.crossing.measured for check in slope.limits], [True, False])
        self.assertAlmostEqual(slope.limits[0].crossing.size, 34.25)

    def test_a_slope_comes_back_from_its_json(self):
        slope = self._measured(lambda size, seed: {"us": 2.0 * size + seed})
        self.assertEqual(Slope.from_json(json.loads(json.dumps(slope.to_json()))), slope)

    def test_a_size_that_cannot_be_run_is_reported_and_left_out(self):
        def measure(size, seed):
            if size == 50:
                message = "not ready"
                raise ValueError(message)
            return {"us": float(size)}

        slope = self._measured(measure)
        self.assertEqual(len(slope.points), 8)
        self.assertEqual(set(slope.not_run), {"50 with seed 1", "50 with seed 2"})
        self.assertIn("not ready", slope.not_run["50 with seed 1"])

    def test_three_remaining_sizes_give_no_slope(self):
        with self.assertRaisesRegex(ValueError, "4 sizes"):
            self._measured(lambda size, seed: {"us": 1.0 / (size < 40)})
