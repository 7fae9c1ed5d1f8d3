"""Recovery and evacuation of a site by stages."""

import unittest

from ochrehoist.sites.evacuation_ramp import EvacuationRamp
from ochrehoist.sites.peer_workers import PeerBaseline
from ochrehoist.sites.recovery_ramp import DEFAULT_STAGES, MIN_STAGE_S, RampCause, RampInputs, RecoveryRamp
from ochrehoist.sites.step_lease import StepPermission


class Ramps(unittest.TestCase):
    FULL = PeerBaseline(3, 1.0, 20.0)

    def setUp(self):
        self.ramp, self.now = RecoveryRamp(0.0, RampCause.STARTED), 0.0

    def evaluate(
        self, seconds, threshold=1.0, then=1.0, baseline=FULL, granted=True, wait=0.0, good=0, bad=0
    ):
        """`good`, `bad`: completions in each tenth of a second."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now += 0.1
            for _ in range(good):
                self.ramp.record_completion(True)
            for _ in range(bad):
                self.ramp.record_completion(False)
            permission = StepPermission(granted, wait)
            self.ramp.evaluate(self.now, RampInputs(threshold, lambda rate: then, baseline, permission))
        return self.ramp.load_fraction

    def test_time_alone_takes_no_step(self):
        self.assertEqual(self.evaluate(200), DEFAULT_STAGES[0])
        self.assertIn("completions", self.ramp.waits_for)

    def test_completions_in_time_take_it_to_all_of_its_load_step_by_step(self):
        parts = [self.evaluate(MIN_STAGE_S, good=3) for _ in range(30)]
        self.assertEqual(sorted(set(parts)), sorted(set(DEFAULT_STAGES) & set(parts)))
        self.assertTrue(self.ramp.is_complete)
        self.assertTrue(all(b - a <= 0.2 + 1e-9 for a, b in zip(parts, parts[1:], strict=False)))

    def test_a_cold_machine_waits_until_it_is_warm_enough_for_the_next_step(self):
        self.assertEqual(self.evaluate(5, then=0.6, good=3), DEFAULT_STAGES[0])
        self.assertIn("warmth", self.ramp.waits_for)
        self.assertGreater(self.evaluate(1, then=0.95, good=3), DEFAULT_STAGES[0])
        # Where all are in overload it need do no better than the others.
        self.setUp()
        self.assertGreater(
            self.evaluate(2, then=0.6, baseline=PeerBaseline(3, 0.6, 20.0), good=3), DEFAULT_STAGES[0]
        )

    def test_a_step_that_goes_wrong_is_taken_back_and_the_next_comes_later(self):
        self.evaluate(1.2, good=3)
        up = self.ramp.stage
        self.assertGreater(up, 0)
        self.evaluate(2.0, threshold=0.4, then=0.0, good=1)
        self.assertLess(self.ramp.stage, up)
        self.assertGreater(self.ramp.rollbacks, 0)
        self.assertIn("taken back", self.ramp.history[-1].reason)
        self.setUp()
        self.evaluate(1.2, good=3)
        up = self.ramp.stage
        self.evaluate(2.0, then=0.0, good=1, bad=3)
        self.assertLess(self.ramp.stage, up)

    def test_without_the_step_lease_or_while_asked_to_wait_or_held_it_stays(self):
        self.assertEqual(self.evaluate(5, granted=False, good=3), DEFAULT_STAGES[0])
        self.assertEqual(self.evaluate(5, wait=1.0, good=3), DEFAULT_STAGES[0])
        self.ramp.set_held(True)
        self.assertEqual(self.evaluate(5, good=3), DEFAULT_STAGES[0])
        self.ramp.set_held(False)
        self.assertGreater(self.evaluate(1, good=3), DEFAULT_STAGES[0])

    def test_where_nobody_is_at_full_service_all_take_what_they_can(self):
        nobody = PeerBaseline(0, 1.0, 0.0)
        self.assertEqual(
            self.evaluate(1.0, baseline=nobody), DEFAULT_STAGES[0]
        )  # first it hears who is there
        self.assertEqual(self.evaluate(1.0, baseline=nobody), 1.0)
        self.assertTrue(self.ramp.is_unpaced)
        self.evaluate(3, baseline=nobody, good=3)
        self.assertTrue(self.ramp.is_complete)

    def test_one_that_is_not_back_when_the_others_are_goes_on_by_steps(self):
        self.evaluate(2.0, baseline=PeerBaseline(0, 1.0, 0.0))
        self.assertEqual(self.evaluate(0.5, threshold=0.3), DEFAULT_STAGES[0])

    def test_a_return_has_an_end_and_operators_may_skip_or_end_it(self):
        self.ramp.skip_stage(0.0, "w0")
        self.assertEqual(self.ramp.load_fraction, DEFAULT_STAGES[1])
        self.assertEqual(self.evaluate(self.ramp.plan.max_duration_s + 1), 1.0)
        self.setUp()
        self.ramp.end(0.0, "w0")
        self.assertEqual((self.ramp.load_fraction, self.ramp.is_complete), (1.0, True))

    def test_an_evacuation_gives_the_others_time_but_not_for_ever(self):
        def out(threshold):
            ramp, now = EvacuationRamp(0.0, "evacuated"), 0.0
            while not ramp.is_empty:
                now += 0.1
                ramp.evaluate(now, PeerBaseline(3, threshold, 10.0))
            return now

        self.assertLess(out(1.0), 2.0)
        self.assertTrue(5.0 < out(0.5) < 12.0)
