"""Running workers on a disk that stalls or fails."""

import os
import time

from tests.store.worker_state_case import WorkerStateTestCase

# Code that runs in the worker: commits stall or fail as long as the file at {file!r} says so.
FAULTY_COMMIT = """
import time, os, errno
import apsw
from ochrehoist.store.database import Database
from ochrehoist.store.errors import FailureKind, StoreFailedError
original_commit = Database.commit
def commit(self, operations):
    try:
        fault = open({file!r}).read().split()
    except OSError:
        fault = []
    if fault[:1] == ["stall"]:
        while os.path.exists({file!r}):
            time.sleep(0.005)
    elif fault[:1] == ["fail"]:
        raise StoreFailedError(FailureKind[fault[1]], "injected failure")
    return original_commit(self, operations)
Database.commit = commit
"""


class FailingDiskTest(WorkerStateTestCase):
    """A worker whose commits stall or fail on demand."""

    def setUp(self):
        super().setUp()
        self.fault_file = self.base / "fault"
        self.program = self.start(fault=FAULTY_COMMIT.format(file=str(self.fault_file)))
        self.client, self.reader = self.program.ajp_client(), self.program.ajp_client()

    def inject(self, fault):
        new_file = self.base / "new_fault"
        new_file.write_text(fault)
        os.replace(new_file, self.fault_file)

    def read(self):
        """Sends a read, and returns the time in s until its response."""
        self.reader.request()
        self.program.server.next_request().respond(data=b"read")
        started_at = time.monotonic()
        self.assertEqual(self.reader.answer()[2], b"read")
        return time.monotonic() - started_at

    def end_fault(self, key="after"):
        """Removes the fault, and sends a filing once the worker accepts them again."""
        self.fault_file.unlink()
        self.wait_until(lambda: not self.store_status(self.program)["refuses"])
        self.send_filing(self.client, key)
        self.program.server.next_request().respond(data=b"fine")
        self.assertEqual(self.client.answer()[2], b"fine")

    def test_a_stalled_disk_rejects_filings_without_running_them_and_does_not_delay_reads(self):
        self.inject("stall")
        started_at = time.monotonic()
        self.send_filing(self.client, "k")
        status, headers, _ = self.client.answer()
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))
        self.assertLess(time.monotonic() - started_at, 1.8)
        started_at = time.monotonic()
        self.send_filing(self.client, "later")
        self.assertEqual(self.client.answer()[0], 503)  # rejected at once, since the stall is known
        self.assertIn("does not answer", self.store_status(self.program)["refuses"])
        self.assertLess(self.read(), 1.0)
        self.end_fault()
        self.send_filing(self.client, "k")
        self.program.server.next_request().respond(data=b"first run")
        self.assertEqual(self.client.answer()[2], b"first run")
        self.assertEqual(self.program.server.received.qsize(), 0)

    def test_a_failing_disk_rejects_filings_and_the_worker_recovers_without_a_restart(self):
        self.send_filing(self.client, "before")
        self.program.server.next_request().respond(data=b"kept")
        self.client.answer()
        self.wait_for_operations(self.program, 2)
        for error in ("FULL", "READ_ONLY", "SYNC", "IO"):
            with self.subTest(error):
                self.inject(f"fail {error}")
                self.send_filing(self.client, f"k {error}")
                self.assertEqual(self.client.answer()[0], 503)
                self.assertTrue(self.store_status(self.program)["trouble"])
                self.read()
                self.send_filing(self.client, "before")
                self.assertEqual(self.client.answer()[2], b"kept")  # stored results are still served
                self.end_fault(f"after {error}")
        self.kill(self.program)
        second = self.start()
        client = second.ajp_client()
        self.send_filing(client, "before")
        self.assertEqual(client.answer()[2], b"kept")
        self.send_filing(client, "k SYNC")  # it was rejected, so it has not run
        second.server.next_request().respond(data=b"now")
        self.assertEqual(client.answer()[2], b"now")
        self.assertEqual(second.logged("store_data_lost"), [])
