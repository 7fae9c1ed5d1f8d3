"""Tests of an overloaded worker: the real program with a slowed controller, under a flood of requests."""

import json
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from ochrehoist.config.loader import load_appliance
from ochrehoist.errors import InvalidInputError
from ochrehoist.lab.toml import toml_file
from tests.stand_ins.ajp_server import InstantServer
from tests.stand_ins.kernel import InstantKernel
from tests.stand_ins.thrift_router import ThriftRouter
from tests.support.environment import ROOT, WAIT_LIMIT_S
from tests.support.site_settings import short_deadline_settings, site_settings
from tests.support.worker_cases import WorkerTestCase
from tests.support.worker_process import run_command

# Executed when the worker's interpreter starts: lengthens each decision by 3 ms, so that every machine is
# overloaded by the same load.
SLOW_CONTROLLER_CODE = """
import sys, time
if "-m" in sys.orig_argv and "ochrehoist" in sys.orig_argv:
    from ochrehoist.admission.controller import AdmissionController
    plain = AdmissionController.handle
    def handle(self, now, event):
        until = time.perf_counter() + 0.003
        while time.perf_counter() < until:
            pass
        return plain(self, now, event)
    AdmissionController.handle = handle
"""


class Flood:
    """Load that keeps `each` reads open on each connection until `end` is called, and counts all answers."""

    def __init__(self, address, connections=6, each=30):
        self.running, self.answer_counts, self.backoffs, self.errors, self.sent = True, {}, [], [], 0
        self.threads = [threading.Thread(target=self._run, args=(address, each)) for _ in range(connections)]
        for thread in self.threads:
            thread.start()

    def _run(self, address, each):
        try:
            client = ThriftRouter(address)
            open_ids = [client.invoke(obj=f"{n}") for n in range(each)]
            count = each
            while open_ids:
                kind, fields, _ = client.answer(open_ids.pop(0))
                self.answer_counts[kind] = self.answer_counts.get(kind, 0) + 1
                if kind == "Throttled":
                    self.backoffs.append(int(fields.get("backoff", 0)))
                if self.running:
                    open_ids.append(client.invoke(obj=f"{count}"))
                    count += 1
            self.sent += count
            client.close()
        except Exception as error:
            self.errors.append(repr(error))

    def end(self):
        self.running = False
        for thread in self.threads:
            thread.join(WAIT_LIMIT_S)
        return self


class OverloadedWorkerTest(WorkerTestCase):
    """A worker under a flood."""

    def program(self, **options):
        return self.start(
            site=short_deadline_settings(),
            kernel=InstantKernel(),
            **({"overload": {}, "fault": SLOW_CONTROLLER_CODE} | options),
        )

    def status(self, program):
        return json.loads(program.operator_call()[1])

    def wait_for_status(self, program, condition):
        end = time.monotonic() + WAIT_LIMIT_S
        while not condition(status := self.status(program)):
            self.assertLess(time.monotonic(), end, status)
            time.sleep(0.02)
        return status

    def test_a_flood_is_rejected_early_filings_are_served_and_overload_ends_with_the_flood(self):
        program = self.program()
        flood = Flood(program.addresses["ThriftFront"])
        self.wait_for_status(program, lambda s: s["overload"]["admission"]["shed"])
        client, served = program.thrift_router(), 0
        for n in range(12):
            kind = client.call(method="filing", token=f"{n:032x}")[0]
            served += kind == "Answer"
            self.assertIn(kind, ("Answer", "Throttled"))
            client.ping()
            self.assertTrue(client.good)
        self.assertGreater(served, 0)
        status = self.wait_for_status(
            program, lambda s: sum(s["overload"]["admission"]["shed"].values()) > 200
        )
        self.assertFalse(
            [reason for reason in status["overload"]["admission"]["shed"] if reason.startswith("filing")]
        )
        flood.end()
        self.assertEqual(flood.errors, [])
        self.assertEqual(sum(flood.answer_counts.values()), flood.sent)
        self.assertGreaterEqual(min(flood.backoffs), 0)
        self.assertGreater(len(set(flood.backoffs)), 20)
        after = self.wait_for_status(program, lambda s: not s["overload"]["loop"]["behind"])
        self.assertEqual(after["in_hand"], 0)
        counted = after["served"] + after["refused"] + after["failed"]
        self.assertEqual(counted, flood.sent + 12)
        self.assertEqual(program.thrift_router().call()[0], "Answer")
        self.assertTrue(program.logged("overload_detected"))
        self.assertTrue(program.logged("overload_ended"))
        text = program.operator_call(path="/status/metrics")[1]
        for name in ("app_loop_delay_seconds", "app_behind 0", 'app_shed_total{group="read",reason='):
            self.assertIn(name, text)

    def test_both_fronts_share_early_rejection_and_a_retry_of_what_ran_gets_its_result(self):
        program = self.program(ajp=True, server=InstantServer())
        first = program.thrift_router().call(method="filing", token="0" * 31 + "1")
        self.assertEqual(first[0], "Answer")
        flood = Flood(program.addresses["ThriftFront"])
        self.wait_for_status(program, lambda s: s["overload"]["admission"]["shed"])
        web, refused = program.ajp_client(), 0
        end = time.monotonic() + WAIT_LIMIT_S
        while not refused and time.monotonic() < end:
            status, headers, _ = web.call("GET", "/reads/1")
            refused += status == 503
            self.assertIn(status, (200, 503, 504))  # 504: the deadline passed
            if status == 503:
                self.assertGreaterEqual(int(headers["Retry-After"]), 1)
            status, _, _ = web.call("POST", "/reads/1", body=b"x" * 9000, rest=b"x" * 814)
            self.assertIn(status, (200, 503, 504))  # 504: the deadline passed
        self.assertTrue(refused)
        again = program.thrift_router().call(method="filing", token="0" * 31 + "1")
        self.assertEqual((again[0], again[2]), ("Answer", first[2]))
        flood.end()
        self.assertEqual(flood.errors, [])
        self.assertEqual(program.kernel.scheduled.qsize(), 0)

    def test_a_graceful_shutdown_while_overloaded_answers_all_that_was_read_and_ends(self):
        program = self.program()
        flood = Flood(program.addresses["ThriftFront"], connections=2, each=20)
        self.wait_for_status(program, lambda s: s["overload"]["loop"]["behind"])
        flood.running = False
        program.process.terminate()
        flood.end()
        self.assertEqual(program.process.wait(WAIT_LIMIT_S), 0)
        self.assertEqual(flood.errors, [])
        self.assertEqual(sum(flood.answer_counts.values()), flood.sent)

    def test_a_reload_changes_the_controller_and_rejects_an_invalid_table(self):
        program = self.program(fault=None)
        self.assertEqual(self.status(program)["overload"]["running"]["controller"], "module")
        program.reload("operators.toml", toml_file({"overload": {"controller": "seek", "most_running": 4}}))
        self.wait_for_status(program, lambda s: s["overload"]["running"]["controller"] == "seek")
        program.reload(
            "operators.toml",
            toml_file({"overload": {"controller": "best"}}),
            event="config_invalid",
        )
        self.assertEqual(self.status(program)["overload"]["running"]["controller"], "seek")
        self.assertEqual(program.thrift_router().call()[0], "Answer")

    def test_a_successor_process_uses_limits_of_its_own(self):
        before = self.program(fault=None)
        client = before.thrift_router()
        token = "a" * 32
        self.assertEqual(client.call(method="filing", token=token)[0], "Answer")
        after = self.start(site=short_deadline_settings(), before=before, kernel=before.kernel, overload={})
        after.wait_until_took_over()
        self.assertEqual(after.thrift_router().call(method="filing", token=token)[2], b"one")
        self.assertEqual(after.thrift_router().call()[0], "Answer")
        self.assertFalse(self.status(after)["overload"]["loop"]["behind"])


class OverloadSettingsTest(WorkerTestCase):
    """The configuration table of overload control, and a worker without it."""

    def test_without_its_table_overload_control_is_neither_loaded_nor_reported(self):
        completed = subprocess.run(
            [sys.executable, "-c", "import ochrehoist.app.worker, sys; print(*sys.modules)"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=WAIT_LIMIT_S,
        )
        loaded = completed.stdout.split()
        self.assertIn("ochrehoist.core.actor", loaded)
        self.assertEqual([m for m in loaded if m.startswith(("ochrehoist.overload", "hdrh"))], [])
        program = self.start(site=site_settings(), kernel=InstantKernel())
        self.assertNotIn("overload", json.loads(program.operator_call()[1]))
        self.assertNotIn("app_loop_delay", program.operator_call(path="/status/metrics")[1])

    def test_each_invalid_setting_is_reported_by_its_key(self):
        base_text = (ROOT / "deploy/ajp.toml").read_text()
        for table, key in (
            ("admission = 1", "overload.admission"),
            ("door = 1", "overload.door"),
            ("door = false\nadmission = false", "overload.door"),
            ('controller = "best"', "overload.controller"),
            ("most_running = 900", "overload.most_running"),
            ("lan = true", "overload.lan"),
            ("least_running = 9\nmost_running = 4", "overload.least_running"),
        ):
            with self.subTest(table):
                path = self.write(base_text + f"\n[overload]\n{table}\n")
                with self.assertRaises(InvalidInputError) as raised:
                    load_appliance(path, {})
                self.assertIn(key, str(raised.exception))

    def test_the_previous_name_of_a_key_is_still_accepted(self):
        base_text = (ROOT / "deploy/ajp.toml").read_text()
        for table, expected in (
            ("", True),
            ("admission = false", False),
            ("door = false", False),
            ("door = true", True),
        ):
            with self.subTest(table):
                config = load_appliance(self.write(base_text + f"\n[overload]\n{table}\n"), {})
                self.assertIs(config.overload.admission, expected)

    def write(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name, "site.toml")
        path.write_text(text)
        return str(path)

    def test_the_example_configuration_is_valid(self):
        completed = run_command("check", str(ROOT / "deploy/overload.toml"))
        self.assertEqual(completed.returncode, 0, completed.stderr)


if __name__ == "__main__":
    unittest.main()
