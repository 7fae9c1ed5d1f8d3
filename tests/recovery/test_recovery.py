"""Witness replicas and startup stages without I/O, and restarts of processes that lost their stores."""

import json
import logging
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from hypothesis import example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ochrehoist.core.request import RequestReference
from ochrehoist.lab.scenario import parse
from ochrehoist.lab.scenario_runner import ScenarioRun
from ochrehoist.net.operator_server import call_operator_api
from ochrehoist.recovery import intent_log, quorum
from ochrehoist.recovery.intent_log import IntentLog
from ochrehoist.recovery.messages import PAGE_SIZE, IntentPage, RecordIntent, decode, encode, key_digest
from ochrehoist.recovery.pending_intents import RESEND_INTERVAL_S, PendingIntents
from ochrehoist.recovery.quorum import quorum_sizes
from ochrehoist.recovery.service_level import ServiceLevelMonitor, ServiceOutcome
from ochrehoist.recovery.startup_progress import MAX_IDLE_S, ReadinessFacts, StartupProgress, StartupStage
from ochrehoist.recovery.witness_quorum import WitnessQuorumReport, missing_from_store
from tests.support.environment import ROOT
from tests.support.worker_cases import WorkerTestCase
from tests.support.worker_process import run_command

logging.getLogger("asyncio").setLevel(logging.CRITICAL)
WINDOW = 20.0


class ReplicationWorld:
    """A worker that begins runs, witnesses that restart, and a network that drops and repeats messages."""

    def __init__(self, seed, count, wait_for_quorum=True):
        self.rng, self.wait_for_quorum = Random(seed), wait_for_quorum
        self.names = [f"x{n}" for n in range(count)]
        self.logs = {n: IntentLog(0.0) for n in self.names}
        self.pending, self.now, self.begun, self.count = PendingIntents(self.names), 0.0, {}, 0
        self.sent_at, self.keys = {}, {}

    def is_due(self, request):
        if self.now - self.sent_at.get(request, -1.0) < RESEND_INTERVAL_S:
            return False
        self.sent_at[request] = self.now
        return True

    def run(self, duration_s, loss):
        until = self.now + duration_s
        while self.now < until:
            self.now += 0.02
            if self.rng.random() < 0.3:
                self.count += 1
                key = f"key{self.count}".encode()
                request = RequestReference(f"r{self.count}", self.count)
                self.keys[request] = key, self.now
                self.pending.add(request, [key], WINDOW, 0.25, self.now)
                if not self.wait_for_quorum:
                    self.begun[key] = self.now
            for name, data in self.pending.messages(self.now, self.is_due):
                for _ in range(self.rng.choice((1, 1, 2))):
                    message = decode("tell", data)
                    recorded = self.rng.random() >= loss and self.logs[name].record("w", message, self.now)
                    if recorded and self.rng.random() >= loss:
                        number = decode("tell", data).number
                        for request in self.pending.acknowledge(name, number, self.now):
                            key, arrived_at = self.keys[request]
                            self.begun[key] = arrived_at
            self.pending.remove_timed_out(self.now)
            if self.rng.random() < 0.004:
                self.logs[self.rng.choice(self.names)] = IntentLog(self.now)

    def restart(self):
        """Restarts the worker; returns its hold time (None without a read quorum) and the known runs."""
        report = WitnessQuorumReport(self.names, WINDOW + 1, 7, self.now)
        reachable = self.rng.sample(self.names, self.rng.randint(0, len(self.names)))
        for _ in range(20):
            for name, data in report.queries(self.now):
                if name in reachable:
                    page = self.logs[name].page("w", decode("ask", data), self.now)
                    report.add_page(name, decode("known", encode(page)), self.now)
        hold = report.hold_s(self.now) if report.has_quorum else None
        return hold, report.expiry_by_digest


def lost_runs(world):
    """Returns the begun filings that could be repeated and would run again; windows begin at the arrival."""
    hold, known = world.restart()
    if hold is None:
        return []
    return [
        k for k, at in world.begun.items() if at + WINDOW > world.now + hold and key_digest(k) not in known
    ]


class WitnessesTest(unittest.TestCase):
    """Recording of intents at witnesses, and queries after a restart."""

    @hypothesis_settings(max_examples=60, deadline=None)
    @given(st.integers(0, 10**6), st.integers(1, 5), st.floats(0, 0.6), st.floats(1, 30))
    @example(20201, 2, 0.25, 21.0)  # queried 0.1 s after the end of a window; its filing had waited 0.12 s
    @example(20201, 2, 0.25, 20.86)  # queried 0.04 s before the end of that window
    def test_no_begun_filing_is_taken_for_new_despite_losses_and_crashes(self, seed, count, loss, duration_s):
        world = ReplicationWorld(seed, count)
        world.run(duration_s, loss)
        self.assertEqual(lost_runs(world), [])

    def test_check_detects_missing_write_and_read_quorums(self):
        def count_lost_runs(**options):
            total = 0
            for seed in range(30):
                world = ReplicationWorld(seed, 3, **options)
                world.run(6.0, 0.5)
                total += len(lost_runs(world))
            return total

        self.assertGreater(count_lost_runs(wait_for_quorum=False), 0)
        with mock.patch.object(quorum, "quorum_sizes", lambda count: quorum.QuorumSizes(1, 1)):
            self.assertGreater(count_lost_runs(), 0)

    def test_write_and_read_quorums_intersect(self):
        for count in range(1, 9):
            write, read = quorum_sizes(count)
            self.assertGreater(write + read, count)
            self.assertLessEqual(max(write, read), count)

    def test_young_log_proves_nothing_about_the_time_before(self):
        report = WitnessQuorumReport(("a",), WINDOW, 1, 100.0)
        report.add_page("a", IntentPage(1, 0, 1, 4000, []), 100.0)
        self.assertAlmostEqual(report.hold_s(100.0), 16.0)
        self.assertEqual(report.hold_s(117.0), 0.0)

    def test_large_answers_are_paged_and_unsolicited_pages_ignored(self):
        log = IntentLog(0.0)
        count = 3 * PAGE_SIZE + 5
        log.record("w", RecordIntent(1, [(key_digest(b"%d" % n), 60_000) for n in range(count)]), 1.0)
        report = WitnessQuorumReport(("a",), WINDOW, 9, 30.0)
        report.add_page("a", IntentPage(8, 0, 1, 99_000, []), 30.0)
        report.add_page("b", IntentPage(9, 0, 1, 99_000, []), 30.0)
        self.assertFalse(report.has_quorum)
        for _ in range(10):
            for _, data in report.queries(30.0):
                report.add_page("a", log.page("w", decode("ask", data), 30.0), 30.0)
        self.assertTrue(report.has_quorum)
        self.assertEqual(len(report.expiry_by_digest), count)
        stored = [b"%d" % n for n in range(count - 2)]
        self.assertEqual(len(missing_from_store(report.expiry_by_digest, stored)), 2)

    def test_withdrawn_and_expired_intents_are_removed_and_size_is_bounded(self):
        log = IntentLog(0.0)
        log.record("w", RecordIntent(1, [(b"a", 1000), (b"b", 9000)]), 0.0)
        log.record("w", RecordIntent(2, [], [b"b"]), 0.0)
        log.remove_expired(2.0)
        self.assertEqual((log.count, log.counts()), (0, {}))
        with mock.patch.object(intent_log, "MAX_INTENTS", 2):
            self.assertTrue(log.record("w", RecordIntent(3, [(b"a", 9000), (b"b", 9000)]), 3.0))
            self.assertFalse(log.record("v", RecordIntent(4, [(b"c", 9000)]), 3.0))

    def test_the_withdrawal_of_an_attempt_leaves_the_intent_of_the_next_one(self):
        # Guards against a second run: a message had an intent and the withdrawal of the attempt before.
        pending, log, former_log = PendingIntents(["a"]), IntentLog(0.0), IntentLog(0.0)
        first, second = RequestReference("r1", 1), RequestReference("r2", 2)
        pending.add(first, [b"k"], WINDOW, 0.25, 0.0)
        pending.remove_timed_out(1.0)
        pending.withdraw([b"k"])
        pending.withdraw([b"other"])
        pending.add(second, [b"k"], WINDOW, 0.25, 1.0)
        ((_, data),) = pending.messages(1.0, lambda _request: True)
        message = decode("tell", data)
        self.assertEqual(message.withdrawn, [key_digest(b"other")])
        log.record("w", message, 1.0)
        self.assertEqual(log.counts(), {"w": 1})
        # As the release before sent it.
        message.withdrawn.append(key_digest(b"k"))
        former_log.record("w", RecordIntent(1, message.intents), 0.0)
        former_log.record("w", message, 1.0)
        self.assertEqual((former_log.counts(), former_log.count), ({"w": 1}, 1))

    @given(st.sampled_from(["tell", "told", "ask", "known", "x"]), st.binary(max_size=120))
    def test_malformed_messages_are_ignored(self, topic, data):
        decode(topic, data)


class StartupStagesTest(unittest.TestCase):
    """Startup stages, and the condition for full service."""

    def setUp(self):
        self.now = 0.0
        self.progress, self.service_level = StartupProgress(0.0), ServiceLevelMonitor(0.0)

    def evaluate(self, seconds, facts=None, **counts):
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now += 0.1
            for name, n in counts.items():
                for _ in range(n):
                    self.service_level.count(ServiceOutcome[name.upper()], self.now)
            self.progress.evaluate(self.now, facts or ReadinessFacts(), self.service_level)
        return self.progress.current.stage

    def test_stage_is_the_first_with_an_unmet_condition(self):
        facts = ReadinessFacts(store_open=False, has_peer_contact=False)
        self.assertEqual(self.evaluate(0.5, facts), StartupStage.STORE)
        facts = ReadinessFacts(store_open=True, hold_s=5.0, has_peer_contact=False)
        self.assertEqual(self.evaluate(0.5, facts), StartupStage.LOST)
        facts = ReadinessFacts(store_open=True, hold_s=0.0, has_peer_contact=False)
        self.assertEqual(self.evaluate(0.5, facts), StartupStage.PEERS)
        self.assertEqual(self.evaluate(0.5, ReadinessFacts(load_fraction=0.2), good=3), StartupStage.WARMING)
        self.assertEqual(self.evaluate(3.0, ReadinessFacts(), good=3), StartupStage.FULL)
        record = self.progress.summary(self.now)
        self.assertEqual(set(record["stages_s"]), {"settings", "store", "lost", "peers", "warming"})
        self.assertAlmostEqual(sum(record["stages_s"].values()), record["full_after_s"], delta=0.2)

    def test_full_service_depends_on_the_service_level_not_on_time(self):
        self.assertEqual(self.evaluate(60, ReadinessFacts(), good=2, late=1), StartupStage.WARMING)
        self.assertEqual(self.evaluate(60, ReadinessFacts(), good=2, rejected=1), StartupStage.WARMING)
        self.assertEqual(self.evaluate(1, ReadinessFacts(), good=3), StartupStage.WARMING)
        self.assertEqual(self.evaluate(3, ReadinessFacts(), good=3), StartupStage.FULL)

    def test_full_service_is_relative_to_the_baseline_or_unmeasured_without_traffic(self):
        self.service_level = ServiceLevelMonitor(0.0, baseline_good_ratio=0.6)
        self.assertEqual(self.evaluate(4, ReadinessFacts(), good=2, rejected=1), StartupStage.FULL)
        self.setUp()
        self.assertEqual(self.evaluate(MAX_IDLE_S + 1), StartupStage.FULL)
        self.assertIn("not measured", self.progress.current.reason)

    def test_operator_can_skip_a_stage(self):
        facts = ReadinessFacts(store_open=True, hold_s=50.0)
        self.evaluate(1.0, facts)
        self.progress.skip(StartupStage.LOST)
        self.assertEqual(self.evaluate(4, facts, good=3), StartupStage.FULL)


def run_scenario(faults, seed=1, **changes):
    values = {
        "name": "t",
        "seconds": 10.0,
        "workers": 5,
        "state": True,
        "faults": faults,
        "load": {"rate": 40.0, "tries": 15, "wait_ms": 200},
        "services": {"shared": 0},
        "classes": [
            {"name": "read", "share": 0.4, "work_ms": 40},
            {"name": "filing", "share": 0.6, "work_ms": 150, "worth": 3, "keyed": True, "window_s": 5.0},
        ],
        "tables": {"recovery": {"witnesses": 2}},
        "balancer": {"choice": "weighted", "check_s": 0.2},
    }
    return ScenarioRun(parse(values | changes), seed).run()


class LostStoreTest(unittest.TestCase):
    """Scenarios with workers that lost their store folders."""

    def test_workers_without_their_stores_recover_and_no_filing_runs_twice(self):
        result = run_scenario(
            [{"at": 8.0, "kind": "kill", "who": ["w0", "w1"], "lasts": 0.2, "store": "removed"}], seconds=14.0
        )
        self.assertEqual(result["broken"], [])  # includes filings that ran both before and after the restart
        for name in ("w0", "w1"):
            status = result["told_at_end"][name]
            self.assertTrue(status["recovery"]["witnesses"]["testified"], status)
            self.assertEqual(status["store"]["hold_s"], 0, status)
        self.assertGreater(result["goodput"]["after"]["filing"], 0.85 * result["goodput"]["quiet"]["filing"])

    def test_older_store_is_detected_and_a_worker_without_witnesses_starts_nothing(self):
        result = run_scenario(
            [
                {"at": 6.0, "kind": "kill", "who": ["w0"], "lasts": 0.2, "store": "older"},
                {"at": 7.0, "kind": "cut", "who": ["w3"], "lasts": 2.0},
            ],
            seconds=11.0,
        )
        self.assertEqual(result["broken"], [])
        self.assertGreater(result["statuses"].get("200", 0), 0)

    def test_hold_remains_if_all_workers_lose_their_stores(self):
        result = run_scenario(
            [
                {
                    "at": 3.0,
                    "kind": "kill",
                    "who": [f"w{n}" for n in range(5)],
                    "lasts": 0.5,
                    "store": "removed",
                }
            ],
            seconds=8.0,
        )
        self.assertEqual(result["broken"], [])
        stages = [[s["stage"] for s in t["recovery"]["stages"]] for t in result["told_at_end"].values()]
        # No witness has a log, so nothing is proved.
        self.assertTrue(all("lost" in s for s in stages), stages)


class RecoveryWorkerTest(WorkerTestCase):
    """A worker process with and without the [recovery] table."""

    def test_recovery_is_not_loaded_without_its_table(self):
        code = (
            "import sys, ochrehoist.app.worker, ochrehoist.net.peers, ochrehoist.store.journal; "
            "print([m for m in sys.modules if 'recovery' in m])"
        )
        process = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(process.stdout.strip(), "[]", process.stderr)

    def test_startup_stages_are_reported_and_logged(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        worker = self.start(thrift=False, ajp=True, state={"folder": folder.name}, recovery={})
        succeeded, answer = call_operator_api(worker.addresses["Operators"], "POST", "/recovery/skip/warming")
        self.assertTrue(succeeded, answer)
        worker.wait_for(lambda s: "'stage': 'full'" in s["recovery"])
        view = json.loads(call_operator_api(worker.addresses["Operators"], "GET", "/status")[1])["recovery"]
        self.assertEqual(next(s["stage"] for s in view["stages"]), "settings")
        worker.wait_until_logged("startup_complete")

    def test_invalid_settings_are_reported_with_their_key(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "x.toml")
            text = (ROOT / "deploy/recovery.toml").read_text()
            for old, new, key in (
                ('witnesses = ["register-2", "register-3"]', 'witnesses = ["w9"]', "recovery.witnesses"),
                (
                    'witnesses = ["register-2", "register-3"]',
                    'witnesses = ["register-1"]',
                    "recovery.witnesses",
                ),
                ("wait_ms = 250", "wait_ms = 0", "recovery.wait_ms"),
            ):
                with self.subTest(new):
                    self.assertIn(old, text)
                    file.write_text(text.replace(old, new))
                    process = run_command("check", str(file))
                    self.assertEqual((process.returncode, key in process.stderr), (2, True), process.stderr)
            file.write_text(text)
            self.assertEqual(run_command("check", str(file)).returncode, 0)
