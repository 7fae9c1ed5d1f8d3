"""Counters that each member keeps of its own, and replicas of those of others."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.peers.counters import MAX_INCARNATIONS, ReplicatedCounters
from ochrehoist.peers.wire import (
    CounterSnapshot,
    Incarnation,
)
from tests.peers.peer_messages import A, B


class Counts(unittest.TestCase):
    def test_what_comes_twice_or_late_is_counted_once(self):
        counters = ReplicatedCounters(A, 100.0)
        counters.add("served", 5)
        for version, n in ((2, 7), (1, 4), (2, 7)):
            counters.merge_snapshot(CounterSnapshot(B, version, 0, False, {"served": n}), 0.0, 10.0)
        self.assertEqual(counters.read("served", 10.0).total, 12)

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 30), st.integers(0, 5)), max_size=60))
    def test_the_truth_is_within_the_bound_whatever_is_lost_or_late(self, steps):
        """Three count at most as much as they may; some of what they tell comes, late and out of order."""
        true, told, now = [0, 0, 0], [], 0.0
        counters = ReplicatedCounters(A, 10.0)
        lives = [Incarnation(f"m{n}", 1, 1) for n in range(3)]
        for life in lives:
            counters.merge_snapshot(CounterSnapshot(life, 0, 0, False, {}), 0.0, now)
        for who, pick, n in steps:
            now += 0.5
            true[who] += n
            told.append((now, who, true[who]))
            if pick < len(told):
                at, w, total = told[pick]
                counters.merge_snapshot(
                    CounterSnapshot(lives[w], int(at * 2) + 1, 0, False, {"k": total}), now - at, now
                )
            r = counters.read("k", now)
            self.assertLessEqual(r.total, sum(true))
            self.assertLessEqual(sum(true), r.total + r.missing)

    def test_incarnations_that_ended_are_added_up_and_never_counted_anew(self):
        counters = ReplicatedCounters(A, 10.0)
        for inc in range(MAX_INCARNATIONS + 5):
            counters.merge_snapshot(CounterSnapshot(Incarnation("b", inc, 1), 1, 0, True, {"k": 1}), 0.0, 1.0)
        for inc in range(MAX_INCARNATIONS + 5):
            counters.merge_snapshot(CounterSnapshot(Incarnation("b", inc, 1), 1, 0, True, {"k": 1}), 0.0, 2.0)
        self.assertEqual(counters.read("k", 2.0).total, MAX_INCARNATIONS + 5)
