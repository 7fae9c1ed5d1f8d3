"""The Thrift front of a worker process, with stand-ins for routers, kernel and membership service."""

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
    """Requests, replies and aborts."""

    def test_a_request_runs_with_its_bytes_unchanged_and_gets_the_kernels_result(self):
        router, body, result = (
            self.program.thrift_router(),
            bytes(range(256)) * 8,
            bytes(reversed(range(256))) * 16,
        )
        seqid = router.invoke("read", body)
        run_id, method, payload = self.kernel.next_run()
        self.assertEqual((method, payload), ("read", body))
        self.kernel.reap(run_id, body=result)
        self.assertEqual(router.answer(seqid), ("Answer", {}, result))

    def test_replies_are_sent_as_runs_end_and_a_failed_run_is_broken(self):
        router = self.program.thrift_router()
        first_id, second_id = router.invoke(body=b"1"), router.invoke(body=b"2")
        run_ids = {body: run_id for run_id, _, body in (self.kernel.next_run(), self.kernel.next_run())}
        self.kernel.reap(run_ids[b"2"], "ERROR")
        self.assertEqual(router.answer(second_id)[0], "Broken")
        self.kernel.reap(run_ids[b"1"], body=b"one")
        self.assertEqual(router.answer(first_id), ("Answer", {}, b"one"))

    def test_requests_that_cannot_complete_in_time_are_rejected_with_a_backoff(self):
        router, started_s = self.program.thrift_router(), time.monotonic()
        sequence_ids = [router.invoke() for _ in range(30)]
        for seqid in sequence_ids[15:]:  # some of the first 15 run or are queued
            kind, fields, _ = router.answer(seqid)
            self.assertEqual(kind, "Throttled")
            self.assertGreater(int(fields["backoff"]), 0)
        self.assertLess(time.monotonic() - started_s, 9.0)  # the latency objective, half of the deadline

    def test_a_request_id_that_is_in_use_runs_once(self):
        router = self.program.thrift_router()
        first_id, second_id = router.invoke(rid="0123456789abcdef"), router.invoke(rid="0123456789abcdef")
        self.assertEqual(router.answer(second_id)[0], "Broken")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"one")
        self.assertEqual(router.answer(first_id)[2], b"one")
        self.assertTrue(self.kernel.scheduled.empty())

    def test_a_connection_may_have_at_most_32_open_requests(self):
        router = self.program.thrift_router()
        filing_ids = [router.invoke("filing", token="t") for _ in range(33)]  # one runs, the others await it
        self.assertEqual(router.answer(filing_ids[32])[0], "Exception")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"filed")
        self.assertEqual({router.answer(seqid)[2] for seqid in filing_ids[:32]}, {b"filed"})

    def test_a_queued_request_that_is_aborted_never_runs(self):
        router = self.program.thrift_router()
        first_ids = [router.invoke(body=b"run") for _ in range(3)]
        run_ids = [self.kernel.next_run().request_id for _ in range(2)]
        queued_id = router.invoke(body=b"held")
        router.abort(first_ids[2])
        router.abort(queued_id)
        self.assertEqual(router.ping()[2], b"")  # the worker has read the aborts before it replies
        for run_id in run_ids:
            self.kernel.reap(run_id, body=b"done")
        last_id = router.invoke(body=b"last")
        self.assertEqual(self.kernel.next_run().body, b"last")
        self.assertEqual(router.answer(first_ids[0])[2], b"done")
        router.abort(last_id)


class FilingsTest(RunningWorkerTestCase):
    """Filings and their retries."""

    def test_a_retry_waits_for_the_run_and_later_ones_get_its_result(self):
        router, retrying_router = self.program.thrift_router(), self.program.thrift_router()
        first_id = router.invoke("filing", b"doc", token="t1")
        run_id, _, _ = self.kernel.next_run()
        retry_id = retrying_router.invoke("filing", b"doc", token="t1", again="1")
        retrying_router.ping()
        self.kernel.reap(run_id, body=b"filed")
        self.assertEqual(router.answer(first_id), ("Answer", {}, b"filed"))
        self.assertEqual(retrying_router.answer(retry_id), ("Answer", {}, b"filed"))
        self.assertEqual(
            retrying_router.call("filing", b"doc", token="t1", again="1"), ("Answer", {}, b"filed")
        )
        self.assertTrue(self.kernel.scheduled.empty())

    def test_a_result_after_the_deadline_is_kept_for_a_retry(self):
        router = self.program.thrift_router()
        self.assertEqual(router.call("filing", b"doc", token="t2")[0], "Broken")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"filed late")
        self.assertEqual(router.call("filing", b"doc", token="t2", again="1"), ("Answer", {}, b"filed late"))
        self.assertTrue(self.kernel.scheduled.empty())

    def test_a_retry_of_a_failed_filing_fails_without_another_run(self):
        router = self.program.thrift_router()
        seqid = router.invoke("filing", b"doc", token="t3")
        self.kernel.reap(self.kernel.next_run().request_id, "ERROR")
        self.assertEqual(router.answer(seqid)[0], "Broken")
        self.assertEqual(router.call("filing", b"doc", token="t3", again="1")[0], "Broken")
        self.assertTrue(self.kernel.scheduled.empty())


class DeadlinesTest(RunningWorkerTestCase):
    """Runs that exceed their deadline."""

    options: ClassVar[dict[str, Any]] = {"site": short_deadline_settings()}

    def test_a_run_that_does_not_complete_is_answered_by_its_deadline(self):
        router, started_s = self.program.thrift_router(), time.time()
        kind = router.call()[0]
        self.assertEqual(kind, "Broken")
        self.assertLess(time.time() - started_s, DUE_WITHIN_S)

    def test_a_start_time_in_the_future_does_not_extend_the_deadline(self):
        router, started_s = self.program.thrift_router(), time.time()
        self.assertEqual(router.call(t0="999999999999999")[0], "Broken")
        self.assertLess(time.time() - started_s, DUE_WITHIN_S)


class MalformedInputTest(RunningWorkerTestCase):
    """Malformed frames, invalid fields, and clients that do not read."""

    def test_a_malformed_frame_ends_only_its_own_connection(self):
        good_router = self.program.thrift_router()
        for frame in (
            b"\xff\xff\xff\xff",
            b"\0\0\0\x04junk",
            b"\0\0\0\x0c\x80\x01\0\x01\x7f\xff\xff\xffaaaa",
            struct.pack(">I", 19) + b"\x80\x01\0\x01\0\0\0\x06invoke\0\0\0\x01\x0d",
            struct.pack(">I", 4) + b"\0\0\0\x01",
        ):
            bad_router = self.program.thrift_router()
            bad_router.sock.sendall(frame)
            self.assertEqual(bad_router.sock.recv(1), b"")
        self.assertEqual(good_router.ping()[0], "Answer")

    def test_invalid_and_missing_fields_get_an_application_exception(self):
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

    def test_a_client_that_does_not_read_is_disconnected_and_blocks_no_other(self):
        slow_router, other_router = self.program.thrift_router(), self.program.thrift_router()
        other_router.ping()  # a silent connection would be closed
        slow_router.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unknown_call = struct.pack(">I", 0x80010001) + b"\0\0\x27\x10" + b"x" * 10000 + b"\0\0\0\x01\0"
        frame = struct.pack(">I", len(unknown_call)) + unknown_call  # the reply repeats the long method name
        with self.assertRaises(OSError):  # disconnected at the limit of unsent bytes
            for _ in range(2000):
                slow_router.sock.sendall(frame)
        self.assertEqual(other_router.ping()[0], "Answer")

    def test_many_clients_that_do_not_read_share_a_bounded_memory(self):
        unknown_call = struct.pack(">I", 0x80010001) + b"\0\0\x27\x10" + b"x" * 10000 + b"\0\0\0\x01\0"
        frame, slow_routers = struct.pack(">I", len(unknown_call)) + unknown_call, []
        for _ in range(30):
            slow_routers.append(self.program.thrift_router())
            slow_routers[-1].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        other_router = self.program.thrift_router()
        other_router.ping()
        for slow_router in slow_routers:  # each stays below the limit of one connection
            try:
                for _ in range(40):
                    slow_router.sock.sendall(frame)
            except OSError:
                pass
        # Checked in the status, since a client does not see a close behind bytes that it has not read.
        self.program.wait_for(lambda status: int(status["connections"].split(": ")[1].rstrip("}")) < 25)
        self.assertEqual(other_router.ping()[0], "Answer")


class DrainingTest(RunningWorkerTestCase):
    """The shutdown of a worker after its notice."""

    def test_open_requests_are_answered_before_a_clean_exit(self):
        idle_router, busy_router = self.program.thrift_router(), self.program.thrift_router()
        self.assertTrue(idle_router.ping())
        self.assertEqual(self.program.members.wait_for("UP"), ("/members/n1", "UP"))
        idle_seqid = idle_router.invoke()
        self.kernel.reap(self.kernel.next_run().request_id)
        idle_router.answer(idle_seqid)
        seqid = busy_router.invoke(body=b"last")
        run_id = self.kernel.next_run().request_id
        self.program.process.send_signal(signal.SIGTERM)
        self.program.members.wait_for("OUT")
        idle_router.farewell()
        self.kernel.reap(run_id, body=b"answered")
        self.assertEqual(busy_router.answer(seqid), ("Answer", {}, b"answered"))
        busy_router.farewell()
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_a_run_that_never_ends_does_not_delay_the_exit(self):
        router = self.program.thrift_router()
        seqid = router.invoke("filing", b"doc", token="t")
        self.kernel.next_run()
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual(router.answer(seqid)[0], "Broken")
        self.assertEqual(self.program.wait_for_exit(), 0)


class MembershipOutageTest(RunningWorkerTestCase):
    """A membership service that is down."""

    def test_an_outage_blocks_no_requests_and_reports_resume_after_it(self):
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
    """A membership service that does not answer."""

    def test_unanswered_reports_keep_their_interval_and_a_change_is_reported_at_once(self):
        members = self.program.members
        members.wait_for("UP")
        members.answers, started_s = False, time.monotonic()
        for _ in range(4):
            members.wait_for("UP")
        self.assertGreater(time.monotonic() - started_s, 4 * 0.8 - 0.9)
        self.assertLess(time.monotonic() - started_s, 4 * 0.8 + 2)
        started_s = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        members.wait_for("OUT")
        self.assertLess(time.monotonic() - started_s, 0.5)
        self.assertEqual(
            [line["accepted"] for line in self.program.logged("membership_reports_changed")], [True]
        )


class IdleConnectionsTest(RunningWorkerTestCase):
    """Idle connections of a worker with many callers, of which few send another request."""

    options: ClassVar[dict[str, Any]] = {
        "site": site_settings(FamilyInfo=site_settings()["FamilyInfo"] | {"Callers": 10_000})
    }

    def test_idle_connections_are_ended_by_a_farewell(self):
        router = self.program.thrift_router()
        seqid = router.invoke()
        self.kernel.reap(self.kernel.next_run().request_id)
        router.answer(seqid)
        router.farewell()
        self.assertEqual(ThriftRouter(self.program.addresses["ThriftFront"]).ping()[0], "Answer")
