"""Hundreds of clients at once: the process stays within its memory, and others are answered in time."""

import contextlib
import itertools
import string
import struct
import threading
import time

from tests.net.other_clients import OtherClientsTestCase
from tests.stand_ins.ajp_client import AjpClient
from tests.stand_ins.ajp_packets import CONTENT_LENGTH_HEADER, TO_SERVER, encode_packet, encode_text
from tests.stand_ins.ajp_server import InstantServer
from tests.stand_ins.thrift_router import ThriftRouter
from tests.stand_ins.thrift_router import encode_text as encode_thrift_text
from tests.support.worker_cases import WorkerTestCase

CLIENTS = 400
MEMORY_MB = 48  # the limit of the process
ATTACK_S = 2.0  # beyond which nothing is held any more for clients that have stopped
PACKET_BYTES = 65_536
LARGE_BODY_BYTES = 1 << 20
MAX_FIELDS = 256  # headers that an AJP request may have
FRAME_BYTES = 16 * 1024
SHORT_NAMES = [
    "".join(letters).encode()
    for size in (1, 2, 3)
    for letters in itertools.product(string.ascii_lowercase, repeat=size)
]


def head_of_short_fields(size: int, count: int = len(SHORT_NAMES)) -> bytes:
    """Returns a Forward Request of so many bytes at most, full of short headers, that announces a body."""
    head = bytes((2, 4)) + b"".join(encode_text(t) for t in ("HTTP/1.1", "/reads/1", "127.0.0.1", "c", "s"))
    head += struct.pack(">HB", 80, 0)
    room = size - len(head) - 20
    fields = []
    for name in SHORT_NAMES[: count - 1]:
        fields.append(encode_text(name) + encode_text(b""))
        room -= len(fields[-1])
        if room < 0:
            break
    fields.append(CONTENT_LENGTH_HEADER + encode_text(str(LARGE_BODY_BYTES)))
    return head + struct.pack(">H", len(fields)) + b"".join(fields) + b"\xff"


def frame_of_short_fields() -> bytes:
    """Returns the arguments of an `invoke` call whose map nearly fills a frame."""
    names = SHORT_NAMES[:1000]
    entries = b"".join(encode_thrift_text(name) + encode_thrift_text(b"") for name in names)
    return (
        b"\x0d\0\1\x0b\x0b"
        + struct.pack(">i", len(names))
        + entries
        + b"\x0b\0\2"
        + encode_thrift_text(b"")
        + b"\0"
    )


class ManyClientsTest(OtherClientsTestCase):
    """Guards against a process that passes its memory limit, and against late answers to other clients."""

    def setUp(self):
        super().setUp()
        server = InstantServer()
        self.addCleanup(server.close)
        self.program = self.start(
            ajp=True,
            server=server,
            sockets=4 * CLIENTS,
            memory_mb=MEMORY_MB,
            packet_size=PACKET_BYTES,
            max_connections=2 * CLIENTS,
        )

    def play(self, front, send):
        """Connects many clients, of which each sends something, and asks for answers meanwhile."""
        connect = AjpClient if front == "AjpFront" else ThriftRouter
        clients = [connect(self.program.addresses[front]) for _ in range(CLIENTS)]
        sending = threading.Thread(target=self.send_all, args=(clients, send))
        sending.start()
        until_s = time.monotonic() + ATTACK_S
        self.ask_while(lambda: sending.is_alive() or time.monotonic() < until_s)
        for client in clients:
            client.sock.close()
        self.assertLess(self.memory_mb("VmHWM"), MEMORY_MB)
        self.assert_answered_in_time()

    @staticmethod
    def send_all(clients, send):
        """Has each client send; a connection may have been closed."""
        for client in clients:
            with contextlib.suppress(OSError):
                send(client)

    def test_ajp_requests_that_stop_in_the_middle_of_a_large_head(self):
        packet = encode_packet(TO_SERVER, bytes(PACKET_BYTES - 4))[:-1]
        self.play("AjpFront", lambda client: client.sock.sendall(packet))
        self.assertEqual(self.program.logged("input_memory_exceeded")[0]["front"], "AjpFront")

    def test_ajp_requests_that_stop_in_the_middle_of_a_large_body(self):
        def send(client):
            client.forward("POST", "/reads/1", length=LARGE_BODY_BYTES)
            client.chunk(bytes(8186))

        self.play("AjpFront", send)

    def test_ajp_heads_of_very_many_short_fields_that_wait_for_their_body(self):
        packet = encode_packet(TO_SERVER, head_of_short_fields(PACKET_BYTES - 4))
        self.play("AjpFront", lambda client: client.sock.sendall(packet))

    def test_ajp_heads_of_as_many_fields_as_are_read(self):
        packet = encode_packet(TO_SERVER, head_of_short_fields(PACKET_BYTES - 4, MAX_FIELDS))
        self.play("AjpFront", lambda client: client.sock.sendall(packet))

    def test_ajp_heads_written_slowly(self):
        packet = encode_packet(TO_SERVER, bytes(PACKET_BYTES - 4))

        def send(client):
            client.sock.sendall(packet[: PACKET_BYTES // 2])
            client.sock.sendall(packet[PACKET_BYTES // 2 : -1])

        self.play("AjpFront", send)

    def test_thrift_calls_that_stop_in_the_middle_of_a_large_frame(self):
        frame = struct.pack(">I", FRAME_BYTES) + b"\x80\x01\0\1" + bytes(FRAME_BYTES - 5)
        self.play("ThriftFront", lambda client: client.sock.sendall(frame))

    def test_thrift_calls_of_very_many_short_fields(self):
        args = frame_of_short_fields()

        def send(client):
            for _ in range(20):
                client.send("invoke", args)

        self.play("ThriftFront", send)


class FieldCountTest(WorkerTestCase):
    """AJP requests with many header fields."""

    def test_a_request_with_too_many_fields_is_answered_431_and_its_connection_ends(self):
        program = self.start(thrift=False, ajp=True)
        for count, status in ((MAX_FIELDS, 200), (MAX_FIELDS + 1, 431)):
            client = program.ajp_client()
            client.request(headers={f"x{number}": "" for number in range(count)})
            if status == 200:
                program.server.next_request().respond()
            self.assertEqual(client.answer()[0], status)
            self.assertIs(client.reuse, status == 200)
        self.assertTrue(program.server.received.empty())
