"""A web server in front of the worker: a client of its AJP front."""

import socket
import struct
from collections.abc import Mapping
from typing import Any, NamedTuple

from tests.stand_ins.ajp_packets import (
    MAX_BODY_CHUNK_BYTES,
    TO_SERVER,
    TO_WEB_SERVER,
    PacketType,
    encode_packet,
    encode_text,
    read_packet,
)
from tests.support.environment import WAIT_LIMIT_S

METHOD_CODES = {"GET": 2, "HEAD": 3, "POST": 4}


class AjpResponse(NamedTuple):
    """Status, headers (by name, or by code if sent so), and the body."""

    status: int | None
    headers: dict[Any, str]
    body: bytes


def decode_text(data: bytes, at: int) -> tuple[str, int]:
    """A string, and where the data goes on behind it."""
    size = struct.unpack_from(">H", data, at)[0]
    return data[at + 2 : at + 2 + size].decode(), at + size + 3


def decode_response_headers(packet: bytes) -> tuple[int, dict[Any, str]]:
    """Status and headers of a SEND_HEADERS packet."""
    status, reason_size = struct.unpack_from(">HH", packet, 1)
    at = 5 + reason_size + 1
    count, at = struct.unpack_from(">H", packet, at)[0], at + 2
    headers: dict[Any, str] = {}
    for _ in range(count):
        code = struct.unpack_from(">H", packet, at)[0]
        if code >> 8 == 0xA0:
            name, at = code, at + 2
        else:
            name, at = decode_text(packet, at)
        headers[name], at = decode_text(packet, at)
    return status, headers


class AjpClient:
    """A web server's connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(tuple(address), timeout=WAIT_LIMIT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reuse: bool | None = None  # whether the last response left the connection open

    def forward(
        self,
        method: str = "GET",
        uri: str = "/reads/1",
        headers: Mapping[str, str] | None = None,
        length: int | None = None,
        secret: str | None = None,
    ) -> None:
        """Sends the head of a request."""
        named = list((headers or {}).items())
        out = (
            bytes((PacketType.FORWARD_REQUEST, METHOD_CODES[method]))
            + b"".join(encode_text(t) for t in ("HTTP/1.1", uri, "127.0.0.1", "client", "site"))
            + struct.pack(">HB", 80, 0)
        )
        out += struct.pack(">H", len(named) + (length is not None))
        out += b"".join(encode_text(n) + encode_text(v) for n, v in named)
        if length is not None:
            out += b"\xa0\x08" + encode_text(str(length))
        out += b"\x05" + encode_text("a=1") + (b"\x0c" + encode_text(secret) if secret else b"") + b"\xff"
        self.sock.sendall(encode_packet(TO_SERVER, out))

    def chunk(self, data: bytes) -> None:
        """Sends a piece of a body; of no bytes, its end."""
        content = struct.pack(">H", len(data)) + data if data else b""
        self.sock.sendall(encode_packet(TO_SERVER, content))

    def peek(self) -> int:
        """The type of the next packet, left where it is."""
        return self.sock.recv(5, socket.MSG_PEEK | socket.MSG_WAITALL)[4]

    def requested_chunk_bytes(self) -> int:
        """How much of a body the other side asks for next."""
        packet = read_packet(self.sock, TO_WEB_SERVER)
        assert packet[0] == PacketType.GET_BODY_CHUNK, packet
        return struct.unpack_from(">H", packet, 1)[0]

    def request(
        self,
        method: str = "GET",
        uri: str = "/reads/1",
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        secret: str | None = None,
    ) -> None:
        """Sends a request with the first chunk of its body."""
        self.forward(method, uri, headers, None if body is None else len(body), secret)
        if body:
            self.chunk(body[:MAX_BODY_CHUNK_BYTES])

    def answer(self, rest: bytes = b"") -> AjpResponse:
        """The response; `rest` is given out as it is asked for."""
        status, headers, body = None, {}, b""
        while True:
            packet = read_packet(self.sock, TO_WEB_SERVER)
            kind = packet[0]
            if kind == PacketType.GET_BODY_CHUNK:
                size = struct.unpack_from(">H", packet, 1)[0]
                self.chunk(rest[:size])
                rest = rest[size:]
            elif kind == PacketType.SEND_HEADERS:
                status, headers = decode_response_headers(packet)
            elif kind == PacketType.SEND_BODY_CHUNK:
                body += packet[3 : 3 + struct.unpack_from(">H", packet, 1)[0]]
            else:
                assert kind == PacketType.END_RESPONSE
                self.reuse = bool(packet[1])
                return AjpResponse(status, headers, body)

    def call(self, *args: Any, rest: bytes = b"", **how: Any) -> AjpResponse:
        """A request and its response."""
        self.request(*args, **how)
        return self.answer(rest)

    def cping(self) -> bool:
        """Whether a CPing is answered by a CPong."""
        self.sock.sendall(encode_packet(TO_SERVER, bytes((PacketType.CPING,))))
        return read_packet(self.sock, TO_WEB_SERVER) == bytes((PacketType.CPONG,))

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()
