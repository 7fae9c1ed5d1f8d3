"""A test case of workers on a store folder of its own."""

import json
import shutil
import tempfile
import time
from pathlib import Path
from typing import Any, ClassVar

from tests.support.environment import MEMORY_FOLDER, WAIT_LIMIT_S
from tests.support.site_settings import long_window_settings
from tests.support.worker_cases import WorkerTestCase

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


class WorkerStateTestCase(WorkerTestCase):
    """Starts workers on one store folder, one after the other."""

    how: ClassVar[dict[str, Any]] = {"thrift": False, "ajp": True}
    where = MEMORY_FOLDER
    patience: ClassVar[dict[str, Any]] = {}

    def setUp(self):
        """Makes the folder's place."""
        self.base = Path(tempfile.mkdtemp(dir=self.where))
        self.addCleanup(shutil.rmtree, self.base)
        self.folder = self.base / "state"

    def start(self, state=None, **more):
        """A worker on the folder; `state`: more keys of its table."""
        values = {"folder": str(self.folder)} | self.patience | (state or {})
        return super().start(**self.how | {"site": long_window_settings(), "state": values} | more)

    def kill(self, program):
        """Kills a worker."""
        program.process.kill()
        program.process.wait()

    def file(self, client, key, body=b"doc"):
        """Sends a filing."""
        client.request("POST", "/filings", {"Idempotency-Key": key, "X-Tenant": "acme"}, body)

    def store(self, program):
        """What the status says of the store."""
        return json.loads(program.operator_call()[1])["store"]

    def recorded(self, program, operations):
        """Waits until so many operations are on record."""
        until = time.monotonic() + WAIT_LIMIT_S
        while self.store(program)["operations"] < operations:
            self.assertLess(time.monotonic(), until, self.store(program))

    def until(self, holds):
        """Waits until it holds."""
        until = time.monotonic() + WAIT_LIMIT_S
        while not holds():
            self.assertLess(time.monotonic(), until)
            time.sleep(0.002)
