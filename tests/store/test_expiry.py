"""Expiry of windows and learned state, by time since boot and across reboots."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.store.expiry import expire_learned_state
from ochrehoist.store.timestamps import Timestamp, elapsed_ns, remaining_window_ns
from ochrehoist.units import NS_PER_S
from tests.store.store_values import DAY_NS, HOUR_NS


class ExpiryTest(unittest.TestCase):
    """Expiry with clock changes and reboots."""

    def test_within_one_boot_setting_the_clock_has_no_effect(self):
        then = Timestamp(100 * DAY_NS, "boot", HOUR_NS)
        for unix in (100 * DAY_NS - HOUR_NS, 101 * DAY_NS):
            now = Timestamp(unix, "boot", HOUR_NS + 5 * NS_PER_S)
            self.assertEqual(remaining_window_ns(then, 20 * NS_PER_S, 20 * NS_PER_S, now), 15 * NS_PER_S)

    def test_after_a_reboot_unix_time_is_used_and_a_clock_set_back_restores_the_whole_window(self):
        then = Timestamp(100 * DAY_NS, "before", HOUR_NS)
        for elapsed, remaining in (
            (5 * NS_PER_S, 10 * NS_PER_S),
            (15 * NS_PER_S, 0),
            (7 * DAY_NS, 0),
            (-HOUR_NS, 20 * NS_PER_S),
        ):
            now = Timestamp(then.unix_ns + elapsed, "after", 3 * NS_PER_S)
            self.assertEqual(remaining_window_ns(then, 15 * NS_PER_S, 20 * NS_PER_S, now), remaining)

    def test_a_window_ends_exactly_after_its_remaining_time(self):
        then = Timestamp(DAY_NS, "b", 0)
        self.assertEqual(
            remaining_window_ns(then, 13_584_000_000, 13_584_000_000, Timestamp(DAY_NS, "b", 13_583_999_999)),
            1,
        )
        self.assertEqual(
            remaining_window_ns(then, 13_584_000_000, 13_584_000_000, Timestamp(DAY_NS, "b", 13_584_000_000)),
            0,
        )

    @given(st.integers(0, DAY_NS), st.integers(0, DAY_NS), st.integers(-DAY_NS, DAY_NS), st.booleans())
    def test_the_remaining_time_is_between_zero_and_the_window(self, before, window, elapsed, same_boot):
        before = min(before, window)
        now = Timestamp(10 * DAY_NS + elapsed, "a" if same_boot else "b", 2 * DAY_NS + elapsed)
        after = remaining_window_ns(Timestamp(10 * DAY_NS, "a", 2 * DAY_NS), before, window, now)
        self.assertTrue(0 <= after <= window)
        self.assertEqual(after == window or after <= before, True)

    def test_learned_state_decays_and_caller_timeouts_expire(self):
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
        then = Timestamp(DAY_NS, "b", DAY_NS)
        after_2_s = expire_learned_state(
            learned, then, Timestamp(DAY_NS, "b", DAY_NS + 2 * NS_PER_S), HOUR_NS, False
        )
        self.assertEqual(after_2_s["heard"], [[1, 2 * NS_PER_S]])
        self.assertEqual(after_2_s["patience"], [[1, 5, 4 * NS_PER_S]])
        later = expire_learned_state(learned, then, Timestamp(DAY_NS, "b", DAY_NS + HOUR_NS), HOUR_NS, False)
        self.assertEqual(later["took"], {"read": [5.0, 3.0]})  # limited to MAX_RESTORED_RESULTS
        self.assertEqual(later["curve"], [2, 8, 1.0, [2.0], [3.0]])
        self.assertEqual((later["ran"], later["sent"]), ({"acme": 1.0}, 0))
        self.assertEqual((later["heard"], later["patience"], later["left"]), ([], [], []))
        self.assertEqual(
            expire_learned_state(learned, then, Timestamp(DAY_NS, "b", DAY_NS), HOUR_NS, True)["curve"][0], 0
        )
        self.assertIsNone(elapsed_ns(then, Timestamp(DAY_NS - 1, "c", 0)))
