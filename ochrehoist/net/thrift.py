"""Parser and encoder of the parts of Thrift's framed, strict binary protocol that this service uses.

No I/O. Every length is checked against the received frame, so that a false length allocates no memory.
Malformed input raises MalformedFrameError.
"""

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Self

from ochrehoist.errors import OchrehoistError

VERSION = 0x80010000
# Message types.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4
# Value types.
STOP = 0
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
FIXED_SIZES = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
# Types of application exceptions.
UNKNOWN_METHOD = 1
PROTOCOL_ERROR = 7
MAX_DEPTH = 16
MAX_MAP_ENTRIES = 256  # a call has about a dozen
VERSION_MASK = 0xFFFF0000
KIND_MASK = 0xFF
WORD_MASK = 0xFFFFFFFF
MIN_MAP_ENTRY_BYTES = 8  # the lengths of key and value of a map of strings

_I32 = struct.Struct(">i")
_I16 = struct.Struct(">h")
_FIELD = struct.Struct(">bh")


class FrameFault(StrEnum):
    """The reason why a frame is rejected, as it appears in the log."""

    LENGTH_BEYOND_FRAME = "length exceeds the frame"
    COUNT_BEYOND_FRAME = "element count exceeds the frame"
    WRONG_MAP_TYPES = "map keys or values are not strings"
    NESTED_TOO_DEEPLY = "nested too deeply"
    UNKNOWN_TYPE = "unknown value type"
    WRONG_VERSION = "not the strict binary protocol"
    FRAME_TOO_LONG = "frame too long"
    UNEXPECTED_MESSAGE = "neither a call nor a oneway message"
    SEQUENCE_ID_IN_USE = "duplicate sequence id"


class MalformedFrameError(OchrehoistError):
    """The frame cannot be parsed, so its connection must be closed.

    Attributes:
        fault: The reason.
    """

    def __init__(self, fault: FrameFault, value: int | None = None) -> None:
        """Appends `value`, the invalid type, to the message if it is given."""
        super().__init__(fault.value if value is None else f"{fault.value} {value}")
        self.fault = fault


class InvalidArgumentsError(OchrehoistError):
    """The arguments of a well-formed message are invalid; the error text is sent to the caller."""

    @classmethod
    def in_field(cls, name: str, problem: str) -> Self:
        """Returns the error for an entry of the map `fields`."""
        return cls(f"field {name}: {problem}")

    @classmethod
    def in_argument(cls, name: str, problem: str) -> Self:
        """Returns the error for an argument of the method."""
        return cls(f"{name}: {problem}")


class TooManyRequestsError(InvalidArgumentsError):
    """The connection has reached its limit of open requests."""

    def __init__(self) -> None:
        super().__init__("too many requests open")


@dataclass(slots=True)
class Message:
    """The head of a message; `args` reads its arguments."""

    kind: int
    method: bytes
    seqid: int
    args: "FrameReader"


class FrameReader:
    """A cursor over a frame. Its methods raise MalformedFrameError for malformed values."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes, position: int = 0) -> None:
        self.data = data
        self.position = position

    def read_bytes(self, count: int) -> bytes:
        """Reads `count` bytes."""
        end = self.position + count
        if count < 0 or end > len(self.data):
            raise MalformedFrameError(FrameFault.LENGTH_BEYOND_FRAME)
        data = self.data[self.position : end]
        self.position = end
        return data

    def read_byte(self) -> int:
        """Reads one byte."""
        if self.position >= len(self.data):
            raise MalformedFrameError(FrameFault.LENGTH_BEYOND_FRAME)
        self.position += 1
        return self.data[self.position - 1]

    def read_i32(self) -> int:
        """Reads a signed 32-bit integer."""
        self.position += 4
        if self.position > len(self.data):
            raise MalformedFrameError(FrameFault.LENGTH_BEYOND_FRAME)
        value: int = _I32.unpack_from(self.data, self.position - 4)[0]
        return value

    def read_string(self) -> bytes:
        """Reads a string or binary data."""
        return self.read_bytes(self.read_i32())

    def read_fields(self) -> Iterator[tuple[int, int]]:
        """Yields type and id of each field of a struct; the caller must read or skip the value."""
        while (kind := self.read_byte()) != STOP:
            self.position += 2
            if self.position > len(self.data):
                raise MalformedFrameError(FrameFault.LENGTH_BEYOND_FRAME)
            yield kind, _I16.unpack_from(self.data, self.position - 2)[0]

    def read_string_map(self) -> dict[bytes, bytes]:
        """Reads a map of strings to strings.

        The entries, about a dozen per request, are parsed inline rather than by `read_string`, to keep
        requests that are rejected cheap. Raises InvalidArgumentsError for more than MAX_MAP_ENTRIES.
        """
        key_type = self.read_byte()
        value_type = self.read_byte()
        count = self.read_i32()
        if count < 0 or count * MIN_MAP_ENTRY_BYTES > len(self.data) - self.position:
            raise MalformedFrameError(FrameFault.COUNT_BEYOND_FRAME)
        if count and (key_type, value_type) != (STRING, STRING):
            raise MalformedFrameError(FrameFault.WRONG_MAP_TYPES)
        if count > MAX_MAP_ENTRIES:
            raise InvalidArgumentsError.in_argument("fields", "too many")
        data = self.data
        position = self.position
        end = len(data)
        unpack = _I32.unpack_from
        strings: list[bytes] = []
        for _ in range(2 * count):
            start = position + 4
            if start > end:
                raise MalformedFrameError(FrameFault.LENGTH_BEYOND_FRAME)
            size = unpack(data, position)[0]
            position = start + size
            if size < 0 or position > end:
                raise MalformedFrameError(FrameFault.LENGTH_BEYOND_FRAME)
            strings.append(data[start:position])
        self.position = position
        return dict(zip(strings[::2], strings[1::2], strict=True))

    def skip(self, kind: int, depth: int = 0) -> None:
        """Skips a value of any type."""
        if depth > MAX_DEPTH:
            raise MalformedFrameError(FrameFault.NESTED_TOO_DEEPLY)
        if kind in FIXED_SIZES:
            self.read_bytes(FIXED_SIZES[kind])
        elif kind == STRING:
            self.read_string()
        elif kind == STRUCT:
            for inner_kind, _ in self.read_fields():
                self.skip(inner_kind, depth + 1)
        elif kind in (LIST, SET, MAP):
            self._skip_elements(kind, depth)
        else:
            raise MalformedFrameError(FrameFault.UNKNOWN_TYPE, kind)

    def _skip_elements(self, kind: int, depth: int) -> None:
        kinds = [self.read_byte() for _ in range(2 if kind == MAP else 1)]
        count = self.read_i32()
        # Each element takes at least one byte; a larger count would only cost processor time.
        if count < 0 or count > len(self.data) - self.position:
            raise MalformedFrameError(FrameFault.COUNT_BEYOND_FRAME)
        for _ in range(count):
            for inner_kind in kinds:
                self.skip(inner_kind, depth + 1)


def parse_message(frame: bytes) -> Message:
    """Parses the head of the message in a frame."""
    reader = FrameReader(frame)
    head = reader.read_i32() & WORD_MASK
    if head & VERSION_MASK != VERSION:
        raise MalformedFrameError(FrameFault.WRONG_VERSION)
    method = reader.read_string()
    return Message(head & KIND_MASK, method, reader.read_i32(), reader)


# ---- writing

STRUCT_END = bytes((STOP,))


def encode_string(data: bytes) -> bytes:
    """Returns a string with its length prefix."""
    return _I32.pack(len(data)) + data


def encode_field(kind: int, number: int, value: bytes) -> bytes:
    """Returns a field of a struct."""
    return _FIELD.pack(kind, number) + value


def encode_string_map(values: Mapping[bytes, bytes]) -> bytes:
    """Returns a map of strings to strings."""
    entries = b"".join(encode_string(key) + encode_string(value) for key, value in values.items())
    return bytes((STRING, STRING)) + _I32.pack(len(values)) + entries


def encode_message(kind: int, method: bytes, seqid: int, body: bytes) -> bytes:
    """Returns a framed message; `body` is an encoded struct."""
    head = _I32.pack((VERSION | kind) - (1 << 32))
    data = head + encode_string(method) + _I32.pack(seqid) + body
    return _I32.pack(len(data)) + data


def encode_answer(body: bytes, values: Mapping[bytes, bytes], good: bool) -> bytes:
    """Returns the service's struct `Answer`."""
    return (
        encode_field(STRING, 1, encode_string(body))
        + encode_field(MAP, 2, encode_string_map(values))
        + encode_field(BOOL, 3, bytes((good,)))
        + STRUCT_END
    )


def encode_reply(method: bytes, seqid: int, field_id: int, value: bytes) -> bytes:
    """Returns the framed result of a call; field 0 holds its return value, other fields its exceptions."""
    return encode_message(REPLY, method, seqid, encode_field(STRUCT, field_id, value) + STRUCT_END)


def encode_service_exception(values: Mapping[bytes, bytes]) -> bytes:
    """Returns the struct that all exceptions of this service share."""
    return encode_field(MAP, 1, encode_string_map(values)) + STRUCT_END


def encode_application_exception(method: bytes, seqid: int, kind: int, text: str) -> bytes:
    """Returns the framed reply to a call of an unknown method or with invalid arguments."""
    body = (
        encode_field(STRING, 1, encode_string(text.encode()))
        + encode_field(I32, 2, _I32.pack(kind))
        + STRUCT_END
    )
    return encode_message(EXCEPTION, method, seqid, body)
