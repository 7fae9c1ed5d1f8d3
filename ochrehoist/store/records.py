"""The stored records and their encoding: versioned, checksummed and validated when read. No I/O.

An encoded record is its format version (1 byte), the XXH3-64 of key, version and content (8 bytes,
big-endian) and the content as MessagePack. Structs are encoded as arrays: the order of fields is part of the
format, their names are not.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

import msgspec
import xxhash

from ochrehoist.core.request import IdempotencyKey
from ochrehoist.errors import OchrehoistError
from ochrehoist.store.timestamps import Timestamp

FORMAT_VERSION = 2  # 2: learned state names its layout
CHECKSUM_BYTES = 8
HEADER_BYTES = 1 + CHECKSUM_BYTES


class RecordDefect(Enum):
    """How a record differs from what was written."""

    TOO_SHORT = "too short"
    WRONG_CHECKSUM = "the checksum does not fit"
    WRONG_SCHEMA = "not of its schema"


class CorruptRecordError(OchrehoistError):
    """A record that is not what was written."""

    def __init__(self, defect: RecordDefect, detail: str = "") -> None:
        super().__init__(f"{defect.value}: {detail}" if detail else defect.value)
        self.defect = defect


class UnsupportedFormatError(OchrehoistError):
    """A record of a format version that this release does not know."""

    def __init__(self, version: int) -> None:
        super().__init__(f"version {version}")
        self.version = version


class IntentRecord(msgspec.Struct, frozen=True, array_like=True):
    """A keyed request that was given to an executor, or was about to be.

    Its idempotency window is `window_ns` long, of which `remaining_ns` were left at `recorded_at`.
    """

    idempotency_key: IdempotencyKey
    request_id: str
    window_ns: int
    remaining_ns: int
    recorded_at: Timestamp
    target: bytes | None = None  # digests of the request, as far as it has them
    body: bytes | None = None
    worker_name: str = ""  # the worker that ran it


class ResultRecord(msgspec.Struct, frozen=True, array_like=True):
    """The result of a keyed request. `detail` is JSON written by the executor's codec."""

    outcome: str  # by its name in core.persisted_names
    success: bool
    body: bytes
    detail: bytes = b"null"
    detail_bytes: int = 0


class LearnedStateRecord(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of what the admission controller learned; one of another `layout` is not restored."""

    recorded_at: Timestamp
    values: dict[str, Any]
    layout: int


class DataLossRecord(msgspec.Struct, frozen=True, array_like=True):
    """A detected loss: for `hold_ns` from then on, an unknown request may have run before."""

    detected_at: Timestamp
    hold_ns: int
    reason: str


class CommitSummary(msgspec.Struct, frozen=True, array_like=True):
    """All intent records as of one commit; used to detect missing or foreign records."""

    commit_number: int = 0
    intent_count: int = 0
    intents_digest: int = 0  # the XOR of the checksums of all intent records

    def with_intent(self, checksum: int) -> "CommitSummary":
        """The summary after an intent record with this checksum was added."""
        return CommitSummary(self.commit_number, self.intent_count + 1, self.intents_digest ^ checksum)

    def without_intent(self, checksum: int) -> "CommitSummary":
        """The summary after an intent record with this checksum was removed."""
        return CommitSummary(self.commit_number, self.intent_count - 1, self.intents_digest ^ checksum)

    def next_commit(self) -> "CommitSummary":
        """The same records, as of the commit that follows."""
        return CommitSummary(self.commit_number + 1, self.intent_count, self.intents_digest)


Record = TypeVar("Record", IntentRecord, ResultRecord, LearnedStateRecord, DataLossRecord, CommitSummary)
NamedRecord = LearnedStateRecord | DataLossRecord | CommitSummary
AnyRecord = IntentRecord | ResultRecord | NamedRecord
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[type, msgspec.msgpack.Decoder[Any]] = {
    record_type: msgspec.msgpack.Decoder(record_type)
    for record_type in (IntentRecord, ResultRecord, LearnedStateRecord, DataLossRecord, CommitSummary)
}
# By record type and the version it was written in: content of that version to content of the next one.
_MIGRATIONS: dict[tuple[type, int], Callable[[Any], Any]] = {
    (LearnedStateRecord, 1): lambda content: [*content, 1],
}


def encode_key(key: IdempotencyKey) -> bytes:
    """The key under which the records of a request are stored."""
    return _encoder.encode(key)


def checksum(key: bytes, data: bytes) -> int:
    """XXH3-64 of a record's version and content, seeded by its key."""
    return xxhash.xxh3_64_intdigest(data, seed=xxhash.xxh3_64_intdigest(key))


def encode_record(key: bytes, record: AnyRecord, version: int = FORMAT_VERSION) -> bytes:
    """The record as it is stored under `key`."""
    content = bytes((version,)) + _encoder.encode(record)
    return content[:1] + checksum(key, content).to_bytes(CHECKSUM_BYTES, "big") + content[1:]


def stored_checksum(data: bytes) -> int:
    """The checksum that an encoded record carries; it is not verified."""
    return int.from_bytes(data[1:HEADER_BYTES], "big")


def decode_record(key: bytes, data: bytes, record_type: type[Record]) -> Record:
    """The record that was stored under `key`, migrated to the current format version.

    Raises CorruptRecordError or UnsupportedFormatError, and nothing else, whatever the bytes are.
    """
    if not isinstance(data, bytes) or len(data) <= HEADER_BYTES:
        raise CorruptRecordError(RecordDefect.TOO_SHORT)
    version, content = data[0], data[HEADER_BYTES:]
    if checksum(key, data[:1] + content) != int.from_bytes(data[1:HEADER_BYTES], "big"):
        raise CorruptRecordError(RecordDefect.WRONG_CHECKSUM)
    if version > FORMAT_VERSION:
        raise UnsupportedFormatError(version)
    try:
        if version == FORMAT_VERSION:
            current: Record = _decoders[record_type].decode(content)
            return current
        return _migrate(version, content, record_type)
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError, KeyError) as error:
        raise CorruptRecordError(RecordDefect.WRONG_SCHEMA, str(error)) from None


def _migrate(version: int, content: bytes, record_type: type[Record]) -> Record:
    value = msgspec.msgpack.decode(content)
    for older_version in range(version, FORMAT_VERSION):
        migrate = _MIGRATIONS.get((record_type, older_version))
        if migrate is not None:
            value = migrate(value)
    return msgspec.convert(value, record_type)
