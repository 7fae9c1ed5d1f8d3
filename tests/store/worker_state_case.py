"""A test case of workers on a store folder of its own."""

import json
import shutil
import tempfile
import time
import unittest
from pathlib import Path

from tests.support.environment import MEMORY_FOLDER, WAIT_LIMIT_S
from tests.support.site_settings import long_window_settings
from tests.support.worker_process import WorkerProcess

KILL_AT = """
import os, signal
from ochrehoist.store import failpoints
left = [{nth}]
def reached(point):
    if point == {point.value!r}:
        left[0] -= 1
        if not left[0]:
            os.kill(os.getpid(), signal.SIGKILL)
failpoints.reached = reached
"""


class State(unittest.TestCase):
    how = {"thrift": False, "ajp": True}
    where = MEMORY_FOLDER
    patience: dict = {}

    def setUp(self):
        self.base = Path(tempfile.mkdtemp(dir=self.where))
        self.addCleanup(shutil.rmtree, self.base)
        self.folder = self.base / "state"

    def start(self, state=None, **more):
        values = {"folder": str(self.folder)} | self.patience | (state or {})
        program = WorkerProcess(**self.how | {"site": long_window_settings(), "state": values} | more)
        self.addCleanup(program.close)
        return program

    def kill(self, program):
        program.process.kill()
        program.process.wait()

    def file(self, client, key, body=b"doc"):
        client.request("POST", "/filings", {"Idempotency-Key": key, "X-Tenant": "acme"}, body)

    def store(self, program):
        return json.loads(program.operator_call()[1])["store"]

    def recorded(self, program, operations):
        until = time.monotonic() + WAIT_LIMIT_S
        while self.store(program)["operations"] < operations:
            self.assertLess(time.monotonic(), until, self.store(program))

    def until(self, holds):
        until = time.monotonic() + WAIT_LIMIT_S
        while not holds():
            self.assertLess(time.monotonic(), until)
            time.sleep(0.002)
