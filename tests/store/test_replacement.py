"""Handover of a state folder from a worker process to its replacement."""

import shutil
import signal
from pathlib import Path

from ochrehoist.store.failpoints import HANDOVER_FAILPOINTS
from tests.store.worker_state_case import KILL_AT, WorkerStateTestCase
from tests.support.environment import WAIT_LIMIT_S


class ReplacementTest(WorkerStateTestCase):
    """Replacement of a process, also with kills of either process."""

    def test_the_replacement_takes_over_the_store_and_knows_all_filings(self):
        old = self.start()
        client, busy = old.ajp_client(), old.ajp_client()
        self.send_filing(client, "done")
        old.server.next_request().respond(data=b"by the old")
        client.answer()
        self.send_filing(busy, "running")
        respond = old.server.next_request().respond
        new = self.start(before=old, server=old.server)
        new.wait_until_took_over()
        self.wait_until(lambda: self.store_status(new)["open"])
        old.process.send_signal(signal.SIGTERM)
        respond(data=b"ended at the old")
        self.assertEqual(busy.answer()[2], b"ended at the old")
        client = new.ajp_client()
        self.send_filing(client, "new")
        new.server.next_request().respond(data=b"by the new")
        self.assertEqual(client.answer()[2], b"by the new")
        self.assertEqual(old.wait_for_exit(), 0)
        self.wait_until(lambda: self.store_status(new)["waiting"] == 0)
        self.kill(new)
        third = self.start()
        client = third.ajp_client()
        for key, result in (
            ("done", b"by the old"),
            ("running", b"ended at the old"),
            ("new", b"by the new"),
        ):
            self.send_filing(client, key)
            self.assertEqual(client.answer()[2], result)
        self.assertEqual(third.server.received.qsize(), 0)

    def test_no_filing_runs_twice_if_either_process_is_killed_after_the_takeover(self):
        for killed in ("old", "new", "both"):
            with self.subTest(killed):
                shutil.rmtree(self.folder, ignore_errors=True)
                old = self.start()
                busy = old.ajp_client()
                self.send_filing(busy, "running")
                old.server.next_request()
                new = self.start(before=old, server=old.server)
                new.wait_until_took_over()
                for program in (old, new):
                    if killed in ("both", "old" if program is old else "new"):
                        self.kill(program)
                for program in (old, new):
                    if program.process.poll() is None:
                        program.process.send_signal(signal.SIGTERM)
                        program.process.wait(WAIT_LIMIT_S)
                third = self.start(server=old.server)
                client = third.ajp_client()
                self.send_filing(client, "running")
                self.assertEqual(client.answer()[0], 502)
                self.assertEqual(old.server.received.qsize(), 0)

    def test_no_filing_runs_twice_if_a_process_is_killed_at_any_failpoint_of_the_handover(self):
        for point in HANDOVER_FAILPOINTS:
            killed = "new" if point.startswith("open") else "old"
            with self.subTest(point):
                shutil.rmtree(self.folder, ignore_errors=True)
                fault = {"fault": KILL_AT.format(point=point, nth=1)}
                old = self.start(**(fault if killed == "old" else {}))
                client, busy = old.ajp_client(), old.ajp_client()
                self.send_filing(client, "done")
                old.server.next_request().respond(data=b"by the old")
                client.answer()
                self.send_filing(busy, "running")
                old.server.next_request()
                self.wait_for_operations(old, 3)
                # Both processes use one fault file at their start; the old process has loaded it already.
                Path(old.folder.name, "sitecustomize.py").unlink(missing_ok=True)
                new = self.start(before=old, server=old.server, **(fault if killed == "new" else {}))
                killed_program, survivor = (old, new) if killed == "old" else (new, old)
                self.assertEqual(killed_program.process.wait(WAIT_LIMIT_S), -signal.SIGKILL)
                if survivor is new:
                    new.wait_until_took_over()
                    self.wait_until(lambda new=new: self.store_status(new)["open"])
                    client = new.ajp_client()
                    self.send_filing(client, "done")
                    self.assertEqual(client.answer()[2], b"by the old")
                    self.send_filing(client, "running")
                    self.assertIn(client.answer()[0], (502, 504))
                self.kill(survivor)
                Path(old.folder.name, "sitecustomize.py").unlink(missing_ok=True)
                third = self.start(server=old.server)
                client = third.ajp_client()
                self.send_filing(client, "done")
                self.assertEqual(client.answer()[2], b"by the old")
                self.send_filing(client, "running")
                self.assertEqual(client.answer()[0], 502)
                self.assertEqual(old.server.received.qsize(), 0)
