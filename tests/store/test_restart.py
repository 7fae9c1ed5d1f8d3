"""State that a worker restores from its store after it has ended or was killed."""

import json
import signal
from typing import Any, ClassVar

from ochrehoist.lab.toml import toml_file
from tests.stand_ins.moving_kernel import MovingKernel
from tests.store.worker_state_case import WorkerStateTestCase
from tests.support.environment import MS
from tests.support.site_settings import long_window_settings
from tests.support.worker_process import run_command

# Code that runs in the worker: advances all clocks by {opening} s while the store is opened, and by another
# {later} s once the file `later` exists.
ADVANCE_CLOCKS = """
import os, time
from ochrehoist.store import folder_session
later_file, opening_s = os.path.join(os.path.dirname(__file__), "later"), [0]
real_time_ns, real_monotonic_ns, real_gettime_ns = time.time_ns, time.monotonic_ns, time.clock_gettime_ns
offset_ns = lambda: (opening_s[0] + {later} * os.path.exists(later_file)) * 10**9
time.time_ns = lambda: real_time_ns() + offset_ns()
time.monotonic_ns = lambda: real_monotonic_ns() + offset_ns()
time.clock_gettime_ns = lambda clock: real_gettime_ns(clock) + offset_ns()
original_open_store = folder_session.open_store
def open_store(*args):
    opening_s[0] = {opening}
    return original_open_store(*args)
folder_session.open_store = open_store
"""

# The core gets the stored runs only once the file `adopt` is there, as if other messages were before them.
LATE_STATE = """
import os
from ochrehoist.core import actor, messages
flag = os.path.join(os.path.dirname(__file__), "adopt")
post = actor.CoreActor.post
def post_late(self, message):
    if not isinstance(message, messages.StateRestored):
        return post(self, message)
    if os.path.exists(flag):
        post(self, message)
        self.log.info("adopted")
    else:
        self.waker._loop.call_later(0.02, lambda: post_late(self, message))
actor.CoreActor.post = post_late
"""


class RestartTest(WorkerStateTestCase):
    """Filings of a process that has ended, in a folder on a real disk with its syncs."""

    # Long enough that an overloaded test machine is not taken for a stalled disk.
    state_settings: ClassVar[dict[str, Any]] = {"stall_ms": 10_000}

    parent_folder = None

    def test_results_are_replayed_started_filings_do_not_run_again_and_others_do(self):
        first = self.start()
        client, other = first.ajp_client(), first.ajp_client()
        self.send_filing(client, "done")
        first.server.next_request().respond(data=b"result")
        self.assertEqual(client.answer()[2], b"result")
        self.send_filing(client, "begun")
        first.server.next_request()
        self.send_filing(other, "begun too")
        first.server.next_request()
        third = first.ajp_client()
        self.send_filing(third, "held")  # both cores are busy, so it does not start
        self.wait_for_operations(first, 4)
        self.kill(first)
        second = self.start()
        client = second.ajp_client()
        for _ in range(2):
            self.send_filing(client, "done")
            self.assertEqual(client.answer()[::2], (200, b"result"))
            self.send_filing(client, "begun")
            self.assertEqual(client.answer()[0], 502)
        self.send_filing(client, "done", b"other content")
        self.assertEqual(client.answer()[0], 422)
        self.assertEqual(second.server.received.qsize(), 0)
        self.send_filing(client, "held")
        second.server.next_request().respond(data=b"now")
        self.assertEqual(client.answer()[2], b"now")

    def test_a_drained_worker_has_stored_all_results_and_its_learned_state(self):
        first = self.start()
        client = first.ajp_client()
        for n in range(5):
            self.send_filing(client, f"k{n}")
            first.server.next_request().respond(data=b"result %d" % n)
            client.answer()
        first.process.send_signal(signal.SIGTERM)
        self.assertEqual(first.wait_for_exit(), 0)
        completed = run_command("state", "show", "--json", "--folder", str(self.folder))
        self.assertTrue(json.loads(completed.stdout)["learned"])
        second = self.start()
        client = second.ajp_client()
        for n in range(5):
            self.send_filing(client, f"k{n}")
            self.assertEqual(client.answer()[2], b"result %d" % n)
        self.assertEqual(second.server.received.qsize(), 0)

    def test_a_restart_does_not_extend_an_idempotency_window(self):
        settings = long_window_settings()
        settings["Classes"][1]["Window"] = 30_000 * MS
        first = self.start(site=settings)
        client = first.ajp_client()
        self.send_filing(client, "k")
        first.server.next_request().respond(data=b"one")
        client.answer()
        self.wait_for_operations(first, 2)
        self.kill(first)
        second = self.start(site=settings, fault=ADVANCE_CLOCKS.format(opening=10, later=20))
        client = second.ajp_client()
        self.send_filing(client, "k")
        self.assertEqual(client.answer()[2], b"one")
        second.write_file("later", "")  # 30 s have elapsed now, 10 s of them while the store was opened
        self.send_filing(client, "k")
        second.server.next_request().respond(data=b"two")
        self.assertEqual(client.answer()[2], b"two")

    def test_a_window_that_a_reload_made_longer_survives_a_kill(self):
        # Guards against a second run: a reload extended the windows of earlier filings in memory only.
        settings, longer = long_window_settings(), long_window_settings()
        settings["Classes"][1]["Window"] = 10_000 * MS
        longer["Classes"][1]["Window"] = 60_000 * MS
        first = self.start(site=settings)
        client = first.ajp_client()
        self.send_filing(client, "k")
        first.server.next_request().respond(data=b"one")
        client.answer()
        self.wait_for_operations(first, 2)
        first.reload("ajp.toml", toml_file(first.appliance | {"settings": longer}))
        self.kill(first)
        second = self.start(site=longer, fault=ADVANCE_CLOCKS.format(opening=20, later=0))
        client = second.ajp_client()
        self.send_filing(client, "k")
        self.assertEqual(client.answer()[2], b"one")
        self.assertEqual(second.server.received.qsize(), 0)

    def test_no_filing_on_record_runs_while_the_core_does_not_know_it_yet(self):
        # Guards against a second run: filings were accepted once the stored runs were in the core's inbox.
        first = self.start()
        client = first.ajp_client()
        self.send_filing(client, "k")
        first.server.next_request().respond(data=b"one")
        client.answer()
        self.wait_for_operations(first, 2)
        self.kill(first)
        second = self.start(fault=LATE_STATE)
        second.wait_for(lambda status: status["state"] == "up")
        client = second.ajp_client()
        self.send_filing(client, "k")
        self.assertEqual(client.answer()[0], 502)
        second.write_file("adopt", "")
        self.wait_until(lambda: second.logged("adopted"))
        self.send_filing(client, "k")
        self.assertEqual(client.answer()[2], b"one")
        self.assertEqual(second.server.received.qsize(), 0)

    def test_results_are_replayed_after_the_clock_was_set_while_the_worker_was_down(self):
        first = self.start()
        client = first.ajp_client()
        self.send_filing(client, "k")
        first.server.next_request().respond(data=b"one")
        client.answer()
        self.wait_for_operations(first, 2)
        self.kill(first)
        for hours in (-1, 24):
            set_clock = (
                f"import time\nreal = time.time_ns\ntime.time_ns = lambda: real() + {hours} * 3600 * 10**9\n"
            )
            program = self.start(fault=set_clock)
            client = program.ajp_client()
            self.send_filing(client, "k")
            self.assertEqual(client.answer()[2], b"one")
            self.assertEqual(program.server.received.qsize(), 0)
            self.kill(program)


class BothFrontsRestartTest(WorkerStateTestCase):
    """A worker that serves both protocols."""

    worker_options: ClassVar[dict[str, Any]] = {"thrift": True, "ajp": True}

    def test_attempts_over_both_protocols_are_one_filing_before_and_after_a_kill(self):
        moving_kernel = MovingKernel(1)
        self.addCleanup(moving_kernel.close)
        first = self.start(kernel=moving_kernel)
        router = first.thrift_router()
        self.assertEqual(router.call("filing", b"doc", token="k")[2], b"made of doc")
        self.wait_for_operations(first, 2)
        self.kill(first)
        second = self.start(kernel=moving_kernel)
        client, router = second.ajp_client(), second.thrift_router()
        self.send_filing(client, "k")
        self.assertEqual(client.answer()[2], b"made of doc")
        self.assertEqual(router.call("filing", b"doc", token="k", again="1")[2], b"made of doc")
        self.assertEqual((moving_kernel.runs[b"doc"], second.server.received.qsize()), (1, 0))
