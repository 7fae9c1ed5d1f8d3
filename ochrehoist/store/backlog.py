"""What waits for the disk, in which groups it is written, and what an error or a stall of the disk means.
No I/O.

One group is under way at a time; what comes meanwhile gathers into the next. Times are seconds of a clock
that never goes back. Filings to begin wait for their group; all else waits for nobody.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from ochrehoist.store.records import Begun, Finished, Learned, Loss

MAX_GROUP = 256  # operations in a group: a longer one keeps the first of it waiting
RIDE = 0.01  # s for which what nobody waits for may ride along with a filing that is to begin
MAX_BYTES = 8 << 20  # of results that wait: past it they are not put on record
FIRST_RETRY, LAST_RETRY = 0.25, 10.0  # s after an error, doubled each time


@dataclass(slots=True)
class Begin:
    id: str  # of the try that waits to be begun; empty where it has begun, under the process before this one
    key: bytes
    record: Begun


@dataclass(slots=True)
class End:
    key: bytes
    record: Finished


@dataclass(slots=True)
class Drop:
    """The filing never ran, or its window is over."""

    key: bytes


@dataclass(slots=True)
class Save:
    name: str
    record: Learned | Loss


Op = Begin | End | Drop | Save


class Error(Enum):
    """What went wrong, and so what the store is worth afterwards."""

    FULL = "no room on the disk, or max_mb is reached"
    READ_ONLY = "the folder can't be written to"
    IO = "the disk failed"
    SYNC = "the disk failed to keep what was written: nothing written before it can be trusted"
    DAMAGED = "the store is damaged"
    MISSING = "no store is there, and must_exist says that there is one: is its volume mounted?"


UNTRUSTED = frozenset({Error.IO, Error.SYNC, Error.DAMAGED})  # after these the store is written anew


@dataclass(slots=True)
class Change:
    """What a group comes to for one filing."""

    replaces: bool = False  # what was on record of it goes
    begun: Begun | None = None
    finished: Finished | None = None


def net(ops: Iterable[Op]) -> tuple[dict[bytes, Change], dict[str, Learned | Loss]]:
    """What a group comes to, by filing and by name: on record it is one step, whatever came in between."""
    changes: dict[bytes, Change] = {}
    named: dict[str, Learned | Loss] = {}
    for op in ops:
        if isinstance(op, Save):
            named[op.name] = op.record
        elif isinstance(op, End):
            changes.setdefault(op.key, Change()).finished = op.record
        else:
            changes[op.key] = Change(True, op.record if isinstance(op, Begin) else None)
    return changes, named


def size(op: Op) -> int:
    return len(op.record.body) + len(op.record.detail) if isinstance(op, End) else 0


class Backlog:
    """`patience`: s that a filing waits for its commit; `gather`: s that the first of a group waits for
    more."""

    def __init__(self, gather: float, patience: float) -> None:
        self.gather, self.patience = gather, patience
        self.open = False  # the store is there and ours
        self.waiting: deque[Op] = deque()
        self.since: deque[float] = deque()  # when each of them came
        self.keys: Counter[bytes] = Counter()  # of the filings that something waits for
        self.bytes = 0
        self.under_way: list[Op] | None = None
        self.sent_at = 0.0
        self.begins: dict[str, float] = {}  # tries that wait to be begun, and since when
        self.error: Error | None = None
        self.untrusted = False  # what is on disk must be written anew before anything else
        self.retry_at, self.wait = 0.0, FIRST_RETRY
        self.not_recorded = 0  # results that were let go

    def __len__(self) -> int:
        return len(self.waiting) + len(self.under_way or ())

    # ---- what comes
    def add(self, now: float, op: Op) -> bool:
        """False where a result is let go, since too much waits already."""
        if isinstance(op, End):
            if self.bytes + size(op) > MAX_BYTES:
                self.not_recorded += 1
                return False
            self.bytes += size(op)
        elif isinstance(op, Begin) and op.id:
            self.begins[op.id] = now
        elif isinstance(op, Drop) and self.keys[op.key]:
            # What waits for it is of no more use; on disk there may be something of it all the same.
            self._take_back(lambda w: not isinstance(w, Save) and w.key == op.key)
        self._put(now, op)
        return True

    def _put(self, now: float, op: Op) -> None:
        self.waiting.append(op)
        self.since.append(now)
        if not isinstance(op, Save):
            self.keys[op.key] += 1

    def _take(self) -> Op:
        op = self.waiting.popleft()
        self.since.popleft()
        if not isinstance(op, Save):
            self.keys[op.key] -= 1
            if not self.keys[op.key]:
                del self.keys[op.key]
        return op

    def _take_back(self, gone: Callable[[Op], bool]) -> None:
        for _ in range(len(self.waiting)):
            at, op = self.since[0], self._take()
            if not gone(op):
                self._put(at, op)
                continue
            self.bytes -= size(op)
            if isinstance(op, Begin):
                self.begins.pop(op.id, None)

    def end_of(self, key: bytes) -> Finished | None:
        """How a filing ended, where that is still on its way to the disk."""
        return next(
            (
                op.record
                for op in (*(self.under_way or ()), *self.waiting)
                if isinstance(op, End) and op.key == key
            ),
            None,
        )

    # ---- what goes to the disk
    def group(self, now: float) -> list[Op] | None:
        """The next group, if it is time for one. It is empty where the disk is only to be tried."""
        if not self.open or self.under_way is not None or self.untrusted or now < self.retry_at:
            return None
        if not self.waiting:
            if self.error is None:
                return None
        elif self.error is None and len(self.waiting) < MAX_GROUP and now < self._ripe():
            return None
        group = [self._take() for _ in range(min(MAX_GROUP, len(self.waiting)))]
        self.under_way, self.sent_at = group, now
        return group

    def _ripe(self) -> float:
        """When the next group goes, if it is not full before."""
        if self.begins:
            return min(self.begins.values()) + self.gather
        return self.since[0] + max(self.gather, RIDE)

    def due(self, now: float) -> float | None:
        """When to look again, at the latest; None: when something comes."""
        times = list(self._times())
        return max(now, min(times)) if times else None

    def _times(self) -> Iterator[float]:
        if self.begins:
            yield min(self.begins.values()) + self.patience
        if self.open and self.under_way is None:
            if self.error is not None:
                yield self.retry_at
            elif self.waiting:
                yield self._ripe()
        elif self.under_way is not None:
            yield self.sent_at + self.patience

    # ---- what the disk says
    def committed(self) -> list[str]:
        """The group is durable; gives the tries that may begin now."""
        group, self.under_way = self.under_way or [], None
        self.error, self.wait, self.retry_at = None, FIRST_RETRY, 0.0
        self.bytes -= sum(map(size, group))
        return [op.id for op in group if isinstance(op, Begin) and self.begins.pop(op.id, None) is not None]

    def failed(self, now: float, error: Error) -> list[str]:
        """Nothing of the group is on record; gives the tries that are not begun, of the group and waiting."""
        group, self.under_way = self.under_way or [], None
        self.error = error
        self.untrusted = self.untrusted or error in UNTRUSTED
        self.retry_at, self.wait = now + self.wait, min(LAST_RETRY, 2 * self.wait)
        refused = list(self.begins)
        self.begins.clear()
        rest = [self._take() for _ in range(len(self.waiting))]
        for op in (*group, *rest):
            if not isinstance(op, Begin) or not op.id:
                self._put(now, op)
        return refused

    def may_rebuild(self, now: float) -> bool:
        return self.open and self.untrusted and self.under_way is None and now >= self.retry_at

    def rebuilding(self, now: float) -> None:
        self.under_way, self.sent_at = [], now

    def rebuilt(self) -> None:
        """The store was written anew from what the worker knows; what waits comes on top."""
        self.untrusted = False
        self.committed()

    def overdue(self, now: float) -> list[str]:
        """Tries that have waited too long: they are not begun, and their records are taken out again."""
        late = [rid for rid, since in self.begins.items() if now >= since + self.patience]
        if not late:
            return late
        for rid in late:
            del self.begins[rid]
        gone = set(late)
        self._take_back(lambda op: isinstance(op, Begin) and op.id in gone)
        for op in self.under_way or ():
            if isinstance(op, Begin) and op.id in gone:
                self.add(now, Drop(op.key))
        return late

    # ---- what it means for filings that come
    def stalled(self, now: float) -> bool:
        return self.under_way is not None and now - self.sent_at >= self.patience

    def refuses(self, now: float) -> str | None:
        """Why a filing that comes now would not be on record in time; None where it would."""
        if self.error is not None:
            return self.error.value
        if not self.open:
            return "the store is not open"
        if self.stalled(now):
            return "the disk does not answer"
        return None
