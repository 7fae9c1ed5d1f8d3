"""The limits of overload control within the controller."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.admission.actions import FailRequest, RejectRequest, StartRun
from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits
from tests.overload.overload_requests import FILING, LOW, MS, READ, Driver, S


class TheModule(unittest.TestCase):
    """Limits are told to it by an event; it starts and refuses as ever within them."""

    def driver(self, **told):
        d = Driver(classes=(READ, LOW, FILING), memory_kb=1e6, marks_retries=False)
        if told:
            d.send(ConcurrencyLimits(**({"class_floors": (0, 0, 0), "class_caps": (99, 99, 99)} | told)))
        return d

    def fill(self, d, *kinds, times=1.0):
        return [
            d.request(class_index=kind, remaining_ns=None, cost_multiple=times if kind == 0 else 1.0)[0]
            for kind in kinds
        ]

    def test_a_total_limit_is_kept_and_without_one_the_controller_decides_alone(self):
        for total, most in ((2, 2), (UNLIMITED, 4)):
            d = self.driver(total=total)
            ids = self.fill(d, *[0] * 8)
            self.assertEqual(d.ids(StartRun), ids[:most])
            d.complete(ids[0])
            self.assertIn(len(d.ids(StartRun)), (most + 1,) if total == 2 else (most + 1, most + 2))

    def test_up_to_its_floor_a_class_starts_before_one_of_higher_priority(self):
        for floors, first in (((0, 0, 0), 0), ((0, 1, 0), 1)):
            d = self.driver(total=4, class_floors=floors)
            running = self.fill(d, 0, 0, 0, 0)
            wanted = dict(enumerate(self.fill(d, 0, 1)))
            d.complete(running[0])
            self.assertEqual(d.ids(StartRun)[-1], wanted[first])

    def test_past_its_cap_a_class_waits_though_cores_are_free(self):
        d = self.driver(total=4, class_caps=(2, 99, 99))
        ids = self.fill(d, 0, 0, 0, 1)
        self.assertEqual(d.ids(StartRun), [ids[0], ids[1], ids[3]])
        d.complete(ids[0])
        self.assertEqual(d.ids(StartRun)[-1], ids[2])

    def test_expensive_requests_stay_in_the_low_priority_lane_and_count_by_their_usual_cost(self):
        d = self.driver(total=4, expensive=1)
        usual = d.controller.run_times.mean_run_ns[0].value
        heavy = self.fill(d, 0, 0, times=10.0)
        light = self.fill(d, 0, 0)
        self.assertEqual(d.ids(StartRun), [heavy[0], *light])
        d.now_ns += S
        d.complete(heavy[0], duration_ns=10 * usual)
        self.assertAlmostEqual(d.controller.run_times.mean_run_ns[0].value / usual, 1.0, delta=0.05)
        self.assertIn(heavy[1], d.ids(StartRun) + d.ids(RejectRequest))

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.booleans(), st.integers(0, 3)), max_size=60),
        st.integers(1, 6),
        st.integers(1, 4),
        st.integers(1, 3),
    )
    def test_over_any_events_limits_hold_and_each_request_is_decided_once(self, steps, total, cap, lane):
        d = self.driver(total=total, class_caps=(cap, cap, 99), class_floors=(1, 0, 0), expensive=lane)
        kinds, heavies, running = {}, set(), []
        for kind, heavy, ends in steps:
            rid, _ = d.request(class_index=kind, remaining_ns=None, cost_multiple=9.0 if heavy else 1.0)
            kinds[rid] = kind
            heavies |= {rid} if heavy else set()
            running = [r for r in d.ids(StartRun) if r not in d.ended]
            for r in running[:ends]:
                d.ended.add(r)
                d.now_ns += 10 * MS
                d.complete(r)
            running = [r for r in d.ids(StartRun) if r not in d.ended]
            self.assertLessEqual(len(running), total)
            for at in (0, 1):
                self.assertLessEqual(sum(kinds[r] == at for r in running), cap)
            self.assertLessEqual(len(heavies & set(running)), lane)
        decided = d.ids(StartRun) + d.ids(RejectRequest) + d.ids(FailRequest)
        self.assertEqual(len(decided), len(set(decided)))
