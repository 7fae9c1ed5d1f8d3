"""The queue in front of the disk: group commit, back-pressure, and what a failed or slow disk means. No I/O.

One group is committed at a time; operations that come meanwhile form the next one. Times are seconds of a
monotonic clock. Attempts wait for their intent to be durable; nothing waits for any other operation.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator

from ochrehoist.store.errors import FailureKind
from ochrehoist.store.operations import DeleteIntent, Operation, PutIntent, PutNamed, PutResult
from ochrehoist.store.records import ResultRecord

MAX_GROUP_OPERATIONS = 256  # a longer group would keep its first operation waiting
MIN_IDLE_DELAY_S = 0.01  # for which operations that nothing waits for may join the group of an intent
MAX_QUEUED_RESULT_BYTES = 8 << 20  # results beyond it are not stored
FIRST_RETRY_DELAY_S = 0.25  # after a failure; doubled each time
MAX_RETRY_DELAY_S = 10.0


class WriteQueue:
    """Decides what is written when, and whether new keyed requests can be accepted.

    Args:
        group_delay_s: for how long the first intent of a group waits for more to join.
        commit_timeout_s: for how long an attempt waits for its intent to be durable.
    """

    def __init__(self, group_delay_s: float, commit_timeout_s: float) -> None:
        self.group_delay_s = group_delay_s
        self.commit_timeout_s = commit_timeout_s
        self.open = False  # this process has the store
        self.waiting: deque[Operation] = deque()
        self.enqueued_at: deque[float] = deque()  # of each operation in `waiting`
        self.key_counts: Counter[bytes] = Counter()  # operations in `waiting` by key
        self.result_bytes = 0  # of results that wait or are being committed
        self.committing: list[Operation] | None = None
        self.commit_started_at = 0.0
        self.attempts: dict[str, float] = {}  # by request id: since when it waits for its intent
        self.failure: FailureKind | None = None
        self.rebuild_needed = False  # the stored data can't be trusted
        self.retry_at = 0.0
        self.retry_delay_s = FIRST_RETRY_DELAY_S
        self.results_not_stored = 0

    def __len__(self) -> int:
        return len(self.waiting) + len(self.committing or ())

    def add(self, now: float, operation: Operation) -> bool:
        """Queues an operation; False where it is a result and too many bytes of them wait already."""
        if isinstance(operation, PutResult):
            result_bytes = self.result_bytes + operation.size_bytes
            if result_bytes > MAX_QUEUED_RESULT_BYTES:
                self.results_not_stored += 1
                return False
            self.result_bytes = result_bytes
        elif isinstance(operation, PutIntent) and operation.request_id:
            self.attempts[operation.request_id] = now
        elif isinstance(operation, DeleteIntent) and self.key_counts[operation.key]:
            self._withdraw_key(operation.key)
        self._enqueue(now, operation)
        return True

    def discard_result(self) -> None:
        """Counts a result that is too large to be stored."""
        self.results_not_stored += 1

    def queued_result(self, key: bytes) -> ResultRecord | None:
        """The result stored under `key`, where it is still on its way to the disk."""
        for operation in (*(self.committing or ()), *self.waiting):
            if isinstance(operation, PutResult) and operation.key == key:
                return operation.record
        return None

    def next_group(self, now: float) -> list[Operation] | None:
        """The next group to commit, if it is due; it is empty where the disk is only to be probed."""
        if not self.open or self.committing is not None or self.rebuild_needed or now < self.retry_at:
            return None
        if self.failure is None and not self._group_is_due(now):
            return None
        count = min(MAX_GROUP_OPERATIONS, len(self.waiting))
        group = [self._dequeue() for _ in range(count)]
        self.committing = group
        self.commit_started_at = now
        return group

    def next_event_at(self, now: float) -> float | None:
        """When the queue has to be looked at next; None: not before an operation is added."""
        times = list(self._event_times())
        return max(now, min(times)) if times else None

    def committed(self) -> list[str]:
        """Call when the group is durable; returns the ids of the attempts that may run now."""
        group = self._take_committing()
        self.failure = None
        self.retry_delay_s = FIRST_RETRY_DELAY_S
        self.retry_at = 0.0
        ready = []
        for operation in group:
            if isinstance(operation, PutResult):
                self.result_bytes -= operation.size_bytes
            elif isinstance(operation, PutIntent):
                waited = self.attempts.pop(operation.request_id, None) is not None
                if waited:
                    ready.append(operation.request_id)
        return ready

    def failed(self, now: float, failure: FailureKind) -> list[str]:
        """Call when nothing of the group was stored; returns the ids of all attempts, none of which runs.

        Other operations stay queued, and are tried again with exponential backoff.
        """
        group = self._take_committing()
        self.failure = failure
        self.rebuild_needed = self.rebuild_needed or failure.invalidates_store
        self.retry_at = now + self.retry_delay_s
        self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self.retry_delay_s)
        rejected = list(self.attempts)
        self.attempts.clear()
        queued = [self._dequeue() for _ in range(len(self.waiting))]
        for operation in (*group, *queued):
            if not isinstance(operation, PutIntent) or not operation.request_id:
                self._enqueue(now, operation)
        return rejected

    def rebuild_is_due(self, now: float) -> bool:
        """Whether the store has to be rebuilt now."""
        return self.open and self.rebuild_needed and self.committing is None and now >= self.retry_at

    def rebuild_started(self, now: float) -> None:
        """Call when a rebuild starts; it takes the place of a group."""
        self.committing = []
        self.commit_started_at = now

    def rebuilt(self) -> None:
        """Call when the store was rebuilt; queued operations are applied to the new one."""
        self.rebuild_needed = False
        self.committed()

    def take_timed_out(self, now: float) -> list[str]:
        """The ids of attempts that have waited too long: they do not run, and their intents are deleted."""
        timed_out = [
            request_id for request_id, since in self.attempts.items() if now >= since + self.commit_timeout_s
        ]
        if not timed_out:
            return timed_out
        for request_id in timed_out:
            del self.attempts[request_id]
        request_ids = set(timed_out)
        self._withdraw(lambda op: isinstance(op, PutIntent) and op.request_id in request_ids)
        for operation in self.committing or ():
            if isinstance(operation, PutIntent) and operation.request_id in request_ids:
                self.add(now, DeleteIntent(operation.key))
        return timed_out

    def stalled(self, now: float) -> bool:
        """Whether the commit under way has taken longer than an attempt waits."""
        return self.committing is not None and now - self.commit_started_at >= self.commit_timeout_s

    def rejection_reason(self, now: float) -> str | None:
        """Why the intent of a new request would not be durable in time; None where it would."""
        if self.failure is not None:
            return self.failure.value
        if not self.open:
            return "the store is not open"
        if self.stalled(now):
            return "the disk does not answer"
        return None

    def _enqueue(self, now: float, operation: Operation) -> None:
        self.waiting.append(operation)
        self.enqueued_at.append(now)
        if not isinstance(operation, PutNamed):
            self.key_counts[operation.key] += 1

    def _dequeue(self) -> Operation:
        operation = self.waiting.popleft()
        self.enqueued_at.popleft()
        if not isinstance(operation, PutNamed):
            self.key_counts[operation.key] -= 1
            if not self.key_counts[operation.key]:
                del self.key_counts[operation.key]
        return operation

    def _withdraw_key(self, key: bytes) -> None:
        """Removes what is queued for a key; the disk may hold something under it all the same."""
        self._withdraw(lambda op: not isinstance(op, PutNamed) and op.key == key)

    def _withdraw(self, matches: Callable[[Operation], bool]) -> None:
        for _ in range(len(self.waiting)):
            enqueued_at = self.enqueued_at[0]
            operation = self._dequeue()
            if not matches(operation):
                self._enqueue(enqueued_at, operation)
            elif isinstance(operation, PutResult):
                self.result_bytes -= operation.size_bytes
            elif isinstance(operation, PutIntent):
                self.attempts.pop(operation.request_id, None)

    def _take_committing(self) -> list[Operation]:
        group = self.committing or []
        self.committing = None
        return group

    def _group_is_due(self, now: float) -> bool:
        waiting = len(self.waiting)
        return waiting > 0 and (waiting >= MAX_GROUP_OPERATIONS or now >= self._group_due_at())

    def _group_due_at(self) -> float:
        """When the next group is committed, unless it is full before."""
        if self.attempts:
            return min(self.attempts.values()) + self.group_delay_s
        return self.enqueued_at[0] + max(self.group_delay_s, MIN_IDLE_DELAY_S)

    def _event_times(self) -> Iterator[float]:
        if self.attempts:
            yield min(self.attempts.values()) + self.commit_timeout_s
        if self.committing is not None:
            yield self.commit_started_at + self.commit_timeout_s
        elif self.open and self.failure is not None:
            yield self.retry_at
        elif self.open and self.waiting:
            yield self._group_due_at()
