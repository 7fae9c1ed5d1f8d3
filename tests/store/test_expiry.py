"""When records expire: by time since boot, and over restarts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.store.expiry import expire_learned_state
from ochrehoist.store.timestamps import Timestamp, elapsed_ns, remaining_window_ns
from ochrehoist.units import NS_PER_S
from tests.store.store_values import DAY, HOUR


class Expiry(unittest.TestCase):
    def test_within_one_boot_setting_the_clock_changes_nothing(self):
        then = Timestamp(100 * DAY, "boot", HOUR)
        for unix in (100 * DAY - HOUR, 101 * DAY):
            now = Timestamp(unix, "boot", HOUR + 5 * NS_PER_S)
            self.assertEqual(remaining_window_ns(then, 20 * NS_PER_S, 20 * NS_PER_S, now), 15 * NS_PER_S)

    def test_over_a_boot_the_unix_clock_counts_and_a_step_back_gives_the_whole_window(self):
        then = Timestamp(100 * DAY, "before", HOUR)
        for passed, left in (
            (5 * NS_PER_S, 10 * NS_PER_S),
            (15 * NS_PER_S, 0),
            (7 * DAY, 0),
            (-HOUR, 20 * NS_PER_S),
        ):
            now = Timestamp(then.unix_ns + passed, "after", 3 * NS_PER_S)
            self.assertEqual(remaining_window_ns(then, 15 * NS_PER_S, 20 * NS_PER_S, now), left)

    def test_the_last_moment_of_a_window_still_counts(self):
        then = Timestamp(DAY, "b", 0)
        self.assertEqual(
            remaining_window_ns(then, 13_584_000_000, 13_584_000_000, Timestamp(DAY, "b", 13_583_999_999)), 1
        )
        self.assertEqual(
            remaining_window_ns(then, 13_584_000_000, 13_584_000_000, Timestamp(DAY, "b", 13_584_000_000)), 0
        )

    @given(st.integers(0, DAY), st.integers(0, DAY), st.integers(-DAY, DAY), st.booleans())
    def test_never_more_than_the_window_nor_less_than_nothing(self, left, window, passed, same):
        left = min(left, window)
        now = Timestamp(10 * DAY + passed, "a" if same else "b", 2 * DAY + passed)
        got = remaining_window_ns(Timestamp(10 * DAY, "a", 2 * DAY), left, window, now)
        self.assertTrue(0 <= got <= window)
        self.assertEqual(got == window or got <= left, True)

    def test_what_was_learned_fades_and_what_was_known_of_callers_expires(self):
        learned = {
            "took": {"read": [5.0, 8.0]},
            "means": {"unread": [1.0, 4.0]},
            "ran": {"acme": 2.0},
            "asked": [["read", 8.0]],
            "served": [["read", 0.1]],
            "curve": [2, 8, 1.0, [4.0], [6.0]],
            "floor": 3,
            "sent": 9.0,
            "heard": [[1, 0], [2, 9 * NS_PER_S]],
            "left": [[1, [3]], [2, [4]]],
            "patience": [[1, 5, 6 * NS_PER_S], [2, 5, NS_PER_S]],
        }
        then = Timestamp(DAY, "b", DAY)
        soon = expire_learned_state(learned, then, Timestamp(DAY, "b", DAY + 2 * NS_PER_S), HOUR, False)
        self.assertEqual(soon["heard"], [[1, 2 * NS_PER_S]])
        self.assertEqual(soon["patience"], [[1, 5, 4 * NS_PER_S]])
        later = expire_learned_state(learned, then, Timestamp(DAY, "b", DAY + HOUR), HOUR, False)
        self.assertEqual(later["took"], {"read": [5.0, 3.0]})  # of what may be cold now: a few results
        self.assertEqual(later["curve"], [2, 8, 1.0, [2.0], [3.0]])
        self.assertEqual((later["ran"], later["sent"]), ({"acme": 1.0}, 0))
        self.assertEqual((later["heard"], later["patience"], later["left"]), ([], [], []))
        self.assertEqual(
            expire_learned_state(learned, then, Timestamp(DAY, "b", DAY), HOUR, True)["curve"][0], 0
        )
        self.assertIsNone(elapsed_ns(then, Timestamp(DAY - 1, "c", 0)))
