"""A member's own counters and its replicas of those of others."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.peers.counters import MAX_INCARNATIONS, ReplicatedCounters
from ochrehoist.peers.wire import (
    CounterSnapshot,
    Incarnation,
)
from tests.peers.peer_messages import A, B


class CountersTest(unittest.TestCase):
    """Snapshots that arrive twice, late or never."""

    def test_repeated_and_late_snapshots_are_counted_once(self):
        counters = ReplicatedCounters(A, 100.0)
        counters.add("served", 5)
        for version, n in ((2, 7), (1, 4), (2, 7)):
            counters.merge_snapshot(CounterSnapshot(B, version, 0, False, {"served": n}), 0.0, 10.0)
        self.assertEqual(counters.read("served", 10.0).total, 12)

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 30), st.integers(0, 5)), max_size=60))
    def test_true_count_is_within_bounds_despite_loss_and_delay(self, steps):
        """Three members count within the maximum rate; their snapshots are lost, delayed and reordered."""
        true_counts, sent, now = [0, 0, 0], [], 0.0
        counters = ReplicatedCounters(A, 10.0)
        incarnations = [Incarnation(f"m{n}", 1, 1) for n in range(3)]
        for incarnation in incarnations:
            counters.merge_snapshot(CounterSnapshot(incarnation, 0, 0, False, {}), 0.0, now)
        for member, pick, n in steps:
            now += 0.5
            true_counts[member] += n
            sent.append((now, member, true_counts[member]))
            if pick < len(sent):
                at, sender, total = sent[pick]
                counters.merge_snapshot(
                    CounterSnapshot(incarnations[sender], int(at * 2) + 1, 0, False, {"k": total}),
                    now - at,
                    now,
                )
            reading = counters.read("k", now)
            self.assertLessEqual(reading.total, sum(true_counts))
            self.assertLessEqual(sum(true_counts), reading.total + reading.missing)

    def test_folded_incarnations_are_not_counted_again(self):
        counters = ReplicatedCounters(A, 10.0)
        for inc in range(MAX_INCARNATIONS + 5):
            counters.merge_snapshot(CounterSnapshot(Incarnation("b", inc, 1), 1, 0, True, {"k": 1}), 0.0, 1.0)
        for inc in range(MAX_INCARNATIONS + 5):
            counters.merge_snapshot(CounterSnapshot(Incarnation("b", inc, 1), 1, 0, True, {"k": 1}), 0.0, 2.0)
        self.assertEqual(counters.read("k", 2.0).total, MAX_INCARNATIONS + 5)
