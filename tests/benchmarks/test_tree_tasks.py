"""Tasks that find names of the program by text: they work on this tree, whatever was renamed in it."""

import tempfile
import unittest
from pathlib import Path

from benchmarks.configuration.loading_files import JSON, TOML, write_files
from benchmarks.configuration.loading_kinds import FileKind
from benchmarks.shared.revisions import ROOT
from benchmarks.shared.tree_process import measure_in_tree


class TreeTasksTest(unittest.TestCase):
    """Measurements in another tree."""

    def test_routes_are_found_and_the_index_is_measured(self):
        task = {"forms": ["/svc{}/*"], "size": 5, "calls": 10}
        figures = measure_in_tree(ROOT, "benchmarks.requests.route_lookup_task", task)
        self.assertEqual(set(figures["found"]), {"first", "middle", "last", "none"})
        for name in ("built_ms", "longest_step_ms", "bytes_a_route"):
            self.assertGreater(figures[name], 0)

    def test_configurations_are_read_with_their_changes(self):
        for suffix in (TOML, JSON):
            with self.subTest(suffix=suffix), tempfile.TemporaryDirectory() as folder:
                write_files(Path(folder), 3, suffix)
                task = {"folder": folder, "suffix": suffix}
                figures = measure_in_tree(ROOT, "benchmarks.configuration.loading_task", task)
                self.assertEqual(set(figures), {kind.value for kind in FileKind} - {FileKind.WARMUP.value})
                for figure in figures.values():
                    self.assertGreater(figure["cpu_s"], 0)


if __name__ == "__main__":
    unittest.main()
