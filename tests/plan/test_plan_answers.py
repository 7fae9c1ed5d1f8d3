"""The planner's answers: pages that need no network, two captures side by side, runs that are broken off."""

import json
import math
import re
import tempfile
import unittest
from pathlib import Path

from ochrehoist.capture.reader import Capture, CapturedRequest, read_capture
from ochrehoist.capture.records import UNKNOWN_DURATION_NS, CaptureHeader, RequestOutcome, RequestRecord
from ochrehoist.lab.scale.slopes import slope
from ochrehoist.plan import pictures, report
from ochrehoist.plan.breaking_point import find_breaking_point
from ochrehoist.plan.capture_comparison import compare_captures
from ochrehoist.plan.demand import Streams, calls_of_capture
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.fit import estimate_all
from ochrehoist.plan.fleet_changes import without_strongest
from ochrehoist.plan.fleet_comparison import compare_fleets
from ochrehoist.plan.forecast import forecast
from ochrehoist.plan.measured_run import MeasuredRun
from ochrehoist.plan.measurement import measure
from ochrehoist.plan.runs import Run, execute_until_interrupted
from ochrehoist.plan.site_loss import forecast_site_loss
from ochrehoist.plan.sizing import find_size
from tests.plan.example_fleet import fleet, quiet
from tests.support.worker_process import run_command

MS = 1_000_000
LOADS = re.compile(r"(?:src|href)=\"(?!#)[^\"]*\"|url\((?!#)[^)]*\)|@import")  # from elsewhere


def capture(rate=20.0, seconds=90, refused=0.05, work_ms=50.0, waited_ms=10.0, seed=1, cls="read"):
    """Requests of one class, come by chance at a rate."""
    rng, at, entries = Streams(seed)["arrivals"], 0.0, []
    while (at := at + float(rng.exponential(1 / rate))) < seconds:
        ran = rng.uniform() >= refused
        seen = RequestRecord(
            int(at * 1e9),
            cls,
            None,
            "thrift",
            1 + int(rng.integers(0, 50)),
            int(work_ms * MS),
            1,
            "",
            False,
            RequestOutcome.SERVED if ran else RequestOutcome.REJECTED,
            MS,
            int(rng.exponential(waited_ms) * MS) if ran else UNKNOWN_DURATION_NS,
            int(rng.exponential(work_ms) * MS) if ran else UNKNOWN_DURATION_NS,
            2,
            0,
        )
        entries.append(CapturedRequest("n1", int(at * 1e9), seen, seen.subject))
    return Capture([CaptureHeader("n1", 0, 1.0, 4, 1.0, (), ())], entries)


class PlanPagesTest(unittest.TestCase):
    """Pages of answers."""

    def answers(self):
        f = fleet(load__rate=35.0)
        yield "forecast", forecast(f, (1, 2), 12.0, 1, quiet)
        yield "breaks", find_breaking_point(f, (0.6, 1.2), (1, 2), 12.0, 1, quiet)
        yield "size", find_size(f, "fast-node", 0.9, (1,), 12.0, 1, quiet)
        yield "lose", forecast_site_loss(f, "brussels", 6.5, 9.0, (1,), 13.0, 1, quiet)
        yield "compare", compare_fleets(f, f.with_demand(0.5), (1, 2), 12.0, 1, quiet)
        changes = compare_captures(capture(), capture(rate=60.0))
        yield "captures", {"figures": [c.values() for c in changes], "on": []}
        yield "fit", {"estimates": [e.values() for e in estimate_all(capture())]}
        same = forecast(f, (1,), 12.0, 1, quiet)
        one = {
            "classes": {c: {"goodput": v["goodput"]["mean"]} for c, v in same["classes"].items()},
            "seconds": same["seconds_line"],
            "events": [[3.0, "one lost"]],
        }
        yield "measure", {"measured": one, "forecast": one}
        fit = slope([(20, 1.0), (50, 2.0), (100, 3.0)])
        yield (
            "scale",
            {
                "plots": [
                    {
                        "name": "bytes",
                        "unit": "kB/s",
                        "fit": fit,
                        "points": [[20, 1.0], [50, 2.0], [100, 3.0]],
                    }
                ],
                "runs": [],
            },
        )

    def test_each_question_has_a_page_that_is_whole_and_needs_no_network(self):
        seen = set()
        for question, values in self.answers():
            seen.add(question)
            table = ("t", ("a",), [(None,), (0.5,)])
            text = report.page(question, "a <title>", "by hand", values, [table], ["mind"])
            self.assertIn("a &lt;title&gt;", text, question)
            self.assertGreaterEqual(text.count("<svg"), 1, question)
            self.assertEqual(text.count("<svg"), text.count("</svg>"), question)
            self.assertEqual(LOADS.findall(text), [], question)
            self.assertNotIn("<script", text)
            self.assertEqual(
                pictures.render(question, values, "svg"), pictures.render(question, values, "svg")
            )
            json.dumps(values)
        self.assertEqual(seen, set(pictures.PICTURES) - {"play"})  # the laboratory's

    def test_a_page_and_its_pictures_from_the_shell(self):
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder, "page.html")
            done = run_command(
                "plan",
                "forecast",
                "deploy/fleet.toml",
                "--seeds",
                "1",
                "--seconds",
                "12",
                "--jobs",
                "1",
                "--html",
                str(page),
                "--pictures",
                "--json",
            )
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertGreater(json.loads(done.stdout)["goodput"]["mean"], 0.5)
            self.assertEqual(
                sorted(p.name for p in Path(folder).iterdir()),
                ["page-1.png", "page-2.png", "page-3.png", "page.html"],
            )
            self.assertEqual(Path(folder, "page-1.png").read_bytes()[:4], b"\x89PNG")


class CaptureComparisonTest(unittest.TestCase):
    """Two captures compared."""

    def told(self, a, b):
        return {c.what: c for c in compare_captures(a, b)}

    def test_changes_are_distinguished_from_chance(self):
        found = self.told(capture(), capture(rate=30.0, refused=0.2, seed=2))
        for what, change in (("first tries a second", 0.5), ("read: refused", 3.0)):
            line = found[what]
            self.assertTrue(line.clear, line)
            self.assertTrue(line.low <= change <= line.high, line)
        self.assertFalse(found["read: waited p50, ms"].clear)
        self.assertEqual(found["read: stated work, ms"].change, 0.0)

    def test_two_draws_of_one_load_differ_in_few_figures(self):
        clear = [
            c.what
            for seed in range(2, 12)
            for c in compare_captures(capture(), capture(seed=seed))
            if c.clear
        ]
        self.assertLessEqual(len(clear), 12, clear)  # of 110; a twentieth each by chance

    def test_what_cannot_be_determined_gets_no_interval(self):
        short = self.told(capture(seconds=20), capture(seconds=20, seed=2))
        self.assertIsNone(short["first tries a second"].low)
        self.assertIn("no interval", short["first tries a second"].note)
        other = self.told(capture(), capture(cls="write"))
        self.assertEqual((other["write: refused"].a, other["read: refused"].b), (None, None))
        self.assertIn("nothing in A", other["write: refused"].note)
        self.assertIn("nothing of it in B", other["read: refused"].note)
        self.assertRaises(ValueError, compare_captures, Capture(), capture())


class InterruptedRunsTest(unittest.TestCase):
    """Runs that are broken off."""

    def after(self, count):
        def progress(done, _):
            if done > count:
                raise KeyboardInterrupt

        return progress

    def test_an_interrupted_run_reports_what_is_complete_and_no_half_of_a_pair(self):
        f = fleet()
        runs = [Run(f, seed, 12.0) for seed in range(1, 6)]
        self.assertEqual(len(execute_until_interrupted(runs, 1, self.after(3))), 3)
        self.assertEqual(len(execute_until_interrupted(runs, 1, self.after(3), group_size=2)), 2)
        self.assertRaises(KeyboardInterrupt, execute_until_interrupted, runs, 1, self.after(1), 2)
        self.assertEqual(compare_fleets(f, f, (1, 2, 3), 12.0, 1, self.after(5))["seeds"], 2)
        self.assertEqual(
            len(find_breaking_point(f, (0.5, 0.8, 1.1), (1,), 12.0, 1, self.after(2))["steps"]), 2
        )
        with self.assertRaises(UnanswerableQuestionError) as raised:
            find_size(fleet(load__rate=60.0), "fast-node", 0.9, (1,), 12.0, 1, self.after(1))
        self.assertIn("so far", str(raised.exception))

    def test_a_size_that_bears_a_loss_reaches_the_goal_without_its_strongest(self):
        found = find_size(fleet(load__rate=35.0), "fast-node", 0.9, (1,), 12.0, 1, quiet)
        self.assertGreater(found["with_one_lost"], found["needed"])
        self.assertGreaterEqual(found["tried_one_lost"][str(found["with_one_lost"])], 0.9)
        mixed = fleet(
            workers=[
                {"kind": "fast-node", "addresses": ["10.1.0.1", "10.1.0.2"]},
                {"kind": "small", "addresses": ["10.2.0.1"]},
            ],
            kinds=[
                {"name": "fast-node", "cores": 4, "speed": 1.0, "memory_mb": 76.0},
                {"name": "small", "cores": 4, "speed": 0.5, "memory_mb": 76.0},
            ],
        )
        self.assertEqual(
            sorted(w.kind for w in without_strongest(mixed).placed_workers), ["fast-node", "small"]
        )


class RecordedCallsTest(unittest.TestCase):
    """Calls as captures record them."""

    def test_a_retry_whose_first_attempt_no_worker_saw_is_a_call_and_any_other_is_not(self):
        def tried(at, work, retry, caller=1):
            seen = RequestRecord(
                0, "company-read", "startdesk", "thrift", 7, work, caller, "", retry, 1, 0, 0, 0, 0, 0
            )
            return CapturedRequest("n1", at * MS, seen, 7)

        entries = [
            tried(0, 10, False),
            tried(50, 10, True),
            tried(60, 20, True),
            tried(90, 20, True),
            tried(95, 20, True, caller=2),
            tried(9000, 10, True),
            tried(9001, 0, True),
        ]
        wishes, _ = calls_of_capture(
            fleet(), Capture([CaptureHeader("n1", 0, 1.0, 4, 1.0, (), ())], entries), Streams(1)
        )
        self.assertEqual([round(w.starts_at * 1000) for w in wishes], [0, 60, 95, 9000])

    def test_real_workers_record_each_attempt_that_reached_them(self):
        with tempfile.TemporaryDirectory() as folder:
            f = fleet().with_demand(0.6)
            play = MeasuredRun(
                f, 1, 4.0, settle_s=0.0, operator_config=f"[capture]\nfolder = {json.dumps(folder)}\n"
            )
            tally = play.run()
            recorded = read_capture([Path(folder)])
            self.assertEqual(
                (recorded.dropped, recorded.damage.corrupt_blocks, recorded.damage.cut_bytes), (0, 0, 0)
            )
            self.assertEqual({h.worker for h in recorded.headers}, {"n0", "n1", "n2"})
            reached = sum(w.served + w.refused + w.failed for w in tally.workers)
            self.assertGreaterEqual(len(recorded.requests), reached)
            self.assertLessEqual(len(recorded.requests), sum(w.tries for w in tally.workers))
            self.assertEqual(
                sum(e.record.outcome == RequestOutcome.SERVED for e in recorded.requests),
                sum(w.served for w in tally.workers),
            )
            values = forecast(f, (1,), 12.0, 1, quiet)
            self.assertTrue(0 < values["goodput"]["mean"] <= 1)

    def test_a_measurement_reports_how_late_its_calls_were_sent(self):
        values = measure(fleet().with_demand(0.4), 1, 6.5, None, quiet)
        self.assertGreaterEqual(values["late_p99_ms"], 0)
        self.assertTrue(math.isfinite(values["ratio"]))


if __name__ == "__main__":
    unittest.main()
