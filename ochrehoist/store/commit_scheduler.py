"""Scheduling of group commits on the event loop; the journal's thread carries them out."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from ochrehoist.core.request import RequestReference
from ochrehoist.loop_protocols import BlockingCalls, TimerLoop
from ochrehoist.store import failpoints
from ochrehoist.store.errors import FailureKind, StoreFailedError
from ochrehoist.store.failpoints import Failpoint
from ochrehoist.store.folder_session import FolderSession
from ochrehoist.store.journal_metrics import JournalMetrics
from ochrehoist.store.operations import Operation
from ochrehoist.store.records import DataLossRecord, IntentRecord, LearnedStateRecord
from ochrehoist.store.write_queue import WriteQueue

DRAIN_INTERVAL_S = 0.002
FINAL_DRAIN_INTERVAL_S = 0.001


@dataclass(slots=True)
class RebuildContents:
    """The contents of a rebuilt store; `intents` is a function that may take long, called off the loop."""

    intents: Callable[[], Sequence[IntentRecord]]
    loss: DataLossRecord | None
    learned: LearnedStateRecord | None


class CommitListener(Protocol):
    """A receiver of the outcomes of intents; its methods never block."""

    def intent_durable(self, request: RequestReference) -> None:
        """Called when an intent is durable on this disk."""
        ...

    def intents_rejected(self, requests: Sequence[RequestReference]) -> None:
        """Called for requests that must not run: their intents are not stored, or will be deleted."""
        ...

    def rebuild_contents(self) -> RebuildContents:
        """Returns the worker's present state, for a store that is rebuilt."""
        ...


class StoreFailureLog:
    """The store's present failure, which is logged when it changes; `reason` is empty after a success."""

    def __init__(self, log: Any) -> None:
        self.reason = ""
        self._log = log

    def record_failure(self, error: Exception) -> None:
        """Records a failure, because of which keyed requests are rejected."""
        if str(error) != self.reason:
            self.reason = str(error)
            self._log.error("store_unusable", reason=self.reason)

    def clear(self) -> bool:
        """Clears the failure after a success; returns whether there was one."""
        had_failed = bool(self.reason)
        self.reason = ""
        return had_failed


class CommitScheduler:
    """The scheduler of group commits; its methods are called on the loop and do not wait for the disk.

    `drain_without_loop` is the exception: it is called after the loop has ended, and waits.

    Args:
        loop: the worker's loop.
        thread: carries out calls that wait for the disk.
        queue: decides which operations are committed, and when.
        session: the state folder.
        metrics: counts commits.
        failures: records failures and successes.
        listener: receives the outcomes of intents.
        log: the worker's log.
    """

    def __init__(
        self,
        loop: TimerLoop,
        thread: BlockingCalls,
        queue: WriteQueue,
        session: FolderSession,
        metrics: JournalMetrics,
        failures: StoreFailureLog,
        listener: CommitListener,
        log: Any,
    ) -> None:
        self._loop = loop
        self._thread = thread
        self._queue = queue
        self._session = session
        self._metrics = metrics
        self._failures = failures
        self._listener = listener
        self._log = log
        self._timer: Any = None
        self._stopping = False

    def add(self, operation: Operation) -> bool:
        """Queues an operation; returns False if it is a result that the full queue does not accept."""
        added = self._queue.add(time.monotonic(), operation)
        self.run()
        return added

    def run(self) -> None:
        """Starts the commit or rebuild that is due, and sets a timer for the next event."""
        now = time.monotonic()
        self._reject_timed_out(now)
        if self._queue.rebuild_is_due(now):
            self._start_rebuild(now)
        group = self._queue.next_group(now)
        if group is not None:
            self._thread.submit(lambda: self._session.commit(group), self._commit_ended)
        self._set_timer(now)

    def stop(self) -> None:
        """Stops setting timers."""
        self._stopping = True

    def drain(self, deadline: float, drained: Callable[[], None]) -> None:
        """Calls `drained` once the queue is empty, or at `deadline` (monotonic seconds)."""
        self.run()
        if len(self._queue) and time.monotonic() < deadline:
            self._loop.call_later(DRAIN_INTERVAL_S, lambda: self.drain(deadline, drained))
        else:
            drained()

    def drain_without_loop(self, deadline: float) -> None:
        """Empties the queue until `deadline`, at the end of the process when the loop no longer runs."""
        queue = self._queue
        while len(queue) and queue.is_open and queue.failure is None and time.monotonic() < deadline:
            self.run()
            self._thread.deliver()
            time.sleep(FINAL_DRAIN_INTERVAL_S)

    def _reject_timed_out(self, now: float) -> None:
        timed_out = self._queue.take_timed_out(now)
        if timed_out:
            self._log.warning("store_intents_timed_out", count=len(timed_out))
            self._listener.intents_rejected(timed_out)

    def _set_timer(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_event_at = self._queue.next_event_at(now)
        if next_event_at is not None and not self._stopping:
            self._timer = self._loop.call_later(next_event_at - now, self.run)

    def _commit_ended(self, operations: int | None, error: Exception | None) -> None:
        now = time.monotonic()
        if error is not None:
            kind = error.kind if isinstance(error, StoreFailedError) else FailureKind.IO
            self._group_failed(error, kind, now)
            return
        if self._failures.clear():
            self._log.info("store_works_again")
        self._metrics.committed(operations or 0, self._queue.commit_started_at, now)
        for request in self._queue.committed():
            self._report_durable(request)
        self.run()

    def _report_durable(self, request: RequestReference) -> None:
        failpoints.reached(Failpoint.INTENT_DURABLE)
        try:
            self._listener.intent_durable(request)
        except Exception:  # the other intents of the group are durable too
            self._log.exception("durable_intent_not_reported", id=request.id)
            self._listener.intents_rejected([request])

    def _group_failed(self, error: Exception, kind: FailureKind, now: float) -> None:
        self._failures.record_failure(error)
        self._listener.intents_rejected(self._queue.failed(now, kind))
        self.run()

    def _start_rebuild(self, now: float) -> None:
        """Rebuilds the store: what can be read back now may be lost after the next power failure."""
        contents = self._listener.rebuild_contents()
        self._queue.rebuild_started(now)
        self._thread.submit(
            lambda: self._session.rebuild(contents.intents(), contents.loss, contents.learned),
            self._rebuild_ended,
        )

    def _rebuild_ended(self, _result: None, error: Exception | None) -> None:
        if error is not None:
            self._group_failed(error, FailureKind.IO, time.monotonic())
            return
        set_aside = self._session.finish_rebuild()
        self._queue.rebuilt()
        self._log.warning("store_rebuilt", set_aside=set_aside)
        self._failures.clear()
        self.run()
