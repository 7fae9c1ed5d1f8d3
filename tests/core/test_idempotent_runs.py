"""Tests of filings in a core with a journal: their start, rejection and restoration after a restart."""

import unittest

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.learned_state import snapshot
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.messages import (
    CallerDisconnected,
    DuplicateResolved,
    ExecutorReady,
    IntentRecorded,
    RunCompleted,
    SettingsChanged,
    StateRestored,
)
from ochrehoist.core.request import new_reference
from ochrehoist.core.results import FailureReason, Rejection, RunResult
from tests.core.core_test_case import READ, CoreTestCase, S, settings


class IdempotentRunsTest(CoreTestCase):
    """Filings and reads from their arrival to their answer."""

    def test_a_filing_starts_once_recorded_and_a_read_at_once(self):
        filing, read = self.arrive(), self.arrive(request_class=READ)
        self.assertEqual((self.started, self.journal.calls), ([read.id], [("begin", filing.id)]))
        self.post_and_step(IntentRecorded(filing.reference, True))
        self.post_and_step(IntentRecorded(filing.reference, True))
        self.assertEqual(self.started, [read.id, filing.id])
        self.post_and_step(RunCompleted(filing.reference, RunResult(Outcome.OK, b"done"), S))
        self.assertEqual(self.journal.calls[1:], [("end", "k", b"done")])
        self.assertEqual(self.answers(filing), [("served", b"done")])

    def test_a_filing_that_cannot_be_recorded_is_rejected_with_its_retries_and_frees_its_slot(self):
        first = self.arrive()
        retried = self.arrive(retry=True)
        self.assertEqual(self.running(), 1)
        self.post_and_step(IntentRecorded(first.reference, False, S))
        self.assertEqual((self.answers(first), self.answers(retried)), ([("refused", S)], [("refused", S)]))
        self.assertEqual((self.running(), self.actor.open_requests, self.started), (0, {}, []))
        self.assertEqual(self.journal.calls, [("begin", first.id), ("drop", "k")])
        next_attempt = self.arrive()
        self.post_and_step(IntentRecorded(next_attempt.reference, True))
        self.assertEqual(self.started, [next_attempt.id])

    def test_a_filing_whose_caller_has_left_starts_only_for_a_retry(self):
        abandoned = self.arrive()
        self.post_and_step(CallerDisconnected(abandoned.reference), IntentRecorded(abandoned.reference, True))
        self.assertEqual((self.started, self.running()), ([], 0))
        self.assertEqual(self.journal.calls[-1], ("drop", "k"))
        abandoned = self.arrive("other")
        retried = self.arrive("other", retry=True)
        self.post_and_step(CallerDisconnected(abandoned.reference), IntentRecorded(abandoned.reference, True))
        self.assertEqual(self.started, [abandoned.id])
        self.post_and_step(RunCompleted(abandoned.reference, RunResult(Outcome.OK, b"done"), S))
        self.assertEqual(self.answers(retried), [("served", b"done")])

    def test_a_filing_that_never_ran_is_removed_from_the_journal(self):
        filing = self.arrive()
        self.post_and_step(
            IntentRecorded(filing.reference, True),
            RunCompleted(filing.reference, RunResult(Outcome.UNREACHABLE), 0),
        )
        self.assertEqual(self.journal.calls[-1], ("drop", "k"))

    def test_while_the_journal_rejects_only_unknown_filings_are_rejected(self):
        done = self.arrive("done")
        self.post_and_step(
            IntentRecorded(done.reference, True),
            RunCompleted(done.reference, RunResult(Outcome.OK, b"done"), S),
        )
        for rejection, answer in (
            (Rejection(7 * S), ("refused", 7 * S)),
            (Rejection(0, outcome_unknown=True), ("failed", FailureReason.OUTCOME_UNKNOWN)),
        ):
            self.journal.rejection = rejection
            self.assertEqual(self.answers(self.arrive("new")), [answer])
            self.assertEqual(self.answers(self.arrive("done", retry=True)), [("served", b"done")])
            read = self.arrive(request_class=READ)
            self.assertEqual(self.started[-1], read.id)

    def restore(self, **runs_by_key):
        runs = {
            ("acme", "filing", key): IdempotentRun(
                new_reference(f"old {key}"),
                self.now_ns + 9 * S,
                (None, b"x"),
                result_evicted=True,
                restored=True,
                **values,
            )
            for key, values in runs_by_key.items()
        }
        self.post_and_step(StateRestored(runs, None))

    def test_after_a_restart_results_are_fetched_and_what_may_have_run_fails(self):
        self.restore(ended={"result_stored": True}, begun={})
        # The controller adopts restored runs only when an attempt of them arrives.
        self.assertEqual(len(self.actor.controller.idempotency.retained), 0)
        ended, begun = self.arrive("ended", retry=True), self.arrive("begun", retry=True)
        self.assertEqual(self.journal.calls, [("fetch", "ended", ended.reference)])
        self.assertEqual(self.answers(begun), [("failed", FailureReason.EXECUTOR_FAILED)])
        self.post_and_step(DuplicateResolved(ended.reference, RunResult(Outcome.OK, b"kept")))
        self.assertEqual(self.answers(ended), [("served", b"kept")])
        self.assertEqual((self.started, len(self.actor.controller.idempotency.retained)), ([], 2))
        self.assertEqual(
            self.answers(self.arrive("begun", retry=True)), [("failed", FailureReason.EXECUTOR_FAILED)]
        )
        self.assertEqual(len(self.actor.controller.idempotency.retained), 2)

    def test_a_filing_that_arrived_before_the_restore_takes_precedence(self):
        own_filing = self.arrive("k")
        self.post_and_step(IntentRecorded(own_filing.reference, True))
        self.restore(k={"result_stored": True})
        self.post_and_step(RunCompleted(own_filing.reference, RunResult(Outcome.OK, b"mine"), S))
        self.assertEqual(self.answers(own_filing), [("served", b"mine")])

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
            request = self.arrive(f"k{n}")
            self.post_and_step(IntentRecorded(request.reference, True))
            self.now_ns += 300_000_000
            self.post_and_step(RunCompleted(request.reference, RunResult(Outcome.OK), 300_000_000))
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
