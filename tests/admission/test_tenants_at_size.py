"""Many tenants: priorities equal a full recomputation at each tick; the cost follows the active tenants."""

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
    CountingTenants,
    FullRecomputation,
    MutableTenant,
    TenantDriver,
    tenants,
)
from tests.support.instruction_count import count_instructions


class EqualPrioritiesTest(unittest.TestCase):
    """Priorities of tenants, compared with a reference that recomputes all tenants at each tick."""

    def compare(self, seed, count, steps, probes, quota, pauses, tolerance=1e-9):
        rng = random.Random(seed)
        mutable_tenants = tuple(
            MutableTenant(f"tenant{n}", rng.choice((0.0, quota, quota * rng.random()))) for n in range(count)
        )
        driver = TenantDriver(
            mutable_tenants, fleet_size=rng.choice((1, 10)), over_quota_weight=rng.choice((0.0, 0.1, 1.0))
        )
        reference, active = FullRecomputation(driver), rng.sample(range(count), min(count, 40))
        for _ in range(steps):
            tenant = rng.choice(active)
            for _ in range(rng.choice((1, 1, 1, 8))):
                retry = rng.random() < 0.2
                outcome = rng.choice((Outcome.OK, Outcome.OK, Outcome.FAILED))
                class_index = (driver.request_count + 1) % 2
                started = driver.serve(tenant, retry, outcome)
                for index in (class_index, 2 + tenant):
                    reference.requested[index] += not retry
                    reference.served[index] += started * (outcome is Outcome.OK)
                reference.starts_per_s[tenant] += started / 20
            for tenant in rng.sample(range(count), min(count, probes)):
                for actual, expected in zip(driver.probe(tenant), reference.probe(tenant), strict=True):
                    self.assertAlmostEqual(actual, expected, delta=tolerance * abs(expected))
            if rng.random() < 0.1:  # quotas are read once per tick, and at the start
                mutable_tenants[rng.choice(active)].quota_per_s = rng.choice((0.0, quota * rng.random()))
            for _ in range(rng.choice(pauses)):
                driver.tick()
                reference.tick()

    def test_priorities_of_a_few_tenants_equal_the_full_recomputation(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                self.compare(seed, 1 + seed % 6, 60, 6, 40.0, (1, 1, 1, 3, 30))

    def test_priorities_stay_equal_after_counts_have_decayed_to_the_minimum_or_were_removed(self):
        for seed in (1, 2, 56):  # counts that are removed after 300 s have decayed to exp(-15)
            self.compare(seed, 1 + seed % 6, 15, 4, 40.0, (1, 700, 4000), tolerance=1e-6)

    def test_starts_count_for_minutes_without_any_access(self):
        driver = TenantDriver(tenants(2, 0.05), fleet_size=1)
        started = sum(driver.serve(0) for _ in range(200))
        driver.tick(650)
        self.assertAlmostEqual(driver.probe(0)[1], 0.05 / ((0.05 + started / 20) * DECAY_PER_TICK**650))
        self.assertLess(driver.probe(0)[1], 0.2)

    def test_priorities_of_2000_tenants_equal_the_full_recomputation(self):
        self.compare(1, 2000, 25, 100, 40.0, (1, 1, 10))

    def test_priorities_equal_the_full_recomputation_with_quotas_near_zero(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.compare(seed, 2, 40, 2, 1e-9, (1, 5))


class GrowthTest(unittest.TestCase):
    """Interpreter instructions and accesses to tenants, for three numbers of tenants."""

    def cost(self, driver, call):
        CountingTenants.accesses = 0
        instructions = count_instructions(call)
        return instructions, CountingTenants.accesses

    def idle_driver(self, size):
        driver = TenantDriver(CountingTenants(tenants(size)))
        driver.tick(3)
        return driver

    def assert_same_cost(self, call):
        costs = [
            self.cost(driver, lambda driver=driver: call(driver)) for driver in map(self.idle_driver, SIZES)
        ]
        self.assertEqual(costs, [costs[0]] * len(SIZES))

    def test_the_cost_of_a_tick_does_not_depend_on_the_number_of_idle_tenants(self):
        self.assert_same_cost(lambda driver: driver.tick())

    def test_the_cost_of_a_request_does_not_depend_on_the_number_of_tenants(self):
        self.assert_same_cost(lambda driver: driver.serve(1))

    def test_replacing_the_tenants_accesses_none_of_them(self):
        changed = {
            size: CountingTenants((*tenants(size - 1), Tenant("other", 5.0, 0.1), Tenant("new", 5.0, 0.1)))
            for size in SIZES
        }
        self.assert_same_cost(
            lambda driver: driver.send(TenantsReplaced(changed[len(driver.settings.tenants)]))
        )

    def test_the_cost_of_a_tick_grows_only_with_the_underserved_tenants(self):
        driver = self.idle_driver(58_000)
        idle_cost, _ = self.cost(driver, driver.tick)
        for tenant in range(2000):
            driver.serve(tenant, outcome=Outcome.FAILED)
        underserved_cost, accesses = self.cost(driver, driver.tick)
        self.assertLess(underserved_cost - idle_cost, 250 * 2000)
        self.assertLessEqual(accesses, 3 * 2000)
        for tenant in range(2000):  # the retry is served, so that the tenant has no shortfall any more
            driver.serve(tenant, retry=True)
        driver.tick()
        self.assertLess(self.cost(driver, driver.tick)[0] - idle_cost, 50)

    def test_tenants_that_become_idle_cost_nothing_and_are_removed(self):
        driver = self.idle_driver(2000)
        cost_before = self.cost(driver, driver.tick)
        for tenant in range(500):
            driver.serve(tenant, outcome=Outcome.FAILED)
        driver.tick(700)
        cost_after = self.cost(driver, driver.tick)
        self.assertLess(cost_after[0] - cost_before[0], 50)
        self.assertEqual(cost_after[1], 0)
        driver.tick(6000)
        self.assertEqual(len(driver.controller.activity.by_tenant), 0)

    def test_the_cost_of_taking_and_restoring_a_snapshot_follows_the_active_tenants(self):
        snapshot_costs, restore_costs = [], []
        for size in SIZES:
            driver, indices = (
                self.idle_driver(size),
                {each.name: index for index, each in enumerate(tenants(size))},
            )
            for tenant in (0, 2):
                driver.serve(tenant)
            learned = {}
            snapshot_costs.append(
                self.cost(
                    driver,
                    lambda driver=driver, learned=learned: learned.update(
                        learned_state.snapshot(driver.controller)
                    ),
                )
            )
            fresh = TenantDriver(CountingTenants(tenants(size)))
            restore_snapshot = partial(
                learned_state.restore, fresh.controller, learned, fresh.now_ns, indices
            )
            restore_costs.append(self.cost(fresh, restore_snapshot))
        self.assertEqual(snapshot_costs, [snapshot_costs[0]] * len(SIZES))
        self.assertEqual(restore_costs, [restore_costs[0]] * len(SIZES))

    def test_the_state_passed_to_another_process_does_not_grow_with_idle_tenants(self):
        sizes = []
        for size in SIZES:
            driver = self.idle_driver(size)
            driver.serve(0)
            state = CoreSnapshot(
                learned_state.snapshot(driver.controller), idempotency=IdempotencyTable(0, 0)
            )
            sizes.append(sum(len(json.dumps(line)) for line in snapshot_lines(state, 0, None)))
        self.assertEqual(sizes, [sizes[0]] * len(SIZES))


class TenantChangeTest(unittest.TestCase):
    """Tenants and quotas that change while requests are open."""

    def test_a_remaining_tenant_keeps_its_rates_and_a_new_one_starts_like_an_idle_one(self):
        driver = TenantDriver(tenants(3, 100.0))
        for _ in range(40):
            driver.serve(1)
        driver.tick(20)
        of_active, of_idle = driver.probe(1), driver.probe(0)
        driver.send(TenantsReplaced((*tenants(3, 100.0), Tenant("new", 100.0, 0.1))))
        self.assertEqual((driver.probe(1), driver.probe(0)), (of_active, of_idle))
        self.assertEqual(driver.probe(3), of_idle)
        driver.serve(3)
        driver.tick(2)
        self.assertGreater(driver.probe(3)[0], 0)

    def test_open_requests_of_a_removed_tenant_continue(self):
        driver = TenantDriver(tenants(2))
        started = [action.id for action in driver.request(1) if isinstance(action, StartRun)]
        driver.send(TenantsReplaced((tenants(2)[0], Tenant("", 0.0, 0.0))))
        driver.tick()
        driver.send(RequestCompleted(started[0], Outcome.OK, MS))
        self.assertFalse(driver.controller.jobs)
        driver.tick(30)
        self.assertFalse([action for action in driver.actions if isinstance(action, FailRequest)])

    def test_a_quota_of_zero_has_the_same_effect_from_the_start_and_after_a_change(self):
        with_zero, without_zero = tenants(2, 0.0)[:1] + tenants(2)[1:], tenants(2)
        from_start, later = TenantDriver(with_zero), TenantDriver(without_zero)
        later.send(TenantsReplaced(with_zero))
        for driver in (from_start, later):
            driver.tick()
            for n in range(60):
                driver.request(n % 2)
                if n % 5 == 0:
                    driver.tick()
        self.assertEqual(from_start.actions, later.actions)
        self.assertEqual(from_start.probe(0), later.probe(0))
        self.assertEqual(later.probe(0)[1], 0.0)
        self.assertTrue([action for action in later.actions if isinstance(action, RejectRequest)])

    def test_an_increased_quota_takes_effect_at_once(self):
        driver = TenantDriver(tenants(2, 1.0))
        for _ in range(40):
            driver.serve(0)
        self.assertLess(driver.probe(0)[1], 0.5)
        driver.send(TenantsReplaced(tenants(2, 1000.0)))
        self.assertEqual(driver.probe(0)[1], 1.0)
