"""Counts over the fleet: each life counts for itself, and its count only grows. Nothing is counted twice,
and what is missing is bounded by the age of what was told. No I/O; times in seconds.

What is told at once is bounded in bytes, so a book may come in parts: in the order of its keys, each part all
that changed in its range. Who asks names the version that it has all of and the key that it has come to; the
answer goes on from there. A part that is lost is asked for again, and who answers keeps nothing of who asked.
"""

from bisect import bisect_right
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from ochrehoist.peers.budget import CLOCK_DRIFT
from ochrehoist.peers.wire import CounterCursor, CounterDelta, CounterSnapshot, Incarnation

LIVES = 16  # of one name whose counts are kept apart; older ones are added up
MOST_KEYS = 512  # of one life; what is over it is counted as `REST`
REST = "rest"
MOST_KEY = 160  # bytes
# Bytes of the keys of one life, each with its count, until names of the kind of which there may be any number
# are counted together.
MOST_BYTES, OF_COUNT = 2000, 9
UNBOUNDED, OTHERS = "tenant/", "others"
TOLD = 4  # lives of others in an answer
TOLD_BYTES = 1536  # of counts in an answer,
OWN_BYTES = 1024  # of them for its own life: lives that ended are told by others alone
WHOLE_BYTES = 12_288  # in one to a member of before parts, which takes whole counts alone; at the most


@dataclass(slots=True)
class Book:
    """The count of one life, as far as it was told. All of it was there at `version` and `told_at`; single
    counts may be of later."""

    counts: dict[str, int]
    version: int
    told_at: float | None  # it was so at this moment or later; None: of one whose beginning is unknown
    ended: bool = False
    born: float | None = None  # at this moment or later it had counted nothing
    come_to: str = ""  # the key up to which a part has come
    coming: tuple[int, float] = (0, 0.0)  # version and time of which all will be there after the last part
    order: list[str] = field(default_factory=list)

    def sorted(self) -> list[str]:
        if len(self.order) != len(self.counts):
            self.order = sorted(self.counts)
        return self.order

    def took(self, version: int, told_at: float) -> None:
        """All of this version is there."""
        self.version = max(self.version, version)
        self.told_at = told_at if self.told_at is None else max(self.told_at, told_at)
        if self.coming[0] <= self.version:
            self.come_to = ""

    def add(self, counts: dict[str, int]) -> None:
        for key, n in counts.items():
            if n > self.counts.get(key, -1) and (key in self.counts or len(self.counts) < MOST_KEYS):
                self.counts[key] = n


@dataclass(slots=True, frozen=True)
class Reading:
    """`total` is what was told; the truth is at most `missing` more."""

    total: int
    age_s: float  # of the oldest part that still counts on
    missing: int
    untold: int  # of lives that ended, at most: never to be known


@dataclass
class Ledger:
    """`most_per_s`: what one worker can count in a second at the most, of all keys together."""

    life: Incarnation
    most_per_s: float
    born: float | None = None
    own: Counter = field(default_factory=Counter)
    changed: dict[str, int] = field(default_factory=dict)  # the version of the last change of each of `own`
    room: int = MOST_BYTES
    order: list[str] = field(default_factory=list)
    version: int = 0
    books: dict[Incarnation, Book] = field(default_factory=dict)
    past: dict[str, Counter] = field(default_factory=dict)  # by name, of lives added up
    folded: dict[str, tuple[int, int]] = field(default_factory=dict)  # the last of them
    lives: dict[tuple[str, int], Incarnation] = field(default_factory=dict)  # of `books`
    begun: dict[Incarnation, None] = field(default_factory=dict)  # those of which parts are to come
    asked_turn: int = 0
    told_turn: int = 0

    def add(self, key: str, n: int = 1) -> None:
        """`key`: kind/name/word. Names that come when there is no room are counted together."""
        if key not in self.own:
            key = self._key(key)
        self.own[key] += n
        self.version += 1
        self.changed[key] = self.version

    def _key(self, key: str) -> str:
        """A new key, or what it is counted as where there is no room for it."""
        size = len(key.encode()) + OF_COUNT
        if key.startswith(UNBOUNDED) and (size > self.room or size > MOST_KEY):
            key = f"{UNBOUNDED}{OTHERS}/{key.rpartition('/')[2]}"
            size = 0 if key in self.own else len(key.encode()) + OF_COUNT
        full = key not in self.own and len(self.own) >= MOST_KEYS - 1 + (REST in self.own)
        if not key or full or len(key.encode()) > MOST_KEY:
            return REST
        self.room -= size
        return key

    # ---- what is heard
    def learn(self, t: CounterSnapshot, lag: float, now: float, here: bool = False) -> None:
        """Whole counts, of a member of before parts. `here`: it is known to be there, whoever says not."""
        if not self._heard(t.incarnation, len(t.counts)):
            return
        told_at = now - lag - max(0, t.age_ms) / 1000
        b = self.books.get(t.incarnation)
        if b is None:
            b = self._open(t.incarnation, Book(dict(t.counts), t.version, told_at))
        elif t.version >= b.version:  # a version is told once: what comes again adds nothing
            b.add(t.counts)
            b.took(t.version, told_at)
            self._note(t.incarnation, b)
        b.ended = b.ended or (t.ended and not here)

    def learn_part(self, p: CounterDelta, lag: float, now: float, here: bool = False) -> None:
        if not self._heard(p.incarnation, len(p.counts)):
            return
        told_at = now - lag - max(0, p.age_ms) / 1000
        b = self.books.get(p.incarnation)
        if b is None:
            # It had counted nothing when it began: so what is missing has a bound from the first part on.
            born = now - lag - p.started_ms_ago / 1000 * (1 + CLOCK_DRIFT) if p.started_ms_ago >= 0 else None
            b = self._open(p.incarnation, Book({}, 0, born, born=born))
        b.ended = b.ended or (p.ended and not here)
        b.add(p.counts)
        if p.since_version > b.version:
            return  # it leaves out what is not here
        if not p.after_key and not p.up_to_key:
            b.took(p.version, told_at)
        elif p.after_key == b.come_to and p.version > b.version:
            # Whoever told each of them: all parts are of the earliest version or a later one.
            before = b.coming if b.come_to else (p.version, told_at)
            b.coming = min(before[0], p.version), min(before[1], told_at)
            b.come_to = p.up_to_key
            if not p.up_to_key:
                b.took(*b.coming)
        self._note(p.incarnation, b)

    def _open(self, life: Incarnation, b: Book) -> Book:
        self.books[life] = b
        self.lives[life.name, life.number] = life
        self._fold(life.name)
        return b

    def _note(self, life: Incarnation, b: Book) -> None:
        if b.come_to:
            self.begun[life] = None
        else:
            self.begun.pop(life, None)

    def _heard(self, life: Incarnation, keys: int) -> bool:
        mine = life.name == self.life.name and life == self.life
        over = (life.number, life.boot_id) <= self.folded.get(life.name, (-1, -1))
        return not mine and not over and keys <= MOST_KEYS

    def end(self, life: Incarnation) -> None:
        """It tells no more: its missing part stays as it is."""
        if (b := self.books.get(life)) is not None:
            b.ended = True

    def go_on(self, life: Incarnation) -> None:
        """It was taken for ended, and is there."""
        if (b := self.books.get(life)) is not None:
            b.ended = False

    def _fold(self, name: str) -> None:
        mine = sorted((life for life in self.books if life.name == name), key=lambda v: (v.number, v.boot_id))
        for life in mine[:-LIVES]:
            self.past.setdefault(name, Counter()).update(self.books.pop(life).counts)
            self.lives.pop((life.name, life.number), None)
            self.begun.pop(life, None)
            self.folded[name] = life.number, life.boot_id

    # ---- what is known
    def read(self, key: str, now: float, ended_at: dict[Incarnation, float] | None = None) -> Reading:
        """`ended_at`: when lives were found to be gone, from which on they count no more."""
        total, age, missing, untold = self.own[key], 0.0, 0.0, 0.0
        for counts in self.past.values():
            total += counts[key]
        for life, b in self.books.items():
            if b.told_at is None:
                continue  # as one that was not heard of: it is bounded by nothing yet
            total += b.counts.get(key, 0)
            until = (ended_at or {}).get(life, now)
            lag = max(0.0, until - b.told_at)
            if b.ended:
                untold += lag * self.most_per_s
            else:
                age = max(age, now - b.told_at)
                missing += lag * self.most_per_s
        return Reading(total, age, int(missing + 0.999), int(untold + 0.999))

    def keys(self) -> list[str]:
        out = set(self.own)
        for b in self.books.values():
            out |= b.counts.keys()
        for counts in self.past.values():
            out |= counts.keys()
        return sorted(out)

    # ---- what is told
    def asks(self, name: str, inc: int) -> list[CounterCursor]:
        """For a ping to this life: how far its counts are known, and those of some others in turn."""
        lives = [life] if (life := self.lives.get((name, inc))) is not None else []
        out = [] if lives else [CounterCursor(name, inc, 0, "")]
        self.asked_turn += 1
        for others in (list(self.begun), list(self.books)):  # one that has begun to come, and one of all
            if others:
                lives.append(others[self.asked_turn % len(others)])
        for life in dict.fromkeys(lives):
            b = self.books[life]
            out.append(CounterCursor(life.name, life.number, b.version, b.come_to))
        return out

    def parts(self, asked: Sequence[CounterCursor], now: float) -> list[CounterDelta]:
        """This life's counts and what else was asked for, from where it was asked; and which versions are
        known of some others."""
        want = {(a.name, a.number): a for a in asked[:TOLD]}
        a = want.pop((self.life.name, self.life.number), None) or CounterCursor(
            self.life.name, self.life.number, 0, ""
        )
        born = -1 if self.born is None else _ms(now - self.born)
        if len(self.order) != len(self.own):
            self.order = sorted(self.own)
        part = CounterDelta(
            self.life, min(a.version, self.version), a.after_key, "", self.version, 0, False, born, {}
        )
        room = TOLD_BYTES - OWN_BYTES + _fill(part, self.own, self.order, self.changed, OWN_BYTES)
        out = [part]
        lives = [life for key in want if (life := self.lives.get(key)) is not None]
        for life in dict.fromkeys(lives + self._some(TOLD - len(lives))):
            b, a = self.books[life], want.get((life.name, life.number))
            if b.told_at is None:
                continue
            at, born = _ms(now - b.told_at), -1 if b.born is None else _ms(now - b.born)
            part = CounterDelta(life, b.version, "", "", b.version, at, b.ended, born, {})
            if a is not None and a.version < b.version:
                part.since_version, part.after_key = 0, a.after_key
                left = _fill(part, b.counts, b.sorted(), None, room)
            else:
                left = room - _size(part)
            if left >= 0:
                room = left
                out.append(part)
        return out

    def _some(self, count: int) -> list[Incarnation]:
        lives = list(self.books)
        out = []
        for _ in range(min(count, len(lives))):
            self.told_turn += 1
            out.append(lives[self.told_turn % len(lives)])
        return out

    def to_tell(self, now: float, room: int = WHOLE_BYTES) -> list[CounterSnapshot]:
        """For a member of before parts: this life's, and some of others in turn, as far as there is room, in
        bytes; of what has none it hears nothing, and what is missing grows with its age."""
        out = []
        own = CounterSnapshot(self.life, self.version, 0, False, dict(self.own))
        for t in [own, *(self._tally(life, now) for life in self._some(TOLD))]:
            if t is not None:
                size = _HEAD + len(t.incarnation.name.encode()) + sum(_cost(key) for key in t.counts)
                if size <= room:
                    room -= size
                    out.append(t)
        return out

    def _tally(self, life: Incarnation, now: float) -> CounterSnapshot | None:
        b = self.books[life]
        if b.told_at is None or b.come_to:
            return None  # not all of one version
        return CounterSnapshot(life, b.version, _ms(now - b.told_at), b.ended, b.counts)


_HEAD = 72  # bytes of a part or a tally without its name and its keys, at the most


def _ms(span: float) -> int:
    return max(0, int(span * 1000) + 1)


def _cost(key: str) -> int:
    return len(key.encode()) + 12  # with its length and its count


def _size(part: CounterDelta) -> int:
    return _HEAD + sum(len(text.encode()) for text in (part.incarnation.name, part.after_key, part.up_to_key))


def _fill(
    part: CounterDelta, counts: dict[str, int], order: list[str], changed: dict[str, int] | None, room: int
) -> int:
    """Counts that go into it, and up to which key; the room that is left after it, below 0 where it has none
    for the next key."""
    left = room - _size(part)
    for at in range(bisect_right(order, part.after_key), len(order)):
        key = order[at]
        if changed is None or changed[key] > part.since_version:
            if _cost(key) + len(key.encode()) > left:  # it may be `upto` as well
                part.up_to_key = next(reversed(part.counts), "")
                return left - len(part.up_to_key.encode()) if part.up_to_key else -1
            part.counts[key] = counts[key]
            left -= _cost(key)
    return left
