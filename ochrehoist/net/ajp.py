"""AJP/1.3 packets, both ways, without any I/O.

Every length is checked against the packet that is there, so no packet can ask for memory.
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass, field

from ochrehoist.errors import OchrehoistError

TO_CONTAINER, TO_SERVER = b"\x12\x34", b"AB"
FORWARD, SHUTDOWN, PING, CPING = 2, 7, 8, 10
BODY_CHUNK, HEADERS, END_RESPONSE, GET_BODY, CPONG = 3, 4, 5, 6, 9
MIN_PACKET, MAX_PACKET = 8192, 65536
HEAD = 4  # magic and length

METHODS = (
    "",
    "OPTIONS",
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "DELETE",
    "TRACE",
    "PROPFIND",
    "PROPPATCH",
    "MKCOL",
    "COPY",
    "MOVE",
    "LOCK",
    "UNLOCK",
    "ACL",
    "REPORT",
    "VERSION-CONTROL",
    "CHECKIN",
    "CHECKOUT",
    "UNCHECKOUT",
    "SEARCH",
    "MKWORKSPACE",
    "UPDATE",
    "LABEL",
    "MERGE",
    "BASELINE-CONTROL",
    "MKACTIVITY",
)
STORED_METHOD = 0xFF
REQUEST_HEADERS = (
    b"",
    b"accept",
    b"accept-charset",
    b"accept-encoding",
    b"accept-language",
    b"authorization",
    b"connection",
    b"content-type",
    b"content-length",
    b"cookie",
    b"cookie2",
    b"host",
    b"pragma",
    b"referer",
    b"user-agent",
)
CONTENT_TYPE, CONTENT_LENGTH = 0xA001, 0xA003  # names of response headers
A_REQ_ATTRIBUTE, A_KEY_SIZE, A_SECRET, A_STORED_METHOD, A_END = 0x0A, 0x0B, 0x0C, 0x0D, 0xFF

_U16 = struct.Struct(">H")


class MalformedPacketError(OchrehoistError):
    """The peer does not speak AJP/1.3: its connection is of no further use."""


class Cursor:
    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data, self.at = data, at

    def take(self, count: int) -> bytes:
        end = self.at + count
        if end > len(self.data):
            raise MalformedPacketError("a length beyond the packet")
        data, self.at = self.data[self.at : end], end
        return data

    def byte(self) -> int:
        return self.take(1)[0]

    def u16(self) -> int:
        return _U16.unpack(self.take(2))[0]

    def string(self) -> bytes | None:
        size = self.u16()
        if size == 0xFFFF:
            return None
        data = self.take(size + 1)
        if data[-1]:
            raise MalformedPacketError("a string without its end")
        return data[:-1]


@dataclass(slots=True)
class Forward:
    """A Forward Request: only what decisions need is taken out; `packet` goes on as it came."""

    packet: bytes
    method: str
    uri: bytes
    remote: bytes = b""  # the address of whoever asks
    headers: dict[bytes, bytes] = field(default_factory=dict)  # lower-case names; the first of each
    length: int = 0  # of the body, where it is told
    chunked: bool = False  # a body whose length is not told: it ends with an empty chunk
    secret: bytes | None = None
    secret_at: tuple[int, int] = (0, 0)
    end_at: int = 0  # where the attributes end

    def passed_on(self, secret: bytes | None) -> bytes:
        """The packet's payload for a server behind: unchanged, but for the secret of this hop."""
        start, end = self.secret_at
        kept = (
            self.packet[:start] + self.packet[end : self.end_at]
            if self.secret is not None
            else self.packet[: self.end_at]
        )
        return kept + (bytes((A_SECRET,)) + string(secret) if secret else b"") + bytes((A_END,))


def forward(packet: bytes) -> Forward:
    c = Cursor(packet, 1)
    code = c.byte()
    c.string()  # protocol
    uri = c.string() or b""
    remote = c.string() or b""
    for _ in range(2):  # remote host, server name
        c.string()
    c.u16()  # port
    c.byte()  # over TLS
    f = Forward(packet, METHODS[code] if 0 < code < len(METHODS) else "", uri, remote)
    for _ in range(c.u16()):
        f_name, value = _header(c)
        f.headers.setdefault(f_name, value)
    while (kind := c.byte()) != A_END:
        start = c.at - 1
        if kind == A_REQ_ATTRIBUTE:
            c.string()
            c.string()
        elif kind == A_KEY_SIZE:
            c.u16()
        elif 0 < kind <= A_STORED_METHOD:
            value = c.string()
            if kind == A_SECRET:
                if f.secret is not None:
                    raise MalformedPacketError("two secrets")
                f.secret, f.secret_at = value or b"", (start, c.at)
            elif kind == A_STORED_METHOD and code == STORED_METHOD:
                f.method = (value or b"").decode("latin-1")
        else:
            raise MalformedPacketError(f"an unknown attribute {kind}")
    f.end_at = c.at - 1
    if not f.method:
        raise MalformedPacketError(f"an unknown method {code}")
    told = f.headers.get(b"content-length")
    f.chunked = told is None and b"chunked" in f.headers.get(b"transfer-encoding", b"").lower()
    if told is not None:
        if not told.isdigit() or len(told) > 15:
            raise MalformedPacketError("a content length that is no number")
        f.length = int(told)
    return f


def _header(c: Cursor) -> tuple[bytes, bytes]:
    size = c.u16()
    if size >> 8 == 0xA0:
        at = size & 0xFF
        if not 0 < at < len(REQUEST_HEADERS):
            raise MalformedPacketError(f"an unknown header code {at}")
        name = REQUEST_HEADERS[at]
    else:
        c.at -= 2
        name = (c.string() or b"").lower()
    return name, c.string() or b""


def body(payload: bytes) -> bytes:
    """The data of a body packet; an empty one ends the body."""
    if not payload:
        return b""
    c = Cursor(payload)
    return c.take(c.u16())


@dataclass(slots=True)
class Reply:
    """A response: the Send Headers payload as it came, and the whole body."""

    status: int
    headers: bytes
    body: bytes = b""


class ReplyCodec:
    """What a result of an AJP server carries for an AJP client, in JSON: for a process that takes over."""

    def to_json(self, detail: object) -> dict | None:
        if not isinstance(detail, Reply):
            return None
        return {"status": detail.status, "headers": detail.headers.hex()}

    def from_json(self, data: dict | None) -> Reply | None:
        return None if data is None else Reply(int(data["status"]), bytes.fromhex(data["headers"]))


def reply(payload: bytes) -> Reply:
    c = Cursor(payload, 1)
    status = c.u16()
    c.string()  # reason
    for _ in range(c.u16()):
        if c.u16() >> 8 != 0xA0:
            c.at -= 2
            c.string()
        c.string()
    return Reply(status, payload)


def chunk(payload: bytes) -> bytes:
    c = Cursor(payload, 1)
    return c.take(c.u16())


# ---- writing


def string(data: bytes) -> bytes:
    return _U16.pack(len(data)) + data + b"\0"


def packet(magic: bytes, payload: bytes) -> bytes:
    return magic + _U16.pack(len(payload)) + payload


def body_packet(data: bytes) -> bytes:
    return packet(TO_CONTAINER, _U16.pack(len(data)) + data if data else b"")


def get_body(size: int) -> bytes:
    return packet(TO_SERVER, bytes((GET_BODY,)) + _U16.pack(size))


def headers(status: int, reason: str, values: Sequence[tuple[int | bytes, bytes]]) -> bytes:
    named = b"".join((_U16.pack(n) if isinstance(n, int) else string(n)) + string(v) for n, v in values)
    return bytes((HEADERS,)) + _U16.pack(status) + string(reason.encode()) + _U16.pack(len(values)) + named


def response(head: bytes, data: bytes, size: int, reuse: bool) -> bytes:
    """A whole response in packets of at most `size` bytes."""
    parts, room = [packet(TO_SERVER, head)], size - HEAD - 4
    for at in range(0, len(data), room):
        piece = data[at : at + room]
        parts.append(packet(TO_SERVER, bytes((BODY_CHUNK,)) + _U16.pack(len(piece)) + piece + b"\0"))
    parts.append(packet(TO_SERVER, bytes((END_RESPONSE, reuse))))
    return b"".join(parts)


PING_PACKET = packet(TO_CONTAINER, bytes((CPING,)))
PONG_PACKET = packet(TO_SERVER, bytes((CPONG,)))
