"""One client at full speed on one connection: others are answered in time, and memory keeps its size."""

import itertools
import socket
import threading
import time

from tests.net.other_clients import OtherClientsTestCase
from tests.stand_ins.ajp_packets import TO_SERVER, PacketType, encode_packet
from tests.stand_ins.ajp_server import InstantServer
from tests.stand_ins.sockets import RecordingSocket
from tests.stand_ins.thrift_router import ThriftRouter

FLOOD_S = 1.5
GROWTH_LIMIT_MB = 16.0  # a quarter of the process's limit
MESSAGES_PER_WRITE = 200
AJP_SHUTDOWN = 7  # a packet that is ignored
PING_ARGUMENTS = b"\x02\0\1\0\0"
ABORT_ARGUMENTS = b"\x08\0\1\0\0\0\1\0"


class FloodTest(OtherClientsTestCase):
    """Guards against one client that takes the time of all others, or memory without end."""

    def setUp(self):
        super().setUp()
        server = InstantServer()
        self.addCleanup(server.close)
        self.program = self.start(ajp=True, server=server)
        self.numbers = itertools.count(1)

    def encode(self, kind, send):
        """Returns what `send` sends on a connection of this kind."""
        client, sent = object.__new__(kind), []
        client.sock = RecordingSocket(sent)
        client.sequence_id = next(self.numbers)
        send(client)
        return b"".join(sent)

    def flood(self, sock, message):
        """Sends new messages until the time is over or the connection has ended."""
        until_s = time.monotonic() + FLOOD_S
        sock.settimeout(0.5)
        while time.monotonic() < until_s:
            try:
                sock.sendall(b"".join(message() for _ in range(MESSAGES_PER_WRITE)))
            except TimeoutError:
                continue
            except OSError:
                return

    def discard(self, sock):
        """Reads what comes until the connection ends."""
        try:
            while sock.recv(65536):
                pass
        except OSError:
            return

    def play(self, front, message, reads=True):
        self.ask()
        before_mb = self.memory_mb("VmRSS")
        for served in (False, True):
            with self.subTest(served=served):
                sock = (
                    self.served_socket(front)
                    if served
                    else socket.create_connection(self.program.addresses[front])
                )
                threads = [threading.Thread(target=self.flood, args=(sock, message))]
                if reads:
                    threads.append(threading.Thread(target=self.discard, args=(sock,)))
                for thread in threads:
                    thread.start()
                self.ask_while(threads[0].is_alive)
                sock.close()
                threads[-1].join()
                self.assert_answered_in_time()
                self.assertLess(self.memory_mb("VmRSS") - before_mb, GROWTH_LIMIT_MB)

    def served_socket(self, front):
        """Returns a connection on which a request was answered with a result."""
        if front == "AjpFront":
            client = self.program.ajp_client()
            client.call()
            return client.sock
        router = self.program.thrift_router()
        self.program.serve_one(router)
        return router.sock

    def test_thrift_calls_of_ever_new_unknown_methods(self):
        self.play(
            "ThriftFront",
            lambda: self.encode(ThriftRouter, lambda r: r.send(f"m{next(self.numbers)}", b"\0")),
        )

    def test_thrift_calls_of_ever_new_classes_and_tenants(self):
        def send(router):
            number = next(self.numbers)
            router.invoke(*((f"c{number}",) if number % 2 else ()), acct=f"t{number}")

        self.play("ThriftFront", lambda: self.encode(ThriftRouter, send))

    def test_thrift_pings_and_aborts(self):
        def send(router):
            router.send("ping", PING_ARGUMENTS)
            router.send("abort", ABORT_ARGUMENTS, kind=4)

        self.play("ThriftFront", lambda: self.encode(ThriftRouter, send))

    def test_thrift_calls_whose_answers_are_not_read(self):
        self.play("ThriftFront", lambda: self.encode(ThriftRouter, lambda r: r.send("m", b"\0")), reads=False)

    def test_ajp_packets_that_need_no_request(self):
        cping = encode_packet(TO_SERVER, bytes((PacketType.CPING,)))
        ignored = encode_packet(TO_SERVER, bytes((AJP_SHUTDOWN,)))
        self.play("AjpFront", lambda: cping + ignored)

    def test_ajp_requests_one_after_the_other_of_ever_new_paths_and_tenants(self):
        """A connection whose next request comes before the answer ends, so each waits for its answer."""
        before_mb, stopped = self.memory_mb("VmRSS"), threading.Event()

        def ask_badly():
            client = self.program.ajp_client()
            client.call()
            while not stopped.is_set():
                number = next(self.numbers)
                headers = {"X-Tenant": f"t{number}"} if number % 2 else {}
                client.call(uri=f"/none/{number}", headers=headers)
                client.call(headers=headers)

        bad = threading.Thread(target=ask_badly)
        bad.start()
        until_s = time.monotonic() + FLOOD_S
        self.ask_while(lambda: time.monotonic() < until_s)
        stopped.set()
        bad.join()
        self.assert_answered_in_time()
        self.assertLess(self.memory_mb("VmRSS") - before_mb, GROWTH_LIMIT_MB)
