"""Parser and encoder of AJP/1.3 packets, in both directions, without I/O.

Every length is checked against the received packet, so that a false length allocates no memory. Malformed
input raises MalformedPacketError.
"""

import struct
from collections.abc import Container, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from ochrehoist.errors import OchrehoistError

# The magic bytes of each direction: web server to container, and container to web server.
TO_CONTAINER = b"\x12\x34"
TO_SERVER = b"AB"
# Types of the packets from a web server.
FORWARD = 2
SHUTDOWN = 7
PING = 8
CPING = 10
# Types of the packets to a web server.
BODY_CHUNK = 3
HEADERS = 4
END_RESPONSE = 5
GET_BODY = 6
CPONG = 9

HEADER_BYTES = 4  # magic and length of a packet
CHUNK_LENGTH_BYTES = 2  # the length field before a chunk of a request body
CHUNK_OVERHEAD_BYTES = 4  # packet type, length and terminating zero of a response chunk

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
STORED_METHOD = 0xFF  # method code of a request whose method is in an attribute
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
CONTENT_LENGTH_NAME = b"content-length"
TRANSFER_ENCODING_NAME = b"transfer-encoding"
LENGTH_NAMES = (CONTENT_LENGTH_NAME, TRANSFER_ENCODING_NAME)
# Codes of response headers.
CONTENT_TYPE = 0xA001
CONTENT_LENGTH = 0xA003
ATTRIBUTE_OTHER = 0x0A
ATTRIBUTE_KEY_SIZE = 0x0B
ATTRIBUTE_SECRET = 0x0C
ATTRIBUTE_STORED_METHOD = 0x0D
ATTRIBUTES_END = 0xFF
NULL_STRING_LENGTH = 0xFFFF  # length field of an absent string
CODED_HEADER_PREFIX = 0xA0  # high byte of a header code
CODED_HEADER_BYTE = bytes((CODED_HEADER_PREFIX,))
MAX_CONTENT_LENGTH_DIGITS = 15
MAX_FIELDS = 256  # headers, and likewise attributes; web servers pass on about 100 headers at most

_U16 = struct.Struct(">H")


class PacketFault(StrEnum):
    """The reason why a packet is rejected, as it appears in the log."""

    LENGTH_BEYOND_PACKET = "length exceeds the packet"
    UNTERMINATED_STRING = "unterminated string"
    UNKNOWN_HEADER_CODE = "unknown header code"
    TWO_SECRETS = "duplicate secret attribute"
    UNKNOWN_ATTRIBUTE = "unknown attribute"
    UNKNOWN_METHOD = "unknown method code"
    TOO_MANY_FIELDS = "too many headers or attributes:"
    INVALID_CONTENT_LENGTH = "invalid content length"
    CONFLICTING_LENGTHS = "conflicting statements of the body's length"
    UNEXPECTED_PACKET = "unexpected packet type"
    WRONG_PACKET = "wrong magic bytes, or packet too long"
    RESPONSE_TOO_LARGE = "response exceeds the size limit"
    BODY_TOO_LONG = "body longer than its content length"
    CHUNK_TOO_SHORT = "body chunk shorter than its packet"


class MalformedPacketError(OchrehoistError):
    """The peer violated AJP/1.3, or a limit; its connection must be closed.

    Attributes:
        fault: The reason.
    """

    def __init__(self, fault: PacketFault, value: int | None = None) -> None:
        """Appends `value`, the invalid code, to the message if it is given."""
        super().__init__(fault.value if value is None else f"{fault.value} {value}")
        self.fault = fault


class TooManyFieldsError(MalformedPacketError):
    """A Forward Request has more headers or attributes than are read, so the rest of it is unknown."""

    def __init__(self, count: int) -> None:
        super().__init__(PacketFault.TOO_MANY_FIELDS, count)


class PacketReader:
    """A cursor over the payload of a packet. Its methods raise MalformedPacketError beyond the end."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes, position: int = 0) -> None:
        self.data = data
        self.position = position

    def read_bytes(self, count: int) -> bytes:
        """Reads `count` bytes."""
        end = self.position + count
        if end > len(self.data):
            raise MalformedPacketError(PacketFault.LENGTH_BEYOND_PACKET)
        data = self.data[self.position : end]
        self.position = end
        return data

    def read_byte(self) -> int:
        """Reads one byte."""
        self.position += 1
        if self.position > len(self.data):
            raise MalformedPacketError(PacketFault.LENGTH_BEYOND_PACKET)
        return self.data[self.position - 1]

    def read_u16(self) -> int:
        """Reads an unsigned 16-bit integer."""
        self.position += 2
        if self.position > len(self.data):
            raise MalformedPacketError(PacketFault.LENGTH_BEYOND_PACKET)
        value: int = _U16.unpack_from(self.data, self.position - 2)[0]
        return value

    def read_string(self) -> bytes | None:
        """Reads a string; returns None for an absent string, which differs from an empty one."""
        size = self.read_u16()
        if size == NULL_STRING_LENGTH:
            return None
        data = self.read_bytes(size + 1)
        if data[-1]:
            raise MalformedPacketError(PacketFault.UNTERMINATED_STRING)
        return data[:-1]


# ---- requests


@dataclass(slots=True)
class ForwardRequest:
    """A Forward Request packet, of which only the fields that routing and admission need are parsed.

    Attributes:
        packet: The payload of the packet, which is forwarded unchanged except for the secret.
        method: The HTTP method.
        uri: The path as decoded by the web server, without the query.
        remote_address: The address of the HTTP client.
        headers: The first value of each header that is of interest, by name in lower case.
        length: The size of the body in bytes; 0 if unknown.
        chunked: Whether the size of the body is unknown and an empty chunk ends it.
        secret: The secret that authenticates the web server, if it sent one.
        secret_span: Start and end of the secret attribute in `packet`.
        attributes_end: Position in `packet` of the byte that terminates the attributes.
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
        """Returns the payload to send to a backend server, with that server's secret in place of this one."""
        content = self.packet[: self.attributes_end]
        if self.secret is not None:
            start, end = self.secret_span
            content = self.packet[:start] + self.packet[end : self.attributes_end]
        secret_attribute = bytes((ATTRIBUTE_SECRET,)) + encode_string(secret) if secret else b""
        return content + secret_attribute + bytes((ATTRIBUTES_END,))


@dataclass(slots=True)
class AjpPayload:
    """A received request, with its complete body."""

    forward: ForwardRequest
    body: bytes


def parse_forward(packet: bytes, header_names: Container[bytes] | None = None) -> ForwardRequest:
    """Parses the payload of a Forward Request packet.

    Args:
        packet: The payload.
        header_names: The headers to keep, besides those that state the length of the body; None for all.

    Raises:
        TooManyFieldsError: It has more than MAX_FIELDS headers or attributes.
        MalformedPacketError: It cannot be parsed.
    """
    reader = PacketReader(packet, 1)
    method_code = reader.read_byte()
    reader.read_string()  # protocol
    uri = reader.read_string() or b""
    remote_address = reader.read_string() or b""
    reader.read_string()  # remote host
    reader.read_string()  # server name
    reader.read_u16()  # port
    reader.read_byte()  # whether the client used TLS
    method = METHODS[method_code] if 0 < method_code < len(METHODS) else ""
    forward = ForwardRequest(packet, method, uri, remote_address)
    _read_headers(reader, forward, header_names)
    _read_attributes(reader, forward, method_code)
    if not forward.method:
        raise MalformedPacketError(PacketFault.UNKNOWN_METHOD, method_code)
    _read_body_length(forward)
    return forward


def _read_headers(
    reader: PacketReader, forward: ForwardRequest, header_names: Container[bytes] | None
) -> None:
    count = reader.read_u16()
    if count > MAX_FIELDS:
        raise TooManyFieldsError(count)
    data = reader.data
    position = reader.position
    for _ in range(count):
        if data[position : position + 1] == CODED_HEADER_BYTE:
            code = data[position + 1] if position + 1 < len(data) else 0
            if not 0 < code < len(REQUEST_HEADERS):
                raise MalformedPacketError(PacketFault.UNKNOWN_HEADER_CODE, code)
            name = REQUEST_HEADERS[code]
            position += 2
        else:
            name_end = _end_of_string(data, position)
            name = data[position + 2 : name_end - 1].lower()
            position = name_end
        value_end = _end_of_string(data, position)
        if header_names is None or name in header_names or name in LENGTH_NAMES:
            value = data[position + 2 : value_end - 1]
            if forward.headers.setdefault(name, value) != value and name == CONTENT_LENGTH_NAME:
                raise MalformedPacketError(PacketFault.CONFLICTING_LENGTHS)
        position = value_end
    reader.position = position


def _end_of_string(data: bytes, position: int) -> int:
    """Returns the position behind the string at `position`; an absent string has only its length."""
    if position + 2 > len(data):
        raise MalformedPacketError(PacketFault.LENGTH_BEYOND_PACKET)
    size: int = _U16.unpack_from(data, position)[0]
    if size == NULL_STRING_LENGTH:
        return position + 2
    end = position + size + 3
    if end > len(data):
        raise MalformedPacketError(PacketFault.LENGTH_BEYOND_PACKET)
    if data[end - 1]:
        raise MalformedPacketError(PacketFault.UNTERMINATED_STRING)
    return end


def _read_attributes(reader: PacketReader, forward: ForwardRequest, method_code: int) -> None:
    count = 0
    while (kind := reader.read_byte()) != ATTRIBUTES_END:
        start = reader.position - 1
        count += 1
        if count > MAX_FIELDS:
            raise TooManyFieldsError(count)
        if kind == ATTRIBUTE_OTHER:
            reader.read_string()  # name
            reader.read_string()  # value
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
    length = forward.headers.get(CONTENT_LENGTH_NAME)
    chunked = b"chunked" in forward.headers.get(TRANSFER_ENCODING_NAME, b"").lower()
    if length is None:
        forward.chunked = chunked
        return
    if chunked:
        raise MalformedPacketError(PacketFault.CONFLICTING_LENGTHS)
    if not length.isdigit() or len(length) > MAX_CONTENT_LENGTH_DIGITS:
        raise MalformedPacketError(PacketFault.INVALID_CONTENT_LENGTH)
    forward.length = int(length)


def parse_request_chunk(payload: bytes) -> bytes:
    """Returns the data of a request body packet; empty data ends the body."""
    if not payload:
        return b""
    reader = PacketReader(payload)
    data = reader.read_bytes(reader.read_u16())
    if reader.position != len(payload):
        raise MalformedPacketError(PacketFault.CHUNK_TOO_SHORT)
    return data


# ---- responses


@dataclass(slots=True)
class Reply:
    """A response of an AJP server.

    Attributes:
        status: The HTTP status code.
        headers: The payload of the Send Headers packet, unchanged.
        body: The complete body.
    """

    status: int
    headers: bytes
    body: bytes = b""


def parse_headers(payload: bytes) -> Reply:
    """Parses the payload of a Send Headers packet; returns a response without its body."""
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
    """Returns the data of a Send Body Chunk payload."""
    reader = PacketReader(payload, 1)
    data = reader.read_bytes(reader.read_u16())
    if len(payload) - reader.position > 1:  # some servers leave out the terminating zero
        raise MalformedPacketError(PacketFault.CHUNK_TOO_SHORT)
    return data


def parse_get_body(payload: bytes) -> int:
    """Returns the number of body bytes that a server requests with a Get Body Chunk payload."""
    return PacketReader(payload, 1).read_u16()


def parse_end_response(payload: bytes) -> bool:
    """Returns whether the server keeps the connection open after an End Response payload."""
    return PacketReader(payload, 1).read_byte() == 1


# ---- writing


def encode_string(data: bytes) -> bytes:
    """Returns a string with its length prefix and terminating zero."""
    return _U16.pack(len(data)) + data + b"\0"


def encode_packet(magic: bytes, payload: bytes) -> bytes:
    """Returns a packet; `magic` is that of its direction."""
    return magic + _U16.pack(len(payload)) + payload


def encode_request_chunk(data: bytes) -> bytes:
    """Returns a request body packet to a server; empty data ends the body."""
    return encode_packet(TO_CONTAINER, _U16.pack(len(data)) + data if data else b"")


def encode_get_body(size: int) -> bytes:
    """Returns a packet that requests up to `size` body bytes from a web server."""
    return encode_packet(TO_SERVER, bytes((GET_BODY,)) + _U16.pack(size))


def encode_headers(status: int, reason: str, headers: Sequence[tuple[int | bytes, bytes]]) -> bytes:
    """Returns a Send Headers payload; each header is a pair of its code or name, and its value."""
    encoded = b"".join(
        (_U16.pack(name) if isinstance(name, int) else encode_string(name)) + encode_string(value)
        for name, value in headers
    )
    status_line = bytes((HEADERS,)) + _U16.pack(status) + encode_string(reason.encode())
    return status_line + _U16.pack(len(headers)) + encoded


def encode_response(headers: bytes, body: bytes, packet_size: int, reuse: bool) -> bytes:
    """Returns a complete response in packets of at most `packet_size` bytes.

    Args:
        headers: The Send Headers payload.
        body: The complete body.
        packet_size: Maximum size of a packet in bytes.
        reuse: Whether the connection stays open for another request.
    """
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
