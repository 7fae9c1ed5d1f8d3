"""Messages about a request that has ended, when another request has its id; forced in the core's inbox."""

import unittest
from unittest import mock

from ochrehoist.admission.events import Outcome, RequestReceived
from ochrehoist.core.messages import RequestArrived, RunCompleted
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


if __name__ == "__main__":
    unittest.main()
