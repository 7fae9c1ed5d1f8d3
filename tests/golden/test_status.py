"""What a worker with all tables on tells its operators: the keys, types and metric names of 000e6de."""

import json
import tempfile
import time

from ochrehoist.recovery.startup_progress import StartupStage
from tests.golden.status_shape import appliance_with_all_tables, metric_names, types_by_path
from tests.support.environment import FIXTURES, WAIT_LIMIT_S
from tests.support.worker_cases import WorkerTestCase
from tests.support.worker_process import run_command

GOLDEN = json.loads((FIXTURES / "000e6de" / "status.json").read_text())
STAGE_DURATIONS = "/recovery/so_far/stages_s"
# A start that is slow enough has a duration of any of its stages; the recorded one had three of them.
OPTIONAL_KEYS = {f"{STAGE_DURATIONS}/{stage}" for stage in StartupStage} - GOLDEN["status"].keys()


class GoldenStatusTest(WorkerTestCase):
    """Status and metrics of a worker with all tables."""

    def setUp(self):
        base = self.enterContext(tempfile.TemporaryDirectory())
        # An empty store of its own: of a folder that never was, filings are held for a window.
        done = run_command("state", "init", "--folder", f"{base}/state")
        self.assertEqual(done.returncode, 0, done.stderr)
        appliance = appliance_with_all_tables(base)
        self.program = self.start(thrift=False, ajp=True, peers={}, appliance=appliance)

    def gather(self, look, wanted):
        """What is seen until all that is wanted was seen; nothing else may be."""
        seen, until = set(), time.monotonic() + WAIT_LIMIT_S
        while seen != wanted:
            seen |= look()
            self.assertEqual(seen - wanted, set())
            self.assertLess(time.monotonic(), until, wanted - seen)
            time.sleep(0.02)

    def test_status_has_the_same_keys_with_the_same_types(self):
        def look():
            found = types_by_path(json.loads(self.program.operator_call()[1]))
            for path, types in found.items():
                recorded = f"{STAGE_DURATIONS}/settings" if path in OPTIONAL_KEYS else path
                self.assertLessEqual(types, set(GOLDEN["status"].get(recorded, ())), path)
            return set(found) - OPTIONAL_KEYS

        self.gather(look, set(GOLDEN["status"]))

    def test_metrics_have_the_same_names_and_labels(self):
        def look():
            return metric_names(self.program.operator_call(path="/status/metrics")[1])

        self.gather(look, set(GOLDEN["metrics"]))
