"""The planner: descriptions of fleets, the models and the questions, against what must hold of any fleet."""

import copy
import dataclasses
import json
import math
import tomllib
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.capture.records import CaptureHeader, RequestRecord
from ochrehoist.config.fleet_description import Choice, Clients, FleetDescriptionError, Routers, parse
from ochrehoist.config.settings import settings_from
from ochrehoist.plan import analytic
from ochrehoist.plan.cores import Cores, Machine
from ochrehoist.plan.demand import PlannedCall, Streams, calls_of_capture, draw_calls, draw_speeds
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.fit import estimate_all
from ochrehoist.plan.fleet_changes import with_workers
from ochrehoist.plan.fleet_run import Outage
from ochrehoist.plan.forecast import forecast
from ochrehoist.plan.measured_run import MeasuredRun
from ochrehoist.plan.routing import Answer, Call, NextStep, Reply, Router, next_step, rendezvous
from ochrehoist.plan.run_statistics import CallOutcome
from ochrehoist.plan.runs import interval_of
from ochrehoist.plan.simulation import Simulation
from ochrehoist.plan.site_loss import forecast_site_loss
from ochrehoist.plan.sizing import find_size
from ochrehoist.plan.worker_settings import admission_settings, platform_settings
from tests.support.environment import ROOT
from tests.support.worker_process import run_command

EXAMPLE = tomllib.loads((ROOT / "deploy/fleet.toml").read_text())


def quiet(*_):
    pass


def fleet(**changes):
    """Three workers of four cores behind two routers, with changes by key; a.b for parts."""
    data = copy.deepcopy(EXAMPLE)
    data["workers"] = [{"kind": "fast-node", "addresses": ["10.1.0.1-10.1.0.2", "10.2.0.1"]}]
    data["routers"] = [{"addresses": ["10.1.9.1", "10.2.9.1"], "choice": "least", "retries": 1}]
    data["kinds"] = [data["kinds"][1] | {"cores": 4, "speed": 1.0}]
    data["load"]["rate"] = 30.0
    for path, value in changes.items():
        part = data
        *way, last = path.split("__")
        for key in way:
            part = part[int(key) if key.isdigit() else key]
        part[int(last) if last.isdigit() else last] = value
    return parse(data)


class Description(unittest.TestCase):
    def test_the_example_is_placed_by_network_and_address(self):
        f = parse(EXAMPLE)
        self.assertEqual((len(f.placed_workers), len(f.placed_routers)), (14, 5))
        sites = {r.address: r.site for r in (*f.placed_workers, *f.placed_routers)}
        self.assertEqual((sites["192.0.2.7"], sites["10.2.1.13"]), ("brussels", "antwerp"))

    def test_each_fault_is_named_by_its_key(self):
        for path, value, said in (
            ("kinds__0__cores", 0, "kinds[0].cores"),
            ("load__rate", "many", "load.rate"),
            ("load__zopf", 1, "load.zopf"),
            ("classes__0__share", 0.9, "classes: the shares make"),
            ("classes__0__aim_ms", 9e9, "classes[0]: aim_ms is past deadline_ms"),
            ("classes__2__window_ms", 0, "classes[2]: window_ms: missing"),
            ("workers__0__kind", "huge", "workers[0].kind: no kind 'huge'"),
            ("workers__0__addresses", ["172.16.0.1"], "workers[0].addresses: 172.16.0.1 lies in no site"),
            ("workers__0__addresses", ["10.1.0.9-10.1.0.1"], "workers[0].addresses: '10.1.0.9-10.1.0.1'"),
            ("routers__0__addresses", ["10.1.0.1"], "10.1.0.1 stands for two"),
            ("sites__1__networks", ["10.1.128.0/17"], "both hold 10.1.128.0/17"),
            ("sites__0__networks", ["10.1.0/40"], "sites[0].networks"),
            ("kinds__0__speed", [2.0, 1.0], "kinds[0].speed"),
        ):
            with self.subTest(path=path, value=value), self.assertRaises(FleetDescriptionError) as raised:
                fleet(**{path: value})
            self.assertIn(said, str(raised.exception))

    def test_all_faults_come_at_once(self):
        with self.assertRaises(FleetDescriptionError) as raised:
            fleet(load__rate=-1, kinds__0__cores=0, clients__heed=3)
        self.assertEqual(len(str(raised.exception).splitlines()), 3)


WORK = st.lists(st.tuples(st.floats(0, 2), st.floats(0.01, 3)), min_size=1, max_size=30)


class SharedCores(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(WORK, st.integers(1, 8), st.floats(0.2, 2), st.floats(0, 5))
    def test_all_work_is_done_once_and_none_sooner_than_alone(self, work, cores, speed, cold_s):
        machine = Machine(cores, speed, cold_from=0.3, cold_s=cold_s)
        c, now, begun, ends = Cores(machine, 0.0, cold=True), 0.0, {}, {}
        for n, (gap, amount) in enumerate(work):
            now += gap
            for what in c.advance(now):
                ends.setdefault(what, c.now)
            c.start(n, amount)
            begun[n] = now, amount
        while (at := c.next_end()) is not None:
            for what in c.advance(at):
                self.assertNotIn(what, ends)
                ends[what] = c.now
        self.assertEqual(set(ends), set(begun))
        self.assertAlmostEqual(c.work_s, sum(a for _, a in begun.values()), delta=1e-6 * len(work))
        at, amount = begun[max(begun)]
        self.assertGreaterEqual(ends[max(begun)] - at, amount / speed - 1e-6)

    def test_past_the_crowd_all_together_get_less_done(self):
        m = Machine(4, 1.0, slow_from=1.5, slow_to=0.6, crowd=8.0)
        self.assertEqual([m.efficiency(n) for n in (1, 4, 6)], [1.0] * 3)
        self.assertAlmostEqual(m.efficiency(32), 0.6)
        self.assertAlmostEqual(m.efficiency(99), 0.6)


class Routing(unittest.TestCase):
    def router(self, choice, workers=6, **more):
        return Router(Routers(addresses=[], choice=choice, **more), range(workers), [1.0] * workers, True, 1)

    def test_each_choice_keeps_off_the_unlisted_the_tried_and_those_to_stay_away_from(self):
        for choice in Choice:
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
        least, two = self.router(Choice.LEAST), self.router(Choice.TWO)
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


class Model(unittest.TestCase):
    def goodput(self, f, seed=1, seconds=15.0, **more):
        return Simulation(f, seed, seconds, **more).run()

    def test_one_seed_gives_one_result_and_another_another(self):
        f = fleet()
        first, again, other = (self.goodput(f, seed).values() for seed in (1, 1, 2))
        self.assertEqual(json.dumps(first), json.dumps(again))
        self.assertNotEqual(json.dumps(first), json.dumps(other))

    def test_both_models_agree_below_and_above_the_capacity_and_for_each_choice(self):
        by_subject = {"routers__0__choice": "subject", "load__zipf": 0.4}
        for changes in ({}, {"routers__0__choice": "round"}, by_subject):
            for demand in (0.6, 0.9, 1.0, 1.1, 1.4):
                f = fleet(**changes).at(demand)
                events = self.goodput(f, seconds=25.0).goodput
                figures = analytic.solve(f, draw_speeds(f, Streams(1))).goodput
                # At the capacity itself, in a fleet of three, chance moves work that figures don't follow.
                near = 0.15 if demand == 1.0 else 0.1
                self.assertAlmostEqual(figures / events, 1.0, delta=near, msg=f"{changes} {demand}")

    def test_slow_machines_behind_round_robin_fill_first_and_hot_subjects_fill_their_worker(self):
        data = copy.deepcopy(EXAMPLE)
        data["routers"] = [{"addresses": ["10.1.9.1"], "choice": "round"}]
        mixed = parse(data).at(0.85)
        first = analytic.solve(mixed, draw_speeds(mixed, Streams(1))).first_limited
        self.assertEqual((first.kind, first.limit), ("small-node", "cores"))
        counts = self.goodput(mixed).workers
        small, fast = ([w for w in counts if w.kind == kind] for kind in ("small-node", "fast-node"))
        self.assertGreater(min(w.refused / w.tries for w in small), max(w.refused / w.tries for w in fast))
        self.assertGreater(sum(w.busy for w in small) / len(small), sum(w.busy for w in fast) / len(fast))
        data["routers"][0]["choice"] = "subject"
        data["load"] |= {"hot": 3, "hot_share": 0.24, "zipf": 0.3}
        hot = parse(data).at(0.7)
        tries = sorted((w.tries for w in self.goodput(hot).workers), reverse=True)
        self.assertGreater(tries[0], 1.5 * tries[len(tries) // 2])

    def test_a_lost_worker_is_left_and_one_that_returns_is_cold_and_found(self):
        f = fleet(membership__lag_s=0.5)
        outage = Outage(6.0, (0,), 9.0, "one")
        tally = self.goodput(f, seconds=16.0, outages=(outage,))
        self.assertEqual([text for _, text in tally.events], ["one lost", "one back, cold"])
        whole = self.goodput(f, seconds=16.0)
        self.assertLess(tally.workers[0].tries, whole.workers[0].tries)
        self.assertGreater(tally.workers[0].tries, 0.4 * whole.workers[0].tries)

    def test_a_filing_never_runs_twice_at_one_worker_whatever_clients_repeat(self):
        f = fleet(clients__retries=2, clients__wait_ms=50.0).at(1.3)
        sim = Simulation(f, 3, 14.0, outages=(Outage(7.0, (1,), 8.0, "one"),))
        begun = []
        for w in sim.workers:
            plain = w.start

            def start(request, w=w, plain=plain):
                if request.idempotency_key:
                    begun.append((w.number, id(w.actor), request.idempotency_key))
                plain(request)

            w.start = start
        sim.run()
        self.assertGreater(len(begun), 50)
        self.assertEqual(len(begun), len(set(begun)))

    @settings(max_examples=25, deadline=None)
    @given(
        st.floats(0.3, 2.0),
        st.integers(0, 4),
        st.floats(1.0, 1.5),
        st.floats(0.5, 1.0),
        st.sampled_from(("round", "least")),
    )
    def test_more_machines_faster_or_less_load_never_forecast_less(self, demand, more, faster, less, choice):
        f = fleet(routers__0__choice=choice).at(demand)
        bigger, calmer = with_workers(f, "fast-node", 3 + more), f.with_load(f.load.rate * less)
        base, *better = (
            analytic.solve(which, [speed] * len(which.placed_workers)).goodput
            for which, speed in ((f, 1.0), (bigger, 1.0), (f, faster), (calmer, 1.0))
        )
        self.assertGreaterEqual(min(better), base - 0.02)  # what is drawn within it swings by less


class Questions(unittest.TestCase):
    def test_an_interval_needs_two_runs_and_narrows_with_more(self):
        self.assertIsNone(interval_of([0.5]).half_width)
        self.assertLess(interval_of([0.4, 0.5, 0.6] * 3).half_width, interval_of([0.4, 0.5, 0.6]).half_width)

    def test_a_size_reaches_its_goal_and_one_less_does_not(self):
        f = fleet(load__rate=35.0)
        found = find_size(f, "fast-node", 0.9, (1,), 12.0, 1, quiet)
        self.assertGreaterEqual(found["goodput"], 0.9)
        self.assertLess(found["tried"].get(str(found["needed"] - 1), 0.0), 0.9)
        self.assertEqual(found["with_one_lost"], found["needed"] + 1)

    def test_what_cannot_be_told_gets_no_number(self):
        f = fleet()
        for ask in (
            lambda: find_size(f, "fast-node", 1.2, (1,), 12.0, 1, quiet),
            lambda: forecast_site_loss(f, "brussels", 6.5, 7.0, (1,), 14.0, 1, quiet),
            lambda: forecast_site_loss(f, "ghent", 6.0, None, (1,), 14.0, 1, quiet),
            lambda: forecast_site_loss(
                with_workers(fleet(workers__0__addresses=["10.1.0.1"]), "fast-node", 1),
                "brussels",
                6.0,
                None,
                (1,),
                14.0,
                1,
                quiet,
            ),
        ):
            self.assertRaises(UnanswerableQuestionError, ask)

    def test_the_loss_of_a_site_costs_and_its_return_heals(self):
        f = fleet(membership__lag_s=0.5, kinds__0__cold_s=1.0).at(0.8)
        said = forecast_site_loss(f, "brussels", 8.0, 14.0, (1, 2), 30.0, 1, quiet)
        self.assertLess(said["during"]["mean"], said["before"]["mean"] - 0.2)
        self.assertEqual((said["tips_over"], said["workers"]), (0, 2))
        self.assertGreater(said["recovered_s"]["mean"], 5.0)

    def test_runs_are_the_same_in_other_processes(self):
        f = fleet()
        here, there = (forecast(f, (1, 2), 12.0, jobs, quiet) for jobs in (1, 2))
        self.assertEqual(json.dumps(here), json.dumps(there))

    def test_a_sampled_capture_is_made_whole_and_a_foreign_class_is_named(self):
        f, head = fleet(), CaptureHeader("n1", 0, 0.5, 4, 1.0, (), ())
        seen = [
            RequestRecord(
                0,
                "company-read",
                "startdesk",
                "ajp",
                7,
                10**8,
                n - (n % 4 == 3),
                "",
                n % 4 == 3,
                0,
                0,
                0,
                0,
                0,
                0,
            )
            for n in range(400)
        ]
        entries = [CapturedRequest("n1", n * 10**7, s, s.subject) for n, s in enumerate(seen)]
        wishes, span = calls_of_capture(f, Capture([head], entries), Streams(1))
        self.assertEqual(len(wishes), 600)  # 300 first tries, of every second subject
        self.assertAlmostEqual(span, 4.5, delta=0.6)
        foreign = [
            CapturedRequest(
                "n1", 0, RequestRecord(0, "other", None, "", 0, 0, 0, "", False, 0, 0, 0, 0, 0, 0), 0
            )
        ]
        with self.assertRaises(ValueError) as raised:
            calls_of_capture(f, Capture([head], foreign), Streams(1))
        self.assertIn("'other'", str(raised.exception))

    def test_drawn_loads_hold_to_their_shares_and_one_stream_leaves_the_others(self):
        f = fleet(load__rate=200.0)
        calls = list(draw_calls(f, Streams(1), 60.0))
        self.assertAlmostEqual(len(calls) / 60, 200, delta=10)
        self.assertAlmostEqual(sum(c.class_index == 2 for c in calls) / len(calls), 0.12, delta=0.02)
        self.assertAlmostEqual(sum(c.work_s for c in calls) / len(calls), 0.3, delta=0.02)
        changed = fleet(load__rate=200.0, classes__0__heavy_share=0.1, classes__0__heavy_times=9.0)
        heavier = list(draw_calls(changed, Streams(1), 60.0))
        self.assertEqual([c.starts_at for c in calls], [c.starts_at for c in heavier])
        self.assertEqual([c.subject for c in calls], [c.subject for c in heavier])


class Fit(unittest.TestCase):
    def entries(self, speed=0.7, cores=4, slow_from=2.0, count=3000, crowd=24):
        """Runs as a machine of that speed has them, whose crowd is another every two seconds."""
        rng, machine = Streams(5)["work"], Machine(cores, speed, slow_from=slow_from, slow_to=0.4, crowd=8.0)
        there, now, begun, out, wanted = Cores(machine, 0.0), 0.0, {}, [], 1
        while len(out) < count:
            while len(begun) < wanted:
                number, work = len(begun) + len(out), float(rng.lognormal(-1.2, 0.6))
                begun[number] = (now, work, len(begun))
                there.start(number, work)
            at = there.next_end()
            if int(at / 2) != int(now / 2):
                wanted = int(rng.integers(1, crowd))
            now = at
            for number in there.advance(now):
                began, work, running = begun.pop(number)
                subject, stated = int(rng.zipf(1.9)), int(work * 1e9 * rng.lognormal(0, 0.1))
                seen = RequestRecord(
                    int(began * 1e9),
                    "read",
                    None,
                    "ajp",
                    subject,
                    stated,
                    1,
                    "",
                    len(out) % 10 == 0,
                    0,
                    15_000_000,
                    0,
                    int((now - began) * 1e9),
                    running,
                    0,
                )
                out.append(CapturedRequest("n1", int(began * 1e9), seen, subject))
        return Capture(
            [CaptureHeader("n1", 0, 1.0, cores, 1.0, (), ())], sorted(out, key=lambda e: e.arrived_unix_ns)
        )

    def told(self, capture):
        return {e.what: e for e in estimate_all(capture)}

    def test_speed_crowd_and_repeats_are_found_within_their_intervals(self):
        found = self.told(self.entries())
        speed = found["n1: speed of a core"]
        self.assertTrue(speed.low <= 0.7 * 1.02 and speed.high >= 0.7 * 0.98, speed)
        self.assertAlmostEqual(found["n1: running a core, past which work slows"].value, 2.5, delta=0.6)
        repeats = found["marked repeats, of all requests"]
        self.assertTrue(repeats.low <= 0.1 <= repeats.high)
        capture = self.entries()
        firsts = sum(not e.record.is_retry for e in capture.requests)
        rate = found["first tries a second"]
        self.assertTrue(rate.low <= firsts / capture.duration_s <= rate.high, rate)

    def test_what_a_capture_cannot_tell_gets_no_number(self):
        found = self.told(self.entries(crowd=4))  # never more than the cores
        self.assertIsNone(found["n1: running a core, past which work slows"].value)
        self.assertIn("never seen to slow", found["n1: running a core, past which work slows"].note)
        few = self.told(self.entries(count=30))
        self.assertIsNone(few["n1: speed of a core"].value)
        self.assertIsNone(few["popularity of subjects (zipf)"].value)
        self.assertRaises(ValueError, estimate_all, Capture())


class Measure(unittest.TestCase):
    def test_a_worker_is_told_the_same_as_the_model(self):
        f = fleet()
        kind = f.kinds[0]
        told = settings_from(platform_settings(f, kind))
        model = admission_settings(f, kind, cold=False)
        self.assertEqual(dataclasses.replace(told, warmup_ns=0), dataclasses.replace(model, warmup_ns=0))

    def test_real_workers_answer_each_call_once_and_a_lost_one_ends_its_own(self):
        f = fleet(clients__retries=1, membership__lag_s=0.2).at(0.5)
        play = MeasuredRun(f, 1, 5.0, settle_s=0.0, outages=(Outage(2.5, (0,), None, "one"),))
        tally = play.run()
        self.assertEqual(sum(tally.outcomes.values()), len(play.calls))
        self.assertEqual([text for _, text in tally.events], ["one lost"])
        self.assertGreater(tally.share(CallOutcome.IN_TIME) + tally.share(CallOutcome.LATE), 0.3)
        self.assertEqual([s.process.poll() is None for s in play.machines], [False] * 3)
        for stand in play.machines:
            self.assertLessEqual(len(stand.started_runs), stand.statistics.tries)

    def test_a_call_that_a_crowded_machine_begins_late_is_counted_by_when_it_was_due(self):
        f = fleet().at(0.5)
        first = PlannedCall(0.1, 0, 0, 1, 0.01, 0.01, 0, 20.0)
        wishes = [first, dataclasses.replace(first, starts_at=math.nextafter(1.0, 0.0))]  # begun after 1 s
        play = MeasuredRun(f, 1, 1.0, settle_s=0.0, planned_calls=wishes)
        self.assertEqual(sum(play.run().outcomes.values()), 2)
        self.assertEqual(play.start_delay_ms.get_total_count(), 2)


class Commands(unittest.TestCase):
    def test_a_forecast_from_the_shell_and_faults_in_a_line_each(self):
        example = str(ROOT / "deploy/fleet.toml")
        done = run_command("plan", "check", example)
        self.assertEqual((done.returncode, "14 workers (brussels 7, antwerp 7)" in done.stdout), (0, True))
        done = run_command("plan", "forecast", example, "--seeds", "1", "--seconds", "12", "--json")
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertGreater(json.loads(done.stdout)["goodput"]["mean"], 0.8)
        for words, code, said in (
            (("lose", example, "ghent", "--seeds", "1"), 1, "no number can be given"),
            (("size", example, "--kind", "huge"), 2, "no such kind"),
            (("check", "/nowhere.toml"), 2, "/nowhere.toml"),
        ):
            done = run_command("plan", *words)
            self.assertEqual((done.returncode, said in done.stderr), (code, True), done.stderr)

    def test_the_worker_imports_nothing_of_it(self):
        for path in Path(ROOT, "ochrehoist").rglob("*.py"):
            if not {"plan", "lab"} & set(path.parts) and path.name not in ("plan.py", "lab.py"):
                text = path.read_text()
                self.assertNotIn("ochrehoist.plan", text.replace("ochrehoist.cli.plan", ""), path)


if __name__ == "__main__":
    unittest.main()
