"""A test case that runs workers on one state folder."""

import json
import shutil
import tempfile
import time
from pathlib import Path
from typing import Any, ClassVar

from tests.support.environment import MEMORY_FOLDER, WAIT_LIMIT_S
from tests.support.site_settings import long_window_settings
from tests.support.worker_cases import WorkerTestCase

# Code that runs in the worker, and kills it when it reaches a failpoint for the n-th time.
KILL_AT = """
import os, signal
from ochrehoist.store import failpoints
remaining = [{nth}]
def reached(point):
    if point == {point.value!r}:
        remaining[0] -= 1
        if not remaining[0]:
            os.kill(os.getpid(), signal.SIGKILL)
failpoints.reached = reached
"""


class WorkerStateTestCase(WorkerTestCase):
    """A test case that starts workers on one state folder, one after the other.

    Subclasses can change the options of all workers, the folder in which the state folder is created, and
    further settings of the `[state]` table.
    """

    worker_options: ClassVar[dict[str, Any]] = {"thrift": False, "ajp": True}
    parent_folder = MEMORY_FOLDER
    state_settings: ClassVar[dict[str, Any]] = {}

    def setUp(self):
        """Creates the parent of the state folder."""
        self.base = Path(tempfile.mkdtemp(dir=self.parent_folder))
        self.addCleanup(shutil.rmtree, self.base)
        self.folder = self.base / "state"

    def start(self, state=None, **options):
        """Starts a worker on the folder; `state` are further keys of the `[state]` table."""
        values = {"folder": str(self.folder)} | self.state_settings | (state or {})
        return super().start(
            **self.worker_options | {"site": long_window_settings(), "state": values} | options
        )

    def kill(self, program):
        """Kills a worker with SIGKILL, and waits for its end."""
        program.process.kill()
        program.process.wait()

    def send_filing(self, client, key, body=b"doc"):
        """Sends a filing without waiting for the response."""
        client.request("POST", "/filings", {"Idempotency-Key": key, "X-Tenant": "acme"}, body)

    def store_status(self, program):
        """Returns the section `store` of a worker's status."""
        return json.loads(program.operator_call()[1])["store"]

    def wait_for_operations(self, program, operations):
        """Waits until the worker has committed at least this number of operations."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while self.store_status(program)["operations"] < operations:
            self.assertLess(time.monotonic(), deadline, self.store_status(program))

    def wait_until(self, condition):
        """Waits until the function `condition` returns a true value."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.002)
