"""Workers killed in the middle of a change."""

import random
import tempfile
import threading
from pathlib import Path

from tests.app.reload_case import SEED, Changes
from tests.stand_ins.ajp_server import AjpServer


class NumberingServer(AjpServer):
    """Answers each request at once, by the number of its run."""

    def __init__(self):
        super().__init__()
        self.runs = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            respond = self.received.get().respond
            self.runs += 1
            respond(200, b"run %d" % self.runs)


class Killed(Changes):
    def test_killed_in_the_middle_of_a_change_it_starts_with_the_file_as_it_is_then(self):
        """And what was filed before is known: a repeat gets its result, and runs nothing."""
        rng, server = random.Random(SEED), NumberingServer()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        state, filed = {"folder": str(Path(folder.name, "state")), "stall_ms": 10_000}, []
        appliance = None
        for number in range(1, 5):
            program = self.start(server=server, state=state, appliance=appliance)
            program.wait_for(lambda status: status["state"] == "up")
            if appliance is not None:
                self.in_force(program, number - 1)
            web = program.ajp_client()
            if appliance is not None:
                self.assertEqual(self.asked(web, f"v{number}", f"/v{number}/x"), 404)
            for key, body in filed:
                self.assertEqual(self.file(web, key)[::2], (200, body))
            status, _, body = self.file(web, f"k{number}")
            self.assertEqual((status, body), (200, b"run %d" % server.runs))
            filed.append((f"k{number}", body))
            # One killed right behind an answer may lack its end, and its repeat is told 502: as stated.
            program.wait_for(lambda status: "'waiting': 0" in status["store"])
            appliance = self.version(program, number)
            self.replace(program, appliance)
            self.order(program)
            for _ in range(rng.randrange(4)):  # a moment that differs, told by round trips
                self.asked(web, "t1", "/reads/1")
            program.process.kill()
            program.process.wait()
        self.assertTrue(server.received.empty())

    def file(self, web, key):
        return web.call("POST", "/filings", {"Idempotency-Key": key, "X-Tenant": "t1"}, b"doc")
