"""A client that connects again and again at full speed: others are answered in time."""

import itertools
import socket
import threading
import time
import unittest
from types import SimpleNamespace

from ochrehoist.net.listener import Acceptor
from ochrehoist.net.loop import Loop
from tests.net.other_clients import OtherClientsTestCase
from tests.stand_ins.ajp_client import AjpClient
from tests.stand_ins.ajp_server import InstantServer
from tests.stand_ins.sockets import RecordingSocket
from tests.stand_ins.thrift_router import ThriftRouter

FLOOD_S = 2.0
MESSAGES = 200  # on each connection
PENDING = 100
SLOW_ACCEPT_S = 0.002
MAX_ACCEPTED_AT_ONCE = 4  # of SLOW_ACCEPT_S each, in the 5 ms that accepting may take


class ReconnectingClientTest(OtherClientsTestCase):
    """Guards against late answers to others while one client's connections are read after it has left."""

    def setUp(self):
        super().setUp()
        server = InstantServer()
        self.addCleanup(server.close)
        self.program = self.start(ajp=True, server=server, sockets=1024, memory_mb=192, max_connections=256)

    def encode(self, kind, send):
        """Returns what `send` sends on many requests of a connection of this kind."""
        client, sent = object.__new__(kind), []
        client.sock = RecordingSocket(sent)
        for client.sequence_id in range(MESSAGES):
            send(client)
        return b"".join(sent)

    def play(self, front, data):
        until_s = time.monotonic() + FLOOD_S

        def flood():
            while time.monotonic() < until_s:
                try:
                    sock = socket.create_connection(self.program.addresses[front], timeout=1)
                    sock.sendall(data)
                    sock.close()
                except OSError:  # a full backlog, or a connection that the worker has closed
                    continue

        flooding = threading.Thread(target=flood)
        flooding.start()
        self.ask_while(flooding.is_alive)
        self.assert_answered_in_time()

    def test_ajp_requests_without_a_class(self):
        self.play("AjpFront", self.encode(AjpClient, lambda client: client.request(uri="/none")))

    def test_ajp_requests_of_unknown_tenants(self):
        def send(client):
            client.request(headers={"X-Tenant": f"t{client.sequence_id}"})

        self.play("AjpFront", self.encode(AjpClient, send))

    def test_thrift_calls_of_unknown_methods(self):
        self.play("ThriftFront", self.encode(ThriftRouter, lambda router: router.send("none", b"\0")))

    def test_thrift_requests(self):
        self.play("ThriftFront", self.encode(ThriftRouter, lambda router: router.invoke()))

    def test_connections_without_a_request(self):
        for front in ("AjpFront", "ThriftFront", "Operators", "AgentCheck"):
            with self.subTest(front=front):
                self.play(front, b"")


class AcceptingTest(unittest.TestCase):
    """The listener's share of an iteration of the loop."""

    def test_a_full_backlog_does_not_hold_up_the_loop(self):
        """Guards against an iteration that accepts, and evicts for, all connections that are pending."""
        loop = Loop(SimpleNamespace())
        accepted = []
        accepted_before = [0]  # at each iteration

        def accept(sock):
            time.sleep(SLOW_ACCEPT_S)
            accepted.append(sock)
            return lambda: None

        def count():
            accepted_before.append(len(accepted))
            if len(accepted) == PENDING:
                loop.stop()
            else:
                loop.call_later(0, count)

        acceptor = Acceptor(loop, ("127.0.0.1", 0), accept, 2 * PENDING, SimpleNamespace())
        clients = [socket.create_connection(acceptor.address) for _ in range(PENDING)]
        acceptor.start()
        loop.call_later(0, count)
        loop.run()
        for sock in (*clients, *accepted, acceptor.sock):
            sock.close()
        most = max(after - before for before, after in itertools.pairwise(accepted_before))
        self.assertLessEqual(most, MAX_ACCEPTED_AT_ONCE)
