"""Messages about a request that has ended, when another request has its id; forced in the core's inbox."""

import unittest
from unittest import mock

from ochrehoist.admission.events import Outcome, RequestReceived
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.messages import (
    CallerDisconnected,
    DuplicateResolved,
    IntentRecorded,
    RequestArrived,
    RunCompleted,
    StateRestored,
)
from ochrehoist.core.results import FailureReason, RunResult
from tests.core.core_test_case import READ, CoreTestCase, S

OK = RunResult(Outcome.OK, b"done")


class ReusedIdTest(CoreTestCase):
    """Two requests of one id, of which the first has ended when a message about it is handled."""

    def test_the_release_of_a_failed_request_leaves_a_later_request_of_its_id_running(self):
        # Guards against a lost result: after a fault of the controller, the completion that frees the slot of
        # the first request named only the id, and ended the run of the second one.
        first = self.request(request_class=READ, request_id="same")
        second = self.request(request_class=READ, request_id="same")
        handle = self.actor.controller.handle
        faults = iter([ValueError("injected")])

        def fail_once(now_ns, event):
            if isinstance(event, RequestReceived):
                for fault in faults:
                    raise fault
            return handle(now_ns, event)

        self.actor.log.exception = mock.Mock()
        with mock.patch.object(self.actor.controller, "handle", fail_once):
            self.post_and_step(RequestArrived(first), RequestArrived(second))
        self.assertEqual(self.answers(first), [("failed", FailureReason.INTERNAL)])
        self.assertEqual((self.started, self.answers(second)), (["same"], []))
        self.post_and_step(RunCompleted(second.reference, OK, S))
        self.assertEqual((self.answers(second), self.running()), ([("served", b"done")], 0))

    def test_the_result_of_a_filing_is_not_sent_to_a_request_with_the_id_of_an_aborted_duplicate(self):
        # Guards against another filing's result: the duplicates that wait for a run were kept by their ids.
        filing = self.arrive("k")
        self.post_and_step(IntentRecorded(filing.reference, True))
        duplicate = self.arrive("k", retry=True, request_id="same")
        self.post_and_step(CallerDisconnected(duplicate.reference))
        other = self.arrive("other", request_id="same")
        self.post_and_step(IntentRecorded(other.reference, True))
        self.post_and_step(RunCompleted(filing.reference, OK, S))
        self.assertEqual(self.answers(other), [])
        self.post_and_step(RunCompleted(other.reference, RunResult(Outcome.OK, b"its own"), S))
        self.assertEqual(self.answers(other), [("served", b"its own")])

    def test_a_fetched_result_is_not_sent_to_a_request_with_the_id_of_an_aborted_duplicate(self):
        # Guards against another filing's result: a result is fetched from the store for an id.
        run = IdempotentRun(
            "old", self.now_ns + 9 * S, (None, b"x"), result_evicted=True, result_stored=True, restored=True
        )
        self.post_and_step(StateRestored({("acme", "filing", "k"): run}, None))
        duplicate = self.arrive("k", retry=True, request_id="same")
        ((_, _, fetched_for),) = self.journal.calls
        self.post_and_step(CallerDisconnected(duplicate.reference))
        other = self.arrive(request_class=READ, request_id="same")
        self.post_and_step(DuplicateResolved(fetched_for, OK))
        self.assertEqual(self.answers(other), [])
        self.post_and_step(RunCompleted(other.reference, RunResult(Outcome.OK, b"its own"), S))
        self.assertEqual(self.answers(other), [("served", b"its own")])

    def test_the_deadline_of_an_ended_request_does_not_fail_a_later_one_of_its_id(self):
        # Guards against an early failure: deadlines were kept by ids, also those of requests that have ended.
        first = self.arrive(request_class=READ, request_id="same")
        self.post_and_step(RunCompleted(first.reference, OK, S))
        self.now_ns += 3 * S
        second = self.arrive(request_class=READ, request_id="same")
        self.now_ns += READ.deadline_ns - 2 * S  # one second after the deadline of the first
        self.post_and_step()
        self.assertEqual(self.answers(second), [])
        self.post_and_step(RunCompleted(second.reference, OK, S))
        self.assertEqual(self.answers(second), [("served", b"done")])

    def test_a_repeat_under_the_same_id_leaves_the_result_of_its_filing(self):
        # Guards against a lost result: the repeat that was not run overwrote the result of the run by its id.
        filing = self.arrive("k", request_id="same")
        self.post_and_step(IntentRecorded(filing.reference, True), RunCompleted(filing.reference, OK, S))
        repeat = self.arrive("k", retry=True, request_id="same")
        retry = self.arrive("k", retry=True)
        self.assertEqual([kind for kind, _ in self.answers(repeat)], ["failed"])
        self.assertEqual((self.started, self.answers(retry)), (["same"], [("served", b"done")]))
        self.assertEqual(self.journal.calls, [("begin", "same"), ("end", "k", b"done")])


if __name__ == "__main__":
    unittest.main()
