"""Runs of filings with a journal: a run starts only once recorded, and is restored after a restart."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Protocol

from ochrehoist.admission import learned_state
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    NEVER_RAN,
    Event,
    Outcome,
    RequestCompleted,
    RequestReceived,
    RunAdopted,
)
from ochrehoist.admission.settings import Idempotency, RequestClass
from ochrehoist.core.fault_confinement import FaultConfinement
from ochrehoist.core.idempotency_table import IdempotencyTable, IdempotentRun
from ochrehoist.core.messages import DuplicateResolved, IntentRecorded, Message, StateRestored
from ochrehoist.core.request import IdempotencyKey, InboundRequest, find_request
from ochrehoist.core.response_tracker import ResponseTracker
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.core.snapshot import LearnedState
from ochrehoist.core.tenants import TenantTable
from ochrehoist.units import NS_PER_S

if TYPE_CHECKING:
    from ochrehoist.core.protocols import IdempotencyJournal, Logger

RESULT_OVERHEAD_BYTES = 600  # memory of one run in the table, without its result


class Core(Protocol):
    """Interface of the core that idempotent runs use."""

    idempotency: IdempotencyTable
    open_requests: dict[str, InboundRequest]
    responses: ResponseTracker
    controller: AdmissionController | None
    class_indices: dict[str, int]
    tenants: TenantTable
    now_ns: int
    log: Logger
    faults: FaultConfinement

    def dispatch(self, event: Event, at_ns: int | None = None) -> bool:
        """Passes an event to the controller and carries out the actions that it returns."""
        ...

    def post(self, message: Message) -> None:
        """Adds a message to the core's inbox."""
        ...

    def execute(self, request: InboundRequest) -> None:
        """Starts the request on its executor."""
        ...

    def reject(self, request: InboundRequest, retry_after_ns: int = NS_PER_S, no_retry: bool = False) -> None:
        """Rejects a request that was not passed to the controller."""
        ...

    def fail(self, request: InboundRequest, reason: FailureReason) -> None:
        """Fails a request that was not passed to the controller."""
        ...


class IdempotentRuns:
    """Runs of filings, recorded in a journal if there is one; without one, a restart forgets them."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._journal: IdempotencyJournal | None = None
        # Learned state from the store, kept until the controller is up.
        self._learned_state: LearnedState | None = None

    def register_journal(self, journal: IdempotencyJournal) -> None:
        """Sets the journal in which runs are recorded."""
        self._journal = journal

    def try_answer_on_arrival(self, request: InboundRequest) -> bool:
        """Answers a filing that the journal cannot record now, unless another attempt of it is known.

        Returns whether the filing was answered.
        """
        core = self._core
        key = request.idempotency_key
        if self._journal is None or key is None:
            return False
        if core.idempotency.original_request(key, request.arrived_ns) is not None:
            return False
        rejection = self._journal.rejection_for(request)
        if rejection is None:
            return False
        if rejection.outcome_unknown:
            core.fail(request, FailureReason.OUTCOME_UNKNOWN)
        else:
            core.reject(request, rejection.retry_after_ns)
        return True

    def record_and_start(self, request: InboundRequest) -> None:
        """Records the intent to run the request; the run starts when an IntentRecorded message arrives.

        Without a journal the run starts at once.
        """
        core = self._core
        if self._journal is None or request.idempotency_key is None:
            core.execute(request)
            return
        run = core.idempotency.runs[request.idempotency_key]
        if not core.faults.call("journal", self._journal.begin, request, run):
            core.post(IntentRecorded(request.reference, False, NS_PER_S))

    def intent_recorded(self, message: IntentRecorded) -> None:
        """Starts a run whose intent is recorded, or cancels it if it could not be recorded."""
        core = self._core
        request = find_request(core.open_requests, message.request)
        if request is None or request.idempotency_key is None:
            return
        run = core.idempotency.runs.get(request.idempotency_key)
        if run is None or run.request != request.reference or run.started:
            return
        if message.recorded and (not request.answered or run.waiters):
            run.started = True
            core.execute(request)
        else:  # it could not be recorded, or no caller waits for it any more
            self._cancel_unstarted_run(request, request.idempotency_key, message.retry_after_ns)

    def _cancel_unstarted_run(
        self, request: InboundRequest, key: IdempotencyKey, retry_after_ns: int
    ) -> None:
        """Removes a run that was not started; rejects its request and the duplicates that wait for it."""
        core = self._core
        waiters = core.idempotency.remove_unstarted_run(key, request.reference)
        if self._journal is not None:
            core.faults.call("journal", self._journal.never_ran, key, request.fingerprint)
        for reference in (request.reference, *waiters):
            waiting = find_request(core.open_requests, reference)
            if waiting is not None:
                core.responses.reject(waiting, retry_after_ns)
                core.open_requests.pop(waiting.id, None)
                core.dispatch(RequestCompleted(waiting.reference, Outcome.NOT_STARTED, 0))

    def run_ended(self, request: InboundRequest, key: IdempotencyKey, result: RunResult) -> None:
        """Stores the result of a run and answers the duplicates that wait for it."""
        core = self._core
        run = core.idempotency.run_in_progress(key, request.reference)
        if run is None:  # an attempt that was not run, as the filing ran before
            return
        if result.outcome in NEVER_RAN:
            waiters = core.idempotency.remove_unstarted_run(key, request.reference)
            if self._journal is not None:
                core.faults.call("journal", self._journal.never_ran, key, request.fingerprint)
        else:
            size_bytes = len(result.body) + result.detail_bytes + RESULT_OVERHEAD_BYTES
            waiters = core.idempotency.run_ended(key, request.reference, result, size_bytes)
            if self._journal is not None:
                core.faults.call("journal", self._journal.end, key, run, result)
        for waiter in waiters:
            core.post(DuplicateResolved(waiter, result))

    def attach(self, request: InboundRequest) -> None:
        """Answers a duplicate with the result of the run that it duplicates, now or once the run ends."""
        core = self._core
        key = request.idempotency_key
        request.attached_ns = core.now_ns
        run = core.idempotency.runs.get(key) if key is not None else None
        if run is not None and not run.has_ended:
            run.waiters += (request.reference,)
        elif run is not None and run.result is not None:
            core.post(DuplicateResolved(request.reference, run.result))
        elif run is not None and run.result_stored and self._journal is not None and key is not None:
            if not core.faults.call("journal", self._journal.fetch, key, request.reference):
                core.post(DuplicateResolved(request.reference, RunResult(Outcome.FAILED)))
        else:  # the result was evicted or never known, so the duplicate can only fail
            core.post(DuplicateResolved(request.reference, RunResult(Outcome.FAILED)))

    def expire(self) -> None:
        """Removes records and runs whose window has ended from the table, and the runs from the journal.

        A fault at one of them leaves the others.
        """
        core = self._core
        table = core.idempotency
        for key in table.expired_records(core.now_ns):
            core.faults.call("record_expiry", table.drop_record, key)
        for key in table.expired_runs(core.now_ns):
            core.faults.call("run_expiry", self._drop_run, key)
        table.remove_unused_class_names()

    def _drop_run(self, key: IdempotencyKey) -> None:
        self._core.idempotency.drop_run(key)
        if self._journal is not None:
            self._journal.drop(key)

    def restore(self, message: StateRestored) -> None:
        """Adopts the runs and learned state read from the store; runs added since take precedence."""
        self._core.idempotency.restore_runs(message.runs)
        message.on_adopted()
        self._learned_state = message.learned_state
        self.restore_learned_state()

    def restore_learned_state(self) -> None:
        """Restores the learned state from the store into the controller, once the controller is up."""
        controller = self._core.controller
        if self._learned_state is None or controller is None:
            return
        learned = self._learned_state
        self._learned_state = None
        try:
            learned_state.restore(controller, learned, self._core.now_ns, self._core.tenants.positions)
        except Exception:  # the controller then starts without learned state
            self._core.log.exception("learned_state_not_restored", source="store")

    def adopt_if_restored(self, key: IdempotencyKey) -> None:
        """Makes the controller adopt a run from before a restart when an attempt of it arrives.

        Adopting all restored runs at once would take too long.
        """
        run = self._core.idempotency.runs.get(key)
        if run is not None and run.restored:
            run.restored = False
            self.adopt(key, run)

    def adopt(self, key: IdempotencyKey, run: IdempotentRun) -> None:
        """Makes the controller adopt a run that it did not start."""
        core = self._core
        if core.controller is None:
            return
        classes = core.controller.settings.classes
        class_index = _keyed_class_index(classes, core.class_indices.get(key[1]))
        if class_index is None:
            return  # duplicates then fail, since `IdempotencyTable.may_run` prevents a second run
        window_ns = classes[class_index].idempotency_window_ns
        age_ns = max(0, core.now_ns - (run.window_end_ns - window_ns))
        core.dispatch(RunAdopted(RequestReceived(run.request, class_index, unread_ns=age_ns), True, True))


def _keyed_class_index(classes: Sequence[RequestClass], index: int | None) -> int | None:
    """Returns the position of the class under which the controller adopts a run.

    That is the run's own class, if it still exists and has keys, or else any class with keys.
    """
    if index is not None and classes[index].idempotency is Idempotency.KEYED:
        return index
    keyed = (n for n, request_class in enumerate(classes) if request_class.idempotency is Idempotency.KEYED)
    return next(keyed, None)
