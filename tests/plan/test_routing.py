"""Which worker a router chooses."""

import unittest

from ochrehoist.config.fleet_description import Clients, Routers, WorkerSelection
from ochrehoist.plan.routing import Answer, Call, NextStep, Reply, Router, next_step, rendezvous


class RoutingTest(unittest.TestCase):
    """Each way to choose a worker."""

    def router(self, choice, workers=6, **more):
        return Router(Routers(addresses=[], choice=choice, **more), range(workers), [1.0] * workers, True, 1)

    def test_each_choice_keeps_off_the_unlisted_the_tried_and_those_to_stay_away_from(self):
        for choice in WorkerSelection:
            r = self.router(choice)
            r.set_listed(0, False)
            r.avoid(1, 5.0)
            picked = {r.pick(1.0, n, (2,)) for n in range(1, 300)}
            self.assertEqual(picked, {3, 4, 5}, choice)
            self.assertIn(1, {r.pick(6.0, n, ()) for n in range(1, 300)})
            for worker in range(6):
                r.set_listed(worker, False)
            self.assertIsNone(r.pick(9.0, 1, ()))

    def test_least_goes_where_least_is_open_and_two_mostly(self):
        least, two = self.router(WorkerSelection.LEAST_OPEN), self.router(WorkerSelection.POWER_OF_TWO)
        for r in (least, two):
            r.open_requests.update(dict.fromkeys(range(1, 6), 9))
        self.assertEqual({least.pick(0.0, 0, ()) for _ in range(50)}, {0})
        self.assertGreater(sum(two.pick(0.0, 0, ()) == 0 for _ in range(300)), 60)

    def test_one_worker_less_moves_only_its_own_subjects(self):
        before = {s: rendezvous(s, range(8)) for s in range(1, 2000)}
        after_it = {s: rendezvous(s, [w for w in range(8) if w != 3]) for s in before}
        self.assertTrue(all(after_it[s] == w for s, w in before.items() if w != 3))
        counts = [sum(w == n for w in before.values()) for n in range(8)]
        self.assertLess(max(counts), 1.3 * min(counts))

    def test_what_may_have_run_is_sent_to_no_other_worker_and_nothing_past_its_time(self):
        habits, clients = Routers(addresses=[], retries=2, wait_ms=10), Clients(retries=1, wait_ms=100)
        call = Call(1, 0, 0, 0, 1.0, 1.0, 0.0, 1.0, 4.0, True, 0, tried=[3])
        self.assertEqual(next_step(call, Reply(Answer.REFUSED), 1.0, habits, clients), (NextStep.RETRY, 0.01))
        self.assertEqual(
            next_step(call, Reply(Answer.REFUSED, no_retry=True), 1.0, habits, clients)[0],
            NextStep.CLIENT_RETRY,
        )
        self.assertEqual(
            next_step(call, Reply(Answer.FAILED), 1.0, habits, clients)[0], NextStep.CLIENT_RETRY
        )
        self.assertEqual(next_step(call, Reply(Answer.REFUSED), 3.999, habits, clients)[0], NextStep.END)
        call.tried, call.client_retries = [1, 2, 3], 1
        self.assertEqual(next_step(call, Reply(Answer.REFUSED), 1.0, habits, clients)[0], NextStep.END)
