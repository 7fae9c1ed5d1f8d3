"""Thrift's strict binary protocol, framed: just what this service needs of it, without any I/O.

Lengths are checked against what is there before anything is sliced, so no frame can ask for memory.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from ochrehoist.errors import OchrehoistError

VERSION = 0x80010000
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64 = 0, 2, 3, 4, 6, 8, 10
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
SIZES = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
UNKNOWN_METHOD, MISSING_RESULT, INTERNAL_ERROR, PROTOCOL_ERROR = 1, 5, 6, 7
MAX_DEPTH = 16

_I32, _I16 = struct.Struct(">i"), struct.Struct(">h")
_FIELD = struct.Struct(">bh")


class MalformedFrameError(OchrehoistError):
    """The frame can't be read: the connection is of no further use."""


class InvalidArgumentsError(OchrehoistError):
    """The message is whole, but its arguments are not what the method takes."""


@dataclass(slots=True)
class Message:
    kind: int
    method: bytes
    seqid: int
    args: "Cursor"


class Cursor:
    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data, self.at = data, at

    def take(self, count: int) -> bytes:
        end = self.at + count
        if count < 0 or end > len(self.data):
            raise MalformedFrameError("a length beyond the frame")
        data, self.at = self.data[self.at : end], end
        return data

    def byte(self) -> int:
        if self.at >= len(self.data):
            raise MalformedFrameError("a length beyond the frame")
        self.at += 1
        return self.data[self.at - 1]

    def i32(self) -> int:
        self.at += 4
        if self.at > len(self.data):
            raise MalformedFrameError("a length beyond the frame")
        return _I32.unpack_from(self.data, self.at - 4)[0]

    def string(self) -> bytes:
        return self.take(self.i32())

    def fields(self) -> Iterator[tuple[int, int]]:
        """Type and id of each field of a struct; whoever iterates reads or skips the value."""
        while (kind := self.byte()) != STOP:
            yield kind, _I16.unpack(self.take(2))[0]

    def strings(self) -> dict[bytes, bytes]:
        """A map of strings to strings."""
        key, value, count = self.byte(), self.byte(), self.i32()
        if count < 0 or count * 8 > len(self.data) - self.at:
            raise MalformedFrameError("a count beyond the frame")
        if count and (key, value) != (STRING, STRING):
            raise MalformedFrameError("a map of other types")
        # Each request has a dozen: read in place, since what is then refused should cost least.
        data, at, end, texts, unpack = self.data, self.at, len(self.data), [], _I32.unpack_from
        for _ in range(2 * count):
            start = at + 4
            if start > end:
                raise MalformedFrameError("a length beyond the frame")
            size = unpack(data, at)[0]
            at = start + size
            if size < 0 or at > end:
                raise MalformedFrameError("a length beyond the frame")
            texts.append(data[start:at])
        self.at = at
        return dict(zip(texts[::2], texts[1::2], strict=True))

    def skip(self, kind: int, depth: int = 0) -> None:
        if depth > MAX_DEPTH:
            raise MalformedFrameError("nested too deeply")
        if kind in SIZES:
            self.take(SIZES[kind])
        elif kind == STRING:
            self.string()
        elif kind == STRUCT:
            for inner, _ in self.fields():
                self.skip(inner, depth + 1)
        elif kind in (LIST, SET, MAP):
            kinds = [self.byte() for _ in range(1 + (kind == MAP))]
            count = self.i32()
            # Each element takes a byte at least: a count beyond that would spin for nothing.
            if count < 0 or count > len(self.data) - self.at:
                raise MalformedFrameError("a count beyond the frame")
            for _ in range(count):
                for inner in kinds:
                    self.skip(inner, depth + 1)
        else:
            raise MalformedFrameError(f"an unknown type {kind}")


def parse(frame: bytes) -> Message:
    c = Cursor(frame)
    head = c.i32() & 0xFFFFFFFF
    if head & 0xFFFF0000 != VERSION:
        raise MalformedFrameError("not the strict protocol")
    name = c.string()
    return Message(head & 0xFF, name, c.i32(), c)


# ---- writing


def string(data: bytes) -> bytes:
    return _I32.pack(len(data)) + data


def field(kind: int, number: int, value: bytes) -> bytes:
    return _FIELD.pack(kind, number) + value


def strings(values: dict[bytes, bytes]) -> bytes:
    return (
        bytes((STRING, STRING))
        + _I32.pack(len(values))
        + b"".join(string(k) + string(v) for k, v in values.items())
    )


def message(kind: int, method: bytes, seqid: int, body: bytes) -> bytes:
    data = _I32.pack((VERSION | kind) - (1 << 32)) + string(method) + _I32.pack(seqid) + body
    return _I32.pack(len(data)) + data


END = b"\0"


def answer(body: bytes, values: dict[bytes, bytes], good: bool) -> bytes:
    return (
        field(STRING, 1, string(body)) + field(MAP, 2, strings(values)) + field(BOOL, 3, bytes((good,))) + END
    )


def reply(method: bytes, seqid: int, field_id: int, value: bytes) -> bytes:
    """The result of a call: field 0 holds what it returns, the others what it throws."""
    return message(REPLY, method, seqid, field(STRUCT, field_id, value) + END)


def problem(values: dict[bytes, bytes]) -> bytes:
    return field(MAP, 1, strings(values)) + END


def application_exception(method: bytes, seqid: int, kind: int, text: str) -> bytes:
    return message(
        EXCEPTION,
        method,
        seqid,
        field(STRING, 1, string(text.encode())) + field(I32, 2, _I32.pack(kind)) + END,
    )
