"""Races between two events on links, membership reports and idempotency windows, over real connections.

Each test forces the unfavourable order. Such orders arise, for instance, when a process is stopped while
bytes arrive and time-outs expire: it sees both at once when it continues.
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


class SlowMembershipService(MembershipService):
    """A service that answers late and counts a report only if its connection is still open then."""

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


class TruncatingMembershipService(MembershipService):
    """A service that truncates every second answer and closes the connection."""

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


# Sends SIGHUP to the worker within its next attempt to connect to {port}, once the file {flag} exists.
RELOAD_WHILE_CONNECTING = """
import os, signal, socket
original_connect_ex = socket.socket.connect_ex
def connect_ex(sock, address):
    code = original_connect_ex(sock, address)
    if address[1] == {port} and os.path.exists({flag!r}):
        os.unlink({flag!r})
        os.kill(os.getpid(), signal.SIGHUP)
    return code
socket.socket.connect_ex = connect_ex
"""


class MembershipRacesTest(WorkerTestCase):
    """Races of reports to the membership service."""

    def test_a_report_that_is_answered_late_counts(self):
        service = SlowMembershipService()
        self.addCleanup(service.close)
        program = self.start()
        changed = program.config | {"members": service.address}
        program.reload("config.json", json.dumps(changed))
        self.assertTrue(service.counted.wait(6.0), "no report counted")

    def test_a_report_whose_answer_is_truncated_is_repeated_at_once(self):
        service = TruncatingMembershipService()
        self.addCleanup(service.close)
        program, started_s = self.start(members=service), time.monotonic()
        while service.reports.qsize() < 5:  # the answers to three of them are truncated
            program.operator_call()
            self.assertLess(time.monotonic() - started_s, 3.0)  # after which the entry would expire
        self.assertEqual(program.thrift_router().ping()[0], "Answer")

    def test_a_connection_is_dropped_if_the_address_changes_while_connecting(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        flag, old, new = os.path.join(folder, "moved"), MembershipService(), MembershipService()
        self.addCleanup(old.close)
        self.addCleanup(new.close)
        port = int(old.address.split(":")[1])
        program = self.start(fault=RELOAD_WHILE_CONNECTING.format(port=port, flag=flag))
        program.reload("config.json", json.dumps(program.config | {"members": old.address}))
        old.wait_for("UP")
        # The next connection attempt triggers a reload of the file, which names another address.
        os.replace(
            program.write_file("new", json.dumps(program.config | {"members": new.address})),
            os.path.join(program.folder.name, "config.json"),
        )
        with open(flag, "w"):
            pass
        old.drop_connections()
        for _ in range(3):
            new.wait_for("UP")

    def test_idle_clients_leave_descriptors_for_reports_operators_and_kernel_during_a_membership_outage(self):
        program = self.start(sockets=100)
        program.members.wait_for("UP")
        program.members.refuse()
        program.members.drop_connections()
        idle_routers = []
        for _ in range(300):
            idle_routers.append(program.thrift_router())
            idle_routers[-1].sock.settimeout(WAIT_LIMIT_S)
            with contextlib.suppress(OSError, EOFError):  # the connection may have been evicted
                idle_routers[-1].ping()
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
        del idle_routers

    def test_reports_and_routers_get_descriptors_if_the_system_limit_is_below_the_configured_one(self):
        def limit_descriptors():
            resource.setrlimit(resource.RLIMIT_NOFILE, (60, 60))

        program = self.start(sockets=400, inherits=limit_descriptors)
        program.members.wait_for("UP")
        program.members.refuse()
        program.members.drop_connections()
        idle_routers = []
        for _ in range(80):
            idle_routers.append(ThriftRouter(program.addresses["ThriftFront"]))
            idle_routers[-1].send("ping", b"\x02\0\1\0\0")
        program.members.come_back()
        program.members.wait_for("UP")
        program.serve_one(program.thrift_router())
        del idle_routers


class KernelLinkRacesTest(WorkerTestCase):
    """Races on the link to the kernel."""

    def test_a_link_whose_answers_arrived_during_a_stall_is_not_silent(self):
        program = self.start()
        router, kernel = program.thrift_router(), program.kernel
        seqid = router.invoke(body=b"asked")
        run_id = kernel.next_run().request_id
        kernel.wait_for_questions(2)
        kernel.silent = True  # so that a query is unanswered when the process is stopped
        time.sleep(0.3)

        def send_answer():
            kernel.silent = False
            kernel.send(cmd="INFO", token="g0", load=[0.5, 1.0])

        program.stop_while(1.0, send_answer)
        kernel.wait_for_questions(2)
        kernel.reap(run_id, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        self.assertEqual(program.logged("kernel_link_silent"), [])
        self.assertTrue(kernel.opened.empty())

    def test_a_malformed_result_is_requested_again_and_fails_only_if_malformed_twice(self):
        program = self.start()
        router, kernel = program.thrift_router(), program.kernel
        malformed = {"payload": "not base64!"}, {"payload": None, "elapsed_ms": "soon"}
        for change in malformed:
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

    def test_occasional_malformed_gauges_leave_no_run_of_unknown_outcome(self):
        program = self.start()
        router, kernel = program.thrift_router(), program.kernel
        seqid = router.invoke("filing", b"doc", token="t")
        run_id = kernel.next_run().request_id
        for _ in range(2):
            kernel.wait_for_questions(2)
            opened_count = kernel.opened.qsize()
            kernel.send_raw(b'{"cmd":"INFO","token":"x","load":["a"]}\n')
            while kernel.opened.qsize() == opened_count and not program.logged("kernel_notices_missing"):
                router.ping()
        kernel.wait_for_questions(2)
        kernel.reap(run_id, body=b"filed")
        self.assertEqual(router.answer(seqid)[2], b"filed")
        self.assertEqual(program.logged("kernel_notices_missing"), [])


# Stalls the worker for 50 ms between the readings of its monotonic and its wall clock.
STALL_BETWEEN_CLOCK_READINGS = """
import os, time
original_time_ns = time.time_ns
def time_ns():
    if os.path.exists({flag!r}):
        os.unlink({flag!r})
        time.sleep(0.05)
    return original_time_ns()
time.time_ns = time_ns
"""


class IdempotencyWindowRacesTest(WorkerTestCase):
    """Repeats at the end of the idempotency window, which counts from t0 of the first attempt."""

    def site(self, window_ms):
        site = site_settings()
        site["Classes"][1]["Window"] = window_ms * MS
        return site

    def test_no_repeat_runs_in_any_of_the_last_milliseconds_of_a_short_window(self):
        window_ms = 400
        program = self.start(site=self.site(window_ms))
        router, kernel = program.thrift_router(), program.kernel
        tokens, t0 = [f"token-{n}" for n in range(30)], time.time_ns() // MS
        for token in tokens:
            seqid = router.invoke("filing", token.encode(), token=token, t0=str(t0))
            kernel.reap(kernel.next_run().request_id, body=token.encode())
            self.assertEqual(router.answer(seqid)[2], token.encode())
        while time.time_ns() // MS <= t0 + window_ms + 2:
            router.ping()
        for offset_ms, token in ((offset_ms, token) for offset_ms in (-1, 0, 1) for token in tokens):
            repeat_t0 = str(t0 + window_ms + offset_ms)
            repeat = router.invoke("filing", token.encode(), token=token, again="1", t0=repeat_t0)
            self.assertEqual(router.answer(repeat), ("Answer", {}, token.encode()), (token, offset_ms))
        self.assertTrue(kernel.scheduled.empty())

    def test_no_repeat_within_the_window_runs_after_a_stall_between_two_clock_readings(self):
        window_ms, flag = 600, os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "stop")
        program = self.start(site=self.site(window_ms), fault=STALL_BETWEEN_CLOCK_READINGS.format(flag=flag))
        router, kernel = program.thrift_router(), program.kernel
        with open(flag, "w"):
            pass
        t0 = time.time_ns() // MS
        seqid = router.invoke("filing", b"doc", token="t", t0=str(t0))
        kernel.reap(kernel.next_run().request_id, body=b"filed")
        self.assertEqual(router.answer(seqid)[2], b"filed")
        self.assertFalse(os.path.exists(flag))
        while time.time_ns() // MS <= t0 + window_ms:
            router.ping()
        for before_end_ms in (40, 20, 10):  # all within the window
            again = router.invoke(
                "filing", b"doc", token="t", again="1", t0=str(t0 + window_ms - before_end_ms)
            )
            self.assertEqual(router.answer(again), ("Answer", {}, b"filed"), before_end_ms)
        self.assertTrue(kernel.scheduled.empty())

    def test_a_run_that_outlasts_its_window_is_not_run_a_second_time_concurrently(self):
        program = self.start(site=self.site(300))
        router, kernel, t0 = program.thrift_router(), program.kernel, time.time_ns() // MS
        first = router.invoke("filing", b"doc", token="t", t0=str(t0))
        run_id = kernel.next_run().request_id
        while time.time_ns() // MS <= t0 + 600:
            router.ping()
        router.invoke("filing", b"doc", token="t", again="1")
        router.invoke(body=b"beside it")
        # A core is free, yet the repeat does not run: the next run is the later request.
        self.assertEqual(kernel.next_run().body, b"beside it")
        kernel.reap(run_id, body=b"filed")
        self.assertEqual(router.answer(first), ("Answer", {}, b"filed"))

    def test_a_window_lengthened_by_new_settings_applies_to_earlier_runs(self):
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


# Kills the old process as soon as it has received `yes`, before it sends `go`.
KILLED_AFTER_YES = """
import os, signal
from ochrehoist.net.handover_link import HandoverLink
original_receive = HandoverLink.receive
def receive(link, timeout_s):
    line = original_receive(link, timeout_s)
    if line["m"] == "yes":
        os.kill(os.getpid(), signal.SIGKILL)
    return line
HandoverLink.receive = receive
"""


class SuccessorRacesTest(WorkerTestCase):
    """Races between a process and its successor."""

    def test_a_process_stopped_for_longer_than_the_answer_time_out_is_still_replaced(self):
        old = self.start()
        old.process.send_signal(signal.SIGSTOP)
        self.addCleanup(old.process.send_signal, signal.SIGCONT)
        threading.Timer(3.0, old.process.send_signal, (signal.SIGCONT,)).start()
        address = "{}:{}".format(*old.addresses["ThriftFront"])
        new = self.start(before=old, kernel=old.kernel, listen=address).wait_until_took_over()
        self.assertEqual(new.operator_call()[0], 200)

    def test_filings_of_a_process_killed_during_the_handover_do_not_run_again(self):
        old = self.start(passed=True, fault=KILLED_AFTER_YES)
        router = old.thrift_router()
        seqid = router.invoke("filing", b"done", token="done")
        old.kernel.reap(old.kernel.next_run().request_id, body=b"filed")
        self.assertEqual(router.answer(seqid)[2], b"filed")
        router.invoke("filing", b"doc", token="running")
        old.kernel.next_run()
        new = self.start(before=old).wait_until_took_over()
        self.assertEqual(old.wait_for_exit(), -signal.SIGKILL)
        again = new.thrift_router()
        self.assertEqual(again.call("filing", b"done", token="done", again="1"), ("Answer", {}, b"filed"))
        self.assertEqual(again.call("filing", b"doc", token="running", again="1")[0], "Broken")
        new.wait_for(lambda status: status["running"] == "0" and status["state"] == "up")
        self.assertTrue(new.kernel.scheduled.empty())
