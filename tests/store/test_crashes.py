"""Workers killed at each step of a write, and at random times under load."""

import os

from ochrehoist.store.failpoints import REQUEST_FAILPOINTS
from tests.store.worker_state_case import KILL_AT, WorkerStateTestCase
from tests.support.crash_load import CrashLoad
from tests.support.environment import WAIT_LIMIT_S

KILLS = int(os.environ.get("KILLS", "12"))


class CrashesTest(WorkerStateTestCase):
    """Kills at failpoints and at random times."""

    def test_a_kill_at_any_failpoint_causes_no_duplicate_run_and_no_wrong_rejection(self):
        for point in REQUEST_FAILPOINTS:
            with self.subTest(point):
                crash_load = CrashLoad(self.base / point, clients=2)
                for nth in (1, 2, 5):
                    crash_load.file(12)
                    program = crash_load.run_worker(None, fault=KILL_AT.format(point=point, nth=nth))
                    program.process.wait(WAIT_LIMIT_S)
                    crash_load.stop(program)
                crash_load.finish()
                self.assertEqual((crash_load.run_twice, crash_load.wrong, crash_load.losses), ({}, [], []))
                self.assertGreater(crash_load.outcomes[200], 10)

    def test_kills_at_random_times_under_load_cause_no_duplicate_run(self):
        crash_load = CrashLoad(self.folder, seed=KILLS)
        crash_load.run(KILLS)
        self.assertEqual((crash_load.run_twice, crash_load.wrong, crash_load.losses), ({}, [], []))
        self.assertGreater(crash_load.outcomes[200], KILLS)

    def test_without_a_store_the_harness_detects_duplicate_runs(self):
        crash_load = CrashLoad(self.folder, seed=1, state=False)
        crash_load.run(6)
        self.assertNotEqual(crash_load.run_twice, {})
