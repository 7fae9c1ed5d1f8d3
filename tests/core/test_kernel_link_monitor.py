"""Tests when a worker without a kernel link becomes unhealthy, and when it reloads its configuration."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.core.kernel_link_monitor import (
    DISCONNECT_GRACE_S,
    FIRST_RELOAD_INTERVAL_S,
    MAX_RELOAD_INTERVAL_S,
    KernelLinkMonitor,
    KernelLinkStatus,
)

EVALUATION_PERIOD_S = 0.25


def evaluate_for(monitor, seconds, start=0.0, up=False, address="a"):
    """Returns pairs of time and status, one per evaluation period."""
    return [
        (start + n * EVALUATION_PERIOD_S, monitor.evaluate(start + n * EVALUATION_PERIOD_S, up, address))
        for n in range(int(seconds / EVALUATION_PERIOD_S))
    ]


class KernelLinkMonitorTest(unittest.TestCase):
    """Short and long interruptions of the link."""

    def test_a_short_interruption_is_ignored(self):
        monitor = KernelLinkMonitor()
        monitor.evaluate(0.0, True, "a")
        self.assertTrue(
            all(status == KernelLinkStatus(True) for _, status in evaluate_for(monitor, DISCONNECT_GRACE_S))
        )
        self.assertEqual(monitor.evaluate(DISCONNECT_GRACE_S, True, "a"), KernelLinkStatus(True))
        # The next interruption has a grace period of its own.
        self.assertEqual(monitor.evaluate(DISCONNECT_GRACE_S + 1, False, "a"), KernelLinkStatus(True))

    def test_a_long_interruption_is_unhealthy_and_reloads_back_off(self):
        statuses = evaluate_for(KernelLinkMonitor(), 60)
        self.assertEqual(
            [status.healthy for _, status in statuses],
            [time_s < DISCONNECT_GRACE_S for time_s, _ in statuses],
        )
        reload_times = [time_s for time_s, status in statuses if status.reload_due]
        intervals = [b - a for a, b in itertools.pairwise(reload_times)]
        self.assertEqual(
            (reload_times[0], intervals),
            (
                DISCONNECT_GRACE_S,
                [
                    FIRST_RELOAD_INTERVAL_S,
                    2 * FIRST_RELOAD_INTERVAL_S,
                    4 * FIRST_RELOAD_INTERVAL_S,
                    8 * FIRST_RELOAD_INTERVAL_S,
                ]
                + [MAX_RELOAD_INTERVAL_S] * (len(intervals) - 4),
            ),
        )

    def test_a_new_address_delays_the_reload_but_is_unhealthy_until_its_link_is_up(self):
        monitor = KernelLinkMonitor()
        evaluate_for(monitor, 20)
        statuses = evaluate_for(monitor, FIRST_RELOAD_INTERVAL_S, start=20, address="b")
        self.assertEqual({status for _, status in statuses}, {KernelLinkStatus(False)})
        self.assertTrue(monitor.evaluate(20.0 + FIRST_RELOAD_INTERVAL_S, False, "b").reload_due)
        self.assertEqual(monitor.evaluate(21.1, True, "b"), KernelLinkStatus(True))

    @given(st.lists(st.tuples(st.floats(0.01, 3), st.booleans(), st.sampled_from("abc")), max_size=60))
    def test_over_any_events_a_connected_link_is_healthy_and_reloads_are_rare(self, steps):
        monitor, now_s, down_since_s, reloaded_s = KernelLinkMonitor(), 0.0, None, None
        for interval_s, connected, address in steps:
            now_s += interval_s
            status = monitor.evaluate(now_s, connected, address)
            down_since_s = None if connected else now_s if down_since_s is None else down_since_s
            self.assertEqual(status.healthy, connected or now_s - down_since_s < DISCONNECT_GRACE_S)
            if status.reload_due:
                self.assertFalse(status.healthy)
                self.assertTrue(
                    reloaded_s is None
                    or reloaded_s < down_since_s
                    or now_s - reloaded_s >= FIRST_RELOAD_INTERVAL_S - 1e-9
                )
                reloaded_s = now_s


if __name__ == "__main__":
    unittest.main()
