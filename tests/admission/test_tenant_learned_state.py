"""Tenants in learned-state snapshots, including snapshots of older releases."""

import json
import unittest

from ochrehoist.admission import learned_state
from ochrehoist.admission.events import (
    Outcome,
)
from ochrehoist.admission.settings import Tenant
from ochrehoist.store.expiry import expire_learned_state
from ochrehoist.store.timestamps import Timestamp
from tests.admission.controller_driver import S
from tests.admission.tenant_load import DECAY_PER_TICK, TenantDriver, tenants


class LearnedStateTest(unittest.TestCase):
    """Activity of tenants in the learned-state snapshot."""

    def driver_with_active_tenants(self):
        driver = TenantDriver(tenants(50, 30.0))
        for n in range(60):
            driver.serve(n % 7, outcome=Outcome.FAILED if n % 3 else Outcome.OK)
        driver.tick(30)
        return driver

    def assert_same_priority(self, tested, reference, tenant, tolerance=0.02):
        for actual, expected in zip(tested.probe(tenant), reference.probe(tenant), strict=True):
            self.assertAlmostEqual(actual, expected, delta=tolerance * abs(expected))

    def test_a_controller_gives_the_same_priorities_as_the_one_whose_snapshot_it_restored(self):
        driver, fresh = self.driver_with_active_tenants(), TenantDriver(tenants(50, 30.0))
        learned_state.restore(
            fresh.controller, json.loads(json.dumps(learned_state.snapshot(driver.controller))), fresh.now_ns
        )
        for tenant in (0, 1, 6, 7, 49):  # equal except for one tick of decay
            self.assert_same_priority(fresh, driver, tenant)

    def test_a_tenant_with_another_index_is_restored_by_name_and_a_removed_one_is_skipped(self):
        driver = self.driver_with_active_tenants()
        fresh = TenantDriver(tuple(reversed(tenants(50, 30.0)))[:-1])
        learned_state.restore(
            fresh.controller,
            learned_state.snapshot(driver.controller),
            fresh.now_ns,
            {f"tenant{49 - n}": n for n in range(49)},
        )
        self.assertEqual(fresh.controller.activity.tenant_counts(48).requested > 1, True)  # tenant1
        self.assertEqual(len(fresh.controller.activity.by_tenant), 6)

    def test_a_class_and_a_tenant_of_the_same_name_keep_their_own_counts(self):
        named_like_class = (Tenant("read", 30.0, 0.5), *tenants(1, 30.0))
        driver, fresh = TenantDriver(named_like_class), TenantDriver(named_like_class)
        for _ in range(9):
            driver.serve(1)
        learned_state.restore(fresh.controller, learned_state.snapshot(driver.controller), fresh.now_ns)
        self.assertLess(fresh.controller.activity.tenant_counts(0).requested, 1.1)
        self.assertGreater(fresh.controller.activity.by_class[0].requested, 4)

    def older_snapshot(self, idle_count, ticks):
        """Returns a snapshot as an older release wrote it, with all tenants after the classes in one list."""
        driver = self.driver_with_active_tenants()
        learned = learned_state.snapshot(driver.controller)
        del learned["beats"], learned["tenants"]
        idle_tenants = [[f"tenant{n}", idle_count] for n in range(2, 50)]
        learned["asked"] += [["tenant0", 8.0], ["tenant1", 4.0], *idle_tenants]
        learned["served"] += [["tenant0", 2.0], ["tenant1", 4.0], *idle_tenants]
        learned["ran"] = {f"tenant{n}": 3.0 * DECAY_PER_TICK**ticks for n in range(2, 50)}
        learned["ran"] |= {"tenant0": 9.0, "tenant1": 1.0}
        return learned

    def test_a_snapshot_of_an_older_release_is_restored(self):
        for ticks in (0, 100, 2000):
            with self.subTest(ticks=ticks):
                idle_count = max(0.1, DECAY_PER_TICK**ticks)
                fresh = TenantDriver(tenants(50, 30.0))
                learned_state.restore(fresh.controller, self.older_snapshot(idle_count, ticks), fresh.now_ns)
                self.assertLessEqual(fresh.controller.activity.by_tenant.keys(), {0, 1})
                first, second, idle = (fresh.controller.activity.tenant_counts(n) for n in (0, 1, 30))
                self.assertAlmostEqual(first.requested, 8.0 * DECAY_PER_TICK)
                self.assertAlmostEqual(second.served, 4.0 * DECAY_PER_TICK)
                self.assertAlmostEqual(idle.requested, idle_count, delta=0.011 * idle_count)
                self.assertAlmostEqual(fresh.probe(0)[1], 3.0 / (9.0 * DECAY_PER_TICK))
                self.assertEqual(fresh.probe(30)[1], 1.0)
                self.assertGreater(fresh.probe(0)[0] / fresh.probe(0)[1], fresh.probe(30)[0] * 0.5)

    def test_stored_snapshots_of_both_layouts_decay(self):
        stored_at, hour_ns = Timestamp(0), 3600 * S
        later = Timestamp(60 * S)
        for learned in (
            learned_state.snapshot(self.driver_with_active_tenants().controller),
            self.older_snapshot(0.5, 139),
        ):
            decayed = expire_learned_state(learned, stored_at, later, 60 * S, False)
            fresh = TenantDriver(tenants(50, 30.0))
            learned_state.restore(fresh.controller, decayed, fresh.now_ns)
            requested_after_half_life = fresh.controller.activity.tenant_counts(0).requested
            fresh = TenantDriver(tenants(50, 30.0))
            learned_state.restore(
                fresh.controller,
                expire_learned_state(learned, stored_at, stored_at, hour_ns, False),
                fresh.now_ns,
            )
            self.assertAlmostEqual(
                requested_after_half_life, fresh.controller.activity.tenant_counts(0).requested / 2, places=6
            )
            self.assertLess(fresh.controller.activity.tenant_counts(30).requested, 0.9)

    def test_a_rate_of_starts_is_stored_until_it_has_decayed_below_the_minimum(self):
        half_life = 3600 * S
        stored = learned_state.snapshot(self.driver_with_active_tenants().controller)
        self.assertEqual(len(stored["ran"]), 7)
        for half_lives, expected in ((0, 7), (10, 7), (48, 0)):
            with self.subTest(half_lives=half_lives):
                later = Timestamp(half_lives * half_life)
                decayed = expire_learned_state(stored, Timestamp(0), later, half_life, False)
                fresh = TenantDriver(tenants(50, 30.0))
                learned_state.restore(fresh.controller, decayed, fresh.now_ns)
                self.assertEqual(len(learned_state.snapshot(fresh.controller)["ran"]), expected)
