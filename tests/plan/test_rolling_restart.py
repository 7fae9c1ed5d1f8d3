"""How many may restart at once: what the planner says, and what rolling plays are made of."""

import unittest

from ochrehoist.config.fleet_description import load
from ochrehoist.lab.drill import rolling_restart_scenario, site_loss_scenario
from ochrehoist.lab.scenario import ScenarioError
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.rolling_restart import (
    estimate_concurrent_restarts,
    find_concurrent_restarts,
    restart_order,
)
from tests.support.environment import ROOT


class RollingRestartTest(unittest.TestCase):
    """Sites and workers that restart by turns."""

    def setUp(self):
        self.fleet = load(ROOT / "deploy/sites-fleet.toml")

    def test_sites_take_turns(self):
        fleet = load(ROOT / "deploy/fleet.toml")
        order = restart_order(fleet)
        self.assertEqual(sorted(order), list(range(len(fleet.placed_workers))))
        first = {(fleet.placed_workers[n].site, fleet.placed_workers[n].kind) for n in order[:4]}
        self.assertEqual(len(first), 4)

    def test_the_more_load_the_fewer_and_never_all(self):
        counts = [
            estimate_concurrent_restarts(self.fleet.with_demand(demand), 0.95)
            for demand in (0.1, 0.3, 0.6, 0.95)
        ]
        self.assertEqual(counts, sorted(counts, reverse=True))
        self.assertLess(max(counts), len(self.fleet.placed_workers))
        self.assertEqual(counts[-1], 0)

    def test_the_simulated_controller_agrees_in_plain_cases(self):
        quiet = lambda *_: None  # noqa: E731
        self.assertEqual(
            find_concurrent_restarts(self.fleet.with_demand(0.2), 0.9, 1.0, (1,), 1, quiet)["most"], 2
        )
        self.assertEqual(
            find_concurrent_restarts(self.fleet.with_demand(0.97), 0.99, 3.0, (1,), 1, quiet)["most"], 0
        )
        with self.assertRaises(UnanswerableQuestionError):
            find_concurrent_restarts(self.fleet, 1.0, 1.0, (1,), 1, quiet)

    def test_a_rolling_scenario_restarts_each_worker_once_and_leaves_some_running(self):
        s = rolling_restart_scenario(self.fleet, 4, 2, 1.0)
        restarted = sorted(w for f in s.faults for w in f.who)
        self.assertEqual(restarted, sorted(f"w{n}" for n in range(s.workers)))
        with self.assertRaisesRegex(ScenarioError, "at_once"):
            rolling_restart_scenario(self.fleet, 4, 9, 1.0)
        with self.assertRaisesRegex(ScenarioError, "site"):
            site_loss_scenario(self.fleet, "ghent", 4, 5.0)
