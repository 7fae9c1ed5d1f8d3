"""The write queue in front of the disk: group commit, back-pressure, and handling of disk failures. No I/O.

One group is committed at a time; operations added meanwhile form the next group. Attempts wait until their
intent is durable; nothing waits for other operations. Times are seconds of a monotonic clock.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator

from ochrehoist.core.request import RequestReference
from ochrehoist.store.errors import FailureKind
from ochrehoist.store.operations import DeleteIntent, Operation, PutIntent, PutNamed, PutResult
from ochrehoist.store.records import ResultRecord

MAX_GROUP_OPERATIONS = 256  # larger groups would delay their first operations
MIN_IDLE_DELAY_S = 0.01  # delay of operations that nothing waits for, so that they can join an intent's group
MAX_QUEUED_RESULT_BYTES = 8 << 20  # further results are not stored
FIRST_RETRY_DELAY_S = 0.25  # delay after a failure; doubled for each further one
MAX_RETRY_DELAY_S = 10.0


class WriteQueue:
    """The queue that decides what is written and when, and whether new keyed requests can be accepted.

    Args:
        group_delay_s: how long the first intent of a group waits for others to join.
        commit_timeout_s: how long an attempt waits for its intent to become durable.
    """

    def __init__(self, group_delay_s: float, commit_timeout_s: float) -> None:
        self.group_delay_s = group_delay_s
        self.commit_timeout_s = commit_timeout_s
        self.is_open = False  # whether this process has the store open
        self.waiting: deque[Operation] = deque()
        self.enqueued_at: deque[float] = deque()  # one time for each operation in `waiting`
        self.key_counts: Counter[bytes] = Counter()  # number of operations in `waiting` by key
        self.result_bytes = 0  # total size of the results in `waiting` and `committing`
        self.committing: list[Operation] | None = None
        self.commit_started_at = 0.0
        self.attempts: dict[RequestReference, float] = {}  # start of the wait for the intent
        self.failure: FailureKind | None = None
        self.rebuild_needed = False  # whether the stored data can no longer be trusted
        self.retry_at = 0.0
        self.retry_delay_s = FIRST_RETRY_DELAY_S
        self.results_not_stored = 0

    def __len__(self) -> int:
        return len(self.waiting) + len(self.committing or ())

    def add(self, now: float, operation: Operation) -> bool:
        """Queues an operation; returns False if it is a result that exceeds the limit of queued bytes."""
        if isinstance(operation, PutResult):
            result_bytes = self.result_bytes + operation.size_bytes
            if result_bytes > MAX_QUEUED_RESULT_BYTES:
                self.results_not_stored += 1
                return False
            self.result_bytes = result_bytes
        elif isinstance(operation, PutIntent) and operation.request is not None:
            self.attempts[operation.request] = now
        elif isinstance(operation, DeleteIntent) and self.key_counts[operation.key]:
            self._withdraw_key(operation.key)
        self._enqueue(now, operation)
        return True

    def discard_result(self) -> None:
        """Counts a result that is not stored because it is too large."""
        self.results_not_stored += 1

    def queued_result(self, key: bytes) -> ResultRecord | None:
        """Returns the result under `key` that is queued or being committed; None if there is none."""
        for operation in (*(self.committing or ()), *self.waiting):
            if isinstance(operation, PutResult) and operation.key == key:
                return operation.record
        return None

    def next_group(self, now: float) -> list[Operation] | None:
        """Returns the next group to commit, or None if none is due.

        After a failure the group may be empty: its commit probes the disk.
        """
        if not self.is_open or self.committing is not None or self.rebuild_needed or now < self.retry_at:
            return None
        if self.failure is None and not self._group_is_due(now):
            return None
        count = min(MAX_GROUP_OPERATIONS, len(self.waiting))
        group = [self._dequeue() for _ in range(count)]
        self.committing = group
        self.commit_started_at = now
        return group

    def next_event_at(self, now: float) -> float | None:
        """Returns the time of the next event; None if nothing happens before an operation is added."""
        times = list(self._event_times())
        return max(now, min(times)) if times else None

    def committed(self) -> list[RequestReference]:
        """Handles the end of a successful commit; returns the attempts that may run."""
        group = self._take_committing()
        self.failure = None
        self.retry_delay_s = FIRST_RETRY_DELAY_S
        self.retry_at = 0.0
        ready = []
        for operation in group:
            if isinstance(operation, PutResult):
                self.result_bytes -= operation.size_bytes
            elif isinstance(operation, PutIntent) and operation.request in self.attempts:
                del self.attempts[operation.request]
                ready.append(operation.request)
        return ready

    def failed(self, now: float, failure: FailureKind) -> list[RequestReference]:
        """Handles a failed commit, of which nothing was stored; returns the rejected attempts.

        All waiting attempts are rejected. Other operations stay queued and are retried with exponential
        backoff.
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
            if not isinstance(operation, PutIntent) or operation.request is None:
                self._enqueue(now, operation)
        return rejected

    def rebuild_is_due(self, now: float) -> bool:
        """Whether the store has to be rebuilt now."""
        return self.is_open and self.rebuild_needed and self.committing is None and now >= self.retry_at

    def rebuild_started(self, now: float) -> None:
        """Handles the start of a rebuild, which replaces the commit of a group."""
        self.committing = []
        self.commit_started_at = now

    def rebuilt(self) -> None:
        """Handles the end of a successful rebuild; queued operations are applied to the new store."""
        self.rebuild_needed = False
        self.committed()

    def take_timed_out(self, now: float) -> list[RequestReference]:
        """Removes and returns timed-out attempts; their intents are deleted."""
        timed_out = [
            request for request, since in self.attempts.items() if now >= since + self.commit_timeout_s
        ]
        if not timed_out:
            return timed_out
        for request in timed_out:
            del self.attempts[request]
        removed = set(timed_out)
        self._withdraw(lambda op: isinstance(op, PutIntent) and op.request in removed)
        for operation in self.committing or ():
            if isinstance(operation, PutIntent) and operation.request in removed:
                self.add(now, DeleteIntent(operation.key))
        return timed_out

    def stalled(self, now: float) -> bool:
        """Whether the current commit has taken longer than the time that an attempt waits."""
        return self.committing is not None and now - self.commit_started_at >= self.commit_timeout_s

    def rejection_reason(self, now: float) -> str | None:
        """Returns why a new intent would not become durable in time; None if it would."""
        if self.failure is not None:
            return self.failure.value
        if not self.is_open:
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
        """Removes the queued operations for a key; records under the key may be on disk already."""
        self._withdraw(lambda op: not isinstance(op, PutNamed) and op.key == key)

    def _withdraw(self, matches: Callable[[Operation], bool]) -> None:
        for _ in range(len(self.waiting)):
            enqueued_at = self.enqueued_at[0]
            operation = self._dequeue()
            if not matches(operation):
                self._enqueue(enqueued_at, operation)
            elif isinstance(operation, PutResult):
                self.result_bytes -= operation.size_bytes
            elif isinstance(operation, PutIntent) and operation.request is not None:
                self.attempts.pop(operation.request, None)

    def _take_committing(self) -> list[Operation]:
        group = self.committing or []
        self.committing = None
        return group

    def _group_is_due(self, now: float) -> bool:
        waiting = len(self.waiting)
        return waiting > 0 and (waiting >= MAX_GROUP_OPERATIONS or now >= self._group_due_at())

    def _group_due_at(self) -> float:
        """Returns the time at which the next group is committed, unless it becomes full earlier."""
        if self.attempts:
            return min(self.attempts.values()) + self.group_delay_s
        return self.enqueued_at[0] + max(self.group_delay_s, MIN_IDLE_DELAY_S)

    def _event_times(self) -> Iterator[float]:
        if self.attempts:
            yield min(self.attempts.values()) + self.commit_timeout_s
        if self.committing is not None:
            yield self.commit_started_at + self.commit_timeout_s
        elif self.is_open and self.failure is not None:
            yield self.retry_at
        elif self.is_open and self.waiting:
            yield self._group_due_at()
