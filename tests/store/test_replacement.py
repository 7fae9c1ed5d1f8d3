"""A process replaced by another on the same folder."""

import shutil
import signal
from pathlib import Path

from ochrehoist.store.failpoints import HANDOVER_FAILPOINTS
from tests.store.worker_state_case import KILL_AT, State
from tests.support.environment import WAIT_LIMIT_S


class Replaced(State):
    def test_the_store_goes_over_with_the_keys_and_the_next_one_has_it_all(self):
        old = self.start()
        client, busy = old.ajp_client(), old.ajp_client()
        self.file(client, "done")
        old.server.next_request().respond(data=b"by the old")
        client.answer()
        self.file(busy, "running")
        respond = old.server.next_request().respond
        new = self.start(before=old, server=old.server)
        new.wait_until_took_over()
        self.until(lambda: self.store(new)["open"])
        old.process.send_signal(signal.SIGTERM)
        respond(data=b"ended at the old")
        self.assertEqual(busy.answer()[2], b"ended at the old")
        client = new.ajp_client()
        self.file(client, "new")
        new.server.next_request().respond(data=b"by the new")
        self.assertEqual(client.answer()[2], b"by the new")
        self.assertEqual(old.wait_for_exit(), 0)
        self.until(lambda: self.store(new)["waiting"] == 0)
        self.kill(new)
        third = self.start()
        client = third.ajp_client()
        for key, result in (
            ("done", b"by the old"),
            ("running", b"ended at the old"),
            ("new", b"by the new"),
        ):
            self.file(client, key)
            self.assertEqual(client.answer()[2], result)
        self.assertEqual(third.server.received.qsize(), 0)

    def test_either_may_die_at_once_and_no_filing_runs_twice(self):
        for dies in ("old", "new", "both"):
            with self.subTest(dies):
                shutil.rmtree(self.folder, ignore_errors=True)
                old = self.start()
                busy = old.ajp_client()
                self.file(busy, "running")
                old.server.next_request()
                new = self.start(before=old, server=old.server)
                new.wait_until_took_over()
                for program in (old, new):
                    if dies in ("both", "old" if program is old else "new"):
                        self.kill(program)
                for program in (old, new):
                    if program.process.poll() is None:
                        program.process.send_signal(signal.SIGTERM)
                        program.process.wait(WAIT_LIMIT_S)
                third = self.start(server=old.server)
                client = third.ajp_client()
                self.file(client, "running")
                self.assertEqual(client.answer()[0], 502)
                self.assertEqual(old.server.received.qsize(), 0)

    def test_either_may_die_at_each_moment_of_handing_the_store_over(self):
        for point in HANDOVER_FAILPOINTS:
            dying = "new" if point.startswith("open") else "old"
            with self.subTest(point):
                shutil.rmtree(self.folder, ignore_errors=True)
                fault = {"fault": KILL_AT.format(point=point, nth=1)}
                old = self.start(**(fault if dying == "old" else {}))
                client, busy = old.ajp_client(), old.ajp_client()
                self.file(client, "done")
                old.server.next_request().respond(data=b"by the old")
                client.answer()
                self.file(busy, "running")
                old.server.next_request()
                self.recorded(old, 3)
                # One file serves both as they start: what the old one has read stays with it.
                Path(old.folder.name, "sitecustomize.py").unlink(missing_ok=True)
                new = self.start(before=old, server=old.server, **(fault if dying == "new" else {}))
                gone, left = (old, new) if dying == "old" else (new, old)
                self.assertEqual(gone.process.wait(WAIT_LIMIT_S), -signal.SIGKILL)
                if left is new:
                    new.wait_until_took_over()
                    self.until(lambda new=new: self.store(new)["open"])
                    client = new.ajp_client()
                    self.file(client, "done")
                    self.assertEqual(client.answer()[2], b"by the old")
                    self.file(client, "running")
                    self.assertIn(client.answer()[0], (502, 504))
                self.kill(left)
                Path(old.folder.name, "sitecustomize.py").unlink(missing_ok=True)
                third = self.start(server=old.server)
                client = third.ajp_client()
                self.file(client, "done")
                self.assertEqual(client.answer()[2], b"by the old")
                self.file(client, "running")
                self.assertEqual(client.answer()[0], 502)
                self.assertEqual(old.server.received.qsize(), 0)
