"""Filings on their way through the journal: none begins before it is on record, and what was is known
again."""

from collections.abc import Callable
from typing import Any, Protocol

from ochrehoist.admission import learned_state
from ochrehoist.admission.events import (
    NEVER_RAN,
    Event,
    Outcome,
    RequestCompleted,
    RequestReceived,
    RunAdopted,
)
from ochrehoist.core.answers import Answers
from ochrehoist.core.keys import KeyTable, Run
from ochrehoist.core.messages import DuplicateResolved, IntentRecorded, StateRestored
from ochrehoist.core.protocols import IdempotencyJournal
from ochrehoist.core.request import IdempotencyKey, InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.core.tenants import Tenants

RESULT_OVERHEAD = 600  # bytes that one remembered run takes beyond its result


class Core(Protocol):
    """What filings need of the core that they belong to."""

    keys: KeyTable
    live: dict[str, InboundRequest]
    answers: Answers
    controller: Any  # None until the module is up
    kinds: dict[str, int]
    tenants: Tenants
    now: int
    log: Any
    tell: Callable[[Event], Any]
    post: Callable[[Any], None]
    execute: Callable[[InboundRequest], None]
    turn_away: Callable[..., None]


class Filings:
    """The core's dealings with its journal; without one, filings are as safe as the process."""

    def __init__(self, owner: Core) -> None:
        self.owner = owner
        self.journal: IdempotencyJournal | None = None
        self.lesson: dict | None = None  # what was learned before, for a module that is not up yet

    # ---- in
    def turned_away(self, r: InboundRequest) -> bool:
        """Answers one that can't go on record now, unless another try of it is known."""
        owner = self.owner
        if self.journal is None or owner.keys.original(r.idempotency_key, r.arrived_ns) is not None:
            return False
        refusal = self.journal.rejection_for(r.idempotency_key)
        if refusal is None:
            return False
        if refusal.outcome_unknown:
            owner.turn_away(r, FailureReason.OUTCOME_UNKNOWN)
        else:
            owner.turn_away(r, backoff=refusal.retry_after_ns)
        return True

    def begin(self, r: InboundRequest) -> None:
        """Runs it once it is on record, which a Recorded tells."""
        if self.journal is None:
            return self.owner.execute(r)
        self.journal.begin(r, self.owner.keys.runs[r.idempotency_key])

    def recorded(self, m: IntentRecorded) -> None:
        owner, r = self.owner, self.owner.live.get(m.id)
        run = owner.keys.runs.get(r.idempotency_key) if r is not None else None
        if run is None or run.id != r.id or run.begun:
            return
        if m.recorded and (not r.answered or run.waiters):
            run.begun = True
            return owner.execute(r)
        # Nobody waits for it any more, or it can't be put on record: it was never begun.
        waiters = owner.keys.never_ran(r.idempotency_key, r.id)
        self.journal.never_ran(r.idempotency_key)
        for request_id in (r.id, *waiters):
            waiting = owner.live.get(request_id)
            if waiting is not None:
                owner.answers.refuse(waiting, m.retry_after_ns)
                owner.live.pop(request_id, None)
                owner.tell(RequestCompleted(request_id, Outcome.NOT_STARTED, 0))

    # ---- out
    def ended(self, r: InboundRequest, result: RunResult) -> None:
        owner = self.owner
        if result.outcome in NEVER_RAN:
            waiters = owner.keys.never_ran(r.idempotency_key, r.id)
            if self.journal is not None:
                self.journal.never_ran(r.idempotency_key)
        else:
            size = len(result.body) + result.detail_bytes + RESULT_OVERHEAD
            run = owner.keys.runs.get(r.idempotency_key)
            waiters = owner.keys.ended(r.idempotency_key, r.id, result, size)
            if self.journal is not None and run is not None and run.id == r.id:
                self.journal.end(r.idempotency_key, run, result)
        for waiter in waiters:
            owner.post(DuplicateResolved(waiter, result))

    def join(self, r: InboundRequest) -> None:
        """Gives a repeat the result of the run it repeats, at once or when it is there."""
        owner = self.owner
        r.attached_ns = owner.now
        run = owner.keys.runs.get(r.idempotency_key) if r.idempotency_key is not None else None
        if run is not None and run.result is None and not run.dropped:
            run.waiters += (r.id,)
        elif run is not None and run.result is not None:
            owner.post(DuplicateResolved(r.id, run.result))
        elif run is not None and run.stored and self.journal is not None:
            self.journal.fetch(r.idempotency_key, r.id)
        else:  # a run whose result was let go, or never known, can't be served again, only failed
            owner.post(DuplicateResolved(r.id, RunResult(Outcome.FAILED)))

    def sweep(self) -> None:
        for token in self.owner.keys.sweep(self.owner.now):
            if self.journal is not None:
                self.journal.drop(token)

    # ---- after a restart
    def restored(self, m: StateRestored) -> None:
        """Takes up what was on record; what has come since goes before it."""
        m.runs.update(self.owner.keys.runs)
        self.owner.keys.runs = m.runs
        self.lesson = m.learned_state
        self.teach()

    def teach(self) -> None:
        """What was learned before, as soon as there is a module to teach."""
        if self.lesson is None or self.owner.controller is None:
            return
        lesson, self.lesson = self.lesson, None
        try:
            learned_state.restore(self.owner.controller, lesson, self.owner.now, self.owner.tenants)
        except Exception:  # it learns anew
            self.owner.log.exception("what was learned before can't be taken up")

    def wake(self, token: IdempotencyKey) -> None:
        """Tells the module of a run of before a restart, now that it is asked for: all at once were too
        much."""
        run = self.owner.keys.runs.get(token)
        if run is not None and run.asleep:
            run.asleep = False
            self.adopt(token, run)

    def adopt(self, token: IdempotencyKey, run: Run) -> None:
        owner = self.owner
        kind = owner.kinds[token[1]]
        since = max(
            0, owner.now - (run.window_end - owner.controller.settings.classes[kind].idempotency_window_ns)
        )
        owner.tell(RunAdopted(RequestReceived(run.id, kind, unread_ns=since), True, True))
