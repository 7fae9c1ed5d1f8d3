"""The gate's account of waiting and running work."""

import unittest
from unittest import mock

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.request import InboundRequest
from ochrehoist.sites.admission_gate import AdmissionGate
from tests.sites.site_classes import READ, S

COST_S = 0.5


class CopiedIdTest(unittest.TestCase):
    """Two requests of one id."""

    def setUp(self):
        settings = AdmissionSettings(
            classes=(READ,), cores=2, memory_kb=1e6, collapse_multiple=5.0, collapse_after_ns=2 * S
        )
        self.gate = AdmissionGate(
            settings,
            None,
            mock.Mock(baseline=mock.Mock(count=0)),
            mock.Mock(),
            mock.Mock(current=None),
            mock.Mock(recovery=None),
        )
        self.gate.shedding_order.record_run(READ.name, COST_S)
        self.first, self.copy = (InboundRequest("same", READ, 0, None, None, None) for _ in range(2))

    def work(self):
        """Returns the waiting and the running work that the threshold is updated with."""
        with mock.patch.object(self.gate.threshold, "update") as update:
            self.gate.update_threshold(1.0)
        _now, _running, waiting_work, running_work = update.call_args.args
        return waiting_work, running_work

    def test_the_answer_to_a_copy_leaves_the_waiting_work_of_the_first_request(self):
        # Guards against a gate that sees less work than waits: waiting work was kept by ids.
        self.assertIsNone(self.gate.check_arrival(self.first, 0))
        self.gate.request_answered(self.copy, RequestCounter.FAILED, 0)
        waiting_work, _ = self.work()
        self.assertGreater(waiting_work, 0)
        self.gate.run_started(self.first, 0)
        self.gate.run_ended(self.copy, 0, 0, Outcome.FAILED)
        self.assertEqual(self.work(), (0, waiting_work))


if __name__ == "__main__":
    unittest.main()
