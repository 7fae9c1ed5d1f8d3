"""Tests of the prediction of expensive requests."""

import unittest
from random import Random

from ochrehoist.admission.events import Outcome
from ochrehoist.config.tables import OverloadConfig
from ochrehoist.overload.cost_prediction import CostPredictor
from ochrehoist.overload.limiter import AdaptiveLimiter
from tests.overload.overload_requests import MS, SETTINGS, S, make_request


class CostPredictionTest(unittest.TestCase):
    """Predictions by stated work, by subject and by size."""

    def predict(self, expensive_share=0.02, stated=True, seed=1, count=1500, key=None, kb=None):
        """Returns how many predictions were right, wrong and missing.

        Runs take about 100 ms; a few are expensive and take 15 times as long.
        """
        rng, predictor, right, wrong, missed = Random(seed), CostPredictor(), 0, 0, 0
        for n in range(count):
            expensive = rng.random() < expensive_share
            duration = 0.1 * rng.lognormvariate(0, 0.5) * (15 if expensive else 1)
            request = make_request(
                work=int(duration * S * rng.lognormvariate(0, 0.2)) if stated else None,
                key=key(expensive, rng) if key else None,
                kb=kb(expensive, rng) if kb else 20.0,
            )
            predicted = predictor.cost_multiple(request, n * 0.05)
            predictor.learn(request, n * 0.05, duration, 1.0)
            if n > count // 2:
                right, wrong, missed = (
                    right + (expensive and predicted > 1),
                    wrong + (not expensive and predicted > 1),
                    missed + (expensive and predicted == 1),
                )
        return right, wrong, missed

    def test_stated_work_predicts_nearly_all_expensive_requests(self):
        right, wrong, missed = self.predict()
        self.assertGreater(right, 4 * missed)
        self.assertLess(wrong, 5)

    def test_the_subject_predicts_cost_without_stated_work(self):
        right, wrong, missed = self.predict(
            0.05,
            stated=False,
            key=lambda expensive, rng: f"large{rng.randrange(3)}" if expensive else f"{rng.randrange(400)}",
        )
        self.assertGreater(right, 4 * missed)
        self.assertLess(wrong, 5)

    def test_the_size_predicts_cost_without_any_other_predictor(self):
        right, wrong, missed = self.predict(
            0.05, stated=False, kb=lambda expensive, rng: 300.0 if expensive else 20.0
        )
        self.assertGreater(right, missed)
        self.assertLess(wrong, 5)

    def test_stated_work_that_does_not_correlate_is_ignored(self):
        rng, predictor = Random(1), CostPredictor()
        for n in range(500):
            request = make_request(work=int(rng.lognormvariate(-2, 1.5) * S))
            predictor.learn(request, n, 0.1 * rng.lognormvariate(0, 0.5), 1.0)
        self.assertEqual(predictor.cost_multiple(make_request(work=100 * S), 500.0), 1.0)

    def test_expensive_runs_do_not_change_the_run_time_of_a_class(self):
        limiter, now = AdaptiveLimiter(OverloadConfig(low_priority_lane=True), SETTINGS, 1), 0
        reported = []
        for n in range(400):
            request, duration = make_request(), (1500 if n % 40 == 39 else 100) * MS
            now += S // 10
            limiter.run_started(request, now)
            reported.append(limiter.run_ended(request, now, duration, Outcome.OK))
        self.assertLess(max(reported[100:]), 1500 * MS / 2)
        self.assertEqual({t for t in reported[100:] if t <= 100 * MS}, {100 * MS})
        self.assertEqual(limiter.running, 0)
        predicted_request = make_request()
        predicted_request.cost_multiple = 15.0
        limiter.run_started(predicted_request, now)
        self.assertEqual(limiter.run_ended(predicted_request, now, 1500 * MS, Outcome.OK), 1500 * MS)

    def test_a_predicted_expensive_request_that_never_runs_leaves_no_state(self):
        limiter = AdaptiveLimiter(OverloadConfig(low_priority_lane=True), SETTINGS, 1)
        for n in range(100):
            request, duration = make_request(work=(100 + n) * MS), (100 + n) * MS
            limiter.run_started(request, n * S)
            limiter.run_ended(request, n * S, duration, Outcome.OK)
        sizes = {name: len(v) for name, v in vars(limiter).items() if hasattr(v, "__len__")}
        for _ in range(50):
            self.assertGreater(limiter.estimate_cost(make_request(work=5 * S), 100 * S), 1)
        self.assertEqual(sizes, {name: len(v) for name, v in vars(limiter).items() if hasattr(v, "__len__")})
