"""Codec of the messages between a worker and its witness replicas. No I/O.

The structs are encoded as arrays, so the order of their fields is the format.
"""

from collections.abc import Callable
from enum import StrEnum
from hashlib import blake2b

import msgspec

PAGE_SIZE = 300  # intents per message; a datagram is limited to 16 KB
DIGEST_BYTES = 16


class WitnessTopic(StrEnum):
    """Message topics; the values are used on the wire."""

    RECORD_INTENT = "tell"
    INTENT_RECORDED = "told"
    QUERY_INTENTS = "ask"
    INTENT_PAGE = "known"


IntentEntry = tuple[bytes, int]  # digest of an idempotency key, and the remaining ms of its window


class RecordIntent(msgspec.Struct, array_like=True):
    """Request to a witness to record runs that are about to begin, and to remove those that never ran."""

    number: int
    intents: list[IntentEntry]
    withdrawn: list[bytes] = []


class QueryIntents(msgspec.Struct, array_like=True):
    """Request to a witness for one page of the sender's intents."""

    number: int
    page: int


class IntentPage(msgspec.Struct, array_like=True):
    """One page of a witness's answer; `age_ms` is the time for which its log has been complete."""

    number: int
    page: int
    pages: int
    age_ms: int
    intents: list[IntentEntry]


WitnessMessage = RecordIntent | QueryIntents | IntentPage | int  # an int acknowledges a RecordIntent

encode = msgspec.msgpack.Encoder().encode
_decoders: dict[WitnessTopic, Callable[[bytes], WitnessMessage]] = {
    WitnessTopic.RECORD_INTENT: msgspec.msgpack.Decoder(RecordIntent).decode,
    WitnessTopic.INTENT_RECORDED: msgspec.msgpack.Decoder(int).decode,
    WitnessTopic.QUERY_INTENTS: msgspec.msgpack.Decoder(QueryIntents).decode,
    WitnessTopic.INTENT_PAGE: msgspec.msgpack.Decoder(IntentPage).decode,
}


def decode(topic: str, data: bytes) -> WitnessMessage | None:
    """Decodes a message; returns None if the topic is unknown or the data is malformed."""
    try:
        return _decoders[WitnessTopic(topic)](data)
    except (msgspec.DecodeError, ValueError):
        return None


def key_digest(stored_key: bytes) -> bytes:
    """Returns the digest that represents an idempotency key in messages; `stored_key` as in the store."""
    return blake2b(stored_key, digest_size=DIGEST_BYTES).digest()
