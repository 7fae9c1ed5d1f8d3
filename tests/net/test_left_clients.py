"""Clients that have left: what they sent is not run any more, and what comes again runs once."""

import socket
import threading

from tests.net.ajp_case import AjpTestCase
from tests.stand_ins.ajp_packets import TO_SERVER, TO_WEB_SERVER, PacketType, encode_packet, read_packet
from tests.stand_ins.ajp_server import AjpServer, ReceivedRequest, Responder
from tests.stand_ins.sockets import connection_end
from tests.support.environment import WAIT_LIMIT_S
from tests.support.worker_cases import WorkerTestCase

CALLS = 20
PAUSE_S = 0.2
RUN_ID = "00000000000000aa"
FILING = ("POST", "/filings", {"Idempotency-Key": "k"}, b"doc")


class HeldPongServer(AjpServer):
    """A server whose answer to a CPing waits for `pong_allowed`."""

    def __init__(self) -> None:
        self.pinged = threading.Event()
        self.pong_allowed = threading.Event()
        super().__init__()

    def serve(self, sock):
        """Answers CPings when allowed; keeps requests for the test."""
        while True:
            packet = read_packet(sock, TO_SERVER)
            if packet[0] == PacketType.CPING:
                self.pinged.set()
                self.pong_allowed.wait(WAIT_LIMIT_S)
                sock.sendall(encode_packet(TO_WEB_SERVER, bytes((PacketType.CPONG,))))
                continue
            respond = Responder(sock)
            self.received.put(ReceivedRequest(packet, b"", respond))
            respond.done.wait(WAIT_LIMIT_S)


class UnreadRequestsTest(WorkerTestCase):
    """Guards against runs for clients that closed their connections before their requests were read."""

    def test_calls_that_were_unread_when_their_router_left_are_not_run(self):
        program = self.start()
        router = program.thrift_router()
        program.serve_one(router)

        def call_and_leave():
            for _ in range(CALLS):
                router.invoke()
            router.sock.close()

        program.stop_while(PAUSE_S, call_and_leave)
        program.serve_one(program.thrift_router())
        self.assertTrue(program.kernel.scheduled.empty())

    def test_calls_whose_router_leaves_while_they_are_read_slowly_are_not_run(self):
        program = self.start()
        router = program.thrift_router()
        for _ in range(150):  # beyond its burst, so that each further message waits
            router.send("fly", b"\0")
        for _ in range(CALLS):
            router.invoke()
        # A close would reset the connection, as it has unread answers, and the worker would see it at once.
        router.sock.shutdown(socket.SHUT_WR)
        self.assertIn(connection_end(router.sock), ("closed", "reset"))
        program.serve_one(program.thrift_router())
        self.assertTrue(program.kernel.scheduled.empty())

    def test_requests_that_were_unread_when_their_web_servers_left_are_not_run(self):
        program = self.start(thrift=False, ajp=True)
        clients = [program.ajp_client() for _ in range(CALLS)]
        self.assertTrue(all(client.cping() for client in clients))

        def request_and_leave():
            for number, client in enumerate(clients):
                client.request(*(FILING if number % 2 else ()))
                client.close()

        program.stop_while(PAUSE_S, request_and_leave)
        last_client = program.ajp_client()
        last_client.request("GET", "/reads/last")
        packet, _, respond = program.server.next_request()
        self.assertIn(b"/reads/last", packet)
        respond()
        self.assertEqual(last_client.answer()[0], 200)
        self.assertTrue(program.server.received.empty())


class WaitingForServerTest(AjpTestCase):
    """Guards against a request that is sent to a server after its client has left."""

    def setUp(self):
        self.held_server = HeldPongServer()
        self.addCleanup(self.held_server.close)
        self.addCleanup(self.held_server.pong_allowed.set)
        self.program = self.start(
            **self.options,
            server=self.held_server,
            servers=[{"address": self.held_server.address, "connect_ms": 10_000}],
        )
        self.server = self.held_server

    def test_a_request_whose_client_left_while_its_server_was_checked_is_not_sent(self):
        client = self.program.ajp_client()
        client.request()
        self.server.next_request().respond()
        self.assertEqual(client.answer()[0], 200)  # its server connection is checked before it is used again
        client.request("GET", "/reads/left")
        self.assertTrue(self.server.pinged.wait(WAIT_LIMIT_S))
        client.close()
        self.program.wait_for(lambda status: status["in_hand"] == "0")
        self.server.pong_allowed.set()
        last_client = self.program.ajp_client()
        last_client.request("GET", "/reads/last")
        packet, _, respond = self.server.next_request()
        self.assertIn(b"/reads/last", packet)
        respond()
        self.assertEqual(last_client.answer()[0], 200)


class ComingAgainTest(WorkerTestCase):
    """Guards against a second run of what comes again after its client has left."""

    def test_an_id_that_comes_again_while_it_runs_is_not_run_at_the_same_time(self):
        program = self.start()
        router = program.thrift_router()
        router.invoke(rid=RUN_ID)
        self.assertEqual(program.kernel.next_run().request_id, RUN_ID)
        router.sock.close()
        self.assertEqual(program.thrift_router().call(rid=RUN_ID)[0], "Broken")
        self.assertTrue(program.kernel.scheduled.empty())

    def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_is_not_run_at_the_same_time(self):
        old = self.start(passed=True)
        router = old.thrift_router()
        router.invoke(rid=RUN_ID)
        self.assertEqual(old.kernel.next_run().request_id, RUN_ID)
        old_router = old.thrift_router()
        old_router.ping()
        new = self.start(before=old, kernel=old.kernel, members=old.members).wait_until_took_over()
        router.sock.close()
        for again in (old_router, new.thrift_router()):
            self.assertEqual(again.call(rid=RUN_ID)[0], "Broken")
        self.assertTrue(old.kernel.scheduled.empty())

    def test_a_filing_that_comes_again_after_its_client_left_runs_once(self):
        program = self.start(ajp=True)
        router = program.thrift_router()
        router.invoke("filing", b"doc", token="k")
        run = program.kernel.next_run()
        router.sock.close()
        client, again = program.ajp_client(), program.thrift_router()
        client.request(*FILING[:2], FILING[2] | {"X-Tenant": "acme"}, FILING[3])
        sequence_id = again.invoke("filing", b"doc", token="k")
        again.ping()
        program.kernel.reap(run.request_id, body=b"filed")
        self.assertEqual(again.answer(sequence_id)[2], b"filed")
        self.assertEqual(client.answer()[2], b"filed")
        self.assertTrue(program.kernel.scheduled.empty())
        self.assertTrue(program.server.received.empty())
