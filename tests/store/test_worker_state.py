"""What survives the process: the real program on a folder of its own, ended and started again."""

import json
import os
import shutil
import signal
import tempfile
import time
import unittest
from pathlib import Path

from ochrehoist.lab.toml import toml_file
from ochrehoist.store.failpoints import HANDOVER_FAILPOINTS, REQUEST_FAILPOINTS
from tests.stand_ins.moving_kernel import MovingKernel
from tests.support.crash_load import CrashLoad
from tests.support.environment import MEMORY_FOLDER, MS, WAIT_LIMIT_S
from tests.support.site_settings import long_window_settings, site_settings
from tests.support.worker_process import WorkerProcess, run_command

KILLS = int(os.environ.get("KILLS", "12"))
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
# Some seconds pass on all clocks while the store is opened, and more once a file is there.
TIME_PASSES = """
import os, time
from ochrehoist.store import folder_session
flag, passed = os.path.join(os.path.dirname(__file__), "later"), [0]
unix, steady, up = time.time_ns, time.monotonic_ns, time.clock_gettime_ns
later = lambda: (passed[0] + {later} * os.path.exists(flag)) * 10**9
time.time_ns = lambda: unix() + later()
time.monotonic_ns = lambda: steady() + later()
time.clock_gettime_ns = lambda which: up(which) + later()
plain = folder_session.open_store
def open_store(*args):
    passed[0] = {opening}
    return plain(*args)
folder_session.open_store = open_store
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


class Restart(State):
    # A crowded machine is no stalled disk: what a stall means is tested elsewhere.
    patience = {"stall_ms": 10_000}

    where = None  # on a real disk, with all its syncs

    def test_ends_are_given_again_what_began_is_not_run_and_what_did_not_is(self):
        first = self.start()
        client, other = first.ajp_client(), first.ajp_client()
        self.file(client, "done")
        first.server.next_request().respond(data=b"result")
        self.assertEqual(client.answer()[2], b"result")
        self.file(client, "begun")
        first.server.next_request()
        self.file(other, "begun too")
        first.server.next_request()
        third = first.ajp_client()
        self.file(third, "held")  # two cores, both taken: it never begins
        self.recorded(first, 4)
        self.kill(first)
        second = self.start()
        client = second.ajp_client()
        for _ in range(2):
            self.file(client, "done")
            self.assertEqual(client.answer()[::2], (200, b"result"))
            self.file(client, "begun")
            self.assertEqual(client.answer()[0], 502)
        self.file(client, "done", b"other content")
        self.assertEqual(client.answer()[0], 422)
        self.assertEqual(second.server.received.qsize(), 0)
        self.file(client, "held")
        second.server.next_request().respond(data=b"now")
        self.assertEqual(client.answer()[2], b"now")

    def test_a_drained_worker_leaves_all_on_record_and_what_it_learned(self):
        first = self.start()
        client = first.ajp_client()
        for n in range(5):
            self.file(client, f"k{n}")
            first.server.next_request().respond(data=b"result %d" % n)
            client.answer()
        first.process.send_signal(signal.SIGTERM)
        self.assertEqual(first.wait_for_exit(), 0)
        shown = run_command("state", "show", "--json", "--folder", str(self.folder))
        self.assertTrue(json.loads(shown.stdout)["learned"])
        second = self.start()
        client = second.ajp_client()
        for n in range(5):
            self.file(client, f"k{n}")
            self.assertEqual(client.answer()[2], b"result %d" % n)
        self.assertEqual(second.server.received.qsize(), 0)

    def test_a_window_lasts_as_long_as_it_would_without_a_restart(self):
        brief = long_window_settings()
        brief["Classes"][1]["Window"] = 30_000 * MS
        first = self.start(site=brief)
        client = first.ajp_client()
        self.file(client, "k")
        first.server.next_request().respond(data=b"one")
        client.answer()
        self.recorded(first, 2)
        self.kill(first)
        second = self.start(site=brief, fault=TIME_PASSES.format(opening=10, later=20))
        client = second.ajp_client()
        self.file(client, "k")
        self.assertEqual(client.answer()[2], b"one")
        second.write_file("later", "")  # so 30 s have passed, 10 of them while the store was opened
        self.file(client, "k")
        second.server.next_request().respond(data=b"two")
        self.assertEqual(client.answer()[2], b"two")

    def test_the_clock_may_be_set_while_the_worker_is_down(self):
        first = self.start()
        client = first.ajp_client()
        self.file(client, "k")
        first.server.next_request().respond(data=b"one")
        client.answer()
        self.recorded(first, 2)
        self.kill(first)
        for hours in (-1, 24):
            set_clock = (
                f"import time\nreal = time.time_ns\ntime.time_ns = lambda: real() + {hours} * 3600 * 10**9\n"
            )
            program = self.start(fault=set_clock)
            client = program.ajp_client()
            self.file(client, "k")
            self.assertEqual(client.answer()[2], b"one")
            self.assertEqual(program.server.received.qsize(), 0)
            self.kill(program)


class Both(State):
    how = {"thrift": True, "ajp": True}

    def test_tries_by_either_front_are_one_filing_before_and_after_a_kill(self):
        machine = MovingKernel(1)
        self.addCleanup(machine.close)
        first = self.start(kernel=machine)
        router = first.thrift_router()
        self.assertEqual(router.call("filing", b"doc", token="k")[2], b"made of doc")
        self.recorded(first, 2)
        self.kill(first)
        second = self.start(kernel=machine)
        client, router = second.ajp_client(), second.thrift_router()
        self.file(client, "k")
        self.assertEqual(client.answer()[2], b"made of doc")
        self.assertEqual(router.call("filing", b"doc", token="k", again="1")[2], b"made of doc")
        self.assertEqual((machine.runs[b"doc"], second.server.received.qsize()), (1, 0))


class KilledAt(State):
    def test_at_every_point_nothing_runs_twice_or_is_refused_once_run(self):
        for point in REQUEST_FAILPOINTS:
            with self.subTest(point):
                kills = CrashLoad(self.base / point, clients=2)
                for nth in (1, 2, 5):
                    kills.file(12)
                    program = kills.run_worker(None, fault=KILL_AT.format(point=point, nth=nth))
                    program.process.wait(WAIT_LIMIT_S)
                    kills.stop(program)
                kills.finish()
                self.assertEqual((kills.run_twice, kills.wrong, kills.losses), ({}, [], []))
                self.assertGreater(kills.outcomes[200], 10)

    def test_at_random_moments_under_load(self):
        kills = CrashLoad(self.folder, seed=KILLS)
        kills.run(KILLS)
        self.assertEqual((kills.run_twice, kills.wrong, kills.losses), ({}, [], []))
        self.assertGreater(kills.outcomes[200], KILLS)

    def test_without_a_store_filings_do_run_twice(self):
        """That the harness sees it."""
        kills = CrashLoad(self.folder, seed=1, state=False)
        kills.run(6)
        self.assertNotEqual(kills.run_twice, {})


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


class Owner(State):
    def test_a_second_process_is_turned_away_by_the_name_of_the_first(self):
        first = self.start()
        config = self.base / "second.toml"
        config.write_text(toml_file(first.appliance))
        env = {k: v for k, v in first.env.items() if k not in ("TMPDIR", "OCHREHOIST_AJP")}
        done = run_command("--config", str(config), "run", env=env)
        self.assertEqual(done.returncode, 2, done.stderr)
        self.assertIn("setting state.folder", done.stderr)
        self.assertIn(f"process {first.process.pid} (n1)", done.stderr)

    def test_a_folder_whose_parent_is_not_there_is_named(self):
        config = self.base / "a.toml"
        whole = {
            "name": "n",
            "ajp": {"listen": "127.0.0.1:0", "rules": [], "servers": [{"address": "127.0.0.1:1"}]},
            "settings": site_settings(),
            "state": {"folder": "/nowhere/at/all"},
        }
        config.write_text(toml_file(whole))
        done = run_command("--config", str(config), "run")
        self.assertEqual(done.returncode, 2)
        self.assertIn("setting state.folder: /nowhere/at/all", done.stderr)
        for key, value in (
            ("on_loss", "pray"),
            ("max_mb", 0),
            ("folder", 3),
            ("fodler", "x"),
            ("learned_half_life_s", 0),
        ):
            config.write_text(toml_file(whole | {"state": {"folder": str(self.base)} | {key: value}}))
            done = run_command("check", str(config))
            self.assertEqual(done.returncode, 2)
            self.assertIn(f"setting state.{key}", done.stderr)

    def test_another_folder_at_sighup_needs_a_restart(self):
        program = self.start()
        whole = program.appliance | {"state": {"folder": str(self.base / "other"), "commit_ms": 3}}
        said = program.reload("ajp.toml", toml_file(whole))
        self.assertEqual(said["restart_keys"], ["state.commit_ms", "state.folder"])


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


class Tools(State):
    def state(self, *words):
        return run_command("state", *words, "--folder", str(self.folder))

    def test_show_and_check_work_beside_a_running_worker_and_the_rest_on_a_stopped_one(self):
        program = self.start()
        client = program.ajp_client()
        for n in range(3):
            self.file(client, f"k{n}")
            program.server.next_request().respond(data=b"result %d" % n)
            client.answer()
        self.recorded(program, 6)
        shown = json.loads(self.state("show", "--json").stdout)
        self.assertEqual((shown["filings"], shown["with_result"], shown["state"]), (3, 3, "sound"))
        self.assertIn(str(program.process.pid), shown["held_by"])
        done = self.state("check")
        self.assertEqual((done.returncode, done.stdout), (0, "sound\n"))
        for words in (("export", "-"), ("compact",)):
            done = self.state(*words)
            self.assertEqual(done.returncode, 1)
            self.assertIn(f"in use by process {program.process.pid}", done.stderr)
        self.kill(program)
        self.assertEqual(self.state("compact").returncode, 0)
        moved = str(self.base / "moved.jsonl")
        self.assertIn("3 filings", self.state("export", moved).stderr)
        self.folder = self.base / "another machine"
        done = self.state("import", moved)
        self.assertEqual((done.returncode, done.stdout), (0, "0 filings before, 3 now\n"), done.stderr)
        second = self.start()
        client = second.ajp_client()
        for n in range(3):
            self.file(client, f"k{n}")
            self.assertEqual(client.answer()[2], b"result %d" % n)
        self.kill(second)
        lines = Path(moved).read_bytes().splitlines(True)
        for bad in (lines[:-1], lines[1:], lines[:2] + lines[3:], [b"x\n", *lines], []):
            Path(moved).write_bytes(b"".join(bad))
            done = self.state("import", moved)
            self.assertEqual(done.returncode, 1)
            self.assertIn("line ", done.stderr)

    def test_damage_ends_with_three_and_no_folder_with_one(self):
        self.assertEqual(self.state("show").returncode, 1)
        program = self.start()
        client = program.ajp_client()
        self.file(client, "k")
        program.server.next_request().respond(data=b"result")
        client.answer()
        program.process.send_signal(signal.SIGTERM)
        program.wait_for_exit()
        path = next(p for p in self.folder.iterdir() if p.suffix == ".db")
        data = bytearray(path.read_bytes())
        at = data.find(b"OK")
        data[at] ^= 1
        path.write_bytes(data)
        done = self.state("check")
        self.assertEqual(done.returncode, 3)
        self.assertIn("damaged", done.stdout)


class Lean(unittest.TestCase):
    def test_a_worker_without_a_store_loads_nothing_of_it(self):
        program = WorkerProcess()
        self.addCleanup(program.close)
        maps = Path(f"/proc/{program.process.pid}/maps").read_text()
        for library in ("apsw", "msgspec", "xxhash", "sqlite"):
            self.assertNotIn(f"/{library}", maps)
        self.assertEqual(len(os.listdir(f"/proc/{program.process.pid}/task")), 1)


if __name__ == "__main__":
    unittest.main()
