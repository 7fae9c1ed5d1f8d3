"""Tests of the recovery and evacuation ramps."""

import itertools
import unittest

from ochrehoist.sites.evacuation_ramp import EvacuationRamp
from ochrehoist.sites.peer_workers import PeerBaseline
from ochrehoist.sites.recovery_ramp import DEFAULT_STAGES, MIN_STAGE_S, RampCause, RampInputs, RecoveryRamp
from ochrehoist.sites.step_lease import StepPermission


class RampsTest(unittest.TestCase):
    """Stages that are entered, held, rolled back and skipped."""

    FULL_SERVICE = PeerBaseline(3, 1.0, 20.0)

    def setUp(self):
        self.ramp, self.now = RecoveryRamp(0.0, RampCause.STARTED), 0.0

    def evaluate(
        self,
        duration_s,
        threshold=1.0,
        predicted=1.0,
        baseline=FULL_SERVICE,
        granted=True,
        wait_s=0.0,
        good=0,
        bad=0,
    ):
        """Evaluates the ramp every 0.1 s, with `good` and `bad` completions in each interval."""
        end = self.now + duration_s
        while self.now < end - 1e-9:
            self.now += 0.1
            for _ in range(good):
                self.ramp.record_completion(True)
            for _ in range(bad):
                self.ramp.record_completion(False)
            permission = StepPermission(granted, wait_s)
            self.ramp.evaluate(self.now, RampInputs(threshold, lambda rate: predicted, baseline, permission))
        return self.ramp.load_fraction

    def test_elapsed_time_alone_advances_no_stage(self):
        self.assertEqual(self.evaluate(200), DEFAULT_STAGES[0])
        self.assertIn("completions", self.ramp.waits_for)

    def test_completions_in_time_advance_the_ramp_to_full_load_stage_by_stage(self):
        fractions = [self.evaluate(MIN_STAGE_S, good=3) for _ in range(30)]
        self.assertEqual(sorted(set(fractions)), sorted(set(DEFAULT_STAGES) & set(fractions)))
        self.assertTrue(self.ramp.is_complete)
        self.assertTrue(
            all(later - earlier <= 0.2 + 1e-9 for earlier, later in itertools.pairwise(fractions))
        )

    def test_a_low_predicted_threshold_delays_the_next_stage(self):
        self.assertEqual(self.evaluate(5, predicted=0.6, good=3), DEFAULT_STAGES[0])
        self.assertIn("warmth", self.ramp.waits_for)
        self.assertGreater(self.evaluate(1, predicted=0.95, good=3), DEFAULT_STAGES[0])
        # In a fleet-wide overload the worker need not reach a higher threshold than its peers.
        self.setUp()
        self.assertGreater(
            self.evaluate(2, predicted=0.6, baseline=PeerBaseline(3, 0.6, 20.0), good=3), DEFAULT_STAGES[0]
        )

    def test_an_overloaded_stage_is_rolled_back(self):
        self.evaluate(1.2, good=3)
        reached_stage = self.ramp.stage
        self.assertGreater(reached_stage, 0)
        self.evaluate(2.0, threshold=0.4, predicted=0.0, good=1)
        self.assertLess(self.ramp.stage, reached_stage)
        self.assertGreater(self.ramp.rollbacks, 0)
        self.assertIn("taken back", self.ramp.history[-1].reason)
        self.setUp()
        self.evaluate(1.2, good=3)
        reached_stage = self.ramp.stage
        self.evaluate(2.0, predicted=0.0, good=1, bad=3)
        self.assertLess(self.ramp.stage, reached_stage)

    def test_no_stage_is_entered_without_the_lease_or_while_asked_to_wait_or_held(self):
        self.assertEqual(self.evaluate(5, granted=False, good=3), DEFAULT_STAGES[0])
        self.assertEqual(self.evaluate(5, wait_s=1.0, good=3), DEFAULT_STAGES[0])
        self.ramp.set_held(True)
        self.assertEqual(self.evaluate(5, good=3), DEFAULT_STAGES[0])
        self.ramp.set_held(False)
        self.assertGreater(self.evaluate(1, good=3), DEFAULT_STAGES[0])

    def test_full_load_is_requested_if_no_peer_is_at_full_service(self):
        no_peers = PeerBaseline(0, 1.0, 0.0)
        # The worker first waits for its peers' reports.
        self.assertEqual(self.evaluate(1.0, baseline=no_peers), DEFAULT_STAGES[0])
        self.assertEqual(self.evaluate(1.0, baseline=no_peers), 1.0)
        self.assertTrue(self.ramp.is_unpaced)
        self.evaluate(3, baseline=no_peers, good=3)
        self.assertTrue(self.ramp.is_complete)

    def test_an_unpaced_worker_that_falls_behind_its_peers_returns_to_stages(self):
        self.evaluate(2.0, baseline=PeerBaseline(0, 1.0, 0.0))
        self.assertEqual(self.evaluate(0.5, threshold=0.3), DEFAULT_STAGES[0])

    def test_a_recovery_ends_after_its_maximum_duration_and_operators_can_skip_or_end_it(self):
        self.ramp.skip_stage(0.0, "w0")
        self.assertEqual(self.ramp.load_fraction, DEFAULT_STAGES[1])
        self.assertEqual(self.evaluate(self.ramp.plan.max_duration_s + 1), 1.0)
        self.setUp()
        self.ramp.end(0.0, "w0")
        self.assertEqual((self.ramp.load_fraction, self.ramp.is_complete), (1.0, True))

    def test_an_evacuation_waits_for_overloaded_peers_for_a_limited_time(self):
        def evacuation_time_s(threshold):
            ramp, now = EvacuationRamp(0.0, "evacuated"), 0.0
            while not ramp.is_empty:
                now += 0.1
                ramp.evaluate(now, PeerBaseline(3, threshold, 10.0))
            return now

        self.assertLess(evacuation_time_s(1.0), 2.0)
        self.assertTrue(5.0 < evacuation_time_s(0.5) < 12.0)
