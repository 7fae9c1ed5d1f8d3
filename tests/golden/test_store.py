"""A store folder that workers of 000e6de left, and its export: by the command line and by a real worker."""

import json
import shutil
import signal
import tempfile
import unittest
from pathlib import Path

from tests.support.environment import FIXTURES
from tests.support.site_settings import site_settings
from tests.support.worker_process import WorkerProcess, run_command

GOLDEN = FIXTURES / "000e6de" / "store"
FIFTY_YEARS_S = 50 * 365 * 86_400
IDEMPOTENCY_WINDOW_NS = FIFTY_YEARS_S * 10**9  # as tests/golden/make_golden.py has it


def long_lived_settings():
    values = site_settings()
    values["Classes"][1]["Window"] = IDEMPOTENCY_WINDOW_NS
    return values


class GoldenStoreTest(unittest.TestCase):
    """The folder and its export, read, checked and taken over."""

    def setUp(self):
        self.base = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.folder = self.base / "state"
        shutil.copytree(GOLDEN / "folder", self.folder)

    def state(self, *arguments, folder=None):
        done = run_command("state", *arguments, "--folder", str(folder or self.folder))
        self.assertEqual(done.returncode, 0, done.stderr)
        return done.stdout

    def exported(self, folder=None):
        """The lines of an export: of the head, all but the moment of the export."""
        path = self.base / "export.jsonl"
        self.state("export", str(path), folder=folder)
        return self.lines(path)

    def lines(self, path):
        head, *rest = path.read_bytes().splitlines(keepends=True)
        head = json.loads(head)
        self.assertEqual(len(head.pop("at")), 3)
        return [head, *rest]

    def test_it_is_sound_and_holds_what_was_begun_and_finished(self):
        self.assertEqual(self.state("check").strip(), "sound")
        shown = json.loads(self.state("show", "--json"))
        found = {name: shown[name] for name in ("filings", "with_result", "may_have_run", "over", "learned")}
        self.assertEqual(
            found, {"filings": 5, "with_result": 4, "may_have_run": 1, "over": 0, "learned": True}
        )
        self.assertEqual((shown["state"], shown["why"], shown["store"]), ("sound", [], "state-2.db"))

    def test_its_export_is_the_same_byte_for_byte(self):
        self.assertEqual(self.exported(), self.lines(GOLDEN / "export.jsonl"))

    def test_an_export_of_then_is_imported_and_exported_the_same(self):
        other = self.base / "other"
        self.state("import", str(GOLDEN / "export.jsonl"), folder=other)
        self.assertEqual(sorted(self.exported(other)[1:]), sorted(self.lines(GOLDEN / "export.jsonl")[1:]))

    def test_a_worker_serves_it_and_leaves_the_learned_state_under_the_same_names(self):
        # With the default half-life the rates of an older fixture are too low to be stored again.
        state = {"folder": str(self.folder), "learned_half_life_s": FIFTY_YEARS_S}
        program = WorkerProcess(thrift=False, ajp=True, site=long_lived_settings(), state=state)
        self.addCleanup(program.close)
        client = program.ajp_client()

        def submit(key, body):
            client.request("POST", "/filings", {"Idempotency-Key": key, "X-Tenant": "acme"}, body)
            return client.answer()

        for number in range(3):
            status, headers, body = submit(f"finished-{number}", b"document %d" % number)
            self.assertEqual((status, headers["X-Made-By"], body), (200, "server", b"result %d" % number))
        self.assertEqual(submit("finished-0", b"another document")[0], 422)
        self.assertEqual(
            submit("failed", b"document of the failed one")[::2], (500, b"refused by the server")
        )
        self.assertEqual(submit("begun", b"document that was begun")[0], 502)
        self.assertEqual(program.server.received.qsize(), 0)
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual(program.wait_for_exit(), 0)
        then, now = (
            next(json.loads(line) for line in lines if b'"kind":"learned"' in line)
            for lines in (self.lines(GOLDEN / "export.jsonl")[1:], self.exported()[1:])
        )
        self.assertEqual((then["layout"], list(then["values"])), (now["layout"], list(now["values"])))
        for name, value in then["values"].items():
            if isinstance(value, dict):
                self.assertEqual((name, list(value)), (name, list(now["values"][name])))
