"""Overload control: allocation, overload detection, early rejection, concurrency limits, bulkheads, cost
prediction and retry budgets, as pure modules; and what the decision module makes of them."""

import itertools
import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.admission.actions import FailRequest, RejectRequest, StartRun
from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits, Outcome
from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass, Tenant
from ochrehoist.config.tables import OverloadConfig
from ochrehoist.core.request import InboundRequest
from ochrehoist.overload.bulkheads import (
    LOW_COST_RESERVE_S,
    ClassActivity,
    bulkhead_limits,
    low_cost_classes,
)
from ochrehoist.overload.completion_window import CompletionWindow, WindowAggregator
from ochrehoist.overload.concurrency_limits import LIMIT_ALGORITHMS, ExtremumSeekingLimit, LimitBounds
from ochrehoist.overload.cost_prediction import CostPredictor
from ochrehoist.overload.early_rejection import CLASS_MINIMUM, EarlyRejection
from ochrehoist.overload.limiter import AdaptiveLimiter
from ochrehoist.overload.overload_detector import SAMPLE_INTERVAL_S, LoadSample, OverloadDetector
from ochrehoist.overload.retry_budget import RetryBudget
from ochrehoist.overload.stage_timings import StageTimings
from ochrehoist.overload.weighted_allocation import AllocationRequest, allocate
from tests.admission.controller_driver import Driver as Plain

S, MS = 10**9, 10**6
READ = RequestClass(
    name="read",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    priority_weight=1.0,
    idempotency=Idempotency.IDEMPOTENT,
)
LOW = RequestClass(
    name="low",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    priority_weight=0.2,
    idempotency=Idempotency.IDEMPOTENT,
)
FILING = RequestClass(
    name="filing",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    priority_weight=3.0,
    idempotency=Idempotency.KEYED,
    idempotency_window_ns=S,
)
SITE = AdmissionSettings(
    classes=(READ, LOW, FILING),
    cores=4,
    memory_kb=1e6,
    collapse_multiple=8.0,
    collapse_after_ns=S,
    tenants=(Tenant("a", 10.0, 0.75), Tenant("b", 10.0, 0.25)),
)


class Driver(Plain):
    def __init__(self, **changes):
        self.ended = set()
        super().__init__(**changes)


class Nobody:
    def origin(self):
        return "test", "127.0.0.1"


NUMBERS = itertools.count()


def request(cls=READ, key=None, work=None, kb=20.0, retry=False, caller=1):
    return InboundRequest(
        id=f"r{next(NUMBERS)}",
        request_class=cls,
        arrived_ns=0,
        payload=None,
        responder=Nobody(),
        executor=None,
        routing_key=key,
        work_ns=work,
        memory_kb=kb,
        is_retry=retry,
        caller=caller,
    )


class Allocation(unittest.TestCase):
    claims = st.lists(
        st.builds(
            AllocationRequest, st.integers(0, 3), st.floats(0, 50), st.floats(0.01, 5), st.floats(0, 5)
        ),
        max_size=12,
    )

    @settings(max_examples=300, deadline=None)
    @given(st.floats(0, 200), claims)
    def test_never_more_than_the_capacity_or_the_demand_and_nothing_left_over_while_demand_is_unmet(
        self, budget, claims
    ):
        got = allocate(budget, claims)
        self.assertTrue(all(-1e-9 <= g <= a.demand + 1e-6 for g, a in zip(got, claims, strict=True)))
        self.assertAlmostEqual(
            sum(got), min(budget, sum(a.demand for a in claims)), delta=1e-6 * (1 + budget)
        )

    @settings(max_examples=300, deadline=None)
    @given(st.floats(0, 200), claims)
    def test_within_a_rank_no_unmet_claim_has_less_for_its_weight_than_another(self, budget, claims):
        claims = [AllocationRequest(a.rank, a.demand, a.weight) for a in claims]
        got = allocate(budget, claims)
        for (a, x), (b, y) in itertools.permutations(zip(claims, got, strict=True), 2):
            if a.rank == b.rank and x < a.demand - 1e-6:
                self.assertGreaterEqual(x / a.weight + 1e-5 * (1 + budget), y / b.weight)
            if a.rank < b.rank and x < a.demand - 1e-6:
                self.assertLess(y, 1e-5 * (1 + budget))

    def test_minimums_come_before_better_ranks(self):
        self.assertEqual(
            allocate(10, [AllocationRequest(0, 100), AllocationRequest(1, 5, minimum=2)]), [8, 2]
        )
        self.assertEqual(
            allocate(10, [AllocationRequest(0, 100), AllocationRequest(1, 1, minimum=2)]), [9, 1]
        )


def sample(at, admitted=0, shed=0, cost=300e-6, shed_cost=60e-6, late=0.001, rss=20_000_000, share=1.0):
    """What a worker measures that has so much to do, and a share of a processor."""
    cpu = admitted * cost + shed * shed_cost
    return LoadSample(at, cpu, cpu / share, late, admitted, shed, rss)


class OverloadDetection(unittest.TestCase):
    def loaded(self, offered, seconds, detector=None, share=1.0, start=0.0, cost=300e-6):
        """A worker that is offered so much a second, admits what it may, and is late by what it can't do."""
        detector = detector or OverloadDetector(100_000_000)
        turns, backlog, at = [], 0.0, start
        for _ in range(int(seconds / SAMPLE_INTERVAL_S)):
            at += SAMPLE_INTERVAL_S
            arrivals = offered(at) * SAMPLE_INTERVAL_S if callable(offered) else offered * SAMPLE_INTERVAL_S
            admitted = (
                min(arrivals, detector.affordable_per_s * SAMPLE_INTERVAL_S)
                if detector.overloaded
                else arrivals
            )
            need = admitted * cost + (arrivals - admitted) * 60e-6
            backlog = max(0.0, backlog + need - SAMPLE_INTERVAL_S * share)
            done = min(need, SAMPLE_INTERVAL_S * share)
            was = detector.overloaded
            detector.observe(
                LoadSample(
                    at,
                    done,
                    done / share,
                    0.001 + backlog / share,
                    round(admitted),
                    round(arrivals - admitted),
                    20_000_000,
                )
            )
            if detector.overloaded != was:
                turns.append((round(at, 1), detector.overloaded))
        return detector, turns

    def test_a_load_it_can_carry_is_never_overload(self):
        for offered in (10, 500, 2000, 2700):
            detector, turns = self.loaded(offered, 20)
            self.assertEqual((detector.overloaded, turns), (False, []), offered)

    def test_twice_its_capacity_is_found_out_at_once_and_lateness_stays_bounded(self):
        detector, turns = self.loaded(7000, 20)
        self.assertTrue(detector.overloaded)
        self.assertLess(turns[0][0], 1.0)
        self.assertLess(detector.loop_delay_s, 0.05)
        self.assertGreater(detector.affordable_per_s, 0.5 * (0.85 - 7000 * 60e-6) / 240e-6)

    def test_it_does_not_swing_while_the_load_stays_and_recovers_once_when_it_ends(self):
        detector, turns = self.loaded(lambda t: 7000 if t < 10 else 500, 30)
        self.assertEqual([overloaded for _, overloaded in turns], [True, False])
        self.assertLess(turns[1][0], 14.0)

    def test_bursts_that_come_and_go_do_not_turn_it_each_time(self):
        _, turns = self.loaded(lambda t: 9000 if t % 1 < 0.5 else 100, 30)
        self.assertLessEqual(len(turns), 3, turns)

    def test_a_worker_that_gets_a_third_of_its_core_lets_in_about_a_third(self):
        whole, _ = self.loaded(7000, 20)
        starved, _ = self.loaded(3000, 20, share=1 / 3)
        self.assertAlmostEqual(starved.cpu_share, 1 / 3, delta=0.02)
        self.assertTrue(starved.overloaded)
        self.assertLess(starved.affordable_per_s, 0.6 * whole.affordable_per_s + 300)
        self.assertGreater(starved.affordable_per_s, 100)

    def test_a_flood_that_costs_more_to_turn_away_than_there_is_leaves_the_cores_their_work(self):
        detector = OverloadDetector(100_000_000)
        for n in range(60):
            detector.observe(
                LoadSample(n * SAMPLE_INTERVAL_S, 0.099, 0.099, 0.03, 3, 4000, 20_000_000, runs_started=3)
            )
        self.assertTrue(detector.overloaded)
        self.assertAlmostEqual(detector.affordable_per_s, 2 * 30 + 20, delta=1)
        detector.observe(LoadSample(7.0, 0.099, 0.099, 0.03, 3, 4000, 99_000_000, runs_started=3))
        self.assertEqual(detector.affordable_per_s, 0.0)

    def test_one_pause_of_the_machine_or_collection_is_no_reason(self):
        detector, _ = self.loaded(500, 5)
        detector.observe(sample(6.0, admitted=500, late=1.0))
        self.assertFalse(detector.overloaded)
        detector, turns = self.loaded(500, 5, detector, start=6.0)
        self.assertFalse(detector.overloaded)

    def test_memory_closes_admission_before_the_limit(self):
        detector = OverloadDetector(100_000_000)
        rates = []
        for mb in (50, 79, 85, 90, 95, 99):
            detector.observe(sample(1.0, 10, rss=mb * 1_000_000))
            rates.append(detector.affordable_per_s)
        self.assertEqual(rates, sorted(rates, reverse=True))
        self.assertGreater(rates[1], 0)
        self.assertEqual(rates[-2:], [0.0, 0.0])

    def test_stages_count_their_own_time_only(self):
        timings = StageTimings()
        inner = timings.timed("inner", lambda: sum(range(20_000)))
        outer = timings.timed("outer", lambda: inner() and None)
        for _ in range(20):
            outer()
        self.assertGreater(timings.spent_s["inner"], timings.spent_s["outer"])


class EarlyRejections(unittest.TestCase):
    def admission(self, affordable_per_s, overloaded=True):
        detector = OverloadDetector(100_000_000)
        detector.overloaded, detector.affordable_per_s = overloaded, affordable_per_s
        return EarlyRejection(detector, SITE, 1)

    def played(self, admission, load, looks=40, count_from=20):
        """`load`: requests a look, by (class, tenant, caller); how many of each are let in, a look."""
        admitted = dict.fromkeys(load, 0)
        for n in range(looks):
            arrivals = [g for g, many in load.items() for _ in range(many)]
            Random(n).shuffle(arrivals)
            for g in arrivals:
                if admission.admits(*g, 0) is None and n >= count_from:
                    admitted[g] += 1
            admission.end_interval(SAMPLE_INTERVAL_S)
        return {g: n / (looks - count_from) for g, n in admitted.items()}

    def test_everything_is_admitted_while_the_worker_keeps_up(self):
        admission = self.admission(1.0, overloaded=False)
        self.assertEqual(self.played(admission, {("read", "a", 1): 500})["read", "a", 1], 500)

    def test_filings_are_always_admitted_and_take_theirs_off_the_rest(self):
        admitted = self.played(self.admission(1000), {("filing", "a", 1): 60, ("read", "a", 1): 500})
        self.assertEqual(admitted["filing", "a", 1], 60)
        self.assertAlmostEqual(admitted["read", "a", 1], 40, delta=6)

    def test_by_priority_weight_but_no_class_starves(self):
        admitted = self.played(self.admission(1000), {("read", "a", 1): 300, ("low", "a", 1): 300})
        self.assertGreater(admitted["read", "a", 1], 85)
        self.assertGreaterEqual(admitted["low", "a", 1], 0.9 * CLASS_MINIMUM * 100)

    def test_a_flood_of_one_caller_or_tenant_takes_nothing_from_another(self):
        load = {("read", "a", 1): 900, ("read", "a", 2): 20, ("read", "b", 3): 20}
        admitted = self.played(self.admission(1000), load)
        self.assertGreaterEqual(admitted["read", "a", 2], 19)
        self.assertGreaterEqual(admitted["read", "b", 3], 19)
        shares = self.played(self.admission(1000), {("read", "a", 1): 500, ("read", "b", 2): 500})
        self.assertAlmostEqual(shares["read", "a", 1] / shares["read", "b", 2], 3.0, delta=0.5)

    def test_rare_callers_are_admitted_and_all_together_no_more_than_is_affordable(self):
        load = {("read", "a", n): 2 for n in range(300)}
        admitted = self.played(self.admission(1000), load, looks=200, count_from=100)
        self.assertGreater(min(admitted.values()), 0.0)
        self.assertAlmostEqual(sum(admitted.values()), 100, delta=20)

    def test_read_too_late_is_counted_so_and_each_gets_a_retry_after_of_its_own(self):
        admission = self.admission(10_000)
        self.assertIsNotNone(admission.admits("read", "a", 1, 2 * S))
        reported = {admission.admits("read", "a", 1, 3 * S) for _ in range(50)}
        self.assertGreater(len(reported), 40)
        self.assertTrue(all(S // 2 <= backoff <= S for backoff in reported))
        self.assertEqual(admission.interval_counts.rejected["read", "read too late"], 51)

    def test_new_settings_are_taken_while_it_rejects(self):
        admission = self.admission(0.0)
        admission.admits("read", "a", 1, 0)
        admission.configure(
            AdmissionSettings(
                classes=(FILING,), cores=4, memory_kb=1e6, collapse_multiple=8.0, collapse_after_ns=S
            )
        )
        # Of a class that is gone only the core can speak.
        self.assertIsNone(admission.admits("read", "a", 1, 0))
        admission.end_interval(SAMPLE_INTERVAL_S)


class FindingAConcurrencyLimit(unittest.TestCase):
    def settled(self, controller, time_of, windows=400, noise=0.05, seed=1):
        rng, limits_seen = Random(seed), []
        for n in range(windows):
            running = int(controller.limit)
            time = time_of(running, n) * rng.lognormvariate(0, noise)
            controller.update(CompletionWindow(running / time, time, running, 30))
            limits_seen.append(controller.limit)
        return sum(limits_seen[windows // 2 :]) / (windows // 2)

    def machine(self, cores, slow=0.08):
        return lambda n, _: max(1.0, n / cores) * (1 + slow * max(0, n - 1.3 * cores))

    def test_extremum_seeking_settles_near_the_knee_from_any_start_and_follows_it(self):
        for cores in (3, 6, 16):
            for start in (1, cores, 8 * cores):
                found = self.settled(
                    ExtremumSeekingLimit(float(start), LimitBounds(1, 10 * cores)), self.machine(cores)
                )
                self.assertTrue(0.8 * cores <= found <= 1.8 * cores, (cores, start, found))
        half = self.machine(8), self.machine(4)
        moved = ExtremumSeekingLimit(8.0, LimitBounds(1, 64))
        found = self.settled(moved, lambda n, at: half[at > 100](n, at), windows=600)
        self.assertTrue(3 <= found <= 7.5, found)

    def test_none_leaves_its_bounds_and_an_unused_limit_teaches_nothing(self):
        for name, kind in LIMIT_ALGORITHMS.items():
            controller = kind(5.0, LimitBounds(2, 9))
            self.settled(controller, lambda n, at: 1.0 + (at % 7), windows=300, noise=1.0)
            self.assertTrue(2 <= controller.limit <= 9, name)
            idle = kind(6.0, LimitBounds(1, 60))
            for _ in range(200):
                idle.update(CompletionWindow(1.0, 1.0, 1.0, 30))
            self.assertLessEqual(idle.limit, 8, name)

    def test_a_window_counts_only_runs_that_began_in_it(self):
        windows = WindowAggregator()
        self.assertIsNone(windows.close(0.0))
        windows.record_completion(0.1, 1.0, 0.5)  # began before
        for n in range(20):
            windows.record_completion(0.2 + n * 0.05, 0.1, 0.05)
        windows.record_concurrency(3.0, 4)
        w = windows.close(3.0)
        self.assertEqual((w.count, round(w.time_per_work, 3), w.concurrency), (20, 0.5, 4.0))


class Bulkheads(unittest.TestCase):
    def test_floors_fit_and_are_kept_for_filings_first(self):
        for total in (1, 2, 3, 5, 9, 40):
            reported = bulkhead_limits(total, SITE, {}, 0.0, set(), True)
            self.assertLessEqual(sum(reported.class_floors), total)
            self.assertEqual(reported.class_caps, (total,) * 3)
            self.assertGreaterEqual(reported.expensive, 1)
        self.assertEqual(
            bulkhead_limits(40, SITE, {}, 0.0, set(), False), ConcurrencyLimits(40, (4, 4, 10), (40,) * 3)
        )

    def test_low_cost_classes_keep_a_reserve_while_they_arrive(self):
        activity = {"low": ClassActivity(last_arrival_s=100.0), "read": ClassActivity()}
        reported = bulkhead_limits(20, SITE, activity, 100.0 + LOW_COST_RESERVE_S, {"low"}, False)
        self.assertEqual((reported.class_caps, reported.class_floors[1]), ((18, 20, 18), 2))
        self.assertEqual(
            bulkhead_limits(20, SITE, activity, 101.0 + LOW_COST_RESERVE_S, {"low"}, False).class_caps,
            (20, 20, 20),
        )

    def test_a_low_cost_class_costs_little_beside_the_rest(self):
        activity = {
            "read": ClassActivity(queued=5, running=5, cost_s=0.3),
            "low": ClassActivity(queued=5, running=5, cost_s=0.02),
            "filing": ClassActivity(cost_s=0.0),
        }
        self.assertEqual(low_cost_classes(activity), {"low"})
        self.assertEqual(low_cost_classes({"read": activity["read"]}), set())

    def test_without_a_total_the_module_alone_says_how_many_run(self):
        reported = bulkhead_limits(None, SITE, {"low": ClassActivity(last_arrival_s=0.0)}, 0.0, {"low"}, True)
        self.assertEqual((reported.total, reported.class_caps), (UNLIMITED, (32, 32, 32)))


class CostPrediction(unittest.TestCase):
    def learned(self, expensive_share=0.02, stated=True, seed=1, count=1500, key=None, kb=None):
        """Runs of 100 ms and some, a few of which cost 15 times that."""
        rng, predictor, right, wrong, missed = Random(seed), CostPredictor(), 0, 0, 0
        for n in range(count):
            expensive = rng.random() < expensive_share
            took = 0.1 * rng.lognormvariate(0, 0.5) * (15 if expensive else 1)
            r = request(
                work=int(took * S * rng.lognormvariate(0, 0.2)) if stated else None,
                key=key(expensive, rng) if key else None,
                kb=kb(expensive, rng) if kb else 20.0,
            )
            times = predictor.cost_multiple(r, n * 0.05)
            predictor.learn(r, n * 0.05, took, 1.0)
            if n > count // 2:
                right, wrong, missed = (
                    right + (expensive and times > 1),
                    wrong + (not expensive and times > 1),
                    missed + (expensive and times == 1),
                )
        return right, wrong, missed

    def test_by_stated_work_nearly_all_are_known_beforehand(self):
        right, wrong, missed = self.learned()
        self.assertGreater(right, 4 * missed)
        self.assertLess(wrong, 5)

    def test_by_subject_where_no_work_is_stated(self):
        right, wrong, missed = self.learned(
            0.05,
            stated=False,
            key=lambda expensive, rng: f"large{rng.randrange(3)}" if expensive else f"{rng.randrange(400)}",
        )
        self.assertGreater(right, 4 * missed)
        self.assertLess(wrong, 5)

    def test_by_size_where_nothing_else_predicts(self):
        right, wrong, missed = self.learned(
            0.05, stated=False, kb=lambda expensive, rng: 300.0 if expensive else 20.0
        )
        self.assertGreater(right, missed)
        self.assertLess(wrong, 5)

    def test_stated_work_that_does_not_correlate_is_not_trusted(self):
        rng, predictor = Random(1), CostPredictor()
        for n in range(500):
            r = request(work=int(rng.lognormvariate(-2, 1.5) * S))
            predictor.learn(r, n, 0.1 * rng.lognormvariate(0, 0.5), 1.0)
        self.assertEqual(predictor.cost_multiple(request(work=100 * S), 500.0), 1.0)

    def test_the_module_does_not_learn_a_class_from_its_expensive_runs(self):
        limiter, now = AdaptiveLimiter(OverloadConfig(low_priority_lane=True), SITE, 1), 0
        reported = []
        for n in range(400):
            r, took = request(), (1500 if n % 40 == 39 else 100) * MS
            now += S // 10
            limiter.run_started(r, now)
            reported.append(limiter.run_ended(r, now, took, Outcome.OK))
        self.assertLess(max(reported[100:]), 1500 * MS / 2)
        self.assertEqual({t for t in reported[100:] if t <= 100 * MS}, {100 * MS})
        self.assertEqual(limiter.running, 0)
        foreseen = request()
        foreseen.cost_multiple = 15.0
        limiter.run_started(foreseen, now)
        self.assertEqual(limiter.run_ended(foreseen, now, 1500 * MS, Outcome.OK), 1500 * MS)

    def test_a_predicted_expensive_request_that_never_runs_leaves_nothing_behind(self):
        limiter = AdaptiveLimiter(OverloadConfig(low_priority_lane=True), SITE, 1)
        for n in range(100):
            r, took = request(work=(100 + n) * MS), (100 + n) * MS
            limiter.run_started(r, n * S)
            limiter.run_ended(r, n * S, took, Outcome.OK)
        sizes = {name: len(v) for name, v in vars(limiter).items() if hasattr(v, "__len__")}
        for _ in range(50):
            self.assertGreater(limiter.estimate_cost(request(work=5 * S), 100 * S), 1)
        self.assertEqual(sizes, {name: len(v) for name, v in vars(limiter).items() if hasattr(v, "__len__")})


class RetryBudgets(unittest.TestCase):
    def test_only_under_pressure_only_retries_and_each_caller_by_itself(self):
        budget, now = RetryBudget(1), 0.0
        for n in range(200):
            now += 0.01
            self.assertTrue(budget.allows(1, ("x", n), True, True, now))  # nothing is turned away
        denied = {1: 0, 2: 0}
        for n in range(400):
            now += 0.01
            self.assertTrue(budget.allows(1, ("first", n), False, True, now))
            budget.record_rejection(("other", n), now)
            denied[1] += sum(not budget.allows(1, ("y", n, k), True, True, now) for k in range(3))
            if n % 10 == 0:
                denied[2] += not budget.allows(2, ("z", n), True, True, now)
        self.assertGreater(denied[1], 800)
        self.assertLess(denied[2], 35)
        self.assertTrue(budget.allows(1, ("room",), True, False, now))

    def test_an_unmarked_retry_is_recognised_soon_after_its_rejection(self):
        budget = RetryBudget(1)
        budget.record_rejection(("a",), 1.0)
        budget.allows(1, ("a",), False, True, 1.5)
        budget.record_rejection(("b",), 2.0)
        budget.allows(1, ("b",), False, True, 9.0)
        self.assertEqual((budget.unmarked_retries, budget.marked_retries), (1, 0))

    def test_backoff_is_jittered_and_never_shortened(self):
        reported = [RetryBudget(1).jittered(S), *(RetryBudget(n).jittered(S) for n in range(50))]
        self.assertTrue(all(S <= t <= 1.5 * S for t in reported))
        self.assertGreater(len(set(reported)), 40)

    def test_filings_and_cheap_classes_are_never_denied(self):
        limiter = AdaptiveLimiter(OverloadConfig(retry_budget=True), SITE, 1)
        limiter.running, limiter.activity["read"].queued = 9, 3
        for n in range(60):
            limiter.request_rejected(request(), S, n * MS)
            limiter.retry_budget.allows(1, ("read", n), False, True, n / 1000)
        reads = [limiter.check_arrival(request(retry=True), 100 * MS) for _ in range(40)]
        self.assertTrue(any(reads))
        filing = request(FILING, retry=True)
        filing.idempotency_key = ("a", "filing", "t")
        self.assertEqual({limiter.check_arrival(filing, 100 * MS) for _ in range(40)}, {None})
        limiter.low_cost = {"read"}
        self.assertEqual({limiter.check_arrival(request(retry=True), 100 * MS) for _ in range(40)}, {None})


class TheModule(unittest.TestCase):
    """Limits are told to it by an event; it starts and refuses as ever within them."""

    def driver(self, **told):
        d = Driver(classes=(READ, LOW, FILING), memory_kb=1e6, marks_retries=False)
        if told:
            d.send(ConcurrencyLimits(**({"class_floors": (0, 0, 0), "class_caps": (99, 99, 99)} | told)))
        return d

    def fill(self, d, *kinds, times=1.0):
        ids = []
        for kind in kinds:
            ids.append(
                d.request(class_index=kind, remaining_ns=None, cost_multiple=times if kind == 0 else 1.0)[0]
            )
        return ids

    def test_a_total_is_kept_to_and_without_one_the_module_decides_alone(self):
        for total, most in ((2, 2), (UNLIMITED, 4)):
            d = self.driver(total=total)
            ids = self.fill(d, *[0] * 8)
            self.assertEqual(d.ids(StartRun), ids[:most])
            d.done(ids[0])
            self.assertIn(len(d.ids(StartRun)), (most + 1,) if total == 2 else (most + 1, most + 2))

    def test_up_to_its_floor_a_class_goes_before_what_is_worth_more(self):
        for floors, first in (((0, 0, 0), 0), ((0, 1, 0), 1)):
            d = self.driver(total=4, class_floors=floors)
            running = self.fill(d, 0, 0, 0, 0)
            wanted = dict(enumerate(self.fill(d, 0, 1)))
            d.done(running[0])
            self.assertEqual(d.ids(StartRun)[-1], wanted[first])

    def test_past_its_cap_a_class_waits_though_cores_are_free(self):
        d = self.driver(total=4, class_caps=(2, 99, 99))
        ids = self.fill(d, 0, 0, 0, 1)
        self.assertEqual(d.ids(StartRun), [ids[0], ids[1], ids[3]])
        d.done(ids[0])
        self.assertEqual(d.ids(StartRun)[-1], ids[2])

    def test_heavy_ones_keep_to_the_lane_and_teach_the_class_their_usual_part(self):
        d = self.driver(total=4, expensive=1)
        usual = d.controller.run_times.mean_run_ns[0].value
        heavy = self.fill(d, 0, 0, times=10.0)
        light = self.fill(d, 0, 0)
        self.assertEqual(d.ids(StartRun), [heavy[0], *light])
        d.now += S
        d.done(heavy[0], took=10 * usual)
        self.assertAlmostEqual(d.controller.run_times.mean_run_ns[0].value / usual, 1.0, delta=0.05)
        self.assertIn(heavy[1], d.ids(StartRun) + d.ids(RejectRequest))

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.booleans(), st.integers(0, 3)), max_size=60),
        st.integers(1, 6),
        st.integers(1, 4),
        st.integers(1, 3),
    )
    def test_whatever_comes_and_ends_limits_hold_and_each_is_decided_once(self, steps, total, cap, lane):
        d = self.driver(total=total, class_caps=(cap, cap, 99), class_floors=(1, 0, 0), expensive=lane)
        kinds, heavies, running = {}, set(), []
        for kind, heavy, ends in steps:
            rid, _ = d.request(class_index=kind, remaining_ns=None, cost_multiple=9.0 if heavy else 1.0)
            kinds[rid] = kind
            heavies |= {rid} if heavy else set()
            running = [r for r in d.ids(StartRun) if r not in d.ended]
            for r in running[:ends]:
                d.ended.add(r)
                d.now += 10 * MS
                d.done(r)
            running = [r for r in d.ids(StartRun) if r not in d.ended]
            self.assertLessEqual(len(running), total)
            for at in (0, 1):
                self.assertLessEqual(sum(kinds[r] == at for r in running), cap)
            self.assertLessEqual(len(heavies & set(running)), lane)
        decided = d.ids(StartRun) + d.ids(RejectRequest) + d.ids(FailRequest)
        self.assertEqual(len(decided), len(set(decided)))


if __name__ == "__main__":
    unittest.main()
