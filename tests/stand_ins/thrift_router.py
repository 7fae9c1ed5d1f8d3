"""A router of the platform: a client of the worker's Thrift front."""

import socket
import struct
import time
from collections.abc import Collection
from enum import IntEnum
from typing import Any, NamedTuple

from tests.stand_ins.sockets import read_exactly
from tests.support.environment import MS, WAIT_LIMIT_S

VERSION_1 = 0x80010000


class MessageType(IntEnum):
    """Types of messages of the binary protocol."""

    CALL = 1
    REPLY = 2
    EXCEPTION = 3
    ONEWAY = 4


class FieldType(IntEnum):
    """Types of fields of the binary protocol that occur here."""

    BOOL = 2
    I32 = 8
    STRING = 11
    STRUCT = 12
    MAP = 13


class ThriftReply(NamedTuple):
    """Kind ("Answer", "Throttled", "Broken" or "Exception"), fields by name, and the body."""

    kind: str
    fields: dict[str, str]
    body: bytes


RESULT_KINDS = ("Answer", "Throttled", "Broken")


def encode_text(data: bytes | str) -> bytes:
    """A string with its length before it."""
    data = data if isinstance(data, bytes) else data.encode()
    return struct.pack(">i", len(data)) + data


def decode_text(data: bytes, at: int) -> tuple[bytes, int]:
    """A string, and where the data goes on behind it."""
    size = struct.unpack_from(">i", data, at)[0]
    return data[at + 4 : at + 4 + size], at + 4 + size


def decode_map(data: bytes, at: int) -> tuple[dict[str, str], int]:
    """A map of strings, and where the data goes on behind it."""
    count, at = struct.unpack_from(">i", data, at + 2)[0], at + 6
    strings = []
    for _ in range(2 * count):
        value, at = decode_text(data, at)
        strings.append(value.decode())
    return dict(zip(strings[::2], strings[1::2], strict=True)), at


def decode_struct(data: bytes, at: int) -> tuple[dict[int, Any], int]:
    """Fields by number, and where the data goes on behind them."""
    fields: dict[int, Any] = {}
    while (kind := data[at]) != 0:
        number, at = struct.unpack_from(">h", data, at + 1)[0], at + 3
        if kind == FieldType.BOOL:
            fields[number], at = bool(data[at]), at + 1
        elif kind == FieldType.I32:
            fields[number], at = struct.unpack_from(">i", data, at)[0], at + 4
        elif kind == FieldType.STRING:
            fields[number], at = decode_text(data, at)
        elif kind == FieldType.STRUCT:
            fields[number], at = decode_struct(data, at)
        else:
            fields[number], at = decode_map(data, at)
    return fields, at + 1


class ThriftRouter:
    """A router's connection."""

    requests_sent = 0  # by all routers: ids are made of it

    def __init__(self, address: tuple[str, int]) -> None:
        host, port = address
        self.sock = socket.create_connection((host, port), timeout=WAIT_LIMIT_S)
        self.sequence_id = 0
        self.replies: dict[int, ThriftReply] = {}  # by sequence id
        self.good: bool | None = None  # what the last ping said
        self.said_farewell = False

    def send(self, name: str, args: bytes, kind: int = MessageType.CALL, raw: bytes | None = None) -> int:
        """Sends a message, or `raw` in its place; its sequence id."""
        self.sequence_id += 1
        header = struct.pack(">I", VERSION_1 | kind) + encode_text(name) + struct.pack(">i", self.sequence_id)
        data = raw or header + args
        self.sock.sendall(struct.pack(">I", len(data)) + data)
        return self.sequence_id

    def invoke(
        self, method: str = "read", body: bytes = b"", drop: Collection[str] = (), **fields: str
    ) -> int:
        """Sends a request, with usual values for fields that are neither given nor to `drop`."""
        ThriftRouter.requests_sent += 1
        values = {
            "method": method,
            "rid": f"{ThriftRouter.requests_sent:016x}",
            "t0": str(time.time_ns() // MS),
            "peer": "1",
            "acct": "acme",
            "est": "20.0",
            "mem": "20.0",
            "prio": "0.5",
        } | fields
        values = {k: v for k, v in values.items() if k not in drop}
        packed = b"".join(encode_text(k) + encode_text(v) for k, v in values.items())
        return self.send(
            "invoke",
            b"\x0d\0\1\x0b\x0b"
            + struct.pack(">i", len(values))
            + packed
            + b"\x0b\0\2"
            + encode_text(body)
            + b"\0",
        )

    def abort(self, sequence_id: int) -> None:
        """Takes a request back."""
        self.send("abort", b"\x08\0\1" + struct.pack(">i", sequence_id) + b"\0", kind=MessageType.ONEWAY)

    def ping(self) -> ThriftReply:
        """`good` is then what it said."""
        return self.answer(self.send("ping", b"\x02\0\1\0\0"))

    def farewell(self) -> None:
        """Waits for the farewell and closes, as a router does."""
        self.wait_for_farewell()
        self.close()

    def wait_for_farewell(self) -> None:
        """Reads until the worker has asked to close; replies are kept."""
        while not self.said_farewell:
            self._read_message()

    def answer(self, sequence_id: int) -> ThriftReply:
        """Waits for the reply to a request."""
        while sequence_id not in self.replies:
            self._read_message()
        return self.replies[sequence_id]

    def _read_message(self) -> None:
        data = read_exactly(self.sock, struct.unpack(">I", read_exactly(self.sock, 4))[0])
        name, at = decode_text(data, 4)
        if name == b"farewell":
            self.said_farewell = True
        else:
            self._keep_reply(data, at)

    def _keep_reply(self, data: bytes, at: int) -> None:
        sequence_id = struct.unpack_from(">i", data, at)[0]
        value = decode_struct(data, at + 4)[0]
        assert sequence_id not in self.replies, "a second answer"
        if data[3] == MessageType.EXCEPTION:
            self.replies[sequence_id] = ThriftReply("Exception", {}, value[1])
            return
        ((field, result),) = value.items()
        self.good = result.get(3)
        kind = RESULT_KINDS[field]
        if kind == "Answer":
            self.replies[sequence_id] = ThriftReply(kind, result[2], result[1])
        else:
            self.replies[sequence_id] = ThriftReply(kind, result[1], b"")

    def call(self, *args: Any, **fields: Any) -> ThriftReply:
        """A request and its reply."""
        return self.answer(self.invoke(*args, **fields))

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()
