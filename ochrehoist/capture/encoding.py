"""The file format of captures. No I/O.

A file is a prefix and blocks. A block is its size (4 bytes), the XXH3-64 of its content (8 bytes), and the
content: records in MessagePack, compressed by zstd. Readers skip records of unknown tags, and fields may be
added at the end of a record. So a file that was cut short gives all complete blocks, and one of an older or a
newer release gives what both know. FORMAT_VERSION changes when that can't hold.
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
MAX_BLOCK_BYTES = 16 << 20  # a greater size is damage
COMPRESSION_LEVEL = 3
ARRAY_32 = b"\xdd"  # MessagePack's array with a length of 4 bytes
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


@dataclass
class CaptureDamage:
    """What could not be read of a capture."""

    cut_bytes: int = 0  # at the end of a file, of an incomplete block
    corrupt_blocks: int = 0
    unknown_records: int = 0  # of tags or outcomes that this release does not know
    reasons: list[str] = field(default_factory=list)


def file_prefix() -> bytes:
    """The first bytes of each file."""
    return MAGIC + bytes((FORMAT_VERSION,))


def encode_block(records: Iterable[Record]) -> bytes:
    """Records as one block."""
    content = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(_encoder.encode(list(records)))
    return len(content).to_bytes(SIZE_BYTES, "big") + xxhash.xxh3_64_digest(content) + content


def encode_tenants(tenants: Sequence[tuple[str, float]]) -> bytes:
    """Some of a header's tenants, for `encode_header`."""
    return b"".join(_encoder.encode(tenant) for tenant in tenants)


def encode_header(header: CaptureHeader, tenant_count: int, tenant_parts: Iterable[bytes]) -> bytes:
    """The block of a header whose tenants were encoded part by part.

    Encoding very many of them at once would keep the interpreter lock from the loop for too long.
    """
    tenants = ARRAY_32 + tenant_count.to_bytes(4, "big") + b"".join(tenant_parts)
    return encode_block([msgspec.structs.replace(header, tenants=msgspec.Raw(tenants))])


def decode_records(data: bytes, damage: CaptureDamage) -> Iterator[Record]:
    """All sound records of a file in their order; what is not is added to `damage`.

    Raises InvalidCaptureError where it is no capture.
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
    """The compressed content of each sound block."""
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
