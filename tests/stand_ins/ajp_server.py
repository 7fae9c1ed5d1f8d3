"""A server behind the worker's AJP front; scripted by a test, or instant."""

import queue
import socket
import struct
import threading
from typing import NamedTuple

from tests.stand_ins.ajp_packets import (
    CONTENT_LENGTH_HEADER,
    MAX_BODY_CHUNK_BYTES,
    TO_SERVER,
    TO_WEB_SERVER,
    PacketType,
    encode_packet,
    encode_text,
    read_packet,
)
from tests.stand_ins.sockets import ByteAtATimeSocket, LoopbackServer
from tests.support.environment import WAIT_LIMIT_S

MAX_RESPONSE_CHUNK_BYTES = 8000


class Responder:
    """Ends one request: called, it sends the response; `cut` ends the connection in its place."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.done = threading.Event()

    def __call__(
        self, status: int = 200, data: bytes = b"", sock: socket.socket | ByteAtATimeSocket | None = None
    ) -> None:
        """Sends a whole response, on the connection of the request or one around it."""
        header = (
            struct.pack(">BH", PacketType.SEND_HEADERS, status)
            + encode_text("Fine")
            + struct.pack(">H", 1)
            + encode_text("X-Made-By")
            + encode_text("server")
        )
        packets = [header, *self._body_packets(data), bytes((PacketType.END_RESPONSE, 1))]
        (sock or self.sock).sendall(b"".join(encode_packet(TO_WEB_SERVER, packet) for packet in packets))
        self.done.set()

    def _body_packets(self, data: bytes) -> list[bytes]:
        parts = [
            data[n : n + MAX_RESPONSE_CHUNK_BYTES] for n in range(0, len(data), MAX_RESPONSE_CHUNK_BYTES)
        ]
        kind = bytes((PacketType.SEND_BODY_CHUNK,))
        return [kind + struct.pack(">H", len(part)) + part + b"\0" for part in parts]

    def cut(self) -> None:
        """Ends the connection without a response."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.done.set()


class ReceivedRequest(NamedTuple):
    """A request that reached the server: its first packet, its body, and how to end it."""

    packet: bytes
    body: bytes
    respond: Responder


class AjpServer(LoopbackServer):
    """Takes requests; a test takes each and says what happens to it."""

    def __init__(self, port: int = 0) -> None:
        self.received: queue.Queue[ReceivedRequest] = queue.Queue()
        self.pings = 0
        super().__init__(port)

    def serve(self, sock: socket.socket) -> None:
        """Reads the requests of one connection, each after the response to the one before."""
        while True:
            packet = read_packet(sock, TO_SERVER)
            if packet[0] == PacketType.CPING:
                self.pings += 1
                sock.sendall(encode_packet(TO_WEB_SERVER, bytes((PacketType.CPONG,))))
                continue
            body = self._read_body(sock, packet)
            respond = Responder(sock)
            self.received.put(ReceivedRequest(packet, body, respond))
            respond.done.wait(WAIT_LIMIT_S)

    def _read_body(self, sock: socket.socket, packet: bytes) -> bytes:
        at = packet.find(CONTENT_LENGTH_HEADER)
        length = int(packet[at + 4 : packet.index(b"\0", at + 4)]) if at >= 0 else 0
        chunked = b"chunked" in packet
        body, first = b"", True
        while len(body) < length or chunked:
            if not first or chunked:
                get_chunk = struct.pack(">BH", PacketType.GET_BODY_CHUNK, MAX_BODY_CHUNK_BYTES)
                sock.sendall(encode_packet(TO_WEB_SERVER, get_chunk))
            first, data = False, read_packet(sock, TO_SERVER)
            if not data:
                break
            body += data[2:]
        return body

    def next_request(self) -> ReceivedRequest:
        """Waits for the next request."""
        return self.received.get(timeout=WAIT_LIMIT_S)


class InstantServer(AjpServer):
    """Answers each request at once."""

    def __init__(self) -> None:
        super().__init__()
        threading.Thread(target=self._respond_to_all, daemon=True).start()

    def _respond_to_all(self) -> None:
        while True:
            self.received.get().respond(data=b"done")
