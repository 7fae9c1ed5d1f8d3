"""Counts over the fleet: each life counts for itself, and tells its whole count. Nothing is counted twice,
and what is missing is bounded by the age of what was told. No I/O; times in seconds.
"""

from collections import Counter
from dataclasses import dataclass, field

from ochrehoist.peers.wire import Life, Tally

LIVES = 16  # of one name whose counts are kept apart; older ones are added up
MOST_KEYS = 512  # of one life, of others
# Bytes of the keys of one life, each with its count: a message holds TOLD lives and its own, and must stay
# under what a datagram may have, or nobody hears of this worker any more.
MOST_BYTES, OF_COUNT = 2000, 9
UNBOUNDED = "tenant/"  # the kind of name of which there may be any number
OTHERS = "others"  # in the place of a name for which there is no room
TOLD = 4  # lives of others in a message


@dataclass(slots=True)
class Book:
    """The count of one life, as far as it was told."""

    counts: dict[str, int]
    version: int
    told_at: float  # it was so at this moment or later
    ended: bool = False


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

    life: Life
    most_per_s: float
    own: Counter = field(default_factory=Counter)
    version: int = 0
    books: dict[Life, Book] = field(default_factory=dict)
    past: dict[str, Counter] = field(default_factory=dict)  # by name, of lives added up
    folded: dict[str, tuple[int, int]] = field(default_factory=dict)  # the last of them
    turn: int = 0
    room: int = MOST_BYTES

    def add(self, key: str, n: int = 1) -> None:
        """`key`: kind/name/word. Names that come when there is no room are counted together."""
        if key not in self.own:
            size = len(key.encode()) + OF_COUNT
            if size > self.room and key.startswith(UNBOUNDED):
                key = f"{key.partition('/')[0]}/{OTHERS}/{key.rpartition('/')[2]}"
                size = 0 if key in self.own else len(key) + OF_COUNT
            self.room -= size
        self.own[key] += n
        self.version += 1

    def learn(self, t: Tally, lag: float, now: float) -> None:
        if t.life.name == self.life.name and t.life == self.life:
            return
        if (t.life.inc, t.life.boot) <= self.folded.get(t.life.name, (-1, -1)) or len(t.counts) > MOST_KEYS:
            return
        told_at = now - lag - max(0, t.age_ms) / 1000
        b = self.books.get(t.life)
        if b is None:
            b = self.books[t.life] = Book(dict(t.counts), t.version, told_at, t.ended)
            self._fold(t.life.name)
        elif t.version >= b.version:  # a version is told once: what comes again adds nothing
            b.counts, b.version = dict(t.counts), t.version
            b.told_at = max(b.told_at, told_at)
        b.ended = b.ended or t.ended

    def end(self, life: Life) -> None:
        """It tells no more: its missing part stays as it is."""
        if (b := self.books.get(life)) is not None:
            b.ended = True

    def _fold(self, name: str) -> None:
        mine = sorted((life for life in self.books if life.name == name), key=lambda v: (v.inc, v.boot))
        for life in mine[:-LIVES]:
            self.past.setdefault(name, Counter()).update(self.books.pop(life).counts)
            self.folded[name] = life.inc, life.boot

    def read(self, key: str, now: float, ended_at: dict[Life, float] | None = None) -> Reading:
        """`ended_at`: when lives were found to be gone, from which on they count no more."""
        total, age, missing, untold = self.own[key], 0.0, 0.0, 0.0
        for counts in self.past.values():
            total += counts[key]
        for life, b in self.books.items():
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

    def to_tell(self, now: float) -> list[Tally]:
        """This life's, and some of others in turn."""
        out = [Tally(self.life, self.version, 0, False, dict(self.own))]
        lives = list(self.books)
        for _ in range(min(TOLD, len(lives))):
            self.turn = (self.turn + 1) % len(lives)
            life = lives[self.turn]
            b = self.books[life]
            out.append(Tally(life, b.version, max(0, int((now - b.told_at) * 1000) + 1), b.ended, b.counts))
        return out
