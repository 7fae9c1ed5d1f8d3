"""Tests of tenants in a fleet: budgets over reloads, the size of counter messages, and reported rates."""

import tempfile
import unittest

from ochrehoist.admission.settings import RequestClass, Tenant
from ochrehoist.app.worker import Worker
from ochrehoist.config.loader import load
from ochrehoist.core.tenants import initial_table
from ochrehoist.net.peers import FleetTenant
from ochrehoist.peers import wire
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.wire import Incarnation, Message
from ochrehoist.sites.shedding_order import MAX_REPORTED_TENANTS, SheddingOrder
from ochrehoist.steps import run_to_completion
from tests.app.tenant_reload import appliance, close_worker, commit_change


class PeerTenantsTest(unittest.TestCase):
    """Budgets, counters and rates of tenants in a fleet."""

    def test_exactly_the_tenants_with_a_budget_use_it_after_each_reload(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)

        def write_configuration(numbers, budgets):
            peers = {
                "listen": "127.0.0.1:0",
                "group": "g",
                "secrets": ["sixteen characters"],
                "voters": ["n1"],
                "budgets": [
                    {"name": name, "use": "tenant", "of": tenant_name, "amount": 8}
                    for name, tenant_name in budgets.items()
                ],
            }
            return appliance(folder.name, numbers, 1, peers=peers)

        path = write_configuration(range(5), {"b1": "t1"})
        worker = Worker(load(path), path)
        self.addCleanup(close_worker, worker)
        worker.parts.core.step()

        def budgets_in_use():
            current = worker.parts.core.controller.settings.tenants
            return {tenant.name: tenant._budget for tenant in current if isinstance(tenant, FleetTenant)}

        initial_controller = worker.parts.core.controller
        self.assertEqual(budgets_in_use(), {"t1": "b1"})
        for numbers, budgets, expected in (
            # Tenant and budget are removed: open requests of the tenant use its configured quota.
            ((0, 2, 3, 4), {}, {}),
            # The tenant is added again, with another budget.
            (range(6), {"b2": "t1", "b3": "t5"}, {"t1": "b2", "t5": "b3"}),
            # Only the budgets change.
            (range(6), {"b4": "t1", "b3": "t5"}, {"t1": "b4", "t5": "b3"}),
        ):
            write_configuration(numbers, budgets)
            commit_change(
                worker, run_to_completion(worker.parts.reloader.prepare_in_steps(only_if_changed=False))
            )
            self.assertEqual(budgets_in_use(), expected)
            self.assertEqual(
                [entry.name for entry in initial_controller.settings.tenants][:5],
                [f"t{n}" for n in range(5)],
            )
            self.assertEqual(worker.parts.core.tenants["t0"], 0)
        self.assertIs(worker.parts.core.controller, initial_controller)
        self.assertEqual(worker.parts.core.tenants["t5"], 5)
        for tenant in initial_controller.settings.tenants:  # no quota depends on a removed budget
            self.assertGreaterEqual(tenant.quota_per_s, 0.0)

    def test_a_message_of_counters_fits_a_datagram_for_any_number_of_tenants(self):
        all_counters = [ReplicatedCounters(Incarnation(f"n{n}", 1, n), 100.0) for n in range(6)]
        for counters in all_counters:
            for n in range(58_000):
                counters.add(f"tenant/tenant-{n:06d}/answered")
            for class_name in ("read", "filing"):
                counters.add(f"class/{class_name}/answered", 7)
        local = all_counters[0]
        for other in all_counters[1:]:
            for snapshot in other.snapshots(1.0)[:1]:
                local.merge_snapshot(snapshot, 0.0, 1.0)
        sent_snapshots = local.snapshots(2.0)
        self.assertEqual(len(sent_snapshots), 5)
        size_bytes = len(
            wire.encode_datagram(Message("g", local.incarnation, "n1", 1, 1, sent_snapshots), b"s" * 16)
        )
        self.assertLess(size_bytes, wire.MAX_DATAGRAM_BYTES - 2000)  # leaves room for other payloads
        self.assertEqual(sum(local.own.counts.values()), 58_014)
        self.assertEqual(local.read("class/read/answered", 2.0).total, 42)

    def test_rates_of_the_tenants_nearest_to_their_share_are_reported_and_idle_ones_dropped(self):
        tenants = tuple(Tenant(f"t{n}", 1.0 if n == 900 else 1000.0, 0.1) for n in range(1000))
        order = SheddingOrder(
            (RequestClass(name="read", latency_objective_ns=1, deadline_ns=2),), initial_table(tenants), 0.1
        )
        for n in range(1000):
            order.record_arrival(("", "read", n), "read", f"t{n}", False, 1.0)
        rates = order.reported_tenant_rates(1.0)
        self.assertEqual((len(rates), "t900" in rates), (MAX_REPORTED_TENANTS, True))
        self.assertEqual(order.reported_tenant_rates(100.0), {})
        self.assertEqual(order.tracked_tenants, 0)
