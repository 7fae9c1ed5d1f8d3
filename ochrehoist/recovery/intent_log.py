"""Log of the runs that other workers began, kept as their witness replica. No I/O; times in seconds.

The log is kept in memory only. Its age states how far back it is complete, so a witness that has restarted
proves nothing about the time before its restart.
"""

from collections import OrderedDict

from ochrehoist.recovery.messages import PAGE_SIZE, IntentPage, QueryIntents, RecordIntent

MAX_INTENTS = 200_000  # total of all other workers


class IntentLog:
    """Intents by worker; each is kept until its idempotency window ends."""

    def __init__(self, now: float) -> None:
        self._complete_since = now
        self._expiry_by_worker: dict[str, OrderedDict[bytes, float]] = {}
        self.count = 0

    def record(self, worker: str, message: RecordIntent, now: float) -> bool:
        """Records the intents of a message; returns False if the log is full.

        A message that was not recorded must not be acknowledged.
        """
        expiry = self._expiry_by_worker.setdefault(worker, OrderedDict())
        new_count = len([digest for digest, _ in message.intents if digest not in expiry])
        if not self._has_room(new_count, now):
            return False
        for digest, remaining_ms in message.intents:
            expiry[digest] = max(expiry.get(digest, 0.0), now + max(0, remaining_ms) / 1000)
        self.count += new_count
        for digest in message.withdrawn:
            if expiry.pop(digest, None) is not None:
                self.count -= 1
        return True

    def _has_room(self, new_count: int, now: float) -> bool:
        if self.count + new_count > MAX_INTENTS:
            self.remove_expired(now)
        return self.count + new_count <= MAX_INTENTS

    def remove_expired(self, now: float) -> None:
        """Removes expired intents. Scans the whole log, so it is too expensive for each tick."""
        for worker, expiry in list(self._expiry_by_worker.items()):
            for digest in [digest for digest, expires_at in expiry.items() if expires_at <= now]:
                del expiry[digest]
                self.count -= 1
            if not expiry:
                del self._expiry_by_worker[worker]

    def page(self, worker: str, query: QueryIntents, now: float) -> IntentPage:
        """Returns one page of the intents of a worker; there is at least one page, possibly empty."""
        unexpired = [
            (digest, expires_at)
            for digest, expires_at in self._expiry_by_worker.get(worker, {}).items()
            if expires_at > now
        ]
        page_count = max(1, -(-len(unexpired) // PAGE_SIZE))
        selected = unexpired[query.page * PAGE_SIZE : (query.page + 1) * PAGE_SIZE]
        age_ms = int(1000 * (now - self._complete_since))
        intents = [(digest, int(1000 * (expires_at - now)) + 1) for digest, expires_at in selected]
        return IntentPage(query.number, query.page, page_count, age_ms, intents)

    def counts(self) -> dict[str, int]:
        """Returns the number of intents by worker."""
        return {worker: len(expiry) for worker, expiry in self._expiry_by_worker.items()}
