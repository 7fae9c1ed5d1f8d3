"""Tests that the admission controller keeps to the limits of overload control."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.admission.actions import FailRequest, RejectRequest, StartRun
from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits
from tests.overload.overload_requests import FILING, LOW, MS, READ, Driver, S


class ControllerLimitsTest(unittest.TestCase):
    """Limits are passed by an event; within them the controller starts and rejects requests as usual."""

    def driver(self, **limits):
        harness = Driver(classes=(READ, LOW, FILING), memory_kb=1e6, marks_retries=False)
        if limits:
            harness.send(
                ConcurrencyLimits(**({"class_floors": (0, 0, 0), "class_caps": (99, 99, 99)} | limits))
            )
        return harness

    def fill(self, harness, *class_indices, multiple=1.0):
        return [
            harness.request(
                class_index=index, remaining_ns=None, cost_multiple=multiple if index == 0 else 1.0
            )[0]
            for index in class_indices
        ]

    def test_a_total_limit_is_kept_and_without_one_the_controller_decides_alone(self):
        for total, expected in ((2, 2), (UNLIMITED, 4)):
            harness = self.driver(total=total)
            ids = self.fill(harness, *[0] * 8)
            self.assertEqual(harness.ids(StartRun), ids[:expected])
            harness.complete(ids[0])
            self.assertIn(
                len(harness.ids(StartRun)), (expected + 1,) if total == 2 else (expected + 1, expected + 2)
            )

    def test_up_to_its_floor_a_class_starts_before_one_of_higher_priority(self):
        for floors, first in (((0, 0, 0), 0), ((0, 1, 0), 1)):
            harness = self.driver(total=4, class_floors=floors)
            running = self.fill(harness, 0, 0, 0, 0)
            waiting = dict(enumerate(self.fill(harness, 0, 1)))
            harness.complete(running[0])
            self.assertEqual(harness.ids(StartRun)[-1], waiting[first])

    def test_a_class_at_its_cap_waits_even_if_cores_are_free(self):
        harness = self.driver(total=4, class_caps=(2, 99, 99))
        ids = self.fill(harness, 0, 0, 0, 1)
        self.assertEqual(harness.ids(StartRun), [ids[0], ids[1], ids[3]])
        harness.complete(ids[0])
        self.assertEqual(harness.ids(StartRun)[-1], ids[2])

    def test_expensive_requests_use_the_low_priority_lane_and_are_learned_at_the_usual_cost(self):
        harness = self.driver(total=4, expensive=1)
        usual = harness.controller.run_times.mean_run_ns[0].value
        expensive_ids = self.fill(harness, 0, 0, multiple=10.0)
        normal_ids = self.fill(harness, 0, 0)
        self.assertEqual(harness.ids(StartRun), [expensive_ids[0], *normal_ids])
        harness.now_ns += S
        harness.complete(expensive_ids[0], duration_ns=10 * usual)
        self.assertAlmostEqual(harness.controller.run_times.mean_run_ns[0].value / usual, 1.0, delta=0.05)
        self.assertIn(expensive_ids[1], harness.ids(StartRun) + harness.ids(RejectRequest))

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.booleans(), st.integers(0, 3)), max_size=60),
        st.integers(1, 6),
        st.integers(1, 4),
        st.integers(1, 3),
    )
    def test_over_any_events_limits_hold_and_each_request_is_decided_once(self, steps, total, cap, lane):
        harness = self.driver(total=total, class_caps=(cap, cap, 99), class_floors=(1, 0, 0), expensive=lane)
        class_indices, expensive_ids, running = {}, set(), []
        for index, is_expensive, completions in steps:
            request_id, _ = harness.request(
                class_index=index, remaining_ns=None, cost_multiple=9.0 if is_expensive else 1.0
            )
            class_indices[request_id] = index
            expensive_ids |= {request_id} if is_expensive else set()
            running = [r for r in harness.ids(StartRun) if r not in harness.ended]
            for r in running[:completions]:
                harness.ended.add(r)
                harness.now_ns += 10 * MS
                harness.complete(r)
            running = [r for r in harness.ids(StartRun) if r not in harness.ended]
            self.assertLessEqual(len(running), total)
            for capped in (0, 1):
                self.assertLessEqual(sum(class_indices[r] == capped for r in running), cap)
            self.assertLessEqual(len(expensive_ids & set(running)), lane)
        decided = harness.ids(StartRun) + harness.ids(RejectRequest) + harness.ids(FailRequest)
        self.assertEqual(len(decided), len(set(decided)))
