"""What a worker with all tables on tells its operators: the keys, types and metric names of 000e6de."""

import json
import tempfile
import time
import unittest
from pathlib import Path

from make_golden import metric_names, types_by_path, worker_with_all_tables
from stand_ins import PATIENCE

GOLDEN = json.loads((Path(__file__).parent.parent / "fixtures" / "000e6de" / "status.json").read_text())


class GoldenStatus(unittest.TestCase):
    def setUp(self):
        base = self.enterContext(tempfile.TemporaryDirectory())
        self.program = worker_with_all_tables(base)
        self.addCleanup(self.program.close)

    def gather(self, look, wanted):
        """What is seen until all that is wanted was seen; nothing else may be."""
        seen, until = set(), time.monotonic() + PATIENCE
        while seen != wanted:
            seen |= look()
            self.assertEqual(seen - wanted, set())
            self.assertLess(time.monotonic(), until, wanted - seen)
            time.sleep(0.02)

    def test_status_has_the_same_keys_with_the_same_types(self):
        def look():
            found = types_by_path(json.loads(self.program.operator()[1]))
            for path, types in found.items():
                self.assertLessEqual(types, set(GOLDEN["status"].get(path, ())), path)
            return set(found)

        self.gather(look, set(GOLDEN["status"]))

    def test_metrics_have_the_same_names_and_labels(self):
        def look():
            return metric_names(self.program.operator(path="/status/metrics")[1])

        self.gather(look, set(GOLDEN["metrics"]))
