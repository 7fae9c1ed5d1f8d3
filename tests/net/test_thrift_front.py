"""The real program on the platform's wire: routers, kernel and membership service are stand-ins."""

import signal
import socket
import struct
import time
from typing import Any, ClassVar

from tests.stand_ins.thrift_router import ThriftRouter
from tests.support.environment import DUE_WITHIN_S
from tests.support.site_settings import short_deadline_settings, site_settings
from tests.support.worker_cases import RunningWorkerTestCase


class RequestsTest(RunningWorkerTestCase):
    """Requests, replies and cancellations."""

    def test_a_request_runs_with_its_bytes_unchanged_and_gets_the_kernels_result(self):
        router, body, result = (
            self.program.thrift_router(),
            bytes(range(256)) * 8,
            bytes(reversed(range(256))) * 16,
        )
        seqid = router.invoke("read", body)
        rid, method, payload = self.kernel.next_run()
        self.assertEqual((method, payload), ("read", body))
        self.kernel.reap(rid, body=result)
        self.assertEqual(router.answer(seqid), ("Answer", {}, result))

    def test_answers_come_as_runs_end_and_a_failed_run_is_broken(self):
        router = self.program.thrift_router()
        first, second = router.invoke(body=b"1"), router.invoke(body=b"2")
        runs = {body: rid for rid, _, body in (self.kernel.next_run(), self.kernel.next_run())}
        self.kernel.reap(runs[b"2"], "ERROR")
        self.assertEqual(router.answer(second)[0], "Broken")
        self.kernel.reap(runs[b"1"], body=b"one")
        self.assertEqual(router.answer(first), ("Answer", {}, b"one"))

    def test_what_cannot_end_in_time_is_refused_at_once_with_backoff(self):
        router, began = self.program.thrift_router(), time.monotonic()
        open_ = [router.invoke() for _ in range(30)]
        for seqid in open_[15:]:  # the first ones run or wait
            kind, fields, _ = router.answer(seqid)
            self.assertEqual(kind, "Throttled")
            self.assertGreater(int(fields["backoff"]), 0)
        self.assertLess(time.monotonic() - began, 9.0)  # its aim, half of the time it is due by

    def test_an_id_that_comes_again_while_the_first_is_in_hand_runs_once(self):
        router = self.program.thrift_router()
        first, again = router.invoke(rid="0123456789abcdef"), router.invoke(rid="0123456789abcdef")
        self.assertEqual(router.answer(again)[0], "Broken")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"one")
        self.assertEqual(router.answer(first)[2], b"one")
        self.assertTrue(self.kernel.scheduled.empty())

    def test_more_than_32_open_on_one_connection(self):
        router = self.program.thrift_router()
        filings = [router.invoke("filing", token="t") for _ in range(33)]  # one runs, the rest wait for it
        self.assertEqual(router.answer(filings[32])[0], "Exception")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"filed")
        self.assertEqual({router.answer(seqid)[2] for seqid in filings[:32]}, {b"filed"})

    def test_a_held_request_that_is_aborted_never_runs(self):
        router = self.program.thrift_router()
        running = [router.invoke(body=b"run") for _ in range(3)]
        rids = [self.kernel.next_run().request_id for _ in range(2)]
        held = router.invoke(body=b"held")
        router.abort(running[2])
        router.abort(held)
        self.assertEqual(router.ping()[2], b"")  # read after the aborts
        for rid in rids:
            self.kernel.reap(rid, body=b"done")
        last = router.invoke(body=b"last")
        self.assertEqual(self.kernel.next_run().body, b"last")
        self.assertEqual(router.answer(running[0])[2], b"done")
        router.abort(last)


class FilingsTest(RunningWorkerTestCase):
    """Filings and their repeats."""

    def test_a_repeat_waits_for_the_run_and_later_ones_get_its_result(self):
        router, other = self.program.thrift_router(), self.program.thrift_router()
        first = router.invoke("filing", b"doc", token="t1")
        rid, _, _ = self.kernel.next_run()
        second = other.invoke("filing", b"doc", token="t1", again="1")
        other.ping()
        self.kernel.reap(rid, body=b"filed")
        self.assertEqual(router.answer(first), ("Answer", {}, b"filed"))
        self.assertEqual(other.answer(second), ("Answer", {}, b"filed"))
        self.assertEqual(other.call("filing", b"doc", token="t1", again="1"), ("Answer", {}, b"filed"))
        self.assertTrue(self.kernel.scheduled.empty())

    def test_a_result_that_came_too_late_is_kept_for_the_repeat(self):
        router = self.program.thrift_router()
        self.assertEqual(router.call("filing", b"doc", token="t2")[0], "Broken")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"filed late")
        self.assertEqual(router.call("filing", b"doc", token="t2", again="1"), ("Answer", {}, b"filed late"))
        self.assertTrue(self.kernel.scheduled.empty())

    def test_a_failed_filing_is_not_run_again_nor_refused(self):
        router = self.program.thrift_router()
        seqid = router.invoke("filing", b"doc", token="t3")
        self.kernel.reap(self.kernel.next_run().request_id, "ERROR")
        self.assertEqual(router.answer(seqid)[0], "Broken")
        self.assertEqual(router.call("filing", b"doc", token="t3", again="1")[0], "Broken")
        self.assertTrue(self.kernel.scheduled.empty())


class DeadlinesTest(RunningWorkerTestCase):
    """Runs that do not end in time."""

    options: ClassVar[dict[str, Any]] = {"site": short_deadline_settings()}

    def test_a_run_that_does_not_complete_is_answered_by_its_deadline(self):
        router, t0 = self.program.thrift_router(), time.time()
        kind = router.call()[0]
        self.assertEqual(kind, "Broken")
        self.assertLess(time.time() - t0, DUE_WITHIN_S)

    def test_a_start_time_in_the_future_does_not_extend_the_deadline(self):
        router, began = self.program.thrift_router(), time.time()
        self.assertEqual(router.call(t0="999999999999999")[0], "Broken")
        self.assertLess(time.time() - began, DUE_WITHIN_S)


class MalformedInputTest(RunningWorkerTestCase):
    """Bad frames and fields, and clients that read nothing."""

    def test_a_bad_frame_ends_its_own_connection_only(self):
        good = self.program.thrift_router()
        for frame in (
            b"\xff\xff\xff\xff",
            b"\0\0\0\x04junk",
            b"\0\0\0\x0c\x80\x01\0\x01\x7f\xff\xff\xffaaaa",
            struct.pack(">I", 19) + b"\x80\x01\0\x01\0\0\0\x06invoke\0\0\0\x01\x0d",
            struct.pack(">I", 4) + b"\0\0\0\x01",
        ):
            bad = self.program.thrift_router()
            bad.sock.sendall(frame)
            self.assertEqual(bad.sock.recv(1), b"")
        self.assertEqual(good.ping()[0], "Answer")

    def test_bad_and_missing_fields_get_an_application_exception(self):
        router = self.program.thrift_router()
        for fields in (
            {"method": "none"},
            {"rid": "short"},
            {"t0": "-1"},
            {"t0": "soon"},
            {"mem": "nan"},
            {"acct": "who"},
            {"est": "x"},
            {"prio": "1"},
            {"peer": "x"},
            {"obj": b"\xff"},
            {"drop": ["rid"]},
            {"drop": ["t0"]},
            {"drop": ["mem"]},
            {"drop": ["acct"]},
            {"method": "filing"},
            {"method": "filing", "token": ""},
        ):
            with self.subTest(fields):
                self.assertEqual(router.call(**fields)[0], "Exception")
        self.assertEqual(router.answer(router.send("fly", b"\0"))[0], "Exception")
        self.assertEqual(router.answer(router.send("invoke", b"\0"))[0], "Exception")
        self.assertTrue(self.kernel.scheduled.empty())

    def test_a_reader_that_takes_nothing_holds_up_no_one(self):
        slow, quick = self.program.thrift_router(), self.program.thrift_router()
        quick.ping()  # one that says nothing would be closed
        slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        junk = struct.pack(">I", 0x80010001) + b"\0\0\x27\x10" + b"x" * 10000 + b"\0\0\0\x01\0"
        frame = struct.pack(">I", len(junk)) + junk  # each is answered with its long name
        with self.assertRaises(OSError):  # cut off once its bound is reached
            for _ in range(2000):
                slow.sock.sendall(frame)
        self.assertEqual(quick.ping()[0], "Answer")

    def test_many_readers_that_take_nothing_are_bounded_together(self):
        junk = struct.pack(">I", 0x80010001) + b"\0\0\x27\x10" + b"x" * 10000 + b"\0\0\0\x01\0"
        frame, slow = struct.pack(">I", len(junk)) + junk, []
        for _ in range(30):
            slow.append(self.program.thrift_router())
            slow[-1].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        quick = self.program.thrift_router()
        quick.ping()
        for connection in slow:  # less for each than the bound of one
            try:
                for _ in range(40):
                    connection.sock.sendall(frame)
            except OSError:
                pass
        # Told by the program: a client that takes nothing does not see the end behind what it has not taken.
        self.program.wait_for(lambda status: int(status["connections"].split(": ")[1].rstrip("}")) < 25)
        self.assertEqual(quick.ping()[0], "Answer")


class DrainingTest(RunningWorkerTestCase):
    """The end of a worker after its notice."""

    def test_all_that_was_read_is_answered_then_the_program_ends_well(self):
        idle, busy = self.program.thrift_router(), self.program.thrift_router()
        self.assertTrue(idle.ping())
        self.assertEqual(self.program.members.wait_for("UP"), ("/members/n1", "UP"))
        idle_seqid = idle.invoke()
        self.kernel.reap(self.kernel.next_run().request_id)
        idle.answer(idle_seqid)
        seqid = busy.invoke(body=b"last")
        rid = self.kernel.next_run().request_id
        self.program.process.send_signal(signal.SIGTERM)
        self.program.members.wait_for("OUT")
        idle.farewell()
        self.kernel.reap(rid, body=b"answered")
        self.assertEqual(busy.answer(seqid), ("Answer", {}, b"answered"))
        busy.farewell()
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_a_run_that_never_ends_does_not_hold_up_the_end(self):
        router = self.program.thrift_router()
        seqid = router.invoke("filing", b"doc", token="t")
        self.kernel.next_run()
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual(router.answer(seqid)[0], "Broken")
        self.assertEqual(self.program.wait_for_exit(), 0)


class MembershipOutageTest(RunningWorkerTestCase):
    """A membership service that is down."""

    def test_an_outage_blocks_nothing_and_reports_go_on_after_it(self):
        self.program.members.wait_for("UP")
        self.program.members.close()
        router = self.program.thrift_router()
        seqid = router.invoke()
        self.kernel.reap(self.kernel.next_run().request_id, body=b"served")
        self.assertEqual(router.answer(seqid)[2], b"served")
        while not [
            line for line in self.program.logged("membership_reports_changed") if not line["accepted"]
        ]:
            router.ping()
        self.program.members.come_back()
        self.program.members.wait_for("UP")


class MembershipSilenceTest(RunningWorkerTestCase):
    """A membership service that answers nothing."""

    def test_reports_without_an_answer_go_on_at_their_pace_and_a_change_does_not_wait_for_one(self):
        members = self.program.members
        members.wait_for("UP")
        members.answers, began = False, time.monotonic()
        for _ in range(4):
            members.wait_for("UP")
        self.assertGreater(time.monotonic() - began, 4 * 0.8 - 0.9)
        self.assertLess(time.monotonic() - began, 4 * 0.8 + 2)
        began = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        members.wait_for("OUT")
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertEqual(
            [line["accepted"] for line in self.program.logged("membership_reports_changed")], [True]
        )


class IdleConnectionsTest(RunningWorkerTestCase):
    """Idle connections where few callers come back."""

    options: ClassVar[dict[str, Any]] = {
        "site": site_settings(FamilyInfo=site_settings()["FamilyInfo"] | {"Callers": 10_000})
    }

    def test_idle_connections_are_ended_by_farewell_where_few_come_back(self):
        router = self.program.thrift_router()
        seqid = router.invoke()
        self.kernel.reap(self.kernel.next_run().request_id)
        router.answer(seqid)
        router.farewell()
        self.assertEqual(ThriftRouter(self.program.addresses["ThriftFront"]).ping()[0], "Answer")
