"""The core between its controller and a journal: what begins, what is rejected, what a restart restores."""

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


def settings(*classes, **more):
    return AdmissionSettings(
        classes=classes or (FILING, READ),
        cores=2,
        memory_kb=1e6,
        collapse_multiple=5.0,
        collapse_after_ns=2 * S,
        tenants=(Tenant("acme", 50.0, 1.0),),
        max_retry_after_ns=S,
        **more,
    )


class RecordingJournal:
    """A journal that writes down what it is told."""

    def __init__(self):
        self.told, self.refusal = [], None

    def rejection_for(self, token):
        return self.refusal

    def begin(self, r, run):
        self.told.append(("begin", r.id))

    def end(self, token, run, result):
        run.result_stored = True
        self.told.append(("end", token[2], result.body))

    def drop(self, token):
        self.told.append(("drop", token[2]))

    def never_ran(self, token):
        self.drop(token)

    def fetch(self, token, request_id):
        self.told.append(("fetch", token[2], request_id))


class IdempotentRunsTest(unittest.TestCase):
    """Filings and reads from their arrival to their end."""

    def setUp(self):
        self.now, self.ends, self.started, self.n = 1000 * S, {}, [], 0
        quiet = SimpleNamespace(info=self.said, warning=self.said, error=self.said, exception=self.fault)
        waker = SimpleNamespace(set=lambda: None)
        self.owner = CoreActor(
            settings(), 1, waker, lambda: self.now, lambda: self.now, quiet, 10**6, lambda: None
        )
        self.journal = RecordingJournal()
        self.owner.register_journal(self.journal)
        self.do(ExecutorReady(None, 0))

    def said(self, *args, **more):
        pass

    def fault(self, event, **more):
        raise AssertionError((event, more))

    def do(self, *messages):
        for message in messages:
            self.owner.post(message)
        self.owner.step()

    def arrive(self, key="k", cls=FILING, retry=False):
        self.n += 1
        rid = f"r{self.n}"
        ends = self.ends.setdefault(rid, [])
        responder = SimpleNamespace(
            served=lambda result: ends.append(("served", result.body)),
            rejected=lambda backoff, no_retry: ends.append(("refused", backoff)),
            failed=lambda reason, result=None: ends.append(("failed", reason)),
        )
        executor = SimpleNamespace(start=lambda r: self.started.append(r.id))
        token = ("acme", cls.name, key) if cls is FILING else None
        self.do(
            RequestArrived(
                InboundRequest(
                    rid,
                    cls,
                    self.now,
                    None,
                    responder,
                    executor,
                    "acme",
                    idempotency_key=token,
                    is_retry=retry,
                    fingerprint=(None, b"x") if token else None,
                    work_ns=10**7,
                    memory_kb=10.0,
                )
            )
        )
        return rid

    def running(self):
        return self.owner.controller.concurrency.running

    def test_a_filing_begins_once_it_is_on_record_and_a_read_at_once(self):
        filing, read = self.arrive(), self.arrive(cls=READ)
        self.assertEqual((self.started, self.journal.told), ([read], [("begin", filing)]))
        self.do(IntentRecorded(filing, True))
        self.do(IntentRecorded(filing, True))
        self.assertEqual(self.started, [read, filing])
        self.do(RunCompleted(filing, RunResult(Outcome.OK, b"done"), S))
        self.assertEqual(self.journal.told[1:], [("end", "k", b"done")])
        self.assertEqual(self.ends[filing], [("served", b"done")])

    def test_one_that_can_not_be_recorded_is_refused_with_its_repeats_and_its_slot_is_free(self):
        first = self.arrive()
        repeat = self.arrive(retry=True)
        self.assertEqual(self.running(), 1)
        self.do(IntentRecorded(first, False, S))
        self.assertEqual((self.ends[first], self.ends[repeat]), ([("refused", S)], [("refused", S)]))
        self.assertEqual((self.running(), self.owner.open_requests, self.started), (0, {}, []))
        self.assertEqual(self.journal.told, [("begin", first), ("drop", "k")])
        again = self.arrive()
        self.do(IntentRecorded(again, True))
        self.assertEqual(self.started, [again])

    def test_a_filing_whose_caller_has_left_starts_only_for_a_retry(self):
        left = self.arrive()
        self.do(CallerDisconnected(left), IntentRecorded(left, True))
        self.assertEqual((self.started, self.running()), ([], 0))
        self.assertEqual(self.journal.told[-1], ("drop", "k"))
        left = self.arrive("other")
        repeat = self.arrive("other", retry=True)
        self.do(CallerDisconnected(left), IntentRecorded(left, True))
        self.assertEqual(self.started, [left])
        self.do(RunCompleted(left, RunResult(Outcome.OK, b"done"), S))
        self.assertEqual(self.ends[repeat], [("served", b"done")])

    def test_what_never_ran_is_taken_out_again(self):
        filing = self.arrive()
        self.do(IntentRecorded(filing, True), RunCompleted(filing, RunResult(Outcome.UNREACHABLE), 0))
        self.assertEqual(self.journal.told[-1], ("drop", "k"))

    def test_while_the_journal_refuses_only_unknown_filings_are_rejected(self):
        done = self.arrive("done")
        self.do(IntentRecorded(done, True), RunCompleted(done, RunResult(Outcome.OK, b"done"), S))
        for refusal, end in (
            (Rejection(7 * S), ("refused", 7 * S)),
            (Rejection(0, outcome_unknown=True), ("failed", FailureReason.OUTCOME_UNKNOWN)),
        ):
            self.journal.refusal = refusal
            self.assertEqual(self.ends[self.arrive("new")], [end])
            self.assertEqual(self.ends[self.arrive("done", retry=True)], [("served", b"done")])
            read = self.arrive(cls=READ)
            self.assertEqual(self.started[-1], read)

    def restore(self, **more):
        runs = {
            ("acme", "filing", key): IdempotentRun(
                f"old {key}", self.now + 9 * S, (None, b"x"), result_evicted=True, restored=True, **values
            )
            for key, values in more.items()
        }
        self.do(StateRestored(runs, None))

    def test_after_a_restart_results_are_fetched_and_what_may_have_run_fails(self):
        self.restore(ended={"result_stored": True}, begun={})
        self.assertEqual(len(self.owner.controller.idempotency.retained), 0)  # the module hears of none yet
        ended, begun = self.arrive("ended", retry=True), self.arrive("begun", retry=True)
        self.assertEqual(self.journal.told, [("fetch", "ended", ended)])
        self.assertEqual(self.ends[begun], [("failed", FailureReason.EXECUTOR_FAILED)])
        self.do(DuplicateResolved(ended, RunResult(Outcome.OK, b"kept")))
        self.assertEqual(self.ends[ended], [("served", b"kept")])
        self.assertEqual((self.started, len(self.owner.controller.idempotency.retained)), ([], 2))
        self.assertEqual(
            self.ends[self.arrive("begun", retry=True)], [("failed", FailureReason.EXECUTOR_FAILED)]
        )
        self.assertEqual(len(self.owner.controller.idempotency.retained), 2)

    def test_what_came_before_the_store_was_read_goes_before_it(self):
        mine = self.arrive("k")
        self.do(IntentRecorded(mine, True))
        self.restore(k={"result_stored": True})
        self.do(RunCompleted(mine, RunResult(Outcome.OK, b"mine"), S))
        self.assertEqual(self.ends[mine], [("served", b"mine")])

    def test_restored_filings_outlive_new_settings_without_their_class_and_expire(self):
        self.restore(k={"result_stored": True})
        self.do(SettingsChanged(settings(READ)))
        self.do(SettingsChanged(settings()))
        self.arrive("k", retry=True)
        self.assertEqual(self.journal.told[-1][:2], ("fetch", "k"))
        self.restore(late={})
        self.now += 60 * S
        self.do()
        self.assertIn(("drop", "late"), self.journal.told)
        self.assertNotIn(("acme", "filing", "late"), self.owner.idempotency.runs)

    def test_learned_state_is_restored_at_once_or_when_the_controller_starts(self):
        for n in range(6):
            rid = self.arrive(f"k{n}")
            self.do(IntentRecorded(rid, True))
            self.now += 300_000_000
            self.do(RunCompleted(rid, RunResult(Outcome.OK), 300_000_000))
        lesson = snapshot(self.owner.controller)
        taught = self.owner.controller.run_times.mean_run_ns[0].value
        for late in (False, True):
            self.setUp()
            fresh = self.owner.controller.run_times.mean_run_ns[0].value
            self.assertNotEqual(fresh, taught)
            if late:
                self.owner.controller, self.owner.executor_ready = None, None
            self.do(StateRestored({}, lesson))
            if late:
                self.do(ExecutorReady(None, 0))
            self.assertEqual(self.owner.controller.run_times.mean_run_ns[0].value, taught)


if __name__ == "__main__":
    unittest.main()
