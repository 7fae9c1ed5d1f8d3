"""Tenants at size: worth what they are if all are gone through at each beat, at the cost of those active."""

import json
import random
import unittest
from functools import partial
from math import exp

from ochrehoist.admission import learned_state
from ochrehoist.admission.actions import FailRequest, RejectRequest, StartRun
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    InstanceStarted,
    Outcome,
    RequestCompleted,
    RequestReceived,
    TenantsReplaced,
    TimerFired,
)
from ochrehoist.admission.job import Job
from ochrehoist.admission.settings import ObjectiveWeights, Tenant
from ochrehoist.core.handover_snapshot import snapshot_lines
from ochrehoist.core.idempotency_table import IdempotencyTable
from ochrehoist.core.snapshot import CoreSnapshot
from ochrehoist.store.expiry import expire_learned_state
from ochrehoist.store.timestamps import Timestamp
from tests.admission.controller_driver import CLASSES, MS, S, settings
from tests.support.instruction_count import count_instructions

BEAT = 100 * MS
FADE = exp(-0.1 / 20)
SIZES = 3, 2000, 58_000


class Live:
    """A tenant whose quota follows something else."""

    def __init__(self, name, quota):
        self.name, self.quota_per_s, self.share = name, quota, 1.0


def tenants(count, quota=20.0):
    return tuple(Tenant(f"tenant{n}", quota, 1 / count) for n in range(count))


class Module:
    """The decision module, its clock, and requests that end well at once."""

    def __init__(self, of, **changes):
        goal = ObjectiveWeights(0.45, 0.15, 0.3, 0.1)
        self.settings = settings(tenants=of, objective=goal, classes=CLASSES[:1] * 2, **changes)
        self.c = AdmissionController(self.settings, 1)
        self.now, self.number, self.actions = 1000 * S, 0, []
        self.send(InstanceStarted())

    def send(self, event):
        acts = self.c.handle(self.now, event)
        self.actions += acts
        return acts

    def ask(self, tenant, retry=False):
        self.number += 1
        return self.send(
            RequestReceived(f"r{self.number}", self.number % 2, tenant, is_retry=retry, caller=1)
        )

    def serve(self, tenant, retry=False, outcome=Outcome.OK):
        started = [a.id for a in self.ask(tenant, retry) if isinstance(a, StartRun)]
        for job in started:
            self.send(RequestCompleted(job, outcome, 10 * MS))
        return len(started)

    def beats(self, count=1):
        for _ in range(count):
            self.now += BEAT
            self.send(TimerFired(1, {"cpu_busy": 0.5}))

    def probe(self, tenant):
        """What the goal gains by an answer to it, and the part of what it starts that is within its share."""
        job = Job(RequestReceived("probe", 0, tenant, work_ns=S), self.settings.classes[0], self.now)
        return self.c.priority.value(job), self.c.activity.share_within_quota(
            tenant, self.c.activity.of_tenant(tenant).starts_per_s
        )


class Dense:
    """The same, with every tenant gone through at each beat: as the design's formulas are written down."""

    def __init__(self, module):
        self.m, n = module, len(module.settings.tenants)
        self.asked, self.served = [1.0] * (2 + n), [1.0] * (2 + n)
        self.of = module.settings.tenants
        self.ran = [self.share(t) for t in self.of]
        self.value()

    def share(self, tenant):
        return tenant.quota_per_s / self.m.settings.fleet_size

    def value(self):
        goal, classes = self.m.settings.objective, self.m.settings.classes
        most = [float("inf")] * 2 + [max(0.1, self.share(t) * 20) for t in self.of]
        asked = [min(a, m) for a, m in zip(self.asked, most, strict=True)]
        lack = [(1.01 - min(1.0, v / a)) ** 2 for v, a in zip(self.served, asked, strict=True)]
        offered = sum(c.priority_weight * a for c, a in zip(classes, asked, strict=False))
        self.gains = [
            (goal.overall + goal.worst_window) * classes[at].priority_weight / offered
            + goal.worst_class * lack[at] / sum(lack[:2]) / asked[at]
            for at in range(2)
        ]
        self.plus = [
            goal.worst_tenant * miss / sum(lack[2:]) / a for miss, a in zip(lack[2:], asked[2:], strict=True)
        ]

    def beat(self):
        self.value()
        self.asked = [max(0.1, a * FADE) for a in self.asked]
        self.served = [max(0.1, v * FADE) for v in self.served]
        self.ran = [r * FADE for r in self.ran]

    def probe(self, tenant):
        inside = min(1.0, self.share(self.of[tenant]) / max(1e-9, self.ran[tenant]))
        times = inside**2 + (1 - inside**2) * self.m.settings.over_quota_weight
        return (self.gains[0] + self.plus[tenant]) * times / S, inside


class SameWorthsTest(unittest.TestCase):
    """Each tenant is worth what it is when all are gone through at each tick."""

    def play(self, seed, count, steps, probes, quota, pauses, apart=1e-9):
        rng = random.Random(seed)
        live = tuple(Live(f"tenant{n}", rng.choice((0.0, quota, quota * rng.random()))) for n in range(count))
        m = Module(live, fleet_size=rng.choice((1, 10)), over_quota_weight=rng.choice((0.0, 0.1, 1.0)))
        dense, some = Dense(m), rng.sample(range(count), min(count, 40))
        for _ in range(steps):
            tenant = rng.choice(some)
            for _ in range(rng.choice((1, 1, 1, 8))):
                retry = rng.random() < 0.2
                outcome = rng.choice((Outcome.OK, Outcome.OK, Outcome.FAILED))
                kind = (m.number + 1) % 2
                started = m.serve(tenant, retry, outcome)
                for at in (kind, 2 + tenant):
                    dense.asked[at] += not retry
                    dense.served[at] += started * (outcome is Outcome.OK)
                dense.ran[tenant] += started / 20
            for tenant in rng.sample(range(count), min(count, probes)):
                for ours, theirs in zip(m.probe(tenant), dense.probe(tenant), strict=True):
                    self.assertAlmostEqual(ours, theirs, delta=apart * abs(theirs))
            if rng.random() < 0.1:  # looked at once a beat, and at the start
                live[rng.choice(some)].quota_per_s = rng.choice((0.0, quota * rng.random()))
            for _ in range(rng.choice(pauses)):
                m.beats()
                dense.beat()

    def test_a_few_tenants_are_valued_as_when_all_are_gone_through(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                self.play(seed, 1 + seed % 6, 60, 6, 40.0, (1, 1, 1, 3, 30))

    def test_so_they_are_once_all_counts_came_down_or_what_was_started_is_forgotten(self):
        for seed in (1, 2, 56):  # what is forgotten after 300 s counted for exp(-15)
            self.play(seed, 1 + seed % 6, 15, 4, 40.0, (1, 700, 4000), apart=1e-6)

    def test_what_was_started_counts_for_minutes_though_nobody_looks(self):
        m = Module(tenants(2, 0.05), fleet_size=1)
        started = sum(m.serve(0) for _ in range(200))
        m.beats(650)
        self.assertAlmostEqual(m.probe(0)[1], 0.05 / ((0.05 + started / 20) * FADE**650))
        self.assertLess(m.probe(0)[1], 0.2)

    def test_so_are_2000(self):
        self.play(1, 2000, 25, 100, 40.0, (1, 1, 10))

    def test_both_are_looked_at_at_the_edges_of_quotas(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.play(seed, 2, 40, 2, 1e-9, (1, 5))


class Looked(tuple):
    """Tenants that count who goes through them, in C as well."""

    times = 0

    def __iter__(self):
        Looked.times += len(self)
        return super().__iter__()

    def __getitem__(self, at):
        Looked.times += len(range(len(self))[at]) if isinstance(at, slice) else 1
        return super().__getitem__(at)


class GrowthTest(unittest.TestCase):
    """Steps of the interpreter and looks at tenants, at three sizes."""

    def cost(self, module, call):
        Looked.times = 0
        steps = count_instructions(call)
        return steps, Looked.times

    def quiet(self, size):
        m = Module(Looked(tenants(size)))
        m.beats(3)
        return m

    def same(self, call):
        costs = [self.cost(m, lambda m=m: call(m)) for m in map(self.quiet, SIZES)]
        self.assertEqual(costs, [costs[0]] * len(SIZES))

    def test_a_tick_costs_the_same_however_many_are_quiet(self):
        self.same(lambda m: m.beats())

    def test_a_request_costs_the_same_however_many_there_are(self):
        self.same(lambda m: m.serve(1))

    def test_a_change_of_tenants_goes_through_none(self):
        changed = {
            size: Looked((*tenants(size - 1), Tenant("other", 5.0, 0.1), Tenant("new", 5.0, 0.1)))
            for size in SIZES
        }
        self.same(lambda m: m.send(TenantsReplaced(changed[len(m.settings.tenants)])))

    def test_a_tick_grows_with_the_underserved_alone(self):
        m = self.quiet(58_000)
        quiet, _ = self.cost(m, m.beats)
        for tenant in range(2000):
            m.serve(tenant, outcome=Outcome.FAILED)
        lacking, looked = self.cost(m, m.beats)
        self.assertLess(lacking - quiet, 250 * 2000)
        self.assertLessEqual(looked, 3 * 2000)
        for tenant in range(2000):  # its repeat is served: it lacks nothing any more
            m.serve(tenant, retry=True)
        m.beats()
        self.assertLess(self.cost(m, m.beats)[0] - quiet, 50)

    def test_once_quiet_again_they_cost_nothing_and_are_forgotten(self):
        m = self.quiet(2000)
        quiet = self.cost(m, m.beats)
        for tenant in range(500):
            m.serve(tenant, outcome=Outcome.FAILED)
        m.beats(700)
        again = self.cost(m, m.beats)
        self.assertLess(again[0] - quiet[0], 50)
        self.assertEqual(again[1], 0)
        m.beats(6000)
        self.assertEqual(len(m.c.activity.by_tenant), 0)

    def test_a_snapshot_is_taken_and_restored_by_those_active(self):
        told, taught = [], []
        for size in SIZES:
            m, positions = self.quiet(size), {t.name: at for at, t in enumerate(tenants(size))}
            for tenant in (0, 2):
                m.serve(tenant)
            lesson = {}
            told.append(self.cost(m, lambda m=m, lesson=lesson: lesson.update(learned_state.snapshot(m.c))))
            fresh = Module(Looked(tenants(size)))
            teach = partial(learned_state.restore, fresh.c, lesson, fresh.now, positions)
            taught.append(self.cost(fresh, teach))
        self.assertEqual(told, [told[0]] * len(SIZES))
        self.assertEqual(taught, [taught[0]] * len(SIZES))

    def test_the_state_for_another_process_does_not_grow_with_those_that_are_quiet(self):
        sizes = []
        for size in SIZES:
            m = self.quiet(size)
            m.serve(0)
            state = CoreSnapshot(learned_state.snapshot(m.c), idempotency=IdempotencyTable(0, 0))
            sizes.append(sum(len(json.dumps(line)) for line in snapshot_lines(state, 0, None)))
        self.assertEqual(sizes, [sizes[0]] * len(SIZES))


class TenantChangeTest(unittest.TestCase):
    """Tenants and quotas that change while requests are open."""

    def test_one_that_stays_keeps_its_rates_and_a_new_one_begins_as_quiet_ones_are(self):
        m = Module(tenants(3, 100.0))
        for _ in range(40):
            m.serve(1)
        m.beats(20)
        before, quiet = m.probe(1), m.probe(0)
        m.send(TenantsReplaced((*tenants(3, 100.0), Tenant("new", 100.0, 0.1))))
        self.assertEqual((m.probe(1), m.probe(0)), (before, quiet))
        self.assertEqual(m.probe(3), quiet)
        m.serve(3)
        m.beats(2)
        self.assertGreater(m.probe(3)[0], 0)

    def test_open_requests_of_one_that_is_gone_go_on(self):
        m = Module(tenants(2))
        started = [a.id for a in m.ask(1) if isinstance(a, StartRun)]
        m.send(TenantsReplaced((tenants(2)[0], Tenant("", 0.0, 0.0))))
        m.beats()
        m.send(RequestCompleted(started[0], Outcome.OK, MS))
        self.assertFalse(m.c.jobs)
        m.beats(30)
        self.assertFalse([a for a in m.actions if isinstance(a, FailRequest)])

    def test_a_quota_of_nothing_is_one_whenever_it_comes(self):
        none, some = tenants(2, 0.0)[:1] + tenants(2)[1:], tenants(2)
        from_start, later = Module(none), Module(some)
        later.send(TenantsReplaced(none))
        for m in (from_start, later):
            m.beats()
            for n in range(60):
                m.ask(n % 2)
                if n % 5 == 0:
                    m.beats()
        self.assertEqual(from_start.actions, later.actions)
        self.assertEqual(from_start.probe(0), later.probe(0))
        self.assertEqual(later.probe(0)[1], 0.0)
        self.assertTrue([a for a in later.actions if isinstance(a, RejectRequest)])

    def test_a_quota_that_grows_again_is_used_at_once(self):
        m = Module(tenants(2, 1.0))
        for _ in range(40):
            m.serve(0)
        self.assertLess(m.probe(0)[1], 0.5)
        m.send(TenantsReplaced(tenants(2, 1000.0)))
        self.assertEqual(m.probe(0)[1], 1.0)


class LearnedStateTest(unittest.TestCase):
    """Activity of tenants in the learned-state snapshot."""

    def active(self):
        m = Module(tenants(50, 30.0))
        for n in range(60):
            m.serve(n % 7, outcome=Outcome.FAILED if n % 3 else Outcome.OK)
        m.beats(30)
        return m

    def alike(self, ours, theirs, tenant, rel=0.02):
        for a, b in zip(ours.probe(tenant), theirs.probe(tenant), strict=True):
            self.assertAlmostEqual(a, b, delta=rel * abs(b))

    def test_a_fresh_module_values_all_as_the_one_whose_snapshot_it_restored(self):
        m, fresh = self.active(), Module(tenants(50, 30.0))
        learned_state.restore(fresh.c, json.loads(json.dumps(learned_state.snapshot(m.c))), fresh.now)
        for tenant in (0, 1, 6, 7, 49):  # a beat lies between them
            self.alike(fresh, m, tenant)

    def test_one_that_moved_is_known_by_its_name_and_one_that_is_gone_is_left_out(self):
        m = self.active()
        fresh = Module(tuple(reversed(tenants(50, 30.0)))[:-1])
        learned_state.restore(
            fresh.c, learned_state.snapshot(m.c), fresh.now, {f"tenant{49 - n}": n for n in range(49)}
        )
        self.assertEqual(fresh.c.activity.of_tenant(48).asked > 1, True)  # tenant1
        self.assertEqual(len(fresh.c.activity.by_tenant), 6)

    def test_a_class_and_a_tenant_of_one_name_keep_their_own_counts(self):
        named = (Tenant("read", 30.0, 0.5), *tenants(1, 30.0))
        m, fresh = Module(named), Module(named)
        for _ in range(9):
            m.serve(1)
        learned_state.restore(fresh.c, learned_state.snapshot(m.c), fresh.now)
        self.assertLess(fresh.c.activity.of_tenant(0).asked, 1.1)
        self.assertGreater(fresh.c.activity.by_class[0].asked, 4)

    def older(self, level, beats):
        """What a program before this told: all tenants, those behind the classes in one list."""
        m = self.active()
        lesson = learned_state.snapshot(m.c)
        del lesson["beats"], lesson["tenants"]
        quiet = [[f"tenant{n}", level] for n in range(2, 50)]
        lesson["asked"] += [["tenant0", 8.0], ["tenant1", 4.0], *quiet]
        lesson["served"] += [["tenant0", 2.0], ["tenant1", 4.0], *quiet]
        lesson["ran"] = {f"tenant{n}": 3.0 * FADE**beats for n in range(2, 50)}
        lesson["ran"] |= {"tenant0": 9.0, "tenant1": 1.0}
        return lesson

    def test_the_form_of_an_older_program_is_restored(self):
        for beats in (0, 100, 2000):
            with self.subTest(beats=beats):
                level = max(0.1, FADE**beats)
                fresh = Module(tenants(50, 30.0))
                learned_state.restore(fresh.c, self.older(level, beats), fresh.now)
                self.assertLessEqual(fresh.c.activity.by_tenant.keys(), {0, 1})
                first, second, quiet = (fresh.c.activity.of_tenant(n) for n in (0, 1, 30))
                self.assertAlmostEqual(first.asked, 8.0 * FADE)
                self.assertAlmostEqual(second.served, 4.0 * FADE)
                self.assertAlmostEqual(quiet.asked, level, delta=0.011 * level)
                self.assertAlmostEqual(fresh.probe(0)[1], 3.0 / (9.0 * FADE))
                self.assertEqual(fresh.probe(30)[1], 1.0)
                self.assertGreater(fresh.probe(0)[0] / fresh.probe(0)[1], fresh.probe(30)[0] * 0.5)

    def test_on_record_both_forms_fade(self):
        then, hour = Timestamp(0), 3600 * S
        later = Timestamp(60 * S)
        for lesson in (learned_state.snapshot(self.active().c), self.older(0.5, 139)):
            kept = expire_learned_state(lesson, then, later, 60 * S, False)
            fresh = Module(tenants(50, 30.0))
            learned_state.restore(fresh.c, kept, fresh.now)
            first = fresh.c.activity.of_tenant(0).asked
            fresh = Module(tenants(50, 30.0))
            learned_state.restore(fresh.c, expire_learned_state(lesson, then, then, hour, False), fresh.now)
            self.assertAlmostEqual(first, fresh.c.activity.of_tenant(0).asked / 2, places=6)
            self.assertLess(fresh.c.activity.of_tenant(30).asked, 0.9)


if __name__ == "__main__":
    unittest.main()
