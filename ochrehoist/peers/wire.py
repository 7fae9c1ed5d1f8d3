"""Datagram format of the peer protocol: message types, encoding and authentication. No I/O.

Each message is one datagram with a keyed digest. Only the incarnation that a message is addressed to accepts
it, so datagrams recorded before a restart and replayed after it have no effect. Within an incarnation, a
`ReplayWindow` of sequence numbers accepts each message once.

All structs are encoded as arrays, so the order of their fields is the format. New fields are added only at
the end and with a default, so that different releases can run in one group.
"""

import hmac
from enum import StrEnum
from hashlib import blake2b

import msgspec

from ochrehoist.errors import OchrehoistError

MAGIC, VERSION = b"OH", 1
DIGEST_BYTES = 16
MAX_DATAGRAM_BYTES = 16_384  # longer datagrams are neither read nor sent
UNKNOWN_INCARNATION = 0  # incarnation number of a recipient whose incarnation is not known yet
REPLAY_WINDOW = 256  # a message may lag behind the highest sequence number by less than this
MAX_UPDATE_OVERHEAD_BYTES = 64  # upper bound for a member update without its strings


class MemberState(StrEnum):
    """The state of a member as seen by another member; the values are used on the wire and in `/status`."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class HealthStatus(StrEnum):
    """The health of a service as observed by a worker; the values are used on the wire and in `/status`."""

    OK = "ok"
    SLOW = "slow"
    FAILING = "failing"  # unusable answers, or none
    UNREACHABLE = "gone"


class RejectReason(StrEnum):
    """The reason for rejecting a datagram; the values are labels of a metric."""

    GARBLED = "garbled"
    UNAUTHENTICATED = "stranger"
    VERSION = "version"
    GROUP = "group"


class MessageRejectedError(OchrehoistError):
    """Raised for a datagram that is not accepted; rejected datagrams are counted by `reason`."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(f"peer message rejected: {reason}")
        self.reason = reason


class MessageTooLongError(OchrehoistError):
    """Raised for a message whose encoding of `size` bytes does not fit into a datagram."""

    def __init__(self, size: int) -> None:
        super().__init__(
            f"peer message of {size} bytes exceeds the datagram limit of {MAX_DATAGRAM_BYTES} bytes"
        )
        self.size = size


class Incarnation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One process of a member.

    `number` never decreases for a name. `boot_id` is random and distinguishes processes with the same name
    and number.
    """

    name: str
    number: int
    boot_id: int

    def supersedes(self, other: "Incarnation") -> bool:
        """Returns whether this is a later process of the same member than `other`."""
        return (self.number, self.boot_id) > (other.number, other.boot_id)


class MemberUpdate(msgspec.Struct, array_like=True):
    """The sender's record of one member.

    `age_ms` is an upper bound of the age of `status`, or -1 if the sender has no status. `refutations` is
    SWIM's incarnation number within a process. Only the member itself increments it, when it learns of an
    accusation with this number, so a higher number proves that it was alive after that accusation. A higher
    `version` does not prove this: it grows with each tick, so a version newer than the accuser's may still be
    older than the accusation.
    """

    incarnation: Incarnation
    address: str
    site: str
    state: str  # a MemberState; unknown values of later releases are ignored
    version: int = 0
    age_ms: int = -1
    status: bytes = b""  # a WorkerStatus as encoded by the member itself
    refutations: int = 0

    def max_size(self) -> int:
        """Returns an upper bound of the encoded size in bytes."""
        texts = (self.incarnation.name, self.address, self.site)
        return MAX_UPDATE_OVERHEAD_BYTES + len(self.status) + sum(len(text.encode()) for text in texts)


class HealthObservation(msgspec.Struct, array_like=True):
    """One worker's own observation of a downstream service."""

    service: str
    status: str  # a HealthStatus; unknown values of later releases are ignored
    sample_count: int
    age_ms: int
    latency_ratio: float  # latency divided by the baseline latency


class BudgetDemand(msgspec.Struct, array_like=True):
    """A worker's share of one budget: held lease slots as a bit mask, and its wanted and denied amounts."""

    budget: str
    held_slots: int
    wanted: int
    denied: int


class WorkerStatus(msgspec.Struct, array_like=True):
    """The status that a worker publishes to all other members."""

    leaving: bool = False
    isolated: bool = False  # the worker receives no acknowledgements
    observations: list[HealthObservation] = []
    demands: list[BudgetDemand] = []
    extensions: dict[str, bytes] = {}  # by topic


class CounterSnapshot(msgspec.Struct, array_like=True):
    """All counters of one incarnation, which only grow. `ended`: the incarnation no longer runs."""

    incarnation: Incarnation
    version: int
    age_ms: int
    ended: bool
    counts: dict[str, int]


class CounterCursor(msgspec.Struct, array_like=True):
    """The progress of the sender's replica of an incarnation's counters.

    The replica has all of `version`, and of a later version the keys up to `after_key`.
    """

    name: str
    number: int
    version: int
    after_key: str


class CounterDelta(msgspec.Struct, array_like=True):
    """All counters of one incarnation in a range of keys that changed since `since_version`.

    The range begins after `after_key` (empty: at the first key) and ends with `up_to_key` (empty: the last).
    The values are those of `version` or later ones; `version` was current `age_ms` ago or later.
    """

    incarnation: Incarnation
    since_version: int
    after_key: str
    up_to_key: str
    version: int
    age_ms: int
    ended: bool
    started_ms_ago: int  # upper bound of the time since all counts were 0; -1: unknown
    counts: dict[str, int]


class KnownVersion(msgspec.Struct, array_like=True):
    """The version of the latest status of a member that the sender of a ping has."""

    name: str
    number: int  # incarnation number
    version: int


class Ping(msgspec.Struct, tag="p", array_like=True):
    """Health check of a member; requests statuses and counters newer than the sender's."""

    nonce: int
    known_versions: list[KnownVersion] = []
    gossip: list[MemberUpdate] = []
    cursors: list[CounterCursor] | None = None  # None: older release, accepts only snapshots


class Ack(msgspec.Struct, tag="a", array_like=True):
    """Answer to a ping; its content was current after the ping was sent.

    `subject` is the pinged member if the answer is relayed on its behalf, otherwise empty.
    """

    nonce: int
    subject: str = ""
    updates: list[MemberUpdate] = []
    gossip: list[MemberUpdate] = []
    snapshots: list[CounterSnapshot] = []  # for older releases
    deltas: list[CounterDelta] = []


class PingRequest(msgspec.Struct, tag="q", array_like=True):
    """Indirect probe: asks the receiver to ping `target` on behalf of the sender."""

    nonce: int
    target: str


class LeaseRequest(msgspec.Struct, tag="c", array_like=True):
    """Request to a grantor to grant or renew lease slots of a budget."""

    budget: str
    terms_digest: str
    round_number: int
    slots: list[int]


class LeaseGranted(msgspec.Struct, tag="v", array_like=True):
    """A grantor's answer to the request of `round_number`, with the granted slots."""

    budget: str
    round_number: int
    slots: list[int]


class LeaseReleased(msgspec.Struct, tag="r", array_like=True):
    """Release of slots by their holder; `recipient`, if any, may request them."""

    budget: str
    round_number: int
    slots: list[int]
    recipient: str = ""


class MemberLeft(msgspec.Struct, tag="l", array_like=True):
    """Announcement of the sender's graceful shutdown."""

    reason: str


class Hello(msgspec.Struct, tag="h", array_like=True):
    """Introduction of the sender to a member that may not know it; needs no answer."""

    address: str
    site: str


class Superseded(msgspec.Struct, tag="n", array_like=True):
    """Notification to a process that a later incarnation of its name is known."""

    incarnation: Incarnation


class ExtensionMessage(msgspec.Struct, tag="s", array_like=True):
    """Message between extensions of two members; may be lost, and is delivered at most once."""

    topic: str
    data: bytes


Payload = (
    Ping
    | Ack
    | PingRequest
    | LeaseRequest
    | LeaseGranted
    | LeaseReleased
    | MemberLeft
    | Hello
    | Superseded
    | ExtensionMessage
)


class Message(msgspec.Struct, array_like=True):
    """One datagram: addressing and payloads."""

    group: str
    sender: Incarnation
    recipient: str
    recipient_number: int  # incarnation number of the recipient, or UNKNOWN_INCARNATION
    sequence: int
    payloads: list[Payload]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode
_decode_status = msgspec.msgpack.Decoder(WorkerStatus).decode


def encode_status(status: WorkerStatus) -> bytes:
    """Encodes a status for `MemberUpdate.status`."""
    return _encode(status)


def decode_status(data: bytes) -> WorkerStatus:
    """Decodes a `MemberUpdate.status`; raises MessageRejectedError if it is malformed."""
    try:
        return _decode_status(data)
    except msgspec.DecodeError:
        raise MessageRejectedError(RejectReason.GARBLED) from None


def _digest(body: bytes, secret: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES, key=blake2b(secret).digest()).digest()


def encode_datagram(message: Message, secret: bytes) -> bytes:
    """Encodes and signs a message; raises MessageTooLongError if it exceeds `MAX_DATAGRAM_BYTES`."""
    body = bytes((VERSION,)) + _encode(message)
    if len(body) + DIGEST_BYTES + len(MAGIC) > MAX_DATAGRAM_BYTES:
        raise MessageTooLongError(len(body))
    return MAGIC + _digest(body, secret) + body


def decode_datagram(data: bytes, secrets: tuple[bytes, ...], group: str) -> Message:
    """Verifies and decodes a datagram of `group`; raises MessageRejectedError for any other bytes.

    `secrets` are all secrets accepted at present: more than one during a rotation.
    """
    header_bytes = len(MAGIC) + DIGEST_BYTES
    if len(data) > MAX_DATAGRAM_BYTES or not data.startswith(MAGIC) or len(data) <= header_bytes:
        raise MessageRejectedError(RejectReason.GARBLED)
    digest = data[len(MAGIC) : header_bytes]
    body = data[header_bytes:]
    if not any(hmac.compare_digest(digest, _digest(body, secret)) for secret in secrets):
        raise MessageRejectedError(RejectReason.UNAUTHENTICATED)
    if body[0] != VERSION:
        raise MessageRejectedError(RejectReason.VERSION)
    try:
        message = _decode(body[1:])
    except (msgspec.DecodeError, RecursionError):
        raise MessageRejectedError(RejectReason.GARBLED) from None
    if message.group != group:
        raise MessageRejectedError(RejectReason.GROUP)
    return message


class ReplayWindow:
    """Replay protection for messages of one incarnation: a window below the highest sequence number."""

    __slots__ = ("_accepted", "_highest")

    def __init__(self) -> None:
        self._highest = 0
        self._accepted = 0  # bit n: sequence number `_highest - n`

    def accept(self, sequence: int) -> bool:
        """Records a sequence number; returns whether it is new. Each number is accepted at most once."""
        if sequence > self._highest:
            shift = min(REPLAY_WINDOW, sequence - self._highest)
            self._accepted = ((self._accepted << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self._highest = sequence
            return True
        lag = self._highest - sequence
        if lag >= REPLAY_WINDOW or self._accepted >> lag & 1:
            return False
        self._accepted |= 1 << lag
        return True
