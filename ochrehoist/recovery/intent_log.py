"""What this worker remembers, as a witness replica, of the runs that others began. No I/O; seconds.

The log is kept in memory alone. Its age says how far back it is complete, so a witness that restarted
proves nothing of the time before.
"""

from collections import OrderedDict

from ochrehoist.recovery.messages import PAGE_SIZE, IntentPage, QueryIntents, RecordIntent

MAX_INTENTS = 200_000  # of all other workers together


class IntentLog:
    """Intents by worker, each kept until its idempotency window ends."""

    def __init__(self, now: float) -> None:
        self._complete_since = now
        self._expiry_by_worker: dict[str, OrderedDict[bytes, float]] = {}
        self.count = 0

    def record(self, worker: str, message: RecordIntent, now: float) -> bool:
        """Remembers the intents; False where there is no room, so that they must not be acknowledged."""
        expiry = self._expiry_by_worker.setdefault(worker, OrderedDict())
        added = len([digest for digest, _ in message.intents if digest not in expiry])
        if not self._has_room(added, now):
            return False
        for digest, left_ms in message.intents:
            expiry[digest] = max(expiry.get(digest, 0.0), now + max(0, left_ms) / 1000)
        self.count += added
        for digest in message.withdrawn:
            if expiry.pop(digest, None) is not None:
                self.count -= 1
        return True

    def _has_room(self, added: int, now: float) -> bool:
        if self.count + added > MAX_INTENTS:
            self.remove_expired(now)
        return self.count + added <= MAX_INTENTS

    def remove_expired(self, now: float) -> None:
        """Looks at all that is remembered: too dear for each tick."""
        for worker, expiry in list(self._expiry_by_worker.items()):
            for digest in [digest for digest, until in expiry.items() if until <= now]:
                del expiry[digest]
                self.count -= 1
            if not expiry:
                del self._expiry_by_worker[worker]

    def page(self, worker: str, query: QueryIntents, now: float) -> IntentPage:
        """One page of what is remembered of a worker; the first page comes even where there is nothing."""
        live = [
            (digest, until) for digest, until in self._expiry_by_worker.get(worker, {}).items() if until > now
        ]
        pages = max(1, -(-len(live) // PAGE_SIZE))
        selected = live[query.page * PAGE_SIZE : (query.page + 1) * PAGE_SIZE]
        age_ms = int(1000 * (now - self._complete_since))
        intents = [(digest, int(1000 * (until - now)) + 1) for digest, until in selected]
        return IntentPage(query.number, query.page, pages, age_ms, intents)

    def counts(self) -> dict[str, int]:
        """How many intents are remembered of each worker."""
        return {worker: len(expiry) for worker, expiry in self._expiry_by_worker.items()}
