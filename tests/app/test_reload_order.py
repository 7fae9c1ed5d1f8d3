"""When a change is in force: places of tenants given up, and a process that is being replaced."""

import tempfile
import time
import unittest

from ochrehoist.app.worker import Worker
from ochrehoist.config.loader import load
from ochrehoist.core.tenants import MIN_RETIRED_POSITIONS
from ochrehoist.steps import run_to_completion
from tests.app.tenant_reload import appliance, close_worker, commit_change
from tests.support.environment import WAIT_LIMIT_S


class TenantPlacesTest(unittest.TestCase):
    """Positions of tenants that are gone."""

    def test_positions_of_removed_tenants_are_freed_except_those_with_a_known_filing(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = appliance(folder.name, range(MIN_RETIRED_POSITIONS + 50), 1)
        worker = Worker(load(path), path)
        self.addCleanup(close_worker, worker)
        owner, reloading = worker.parts.core, worker.parts.reloader
        owner.step()
        owner.idempotency.run_started(("t40", "filing", "key"), "first", owner.clock() + 60 * 10**9, None)
        module = owner.controller

        def change(numbers):
            appliance(folder.name, numbers, 1)
            commit_change(worker, run_to_completion(reloading.prepare_in_steps(only_if_changed=False)))
            return sorted(owner.tenants.retired)

        # Of those that go in one change, one more request may have been read: they stay until the next.
        self.assertEqual(len(change(range(3))), MIN_RETIRED_POSITIONS + 47)
        self.assertIsNot(owner.controller, module)
        self.assertEqual(change(range(3)), ["t40"])
        self.assertEqual([t.name for t in owner.controller.settings.tenants], ["t0", "t1", "t2", "t40"])
        module = owner.controller
        self.assertEqual(change([0, 40]), ["t1", "t2"])  # few are gone: the module stays
        self.assertIs(owner.controller, module)
        self.assertEqual(owner.tenants["t40"], 3)


class Standing(unittest.TestCase):
    """While the core's state is on its way to another process, which may still say no."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = appliance(folder.name, range(3), 1)
        self.worker = Worker(load(path), path)
        self.addCleanup(close_worker, self.worker)
        self.worker.parts.core.step()
        self.worker.parts.core.freeze()
        self.worker.parts.loop.spawn(self.worker.parts.core.run)
        appliance(folder.name, range(4), 1)
        self.worker.parts.reloader.request_reload()

    def run_until(self, done):
        """The loop; whether it was done in time."""
        loop, seen = self.worker.parts.loop, []

        def look():
            if done():
                seen.append(True)
                loop.stop()
            else:
                loop.call_later(0.01, look)

        look()
        loop.call_later(WAIT_LIMIT_S, loop.stop)
        loop.run()
        loop.stopped = False
        return bool(seen)

    def prepared(self):
        """All that is left is the switch."""
        rounds = []
        self.assertTrue(self.run_until(lambda: rounds.append(1) or len(rounds) > 20))
        self.assertEqual(
            (self.worker.parts.reloader.reload_running, len(self.worker.parts.core.tenants)), (True, 3)
        )

    def test_a_change_waits_until_that_is_over_and_is_then_in_force(self):
        self.prepared()
        self.worker.parts.core.thaw()
        self.assertTrue(self.run_until(lambda: not self.worker.parts.reloader.reload_running))
        self.assertEqual(
            (len(self.worker.parts.core.tenants), self.worker.parts.reloader.status.outcome), (4, "taken")
        )

    def test_once_the_other_process_decides_no_change_is_taken_and_no_reload_kept(self):
        self.prepared()
        reloading, rounds = self.worker.parts.reloader, []
        reloading.request_reload()  # one more, which came before
        self.worker.parts.core.hand_over(lambda line: True, None)
        self.assertTrue(self.run_until(lambda: not reloading.reload_running))
        self.worker.parts.loop.observe_iterations(lambda took, late: rounds.append(took))
        until = time.monotonic() + 0.05
        self.assertTrue(self.run_until(lambda: time.monotonic() > until))
        self.assertLess(len(rounds), 100)  # it has nothing to do but what is looked at now and then
        self.assertFalse(reloading.reload_running)
        self.assertEqual((len(self.worker.parts.core.tenants), reloading.status.outcome), (3, "start"))
