"""When a worker counts as cut off, and when it reads its configuration again by itself."""

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

STEP = 0.25


def evaluate_for(monitor, seconds, start=0.0, up=False, address="a"):
    """The status by time, every STEP."""
    return [
        (start + n * STEP, monitor.evaluate(start + n * STEP, up, address))
        for n in range(int(seconds / STEP))
    ]


class KernelLinkMonitorTest(unittest.TestCase):
    """Breaks of the link, short and long."""

    def test_a_short_break_means_nothing(self):
        monitor = KernelLinkMonitor()
        monitor.evaluate(0.0, True, "a")
        self.assertTrue(
            all(v == KernelLinkStatus(True) for _, v in evaluate_for(monitor, DISCONNECT_GRACE_S))
        )
        self.assertEqual(monitor.evaluate(DISCONNECT_GRACE_S, True, "a"), KernelLinkStatus(True))
        self.assertEqual(
            monitor.evaluate(DISCONNECT_GRACE_S + 1, False, "a"), KernelLinkStatus(True)
        )  # counted anew

    def test_a_long_one_is_bad_health_and_looks_ever_more_seldom(self):
        seen = evaluate_for(KernelLinkMonitor(), 60)
        self.assertEqual([v.healthy for _, v in seen], [at < DISCONNECT_GRACE_S for at, _ in seen])
        times = [at for at, v in seen if v.reload_due]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        self.assertEqual(
            (times[0], gaps),
            (
                DISCONNECT_GRACE_S,
                [
                    FIRST_RELOAD_INTERVAL_S,
                    2 * FIRST_RELOAD_INTERVAL_S,
                    4 * FIRST_RELOAD_INTERVAL_S,
                    8 * FIRST_RELOAD_INTERVAL_S,
                ]
                + [MAX_RELOAD_INTERVAL_S] * (len(gaps) - 4),
            ),
        )

    def test_a_new_address_is_given_time_but_no_health_before_its_link_is_up(self):
        monitor = KernelLinkMonitor()
        evaluate_for(monitor, 20)
        seen = evaluate_for(monitor, FIRST_RELOAD_INTERVAL_S, start=20, address="b")
        self.assertEqual({v for _, v in seen}, {KernelLinkStatus(False)})
        self.assertTrue(monitor.evaluate(20.0 + FIRST_RELOAD_INTERVAL_S, False, "b").reload_due)
        self.assertEqual(monitor.evaluate(21.1, True, "b"), KernelLinkStatus(True))

    @given(st.lists(st.tuples(st.floats(0.01, 3), st.booleans(), st.sampled_from("abc")), max_size=60))
    def test_whatever_happens_an_up_link_is_good_and_looks_are_rare(self, steps):
        monitor, now, down, last = KernelLinkMonitor(), 0.0, None, None
        for gap, up, address in steps:
            now += gap
            status = monitor.evaluate(now, up, address)
            down = None if up else now if down is None else down
            self.assertEqual(status.healthy, up or now - down < DISCONNECT_GRACE_S)
            if status.reload_due:
                self.assertFalse(status.healthy)
                self.assertTrue(last is None or last < down or now - last >= FIRST_RELOAD_INTERVAL_S - 1e-9)
                last = now


if __name__ == "__main__":
    unittest.main()
