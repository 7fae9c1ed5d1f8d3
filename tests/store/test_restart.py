"""What a worker that ended or was killed takes up again from its store."""

import json
import signal

from tests.stand_ins.moving_kernel import MovingKernel
from tests.store.worker_state_case import State
from tests.support.environment import MS
from tests.support.site_settings import long_window_settings
from tests.support.worker_process import run_command

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
