"""Tests of a replaced core: which request a decision of the new process concerns."""

import unittest
from unittest import mock

from ochrehoist.admission.events import Outcome
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.handover_lines import StartDecided, decision_to_json
from ochrehoist.core.messages import CallerDisconnected, RequestArrived, RunCompleted
from ochrehoist.core.results import RunResult
from ochrehoist.net.ajp_reply_codec import ReplyCodec
from tests.core.core_test_case import READ, CoreTestCase

CODEC = ReplyCodec()


class ForwarderTest(CoreTestCase):
    """A core that forwards to the process that replaced it; `sent` has its lines."""

    def setUp(self):
        super().setUp()
        self.sent = []
        core = self.actor
        self.forwarder = Forwarder(
            {}, self.sent.append, CODEC, core.responses, core.faults, self.clock, self.clock
        )

    def arrive_here(self, request):
        self.forwarder.handle_message(RequestArrived(request))

    def decide_start(self, request, release_without_serial=False):
        line = decision_to_json(StartDecided(request.reference), CODEC)
        if release_without_serial:
            del line["serial"]
        self.forwarder.receive(line)

    def test_the_start_of_a_request_that_was_aborted_does_not_run_a_later_one_of_its_id(self):
        # Guards against a filing that runs twice: the decision named only the id, so it started another
        # request than the one that the deciding process counts as run.
        first = self.request(request_class=READ, request_id="same")
        second = self.request(request_class=READ, request_id="same")
        self.arrive_here(first)
        self.forwarder.handle_message(CallerDisconnected(first.reference))
        self.arrive_here(second)
        self.decide_start(first)
        self.assertEqual(self.started, [])
        ended = {"m": "ended", "id": "same", "serial": first.serial}
        self.assertEqual(self.sent[-1], self.sent[-1] | ended)
        self.decide_start(second)
        self.assertEqual(self.started, ["same"])

    def test_a_new_process_of_an_earlier_release_decides_by_the_id_alone(self):
        request = self.request(request_class=READ)
        self.arrive_here(request)
        self.decide_start(request, release_without_serial=True)
        self.assertEqual(self.started, [request.id])
        self.forwarder.handle_message(RunCompleted(request.reference, RunResult(Outcome.OK, b"done"), 0))
        self.forwarder.receive({"m": "fly", "id": request.id})  # of a release to come: ignored
        self.forwarder.receive({"m": "refused", "id": request.id, "backoff": 7, "no_retry": False})
        self.assertEqual(self.answers(request), [("refused", 7)])

    def test_an_overdue_request_is_reported_by_its_reference(self):
        request = self.request(request_class=READ)
        self.arrive_here(request)
        self.forwarder.set_process_end(self.now_ns)
        self.actor.log.warning = mock.Mock()
        self.forwarder.tick()
        gone = {"m": "gone", "id": request.id, "serial": request.serial, "gave_up": False}
        self.assertEqual(self.sent[-1], gone)


if __name__ == "__main__":
    unittest.main()
