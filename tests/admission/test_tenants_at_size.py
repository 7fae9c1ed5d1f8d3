"""Tenants at size: worth what they are if all are gone through at each tick, at the cost of those active."""

import json
import random
import unittest
from functools import partial

from ochrehoist.admission import learned_state
from ochrehoist.admission.actions import FailRequest, RejectRequest, StartRun
from ochrehoist.admission.events import (
    Outcome,
    RequestCompleted,
    TenantsReplaced,
)
from ochrehoist.admission.settings import Tenant
from ochrehoist.core.handover_snapshot import snapshot_lines
from ochrehoist.core.idempotency_table import IdempotencyTable
from ochrehoist.core.snapshot import CoreSnapshot
from tests.admission.controller_driver import MS
from tests.admission.tenant_load import (
    DECAY_PER_TICK,
    SIZES,
    CountingTable,
    FullRecomputation,
    MutableTenant,
    TenantDriver,
    tenants,
)
from tests.support.instruction_count import count_instructions


class SameWorthsTest(unittest.TestCase):
    """Each tenant is worth what it is when all are gone through at each tick."""

    def play(self, seed, count, steps, probes, quota, pauses, apart=1e-9):
        rng = random.Random(seed)
        live = tuple(
            MutableTenant(f"tenant{n}", rng.choice((0.0, quota, quota * rng.random()))) for n in range(count)
        )
        driver = TenantDriver(
            live, fleet_size=rng.choice((1, 10)), over_quota_weight=rng.choice((0.0, 0.1, 1.0))
        )
        full, some = FullRecomputation(driver), rng.sample(range(count), min(count, 40))
        for _ in range(steps):
            tenant = rng.choice(some)
            for _ in range(rng.choice((1, 1, 1, 8))):
                retry = rng.random() < 0.2
                outcome = rng.choice((Outcome.OK, Outcome.OK, Outcome.FAILED))
                kind = (driver.number + 1) % 2
                started = driver.serve(tenant, retry, outcome)
                for at in (kind, 2 + tenant):
                    full.requested[at] += not retry
                    full.served[at] += started * (outcome is Outcome.OK)
                full.ran[tenant] += started / 20
            for tenant in rng.sample(range(count), min(count, probes)):
                for ours, theirs in zip(driver.probe(tenant), full.probe(tenant), strict=True):
                    self.assertAlmostEqual(ours, theirs, delta=apart * abs(theirs))
            if rng.random() < 0.1:  # looked at once a beat, and at the start
                live[rng.choice(some)].quota_per_s = rng.choice((0.0, quota * rng.random()))
            for _ in range(rng.choice(pauses)):
                driver.tick()
                full.tick()

    def test_a_few_tenants_are_valued_as_when_all_are_gone_through(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                self.play(seed, 1 + seed % 6, 60, 6, 40.0, (1, 1, 1, 3, 30))

    def test_so_they_are_once_all_counts_came_down_or_what_was_started_is_forgotten(self):
        for seed in (1, 2, 56):  # what is forgotten after 300 s counted for exp(-15)
            self.play(seed, 1 + seed % 6, 15, 4, 40.0, (1, 700, 4000), apart=1e-6)

    def test_what_was_started_counts_for_minutes_though_nobody_looks(self):
        driver = TenantDriver(tenants(2, 0.05), fleet_size=1)
        started = sum(driver.serve(0) for _ in range(200))
        driver.tick(650)
        self.assertAlmostEqual(driver.probe(0)[1], 0.05 / ((0.05 + started / 20) * DECAY_PER_TICK**650))
        self.assertLess(driver.probe(0)[1], 0.2)

    def test_so_are_2000(self):
        self.play(1, 2000, 25, 100, 40.0, (1, 1, 10))

    def test_both_are_looked_at_at_the_edges_of_quotas(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.play(seed, 2, 40, 2, 1e-9, (1, 5))


class GrowthTest(unittest.TestCase):
    """Steps of the interpreter and looks at tenants, at three sizes."""

    def cost(self, module, call):
        CountingTable.times = 0
        steps = count_instructions(call)
        return steps, CountingTable.times

    def quiet(self, size):
        driver = TenantDriver(CountingTable(tenants(size)))
        driver.tick(3)
        return driver

    def same(self, call):
        costs = [self.cost(driver, lambda driver=driver: call(driver)) for driver in map(self.quiet, SIZES)]
        self.assertEqual(costs, [costs[0]] * len(SIZES))

    def test_a_tick_costs_the_same_however_many_are_quiet(self):
        self.same(lambda driver: driver.tick())

    def test_a_request_costs_the_same_however_many_there_are(self):
        self.same(lambda driver: driver.serve(1))

    def test_a_change_of_tenants_goes_through_none(self):
        changed = {
            size: CountingTable((*tenants(size - 1), Tenant("other", 5.0, 0.1), Tenant("new", 5.0, 0.1)))
            for size in SIZES
        }
        self.same(lambda driver: driver.send(TenantsReplaced(changed[len(driver.settings.tenants)])))

    def test_a_tick_grows_with_the_underserved_alone(self):
        driver = self.quiet(58_000)
        quiet, _ = self.cost(driver, driver.tick)
        for tenant in range(2000):
            driver.serve(tenant, outcome=Outcome.FAILED)
        lacking, looked = self.cost(driver, driver.tick)
        self.assertLess(lacking - quiet, 250 * 2000)
        self.assertLessEqual(looked, 3 * 2000)
        for tenant in range(2000):  # its repeat is served: it lacks nothing any more
            driver.serve(tenant, retry=True)
        driver.tick()
        self.assertLess(self.cost(driver, driver.tick)[0] - quiet, 50)

    def test_once_quiet_again_they_cost_nothing_and_are_forgotten(self):
        driver = self.quiet(2000)
        quiet = self.cost(driver, driver.tick)
        for tenant in range(500):
            driver.serve(tenant, outcome=Outcome.FAILED)
        driver.tick(700)
        again = self.cost(driver, driver.tick)
        self.assertLess(again[0] - quiet[0], 50)
        self.assertEqual(again[1], 0)
        driver.tick(6000)
        self.assertEqual(len(driver.controller.activity.by_tenant), 0)

    def test_a_snapshot_is_taken_and_restored_by_those_active(self):
        told, taught = [], []
        for size in SIZES:
            driver, positions = self.quiet(size), {t.name: at for at, t in enumerate(tenants(size))}
            for tenant in (0, 2):
                driver.serve(tenant)
            lesson = {}
            told.append(
                self.cost(
                    driver,
                    lambda driver=driver, lesson=lesson: lesson.update(
                        learned_state.snapshot(driver.controller)
                    ),
                )
            )
            fresh = TenantDriver(CountingTable(tenants(size)))
            teach = partial(learned_state.restore, fresh.controller, lesson, fresh.now_ns, positions)
            taught.append(self.cost(fresh, teach))
        self.assertEqual(told, [told[0]] * len(SIZES))
        self.assertEqual(taught, [taught[0]] * len(SIZES))

    def test_the_state_for_another_process_does_not_grow_with_those_that_are_quiet(self):
        sizes = []
        for size in SIZES:
            driver = self.quiet(size)
            driver.serve(0)
            state = CoreSnapshot(
                learned_state.snapshot(driver.controller), idempotency=IdempotencyTable(0, 0)
            )
            sizes.append(sum(len(json.dumps(line)) for line in snapshot_lines(state, 0, None)))
        self.assertEqual(sizes, [sizes[0]] * len(SIZES))


class TenantChangeTest(unittest.TestCase):
    """Tenants and quotas that change while requests are open."""

    def test_a_tenant_that_stays_keeps_its_rates_and_a_new_one_starts_as_a_quiet_one(self):
        driver = TenantDriver(tenants(3, 100.0))
        for _ in range(40):
            driver.serve(1)
        driver.tick(20)
        before, quiet = driver.probe(1), driver.probe(0)
        driver.send(TenantsReplaced((*tenants(3, 100.0), Tenant("new", 100.0, 0.1))))
        self.assertEqual((driver.probe(1), driver.probe(0)), (before, quiet))
        self.assertEqual(driver.probe(3), quiet)
        driver.serve(3)
        driver.tick(2)
        self.assertGreater(driver.probe(3)[0], 0)

    def test_open_requests_of_a_removed_tenant_continue(self):
        driver = TenantDriver(tenants(2))
        started = [a.id for a in driver.request(1) if isinstance(a, StartRun)]
        driver.send(TenantsReplaced((tenants(2)[0], Tenant("", 0.0, 0.0))))
        driver.tick()
        driver.send(RequestCompleted(started[0], Outcome.OK, MS))
        self.assertFalse(driver.controller.jobs)
        driver.tick(30)
        self.assertFalse([a for a in driver.actions if isinstance(a, FailRequest)])

    def test_a_quota_of_nothing_is_one_whenever_it_comes(self):
        none, some = tenants(2, 0.0)[:1] + tenants(2)[1:], tenants(2)
        from_start, later = TenantDriver(none), TenantDriver(some)
        later.send(TenantsReplaced(none))
        for driver in (from_start, later):
            driver.tick()
            for n in range(60):
                driver.request(n % 2)
                if n % 5 == 0:
                    driver.tick()
        self.assertEqual(from_start.actions, later.actions)
        self.assertEqual(from_start.probe(0), later.probe(0))
        self.assertEqual(later.probe(0)[1], 0.0)
        self.assertTrue([a for a in later.actions if isinstance(a, RejectRequest)])

    def test_a_quota_that_grows_again_is_used_at_once(self):
        driver = TenantDriver(tenants(2, 1.0))
        for _ in range(40):
            driver.serve(0)
        self.assertLess(driver.probe(0)[1], 0.5)
        driver.send(TenantsReplaced(tenants(2, 1000.0)))
        self.assertEqual(driver.probe(0)[1], 1.0)
