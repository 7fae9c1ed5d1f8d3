"""The core's idempotency journal: keyed requests are recorded before they run, and restored after a restart.

It runs on the loop and never blocks. `WriteQueue` decides what is written and when, `CommitScheduler` has a
thread write it through a `FolderSession`, and the outcomes are sent to the core as messages.
"""

import gc
import time
from collections.abc import Callable, Sequence
from typing import Any

from ochrehoist.admission.events import Outcome
from ochrehoist.config.tables import StateConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.messages import DuplicateResolved, IntentRecorded, StateRestored
from ochrehoist.core.protocols import DetailCodec, IntentReplicator
from ochrehoist.core.request import Fingerprint, IdempotencyKey, InboundRequest, RequestReference
from ochrehoist.core.results import Rejection, RunResult
from ochrehoist.loop_protocols import StartBlockingCalls, TimerLoop
from ochrehoist.periodic_calls import call_periodically
from ochrehoist.store import failpoints
from ochrehoist.store.commit_scheduler import CommitScheduler, RebuildContents, StoreFailureLog
from ochrehoist.store.damage import StoreCondition, remaining_hold_ns
from ochrehoist.store.database import LEARNED_STATE_NAME
from ochrehoist.store.errors import StoreNotOpenError
from ochrehoist.store.failpoints import Failpoint
from ochrehoist.store.folder_opener import FolderOpener, prepare_folder
from ochrehoist.store.folder_session import FolderSession, OpenedFolder
from ochrehoist.store.intent_confirmations import IntentConfirmations
from ochrehoist.store.journal_metrics import JournalMetrics
from ochrehoist.store.journal_records import (
    IntentRecorder,
    RunsByKey,
    is_same_run,
    result_record,
    stored_result,
)
from ochrehoist.store.learned_state_records import learned_state_record, restorable_state
from ochrehoist.store.operations import DeleteIntent, PutIntent, PutNamed, PutResult
from ochrehoist.store.records import IntentRecord, LearnedStateRecord, ResultRecord, encode_key
from ochrehoist.store.store_repair import OpenStore
from ochrehoist.store.timestamps import current_timestamp
from ochrehoist.store.witness_keys import possible_witness_keys, witness_keys
from ochrehoist.store.write_queue import WriteQueue
from ochrehoist.units import NS_PER_S

FINAL_FLUSH_S = 1.0  # time limit for writing queued operations at a release or at the end of the process
REJECTION_BACKOFF_NS = NS_PER_S


class Journal:
    """The implementation of `core.protocols.IdempotencyJournal` on a state folder.

    Args:
        loop: the worker's loop.
        start_blocking_calls: starts a named thread, here the one that waits for the disk.
        owner: the core, which receives messages.
        config: the `[state]` table.
        name: the worker's name, recorded with its intents.
        codec: converts the executor's part of results to and from JSON.
        log: the worker's log.
        replacing: whether this process replaces another one, which may not have released the folder yet.

    Raises InvalidInputError if another process uses the folder, or it cannot be created.
    """

    def __init__(
        self,
        loop: TimerLoop,
        start_blocking_calls: StartBlockingCalls,
        owner: CoreActor,
        config: StateConfig,
        name: str,
        codec: DetailCodec,
        log: Any,
        replacing: bool,
    ) -> None:
        self.restored = False  # whether the core has adopted the stored state
        self._loop = loop
        self._owner = owner
        self._config = config
        self._name = name
        self._codec = codec
        self._log = log
        self._learned: LearnedStateRecord | None = None  # the last snapshot that was queued or restored
        self._hold_until_ns = 0  # by the core's clock
        self._released = False  # whether the folder was handed over to another process
        self._stopping = False
        self._restored_listeners: list[Callable[[], None]] = []
        self._replicator: IntentReplicator | None = None
        self._confirmations = IntentConfirmations()
        self._metrics = JournalMetrics()
        self._failures = StoreFailureLog(log)
        self._queue = WriteQueue(config.group_commit_delay_ms / 1000, config.max_disk_wait_ms / 1000)
        self._session = FolderSession(config, name)
        prepare_folder(self._session, replacing, self._failures)
        self._thread = start_blocking_calls("journal")
        self._scheduler = CommitScheduler(
            loop, self._thread, self._queue, self._session, self._metrics, self._failures, self, log
        )
        self._opener = FolderOpener(
            loop,
            self._thread,
            self._session,
            self._failures,
            self._windows_ns,
            lambda: self._replicator is not None,
            owner.clock,
            self._opened,
        )

    def register_restored_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function that is called once the core has adopted the stored state."""
        self._restored_listeners.append(listener)

    def replicate_intents_to(self, replicator: IntentReplicator) -> None:
        """Sets the replicator, which then has to confirm each intent before its request runs."""
        self._replicator = replicator

    @property
    def hold_until_ns(self) -> int:
        """The time until which unknown requests are rejected, by the core's clock."""
        return self._hold_until_ns

    def hold_unknown_keys_until(self, until_ns: int) -> None:
        """Sets the time until which unknown requests are rejected, by the core's clock; 0 ends the hold."""
        self._hold_until_ns = until_ns

    def is_history_uncertain(self) -> bool:
        """Whether unrecorded requests may have run: after a data loss, at a first start, or during a hold."""
        return (
            bool(self._metrics.losses)
            or self._hold_until_ns > self._owner.clock()
            or self._store_in_use().condition is StoreCondition.FIRST_START
        )

    # Implementation of `core.protocols.IdempotencyJournal`.

    def rejection_for(self, request: InboundRequest) -> Rejection | None:
        """Returns the rejection of a request with an unknown key; None if it can be accepted."""
        if not self.restored:
            return Rejection(0, outcome_unknown=True)
        rejection = self._rejection(request)
        if rejection is not None:
            self._metrics.rejections += 1
        return rejection

    def _rejection(self, request: InboundRequest) -> Rejection | None:
        if self._replicator is not None:
            class_names = self._owner.idempotency.class_names | self._owner.class_indices.keys()
            if self._replicator.may_have_run(possible_witness_keys(request, class_names)):
                return Rejection(0, outcome_unknown=True)
        if self._queue.rejection_reason(time.monotonic()):
            return Rejection(REJECTION_BACKOFF_NS)
        hold_ns = self._hold_until_ns - self._owner.clock()
        return Rejection(hold_ns) if hold_ns > 0 else None

    def begin(self, request: InboundRequest, run: IdempotentRun) -> None:
        """Records the intent of a run; an `IntentRecorded` message follows within the setting `stall_ms`."""
        assert request.idempotency_key is not None
        if self._queue.rejection_reason(time.monotonic()):
            self.intents_rejected([request.reference])
            return
        failpoints.reached(Failpoint.INTENT_QUEUED)
        key = encode_key(request.idempotency_key)
        intent = self._recorder().record(request.idempotency_key, run)
        self._scheduler.add(PutIntent(request.reference, key, intent))
        if self._replicator is not None:
            self._confirmations.expect(request.reference)
            keys = witness_keys(request.idempotency_key, request.fingerprint)
            self._replicator.begin(request.reference, keys, intent.remaining_ns / NS_PER_S)

    def end(self, token: IdempotencyKey, run: IdempotentRun, result: RunResult) -> None:
        """Records the result of a run, unless it exceeds the size limit."""
        failpoints.reached(Failpoint.RESULT_QUEUED)
        record = result_record(result, self._codec)
        if len(record.body) + len(record.detail) > self._config.max_result_kb * 1024:
            self._queue.discard_result()
            return
        run.result_stored = self._scheduler.add(PutResult(encode_key(token), record))

    def drop(self, token: IdempotencyKey) -> None:
        """Deletes the records of a request whose idempotency window is over."""
        self._scheduler.add(DeleteIntent(encode_key(token)))

    def never_ran(self, token: IdempotencyKey, fingerprint: Fingerprint | None) -> None:
        """Deletes the intent of a request that was recorded but did not run."""
        self.drop(token)
        if self._replicator is not None:
            self._replicator.drop(witness_keys(token, fingerprint))

    def fetch(self, token: IdempotencyKey, request: RequestReference) -> None:
        """Fetches a stored result for a duplicate request.

        A `DuplicateResolved` message follows, with a failed result if the stored one cannot be read.
        """
        key = encode_key(token)

        def resolve(record: ResultRecord | None, _error: Exception | None) -> None:
            result = stored_result(record, self._codec) or RunResult(Outcome.FAILED)
            self._owner.post(DuplicateResolved(request, result))

        queued_record = self._queue.queued_result(key)
        if queued_record is not None or self._session.store is None:
            resolve(queued_record, None)
        else:
            self._thread.submit(lambda: self._session.read_result(key), resolve)

    # Outcomes from the replicator and the scheduler, which calls it as `commit_scheduler.CommitListener`.

    def replication_ended(self, request: RequestReference, confirmed: bool) -> None:
        """Handles the end of an intent's replication.

        `confirmed` is false if too few replicas confirmed the intent in time.
        """
        if confirmed:
            self._confirm(request)
        elif self._confirmations.abandon(request):
            self.intents_rejected([request])

    def intent_durable(self, request: RequestReference) -> None:
        """Confirms an intent that is durable on this disk."""
        if self._replicator is None:
            self._owner.post(IntentRecorded(request, True))
        else:
            self._confirm(request)

    def _confirm(self, request: RequestReference) -> None:
        if self._confirmations.confirm(request):
            self._owner.post(IntentRecorded(request, True))

    def intents_rejected(self, requests: Sequence[RequestReference]) -> None:
        """Rejects requests whose intents are not durable; their callers may retry."""
        for request in requests:
            self._confirmations.abandon(request)
            self._owner.post(IntentRecorded(request, False, REJECTION_BACKOFF_NS))

    def rebuild_contents(self) -> RebuildContents:
        """Returns the loss, the learned state and the intents of all runs that have ended or are running."""
        runs = list(self._owner.idempotency.runs.items())
        live_requests = frozenset(request.reference for request in self._owner.open_requests.values())
        recorder = self._recorder()

        def intents() -> list[IntentRecord]:
            # The results of runs that end meanwhile are in the queue.
            return [
                recorder.record(key, run)
                for key, run in runs
                if run.result is not None or run.result_evicted or run.request in live_requests
            ]

        return RebuildContents(intents, self._store_in_use().loss, self._learned)

    def _recorder(self) -> IntentRecorder:
        return IntentRecorder(self._name, self._windows_ns(), self._owner.clock(), current_timestamp())

    def _store_in_use(self) -> OpenStore:
        if self._session.store is None:
            raise StoreNotOpenError
        return self._session.store

    # Opening the folder.

    def open(self) -> None:
        """Starts opening the store; a `StateRestored` message follows once it is open."""
        self._opener.open()

    def _windows_ns(self) -> dict[str, int]:
        return {c.name: c.idempotency_window_ns for c in self._owner.settings.classes}

    def _opened(self, opened: OpenedFolder) -> None:
        self._session.use(opened.store)
        self._failures.clear()
        if self._released:  # the process that replaces this one is waiting for the folder
            return
        self._report_condition(opened.store)
        self._learned = opened.store.learned
        learned = restorable_state(
            self._learned, self._config.snapshot_half_life_s, self._owner.started_cold, self._log
        )
        self._queue.is_open = True
        known_runs = dict(self._owner.idempotency.runs)
        self._record_changes_since(opened, known_runs)
        if self._replicator is not None:
            runs = {**opened.runs, **known_runs}
            stored_keys = [k for key, run in runs.items() for k in witness_keys(key, run.fingerprint)]
            self._replicator.journal_opened(stored_keys)
        gc.freeze()  # excludes the restored runs, which are long-lived, from later collections
        self._owner.post(StateRestored(opened.runs, learned, self._state_adopted))
        self._scheduler.run()
        call_periodically(self._loop, self._config.snapshot_interval_s, self._save_learned_regularly)

    def _state_adopted(self) -> None:
        """Accepts unknown keys from now on; requests that the core handled before could not know all runs."""
        self.restored = True
        for listener in self._restored_listeners:
            listener()

    def _report_condition(self, store: OpenStore) -> None:
        reasons = store.loss_reasons
        for file_name in store.set_aside:
            self._log.error("damaged_store_set_aside", file=file_name, reasons=reasons)
        if reasons:
            self._metrics.losses += 1
            self._log.error("store_data_lost", reasons=reasons, on_loss=self._config.on_loss)
        now_ns = self._owner.clock()
        hold_ns = remaining_hold_ns(store.loss, self._config.on_loss, current_timestamp())
        self._hold_until_ns = now_ns + hold_ns
        if hold_ns > 0:
            self._log.warning("unknown_requests_held", hold_s=hold_ns // NS_PER_S + 1)

    def _record_changes_since(self, opened: OpenedFolder, known_runs: RunsByKey) -> None:
        """Queues what the store lacks: the core may know newer runs, taken over from a replaced process."""
        expired = opened.store.expired_intents
        for record in expired:
            self.drop(record.idempotency_key)
        recorder = self._recorder()
        for key, run in known_runs.items():
            stored_run = opened.runs.get(key)
            recorded = stored_run is not None and is_same_run(stored_run, run)
            if not recorded:
                self._scheduler.add(PutIntent(None, encode_key(key), recorder.record(key, run)))
            if run.result is not None and not (recorded and stored_run and stored_run.result_stored):
                self.end(key, run, run.result)
        self._log.info(
            "store_opened",
            condition=opened.store.condition.value,
            intents=len(opened.runs),
            expired_intents=len(expired),
        )
        opened.store.expired_intents = []

    # Learned state.

    def _save_learned_regularly(self) -> bool:
        """Saves the learned state; returns False once this process no longer writes to the folder."""
        if self._stopping or self._released:
            return False
        self._save_learned()
        return True

    def _save_learned(self) -> None:
        if self._owner.controller is not None and self.restored:
            self._learned = learned_state_record(self._owner.controller)
            self._scheduler.add(PutNamed(LEARNED_STATE_NAME, self._learned))

    # Shutdown.

    def release(self) -> None:
        """Writes queued operations and releases the folder, for the process that replaces this one."""
        self._released = True
        # This process no longer receives confirmations, so attempts that wait for replicas would never run.
        self.intents_rejected(self._confirmations.waiting())
        self._scheduler.drain(time.monotonic() + FINAL_FLUSH_S, self._release_folder)

    def _release_folder(self) -> None:
        self._queue.is_open = False
        self._thread.submit(self._session.release, lambda *_: self._log.info("store_released"))

    def close(self) -> None:
        """Writes queued operations and closes the store, after the loop has ended."""
        if not self._released:
            self._save_learned()
            self._scheduler.drain_without_loop(time.monotonic() + FINAL_FLUSH_S)
        self._stopping = True
        self._scheduler.stop()
        self._opener.stop()
        self._thread.submit(self._session.release, lambda *_: None)
        if not self._thread.close(FINAL_FLUSH_S):
            self._log.error("store_operations_lost_at_exit", count=len(self._queue))

    # Status and metrics.

    def status_section(self) -> dict[str, Any]:
        """Returns the section `store` of the status, with its documented keys."""
        now = time.monotonic()
        hold_ns = max(0, self._hold_until_ns - self._owner.clock())
        store = self._session.store
        return {
            "folder": str(self._session.folder),
            "open": self._queue.is_open,
            "bytes": self._session.size_bytes,
            "refuses": self._queue.rejection_reason(now) or ("a loss" if hold_ns else ""),
            "hold_s": hold_ns // NS_PER_S,
            "trouble": self._failures.reason,
            "waiting": len(self._queue),
            "commits": self._metrics.commits,
            "operations": self._metrics.operations,
            "refused": self._metrics.rejections,
            "last_commit_s": self._metrics.seconds_since_commit(now),
            "commit_ms": self._metrics.commit_latency_ms(),
            "losses": self._metrics.losses,
            "not_recorded": self._queue.results_not_stored,
            "set_aside": [] if store is None else store.set_aside,
        }

    def metrics_text(self) -> str:
        """Returns the journal's metrics in the Prometheus text format."""
        return self._metrics.exposition(self.status_section())
