"""What is on record, byte for byte: versioned, checksummed, and checked against a schema when read. No I/O.

A record is its version (1 byte), the XXH3 of key, version and content (8 bytes) and the content, as
MessagePack.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import xxhash

from ochrehoist.errors import OchrehoistError
from ochrehoist.store.ageing import Stamp

FORMAT = 2  # 2: what was learned names its layout
HEAD = 9  # bytes before the content
Token = tuple[str | None, str, str]


class CorruptRecordError(OchrehoistError):
    """A record that is not what was written."""


class UnsupportedFormatError(OchrehoistError):
    """A record of a version that this program does not know."""


class Begun(msgspec.Struct, frozen=True, array_like=True):
    """A filing that was handed to an executor, or was about to be."""

    token: Token  # tenant, class, key
    id: str
    window: int  # ns, and how many of them were left at `at`
    left: int
    at: Stamp
    target: bytes | None = None  # its fingerprint, as far as it has one
    body: bytes | None = None
    holder: str = ""  # the worker that ran it


class Finished(msgspec.Struct, frozen=True, array_like=True):
    """How it ended. `detail` is JSON of the executor's side."""

    outcome: str
    success: bool
    body: bytes
    detail: bytes = b"null"
    detail_bytes: int = 0


class Learned(msgspec.Struct, frozen=True, array_like=True):
    at: Stamp
    values: dict[str, Any]
    layout: int  # of the values: what another layout tells is learned anew


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """Since when nobody knows what ran, and for how long (ns) that matters."""

    at: Stamp
    hold: int
    why: str


class Census(msgspec.Struct, frozen=True, array_like=True):
    """All begun filings together, at the commit of this number."""

    number: int = 0
    count: int = 0
    digest: int = 0  # of all of them: the XOR of their checksums

    def changed(self, added: int, removed: int, count: int) -> "Census":
        return Census(self.number, self.count + count, self.digest ^ added ^ removed)


Record = TypeVar("Record", Begun, Finished, Learned, Loss, Census)
_encoder = msgspec.msgpack.Encoder()
_decoders = {kind: msgspec.msgpack.Decoder(kind) for kind in (Begun, Finished, Learned, Loss, Census)}
# What a record of an older version (by kind and version) is made into, one version at a time: content to
# content.
MIGRATIONS: dict[tuple[type, int], Callable[[Any], Any]] = {
    (Learned, 1): lambda content: [*content, 1],
}


def key_of(token: Token) -> bytes:
    return _encoder.encode(token)


def checksum(key: bytes, data: bytes) -> int:
    return xxhash.xxh3_64_intdigest(data, seed=xxhash.xxh3_64_intdigest(key))


def pack(key: bytes, record: Any, version: int = FORMAT) -> bytes:
    content = bytes((version,)) + _encoder.encode(record)
    return content[:1] + checksum(key, content).to_bytes(8, "big") + content[1:]


def digest(data: bytes) -> int:
    """The checksum that a record carries."""
    return int.from_bytes(data[1:HEAD], "big")


def unpack(key: bytes, data: bytes, kind: type[Record]) -> Record:
    """The record, of this version; raises CorruptRecordError or UnsupportedFormatError."""
    if not isinstance(data, bytes) or len(data) <= HEAD:
        raise CorruptRecordError("too short")
    version, content = data[0], data[HEAD:]
    if checksum(key, data[:1] + content) != int.from_bytes(data[1:HEAD], "big"):
        raise CorruptRecordError("the checksum does not fit")
    if version > FORMAT:
        raise UnsupportedFormatError(f"version {version}")
    try:
        if version == FORMAT:
            return _decoders[kind].decode(content)
        value = msgspec.msgpack.decode(content)
        for older in range(version, FORMAT):
            value = MIGRATIONS.get((kind, older), lambda unchanged: unchanged)(value)
        return msgspec.convert(value, kind)
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError, KeyError) as error:
        raise CorruptRecordError(f"not of its schema: {error}") from None
