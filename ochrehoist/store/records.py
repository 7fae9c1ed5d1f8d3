"""The stored records and their versioned, checksummed encoding. No I/O.

An encoded record consists of its format version (1 byte), the XXH3-64 of key, version and content (8 bytes,
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

FORMAT_VERSION = 2  # since version 2, learned state includes its layout number
CHECKSUM_BYTES = 8
HEADER_BYTES = 1 + CHECKSUM_BYTES


class RecordDefect(Enum):
    """The kinds of defects of a stored record."""

    TOO_SHORT = "too short"
    WRONG_CHECKSUM = "the checksum does not fit"
    WRONG_SCHEMA = "not of its schema"


class CorruptRecordError(OchrehoistError):
    """A record that differs from the one that was written."""

    def __init__(self, defect: RecordDefect, detail: str = "") -> None:
        super().__init__(f"{defect.value}: {detail}" if detail else defect.value)
        self.defect = defect


class UnsupportedFormatError(OchrehoistError):
    """A record of a format version that this release does not know."""

    def __init__(self, version: int) -> None:
        super().__init__(f"unsupported record version {version}")
        self.version = version


class IntentRecord(msgspec.Struct, frozen=True, array_like=True):
    """A keyed request that was sent to an executor, or was about to be.

    Its idempotency window is `window_ns` long, of which `remaining_ns` remained at `recorded_at`. `target`
    and `body` are digests of the request, if it has them. `worker_name` is the worker that ran it.
    """

    idempotency_key: IdempotencyKey
    request_id: str
    window_ns: int
    remaining_ns: int
    recorded_at: Timestamp
    target: bytes | None = None
    body: bytes | None = None
    worker_name: str = ""


class ResultRecord(msgspec.Struct, frozen=True, array_like=True):
    """The result of a keyed request.

    `outcome` is a name of `core.persisted_names`, `detail` is JSON written by the executor's codec.
    """

    outcome: str
    success: bool
    body: bytes
    detail: bytes = b"null"
    detail_bytes: int = 0


class LearnedStateRecord(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of the admission controller's learned state; only the current `layout` is restored."""

    recorded_at: Timestamp
    values: dict[str, Any]
    layout: int


class DataLossRecord(msgspec.Struct, frozen=True, array_like=True):
    """A detected data loss; for `hold_ns` after it, an unknown request may already have run."""

    detected_at: Timestamp
    hold_ns: int
    reason: str


class CommitSummary(msgspec.Struct, frozen=True, array_like=True):
    """The number and digest of all intent records as of one commit, to detect missing or foreign records.

    The digest is the XOR of the checksums of all intent records.
    """

    commit_number: int = 0
    intent_count: int = 0
    intents_digest: int = 0

    def with_intent(self, checksum: int) -> "CommitSummary":
        """Returns the summary after adding an intent record with this checksum."""
        return CommitSummary(self.commit_number, self.intent_count + 1, self.intents_digest ^ checksum)

    def without_intent(self, checksum: int) -> "CommitSummary":
        """Returns the summary after removing an intent record with this checksum."""
        return CommitSummary(self.commit_number, self.intent_count - 1, self.intents_digest ^ checksum)

    def next_commit(self) -> "CommitSummary":
        """Returns the summary of the same records as of the next commit."""
        return CommitSummary(self.commit_number + 1, self.intent_count, self.intents_digest)


Record = TypeVar("Record", IntentRecord, ResultRecord, LearnedStateRecord, DataLossRecord, CommitSummary)
NamedRecord = LearnedStateRecord | DataLossRecord | CommitSummary
AnyRecord = IntentRecord | ResultRecord | NamedRecord
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[type, msgspec.msgpack.Decoder[Any]] = {
    record_type: msgspec.msgpack.Decoder(record_type)
    for record_type in (IntentRecord, ResultRecord, LearnedStateRecord, DataLossRecord, CommitSummary)
}
# Functions that convert the content of a version to that of the next one, by record type and old version.
_MIGRATIONS: dict[tuple[type, int], Callable[[Any], Any]] = {
    (LearnedStateRecord, 1): lambda content: [*content, 1],
}


def encode_key(key: IdempotencyKey) -> bytes:
    """Returns the key under which the records of a request are stored."""
    return _encoder.encode(key)


def encode_target_key(tenant: str | None, target: bytes, caller_key: str) -> bytes:
    """Returns a key of a filing without its class, unlike all keys that `encode_key` returns."""
    return _encoder.encode((tenant, target, caller_key))


def checksum(key: bytes, data: bytes) -> int:
    """Returns the XXH3-64 of a record's version and content, seeded by its key."""
    return xxhash.xxh3_64_intdigest(data, seed=xxhash.xxh3_64_intdigest(key))


def encode_record(key: bytes, record: AnyRecord, version: int = FORMAT_VERSION) -> bytes:
    """Returns the encoding of a record that is stored under `key`."""
    content = bytes((version,)) + _encoder.encode(record)
    return content[:1] + checksum(key, content).to_bytes(CHECKSUM_BYTES, "big") + content[1:]


def stored_checksum(data: bytes) -> int:
    """Returns the checksum in an encoded record without verifying it."""
    return int.from_bytes(data[1:HEADER_BYTES], "big")


def decode_record(key: bytes, data: bytes, record_type: type[Record]) -> Record:
    """Decodes a record that was stored under `key`, and migrates it to the current format version.

    Raises CorruptRecordError or UnsupportedFormatError; no input raises any other error.
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
