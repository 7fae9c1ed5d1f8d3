"""When a worker counts as cut off, and when it looks into its configuration by itself."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.core.linkwatch import FIRST, LONGEST, PATIENCE, LinkWatch, Verdict

STEP = 0.25


def looks(watch, seconds, start=0.0, up=False, address="a"):
    """Verdicts by time, looked at every STEP."""
    return [(start + n * STEP, watch.look(start + n * STEP, up, address)) for n in range(int(seconds / STEP))]


class Watch(unittest.TestCase):
    def test_a_short_break_means_nothing(self):
        watch = LinkWatch()
        watch.look(0.0, True, "a")
        self.assertTrue(all(v == Verdict(True) for _, v in looks(watch, PATIENCE)))
        self.assertEqual(watch.look(PATIENCE, True, "a"), Verdict(True))
        self.assertEqual(watch.look(PATIENCE + 1, False, "a"), Verdict(True))  # counted anew

    def test_a_long_one_is_bad_health_and_looks_ever_more_seldom(self):
        seen = looks(LinkWatch(), 60)
        self.assertEqual([v.good for _, v in seen], [at < PATIENCE for at, _ in seen])
        times = [at for at, v in seen if v.read_again]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertEqual(
            (times[0], gaps),
            (PATIENCE, [FIRST, 2 * FIRST, 4 * FIRST, 8 * FIRST] + [LONGEST] * (len(gaps) - 4)),
        )

    def test_a_new_address_is_given_time_but_no_health_before_its_link_is_up(self):
        watch = LinkWatch()
        looks(watch, 20)
        seen = looks(watch, FIRST, start=20, address="b")
        self.assertEqual({v for _, v in seen}, {Verdict(False)})
        self.assertTrue(watch.look(20.0 + FIRST, False, "b").read_again)
        self.assertEqual(watch.look(21.1, True, "b"), Verdict(True))

    @given(st.lists(st.tuples(st.floats(0.01, 3), st.booleans(), st.sampled_from("abc")), max_size=60))
    def test_whatever_happens_an_up_link_is_good_and_looks_are_rare(self, steps):
        watch, now, down, last = LinkWatch(), 0.0, None, None
        for gap, up, address in steps:
            now += gap
            verdict = watch.look(now, up, address)
            down = None if up else now if down is None else down
            self.assertEqual(verdict.good, up or now - down < PATIENCE)
            if verdict.read_again:
                self.assertFalse(verdict.good)
                self.assertTrue(last is None or last < down or now - last >= FIRST - 1e-9)
                last = now


if __name__ == "__main__":
    unittest.main()
