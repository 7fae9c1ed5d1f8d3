"""The file format of captures, without I/O.

A file consists of a prefix and blocks. A block consists of the size of its content (4 bytes), the XXH3-64
hash of the content (8 bytes), and the content: records in MessagePack, compressed with zstd. All complete
blocks of a truncated file can be read.

Readers skip records with unknown tags, and fields may be added at the end of a record, so releases can read
each other's files except for what they do not know. FORMAT_VERSION changes when this cannot be maintained.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash
import zstandard

from ochrehoist.capture.records import (
    CaptureHeader,
    CaptureProblem,
    CaptureVersionError,
    InvalidCaptureError,
    Record,
)

MAGIC = b"ochrecap"
FORMAT_VERSION = 1
PREFIX_BYTES = len(MAGIC) + 1
SIZE_BYTES = 4
BLOCK_HEADER_BYTES = SIZE_BYTES + 8
MAX_BLOCK_BYTES = 16 << 20  # a larger size is treated as corruption
COMPRESSION_LEVEL = 3
ARRAY_32 = b"\xdd"  # type byte of a MessagePack array with a 4-byte length
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


@dataclass
class CaptureDamage:
    """The parts of a capture that could not be read."""

    cut_bytes: int = 0  # size of the incomplete block at the end of a file
    corrupt_blocks: int = 0
    unknown_records: int = 0  # with a tag or an outcome unknown to this release
    reasons: list[str] = field(default_factory=list)


def file_prefix() -> bytes:
    """Returns the prefix of a file."""
    return MAGIC + bytes((FORMAT_VERSION,))


def encode_block(records: Iterable[Record]) -> bytes:
    """Returns the records encoded as one block."""
    content = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(_encoder.encode(list(records)))
    return len(content).to_bytes(SIZE_BYTES, "big") + xxhash.xxh3_64_digest(content) + content


def encode_tenants(tenants: Sequence[tuple[str, float]]) -> bytes:
    """Encodes some of a header's tenants, for `encode_header`."""
    return b"".join(_encoder.encode(tenant) for tenant in tenants)


def encode_header(header: CaptureHeader, tenant_count: int, tenant_parts: Iterable[bytes]) -> bytes:
    """Encodes the block of a header whose tenants were encoded in several parts.

    Encoding thousands of tenants in one call would hold the interpreter lock so long that the event loop
    stalls.
    """
    tenants = ARRAY_32 + tenant_count.to_bytes(4, "big") + b"".join(tenant_parts)
    return encode_block([msgspec.structs.replace(header, tenants=msgspec.Raw(tenants))])


def decode_records(data: bytes, damage: CaptureDamage) -> Iterator[Record]:
    """Yields all valid records of a file in order, and adds everything unreadable to `damage`.

    Raises InvalidCaptureError if the file is not a capture.
    """
    decompressor = zstandard.ZstdDecompressor()
    for content in _block_contents(data, damage):
        try:
            raw_records: list[Any] = _raw_decoder.decode(decompressor.decompress(content))
        except (zstandard.ZstdError, msgspec.MsgspecError):
            damage.corrupt_blocks += 1
            continue
        for raw_record in raw_records:
            try:
                yield _decoder.decode(raw_record)
            except msgspec.ValidationError:
                damage.unknown_records += 1


def _block_contents(data: bytes, damage: CaptureDamage) -> Iterator[bytes]:
    """Yields the compressed content of each valid block."""
    _check_prefix(data)
    start = PREFIX_BYTES
    while start < len(data):
        size = int.from_bytes(data[start : start + SIZE_BYTES], "big")
        content_start = start + BLOCK_HEADER_BYTES
        end = content_start + size
        if size > MAX_BLOCK_BYTES:
            damage.corrupt_blocks += 1
            damage.reasons.append(
                f"a length beyond any block at byte {start}; the rest of the file is passed over"
            )
            return
        if end > len(data):
            damage.cut_bytes = len(data) - start
            return
        content = data[content_start:end]
        if xxhash.xxh3_64_digest(content) == data[start + SIZE_BYTES : content_start]:
            yield content
        else:
            damage.corrupt_blocks += 1
        start = end


def _check_prefix(data: bytes) -> None:
    if data[: len(MAGIC)] != MAGIC or len(data) < PREFIX_BYTES:
        raise InvalidCaptureError(CaptureProblem.NOT_A_CAPTURE)
    version = data[len(MAGIC)]
    if version != FORMAT_VERSION:
        raise CaptureVersionError(version, FORMAT_VERSION)
