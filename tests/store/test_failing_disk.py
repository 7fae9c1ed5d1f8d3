"""A disk that stalls or fails under a running worker."""

import os
import time

from tests.store.worker_state_case import State

# The n-th commit from the start waits, fails or finds no room, as a file beside says; others go well.
BAD_DISK = """
import time, os, errno
import apsw
from ochrehoist.store.database import Database
from ochrehoist.store.errors import FailureKind, StoreFailedError
plain = Database.commit
def commit(self, ops):
    try:
        words = open({file!r}).read().split()
    except OSError:
        words = []
    if words[:1] == ["stall"]:
        while os.path.exists({file!r}):
            time.sleep(0.005)
    elif words[:1] == ["fail"]:
        raise StoreFailedError(FailureKind[words[1]], "as the test wants it")
    return plain(self, ops)
Database.commit = commit
"""


class BadDisk(State):
    def setUp(self):
        super().setUp()
        self.words = self.base / "words"
        self.program = self.start(fault=BAD_DISK.format(file=str(self.words)))
        self.client, self.reader = self.program.ajp_client(), self.program.ajp_client()

    def say(self, words):
        other = self.base / "other"
        other.write_text(words)
        os.replace(other, self.words)

    def read(self):
        self.reader.request()
        self.program.server.next_request().respond(data=b"read")
        began = time.monotonic()
        self.assertEqual(self.reader.answer()[2], b"read")
        return time.monotonic() - began

    def good_again(self, key="after"):
        self.words.unlink()
        self.until(lambda: not self.store(self.program)["refuses"])
        self.file(self.client, key)
        self.program.server.next_request().respond(data=b"fine")
        self.assertEqual(self.client.answer()[2], b"fine")

    def test_a_disk_that_stalls_delays_filings_only_and_begins_none_of_them(self):
        self.say("stall")
        began = time.monotonic()
        self.file(self.client, "k")
        status, headers, _ = self.client.answer()
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))
        self.assertLess(time.monotonic() - began, 1.8)
        began = time.monotonic()
        self.file(self.client, "later")
        self.assertEqual(self.client.answer()[0], 503)  # and at once from then on
        self.assertIn("does not answer", self.store(self.program)["refuses"])
        self.assertLess(self.read(), 1.0)
        self.good_again()
        self.file(self.client, "k")
        self.program.server.next_request().respond(data=b"first run")
        self.assertEqual(self.client.answer()[2], b"first run")
        self.assertEqual(self.program.server.received.qsize(), 0)

    def test_a_disk_that_fails_refuses_filings_and_recovers_by_itself(self):
        self.file(self.client, "before")
        self.program.server.next_request().respond(data=b"kept")
        self.client.answer()
        self.recorded(self.program, 2)
        for error in ("FULL", "READ_ONLY", "SYNC", "IO"):
            with self.subTest(error):
                self.say(f"fail {error}")
                self.file(self.client, f"k {error}")
                self.assertEqual(self.client.answer()[0], 503)
                self.assertTrue(self.store(self.program)["trouble"])
                self.read()
                self.file(self.client, "before")
                self.assertEqual(self.client.answer()[2], b"kept")  # what is known is given on
                self.good_again(f"after {error}")
        self.kill(self.program)
        second = self.start()
        client = second.ajp_client()
        self.file(client, "before")
        self.assertEqual(client.answer()[2], b"kept")
        self.file(client, "k SYNC")  # it was refused, so it never began
        second.server.next_request().respond(data=b"now")
        self.assertEqual(client.answer()[2], b"now")
        self.assertEqual(second.logged("store_data_lost"), [])
