"""AJP/1.3 packets, both ways, without any I/O.

Every length is checked against the packet that is there, so no packet can ask for memory. What can't be read
raises MalformedPacketError.
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from ochrehoist.errors import OchrehoistError

# The magic of each direction.
TO_CONTAINER = b"\x12\x34"
TO_SERVER = b"AB"
# Kinds of packets of a web server.
FORWARD = 2
SHUTDOWN = 7
PING = 8
CPING = 10
# Kinds of packets to a web server.
BODY_CHUNK = 3
HEADERS = 4
END_RESPONSE = 5
GET_BODY = 6
CPONG = 9

HEADER_BYTES = 4  # magic and length
CHUNK_LENGTH_BYTES = 2  # in front of a chunk of a body
CHUNK_OVERHEAD_BYTES = 4  # of a chunk of a response: kind, length, a final zero

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
# Names of response headers.
CONTENT_TYPE = 0xA001
CONTENT_LENGTH = 0xA003
ATTRIBUTE_OTHER = 0x0A
ATTRIBUTE_KEY_SIZE = 0x0B
ATTRIBUTE_SECRET = 0x0C
ATTRIBUTE_STORED_METHOD = 0x0D
ATTRIBUTES_END = 0xFF
NULL_STRING_LENGTH = 0xFFFF  # in place of a length
CODED_HEADER_PREFIX = 0xA0  # the high byte of a header's code
MAX_CONTENT_LENGTH_DIGITS = 15

_U16 = struct.Struct(">H")


class PacketFault(StrEnum):
    """What is wrong with a packet."""

    LENGTH_BEYOND_PACKET = "a length beyond the packet"
    UNTERMINATED_STRING = "a string without its end"
    UNKNOWN_HEADER_CODE = "an unknown header code"
    TWO_SECRETS = "two secrets"
    UNKNOWN_ATTRIBUTE = "an unknown attribute"
    UNKNOWN_METHOD = "an unknown method"
    INVALID_CONTENT_LENGTH = "a content length that is no number"
    UNEXPECTED_PACKET = "an unexpected packet"
    WRONG_PACKET = "not a packet of this direction, or one too long"
    RESPONSE_TOO_LARGE = "a response over the limit"
    BODY_TOO_LONG = "more body than told"


class MalformedPacketError(OchrehoistError):
    """The peer does not speak AJP/1.3: its connection is of no further use. `value` is what was found."""

    def __init__(self, fault: PacketFault, value: int | None = None) -> None:
        super().__init__(fault.value if value is None else f"{fault.value} {value}")
        self.fault = fault


class PacketReader:
    """Reads the payload of a packet from one position on."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes, position: int = 0) -> None:
        self.data = data
        self.position = position

    def read_bytes(self, count: int) -> bytes:
        """So many bytes."""
        end = self.position + count
        if end > len(self.data):
            raise MalformedPacketError(PacketFault.LENGTH_BEYOND_PACKET)
        data = self.data[self.position : end]
        self.position = end
        return data

    def read_byte(self) -> int:
        """One byte."""
        self.position += 1
        if self.position > len(self.data):
            raise MalformedPacketError(PacketFault.LENGTH_BEYOND_PACKET)
        return self.data[self.position - 1]

    def read_u16(self) -> int:
        """An unsigned number of 16 bits."""
        self.position += 2
        if self.position > len(self.data):
            raise MalformedPacketError(PacketFault.LENGTH_BEYOND_PACKET)
        value: int = _U16.unpack_from(self.data, self.position - 2)[0]
        return value

    def read_string(self) -> bytes | None:
        """A string; None where there is none, which is not the same as an empty one."""
        size = self.read_u16()
        if size == NULL_STRING_LENGTH:
            return None
        data = self.read_bytes(size + 1)
        if data[-1]:
            raise MalformedPacketError(PacketFault.UNTERMINATED_STRING)
        return data[:-1]

    def read_header(self) -> tuple[bytes, bytes]:
        """Name, in lower case, and value of a request header."""
        size = self.read_u16()
        if size >> 8 == CODED_HEADER_PREFIX:
            code = size & 0xFF
            if not 0 < code < len(REQUEST_HEADERS):
                raise MalformedPacketError(PacketFault.UNKNOWN_HEADER_CODE, code)
            name = REQUEST_HEADERS[code]
        else:
            self.position -= 2
            name = (self.read_string() or b"").lower()
        return name, self.read_string() or b""


# ---- requests


@dataclass(slots=True)
class ForwardRequest:
    """A Forward Request: only what decisions need is taken out; `packet` is forwarded as it came.

    Attributes:
        packet: The payload of the packet.
        method: Of HTTP.
        uri: As the web server decoded it, without the query.
        remote_address: Of the client.
        headers: By their names in lower case; the first of each.
        length: Of the body, in bytes, where it is known.
        chunked: The body's length is not known: it ends with an empty chunk.
        secret: What the web server proves itself with.
        secret_span: Start and end of that attribute in the packet.
        attributes_end: Where the attributes end.
    """

    packet: bytes
    method: str
    uri: bytes
    remote_address: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    length: int = 0
    chunked: bool = False
    secret: bytes | None = None
    secret_span: tuple[int, int] = (0, 0)
    attributes_end: int = 0

    def payload_for_server(self, secret: bytes | None) -> bytes:
        """The packet's payload for a server behind: unchanged, but for the secret of this hop."""
        kept = self.packet[: self.attributes_end]
        if self.secret is not None:
            start, end = self.secret_span
            kept = self.packet[:start] + self.packet[end : self.attributes_end]
        secret_attribute = bytes((ATTRIBUTE_SECRET,)) + encode_string(secret) if secret else b""
        return kept + secret_attribute + bytes((ATTRIBUTES_END,))


@dataclass(slots=True)
class AjpPayload:
    """A request as it came: its packet, and its body, read whole."""

    forward: ForwardRequest
    body: bytes


def parse_forward(packet: bytes) -> ForwardRequest:
    """Reads the payload of a Forward Request."""
    reader = PacketReader(packet, 1)
    method_code = reader.read_byte()
    reader.read_string()  # protocol
    uri = reader.read_string() or b""
    remote_address = reader.read_string() or b""
    reader.read_string()  # remote host
    reader.read_string()  # server name
    reader.read_u16()  # port
    reader.read_byte()  # over TLS
    method = METHODS[method_code] if 0 < method_code < len(METHODS) else ""
    forward = ForwardRequest(packet, method, uri, remote_address)
    for _ in range(reader.read_u16()):
        name, value = reader.read_header()
        forward.headers.setdefault(name, value)
    _read_attributes(reader, forward, method_code)
    if not forward.method:
        raise MalformedPacketError(PacketFault.UNKNOWN_METHOD, method_code)
    _read_body_length(forward)
    return forward


def _read_attributes(reader: PacketReader, forward: ForwardRequest, method_code: int) -> None:
    while (kind := reader.read_byte()) != ATTRIBUTES_END:
        start = reader.position - 1
        if kind == ATTRIBUTE_OTHER:
            reader.read_string()  # its name
            reader.read_string()
        elif kind == ATTRIBUTE_KEY_SIZE:
            reader.read_u16()
        elif 0 < kind <= ATTRIBUTE_STORED_METHOD:
            value = reader.read_string()
            if kind == ATTRIBUTE_SECRET:
                if forward.secret is not None:
                    raise MalformedPacketError(PacketFault.TWO_SECRETS)
                forward.secret = value or b""
                forward.secret_span = (start, reader.position)
            elif kind == ATTRIBUTE_STORED_METHOD and method_code == STORED_METHOD:
                forward.method = (value or b"").decode("latin-1")
        else:
            raise MalformedPacketError(PacketFault.UNKNOWN_ATTRIBUTE, kind)
    forward.attributes_end = reader.position - 1


def _read_body_length(forward: ForwardRequest) -> None:
    length = forward.headers.get(b"content-length")
    if length is None:
        forward.chunked = b"chunked" in forward.headers.get(b"transfer-encoding", b"").lower()
        return
    if not length.isdigit() or len(length) > MAX_CONTENT_LENGTH_DIGITS:
        raise MalformedPacketError(PacketFault.INVALID_CONTENT_LENGTH)
    forward.length = int(length)


def parse_request_chunk(payload: bytes) -> bytes:
    """The data of a body packet; an empty one ends the body."""
    if not payload:
        return b""
    reader = PacketReader(payload)
    return reader.read_bytes(reader.read_u16())


# ---- responses


@dataclass(slots=True)
class Reply:
    """A response: the Send Headers payload as it came, and the whole body."""

    status: int
    headers: bytes
    body: bytes = b""


class ReplyCodec:
    """A DetailCodec: what the result of an AJP server carries for an AJP client, in JSON."""

    def to_json(self, detail: object) -> dict[str, Any] | None:
        """None where the detail is of another executor."""
        if not isinstance(detail, Reply):
            return None
        return {"status": detail.status, "headers": detail.headers.hex()}

    def from_json(self, data: Any) -> Reply | None:
        """Raises KeyError, TypeError or ValueError where the data is damaged."""
        return None if data is None else Reply(int(data["status"]), bytes.fromhex(data["headers"]))


def parse_headers(payload: bytes) -> Reply:
    """Reads a Send Headers payload; the body is still to come."""
    reader = PacketReader(payload, 1)
    status = reader.read_u16()
    reader.read_string()  # reason
    for _ in range(reader.read_u16()):
        if reader.read_u16() >> 8 != CODED_HEADER_PREFIX:
            reader.position -= 2
            reader.read_string()
        reader.read_string()
    return Reply(status, payload)


def parse_response_chunk(payload: bytes) -> bytes:
    """The data of a Send Body Chunk payload."""
    reader = PacketReader(payload, 1)
    return reader.read_bytes(reader.read_u16())


def parse_get_body(payload: bytes) -> int:
    """How many bytes of the body a server asks for."""
    return PacketReader(payload, 1).read_u16()


def parse_end_response(payload: bytes) -> bool:
    """Whether the connection may be used again."""
    return PacketReader(payload, 1).read_byte() == 1


# ---- writing


def encode_string(data: bytes) -> bytes:
    """A string with its length and its end."""
    return _U16.pack(len(data)) + data + b"\0"


def encode_packet(magic: bytes, payload: bytes) -> bytes:
    """A packet of the direction that `magic` stands for."""
    return magic + _U16.pack(len(payload)) + payload


def encode_request_chunk(data: bytes) -> bytes:
    """A body packet to a server."""
    return encode_packet(TO_CONTAINER, _U16.pack(len(data)) + data if data else b"")


def encode_get_body(size: int) -> bytes:
    """Asks a web server for so many bytes of the body."""
    return encode_packet(TO_SERVER, bytes((GET_BODY,)) + _U16.pack(size))


def encode_headers(status: int, reason: str, headers: Sequence[tuple[int | bytes, bytes]]) -> bytes:
    """A Send Headers payload; headers are by their code or name."""
    encoded = b"".join(
        (_U16.pack(name) if isinstance(name, int) else encode_string(name)) + encode_string(value)
        for name, value in headers
    )
    start = bytes((HEADERS,)) + _U16.pack(status) + encode_string(reason.encode())
    return start + _U16.pack(len(headers)) + encoded


def encode_response(headers: bytes, body: bytes, packet_size: int, reuse: bool) -> bytes:
    """A whole response in packets of at most `packet_size` bytes; `reuse`: the connection stays open."""
    packets = [encode_packet(TO_SERVER, headers)]
    chunk_bytes = packet_size - HEADER_BYTES - CHUNK_OVERHEAD_BYTES
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        payload = bytes((BODY_CHUNK,)) + _U16.pack(len(chunk)) + chunk + b"\0"
        packets.append(encode_packet(TO_SERVER, payload))
    packets.append(encode_packet(TO_SERVER, bytes((END_RESPONSE, reuse))))
    return b"".join(packets)


PING_PACKET = encode_packet(TO_CONTAINER, bytes((CPING,)))
PONG_PACKET = encode_packet(TO_SERVER, bytes((CPONG,)))
