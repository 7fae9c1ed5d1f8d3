"""The datagram format of peers: message types, their encoding and their authentication. No I/O.

One message is one datagram with a keyed digest. A message is accepted only by the incarnation that it is
addressed to, so datagrams recorded before a restart and replayed after it change nothing. Within an
incarnation a `ReplayWindow` of sequence numbers accepts each message once.

All structs are encoded as arrays: the order of their fields is the format. Fields are only added at the end,
with a default, so that releases can be mixed in one group.
"""

import hmac
from enum import StrEnum
from hashlib import blake2b

import msgspec

from ochrehoist.errors import OchrehoistError

MAGIC, VERSION = b"OH", 1
DIGEST_BYTES = 16
MAX_DATAGRAM_BYTES = 16_384  # a longer datagram is neither read nor sent
UNKNOWN_INCARNATION = 0  # incarnation number of a recipient that is not known yet
REPLAY_WINDOW = 256  # sequence numbers by which a message may arrive late
MAX_UPDATE_OVERHEAD_BYTES = 64  # of a member update, beside its strings


class MemberState(StrEnum):
    """The state of a member as another member sees it; the values are written to the wire and `/status`."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class HealthStatus(StrEnum):
    """What a worker observed of a service; the values are written to the wire and `/status`."""

    OK = "ok"
    SLOW = "slow"
    FAILING = "failing"  # answers that cannot be used, or none
    UNREACHABLE = "gone"


class RejectReason(StrEnum):
    """Why a datagram was rejected; the values are labels of a metric."""

    GARBLED = "garbled"
    UNAUTHENTICATED = "stranger"
    VERSION = "version"
    GROUP = "group"


class MessageRejectedError(OchrehoistError):
    """A datagram that is not accepted; `reason` says why, and is what such datagrams are counted by."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(f"peer message rejected: {reason}")
        self.reason = reason


class MessageTooLongError(OchrehoistError):
    """A message whose encoding of `size` bytes does not fit into a datagram."""

    def __init__(self, size: int) -> None:
        super().__init__(f"a message of {size} bytes; a datagram takes {MAX_DATAGRAM_BYTES}")
        self.size = size


class Incarnation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One process of a member.

    `number` never decreases for a name; `boot_id` is drawn at random and tells two processes with the same
    name and number apart.
    """

    name: str
    number: int
    boot_id: int

    def supersedes(self, other: "Incarnation") -> bool:
        """Whether this is a later process of the same member than `other`."""
        return (self.number, self.boot_id) > (other.number, other.boot_id)


class MemberUpdate(msgspec.Struct, array_like=True):
    """What the sender knows of one member.

    `age_ms` is an upper bound of the age of `status`, -1 where the sender has no status. `refutations` is
    SWIM's incarnation number within a process: only the member itself raises it, when it learns of an
    accusation of this number, so a higher one proves that it was there after that accusation. `version` does
    not: it grows with each tick, and one that is newer than the accuser's may be older than the accusation.
    """

    incarnation: Incarnation
    address: str
    site: str
    state: str  # a MemberState; a value of a later release is ignored
    version: int = 0
    age_ms: int = -1
    status: bytes = b""  # a WorkerStatus, as its owner encoded it
    refutations: int = 0

    def max_size(self) -> int:
        """Upper bound of its encoded size in bytes."""
        texts = (self.incarnation.name, self.address, self.site)
        return MAX_UPDATE_OVERHEAD_BYTES + len(self.status) + sum(len(text.encode()) for text in texts)


class HealthObservation(msgspec.Struct, array_like=True):
    """What one worker has observed itself of a downstream service."""

    service: str
    status: str  # a HealthStatus; a value of a later release counts for nothing
    sample_count: int
    age_ms: int
    latency_ratio: float  # of the baseline latency


class BudgetDemand(msgspec.Struct, array_like=True):
    """A worker's part in one budget: lease slots held (as a bit mask), amounts wanted and lately denied."""

    budget: str
    held_slots: int
    wanted: int
    denied: int


class WorkerStatus(msgspec.Struct, array_like=True):
    """What all other members are to know of a worker."""

    leaving: bool = False
    isolated: bool = False  # it receives acknowledgements from nobody
    observations: list[HealthObservation] = []
    demands: list[BudgetDemand] = []
    extensions: dict[str, bytes] = {}  # by topic


class CounterSnapshot(msgspec.Struct, array_like=True):
    """All counters of one incarnation, which only grow. `ended`: it counts no more."""

    incarnation: Incarnation
    version: int
    age_ms: int
    ended: bool
    counts: dict[str, int]


class CounterCursor(msgspec.Struct, array_like=True):
    """How far the counters of an incarnation are known.

    All of `version` is known, and of a later one the keys up to `after_key`.
    """

    name: str
    number: int
    version: int
    after_key: str


class CounterDelta(msgspec.Struct, array_like=True):
    """All counters of one incarnation that changed since a version, in a range of keys.

    The range begins behind `after_key` (empty: with the first) and ends with `up_to_key` (empty: the last).
    The values are those of `version` or later ones; `version` existed `age_ms` ago or later.
    """

    incarnation: Incarnation
    since_version: int
    after_key: str
    up_to_key: str
    version: int
    age_ms: int
    ended: bool
    started_ms_ago: int  # upper bound of the time since it had counted nothing; -1: unknown
    counts: dict[str, int]


class KnownVersion(msgspec.Struct, array_like=True):
    """The latest status of a member that the sender of a ping has."""

    name: str
    number: int  # of its incarnation
    version: int


class Ping(msgspec.Struct, tag="p", array_like=True):
    """Health check of a member; asks for what is newer than what the sender knows."""

    nonce: int
    known_versions: list[KnownVersion] = []
    gossip: list[MemberUpdate] = []
    cursors: list[CounterCursor] | None = None  # None: an older release, which takes whole snapshots only


class Ack(msgspec.Struct, tag="a", array_like=True):
    """Answers a ping; what it reports was so after the ping was sent.

    `subject` is the member that was pinged where the answer is relayed for it, and empty otherwise.
    """

    nonce: int
    subject: str = ""
    updates: list[MemberUpdate] = []
    gossip: list[MemberUpdate] = []
    snapshots: list[CounterSnapshot] = []  # for an older release
    deltas: list[CounterDelta] = []


class PingRequest(msgspec.Struct, tag="q", array_like=True):
    """Indirect probe: asks the receiver to ping `target` for the sender."""

    nonce: int
    target: str


class LeaseRequest(msgspec.Struct, tag="c", array_like=True):
    """Asks a grantor to grant or renew these lease slots of a budget."""

    budget: str
    terms_digest: str
    round_number: int
    slots: list[int]


class LeaseGranted(msgspec.Struct, tag="v", array_like=True):
    """A grantor's answer to the request of `round_number`: the slots that it grants."""

    budget: str
    round_number: int
    slots: list[int]


class LeaseReleased(msgspec.Struct, tag="r", array_like=True):
    """The sender uses these slots no more; `recipient`, if any, may request them."""

    budget: str
    round_number: int
    slots: list[int]
    recipient: str = ""


class MemberLeft(msgspec.Struct, tag="l", array_like=True):
    """The sender shuts down in order."""

    reason: str


class Hello(msgspec.Struct, tag="h", array_like=True):
    """Introduces the sender to one that may not know it, and asks nothing."""

    address: str
    site: str


class Superseded(msgspec.Struct, tag="n", array_like=True):
    """Tells a process that a later incarnation of its name is known."""

    incarnation: Incarnation


class ExtensionMessage(msgspec.Struct, tag="s", array_like=True):
    """From one extension to another. It may be lost, and arrives at most once."""

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
    """One datagram: its addressing and what it carries."""

    group: str
    sender: Incarnation
    recipient: str
    recipient_number: int  # of the recipient's incarnation, or UNKNOWN_INCARNATION
    sequence: int
    payloads: list[Payload]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode
_decode_status = msgspec.msgpack.Decoder(WorkerStatus).decode


def encode_status(status: WorkerStatus) -> bytes:
    """The bytes that `MemberUpdate.status` carries."""
    return _encode(status)


def decode_status(data: bytes) -> WorkerStatus:
    """Raises MessageRejectedError."""
    try:
        return _decode_status(data)
    except msgspec.DecodeError:
        raise MessageRejectedError(RejectReason.GARBLED) from None


def _digest(body: bytes, secret: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES, key=blake2b(secret).digest()).digest()


def encode_datagram(message: Message, secret: bytes) -> bytes:
    """One datagram; raises MessageTooLongError where it does not fit."""
    body = bytes((VERSION,)) + _encode(message)
    if len(body) + DIGEST_BYTES + len(MAGIC) > MAX_DATAGRAM_BYTES:
        raise MessageTooLongError(len(body))
    return MAGIC + _digest(body, secret) + body


def decode_datagram(data: bytes, secrets: tuple[bytes, ...], group: str) -> Message:
    """Raises MessageRejectedError, whatever the bytes are.

    There is more than one secret while a new one is introduced.
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
    """Which messages of one incarnation were accepted: a window behind the highest sequence number."""

    __slots__ = ("_accepted", "_highest")

    def __init__(self) -> None:
        self._highest = 0
        self._accepted = 0  # bit n: the message n below the highest

    def accept(self, sequence: int) -> bool:
        """Whether the message is new; each sequence number is accepted at most once."""
        if sequence > self._highest:
            shift = min(REPLAY_WINDOW, sequence - self._highest)
            self._accepted = ((self._accepted << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self._highest = sequence
            return True
        behind = self._highest - sequence
        if behind >= REPLAY_WINDOW or self._accepted >> behind & 1:
            return False
        self._accepted |= 1 << behind
        return True
