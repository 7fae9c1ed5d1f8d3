"""Counts told in parts: bounded bytes, and all of them within a stated number of answers."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.peers import own_counters
from ochrehoist.peers.budget import CLOCK_DRIFT
from ochrehoist.peers.counter_encoding import MAX_DELTA_BYTES
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.own_counters import MAX_KEY_BYTES, MAX_KEYS, OVERFLOW_KEY
from ochrehoist.peers.wire import (
    CounterDelta,
    Incarnation,
)
from tests.peers.counter_messages import A, B, C, answer, encode, filled, parts_of


class Parts(unittest.TestCase):
    def test_what_an_answer_tells_is_bounded_however_much_there_is(self):
        for keys, long in ((1, 0), (100, 0), (2000, 0), (2000, 130), (2000, 10_000)):
            with self.subTest(keys=keys, long=long):
                teller, asker = filled(A, keys, 2**50, long=long), ReplicatedCounters(B, 100.0, 0.0)
                for n in range(20):
                    other = filled(Incarnation(f"m{n}", 1, 2**60), keys, 2**50, long=long)
                    for _ in range(60):
                        answer(other, teller, 1.0)
                for _ in range(200):
                    self.assertLessEqual(len(encode(answer(teller, asker, 2.0))), MAX_DELTA_BYTES)
                self.assertEqual(asker.replicas[A].counts, dict(teller.own.counts))

    def test_all_of_it_is_there_after_as_many_answers_as_is_stated(self):
        for keys in (1, 60, 100, 500, 2000):
            with self.subTest(keys=keys):
                teller, asker = filled(A, keys), ReplicatedCounters(B, 100.0, 0.0)
                for n in range(parts_of(teller)):
                    if n < 0.6 * parts_of(teller):  # the statement is not idle
                        self.assertNotEqual(asker.replicas[A].as_of if A in asker.replicas else None, 5.0)
                    answer(teller, asker, 5.0)
                self.assertEqual(
                    (asker.replicas[A].as_of, asker.replicas[A].version), (5.0, teller.own.version)
                )
                self.assertEqual(asker.replicas[A].counts, dict(teller.own.counts))

    def test_only_what_has_changed_is_told_again(self):
        teller, asker = filled(A, 500), ReplicatedCounters(B, 100.0, 0.0)
        while answer(teller, asker, 5.0)[0].up_to_key:
            pass
        self.assertEqual(answer(teller, asker, 6.0)[0].counts, {})
        teller.add("class/00400/served", 3)
        self.assertEqual(answer(teller, asker, 7.0)[0].counts, {"class/00400/served": 4})
        self.assertEqual((asker.replicas[A].as_of, asker.incomplete), (7.0, {}))

    def test_while_parts_are_missing_the_bound_counts_from_the_beginning_of_that_life(self):
        teller, asker = filled(A, 500, born=1.0), ReplicatedCounters(B, 100.0, 0.0)
        part = answer(teller, asker, 6.0)[0]
        self.assertTrue(part.up_to_key)
        r = asker.read("class/00499/served", 6.0)
        self.assertEqual(r.total, 0)
        self.assertGreaterEqual(r.missing, 500)  # five seconds at 100
        self.assertLessEqual(r.missing, 500 * (1 + CLOCK_DRIFT) + 2)  # clocks may differ by that

    def test_one_whose_beginning_is_unknown_is_read_only_once_all_of_it_came(self):
        teller, asker = filled(A, 500, born=None), ReplicatedCounters(B, 100.0, 0.0)
        while answer(teller, asker, 6.0)[0].up_to_key:
            self.assertEqual(asker.read("class/00000/served", 6.0).total, 0)
        self.assertEqual(asker.read("class/00000/served", 6.0).total, 1)

    def test_a_part_that_leaves_out_what_is_not_here_makes_nothing_whole(self):
        asker = ReplicatedCounters(B, 100.0, 0.0)
        asker.merge_delta(CounterDelta(A, 7, "", "", 9, 0, False, 5000, {"k": 3}), 0.0, 5.0)
        self.assertEqual(
            (asker.replicas[A].version, asker.replicas[A].as_of), (0, 5.0 - 5.0 * (1 + CLOCK_DRIFT))
        )
        self.assertEqual(asker.read("k", 5.0).total, 3)

    def test_parts_of_several_versions_make_the_earliest_whole(self):
        asker = ReplicatedCounters(B, 100.0, 0.0)
        asker.merge_delta(CounterDelta(A, 0, "", "k", 9, 0, False, 5000, {"k": 3}), 0.0, 5.0)
        asker.merge_delta(CounterDelta(A, 0, "k", "", 8, 0, False, 5000, {"m": 1}), 0.0, 5.0)
        self.assertEqual((asker.replicas[A].complete_up_to, asker.replicas[A].version), ("", 8))
        asker.merge_delta(CounterDelta(A, 8, "", "k", 10, 0, False, 6000, {"k": 4}), 0.0, 6.0)
        for version, after in ((8, "k"), (12, "j"), (12, "")):  # not newer; not from where it has come to
            asker.merge_delta(CounterDelta(A, 8, after, "z", version, 0, False, 6000, {}), 0.0, 6.0)
        self.assertEqual((asker.replicas[A].complete_up_to, asker.replicas[A].version), ("k", 8))
        asker.merge_delta(CounterDelta(A, 8, "k", "", 12, 0, False, 7000, {"m": 2}), 0.0, 7.0)
        self.assertEqual((asker.replicas[A].version, asker.replicas[A].as_of), (10, 6.0))
        self.assertEqual(asker.replicas[A].counts, {"k": 4, "m": 2})

    def test_one_that_nobody_can_tell_to_its_end_does_not_keep_others_from_being_asked_for(self):
        asker, lives = ReplicatedCounters(B, 100.0, 0.0), [Incarnation(f"m{n}", 1, 1) for n in range(9)]
        for life in lives:
            asker.merge_delta(CounterDelta(life, 0, "", "", 1, 0, False, 5000, {"k": 1}), 0.0, 5.0)
        asker.merge_delta(CounterDelta(lives[0], 1, "", "k", 9, 0, False, 5000, {"k": 3}), 0.0, 5.0)
        asked = {a.name for _ in range(20) for a in asker.cursors_for("b2", 1)}
        self.assertEqual(asked, {"b2", *(life.name for life in lives)})

    def test_an_incarnation_that_ended_is_sent_by_others_in_parts_also_beside_a_large_own_one(self):
        gone, teller, asker = filled(C, 300), filled(A, 2000), ReplicatedCounters(B, 100.0, 0.0)
        while answer(gone, teller, 1.0)[0].up_to_key:
            pass
        teller.mark_ended(C)
        for _ in range(200):
            answer(teller, asker, 2.0)
        self.assertEqual(asker.replicas[C].counts, dict(gone.own.counts))
        self.assertTrue(asker.replicas[C].ended)
        self.assertEqual(asker.incomplete, {})

    def test_keys_over_the_most_are_told_as_one_rest(self):
        counters = filled(A, 5000, 2)
        self.assertEqual((len(counters.own.counts), sum(counters.own.counts.values())), (MAX_KEYS, 10_000))
        self.assertEqual(counters.own.counts[OVERFLOW_KEY], 2 * (5000 - MAX_KEYS + 1))
        counters.add("tenant/one/served")
        self.assertEqual(
            (len(counters.own.counts), counters.own.counts[OVERFLOW_KEY]),
            (MAX_KEYS, 2 * (5000 - MAX_KEYS + 1) + 1),
        )
        other = ReplicatedCounters(B, 100.0, 0.0)
        for key in ("class/" + "x" * MAX_KEY_BYTES, "", "tenant/" + "x" * MAX_KEY_BYTES + "/served"):
            other.add(key)
        self.assertEqual(other.own.counts, {OVERFLOW_KEY: 2, "tenant/others/served": 1})

    def test_tenants_leave_room_for_other_kinds_and_are_counted_together(self):
        counters = ReplicatedCounters(A, 100.0, 0.0)
        for n in range(5000):
            counters.add(f"tenant/{n:05d}/served", 2)
        self.assertLess(
            sum(len(key) + own_counters.COUNT_BYTES for key in counters.own.counts),
            own_counters.MAX_TOTAL_BYTES + 40,
        )
        self.assertEqual(sum(counters.own.counts.values()), 10_000)
        self.assertEqual(
            counters.own.counts["tenant/others/served"], 2 * (5000 - len(counters.own.counts) + 1)
        )
        for n in range(40):
            counters.add(f"class/c{n}/served", 1)
        self.assertEqual(sum(counters.own.counts[f"class/c{n}/served"] for n in range(40)), 40)

    @settings(deadline=None, max_examples=150)
    @given(st.integers(0, 2**32), st.sampled_from((0.0, 0.3, 0.7)))
    def test_the_truth_is_within_the_bound_whatever_is_lost_late_or_repeated(self, seed, loss):
        """Three and a late one count and ask each other; answers are lost, late, out of order, repeated."""
        rng, now, true = Random(seed), 0.0, {}
        keys = [f"kind/{n:03d}/{'x' * rng.randint(0, 60)}" for n in range(rng.choice((3, 40, 120)))]
        all_counters, late = [ReplicatedCounters(Incarnation(f"m{n}", 1, 1), 20.0, 0.0) for n in range(3)], []

        def check(key):
            for counters in all_counters:
                r = counters.read(key, now)
                known = {counters.incarnation, *counters.replicas}
                truth = sum(n for (life, k), n in true.items() if k == key and life in known)
                self.assertLessEqual(r.total, truth)
                self.assertLessEqual(truth, r.total + r.missing + r.lost)

        for step in range(120):
            now += 0.5
            if step == 60:
                all_counters.append(ReplicatedCounters(Incarnation("m3", 1, 1), 20.0, now))
            for counters in all_counters:
                for _ in range(rng.randint(0, 10)):  # within its most
                    key = rng.choice(keys)
                    counters.add(key)
                    true[counters.incarnation, key] = true.get((counters.incarnation, key), 0) + 1
            teller, asker = rng.sample(all_counters, 2)
            asked = asker.cursors_for(teller.incarnation.name, teller.incarnation.number)
            late.append((asker, teller.deltas_for(asked, now), now))
            rng.shuffle(late)
            for entry in late[:]:
                to, parts, at = entry
                if rng.random() >= loss:
                    for p in parts:
                        to.merge_delta(p, now - at, now)
                if rng.random() < 0.8:
                    late.remove(entry)
            check(rng.choice(keys))
        for _ in range(300):  # quiet: all is told
            now += 0.1
            answer(*rng.sample(all_counters, 2), now)
        for key in keys:
            check(key)
            total = sum(n for (_, k), n in true.items() if k == key)
            self.assertEqual({counters.read(key, now).total for counters in all_counters}, {total})
