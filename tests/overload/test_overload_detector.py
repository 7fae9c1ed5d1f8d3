"""When a worker is overloaded, and what it then admits."""

import unittest

from ochrehoist.overload.overload_detector import SAMPLE_INTERVAL_S, LoadSample, OverloadDetector
from ochrehoist.overload.stage_timings import StageTimings


def sample(at, admitted=0, shed=0, cost=300e-6, shed_cost=60e-6, late=0.001, rss=20_000_000, share=1.0):
    """What a worker measures that has so much to do, and a share of a processor."""
    cpu = admitted * cost + shed * shed_cost
    return LoadSample(at, cpu, cpu / share, late, admitted, shed, rss)


class OverloadDetection(unittest.TestCase):
    def loaded(self, offered, seconds, detector=None, share=1.0, start=0.0, cost=300e-6):
        """A worker that is offered so much a second, admits what it may, and is late by what it can't do."""
        detector = detector or OverloadDetector(100_000_000)
        turns, backlog, at = [], 0.0, start
        for _ in range(int(seconds / SAMPLE_INTERVAL_S)):
            at += SAMPLE_INTERVAL_S
            arrivals = offered(at) * SAMPLE_INTERVAL_S if callable(offered) else offered * SAMPLE_INTERVAL_S
            admitted = (
                min(arrivals, detector.affordable_per_s * SAMPLE_INTERVAL_S)
                if detector.overloaded
                else arrivals
            )
            need = admitted * cost + (arrivals - admitted) * 60e-6
            backlog = max(0.0, backlog + need - SAMPLE_INTERVAL_S * share)
            done = min(need, SAMPLE_INTERVAL_S * share)
            was = detector.overloaded
            detector.observe(
                LoadSample(
                    at,
                    done,
                    done / share,
                    0.001 + backlog / share,
                    round(admitted),
                    round(arrivals - admitted),
                    20_000_000,
                )
            )
            if detector.overloaded != was:
                turns.append((round(at, 1), detector.overloaded))
        return detector, turns

    def test_a_load_it_can_carry_is_never_overload(self):
        for offered in (10, 500, 2000, 2700):
            detector, turns = self.loaded(offered, 20)
            self.assertEqual((detector.overloaded, turns), (False, []), offered)

    def test_twice_its_capacity_is_found_out_at_once_and_lateness_stays_bounded(self):
        detector, turns = self.loaded(7000, 20)
        self.assertTrue(detector.overloaded)
        self.assertLess(turns[0][0], 1.0)
        self.assertLess(detector.loop_delay_s, 0.05)
        self.assertGreater(detector.affordable_per_s, 0.5 * (0.85 - 7000 * 60e-6) / 240e-6)

    def test_it_does_not_swing_while_the_load_stays_and_recovers_once_when_it_ends(self):
        detector, turns = self.loaded(lambda t: 7000 if t < 10 else 500, 30)
        self.assertEqual([overloaded for _, overloaded in turns], [True, False])
        self.assertLess(turns[1][0], 14.0)

    def test_bursts_that_come_and_go_do_not_turn_it_each_time(self):
        _, turns = self.loaded(lambda t: 9000 if t % 1 < 0.5 else 100, 30)
        self.assertLessEqual(len(turns), 3, turns)

    def test_a_worker_that_gets_a_third_of_its_core_lets_in_about_a_third(self):
        whole, _ = self.loaded(7000, 20)
        starved, _ = self.loaded(3000, 20, share=1 / 3)
        self.assertAlmostEqual(starved.cpu_share, 1 / 3, delta=0.02)
        self.assertTrue(starved.overloaded)
        self.assertLess(starved.affordable_per_s, 0.6 * whole.affordable_per_s + 300)
        self.assertGreater(starved.affordable_per_s, 100)

    def test_a_flood_that_costs_more_to_turn_away_than_there_is_leaves_the_cores_their_work(self):
        detector = OverloadDetector(100_000_000)
        for n in range(60):
            detector.observe(
                LoadSample(n * SAMPLE_INTERVAL_S, 0.099, 0.099, 0.03, 3, 4000, 20_000_000, runs_started=3)
            )
        self.assertTrue(detector.overloaded)
        self.assertAlmostEqual(detector.affordable_per_s, 2 * 30 + 20, delta=1)
        detector.observe(LoadSample(7.0, 0.099, 0.099, 0.03, 3, 4000, 99_000_000, runs_started=3))
        self.assertEqual(detector.affordable_per_s, 0.0)

    def test_one_pause_of_the_machine_or_collection_is_no_reason(self):
        detector, _ = self.loaded(500, 5)
        detector.observe(sample(6.0, admitted=500, late=1.0))
        self.assertFalse(detector.overloaded)
        detector, turns = self.loaded(500, 5, detector, start=6.0)
        self.assertFalse(detector.overloaded)

    def test_memory_closes_admission_before_the_limit(self):
        detector = OverloadDetector(100_000_000)
        rates = []
        for mb in (50, 79, 85, 90, 95, 99):
            detector.observe(sample(1.0, 10, rss=mb * 1_000_000))
            rates.append(detector.affordable_per_s)
        self.assertEqual(rates, sorted(rates, reverse=True))
        self.assertGreater(rates[1], 0)
        self.assertEqual(rates[-2:], [0.0, 0.0])

    def test_stages_count_their_own_time_only(self):
        timings = StageTimings()
        inner = timings.timed("inner", lambda: sum(range(20_000)))
        outer = timings.timed("outer", lambda: inner() and None)
        for _ in range(20):
            outer()
        self.assertGreater(timings.spent_s["inner"], timings.spent_s["outer"])
