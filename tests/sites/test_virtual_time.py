"""Simulations of several sites with faults on virtual time, with and without each protection."""

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings as limits
from hypothesis import strategies as st

from ochrehoist.lab.goodput import goodput
from ochrehoist.lab.virtual.site_fault_sweep import check_seed
from ochrehoist.lab.virtual.site_measurements import interleaved_steps
from ochrehoist.lab.virtual.site_world import SiteWorld
from ochrehoist.sites.admission_gate import AdmissionGate
from ochrehoist.sites.recovery_ramp import RecoveryRamp
from ochrehoist.sites.step_lease import StepArbiter, StepPermission


class SitesOnVirtualTimeTest(unittest.TestCase):
    """Real coordinators, membership, budgets and decision modules on simulated links and clocks.

    `ochrehoist lab sites` simulates more seeds.
    """

    @limits(max_examples=5, deadline=None)
    @given(st.integers(0, 10_000))
    def test_each_loss_is_detected_without_false_alarms_and_all_sites_recover(self, seed):
        self.assertEqual(check_seed(seed).violations, [])

    def simulate_loss_and_return(self, seed=1, load=0.8, **options):
        """Runs two sites for 34 s; `antwerp` is lost from 8 s to 16 s."""
        world = SiteWorld(seed, {"brussels": 3, "antwerp": 3}, load, **options)
        world.at(8, lambda: world.lose_site("antwerp"))
        world.at(16, lambda: world.restore_site("antwerp"))
        world.run(34)
        return world

    def test_filings_are_served_after_the_loss_of_half_the_fleet_and_by_priority(self):
        world = self.simulate_loss_and_return()
        self.assertGreater(goodput(world.calls, 9, 16, "filing"), 0.98)
        # The greatest goodput of the remaining cores, by priority weight.
        achievable = (3 * 0.2 + 0.5 / 0.8 - 0.2) / (3 * 0.2 + 0.8)
        self.assertGreater(goodput(world.calls, 10, 16), 0.9 * achievable)

    def test_goodput_drops_without_the_admission_gate_and_without_the_recovery_ramp(self):
        protected = [self.simulate_loss_and_return(s) for s in range(3)]
        with mock.patch.object(AdmissionGate, "rank_limit", 1.0):
            without_gate = [self.simulate_loss_and_return(s) for s in range(3)]
        self.assertLess(
            sum(goodput(w.calls, 9, 16) for w in without_gate),
            sum(goodput(w.calls, 9, 16) for w in protected) - 0.06,
        )
        protected = [self.simulate_loss_and_return(s, 0.45) for s in range(3)]
        with mock.patch.object(RecoveryRamp, "load_fraction", 1.0):
            without_ramp = [self.simulate_loss_and_return(s, 0.45) for s in range(3)]
        self.assertGreater(sum(goodput(w.calls, 16, 22) for w in protected), 3 * 0.98)
        self.assertLess(
            sum(goodput(w.calls, 16, 22) for w in without_ramp),
            sum(goodput(w.calls, 16, 22) for w in protected) - 0.03,
        )

    def test_without_the_step_lease_two_sites_advance_at_once(self):
        def interleaved_steps_of_two_returns(seed):
            world = SiteWorld(seed, {"a": 3, "b": 2, "c": 2}, 0.5, cold_s=4.0)
            for site in ("b", "c"):
                world.at(6, lambda site=site: world.lose_site(site))
                world.at(10, lambda site=site: world.restore_site(site))
            world.run(30)
            return interleaved_steps(world)

        self.assertEqual([interleaved_steps_of_two_returns(s) for s in range(3)], [[], [], []])

        def always_granted(self, now, peers, returned_by_operators):
            self.site_returns = True
            return StepPermission(True, 0.0)

        with mock.patch.object(StepArbiter, "evaluate", always_granted):
            self.assertTrue(any(interleaved_steps_of_two_returns(s) for s in range(3)))
