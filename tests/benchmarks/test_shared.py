"""What the benchmarks share: percentiles, rounds by turns, and names of other trees."""

import sys
import tempfile
import unittest
from pathlib import Path

from benchmarks.shared.paired_runs import Pair, paired_rounds, ratio_summary
from benchmarks.shared.samples import MEDIAN, P99, percentile, rounded_percentile_ms
from benchmarks.shared.tree_process import measure_in_tree

ROOT = next(folder for folder in Path(__file__).parents if (folder / "pyproject.toml").exists())


class PercentileTest(unittest.TestCase):
    """Percentiles of samples."""

    def test_a_percentile_is_one_of_the_samples(self):
        samples = [float(number) for number in range(100, 0, -1)]
        self.assertEqual(percentile(samples, MEDIAN), 51)
        self.assertEqual(percentile(samples, P99), 100)
        self.assertEqual(percentile([7.0], P99), 7)
        self.assertEqual(percentile(samples, 1.0), 100)

    def test_nothing_measured_has_no_percentile(self):
        self.assertIsNone(rounded_percentile_ms([], P99))
        self.assertEqual(rounded_percentile_ms([0.01234], P99), 12.3)


class PairedRunsTest(unittest.TestCase):
    """Two programs measured by turns."""

    def test_each_goes_first_in_every_second_round(self):
        order = []

        def measure(name):
            order.append(name)
            return name

        pairs = list(paired_rounds(3, lambda: measure("before"), lambda: measure("now")))
        self.assertEqual(order, ["before", "now", "now", "before", "before", "now"])
        self.assertEqual(pairs, [Pair("before", "now")] * 3)

    def test_the_ratio_is_taken_within_each_round(self):
        summary = ratio_summary([Pair(1.0, 2.0), Pair(10.0, 10.0), Pair(2.0, 1.0)])
        self.assertEqual((summary.median, summary.least, summary.most), (1.0, 0.5, 2.0))
        self.assertEqual(str(summary), "1.000 (0.500 to 2.000)")


class OtherTrees(unittest.TestCase):
    """A tree of one module that has a name of its own, and lacks one that this tree has."""

    def test_only_names_of_the_measured_tree_are_found(self):
        with tempfile.TemporaryDirectory() as folder:
            package = Path(folder, "ochrehoist")
            package.mkdir()
            (package / "__init__.py").write_text("")
            (package / "rules.py").write_text("LIMIT = 7\n")
            task = Path(folder, "naming_task.py")
            task.write_text(
                "from benchmarks.shared.tree_process import import_any\n"
                "def measure(task):\n"
                "    return {'found': import_any(*task['candidates'])}\n"
            )
            candidates = ["ochrehoist.errors:__name__", "ochrehoist.rules:LIMIT"]
            self.assertTrue((ROOT / "ochrehoist" / "errors.py").exists())
            found = measure_in_tree(Path(folder), "naming_task", {"candidates": candidates})
        self.assertEqual(found, {"found": 7})
        self.assertNotIn(folder, sys.path)


if __name__ == "__main__":
    unittest.main()
