"""Log of the runs that other workers began, kept as their witness replica. No I/O; times in seconds.

The log is kept in memory only. Its age states how far back it is complete, so a witness that has restarted
proves nothing about the time before its restart.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ochrehoist.recovery.messages import PAGE_SIZE, IntentPage, QueryIntents, RecordIntent

MAX_INTENTS = 200_000  # total of all other workers
SNAPSHOT_LIFETIME_S = 10.0  # after its last page was queried


@dataclass(slots=True)
class IntentSnapshot:
    """The intents of one worker when its query began; all pages of the answer are cut from it.

    Attributes:
        query_number: The number of the query.
        intents: Digests of idempotency keys, with the ends of their windows.
        used_at: When a page was last queried.
    """

    query_number: int
    intents: list[tuple[bytes, float]]
    used_at: float

    @property
    def page_count(self) -> int:
        """The number of pages; there is at least one, possibly empty."""
        return max(1, -(-len(self.intents) // PAGE_SIZE))

    def page(self, number: int) -> list[tuple[bytes, float]]:
        """Returns the intents of a page; none beyond the last one."""
        return self.intents[number * PAGE_SIZE : (number + 1) * PAGE_SIZE]


class IntentLog:
    """Intents by worker; each is kept until its idempotency window ends."""

    def __init__(self, now: float) -> None:
        self._complete_since = now
        self._expiry_by_worker: dict[str, OrderedDict[bytes, float]] = {}
        self._snapshots: dict[str, IntentSnapshot] = {}  # the latest one, by worker
        self.count = 0

    def record(self, worker: str, message: RecordIntent, now: float) -> bool:
        """Records the intents of a message; returns False if the log is full.

        Withdrawals come first: those in a message are of earlier attempts than its intents. A message that
        was not recorded must not be acknowledged.
        """
        expiry = self._expiry_by_worker.setdefault(worker, OrderedDict())
        for digest in message.withdrawn:
            if expiry.pop(digest, None) is not None:
                self.count -= 1
        new_count = len([digest for digest, _ in message.intents if digest not in expiry])
        if not self._has_room(new_count, now):
            return False
        for digest, remaining_ms in message.intents:
            expiry[digest] = max(expiry.get(digest, 0.0), now + max(0, remaining_ms) / 1000)
        self.count += new_count
        return True

    def _has_room(self, new_count: int, now: float) -> bool:
        if self.count + new_count > MAX_INTENTS:
            self.remove_expired(now)
        return self.count + new_count <= MAX_INTENTS

    def remove_expired(self, now: float) -> None:
        """Removes expired intents and unused snapshots; too expensive for each tick, as it scans the log."""
        for worker, snapshot in list(self._snapshots.items()):
            if now - snapshot.used_at > SNAPSHOT_LIFETIME_S:
                del self._snapshots[worker]
        for worker, expiry in list(self._expiry_by_worker.items()):
            for digest in [digest for digest, expires_at in expiry.items() if expires_at <= now]:
                del expiry[digest]
                self.count -= 1
            if not expiry:
                del self._expiry_by_worker[worker]

    def page(self, worker: str, query: QueryIntents, now: float) -> IntentPage:
        """Returns one page of the intents of a worker.

        All pages of one query are cut from one snapshot, so that intents that expire or are withdrawn between
        two of them move no other intent to a page that was sent already.
        """
        snapshot = self._snapshot(worker, query.number, now)
        age_ms = int(1000 * (now - self._complete_since))
        intents = [
            (digest, max(0, int(1000 * (expires_at - now)) + 1))
            for digest, expires_at in snapshot.page(query.page)
        ]
        return IntentPage(query.number, query.page, snapshot.page_count, age_ms, intents)

    def _snapshot(self, worker: str, query_number: int, now: float) -> IntentSnapshot:
        snapshot = self._snapshots.get(worker)
        if snapshot is None or snapshot.query_number != query_number:
            unexpired = [
                (digest, expires_at)
                for digest, expires_at in self._expiry_by_worker.get(worker, {}).items()
                if expires_at > now
            ]
            snapshot = self._snapshots[worker] = IntentSnapshot(query_number, unexpired, now)
        snapshot.used_at = now
        return snapshot

    def counts(self) -> dict[str, int]:
        """Returns the number of intents by worker."""
        return {worker: len(expiry) for worker, expiry in self._expiry_by_worker.items()}
