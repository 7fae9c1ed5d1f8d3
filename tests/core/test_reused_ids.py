"""Messages about a request that has ended, when another request has its id; forced in the core's inbox."""

import unittest
from unittest import mock

from ochrehoist.admission.events import Outcome, RequestReceived
from ochrehoist.core.handover_snapshot import SnapshotReader, snapshot_lines
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.messages import (
    CallerDisconnected,
    DuplicateResolved,
    IntentRecorded,
    RequestArrived,
    RunCompleted,
    StateRestored,
    StateTransferred,
)
from ochrehoist.core.request import new_reference
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.net.ajp_reply_codec import ReplyCodec
from tests.core.core_test_case import FILING, READ, TENANT, CoreTestCase, S

OK = RunResult(Outcome.OK, b"done")
CODEC = ReplyCodec()


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
            new_reference("old"),
            self.now_ns + 9 * S,
            (None, b"x"),
            result_evicted=True,
            result_stored=True,
            restored=True,
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

    def serve(self, filing, result=OK):
        self.post_and_step(IntentRecorded(filing.reference, True), RunCompleted(filing.reference, result, S))

    def test_a_repeat_under_the_id_of_its_filing_gets_the_result_and_leaves_it(self):
        # Guards against a lost result: the repeat overwrote the result of the run by its id, later failed.
        filing = self.arrive("k", request_id="same")
        self.serve(filing)
        repeat = self.arrive("k", retry=True, request_id="same")
        retry = self.arrive("k", retry=True)
        self.assertEqual((self.answers(repeat), self.answers(retry)), ([("served", b"done")],) * 2)
        self.assertEqual(self.started, ["same"])
        self.assertEqual(self.journal.calls, [("begin", "same"), ("end", "k", b"done")])

    def test_the_core_goes_on_when_a_filing_expires_whose_id_was_used_again(self):
        # Guards against the end of the core: the dropped copy took the id's only entry in the table with it.
        self.serve(self.arrive("k", request_id="same"))
        self.serve(self.arrive("other", request_id="same"), RunResult(Outcome.NOT_STARTED))
        self.assertEqual(list(self.actor.idempotency.records), [(TENANT, FILING.name, "k")])
        self.now_ns += 2 * (FILING.idempotency_window_ns + FILING.deadline_ns)
        self.post_and_step()
        table = self.actor.idempotency
        self.assertEqual((table.records, table.runs, table.bytes), ({}, {}, 0))
        self.assertEqual(self.started, ["same", "same"])

    def test_the_drop_of_a_copied_id_keeps_the_memory_of_the_first_key_counted(self):
        # Guards against too many keys: the controller knew keys by ids, and forgot the first filing's.
        self.serve(self.arrive("k", request_id="same"))
        self.serve(self.arrive("other", request_id="same"), RunResult(Outcome.NOT_STARTED))
        self.assertEqual(len(self.actor.controller.idempotency.retained), 1)

    def test_a_duplicate_does_not_wait_for_a_queued_request_with_the_id_of_its_original(self):
        # Guards against a late answer: the controller took the queued request for the original.
        self.serve(self.arrive("k", request_id="same"))
        queue = self.actor.controller.queue
        for _ in range(50):
            if queue.jobs:
                break
            self.arrive(request_class=READ)
        self.assertTrue(queue.jobs)
        queued = self.arrive(request_class=READ, request_id="same")
        self.assertFalse(queued.started)
        self.assertEqual(self.answers(self.arrive("k", retry=True)), [("served", b"done")])

    def test_a_handed_over_core_keeps_the_keys_of_two_filings_of_one_id(self):
        # Guards against a second run: a record line named its holder by the id alone.
        for key in ("k", "other"):
            self.serve(self.arrive(key, request_id="same"))
        lines = list(snapshot_lines(self.actor.freeze(), 0, CODEC))
        self.actor.thaw()
        for release_without_serials in (False, True):
            with self.subTest(release_without_serials=release_without_serials):
                reader = SnapshotReader(0, {}, 1 << 20, 0, lambda _line: None, CODEC)
                for line in lines:
                    without = {name: value for name, value in line.items() if name != "serial"}
                    reader.read(without if release_without_serials else line)
                self.actor.controller = None
                self.post_and_step(StateTransferred(reader.snapshot))
                references = {run.request for run in self.actor.idempotency.runs.values()}
                self.assertEqual(len(references), 2)
                self.assertEqual(len(self.actor.controller.idempotency.retained), 2)
                for key in ("k", "other"):
                    retry = self.arrive(key, retry=True)
                    self.assertEqual(self.answers(retry), [("served", b"done")])
        self.assertEqual(self.started, ["same", "same"])


if __name__ == "__main__":
    unittest.main()
