"""Races between a close, a time-out or a shutdown and a request on its way (docs/design/crossings.md).

Each test forces the unfavourable order over real connections. Most suspend the process while bytes arrive and
a time-out expires, so that it finds both at once when it resumes.
"""

import json
import os
import signal
import socket
import struct
import tempfile
import time

from tests.stand_ins.sockets import RecordingSocket, connection_end
from tests.support.environment import WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase

PARTIAL_FRAME = struct.pack(">I", 500) + b"\x80\x01"
OPERATOR_CALL = b"GET /status HTTP/1.1\r\n\r\n"
MALFORMED_FRAME = b"\xff\xff\xff\xff"
FRAME_TIMEOUT_S = 2.5  # from the first byte of a frame
# Keeps the core busy with the request "long" for longer than a connection stays open after its farewell.
SLOW_CORE_FAULT = """
import time
from ochrehoist.core.message_handlers import MESSAGE_HANDLERS
from ochrehoist.core.messages import RequestArrived
plain = MESSAGE_HANDLERS[RequestArrived]
def arrived(core, m):
    if m.request.payload.body == b"long":
        open({flag!r}, "w").close()
        time.sleep(0.8)
    plain(core, m)
MESSAGE_HANDLERS[RequestArrived] = arrived
"""


class ConnectionCloseTest(WorkerTestCase):
    """Requests that arrive while their connection is about to be closed."""

    # With many callers, idle connections are ended soon.
    short_idle_settings = site_settings(FamilyInfo=site_settings()["FamilyInfo"] | {"Callers": 10_000})

    def test_a_request_that_arrives_before_an_idle_connection_is_closed_is_answered(self):
        busy_flag_path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "busy")
        program = self.start(site=self.short_idle_settings, fault=SLOW_CORE_FAULT.format(flag=busy_flag_path))
        router, busy_router = program.thrift_router(), program.thrift_router()
        program.serve_one(router)
        router.wait_for_farewell()
        busy_router.invoke(body=b"long")
        while not os.path.exists(busy_flag_path):
            time.sleep(0.001)
        seqid = router.invoke(body=b"crossing")  # the connection's time-out expires while the core is busy
        self.assertEqual(program.kernel.next_run().body, b"long")
        rid, _, body = program.kernel.next_run()
        self.assertEqual(body, b"crossing")
        program.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))

    def test_a_first_request_that_arrives_while_the_process_is_suspended_is_answered(self):
        program = self.start()
        router = program.thrift_router()
        program.wait_for(lambda status: "'ThriftFront': 1" in status["connections"])
        sequence_ids = []
        program.stop_while(FRAME_TIMEOUT_S + 0.2, lambda: sequence_ids.append(router.invoke(body=b"first")))
        program.kernel.reap(program.kernel.next_run().request_id, body=b"answered")
        self.assertEqual(router.answer(sequence_ids[0]), ("Answer", {}, b"answered"))

    def test_the_rest_of_a_frame_that_arrives_while_the_process_is_suspended_is_read(self):
        program = self.start()
        router = program.thrift_router()
        program.serve_one(router)
        recorded = []
        real_socket, router.sock = router.sock, RecordingSocket(recorded)
        seqid = router.invoke(body=b"in two parts")
        router.sock = real_socket
        router.sock.sendall(recorded[0][:30])
        program.thrift_router().ping()
        program.stop_while(FRAME_TIMEOUT_S + 0.2, lambda: router.sock.sendall(recorded[0][30:]))
        program.kernel.reap(program.kernel.next_run().request_id, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))

    def check_split_request_after_an_open_one(self, abort_first):
        """Sends a request in two parts on a connection whose first request is open or aborted late."""
        program = self.start()
        router = program.thrift_router()
        first_id = router.invoke(body=b"waits")
        first_run_id, _, body = program.kernel.next_run()
        self.assertEqual(body, b"waits")
        recorded = []
        real_socket, router.sock = router.sock, RecordingSocket(recorded)
        if abort_first:
            router.abort(first_id)
        seqid = router.invoke(body=b"in parts")
        router.sock = real_socket
        first_part, second_part = b"".join(recorded)[:-60], b"".join(recorded)[-60:]
        program.stop_while(FRAME_TIMEOUT_S + 0.2, lambda: router.sock.sendall(first_part))
        for _ in range(3):  # after these, the first part has been read
            program.thrift_router().ping()
        router.sock.sendall(second_part)
        if not abort_first:
            program.kernel.reap(first_run_id, body=b"first")
            self.assertEqual(router.answer(first_id), ("Answer", {}, b"first"))
        run_id, _, body = program.kernel.next_run()
        self.assertEqual(body, b"in parts")
        program.kernel.reap(run_id, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))

    def test_a_request_that_arrives_in_parts_after_a_long_running_one_is_read(self):
        self.check_split_request_after_an_open_one(abort_first=False)

    def test_a_request_that_arrives_in_parts_after_one_aborted_late_is_read(self):
        self.check_split_request_after_an_open_one(abort_first=True)

    def test_a_connection_whose_request_was_aborted_late_is_ended_by_a_farewell(self):
        program = self.start()
        router = program.thrift_router()
        aborted_id = router.invoke()
        program.kernel.next_run()
        program.stop_while(FRAME_TIMEOUT_S + 0.2, lambda: router.abort(aborted_id))
        router.wait_for_farewell()  # fails if the connection is closed without one
        self.assertEqual(connection_end(router.sock), "closed")

    def test_a_request_before_a_frame_that_is_never_completed_is_answered(self):
        program = self.start()
        router = program.thrift_router()
        seqid = router.invoke(body=b"asked")
        run_id = program.kernel.next_run().request_id
        router.sock.sendall(PARTIAL_FRAME)
        router.sock.settimeout(FRAME_TIMEOUT_S + 0.7)
        with self.assertRaises(TimeoutError):  # the time-out of the frame does not close the connection
            router.sock.recv(1)
        router.sock.settimeout(WAIT_LIMIT_S)
        program.kernel.reap(run_id, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        self.assertEqual(connection_end(router.sock), "closed")

    def test_a_request_before_a_malformed_frame_is_answered_and_none_after_it_is_read(self):
        program = self.start()
        router, other_router = program.thrift_router(), program.thrift_router()
        seqid = router.invoke(body=b"asked")
        run_id = program.kernel.next_run().request_id
        router.sock.sendall(MALFORMED_FRAME)
        for _ in range(3):
            other_router.ping()
        router.invoke(body=b"behind it")
        for _ in range(3):
            other_router.ping()
        program.kernel.reap(run_id, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        self.assertEqual(connection_end(router.sock), "closed")
        self.assertTrue(program.kernel.scheduled.empty())

    def test_a_closing_connection_reads_no_request_whose_reply_it_could_not_send(self):
        program = self.start(site=self.short_idle_settings)
        slow_router, other_router = program.thrift_router(), program.thrift_router()
        slow_router.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        program.serve_one(slow_router)
        for _ in range(60):  # the replies are not read, and exceed the buffers of both sides
            slow_router.send("x" * 9000, b"\0")
        end_s = time.monotonic() + 2.0  # longer than until the farewell and the close that follows it
        while time.monotonic() < end_s:
            program.serve_one(other_router)
        slow_router.invoke(body=b"too late")
        for _ in range(3):
            other_router = program.thrift_router()
            program.serve_one(other_router)  # fails if the kernel gets the late request first
        self.assertTrue(program.kernel.scheduled.empty())

    def test_an_operators_call_that_arrives_when_its_connection_is_to_be_evicted_is_answered(self):
        program = self.start()
        idle_sockets = [
            socket.create_connection(program.addresses["Operators"], timeout=WAIT_LIMIT_S) for _ in range(15)
        ]
        time.sleep(0.3)  # until all of them may be evicted
        new_sockets = []

        def send_calls():
            idle_sockets[0].sendall(OPERATOR_CALL)
            new_sockets.append(socket.create_connection(program.addresses["Operators"], timeout=WAIT_LIMIT_S))
            new_sockets[0].sendall(OPERATOR_CALL)

        program.stop_while(0.1, send_calls)
        for sock in (idle_sockets[0], new_sockets[0]):
            self.assertTrue(sock.recv(100).startswith(b"HTTP/1.1 200"))
            sock.close()
        for sock in idle_sockets[1:]:
            sock.close()

    def test_a_request_that_arrives_when_its_connection_is_to_be_evicted_is_answered_on_thrift(self):
        program = self.start(sockets=64)
        routers = [program.thrift_router() for _ in range(22)]  # the limit is 23
        for router in routers:
            program.serve_one(router)
        sequence_ids = []

        def send_request_and_connect():
            sequence_ids.append(routers[0].invoke(body=b"crossing"))  # the first router was idle longest
            routers.append(program.thrift_router())

        program.stop_while(0.1, send_request_and_connect)
        program.kernel.reap(program.kernel.next_run().request_id, body=b"answered")
        self.assertEqual(routers[0].answer(sequence_ids[0]), ("Answer", {}, b"answered"))
        self.assertEqual(routers[-1].ping()[0], "Answer")

    def test_a_request_that_arrives_when_its_connection_is_to_be_evicted_is_answered_on_ajp(self):
        program = self.start(thrift=False, ajp=True, max_connections=5)
        clients = [program.ajp_client() for _ in range(4)]
        for client in clients:
            self.assertTrue(client.cping())

        def send_request_and_connect():
            clients[0].request()
            clients.append(program.ajp_client())

        program.stop_while(0.1, send_request_and_connect)
        program.server.next_request().respond(data=b"answered")
        self.assertEqual(clients[0].answer()[2], b"answered")
        self.assertTrue(clients[-1].cping())

    def test_a_process_that_exits_resets_no_connection_with_unread_input(self):
        program = self.start(stop_ms=1200)
        router = program.thrift_router()
        router.sock.settimeout(WAIT_LIMIT_S)
        sequence_ids = [router.send("fly", b"\0" * 40) for _ in range(1500)]  # read at 100 per second
        router.answer(sequence_ids[0])
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual(connection_end(router.sock), "closed")
        self.assertEqual(program.wait_for_exit(), 0)


class ShutdownRacesTest(WorkerTestCase):
    """Connections, requests and signals that arrive while a worker shuts down."""

    def test_a_connection_in_the_accept_queue_at_shutdown_is_answered_once_there_is_room(self):
        family_info = site_settings()["FamilyInfo"] | {"Cores": 40}
        program = self.start(sockets=64, site=site_settings(FamilyInfo=family_info))
        busy_calls = []
        while len(busy_calls) < 23:  # up to the limit of connections, each with an open request
            router = program.thrift_router()
            busy_calls.append((router, router.invoke(body=b"busy")))
        program.wait_for(
            lambda status: "'ThriftFront': 23" in status["connections"] and status["in_hand"] == "23"
        )
        queued_router = program.thrift_router()
        seqid = queued_router.invoke(body=b"in the queue")
        program.process.send_signal(signal.SIGTERM)
        time.sleep(0.8)  # until the grace period is over, at whose end the worker stops listening
        for _ in busy_calls:
            program.kernel.reap(program.kernel.next_run().request_id, body=b"done")
        for router, sequence_id in busy_calls:
            self.assertEqual(router.answer(sequence_id)[2], b"done")
            router.close()
        self.assertIn(queued_router.answer(seqid)[0], ("Throttled", "Broken"))
        self.assertEqual(program.wait_for_exit(), 0)

    def test_a_request_on_an_idle_connection_while_a_draining_process_is_suspended_is_answered(self):
        program = self.start(stop_ms=2500)
        router = program.thrift_router()
        program.serve_one(router)
        program.process.send_signal(signal.SIGTERM)
        router.wait_for_farewell()  # the router does not close the connection
        sequence_ids = []
        program.stop_while(1.0, lambda: sequence_ids.append(router.invoke(body=b"crossing")))
        # The request runs, since it arrived within the grace period.
        program.kernel.reap(program.kernel.next_run().request_id, body=b"answered")
        self.assertEqual(router.answer(sequence_ids[0]), ("Answer", {}, b"answered"))
        self.assertEqual(connection_end(router.sock), "closed")
        self.assertEqual(program.wait_for_exit(), 0)

    def test_the_shutdown_time_counts_from_the_arrival_of_the_notice_even_if_it_is_handled_late(self):
        program = self.start()
        router, late_router = program.thrift_router(), program.thrift_router()
        program.serve_one(late_router)
        seqid = router.invoke(body=b"in hand")
        program.kernel.next_run()
        late_ids, started_s = [], time.monotonic()

        def send_notice_and_late_request():
            program.process.send_signal(signal.SIGTERM)
            time.sleep(0.6)  # longer than the grace period of 0.3 s
            late_ids.append(late_router.invoke(body=b"after the grace"))

        program.stop_while(0.6, send_notice_and_late_request)
        self.assertEqual(late_router.answer(late_ids[0])[0], "Throttled")
        self.assertTrue(program.kernel.scheduled.empty())
        self.assertEqual(router.answer(seqid)[0], "Broken")
        # The shutdown may take 2.5 s from the notice; counted from its handling, it would end after 3.7 s.
        self.assertLess(time.monotonic() - started_s, 3.0)
        self.assertEqual(program.wait_for_exit(), 0)

    def test_connections_after_the_grace_period_are_refused_while_the_last_run_continues(self):
        program = self.start()
        router = program.thrift_router()
        seqid = router.invoke(body=b"last")
        run_id = program.kernel.next_run().request_id
        program.process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + 2.0
        with self.assertRaises(ConnectionRefusedError):
            while time.monotonic() < end_s:
                program.thrift_router().close()
                time.sleep(0.02)
        program.kernel.reap(run_id, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        router.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_a_second_notice_and_new_settings_do_not_affect_a_drain(self):
        program = self.start()
        router = program.thrift_router()
        seqid = router.invoke(body=b"last")
        run_id = program.kernel.next_run().request_id
        program.process.send_signal(signal.SIGTERM)
        program.members.wait_for("OUT")
        program.process.send_signal(signal.SIGTERM)
        new_config = program.config | {"settings": site_settings(FleetSize=9)}
        program.reload("config.json", json.dumps(new_config))
        program.kernel.reap(run_id, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        router.farewell()
        self.assertEqual(program.wait_for_exit(), 0)
