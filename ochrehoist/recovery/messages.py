"""Datagrams between a worker and its witness replicas: a codec, without I/O.

The structs are written as arrays: the order of their fields is the layout.
"""

from collections.abc import Callable
from enum import StrEnum
from hashlib import blake2b

import msgspec

PAGE_SIZE = 300  # intents in one message: a datagram has 16 KB
DIGEST_BYTES = 16


class WitnessTopic(StrEnum):
    """Topics of the messages, as they are written on the wire."""

    RECORD_INTENT = "tell"
    INTENT_RECORDED = "told"
    QUERY_INTENTS = "ask"
    INTENT_PAGE = "known"


IntentEntry = tuple[bytes, int]  # digest of an idempotency key, and ms that are left of its window


class RecordIntent(msgspec.Struct, array_like=True):
    """Asks a witness to remember runs that are about to begin, and to forget those that never ran."""

    number: int
    intents: list[IntentEntry]
    withdrawn: list[bytes] = []


class QueryIntents(msgspec.Struct, array_like=True):
    """Asks a witness for one page of what it remembers of the sender."""

    number: int
    page: int


class IntentPage(msgspec.Struct, array_like=True):
    """One page of a witness's answer. `age_ms`: for how long it has remembered all that it was told."""

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
    """The message, or None where the topic is unknown or the data cannot be read."""
    try:
        return _decoders[WitnessTopic(topic)](data)
    except (msgspec.DecodeError, ValueError):
        return None


def key_digest(stored_key: bytes) -> bytes:
    """The digest that stands for an idempotency key, as the store writes it, in all messages."""
    return blake2b(stored_key, digest_size=DIGEST_BYTES).digest()
