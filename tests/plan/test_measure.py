"""Real workers, measured as the model is."""

import dataclasses
import math
import unittest

from ochrehoist.config.settings import settings_from
from ochrehoist.plan.demand import PlannedCall
from ochrehoist.plan.fleet_run import Outage
from ochrehoist.plan.measured_run import MeasuredRun
from ochrehoist.plan.run_statistics import CallOutcome
from ochrehoist.plan.worker_settings import admission_settings, platform_settings
from tests.plan.example_fleet import fleet


class MeasureTest(unittest.TestCase):
    """Measured workers against the model."""

    def test_a_worker_gets_the_same_calls_as_the_model(self):
        f = fleet()
        kind = f.kinds[0]
        told = settings_from(platform_settings(f, kind))
        model = admission_settings(f, kind, cold=False)
        self.assertEqual(dataclasses.replace(told, warmup_ns=0), dataclasses.replace(model, warmup_ns=0))

    def test_real_workers_answer_each_call_once_and_a_lost_one_ends_its_own(self):
        f = fleet(clients__retries=1, membership__lag_s=0.2).with_demand(0.5)
        play = MeasuredRun(f, 1, 5.0, settle_s=0.0, outages=(Outage(2.5, (0,), None, "one"),))
        tally = play.run()
        self.assertEqual(sum(tally.outcomes.values()), len(play.calls))
        self.assertEqual([text for _, text in tally.events], ["one lost"])
        self.assertGreater(tally.share(CallOutcome.IN_TIME) + tally.share(CallOutcome.LATE), 0.3)
        self.assertEqual([s.process.poll() is None for s in play.machines], [False] * 3)
        for stand in play.machines:
            self.assertLessEqual(len(stand.started_runs), stand.statistics.tries)

    def test_a_call_that_a_busy_machine_sends_late_is_counted_from_when_it_was_due(self):
        f = fleet().with_demand(0.5)
        first = PlannedCall(0.1, 0, 0, 1, 0.01, 0.01, 0, 20.0)
        wishes = [first, dataclasses.replace(first, starts_at=math.nextafter(1.0, 0.0))]  # begun after 1 s
        play = MeasuredRun(f, 1, 1.0, settle_s=0.0, planned_calls=wishes)
        self.assertEqual(sum(play.run().outcomes.values()), 2)
        self.assertEqual(play.start_delay_ms.get_total_count(), 2)
