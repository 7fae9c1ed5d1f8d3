"""Scale runs: a small one with real workers, its bounds, its ends, and what it makes of sizes."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import uuid
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from click.testing import CliRunner

from ochrehoist.cli.lab import lab
from ochrehoist.lab.hollow.network import PartitionedNetwork, PartitionedSocket
from ochrehoist.lab.scale import report, slopes
from ochrehoist.lab.scale.calibration import run_calibration
from ochrehoist.lab.scale.run import ScaleRun
from ochrehoist.lab.scale.spec import FaultKind, ScaleSpec
from ochrehoist.lab.scale.topology import Topology
from tests.support.environment import ROOT, WAIT_LIMIT_S
from tests.support.worker_process import restore_default_signals

LONG = 8 * WAIT_LIMIT_S  # a run on a crowded machine


def marked(mark):
    """Processes that have this mark in their environment: whatever a run started, and its children."""
    out = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if mark.encode() in path.read_bytes():
                out.append(int(path.parent.name))
        except OSError:
            pass
    return out


class ScaleRunsTest(unittest.TestCase):
    """Runs with real and hollow workers."""

    def setUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.mark = f"SCALE_TEST={uuid.uuid4()}"
        self.addCleanup(self.none_left)

    def none_left(self):
        """Within a while: a process that was killed is there until it is waited for.

        What is left all the same fails the test, and is ended, so that nothing runs on behind it.
        """
        until = time.monotonic() + WAIT_LIMIT_S
        while marked(self.mark) and time.monotonic() < until:
            time.sleep(0.05)
        left = marked(self.mark)
        for pid in left:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        self.assertEqual(left, [])

    def begin(self, *arguments):
        name, _, value = self.mark.partition("=")
        process = subprocess.Popen(
            [sys.executable, "-m", "ochrehoist", "lab", "scale", *map(str, arguments)],
            cwd=ROOT,
            env=os.environ | {name: value},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=restore_default_signals,
        )
        self.addCleanup(self.end, process)  # before `none_left`
        return process

    def end(self, process):
        """Of a test that failed midway; its children end with it."""
        if process.poll() is None:
            process.kill()
        process.communicate()

    def run_whole(self, *arguments):
        process = self.begin(*arguments)
        out, err = process.communicate(timeout=LONG)
        return process.returncode, out, err

    def with_children(self, count, *arguments):
        """A run that has started so many processes."""
        process = self.begin(*arguments)
        until = time.monotonic() + WAIT_LIMIT_S
        while len(marked(self.mark)) < 1 + count:
            self.assertLess(time.monotonic(), until)
            self.assertIsNone(process.poll())
            time.sleep(0.02)
        return process

    def test_a_small_one_with_real_workers_a_cut_a_restart_and_changes(self):
        out, page = Path(self.folder, "out.json"), Path(self.folder, "page.html")
        code, said, err = self.run_whole(
            "--members",
            14,
            "--real",
            2,
            "--seconds",
            1,
            "--settle",
            0.2,
            "--faults",
            "zone,restart",
            "--lasts",
            0.5,
            "--heal",
            3,
            "--changes",
            2,
            "--seed",
            7,
            "--json",
            out,
            "--html",
            page,
        )
        self.assertEqual(code, 0, err)
        (run,) = json.loads(out.read_text())["runs"]
        self.assertEqual((run["ended"], run["spec"]["seed"], run["join"]["hollow"]), ("whole", 7, 12))
        self.assertGreater(run["rest"]["hollow"]["bytes_out_per_s"]["p50"], 0)
        self.assertGreater(run["rest"]["real"]["received_per_s"]["p50"], 0)  # both kinds in one group
        self.assertGreater(run["join"]["p50"], 11)  # hollow ones know real ones too
        self.assertEqual([(f["kind"], f["struck"]) for f in run["faults"]], [("zone", 2), ("restart", 1)])
        self.assertTrue(all(f["bytes_out"] > 0 for f in run["faults"]))
        self.assertEqual([(c["reached"] >= 11, c["missed"]) for c in run["changes"]], [(True, 0)] * 2)
        self.assertEqual(run["at_end"]["faults"], {})
        self.assertEqual(run["machine"]["cores"], os.cpu_count())
        self.assertTrue(run["version"])
        self.assertIn("change 2:", said)
        self.assertIn("<h2>For each worker, at rest</h2>", page.read_text())

    def test_limits_of_memory_and_time_are_enforced_and_reported(self):
        for bound, word in ((("--most-memory", 40), "memory"), (("--limit", 3), "time")):
            with self.subTest(word):
                out = Path(self.folder, f"{word}.json")
                code, said, err = self.run_whole("--members", 10, "--seconds", 600, *bound, "--json", out)
                self.assertEqual(code, 1, err)
                (run,) = json.loads(out.read_text())["runs"]
                self.assertTrue(run["ended"].startswith(word), run["ended"])
                self.assertIn(f"broken off: {word}", said)

    def test_more_processes_than_are_allowed_are_not_begun(self):
        code, _, err = self.run_whole("--members", 14, "--real", 4, "--most-processes", 4)
        self.assertEqual(code, 2)
        self.assertIn("processes, and at most 4 are allowed", err)

    def test_ctrl_c_ends_all_of_it(self):
        process = self.with_children(1, "--members", 10, "--seconds", 600)
        process.send_signal(signal.SIGINT)
        _, err = process.communicate(timeout=WAIT_LIMIT_S)
        self.assertEqual(process.returncode, 1)
        self.assertIn("all processes of the run are ended", err)

    def test_children_end_with_a_run_that_is_killed(self):
        process = self.with_children(4, "--members", 12, "--real", 2, "--seconds", 600)  # two of each kind
        process.kill()
        process.communicate(timeout=WAIT_LIMIT_S)  # what is left is looked at when the test is over

    def test_a_run_is_compared_with_another(self):
        one = {
            "spec": {"members": 20, "seed": 1, "real": 0, "pace": 1.0},
            "version": "then",
            "ended": "whole",
            "rest": {"hollow": {}, "cpu_share": 0.02},
            "join": {},
            "notes": [],
            "processes": 1,
            "peak_mb": 1.0,
            "machine": {"load": [0.0], "cores": 8},
            "empty_cpu_share": 0.0,
            "date": "2026-12-02",
        }
        then, now = Path(self.folder, "then.json"), Path(self.folder, "now.json")
        then.write_text(json.dumps({"runs": [one]}))
        with mock.patch.object(
            ScaleRun,
            "run",
            lambda self, report: one | {"version": "now", "rest": {"hollow": {}, "cpu_share": 0.01}},
        ):
            done = CliRunner().invoke(lab, ["scale", "--json", str(now), "--against", str(then)])
        self.assertEqual(done.exit_code, 0, done.output)
        self.assertRegex(done.output, r"processor, % of a core, at 20 +2 +- +1 +- +0\.5")


def made(members, cpu, seed=1, **more):
    return {
        "spec": {"members": members, "seed": seed, "real": 0},
        "version": "v",
        "ended": "whole",
        "rest": {"cpu_share": cpu},
    } | more


class ScaleReportTest(unittest.TestCase):
    """Slopes, comparisons and calibration."""

    def test_slopes_are_least_squares_over_whole_runs_with_their_residual(self):
        runs = [made(n, 0.01 + 0.0002 * n) for n in (20, 50, 100)]
        runs += [made(400, 9.0, ended="memory: over"), made(800, 9.0, trusted=False)]
        runs += [made(200, 0.05) | {"spec": {"members": 200, "seed": 1, "real": 20}}]
        fit = slopes.slopes(runs)["processor"]
        self.assertAlmostEqual(fit["per_member"], 0.02)
        self.assertAlmostEqual(fit["at_none"], 1.0)
        self.assertAlmostEqual(fit["residual"], 0.0)
        self.assertEqual((fit["from"], fit["to"], fit["runs"]), (20, 100, 3))
        off = slopes.slope([(0, 0.0), (1, 3.0), (2, 0.0)])
        self.assertAlmostEqual(off["residual"], 2**0.5)
        self.assertIsNone(slopes.slope([(1, 1.0), (1, 2.0), (2, 3.0)]))

    def test_slopes_stand_side_by_side(self):
        before, now = ([made(n, slope * n) for n in (20, 50, 100)] for slope in (0.0004, 0.0001))
        _, _, rows = slopes.comparison(now, before)
        (row,) = (r for r in rows if r[0].startswith("processor"))
        self.assertAlmostEqual(row[1], 0.04)
        self.assertAlmostEqual(row[3], 0.01)
        self.assertAlmostEqual(row[5], 0.25)

    def test_calibration_reports_the_error_of_hollow_workers(self):
        rest = {
            "not_voters": {"sent_per_s": {"p50": 20.0}, "peers_cpu_s": {"p50": 0.010}},
            "was_late": 0,
            "hollows": 20,
            "seconds": 10.0,
            "cpu_share": 0.015,
            "hollow": {"peers_cpu_s": {"mean": 0.012}},
            "real": {"sent_per_s": {"p50": 21.0}, "peers_cpu_s": {"p50": 0.015}, "cpu_s": {"p50": 0.020}},
        }
        for late, valid in ((0, True), (20, True), (21, False)):
            run = made(40, 0) | {"rest": rest | {"was_late": late}, "join": {"all_s": 1.0}, "notes": []}
            with mock.patch.object(ScaleRun, "run", lambda self, report, run=run: run):
                told = run_calibration(ScaleSpec(members=40, real=20), ROOT, lambda *_: None)
            self.assertEqual(told["check_valid"], valid)
        self.assertTrue(told["check"]["sent_per_s"]["within"])
        self.assertAlmostEqual(told["check"]["peers_cpu_s"]["factor"], 1.5)
        self.assertAlmostEqual(told["check"]["cpu_share"]["hollow"], 0.013)
        self.assertFalse(told["check"]["cpu_share"]["within"])
        self.assertIn("not checked", report.calibration_lines([told])[0])


class ScalePartsTest(unittest.TestCase):
    """Network and topology of a run."""

    def test_nothing_passes_between_the_two_sides_of_a_cut(self):
        network, a, b, c = PartitionedNetwork(), ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3)
        network.partitions.append(frozenset((a, b)))
        self.assertTrue(network.passes(a, b))
        self.assertFalse(network.passes(a, c) or network.passes(c, b))
        sent = []
        link = PartitionedSocket(
            SimpleNamespace(fileno=0, close=0, getsockname=0, sendto=lambda data, to: sent.append(to)),
            network,
            a,
        )
        link.sendto(b"x", b)
        link.sendto(b"x", c)
        self.assertEqual(sent, [b])

    def test_zones_lie_in_regions_and_a_rack_is_a_twentieth(self):
        topology = Topology(ScaleSpec(members=240, regions=3))
        self.assertEqual(len(set(topology.zones.values())), 8)
        self.assertEqual(len({z.split("/")[0] for z in topology.zones.values()}), 3)
        kinds = (FaultKind.RACK, FaultKind.ZONE, FaultKind.RESTART)
        self.assertEqual([len(topology.fault_targets(kind)) for kind in kinds], [12, 30, 24])
        self.assertEqual(len(topology.fault_targets(FaultKind.REGION)), 90)


if __name__ == "__main__":
    unittest.main()
