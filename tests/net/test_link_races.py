"""Two events that cross on links, lists and windows: each test forces the bad order, over real connections.

A process that stands still while bytes come and times run out sees both at once when it goes on.
"""

import contextlib
import json
import os
import resource
import signal
import socket
import tempfile
import threading
import time

from tests.stand_ins.kernel import Kernel
from tests.stand_ins.membership_service import MembershipService
from tests.stand_ins.thrift_router import ThriftRouter
from tests.support.environment import MS, WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase


class SlowMembers(MembershipService):
    """Answers late, and counts a report only if its link is still there then."""

    def __init__(self):
        self.counted = threading.Event()
        super().__init__()

    def serve(self, sock):
        lines = sock.makefile("rb")
        while lines.readline():
            while lines.readline().strip():
                pass
            lines.read(len(b'{"phase":"UP"}'))
            sock.settimeout(1.2)
            try:
                if not sock.recv(1):
                    return
            except TimeoutError:
                self.counted.set()
            sock.settimeout(None)
            sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


class CuttingMembers(MembershipService):
    """Cuts each other answer in its middle."""

    def serve(self, sock):
        lines = sock.makefile("rb")
        while lines.readline():
            while lines.readline().strip():
                pass
            lines.read(len(b'{"phase":"UP"}'))
            self.reports.put(("", "UP"))
            sock.sendall(b"HTTP/1.1 204 No Con")
            if self.reports.qsize() % 2:
                sock.shutdown(socket.SHUT_RDWR)
                return
            sock.sendall(b"tent\r\n\r\n")


MOVED_WHILE_CONNECTING = """
import os, signal, socket
plain = socket.socket.connect_ex
def connect_ex(sock, address):
    code = plain(sock, address)
    if address[1] == {port} and os.path.exists({flag!r}):
        os.unlink({flag!r})
        os.kill(os.getpid(), signal.SIGHUP)
    return code
socket.socket.connect_ex = connect_ex
"""


class MembershipRacesTest(WorkerTestCase):
    """Reports to the membership service."""

    def test_a_report_that_is_answered_late_counts(self):
        slow = SlowMembers()
        self.addCleanup(slow.close)
        program = self.start()
        changed = program.config | {"members": slow.address}
        program.reload("config.json", json.dumps(changed))
        self.assertTrue(slow.counted.wait(6.0), "no report counted")

    def test_a_report_whose_answer_is_cut_is_made_again_at_once(self):
        cutting = CuttingMembers()
        self.addCleanup(cutting.close)
        program, began = self.start(members=cutting), time.monotonic()
        while cutting.reports.qsize() < 5:  # three of them cut
            program.operator_call()
            self.assertLess(time.monotonic() - began, 3.0)  # the entry would lapse
        self.assertEqual(program.thrift_router().ping()[0], "Answer")

    def test_an_address_that_moves_while_its_connection_is_made_is_left(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        flag, old, new = os.path.join(folder, "moved"), MembershipService(), MembershipService()
        self.addCleanup(old.close)
        self.addCleanup(new.close)
        port = int(old.address.split(":")[1])
        program = self.start(fault=MOVED_WHILE_CONNECTING.format(port=port, flag=flag))
        program.reload("config.json", json.dumps(program.config | {"members": old.address}))
        old.wait_for("UP")
        # The next connection is made while the signal comes, and the file names another address.
        os.replace(
            program.write_file("new", json.dumps(program.config | {"members": new.address})),
            os.path.join(program.folder.name, "config.json"),
        )
        with open(flag, "w"):
            pass
        old.drop_connections()
        for _ in range(3):
            new.wait_for("UP")

    def test_idle_clients_take_no_descriptor_from_reports_health_and_the_kernel_while_the_list_is_down(self):
        program = self.start(sockets=100)
        program.members.wait_for("UP")
        program.members.refuse()
        program.members.drop_connections()
        crowd = []
        for _ in range(300):
            crowd.append(program.thrift_router())
            crowd[-1].sock.settimeout(WAIT_LIMIT_S)
            with contextlib.suppress(OSError, EOFError):  # it had to make room
                crowd[-1].ping()
        self.assertEqual(program.thrift_router().ping()[0], "Answer")
        self.assertEqual(program.operator_call()[0], 200)
        kernel = Kernel(before=program.kernel)
        self.addCleanup(kernel.close)
        program.reload("config.json", json.dumps(program.config | {"kernel": kernel.address}))
        kernel.opened.get(timeout=WAIT_LIMIT_S)
        program.members.come_back()
        program.members.wait_for("UP")
        router = program.thrift_router()
        seqid = router.invoke(body=b"served")
        kernel.reap(kernel.next_run().request_id, body=b"served")
        self.assertEqual(router.answer(seqid)[2], b"served")
        del crowd

    def test_where_the_system_gives_fewer_descriptors_than_the_settings_reports_and_routers_get_theirs(self):
        def fewer():
            resource.setrlimit(resource.RLIMIT_NOFILE, (60, 60))

        program = self.start(sockets=400, inherits=fewer)
        program.members.wait_for("UP")
        program.members.refuse()
        program.members.drop_connections()
        crowd = []
        for _ in range(80):
            crowd.append(ThriftRouter(program.addresses["ThriftFront"]))
            crowd[-1].send("ping", b"\x02\0\1\0\0")
        program.members.come_back()
        program.members.wait_for("UP")
        program.serve_one(program.thrift_router())
        del crowd


class KernelLinkRacesTest(WorkerTestCase):
    """The link to the kernel."""

    def test_a_link_whose_answers_came_within_a_stall_is_not_silent(self):
        program = self.start()
        router, kernel = program.thrift_router(), program.kernel
        seqid = router.invoke(body=b"asked")
        rid = kernel.next_run().request_id
        kernel.wait_for_questions(2)
        kernel.silent = True  # the next question is open as the process stops
        time.sleep(0.3)

        def answered():
            kernel.silent = False
            kernel.send(cmd="INFO", token="g0", load=[0.5, 1.0])

        program.stop_while(1.0, answered)
        kernel.wait_for_questions(2)
        kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        self.assertEqual(program.logged("kernel_link_silent"), [])
        self.assertTrue(kernel.opened.empty())

    def test_a_garbled_completion_is_sent_again_and_only_then_failed(self):
        program = self.start()
        router, kernel = program.thrift_router(), program.kernel
        spoilt = {"payload": "not base64!"}, {"payload": None, "elapsed_ms": "soon"}
        for change in spoilt:
            seqid = router.invoke("filing", b"doc", token=repr(change))
            kernel.reap(kernel.next_run().request_id, body=b"filed", send=False)
            kernel.send_raw(json.dumps(kernel.notices[-1] | change).encode() + b"\n")
            self.assertEqual(router.answer(seqid), ("Answer", {}, b"filed"))
        seqid = router.invoke("filing", b"doc", token="for good")
        kernel.notice(
            cmd="REAP", req=kernel.next_run().request_id, result="OK", elapsed_ms=20, payload="not base64!"
        )
        self.assertEqual(router.answer(seqid)[0], "Broken")
        program.serve_one(router)

    def test_gauge_answers_garbled_now_and_then_leave_no_run_with_an_unknown_outcome(self):
        program = self.start()
        router, kernel = program.thrift_router(), program.kernel
        seqid = router.invoke("filing", b"doc", token="t")
        rid = kernel.next_run().request_id
        for _ in range(2):
            kernel.wait_for_questions(2)
            opened = kernel.opened.qsize()
            kernel.send_raw(b'{"cmd":"INFO","token":"x","load":["a"]}\n')
            while kernel.opened.qsize() == opened and not program.logged("kernel_notices_missing"):
                router.ping()
        kernel.wait_for_questions(2)
        kernel.reap(rid, body=b"filed")
        self.assertEqual(router.answer(seqid)[2], b"filed")
        self.assertEqual(program.logged("kernel_notices_missing"), [])


BETWEEN_CLOCKS = """
import os, time
plain = time.time_ns
def time_ns():
    if os.path.exists({flag!r}):
        os.unlink({flag!r})
        time.sleep(0.05)
    return plain()
time.time_ns = time_ns
"""  # the process stands still between the readings of its two clocks


class Windows(WorkerTestCase):
    """A repeat at the edge of the window, which counts from the first try's t0."""

    def site(self, window):
        site = site_settings()
        site["Classes"][1]["Window"] = window * MS
        return site

    def test_no_repeat_within_a_short_window_runs_at_any_millisecond_of_its_end(self):
        window = 400
        program = self.start(site=self.site(window))
        router, kernel = program.thrift_router(), program.kernel
        tokens, t0 = [f"token-{n}" for n in range(30)], time.time_ns() // MS
        for token in tokens:
            seqid = router.invoke("filing", token.encode(), token=token, t0=str(t0))
            kernel.reap(kernel.next_run().request_id, body=token.encode())
            self.assertEqual(router.answer(seqid)[2], token.encode())
        while time.time_ns() // MS <= t0 + window + 2:
            router.ping()
        for after, token in ((after, token) for after in (-1, 0, 1) for token in tokens):
            at = str(t0 + window + after)
            made = router.invoke("filing", token.encode(), token=token, again="1", t0=at)
            self.assertEqual(router.answer(made), ("Answer", {}, token.encode()), (token, after))
        self.assertTrue(kernel.scheduled.empty())

    def test_no_repeat_within_the_window_runs_though_the_first_was_read_between_two_clocks(self):
        window, flag = 600, os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "stop")
        program = self.start(site=self.site(window), fault=BETWEEN_CLOCKS.format(flag=flag))
        router, kernel = program.thrift_router(), program.kernel
        with open(flag, "w"):
            pass
        t0 = time.time_ns() // MS
        seqid = router.invoke("filing", b"doc", token="t", t0=str(t0))
        kernel.reap(kernel.next_run().request_id, body=b"filed")
        self.assertEqual(router.answer(seqid)[2], b"filed")
        self.assertFalse(os.path.exists(flag))
        while time.time_ns() // MS <= t0 + window:
            router.ping()
        for early in (40, 20, 10):  # all within the window
            again = router.invoke("filing", b"doc", token="t", again="1", t0=str(t0 + window - early))
            self.assertEqual(router.answer(again), ("Answer", {}, b"filed"), early)
        self.assertTrue(kernel.scheduled.empty())

    def test_a_run_that_outlasts_its_short_window_is_not_run_a_second_time_beside_it(self):
        program = self.start(site=self.site(300))
        router, kernel, t0 = program.thrift_router(), program.kernel, time.time_ns() // MS
        first = router.invoke("filing", b"doc", token="t", t0=str(t0))
        rid = kernel.next_run().request_id
        while time.time_ns() // MS <= t0 + 600:
            router.ping()
        router.invoke("filing", b"doc", token="t", again="1")
        router.invoke(body=b"beside it")
        self.assertEqual(
            kernel.next_run().body, b"beside it"
        )  # there is a core, and it goes to what came later
        kernel.reap(rid, body=b"filed")
        self.assertEqual(router.answer(first), ("Answer", {}, b"filed"))

    def test_a_window_that_new_settings_make_longer_holds_for_what_ran_before(self):
        program = self.start(site=self.site(300))
        router, kernel, t0 = program.thrift_router(), program.kernel, time.time_ns() // MS
        seqid = router.invoke("filing", b"doc", token="t", t0=str(t0))
        kernel.reap(kernel.next_run().request_id, body=b"filed")
        router.answer(seqid)
        program.reload("config.json", json.dumps(program.config | {"settings": self.site(10_000)}))
        while time.time_ns() // MS <= t0 + 900:
            router.ping()
        again = router.invoke("filing", b"doc", token="t", again="1")
        self.assertEqual(router.answer(again), ("Answer", {}, b"filed"))
        self.assertTrue(kernel.scheduled.empty())


DIES_AT_YES = """
import os, signal
from ochrehoist.net.handover_link import HandoverLink
plain = HandoverLink.receive
def receive(link, timeout_s):
    line = plain(link, timeout_s)
    if line["m"] == "yes":
        os.kill(os.getpid(), signal.SIGKILL)
    return line
HandoverLink.receive = receive
"""


class SuccessorRacesTest(WorkerTestCase):
    """A process that replaces another."""

    def test_one_that_stands_still_for_longer_than_it_is_asked_is_still_replaced(self):
        old = self.start()
        old.process.send_signal(signal.SIGSTOP)
        self.addCleanup(old.process.send_signal, signal.SIGCONT)
        threading.Timer(3.0, old.process.send_signal, (signal.SIGCONT,)).start()
        at = "{}:{}".format(*old.addresses["ThriftFront"])
        new = self.start(before=old, kernel=old.kernel, listen=at).wait_until_took_over()
        self.assertEqual(new.operator_call()[0], 200)

    def test_one_that_dies_as_its_state_is_taken_leaves_its_filings_counted_as_run(self):
        old = self.start(passed=True, fault=DIES_AT_YES)
        router = old.thrift_router()
        done = router.invoke("filing", b"done", token="done")
        old.kernel.reap(old.kernel.next_run().request_id, body=b"filed")
        self.assertEqual(router.answer(done)[2], b"filed")
        router.invoke("filing", b"doc", token="running")
        old.kernel.next_run()
        new = self.start(before=old).wait_until_took_over()
        self.assertEqual(old.wait_for_exit(), -signal.SIGKILL)
        again = new.thrift_router()
        self.assertEqual(again.call("filing", b"done", token="done", again="1"), ("Answer", {}, b"filed"))
        self.assertEqual(again.call("filing", b"doc", token="running", again="1")[0], "Broken")
        new.wait_for(lambda status: status["running"] == "0" and status["state"] == "up")
        self.assertTrue(new.kernel.scheduled.empty())
