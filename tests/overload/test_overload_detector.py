"""Tests of overload detection and of the affordable rate."""

import unittest

from ochrehoist.overload.overload_detector import SAMPLE_INTERVAL_S, LoadSample, OverloadDetector
from ochrehoist.overload.stage_timings import StageTimings


def sample(
    at_s,
    admitted=0,
    rejected=0,
    cost_s=300e-6,
    rejected_cost_s=60e-6,
    delay_s=0.001,
    rss=20_000_000,
    share=1.0,
):
    """Returns the sample of a worker with this load, which gets `share` of a CPU."""
    cpu_s = admitted * cost_s + rejected * rejected_cost_s
    return LoadSample(at_s, cpu_s, cpu_s / share, delay_s, admitted, rejected, rss)


class OverloadDetectorTest(unittest.TestCase):
    """Affordable and excessive loads on a simulated worker."""

    def simulate(self, offered, seconds, detector=None, share=1.0, start=0.0, cost=300e-6):
        """Simulates a worker; returns its detector and the changes of the overload state.

        It is offered `offered` requests per second, admits the affordable rate while overloaded, and its loop
        delay grows with the work that it could not complete.
        """
        detector = detector or OverloadDetector(100_000_000)
        changes, backlog, at_s = [], 0.0, start
        for _ in range(int(seconds / SAMPLE_INTERVAL_S)):
            at_s += SAMPLE_INTERVAL_S
            arrivals = offered(at_s) * SAMPLE_INTERVAL_S if callable(offered) else offered * SAMPLE_INTERVAL_S
            admitted = (
                min(arrivals, detector.affordable_per_s * SAMPLE_INTERVAL_S)
                if detector.overloaded
                else arrivals
            )
            required_s = admitted * cost + (arrivals - admitted) * 60e-6
            backlog = max(0.0, backlog + required_s - SAMPLE_INTERVAL_S * share)
            cpu_s = min(required_s, SAMPLE_INTERVAL_S * share)
            was_overloaded = detector.overloaded
            detector.observe(
                LoadSample(
                    at_s,
                    cpu_s,
                    cpu_s / share,
                    0.001 + backlog / share,
                    round(admitted),
                    round(arrivals - admitted),
                    20_000_000,
                )
            )
            if detector.overloaded != was_overloaded:
                changes.append((round(at_s, 1), detector.overloaded))
        return detector, changes

    def test_an_affordable_load_is_never_overload(self):
        for offered in (10, 500, 2000, 2700):
            detector, changes = self.simulate(offered, 20)
            self.assertEqual((detector.overloaded, changes), (False, []), offered)

    def test_twice_the_capacity_is_detected_quickly_and_the_loop_delay_stays_bounded(self):
        detector, changes = self.simulate(7000, 20)
        self.assertTrue(detector.overloaded)
        self.assertLess(changes[0][0], 1.0)
        self.assertLess(detector.loop_delay_s, 0.05)
        self.assertGreater(detector.affordable_per_s, 0.5 * (0.85 - 7000 * 60e-6) / 240e-6)

    def test_the_state_is_stable_under_steady_load_and_recovers_once_the_load_ends(self):
        _detector, changes = self.simulate(lambda t: 7000 if t < 10 else 500, 30)
        self.assertEqual([overloaded for _, overloaded in changes], [True, False])
        self.assertLess(changes[1][0], 14.0)

    def test_the_state_does_not_flap_with_repeated_bursts(self):
        _, changes = self.simulate(lambda t: 9000 if t % 1 < 0.5 else 100, 30)
        self.assertLessEqual(len(changes), 3, changes)

    def test_a_worker_with_a_third_of_a_cpu_admits_about_a_third(self):
        whole, _ = self.simulate(7000, 20)
        starved, _ = self.simulate(3000, 20, share=1 / 3)
        self.assertAlmostEqual(starved.cpu_share, 1 / 3, delta=0.02)
        self.assertTrue(starved.overloaded)
        self.assertLess(starved.affordable_per_s, 0.6 * whole.affordable_per_s + 300)
        self.assertGreater(starved.affordable_per_s, 100)

    def test_a_flood_that_is_too_costly_to_reject_still_leaves_a_minimum_rate(self):
        detector = OverloadDetector(100_000_000)
        for n in range(60):
            detector.observe(
                LoadSample(n * SAMPLE_INTERVAL_S, 0.099, 0.099, 0.03, 3, 4000, 20_000_000, runs_started=3)
            )
        self.assertTrue(detector.overloaded)
        self.assertAlmostEqual(detector.affordable_per_s, 2 * 30 + 20, delta=1)
        detector.observe(LoadSample(7.0, 0.099, 0.099, 0.03, 3, 4000, 99_000_000, runs_started=3))
        self.assertEqual(detector.affordable_per_s, 0.0)

    def test_a_single_pause_is_not_overload(self):
        detector, _ = self.simulate(500, 5)
        detector.observe(sample(6.0, admitted=500, delay_s=1.0))
        self.assertFalse(detector.overloaded)
        detector, _changes = self.simulate(500, 5, detector, start=6.0)
        self.assertFalse(detector.overloaded)

    def test_admission_falls_to_zero_before_the_memory_limit(self):
        detector = OverloadDetector(100_000_000)
        rates = []
        for mb in (50, 79, 85, 90, 95, 99):
            detector.observe(sample(1.0, 10, rss=mb * 1_000_000))
            rates.append(detector.affordable_per_s)
        self.assertEqual(rates, sorted(rates, reverse=True))
        self.assertGreater(rates[1], 0)
        self.assertEqual(rates[-2:], [0.0, 0.0])

    def test_stage_timings_exclude_nested_stages(self):
        timings = StageTimings()
        inner = timings.timed("inner", lambda: sum(range(20_000)))
        outer = timings.timed("outer", lambda: inner() and None)
        for _ in range(20):
            outer()
        self.assertGreater(timings.spent_s["inner"], timings.spent_s["outer"])
