"""What a change of configuration costs the event loop: as much whatever the number of others."""

import sys
import tempfile
import unittest

from ochrehoist.app.worker import Worker
from ochrehoist.config.loader import load
from tests.app.tenant_reload import appliance, close_worker, commit_change
from tests.support.site_settings import site_settings


class Growth(unittest.TestCase):
    """Lines run in the longest step and in the switch, which must not grow with tenants or routes."""

    def change(self, count, routes, change):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = appliance(folder.name, range(count), routes)
        worker = Worker(load(path), path)
        self.addCleanup(close_worker, worker)
        worker.parts.core.step()
        change(folder.name, count, routes)
        steps, longest, lines = worker.parts.reloader.prepare_in_steps(only_if_changed=False), 0, 0

        def count_lines(frame, event, argument):
            nonlocal lines
            lines += event == "line"
            return count_lines

        def counted(call):
            nonlocal lines
            lines, before = 0, sys.gettrace()
            sys.settrace(count_lines)
            try:
                return call()
            finally:
                sys.settrace(before)

        while True:
            try:
                counted(lambda: next(steps))
            except StopIteration as end:
                ready = end.value
                break
            longest = max(longest, lines)
        counted(lambda: commit_change(worker, ready))
        return worker, longest, lines

    def flat(self, change, for_each=0):
        """Gives the worker of the largest size. `for_each`: lines that the switch may run for each tenant."""
        steps, switches = {}, {}
        for count, routes in ((3, 3), (2000, 130), (20_000, 1300)):
            worker, steps[count], switches[count] = self.change(count, routes, change)
        # The longest steps parse a chunk of elements, of the same length at most; what the switch takes
        # more at times is what falls due in the core. A look at each tenant would be more than either.
        self.assertLess(max(steps.values()), 12_000, steps)
        for count, lines in switches.items():
            self.assertLess(lines, 5000 + for_each * count, switches)
        return worker

    def test_one_tenant_changed_costs_the_loop_as_much_whatever_the_number_of_others(self):
        worker = self.flat(
            lambda folder, count, routes: appliance(folder, [n for n in range(count + 1) if n != 1], routes)
        )
        table = worker.parts.core.tenants
        self.assertEqual((table.position("t20000"), table.retired), (20_000, {"t1": 1}))
        self.assertEqual(len(worker.parts.core.controller.settings.tenants), 20_001)

    def test_one_route_changed_costs_as_much_whatever_the_others_and_does_not_reach_the_controller(self):
        worker = self.flat(lambda folder, count, routes: appliance(folder, range(count), routes + 1))
        self.assertEqual(len(worker.parts.fronts[0].config.routes), 1301)
        self.assertIs(worker.parts.core.controller.settings.tenants, worker.parts.core.tenants.by_position)

    def test_a_change_of_every_tenant_and_a_class_makes_a_new_controller_that_visits_each_once(self):
        def change(folder, count, routes):
            base = site_settings()["Classes"]
            appliance(folder, range(count), routes, 2.0, Classes=[*base, base[0] | {"Name": "more"}])

        worker = self.flat(change, for_each=1)  # its quota, as it was at first
        self.assertEqual(worker.parts.core.controller.settings.tenants[7].quota_per_s, 2.0)
        self.assertIn("more", worker.parts.core.class_indices)
