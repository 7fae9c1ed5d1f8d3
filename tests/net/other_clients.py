"""The base class of tests in which some clients behave badly, and others must be answered in time."""

import fcntl
import tempfile
import time
from pathlib import Path

from tests.support.worker_cases import WorkerTestCase

ANSWER_LIMIT_S = 1.8  # the latency objective of deploy/ajp.toml
KB_PER_MB = 1024
LOCK_PATH = Path(tempfile.gettempdir(), "ochrehoist-badly-behaved-clients.lock")


class OtherClientsTestCase(WorkerTestCase):
    """Asks a program with both fronts for answers, on new connections, and looks at its memory.

    Attributes:
        program: The program; set by subclasses.
        answer_times_s: How long each answer took.
    """

    def setUp(self):
        """Starts without answers, once no other test of this kind runs on the machine.

        Each takes some cores for seconds, and tests of fleets beside it depend on time.
        """
        lock = self.enterContext(LOCK_PATH.open("w"))
        fcntl.flock(lock, fcntl.LOCK_EX)
        self.answer_times_s = []

    def memory_mb(self, field):
        """Returns a field of the process's memory: VmRSS, what it has now, or VmHWM, the most that it had."""
        status = Path(f"/proc/{self.program.process.pid}/status").read_text()
        return int(status.split(f"{field}:")[1].split()[0]) / KB_PER_MB

    def ask(self):
        """Times one request on a new connection at each front, and at the operators' address."""
        for ask in (self._ask_ajp, self._ask_thrift, self.program.operator_call):
            started_s = time.monotonic()
            ask()
            self.answer_times_s.append(time.monotonic() - started_s)

    def _ask_ajp(self):
        client = self.program.ajp_client()
        client.call()
        client.close()

    def _ask_thrift(self):
        router = self.program.thrift_router()
        router.ping()
        router.close()

    def ask_while(self, condition):
        """Asks again and again while `condition` returns True, and once more after that."""
        while condition():
            self.ask()
            time.sleep(0.02)
        self.ask()

    def assert_answered_in_time(self):
        """Checks the longest answer so far, and that the process goes on."""
        self.assertLess(max(self.answer_times_s), ANSWER_LIMIT_S)
        self.assertIsNone(self.program.process.poll())
