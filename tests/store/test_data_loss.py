"""Workers after a data loss and on unmounted folders: responses, status and log."""

from tests.store.worker_state_case import WorkerStateTestCase
from tests.support.worker_process import run_command


class DataLossTest(WorkerStateTestCase):
    """A folder whose store was destroyed."""

    def destroy_store(self):
        """Runs one filing, kills the worker and overwrites the store."""
        first = self.start()
        client = first.ajp_client()
        self.send_filing(client, "k")
        first.server.next_request().respond(data=b"one")
        client.answer()
        self.wait_for_operations(first, 2)
        self.kill(first)
        path = next(p for p in self.folder.iterdir() if p.name.startswith("state-") and p.suffix == ".db")
        for log_suffix in ("-wal", "-shm"):
            path.with_name(path.name + log_suffix).unlink(missing_ok=True)
        path.write_bytes(b"no store at all" * 100)

    def test_filings_are_rejected_with_the_remaining_hold_as_retry_after_and_reads_are_served(self):
        self.destroy_store()
        second = self.start()
        client = second.ajp_client()
        self.send_filing(client, "k")
        status, headers, _ = client.answer()
        self.assertEqual(status, 503)
        retry_after_s = next(int(value) for name, value in headers.items() if name == "Retry-After")
        self.assertTrue(800 < retry_after_s <= 901, headers)
        client.request()
        second.server.next_request().respond(data=b"read")
        self.assertEqual(client.answer()[2], b"read")
        section = self.store_status(second)
        self.assertEqual((section["losses"], len(section["set_aside"])), (1, 1))
        self.assertTrue((self.folder / section["set_aside"][0]).exists())
        self.assertTrue(second.logged("damaged_store_set_aside"))
        self.kill(second)
        third = self.start()
        client = third.ajp_client()
        self.send_filing(client, "new")
        self.assertEqual(client.answer()[0], 503)  # the hold continues after a restart
        self.assertEqual(self.store_status(third)["losses"], 0)

    def test_a_worker_configured_to_serve_after_a_loss_serves_and_logs_it(self):
        self.destroy_store()
        second = self.start(state={"on_loss": "serve"})
        client = second.ajp_client()
        self.send_filing(client, "k")
        second.server.next_request().respond(data=b"again")
        self.assertEqual(client.answer()[2], b"again")
        self.assertEqual(second.logged("store_data_lost")[0]["on_loss"], "serve")


class UnmountedFolderTest(WorkerStateTestCase):
    """A folder whose volume is not mounted yet."""

    def test_a_worker_waits_for_a_store_that_must_exist_and_creates_none(self):
        volume = self.base / "volume"
        completed = run_command("state", "init", "--folder", str(volume))
        self.assertEqual(completed.returncode, 0, completed.stderr)
        # A second initialisation fails, since the folder holds a store.
        self.assertEqual(run_command("state", "init", "--folder", str(volume)).returncode, 1)
        volume.rename(self.folder)
        first = self.start(state={"must_exist": True})
        client = first.ajp_client()
        self.send_filing(client, "k")
        first.server.next_request().respond(data=b"one")
        self.assertEqual(client.answer()[2], b"one")
        self.wait_for_operations(first, 2)
        self.kill(first)
        self.folder.rename(volume)
        for folder_exists in (False, True):  # True: an empty mount point
            if folder_exists:
                self.folder.mkdir()
            second = self.start(state={"must_exist": True})
            client, reader = second.ajp_client(), second.ajp_client()
            self.send_filing(client, "k")
            self.assertEqual(client.answer()[0], 502)  # the outcome is unknown: the filing may have run
            reader.request()
            second.server.next_request().respond(data=b"read")
            self.assertEqual(reader.answer()[2], b"read")
            self.assertIn("mounted", self.store_status(second)["trouble"])
            self.assertEqual(list(self.folder.iterdir()) if folder_exists else [], [])
            if not folder_exists:
                self.kill(second)
        self.folder.rmdir()
        volume.rename(self.folder)
        self.wait_until(lambda: self.store_status(second)["open"])
        self.send_filing(client, "k")
        self.assertEqual(client.answer()[2], b"one")
        self.assertEqual(second.server.received.qsize(), 0)
