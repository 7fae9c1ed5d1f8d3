"""What workers say to each other: one datagram a message, each with a keyed digest. A codec, without I/O.

A message is heard only by the life that it is addressed to. So what was recorded before a start, and is
played again after it, changes nothing; within a life a window of sequence numbers takes each message once.
"""

import hmac
from hashlib import blake2b

import msgspec

from ochrehoist.errors import OchrehoistError

MAGIC, VERSION = b"OH", 1
DIGEST = 16  # bytes
MOST = 16_384  # bytes of a datagram: past it nothing is read, and nothing is sent
NOBODY = 0  # incarnation of a receiver that is not known yet
WINDOW = 256  # messages by which one may come late


class Life(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One process of a member: `inc` never goes back for a name; `boot` tells two of the same name apart."""

    name: str
    inc: int
    boot: int

    def follows(self, other: "Life") -> bool:
        return (self.inc, self.boot) > (other.inc, other.boot)


class Entry(msgspec.Struct, array_like=True):
    """What is known of a member. `age_ms`: the most that it can be old, -1 where it was never heard.

    `refutations`: SWIM's incarnation number, within a life. Only the member itself raises it, on hearing an
    accusation of this number; so a higher one proves that it was there after that accusation. `version`
    does not: it goes up with each beat, and one that is newer than the accuser's may be older than the
    accusation.
    """

    life: Life
    address: str
    site: str
    state: str
    version: int = 0
    age_ms: int = -1
    status: bytes = b""  # a Status, as its owner encoded it
    refutations: int = 0  # last: a member of before this field passes it over, and what it tells has 0

    def size(self) -> int:
        """In a message, at the most."""
        return 64 + len(self.status) + sum(len(s.encode()) for s in (self.life.name, self.address, self.site))


class Evidence(msgspec.Struct, array_like=True):
    """What one worker has seen itself of a service below."""

    service: str
    verdict: str
    seen: int  # results that it rests on
    age_ms: int
    ratio: float  # of the usual time


class Holding(msgspec.Struct, array_like=True):
    """Of one budget: rights held, by their numbers as bits; what is wanted; what was asked in vain lately."""

    budget: str
    held: int
    want: int
    unmet: int


class Status(msgspec.Struct, array_like=True):
    leaving: bool = False
    alone: bool = False
    evidence: list[Evidence] = []
    holdings: list[Holding] = []
    more: dict[str, bytes] = {}  # of extensions, by topic


class Tally(msgspec.Struct, array_like=True):
    """Counts of one life, which only grow. `ended`: it is over, and tells no more."""

    life: Life
    version: int
    age_ms: int
    ended: bool
    counts: dict[str, int]


class Asked(msgspec.Struct, array_like=True):
    """How far the counts of a life are known: all of this version, and a later one up to the key `after`."""

    name: str
    inc: int
    since: int
    after: str


class Part(msgspec.Struct, array_like=True):
    """Of the counts of one life all that changed since a version, of keys behind `after` up to `upto` (empty:
    from the first, to the last). It was so at `version`, which was there `age_ms` ago or later."""

    life: Life
    since: int
    after: str
    upto: str
    version: int
    age_ms: int
    ended: bool
    born_ms: int  # ago at the most it had counted nothing; -1: unknown
    counts: dict[str, int]


class Ping(msgspec.Struct, tag="p", array_like=True):
    nonce: int
    know: list[tuple[str, int, int]] = []  # some names, with incarnation and version
    rumours: list[Entry] = []
    asked: list[Asked] | None = None  # None: of a member that takes whole counts alone


class Ack(msgspec.Struct, tag="a", array_like=True):
    """Answers a ping, itself or for another member (`of`): what it tells was so after the ping was sent."""

    nonce: int
    of: str = ""
    entries: list[Entry] = []
    rumours: list[Entry] = []
    tallies: list[Tally] = []  # for a member of before `parts`
    parts: list[Part] = []


class Ask(msgspec.Struct, tag="q", array_like=True):
    """Please ping this one for me."""

    nonce: int
    name: str


class Claim(msgspec.Struct, tag="c", array_like=True):
    """Asks a voter to vouch for these rights of a budget."""

    budget: str
    terms: str
    round: int
    rights: list[int]


class Vouched(msgspec.Struct, tag="v", array_like=True):
    budget: str
    round: int
    rights: list[int]


class Released(msgspec.Struct, tag="r", array_like=True):
    """These are not used any more; `to` may claim them."""

    budget: str
    round: int
    rights: list[int]
    to: str = ""


class Left(msgspec.Struct, tag="l", array_like=True):
    """Ends on purpose: no death."""

    reason: str


class Hello(msgspec.Struct, tag="h", array_like=True):
    """Says who is here, to one that did not know, and asks nothing."""

    address: str
    site: str


class Later(msgspec.Struct, tag="n", array_like=True):
    """A later life of your name is known here."""

    life: Life


class Said(msgspec.Struct, tag="s", array_like=True):
    """From one extension to another. It may be lost, and comes at most once."""

    topic: str
    data: bytes


Item = Ping | Ack | Ask | Claim | Vouched | Released | Left | Hello | Later | Said


class Message(msgspec.Struct, array_like=True):
    group: str
    sender: Life
    to: str
    to_inc: int
    seq: int
    items: list[Item]


class Rejected(OchrehoistError):
    """Not to be heard; the text is one word, by which such messages are counted."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode
encode_status = _encode
_decode_status = msgspec.msgpack.Decoder(Status).decode


def decode_status(data: bytes) -> Status:
    """Raises Rejected."""
    try:
        return _decode_status(data)
    except msgspec.DecodeError:
        raise Rejected("garbled") from None


def _digest(body: bytes, secret: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST, key=blake2b(secret).digest()).digest()


def packed(message: Message, secret: bytes) -> bytes:
    """One datagram; ValueError where it would be too long."""
    body = bytes((VERSION,)) + _encode(message)
    if len(body) + DIGEST + len(MAGIC) > MOST:
        raise ValueError(f"a message of {len(body)} bytes")
    return MAGIC + _digest(body, secret) + body


def unpacked(data: bytes, secrets: tuple[bytes, ...], group: str) -> Message:
    """Raises Rejected, whatever the bytes are. More than one secret: while a new one is brought in."""
    if len(data) > MOST or data[:2] != MAGIC or len(data) <= 2 + DIGEST:
        raise Rejected("garbled")
    digest, body = data[2 : 2 + DIGEST], data[2 + DIGEST :]
    if not any(hmac.compare_digest(digest, _digest(body, s)) for s in secrets):
        raise Rejected("stranger")
    if body[0] != VERSION:
        raise Rejected("version")
    try:
        message = _decode(body[1:])
    except (msgspec.DecodeError, RecursionError):
        raise Rejected("garbled") from None
    if message.group != group:
        raise Rejected("group")
    return message


class Seen:
    """Which messages of one life came already: a window behind the highest number."""

    __slots__ = ("top", "bits")

    def __init__(self) -> None:
        self.top, self.bits = 0, 0

    def takes(self, seq: int) -> bool:
        if seq > self.top:
            self.bits = ((self.bits << min(WINDOW, seq - self.top)) | 1) & ((1 << WINDOW) - 1)
            self.top = seq
            return True
        behind = self.top - seq
        if behind >= WINDOW or self.bits >> behind & 1:
            return False
        self.bits |= 1 << behind
        return True
