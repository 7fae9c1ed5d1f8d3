"""Two events that cross: each test forces the bad order, over real connections (docs/design/crossings.md).

A process that stands still while bytes come and times run out sees both at once when it goes on.
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

BEGUN = struct.pack(">I", 500) + b"\x80\x01"  # of a frame whose rest does not come
CALL = b"GET /status HTTP/1.1\r\n\r\n"
GARBLED = b"\xff\xff\xff\xff"
LASTS = 2.5  # s for a frame that was begun
BUSY = """
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
"""  # the core is busy with one request for longer than a connection lingers


class Closes(WorkerTestCase):
    """A connection that is closed while something is on its way on it."""

    few = site_settings(
        FamilyInfo=site_settings()["FamilyInfo"] | {"Callers": 10_000}
    )  # idle ones are ended soon

    def test_a_request_that_came_before_an_idle_connection_is_closed_is_answered(self):
        flag = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "busy")
        program = self.start(site=self.few, fault=BUSY.format(flag=flag))
        router, other = program.thrift_router(), program.thrift_router()
        program.serve_one(router)
        router.wait_for_farewell()
        other.invoke(body=b"long")
        while not os.path.exists(flag):
            time.sleep(0.001)
        seqid = router.invoke(body=b"crossing")  # the time to close it runs out while the core is busy
        self.assertEqual(program.kernel.next_run().body, b"long")
        rid, _, body = program.kernel.next_run()
        self.assertEqual(body, b"crossing")
        program.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))

    def test_a_first_request_that_came_within_a_stall_is_answered(self):
        program = self.start()
        router = program.thrift_router()
        program.wait_for(lambda status: "'ThriftFront': 1" in status["connections"])
        asked = []
        program.stop_while(LASTS + 0.2, lambda: asked.append(router.invoke(body=b"first")))
        program.kernel.reap(program.kernel.next_run().request_id, body=b"answered")
        self.assertEqual(router.answer(asked[0]), ("Answer", {}, b"answered"))

    def test_the_rest_of_a_frame_that_came_within_a_stall_is_read(self):
        program = self.start()
        router = program.thrift_router()
        program.serve_one(router)
        whole = []
        plain, router.sock = router.sock, RecordingSocket(whole)
        seqid = router.invoke(body=b"in two parts")
        router.sock = plain
        router.sock.sendall(whole[0][:30])
        program.thrift_router().ping()
        program.stop_while(LASTS + 0.2, lambda: router.sock.sendall(whole[0][30:]))
        program.kernel.reap(program.kernel.next_run().request_id, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))

    def in_parts_behind_one_that_waits(self, taken_back):
        program = self.start()
        router = program.thrift_router()
        waits = router.invoke(body=b"waits")
        running, _, body = program.kernel.next_run()
        self.assertEqual(body, b"waits")
        whole = []
        plain, router.sock = router.sock, RecordingSocket(whole)
        if taken_back:
            router.abort(waits)
        seqid = router.invoke(body=b"in parts")
        router.sock = plain
        begun, rest = b"".join(whole)[:-60], b"".join(whole)[-60:]
        program.stop_while(LASTS + 0.2, lambda: router.sock.sendall(begun))
        for _ in range(3):  # the first part has been read
            program.thrift_router().ping()
        router.sock.sendall(rest)
        if not taken_back:
            program.kernel.reap(running, body=b"first")
            self.assertEqual(router.answer(waits), ("Answer", {}, b"first"))
        rid, _, body = program.kernel.next_run()
        self.assertEqual(body, b"in parts")
        program.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))

    def test_a_request_that_comes_in_parts_behind_one_that_waits_long_is_read(self):
        self.in_parts_behind_one_that_waits(taken_back=False)

    def test_a_request_that_arrives_in_parts_behind_one_cancelled_late_is_read(self):
        self.in_parts_behind_one_that_waits(taken_back=True)

    def test_a_connection_whose_request_was_cancelled_late_is_ended_by_a_farewell(self):
        program = self.start()
        router = program.thrift_router()
        taken_back = router.invoke()
        program.kernel.next_run()
        program.stop_while(LASTS + 0.2, lambda: router.abort(taken_back))
        router.wait_for_farewell()  # the end of the connection would be an error here
        self.assertEqual(connection_end(router.sock), "closed")

    def test_what_was_asked_before_half_a_frame_is_answered_though_the_rest_never_comes(self):
        program = self.start()
        router = program.thrift_router()
        seqid = router.invoke(body=b"asked")
        rid = program.kernel.next_run().request_id
        router.sock.sendall(BEGUN)
        router.sock.settimeout(LASTS + 0.7)
        with self.assertRaises(TimeoutError):  # it is not closed when the time of the frame is over
            router.sock.recv(1)
        router.sock.settimeout(WAIT_LIMIT_S)
        program.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        self.assertEqual(connection_end(router.sock), "closed")

    def test_what_was_asked_before_a_garbled_frame_is_answered_and_nothing_after_it(self):
        program = self.start()
        router, other = program.thrift_router(), program.thrift_router()
        seqid = router.invoke(body=b"asked")
        rid = program.kernel.next_run().request_id
        router.sock.sendall(GARBLED)
        for _ in range(3):
            other.ping()
        router.invoke(body=b"behind it")
        for _ in range(3):
            other.ping()
        program.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        self.assertEqual(connection_end(router.sock), "closed")
        self.assertTrue(program.kernel.scheduled.empty())

    def test_a_connection_that_is_to_close_reads_no_request_whose_answer_it_could_not_send(self):
        program = self.start(site=self.few)
        slow, other = program.thrift_router(), program.thrift_router()
        slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        program.serve_one(slow)
        for _ in range(60):  # unanswered for want of a reader: more than both buffers hold
            slow.send("x" * 9000, b"\0")
        until = time.monotonic() + 2.0  # its farewell, and the time that it has to close
        while time.monotonic() < until:
            program.serve_one(other)
        slow.invoke(body=b"too late")
        for _ in range(3):
            other = program.thrift_router()
            program.serve_one(other)  # were the late one read, the kernel would have it first
        self.assertTrue(program.kernel.scheduled.empty())

    def test_an_operators_call_that_arrived_as_its_connection_was_to_be_evicted_is_answered(self):
        program = self.start()
        idle = [
            socket.create_connection(program.addresses["Operators"], timeout=WAIT_LIMIT_S) for _ in range(15)
        ]
        time.sleep(0.3)  # none of them is young
        asked = []

        def call():
            idle[0].sendall(CALL)
            asked.append(socket.create_connection(program.addresses["Operators"], timeout=WAIT_LIMIT_S))
            asked[0].sendall(CALL)

        program.stop_while(0.1, call)
        for sock in (idle[0], asked[0]):
            self.assertTrue(sock.recv(100).startswith(b"HTTP/1.1 200"))
            sock.close()
        for sock in idle[1:]:
            sock.close()

    def test_a_request_that_came_as_its_connection_was_to_make_room_is_answered_on_thrift(self):
        program = self.start(sockets=64)
        routers = [program.thrift_router() for _ in range(22)]  # there is room for 23
        for router in routers:
            program.serve_one(router)
        asked = []

        def crossing():
            asked.append(routers[0].invoke(body=b"crossing"))  # the one that has been idle longest
            routers.append(program.thrift_router())

        program.stop_while(0.1, crossing)
        program.kernel.reap(program.kernel.next_run().request_id, body=b"answered")
        self.assertEqual(routers[0].answer(asked[0]), ("Answer", {}, b"answered"))
        self.assertEqual(routers[-1].ping()[0], "Answer")

    def test_a_request_that_came_as_its_connection_was_to_make_room_is_answered_on_ajp(self):
        program = self.start(thrift=False, ajp=True, max_connections=5)
        clients = [program.ajp_client() for _ in range(4)]
        for client in clients:
            self.assertTrue(client.cping())

        def crossing():
            clients[0].request()
            clients.append(program.ajp_client())

        program.stop_while(0.1, crossing)
        program.server.next_request().respond(data=b"answered")
        self.assertEqual(clients[0].answer()[2], b"answered")
        self.assertTrue(clients[-1].cping())

    def test_a_process_that_ends_resets_nobody_whose_bytes_it_has_not_read(self):
        program = self.start(stop_ms=1200)
        flood = program.thrift_router()
        flood.sock.settimeout(WAIT_LIMIT_S)
        numbers = [flood.send("fly", b"\0" * 40) for _ in range(1500)]  # read at a hundred a second
        flood.answer(numbers[0])
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual(connection_end(flood.sock), "closed")
        self.assertEqual(program.wait_for_exit(), 0)


class ShutdownRacesTest(WorkerTestCase):
    """What comes while a worker shuts down."""

    def test_what_waits_in_the_accept_queue_at_the_end_is_answered_once_there_is_room(self):
        family = site_settings()["FamilyInfo"] | {"Cores": 40}
        program = self.start(sockets=64, site=site_settings(FamilyInfo=family))
        busy = []
        while len(busy) < 23:  # all that there is room for, each with a request that is open
            router = program.thrift_router()
            busy.append((router, router.invoke(body=b"busy")))
        program.wait_for(
            lambda status: "'ThriftFront': 23" in status["connections"] and status["in_hand"] == "23"
        )
        waiting = program.thrift_router()
        seqid = waiting.invoke(body=b"in the queue")
        program.process.send_signal(signal.SIGTERM)
        time.sleep(0.8)  # the grace runs out, and with it the port
        for _ in busy:
            program.kernel.reap(program.kernel.next_run().request_id, body=b"done")
        for router, number in busy:
            self.assertEqual(router.answer(number)[2], b"done")
            router.close()
        self.assertIn(waiting.answer(seqid)[0], ("Throttled", "Broken"))
        self.assertEqual(program.wait_for_exit(), 0)

    def test_a_request_that_came_on_a_resting_connection_within_a_stall_at_the_end_is_answered(self):
        program = self.start(stop_ms=2500)
        router = program.thrift_router()
        program.serve_one(router)
        program.process.send_signal(signal.SIGTERM)
        router.wait_for_farewell()  # it rests, and does not close
        asked = []
        program.stop_while(1.0, lambda: asked.append(router.invoke(body=b"crossing")))
        program.kernel.reap(
            program.kernel.next_run().request_id, body=b"answered"
        )  # it came within the grace
        self.assertEqual(router.answer(asked[0]), ("Answer", {}, b"answered"))
        self.assertEqual(connection_end(router.sock), "closed")
        self.assertEqual(program.wait_for_exit(), 0)

    def test_a_notice_that_is_read_late_counts_from_when_it_came(self):
        program = self.start()
        router, late = program.thrift_router(), program.thrift_router()
        program.serve_one(late)
        seqid = router.invoke(body=b"in hand")
        program.kernel.next_run()
        asked, began = [], time.monotonic()

        def notice():
            program.process.send_signal(signal.SIGTERM)
            time.sleep(0.6)  # past the grace of 0.3 s
            asked.append(late.invoke(body=b"after the grace"))

        program.stop_while(0.6, notice)
        self.assertEqual(late.answer(asked[0])[0], "Throttled")
        self.assertTrue(program.kernel.scheduled.empty())
        self.assertEqual(router.answer(seqid)[0], "Broken")
        self.assertLess(time.monotonic() - began, 3.0)  # killed 2.5 s after the notice, 3.7 after its reading
        self.assertEqual(program.wait_for_exit(), 0)

    def test_a_connection_after_the_grace_is_refused_while_the_last_run_goes_on(self):
        program = self.start()
        router = program.thrift_router()
        seqid = router.invoke(body=b"last")
        rid = program.kernel.next_run().request_id
        program.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + 2.0
        with self.assertRaises(ConnectionRefusedError):
            while time.monotonic() < until:
                program.thrift_router().close()
                time.sleep(0.02)
        program.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        router.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_a_second_notice_and_new_settings_within_the_drain_change_nothing_of_it(self):
        program = self.start()
        router = program.thrift_router()
        seqid = router.invoke(body=b"last")
        rid = program.kernel.next_run().request_id
        program.process.send_signal(signal.SIGTERM)
        program.members.wait_for("OUT")
        program.process.send_signal(signal.SIGTERM)
        changed = program.config | {"settings": site_settings(FleetSize=9)}
        program.reload("config.json", json.dumps(changed))
        program.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        router.farewell()
        self.assertEqual(program.wait_for_exit(), 0)
