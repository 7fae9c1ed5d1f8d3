"""What the learned-state snapshot holds of tenants, and of older forms."""

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

    def active(self):
        driver = TenantDriver(tenants(50, 30.0))
        for n in range(60):
            driver.serve(n % 7, outcome=Outcome.FAILED if n % 3 else Outcome.OK)
        driver.tick(30)
        return driver

    def alike(self, ours, theirs, tenant, rel=0.02):
        for a, b in zip(ours.probe(tenant), theirs.probe(tenant), strict=True):
            self.assertAlmostEqual(a, b, delta=rel * abs(b))

    def test_a_new_controller_values_all_as_the_one_whose_snapshot_it_restored(self):
        driver, fresh = self.active(), TenantDriver(tenants(50, 30.0))
        learned_state.restore(
            fresh.controller, json.loads(json.dumps(learned_state.snapshot(driver.controller))), fresh.now_ns
        )
        for tenant in (0, 1, 6, 7, 49):  # a beat lies between them
            self.alike(fresh, driver, tenant)

    def test_a_tenant_that_moved_is_known_by_name_and_a_removed_one_is_left_out(self):
        driver = self.active()
        fresh = TenantDriver(tuple(reversed(tenants(50, 30.0)))[:-1])
        learned_state.restore(
            fresh.controller,
            learned_state.snapshot(driver.controller),
            fresh.now_ns,
            {f"tenant{49 - n}": n for n in range(49)},
        )
        self.assertEqual(fresh.controller.activity.tenant_counts(48).requested > 1, True)  # tenant1
        self.assertEqual(len(fresh.controller.activity.by_tenant), 6)

    def test_a_class_and_a_tenant_of_one_name_keep_their_own_counts(self):
        named = (Tenant("read", 30.0, 0.5), *tenants(1, 30.0))
        driver, fresh = TenantDriver(named), TenantDriver(named)
        for _ in range(9):
            driver.serve(1)
        learned_state.restore(fresh.controller, learned_state.snapshot(driver.controller), fresh.now_ns)
        self.assertLess(fresh.controller.activity.tenant_counts(0).requested, 1.1)
        self.assertGreater(fresh.controller.activity.by_class[0].requested, 4)

    def older(self, level, beats):
        """What a program before this told: all tenants, those behind the classes in one list."""
        driver = self.active()
        lesson = learned_state.snapshot(driver.controller)
        del lesson["beats"], lesson["tenants"]
        quiet = [[f"tenant{n}", level] for n in range(2, 50)]
        lesson["asked"] += [["tenant0", 8.0], ["tenant1", 4.0], *quiet]
        lesson["served"] += [["tenant0", 2.0], ["tenant1", 4.0], *quiet]
        lesson["ran"] = {f"tenant{n}": 3.0 * DECAY_PER_TICK**beats for n in range(2, 50)}
        lesson["ran"] |= {"tenant0": 9.0, "tenant1": 1.0}
        return lesson

    def test_the_form_of_an_older_program_is_restored(self):
        for beats in (0, 100, 2000):
            with self.subTest(beats=beats):
                level = max(0.1, DECAY_PER_TICK**beats)
                fresh = TenantDriver(tenants(50, 30.0))
                learned_state.restore(fresh.controller, self.older(level, beats), fresh.now_ns)
                self.assertLessEqual(fresh.controller.activity.by_tenant.keys(), {0, 1})
                first, second, quiet = (fresh.controller.activity.tenant_counts(n) for n in (0, 1, 30))
                self.assertAlmostEqual(first.requested, 8.0 * DECAY_PER_TICK)
                self.assertAlmostEqual(second.served, 4.0 * DECAY_PER_TICK)
                self.assertAlmostEqual(quiet.requested, level, delta=0.011 * level)
                self.assertAlmostEqual(fresh.probe(0)[1], 3.0 / (9.0 * DECAY_PER_TICK))
                self.assertEqual(fresh.probe(30)[1], 1.0)
                self.assertGreater(fresh.probe(0)[0] / fresh.probe(0)[1], fresh.probe(30)[0] * 0.5)

    def test_on_record_both_forms_fade(self):
        then, hour = Timestamp(0), 3600 * S
        later = Timestamp(60 * S)
        for lesson in (learned_state.snapshot(self.active().controller), self.older(0.5, 139)):
            kept = expire_learned_state(lesson, then, later, 60 * S, False)
            fresh = TenantDriver(tenants(50, 30.0))
            learned_state.restore(fresh.controller, kept, fresh.now_ns)
            first = fresh.controller.activity.tenant_counts(0).requested
            fresh = TenantDriver(tenants(50, 30.0))
            learned_state.restore(
                fresh.controller, expire_learned_state(lesson, then, then, hour, False), fresh.now_ns
            )
            self.assertAlmostEqual(first, fresh.controller.activity.tenant_counts(0).requested / 2, places=6)
            self.assertLess(fresh.controller.activity.tenant_counts(30).requested, 0.9)

    def test_a_rate_of_starts_is_stored_until_it_has_decayed_below_the_minimum(self):
        half_life = 3600 * S
        stored = learned_state.snapshot(self.active().controller)
        self.assertEqual(len(stored["ran"]), 7)
        for half_lives, expected in ((0, 7), (10, 7), (48, 0)):
            with self.subTest(half_lives=half_lives):
                later = Timestamp(half_lives * half_life)
                decayed = expire_learned_state(stored, Timestamp(0), later, half_life, False)
                fresh = TenantDriver(tenants(50, 30.0))
                learned_state.restore(fresh.controller, decayed, fresh.now_ns)
                self.assertEqual(len(learned_state.snapshot(fresh.controller)["ran"]), expected)
