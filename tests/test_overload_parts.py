"""The limits: sharing out, the watch, admission, ways to find a limit, pools, the lane and budgets, as the
pure modules that they are; and what the decision module makes of them."""

import itertools
import unittest
from random import Random

from helpers import Driver as Plain
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.admission.actions import FailRequest, RejectRequest, StartRun
from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits, Outcome
from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass, Tenant
from ochrehoist.config.schema import OverloadConfig
from ochrehoist.core.request import InboundRequest
from ochrehoist.overload.admission import FLOOR, Admission
from ochrehoist.overload.allot import Ask, allot
from ochrehoist.overload.controllers import CONTROLLERS, Bounds, Seek, Window, Windows
from ochrehoist.overload.limiter import Limiter
from ochrehoist.overload.outliers import Outliers
from ochrehoist.overload.pools import SEEN_S, Seen, cheap, limits
from ochrehoist.overload.storms import Storms
from ochrehoist.overload.watch import LOOK_S, Parts, Sample, Watch

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


class SharingOut(unittest.TestCase):
    asks = st.lists(
        st.builds(Ask, st.integers(0, 3), st.floats(0, 50), st.floats(0.01, 5), st.floats(0, 5)), max_size=12
    )

    @settings(max_examples=300, deadline=None)
    @given(st.floats(0, 200), asks)
    def test_never_more_than_there_is_or_is_wanted_and_nothing_left_while_somebody_wants(self, budget, asks):
        got = allot(budget, asks)
        self.assertTrue(all(-1e-9 <= g <= a.wants + 1e-6 for g, a in zip(got, asks, strict=True)))
        self.assertAlmostEqual(sum(got), min(budget, sum(a.wants for a in asks)), delta=1e-6 * (1 + budget))

    @settings(max_examples=300, deadline=None)
    @given(st.floats(0, 200), asks)
    def test_within_a_rank_nobody_short_has_less_for_his_weight_than_another(self, budget, asks):
        asks = [Ask(a.rank, a.wants, a.weight) for a in asks]
        got = allot(budget, asks)
        for (a, x), (b, y) in itertools.permutations(zip(asks, got, strict=True), 2):
            if a.rank == b.rank and x < a.wants - 1e-6:
                self.assertGreaterEqual(x / a.weight + 1e-5 * (1 + budget), y / b.weight)
            if a.rank < b.rank and x < a.wants - 1e-6:
                self.assertLess(y, 1e-5 * (1 + budget))

    def test_floors_come_before_better_ranks(self):
        self.assertEqual(allot(10, [Ask(0, 100), Ask(1, 5, floor=2)]), [8, 2])
        self.assertEqual(allot(10, [Ask(0, 100), Ask(1, 1, floor=2)]), [9, 1])


def sample(at, admitted=0, shed=0, cost=300e-6, shed_cost=60e-6, late=0.001, rss=20_000_000, share=1.0):
    """What a worker measures that has so much to do, and a share of a processor."""
    cpu = admitted * cost + shed * shed_cost
    return Sample(at, cpu, cpu / share, late, admitted, shed, rss)


class Watching(unittest.TestCase):
    def loaded(self, offered, seconds, watch=None, share=1.0, start=0.0, cost=300e-6):
        """A worker that is offered so much a second, admits what it may, and is late by what it can't do."""
        watch = watch or Watch(100_000_000)
        turns, backlog, at = [], 0.0, start
        for _ in range(int(seconds / LOOK_S)):
            at += LOOK_S
            come = offered(at) * LOOK_S if callable(offered) else offered * LOOK_S
            admitted = min(come, watch.rate * LOOK_S) if watch.behind else come
            need = admitted * cost + (come - admitted) * 60e-6
            backlog = max(0.0, backlog + need - LOOK_S * share)
            done = min(need, LOOK_S * share)
            was = watch.behind
            watch.look(
                Sample(
                    at,
                    done,
                    done / share,
                    0.001 + backlog / share,
                    round(admitted),
                    round(come - admitted),
                    20_000_000,
                )
            )
            if watch.behind != was:
                turns.append((round(at, 1), watch.behind))
        return watch, turns

    def test_what_it_can_do_is_never_shed(self):
        for offered in (10, 500, 2000, 2700):
            watch, turns = self.loaded(offered, 20)
            self.assertEqual((watch.behind, turns), (False, []), offered)

    def test_twice_its_capacity_is_found_out_at_once_and_lateness_stays_bounded(self):
        watch, turns = self.loaded(7000, 20)
        self.assertTrue(watch.behind)
        self.assertLess(turns[0][0], 1.0)
        self.assertLess(watch.late, 0.05)
        self.assertGreater(watch.rate, 0.5 * (0.85 - 7000 * 60e-6) / 240e-6)

    def test_it_does_not_swing_while_the_load_stays_and_recovers_once_when_it_ends(self):
        watch, turns = self.loaded(lambda t: 7000 if t < 10 else 500, 30)
        self.assertEqual([behind for _, behind in turns], [True, False])
        self.assertLess(turns[1][0], 14.0)

    def test_bursts_that_come_and_go_do_not_turn_it_each_time(self):
        _, turns = self.loaded(lambda t: 9000 if t % 1 < 0.5 else 100, 30)
        self.assertLessEqual(len(turns), 3, turns)

    def test_a_worker_that_gets_a_third_of_its_core_lets_in_about_a_third(self):
        whole, _ = self.loaded(7000, 20)
        starved, _ = self.loaded(3000, 20, share=1 / 3)
        self.assertAlmostEqual(starved.share, 1 / 3, delta=0.02)
        self.assertTrue(starved.behind)
        self.assertLess(starved.rate, 0.6 * whole.rate + 300)
        self.assertGreater(starved.rate, 100)

    def test_a_flood_that_costs_more_to_turn_away_than_there_is_leaves_the_cores_their_work(self):
        watch = Watch(100_000_000)
        for n in range(60):
            watch.look(Sample(n * LOOK_S, 0.099, 0.099, 0.03, 3, 4000, 20_000_000, begun=3))
        self.assertTrue(watch.behind)
        self.assertAlmostEqual(watch.rate, 2 * 30 + 20, delta=1)
        watch.look(Sample(7.0, 0.099, 0.099, 0.03, 3, 4000, 99_000_000, begun=3))
        self.assertEqual(watch.rate, 0.0)

    def test_one_pause_of_the_machine_or_collection_is_no_reason(self):
        watch, _ = self.loaded(500, 5)
        watch.look(sample(6.0, admitted=500, late=1.0))
        self.assertFalse(watch.behind)
        watch, turns = self.loaded(500, 5, watch, start=6.0)
        self.assertFalse(watch.behind)

    def test_memory_closes_admission_before_the_limit(self):
        watch = Watch(100_000_000)
        rates = []
        for mb in (50, 79, 85, 90, 95, 99):
            watch.look(sample(1.0, 10, rss=mb * 1_000_000))
            rates.append(watch.rate)
        self.assertEqual(rates, sorted(rates, reverse=True))
        self.assertGreater(rates[1], 0)
        self.assertEqual(rates[-2:], [0.0, 0.0])

    def test_parts_count_their_own_time_only(self):
        parts = Parts()
        inner = parts.timed("inner", lambda: sum(range(20_000)))
        outer = parts.timed("outer", lambda: inner() and None)
        for _ in range(20):
            outer()
        self.assertGreater(parts.spent["inner"], parts.spent["outer"])


class TheAdmission(unittest.TestCase):
    def admission(self, rate, behind=True):
        watch = Watch(100_000_000)
        watch.behind, watch.rate = behind, rate
        return Admission(watch, SITE, 1)

    def played(self, admission, load, looks=40, count_from=20):
        """`load`: requests a look, by (class, tenant, caller); how many of each are let in, a look."""
        let_in = dict.fromkeys(load, 0)
        for n in range(looks):
            come = [g for g, many in load.items() for _ in range(many)]
            Random(n).shuffle(come)
            for g in come:
                if admission.admits(*g, 0) is None and n >= count_from:
                    let_in[g] += 1
            admission.look(LOOK_S)
        return {g: n / (looks - count_from) for g, n in let_in.items()}

    def test_it_is_open_while_the_worker_keeps_up(self):
        admission = self.admission(1.0, behind=False)
        self.assertEqual(self.played(admission, {("read", "a", 1): 500})["read", "a", 1], 500)

    def test_filings_always_get_in_and_take_theirs_off_the_rest(self):
        let_in = self.played(self.admission(1000), {("filing", "a", 1): 60, ("read", "a", 1): 500})
        self.assertEqual(let_in["filing", "a", 1], 60)
        self.assertAlmostEqual(let_in["read", "a", 1], 40, delta=6)

    def test_by_worth_but_no_class_starves(self):
        let_in = self.played(self.admission(1000), {("read", "a", 1): 300, ("low", "a", 1): 300})
        self.assertGreater(let_in["read", "a", 1], 85)
        self.assertGreaterEqual(let_in["low", "a", 1], 0.9 * FLOOR * 100)

    def test_a_flood_of_one_caller_or_tenant_takes_nothing_from_another(self):
        load = {("read", "a", 1): 900, ("read", "a", 2): 20, ("read", "b", 3): 20}
        let_in = self.played(self.admission(1000), load)
        self.assertGreaterEqual(let_in["read", "a", 2], 19)
        self.assertGreaterEqual(let_in["read", "b", 3], 19)
        shares = self.played(self.admission(1000), {("read", "a", 1): 500, ("read", "b", 2): 500})
        self.assertAlmostEqual(shares["read", "a", 1] / shares["read", "b", 2], 3.0, delta=0.5)

    def test_who_asks_seldom_gets_in_and_all_together_no_more_than_can_be_done(self):
        load = {("read", "a", n): 2 for n in range(300)}
        let_in = self.played(self.admission(1000), load, looks=200, count_from=100)
        self.assertGreater(min(let_in.values()), 0.0)
        self.assertAlmostEqual(sum(let_in.values()), 100, delta=20)

    def test_read_too_late_is_told_so_and_all_are_told_when_to_come_back_at_different_times(self):
        admission = self.admission(10_000)
        self.assertIsNotNone(admission.admits("read", "a", 1, 2 * S))
        told = {admission.admits("read", "a", 1, 3 * S) for _ in range(50)}
        self.assertGreater(len(told), 40)
        self.assertTrue(all(S // 2 <= backoff <= S for backoff in told))
        self.assertEqual(admission.since_look.shed["read", "read too late"], 51)

    def test_new_settings_are_taken_while_it_sheds(self):
        admission = self.admission(0.0)
        admission.admits("read", "a", 1, 0)
        admission.configure(
            AdmissionSettings(
                classes=(FILING,), cores=4, memory_kb=1e6, collapse_multiple=8.0, collapse_after_ns=S
            )
        )
        # Of a class that is gone only the core can speak.
        self.assertIsNone(admission.admits("read", "a", 1, 0))
        admission.look(LOOK_S)


class FindingALimit(unittest.TestCase):
    def settled(self, controller, time_of, windows=400, noise=0.05, seed=1):
        rng, limits_seen = Random(seed), []
        for n in range(windows):
            running = int(controller.limit)
            time = time_of(running, n) * rng.lognormvariate(0, noise)
            controller.window(Window(running / time, time, running, 30))
            limits_seen.append(controller.limit)
        return sum(limits_seen[windows // 2 :]) / (windows // 2)

    def machine(self, cores, slow=0.08):
        return lambda n, _: max(1.0, n / cores) * (1 + slow * max(0, n - 1.3 * cores))

    def test_ours_settles_near_the_knee_from_any_start_and_follows_it(self):
        for cores in (3, 6, 16):
            for start in (1, cores, 8 * cores):
                found = self.settled(Seek(float(start), Bounds(1, 10 * cores)), self.machine(cores))
                self.assertTrue(0.8 * cores <= found <= 1.8 * cores, (cores, start, found))
        half = self.machine(8), self.machine(4)
        moved = Seek(8.0, Bounds(1, 64))
        found = self.settled(moved, lambda n, at: half[at > 100](n, at), windows=600)
        self.assertTrue(3 <= found <= 7.5, found)

    def test_none_leaves_its_bounds_and_an_unused_limit_teaches_nothing(self):
        for name, kind in CONTROLLERS.items():
            controller = kind(5.0, Bounds(2, 9))
            self.settled(controller, lambda n, at: 1.0 + (at % 7), windows=300, noise=1.0)
            self.assertTrue(2 <= controller.limit <= 9, name)
            idle = kind(6.0, Bounds(1, 60))
            for _ in range(200):
                idle.window(Window(1.0, 1.0, 1.0, 30))
            self.assertLessEqual(idle.limit, 8, name)

    def test_a_window_counts_only_runs_that_began_in_it(self):
        windows = Windows()
        self.assertIsNone(windows.close(0.0))
        windows.ended(0.1, 1.0, 0.5)  # began before
        for n in range(20):
            windows.ended(0.2 + n * 0.05, 0.1, 0.05)
        windows.passed(3.0, 4)
        w = windows.close(3.0)
        self.assertEqual((w.count, round(w.time, 3), w.running), (20, 0.5, 4.0))


class ThePools(unittest.TestCase):
    def test_floors_fit_and_are_kept_for_filings_first(self):
        for total in (1, 2, 3, 5, 9, 40):
            told = limits(total, SITE, {}, 0.0, set(), True)
            self.assertLessEqual(sum(told.class_floors), total)
            self.assertEqual(told.class_caps, (total,) * 3)
            self.assertGreaterEqual(told.expensive, 1)
        self.assertEqual(
            limits(40, SITE, {}, 0.0, set(), False), ConcurrencyLimits(40, (4, 4, 10), (40,) * 3)
        )

    def test_the_cheap_keep_a_reserve_while_they_come(self):
        seen = {"low": Seen(came=100.0), "read": Seen()}
        told = limits(20, SITE, seen, 100.0 + SEEN_S, {"low"}, False)
        self.assertEqual((told.class_caps, told.class_floors[1]), ((18, 20, 18), 2))
        self.assertEqual(limits(20, SITE, seen, 101.0 + SEEN_S, {"low"}, False).class_caps, (20, 20, 20))

    def test_cheap_is_what_costs_little_beside_the_rest(self):
        seen = {
            "read": Seen(held=5, running=5, cost=0.3),
            "low": Seen(held=5, running=5, cost=0.02),
            "filing": Seen(cost=0.0),
        }
        self.assertEqual(cheap(seen), {"low"})
        self.assertEqual(cheap({"read": seen["read"]}), set())

    def test_without_a_total_the_module_alone_says_how_many_run(self):
        told = limits(None, SITE, {"low": Seen(came=0.0)}, 0.0, {"low"}, True)
        self.assertEqual((told.total, told.class_caps), (UNLIMITED, (32, 32, 32)))


class TheLane(unittest.TestCase):
    def learned(self, heavy_share=0.02, stated=True, seed=1, count=1500, key=None, kb=None):
        """Runs of 100 ms and some, a few of which cost 15 times that."""
        rng, outliers, right, wrong, missed = Random(seed), Outliers(), 0, 0, 0
        for n in range(count):
            heavy = rng.random() < heavy_share
            took = 0.1 * rng.lognormvariate(0, 0.5) * (15 if heavy else 1)
            r = request(
                work=int(took * S * rng.lognormvariate(0, 0.2)) if stated else None,
                key=key(heavy, rng) if key else None,
                kb=kb(heavy, rng) if kb else 20.0,
            )
            times = outliers.times(r, n * 0.05)
            outliers.ended(r, n * 0.05, took, 1.0)
            if n > count // 2:
                right, wrong, missed = (
                    right + (heavy and times > 1),
                    wrong + (not heavy and times > 1),
                    missed + (heavy and times == 1),
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
            key=lambda heavy, rng: f"large{rng.randrange(3)}" if heavy else f"{rng.randrange(400)}",
        )
        self.assertGreater(right, 4 * missed)
        self.assertLess(wrong, 5)

    def test_by_size_where_nothing_else_tells(self):
        right, wrong, missed = self.learned(
            0.05, stated=False, kb=lambda heavy, rng: 300.0 if heavy else 20.0
        )
        self.assertGreater(right, missed)
        self.assertLess(wrong, 5)

    def test_statements_that_mean_nothing_are_not_believed(self):
        rng, outliers = Random(1), Outliers()
        for n in range(500):
            r = request(work=int(rng.lognormvariate(-2, 1.5) * S))
            outliers.ended(r, n, 0.1 * rng.lognormvariate(0, 0.5), 1.0)
        self.assertEqual(outliers.times(request(work=100 * S), 500.0), 1.0)

    def test_the_module_does_not_learn_a_class_from_its_outliers(self):
        limiter, now = Limiter(OverloadConfig(low_priority_lane=True), SITE, 1), 0
        told = []
        for n in range(400):
            r, took = request(), (1500 if n % 40 == 39 else 100) * MS
            now += S // 10
            limiter.run_started(r, now)
            told.append(limiter.run_ended(r, now, took, Outcome.OK))
        self.assertLess(max(told[100:]), 1500 * MS / 2)
        self.assertEqual({t for t in told[100:] if t <= 100 * MS}, {100 * MS})
        self.assertEqual(limiter.running, 0)
        foreseen = request()
        foreseen.cost_multiple = 15.0
        limiter.run_started(foreseen, now)
        self.assertEqual(limiter.run_ended(foreseen, now, 1500 * MS, Outcome.OK), 1500 * MS)

    def test_what_is_foreseen_as_heavy_and_never_run_leaves_nothing_behind(self):
        limiter = Limiter(OverloadConfig(low_priority_lane=True), SITE, 1)
        for n in range(100):
            r, took = request(work=(100 + n) * MS), (100 + n) * MS
            limiter.run_started(r, n * S)
            limiter.run_ended(r, n * S, took, Outcome.OK)
        sizes = {name: len(v) for name, v in vars(limiter).items() if hasattr(v, "__len__")}
        for _ in range(50):
            self.assertGreater(limiter.estimate_cost(request(work=5 * S), 100 * S), 1)
        self.assertEqual(sizes, {name: len(v) for name, v in vars(limiter).items() if hasattr(v, "__len__")})


class Budgets(unittest.TestCase):
    def test_only_under_pressure_only_repeats_and_each_caller_by_itself(self):
        storms, now = Storms(1), 0.0
        for n in range(200):
            now += 0.01
            self.assertTrue(storms.allows(1, ("x", n), True, True, now))  # nothing is turned away
        denied = {1: 0, 2: 0}
        for n in range(400):
            now += 0.01
            self.assertTrue(storms.allows(1, ("first", n), False, True, now))
            storms.was_refused(("other", n), now)
            denied[1] += sum(not storms.allows(1, ("y", n, k), True, True, now) for k in range(3))
            if n % 10 == 0:
                denied[2] += not storms.allows(2, ("z", n), True, True, now)
        self.assertGreater(denied[1], 800)
        self.assertLess(denied[2], 35)
        self.assertTrue(storms.allows(1, ("room",), True, False, now))

    def test_an_unmarked_repeat_is_known_by_what_it_asks_soon_after_its_refusal(self):
        storms = Storms(1)
        storms.was_refused(("a",), 1.0)
        storms.allows(1, ("a",), False, True, 1.5)
        storms.was_refused(("b",), 2.0)
        storms.allows(1, ("b",), False, True, 9.0)
        self.assertEqual((storms.unmarked, storms.marked), (1, 0))

    def test_advice_is_spread_and_never_shortened(self):
        told = [Storms(1).spread(S), *(Storms(n).spread(S) for n in range(50))]
        self.assertTrue(all(S <= t <= 1.5 * S for t in told))
        self.assertGreater(len(set(told)), 40)

    def test_filings_and_cheap_classes_are_never_denied(self):
        limiter = Limiter(OverloadConfig(retry_budget=True), SITE, 1)
        limiter.running, limiter.seen["read"].held = 9, 3
        for n in range(60):
            limiter.request_rejected(request(), S, n * MS)
            limiter.storms.allows(1, ("read", n), False, True, n / 1000)
        reads = [limiter.check_arrival(request(retry=True), 100 * MS) for _ in range(40)]
        self.assertTrue(any(reads))
        filing = request(FILING, retry=True)
        filing.idempotency_key = ("a", "filing", "t")
        self.assertEqual({limiter.check_arrival(filing, 100 * MS) for _ in range(40)}, {None})
        limiter.cheap = {"read"}
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
