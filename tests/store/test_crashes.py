"""Workers killed at each point of a write, and at random moments under load."""

import os

from ochrehoist.store.failpoints import REQUEST_FAILPOINTS
from tests.store.worker_state_case import KILL_AT, State
from tests.support.crash_load import CrashLoad
from tests.support.environment import WAIT_LIMIT_S

KILLS = int(os.environ.get("KILLS", "12"))


class KilledAt(State):
    def test_at_every_point_nothing_runs_twice_or_is_refused_once_run(self):
        for point in REQUEST_FAILPOINTS:
            with self.subTest(point):
                kills = CrashLoad(self.base / point, clients=2)
                for nth in (1, 2, 5):
                    kills.file(12)
                    program = kills.run_worker(None, fault=KILL_AT.format(point=point, nth=nth))
                    program.process.wait(WAIT_LIMIT_S)
                    kills.stop(program)
                kills.finish()
                self.assertEqual((kills.run_twice, kills.wrong, kills.losses), ({}, [], []))
                self.assertGreater(kills.outcomes[200], 10)

    def test_at_random_moments_under_load(self):
        kills = CrashLoad(self.folder, seed=KILLS)
        kills.run(KILLS)
        self.assertEqual((kills.run_twice, kills.wrong, kills.losses), ({}, [], []))
        self.assertGreater(kills.outcomes[200], KILLS)

    def test_without_a_store_filings_do_run_twice(self):
        """That the harness sees it."""
        kills = CrashLoad(self.folder, seed=1, state=False)
        kills.run(6)
        self.assertNotEqual(kills.run_twice, {})
