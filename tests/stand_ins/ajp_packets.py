"""Packets of AJP 1.3, as web servers and the servers behind them write and read them."""

import socket
import struct
from enum import IntEnum

from tests.stand_ins.sockets import read_exactly

TO_SERVER = b"\x12\x34"
TO_WEB_SERVER = b"AB"
CONTENT_LENGTH_HEADER = b"\xa0\x08"
MAX_BODY_CHUNK_BYTES = 8186


class PacketType(IntEnum):
    """First bytes of packets."""

    FORWARD_REQUEST = 2
    SEND_BODY_CHUNK = 3
    SEND_HEADERS = 4
    END_RESPONSE = 5
    GET_BODY_CHUNK = 6
    CPONG = 9
    CPING = 10


def encode_text(data: bytes | str) -> bytes:
    """A string with its length before it and a zero behind it."""
    data = data if isinstance(data, bytes) else data.encode()
    return struct.pack(">H", len(data)) + data + b"\0"


def encode_packet(magic: bytes, data: bytes) -> bytes:
    """A packet in one direction: `TO_SERVER` or `TO_WEB_SERVER`."""
    return magic + struct.pack(">H", len(data)) + data


def read_packet(sock: socket.socket, magic: bytes) -> bytes:
    """What the next packet holds; AssertionError where it is of the other direction."""
    header = read_exactly(sock, 4)
    assert header[:2] == magic, header
    return read_exactly(sock, struct.unpack(">H", header[2:])[0])
