"""Data loss and folders that are not mounted: what is served, and what is said."""

from tests.store.worker_state_case import State
from tests.support.worker_process import run_command


class DataLossRecord(State):
    def lose(self):
        first = self.start()
        client = first.ajp_client()
        self.file(client, "k")
        first.server.next_request().respond(data=b"one")
        client.answer()
        self.recorded(first, 2)
        self.kill(first)
        path = next(p for p in self.folder.iterdir() if p.name.startswith("state-") and p.suffix == ".db")
        for ending in ("-wal", "-shm"):
            path.with_name(path.name + ending).unlink(missing_ok=True)
        path.write_bytes(b"no store at all" * 100)

    def test_filings_are_refused_with_the_time_that_is_left_and_reads_served(self):
        self.lose()
        second = self.start()
        client = second.ajp_client()
        self.file(client, "k")
        status, headers, _ = client.answer()
        self.assertEqual(status, 503)
        wait = next(int(v) for n, v in headers.items() if n == "Retry-After")
        self.assertTrue(800 < wait <= 901, headers)
        client.request()
        second.server.next_request().respond(data=b"read")
        self.assertEqual(client.answer()[2], b"read")
        view = self.store(second)
        self.assertEqual((view["losses"], len(view["set_aside"])), (1, 1))
        self.assertTrue((self.folder / view["set_aside"][0]).exists())
        self.assertTrue(second.logged("damaged_store_set_aside"))
        self.kill(second)
        third = self.start()
        client = third.ajp_client()
        self.file(client, "new")
        self.assertEqual(client.answer()[0], 503)  # the hold outlives a restart
        self.assertEqual(self.store(third)["losses"], 0)

    def test_who_takes_the_risk_serves_and_says_so(self):
        self.lose()
        second = self.start(state={"on_loss": "serve"})
        client = second.ajp_client()
        self.file(client, "k")
        second.server.next_request().respond(data=b"again")
        self.assertEqual(client.answer()[2], b"again")
        self.assertEqual(second.logged("store_data_lost")[0]["on_loss"], "serve")


class Unmounted(State):
    def test_a_store_that_must_exist_is_waited_for_and_none_is_made_in_its_place(self):
        volume = self.base / "volume"
        done = run_command("state", "init", "--folder", str(volume))
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertEqual(run_command("state", "init", "--folder", str(volume)).returncode, 1)  # there is one
        volume.rename(self.folder)
        first = self.start(state={"must_exist": True})
        client = first.ajp_client()
        self.file(client, "k")
        first.server.next_request().respond(data=b"one")
        self.assertEqual(client.answer()[2], b"one")
        self.recorded(first, 2)
        self.kill(first)
        self.folder.rename(volume)  # as a mount point without its volume, or with an empty folder there
        for there in (False, True):
            if there:
                self.folder.mkdir()
            second = self.start(state={"must_exist": True})
            client, reader = second.ajp_client(), second.ajp_client()
            self.file(client, "k")
            self.assertEqual(client.answer()[0], 502)  # it may have run: neither run nor refused
            reader.request()
            second.server.next_request().respond(data=b"read")
            self.assertEqual(reader.answer()[2], b"read")
            self.assertIn("mounted", self.store(second)["trouble"])
            self.assertEqual(list(self.folder.iterdir()) if there else [], [])
            if not there:
                self.kill(second)
        self.folder.rmdir()
        volume.rename(self.folder)
        self.until(lambda: self.store(second)["open"])
        self.file(client, "k")
        self.assertEqual(client.answer()[2], b"one")
        self.assertEqual(second.server.received.qsize(), 0)
