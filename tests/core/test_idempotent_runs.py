"""Tests of filings in a core with a journal: their start, rejection and restoration after a restart."""

import unittest
from types import SimpleNamespace

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.learned_state import snapshot
from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass, Tenant
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.messages import (
    CallerDisconnected,
    DuplicateResolved,
    ExecutorReady,
    IntentRecorded,
    RequestArrived,
    RunCompleted,
    SettingsChanged,
    StateRestored,
)
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, Rejection, RunResult

S = 10**9
FILING = RequestClass(
    name="filing",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    idempotency=Idempotency.KEYED,
    idempotency_window_ns=20 * S,
)
READ = RequestClass(
    name="read", latency_objective_ns=2 * S, deadline_ns=5 * S, idempotency=Idempotency.IDEMPOTENT
)


def settings(*classes, **fields):
    return AdmissionSettings(
        classes=classes or (FILING, READ),
        cores=2,
        memory_kb=1e6,
        collapse_multiple=5.0,
        collapse_after_ns=2 * S,
        tenants=(Tenant("acme", 50.0, 1.0),),
        max_retry_after_ns=S,
        **fields,
    )


class RecordingJournal:
    """A journal that records its calls and returns a configurable rejection."""

    def __init__(self):
        self.calls, self.rejection = [], None

    def rejection_for(self, filing_key):
        return self.rejection

    def begin(self, r, run):
        self.calls.append(("begin", r.id))

    def end(self, filing_key, run, result):
        run.result_stored = True
        self.calls.append(("end", filing_key[2], result.body))

    def drop(self, filing_key):
        self.calls.append(("drop", filing_key[2]))

    def never_ran(self, filing_key):
        self.drop(filing_key)

    def fetch(self, filing_key, request_id):
        self.calls.append(("fetch", filing_key[2], request_id))


class IdempotentRunsTest(unittest.TestCase):
    """Filings and reads from their arrival to their answer."""

    def setUp(self):
        self.now_ns, self.answers, self.started, self.request_count = 1000 * S, {}, [], 0
        log = SimpleNamespace(
            info=self.ignore_event,
            warning=self.ignore_event,
            error=self.ignore_event,
            exception=self.fail_on_exception,
        )
        waker = SimpleNamespace(set=lambda: None)
        self.actor = CoreActor(
            settings(), 1, waker, lambda: self.now_ns, lambda: self.now_ns, log, 10**6, lambda: None
        )
        self.journal = RecordingJournal()
        self.actor.register_journal(self.journal)
        self.post_and_step(ExecutorReady(None, 0))

    def ignore_event(self, *args, **fields):
        pass

    def fail_on_exception(self, event, **fields):
        raise AssertionError((event, fields))

    def post_and_step(self, *messages):
        for message in messages:
            self.actor.post(message)
        self.actor.step()

    def arrive(self, key="k", request_class=FILING, retry=False):
        self.request_count += 1
        request_id = f"r{self.request_count}"
        answers = self.answers.setdefault(request_id, [])
        responder = SimpleNamespace(
            served=lambda result: answers.append(("served", result.body)),
            rejected=lambda retry_after_ns, no_retry: answers.append(("refused", retry_after_ns)),
            failed=lambda reason, result=None: answers.append(("failed", reason)),
        )
        executor = SimpleNamespace(start=lambda r: self.started.append(r.id))
        filing_key = ("acme", request_class.name, key) if request_class is FILING else None
        self.post_and_step(
            RequestArrived(
                InboundRequest(
                    request_id,
                    request_class,
                    self.now_ns,
                    None,
                    responder,
                    executor,
                    "acme",
                    idempotency_key=filing_key,
                    is_retry=retry,
                    fingerprint=(None, b"x") if filing_key else None,
                    work_ns=10**7,
                    memory_kb=10.0,
                )
            )
        )
        return request_id

    def running(self):
        return self.actor.controller.concurrency.running

    def test_a_filing_starts_once_recorded_and_a_read_at_once(self):
        filing, read = self.arrive(), self.arrive(request_class=READ)
        self.assertEqual((self.started, self.journal.calls), ([read], [("begin", filing)]))
        self.post_and_step(IntentRecorded(filing, True))
        self.post_and_step(IntentRecorded(filing, True))
        self.assertEqual(self.started, [read, filing])
        self.post_and_step(RunCompleted(filing, RunResult(Outcome.OK, b"done"), S))
        self.assertEqual(self.journal.calls[1:], [("end", "k", b"done")])
        self.assertEqual(self.answers[filing], [("served", b"done")])

    def test_a_filing_that_cannot_be_recorded_is_rejected_with_its_retries_and_frees_its_slot(self):
        first = self.arrive()
        retried = self.arrive(retry=True)
        self.assertEqual(self.running(), 1)
        self.post_and_step(IntentRecorded(first, False, S))
        self.assertEqual((self.answers[first], self.answers[retried]), ([("refused", S)], [("refused", S)]))
        self.assertEqual((self.running(), self.actor.open_requests, self.started), (0, {}, []))
        self.assertEqual(self.journal.calls, [("begin", first), ("drop", "k")])
        next_attempt = self.arrive()
        self.post_and_step(IntentRecorded(next_attempt, True))
        self.assertEqual(self.started, [next_attempt])

    def test_a_filing_whose_caller_has_left_starts_only_for_a_retry(self):
        abandoned = self.arrive()
        self.post_and_step(CallerDisconnected(abandoned), IntentRecorded(abandoned, True))
        self.assertEqual((self.started, self.running()), ([], 0))
        self.assertEqual(self.journal.calls[-1], ("drop", "k"))
        abandoned = self.arrive("other")
        retried = self.arrive("other", retry=True)
        self.post_and_step(CallerDisconnected(abandoned), IntentRecorded(abandoned, True))
        self.assertEqual(self.started, [abandoned])
        self.post_and_step(RunCompleted(abandoned, RunResult(Outcome.OK, b"done"), S))
        self.assertEqual(self.answers[retried], [("served", b"done")])

    def test_a_filing_that_never_ran_is_removed_from_the_journal(self):
        filing = self.arrive()
        self.post_and_step(
            IntentRecorded(filing, True), RunCompleted(filing, RunResult(Outcome.UNREACHABLE), 0)
        )
        self.assertEqual(self.journal.calls[-1], ("drop", "k"))

    def test_while_the_journal_rejects_only_unknown_filings_are_rejected(self):
        done = self.arrive("done")
        self.post_and_step(IntentRecorded(done, True), RunCompleted(done, RunResult(Outcome.OK, b"done"), S))
        for rejection, answer in (
            (Rejection(7 * S), ("refused", 7 * S)),
            (Rejection(0, outcome_unknown=True), ("failed", FailureReason.OUTCOME_UNKNOWN)),
        ):
            self.journal.rejection = rejection
            self.assertEqual(self.answers[self.arrive("new")], [answer])
            self.assertEqual(self.answers[self.arrive("done", retry=True)], [("served", b"done")])
            read = self.arrive(request_class=READ)
            self.assertEqual(self.started[-1], read)

    def restore(self, **runs_by_key):
        runs = {
            ("acme", "filing", key): IdempotentRun(
                f"old {key}", self.now_ns + 9 * S, (None, b"x"), result_evicted=True, restored=True, **values
            )
            for key, values in runs_by_key.items()
        }
        self.post_and_step(StateRestored(runs, None))

    def test_after_a_restart_results_are_fetched_and_what_may_have_run_fails(self):
        self.restore(ended={"result_stored": True}, begun={})
        # The controller adopts restored runs only when an attempt of them arrives.
        self.assertEqual(len(self.actor.controller.idempotency.retained), 0)
        ended, begun = self.arrive("ended", retry=True), self.arrive("begun", retry=True)
        self.assertEqual(self.journal.calls, [("fetch", "ended", ended)])
        self.assertEqual(self.answers[begun], [("failed", FailureReason.EXECUTOR_FAILED)])
        self.post_and_step(DuplicateResolved(ended, RunResult(Outcome.OK, b"kept")))
        self.assertEqual(self.answers[ended], [("served", b"kept")])
        self.assertEqual((self.started, len(self.actor.controller.idempotency.retained)), ([], 2))
        self.assertEqual(
            self.answers[self.arrive("begun", retry=True)], [("failed", FailureReason.EXECUTOR_FAILED)]
        )
        self.assertEqual(len(self.actor.controller.idempotency.retained), 2)

    def test_a_filing_that_arrived_before_the_restore_takes_precedence(self):
        own_filing = self.arrive("k")
        self.post_and_step(IntentRecorded(own_filing, True))
        self.restore(k={"result_stored": True})
        self.post_and_step(RunCompleted(own_filing, RunResult(Outcome.OK, b"mine"), S))
        self.assertEqual(self.answers[own_filing], [("served", b"mine")])

    def test_restored_filings_survive_settings_without_their_class_and_expire(self):
        self.restore(k={"result_stored": True})
        self.post_and_step(SettingsChanged(settings(READ)))
        self.post_and_step(SettingsChanged(settings()))
        self.arrive("k", retry=True)
        self.assertEqual(self.journal.calls[-1][:2], ("fetch", "k"))
        self.restore(late={})
        self.now_ns += 60 * S
        self.post_and_step()
        self.assertIn(("drop", "late"), self.journal.calls)
        self.assertNotIn(("acme", "filing", "late"), self.actor.idempotency.runs)

    def test_learned_state_is_restored_at_once_or_when_the_controller_starts(self):
        for n in range(6):
            request_id = self.arrive(f"k{n}")
            self.post_and_step(IntentRecorded(request_id, True))
            self.now_ns += 300_000_000
            self.post_and_step(RunCompleted(request_id, RunResult(Outcome.OK), 300_000_000))
        learned_state = snapshot(self.actor.controller)
        learned_mean = self.actor.controller.run_times.mean_run_ns[0].value
        for controller_late in (False, True):
            self.setUp()
            initial_mean = self.actor.controller.run_times.mean_run_ns[0].value
            self.assertNotEqual(initial_mean, learned_mean)
            if controller_late:
                self.actor.controller, self.actor.executor_ready = None, None
            self.post_and_step(StateRestored({}, learned_state))
            if controller_late:
                self.post_and_step(ExecutorReady(None, 0))
            self.assertEqual(self.actor.controller.run_times.mean_run_ns[0].value, learned_mean)


if __name__ == "__main__":
    unittest.main()
