"""What is asked of a plan: sizes, losses, intervals, captures."""

import json
import unittest

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.capture.records import CaptureHeader, RequestRecord
from ochrehoist.plan.demand import Streams, calls_of_capture, draw_calls
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.fleet_changes import with_workers
from ochrehoist.plan.forecast import forecast
from ochrehoist.plan.runs import interval_of
from ochrehoist.plan.site_loss import forecast_site_loss
from ochrehoist.plan.sizing import find_size
from tests.plan.example_fleet import fleet, quiet


class QuestionsTest(unittest.TestCase):
    """Answers and their intervals."""

    def test_an_interval_needs_two_runs_and_narrows_with_more(self):
        self.assertIsNone(interval_of([0.5]).half_width)
        self.assertLess(interval_of([0.4, 0.5, 0.6] * 3).half_width, interval_of([0.4, 0.5, 0.6]).half_width)

    def test_a_size_reaches_its_goal_and_one_less_does_not(self):
        f = fleet(load__rate=35.0)
        found = find_size(f, "fast-node", 0.9, (1,), 12.0, 1, quiet)
        self.assertGreaterEqual(found["goodput"], 0.9)
        self.assertLess(found["tried"].get(str(found["needed"] - 1), 0.0), 0.9)
        self.assertEqual(found["with_one_lost"], found["needed"] + 1)

    def test_what_cannot_be_determined_gets_no_number(self):
        f = fleet()
        for ask in (
            lambda: find_size(f, "fast-node", 1.2, (1,), 12.0, 1, quiet),
            lambda: forecast_site_loss(f, "brussels", 6.5, 7.0, (1,), 14.0, 1, quiet),
            lambda: forecast_site_loss(f, "ghent", 6.0, None, (1,), 14.0, 1, quiet),
            lambda: forecast_site_loss(
                with_workers(fleet(workers__0__addresses=["10.1.0.1"]), "fast-node", 1),
                "brussels",
                6.0,
                None,
                (1,),
                14.0,
                1,
                quiet,
            ),
        ):
            self.assertRaises(UnanswerableQuestionError, ask)

    def test_the_loss_of_a_site_costs_and_its_return_heals(self):
        f = fleet(membership__lag_s=0.5, kinds__0__cold_s=1.0).with_demand(0.8)
        said = forecast_site_loss(f, "brussels", 8.0, 14.0, (1, 2), 30.0, 1, quiet)
        self.assertLess(said["during"]["mean"], said["before"]["mean"] - 0.2)
        self.assertEqual((said["tips_over"], said["workers"]), (0, 2))
        self.assertGreater(said["recovered_s"]["mean"], 5.0)

    def test_runs_are_the_same_in_other_processes(self):
        f = fleet()
        here, there = (forecast(f, (1, 2), 12.0, jobs, quiet) for jobs in (1, 2))
        self.assertEqual(json.dumps(here), json.dumps(there))

    def test_a_sampled_capture_is_made_whole_and_a_foreign_class_is_named(self):
        f, head = fleet(), CaptureHeader("n1", 0, 0.5, 4, 1.0, (), ())
        seen = [
            RequestRecord(
                0,
                "company-read",
                "startdesk",
                "ajp",
                7,
                10**8,
                n - (n % 4 == 3),
                "",
                n % 4 == 3,
                0,
                0,
                0,
                0,
                0,
                0,
            )
            for n in range(400)
        ]
        entries = [CapturedRequest("n1", n * 10**7, s, s.subject) for n, s in enumerate(seen)]
        wishes, span = calls_of_capture(f, Capture([head], entries), Streams(1))
        self.assertEqual(len(wishes), 600)  # 300 first tries, of every second subject
        self.assertAlmostEqual(span, 4.5, delta=0.6)
        foreign = [
            CapturedRequest(
                "n1", 0, RequestRecord(0, "other", None, "", 0, 0, 0, "", False, 0, 0, 0, 0, 0, 0), 0
            )
        ]
        with self.assertRaises(ValueError) as raised:
            calls_of_capture(f, Capture([head], foreign), Streams(1))
        self.assertIn("'other'", str(raised.exception))

    def test_drawn_loads_hold_to_their_shares_and_one_stream_leaves_the_others(self):
        f = fleet(load__rate=200.0)
        calls = list(draw_calls(f, Streams(1), 60.0))
        self.assertAlmostEqual(len(calls) / 60, 200, delta=10)
        self.assertAlmostEqual(sum(c.class_index == 2 for c in calls) / len(calls), 0.12, delta=0.02)
        self.assertAlmostEqual(sum(c.work_s for c in calls) / len(calls), 0.3, delta=0.02)
        changed = fleet(load__rate=200.0, classes__0__heavy_share=0.1, classes__0__heavy_times=9.0)
        heavier = list(draw_calls(changed, Streams(1), 60.0))
        self.assertEqual([c.starts_at for c in calls], [c.starts_at for c in heavier])
        self.assertEqual([c.subject for c in calls], [c.subject for c in heavier])
