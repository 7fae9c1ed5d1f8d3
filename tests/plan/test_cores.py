"""Cores that several runs share."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.plan.cores import Cores, Machine
from tests.plan.example_fleet import WORK


class SharedCores(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(WORK, st.integers(1, 8), st.floats(0.2, 2), st.floats(0, 5))
    def test_all_work_is_done_once_and_none_sooner_than_alone(self, work, cores, speed, cold_s):
        machine = Machine(cores, speed, cold_from=0.3, cold_s=cold_s)
        c, now, begun, ends = Cores(machine, 0.0, cold=True), 0.0, {}, {}
        for n, (gap, amount) in enumerate(work):
            now += gap
            for what in c.advance(now):
                ends.setdefault(what, c.now)
            c.start(n, amount)
            begun[n] = now, amount
        while (at := c.next_end()) is not None:
            for what in c.advance(at):
                self.assertNotIn(what, ends)
                ends[what] = c.now
        self.assertEqual(set(ends), set(begun))
        self.assertAlmostEqual(c.work_s, sum(a for _, a in begun.values()), delta=1e-6 * len(work))
        at, amount = begun[max(begun)]
        self.assertGreaterEqual(ends[max(begun)] - at, amount / speed - 1e-6)

    def test_past_the_crowd_all_together_get_less_done(self):
        m = Machine(4, 1.0, slow_from=1.5, slow_to=0.6, crowd=8.0)
        self.assertEqual([m.efficiency(n) for n in (1, 4, 6)], [1.0] * 3)
        self.assertAlmostEqual(m.efficiency(32), 0.6)
        self.assertAlmostEqual(m.efficiency(99), 0.6)
