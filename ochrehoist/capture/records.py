"""What is on record of each request, and how it is written. No I/O.

A file is a head and blocks. A block: its size (4 bytes), the checksum of the rest (8, xxh3), then records in
MessagePack, compressed (zstd). Records are arrays whose first element names their kind: readers pass over
kinds that they do not know, and fields may be added at the end of a kind. So a file that is cut off gives all
whole blocks, and one of an older or a newer program gives what both know. MAJOR changes when that can't hold.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgspec
import xxhash
import zstandard

from ochrehoist.errors import OchrehoistError

MAGIC, MAJOR, SUFFIX = b"ochrecap", 1, ".ochrecap"
HEADER = len(MAGIC) + 1
MAX_BLOCK = 16 << 20  # bytes of a block; more is damage
LEVEL = 3
NEVER = -1  # ns: it was not begun, or its end is not known


class Outcome(IntEnum):
    SERVED = 0
    REFUSED = 1
    FAILED = 2
    GONE = 3  # its caller left before an answer


class Head(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """Who recorded, and what a reader must know of it. Times are Unix ns."""

    name: str
    started: int
    sample: float  # share of subjects that is on record
    cores: int
    memory_kb: float
    classes: tuple[tuple[str, int, int, float, float], ...]  # name, aim, deadline (ns), worth, late worth
    tenants: tuple[tuple[str, float], ...]  # name, quota a second


class Seen(msgspec.Struct, frozen=True, array_like=True, tag="req"):
    """One request. Spans are ns; `subject` is a hash that means nothing outside this file, 0 where none."""

    at: int  # after the head's start, when it reached the machine
    cls: str
    tenant: str | None
    front: str
    subject: int
    work: int  # as it was stated, in ns on one core; 0 where it was not
    caller: int
    address: str
    retry: bool
    outcome: int
    unread: int  # from when it reached the machine until it was read
    waited: int  # from when it was read until it was begun, or NEVER
    ran: int  # from when it was begun until it was answered, or NEVER
    running: int  # others that ran when it came
    held: int  # others that were held then
    backoff: int = 0  # that a refused one was told


class Lost(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """So many records were not written, as the disk was behind."""

    at: int
    count: int


Record = Head | Seen | Lost
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)
_plain = msgspec.msgpack.Decoder(list[msgspec.Raw])


class Unusable(OchrehoistError):
    """No capture, or one that this program can't read; the text says which."""


def told(tenants: Sequence[tuple[str, float]]) -> bytes:
    """Some of a head's tenants as they are written; the pieces are put together by `head_block`."""
    return b"".join(_encoder.encode(t) for t in tenants)


def head_block(head: Head, count: int, pieces: Iterable[bytes]) -> bytes:
    """The block of a head with so many tenants, which were encoded piece by piece: a thread beside the loop's
    must not have the interpreter for as long as all of them take at once."""
    whole = b"\xdd" + count.to_bytes(4, "big") + b"".join(pieces)  # MessagePack's array 32
    return block([msgspec.structs.replace(head, tenants=msgspec.Raw(whole))])


def start() -> bytes:
    return MAGIC + bytes((MAJOR,))


def block(records: Iterable[Record]) -> bytes:
    data = zstandard.ZstdCompressor(level=LEVEL).compress(_encoder.encode(list(records)))
    return len(data).to_bytes(4, "big") + xxhash.xxh3_64_digest(data) + data


@dataclass
class Damage:
    """What could not be read of a file."""

    cut_bytes: int = 0  # at its end, of a block that is not whole
    blocks: int = 0  # whose checksum or content is wrong
    unknown: int = 0  # records of kinds that this program does not know
    why: list[str] = field(default_factory=list)


def blocks(data: bytes, damage: Damage) -> Iterator[bytes]:
    """The compressed content of each whole block. Raises Unusable where it is no capture at all."""
    if data[: len(MAGIC)] != MAGIC or len(data) < HEADER:
        raise Unusable("not a capture")
    if data[len(MAGIC)] != MAJOR:
        raise Unusable(f"a capture of version {data[len(MAGIC)]}; this program reads version {MAJOR}")
    at = HEADER
    while at < len(data):
        size = int.from_bytes(data[at : at + 4], "big")
        end = at + 12 + size
        if size > MAX_BLOCK:
            damage.blocks += 1
            damage.why.append(f"a length beyond any block at byte {at}; the rest of the file is passed over")
            return
        if end > len(data):
            damage.cut_bytes = len(data) - at
            return
        content = data[at + 12 : end]
        if xxhash.xxh3_64_digest(content) == data[at + 4 : at + 12]:
            yield content
        else:
            damage.blocks += 1
        at = end


def records(data: bytes, damage: Damage) -> Iterator[Record]:
    """All that can be believed of a file, in the order that it was written."""
    unzip = zstandard.ZstdDecompressor()
    for content in blocks(data, damage):
        try:
            parts: list[Any] = _plain.decode(unzip.decompress(content))
        except (zstandard.ZstdError, msgspec.MsgspecError):
            damage.blocks += 1
            continue
        for part in parts:
            try:
                yield _decoder.decode(part)
            except msgspec.ValidationError:
                damage.unknown += 1
