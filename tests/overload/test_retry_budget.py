"""Tests of the retry budgets of callers during overload."""

import unittest

from ochrehoist.config.tables import OverloadConfig
from ochrehoist.overload.limiter import AdaptiveLimiter
from ochrehoist.overload.retry_budget import RetryBudget
from tests.overload.overload_requests import FILING, MS, SETTINGS, S, make_request


class RetryBudgetTest(unittest.TestCase):
    """Budgets by caller, for marked and unmarked retries."""

    def test_only_retries_are_denied_per_caller_and_only_during_overload(self):
        budget, now = RetryBudget(1), 0.0
        for n in range(200):
            now += 0.01
            self.assertTrue(budget.admit_attempt(1, ("x", n), True, True, now))  # no rejections: no denials
        denied = {1: 0, 2: 0}
        for n in range(400):
            now += 0.01
            self.assertTrue(budget.admit_attempt(1, ("first", n), False, True, now))
            budget.record_rejection(("other", n), now)
            denied[1] += sum(not budget.admit_attempt(1, ("y", n, k), True, True, now) for k in range(3))
            if n % 10 == 0:
                denied[2] += not budget.admit_attempt(2, ("z", n), True, True, now)
        self.assertGreater(denied[1], 800)
        self.assertLess(denied[2], 35)
        self.assertTrue(budget.admit_attempt(1, ("room",), True, False, now))

    def test_an_unmarked_retry_is_recognised_soon_after_its_rejection(self):
        budget = RetryBudget(1)
        budget.record_rejection(("a",), 1.0)
        budget.admit_attempt(1, ("a",), False, True, 1.5)
        budget.record_rejection(("b",), 2.0)
        budget.admit_attempt(1, ("b",), False, True, 9.0)
        self.assertEqual((budget.unmarked_retries, budget.marked_retries), (1, 0))

    def test_backoff_is_jittered_and_never_shortened(self):
        reported = [RetryBudget(1).with_jitter(S), *(RetryBudget(n).with_jitter(S) for n in range(50))]
        self.assertTrue(all(S <= t <= 1.5 * S for t in reported))
        self.assertGreater(len(set(reported)), 40)

    def test_filings_and_low_cost_classes_are_never_denied(self):
        limiter = AdaptiveLimiter(OverloadConfig(retry_budget=True), SETTINGS, 1)
        limiter.running, limiter.activity["read"].queued = 9, 3
        for n in range(60):
            limiter.request_rejected(make_request(), S, n * MS)
            limiter.retry_budget.admit_attempt(1, ("read", n), False, True, n / 1000)
        reads = [limiter.check_arrival(make_request(retry=True), 100 * MS) for _ in range(40)]
        self.assertTrue(any(reads))
        filing = make_request(FILING, retry=True)
        filing.idempotency_key = ("a", "filing", "t")
        self.assertEqual({limiter.check_arrival(filing, 100 * MS) for _ in range(40)}, {None})
        limiter.low_cost = {"read"}
        self.assertEqual(
            {limiter.check_arrival(make_request(retry=True), 100 * MS) for _ in range(40)}, {None}
        )
