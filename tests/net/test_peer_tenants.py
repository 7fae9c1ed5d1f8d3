"""What a fleet follows of tenants over changes of configuration and fleet."""

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

    def test_only_tenants_with_a_budget_of_the_fleet_follow_it_over_changes_of_either(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)

        def written(numbers, budgets):
            peers = {
                "listen": "127.0.0.1:0",
                "group": "g",
                "secrets": ["sixteen characters"],
                "voters": ["n1"],
                "budgets": [
                    {"name": name, "use": "tenant", "of": of, "amount": 8} for name, of in budgets.items()
                ],
            }
            return appliance(folder.name, numbers, 1, peers=peers)

        path = written(range(5), {"b1": "t1"})
        worker = Worker(load(path), path)
        self.addCleanup(close_worker, worker)
        worker.parts.core.step()

        def follow():
            told = worker.parts.core.controller.settings.tenants
            return {t.name: t._budget for t in told if isinstance(t, FleetTenant)}

        module = worker.parts.core.controller
        self.assertEqual(follow(), {"t1": "b1"})
        for numbers, budgets, expected in (
            ((0, 2, 3, 4), {}, {}),  # both go: who is gone has the quota of the file for what is open
            (range(6), {"b2": "t1", "b3": "t5"}, {"t1": "b2", "t5": "b3"}),  # back, by another budget
            (range(6), {"b4": "t1", "b3": "t5"}, {"t1": "b4", "t5": "b3"}),
        ):  # budgets alone
            written(numbers, budgets)
            commit_change(
                worker, run_to_completion(worker.parts.reloader.prepare_in_steps(only_if_changed=False))
            )
            self.assertEqual(follow(), expected)
            self.assertEqual([t.name for t in module.settings.tenants][:5], [f"t{n}" for n in range(5)])
            self.assertEqual(worker.parts.core.tenants["t0"], 0)
        self.assertIs(worker.parts.core.controller, module)
        self.assertEqual(worker.parts.core.tenants["t5"], 5)
        for tenant in module.settings.tenants:  # each can be asked: no budget that is gone is meant
            self.assertGreaterEqual(tenant.quota_per_s, 0.0)

    def test_a_message_of_counts_fits_a_datagram_however_many_tenants_were_answered(self):
        all_counters = [ReplicatedCounters(Incarnation(f"n{n}", 1, n), 100.0) for n in range(6)]
        for counters in all_counters:
            for n in range(58_000):
                counters.add(f"tenant/tenant-{n:06d}/answered")
            for cls in ("read", "filing"):
                counters.add(f"class/{cls}/answered", 7)
        me = all_counters[0]
        for other in all_counters[1:]:
            for tally in other.snapshots(1.0)[:1]:
                me.merge_snapshot(tally, 0.0, 1.0)
        told = me.snapshots(2.0)
        self.assertEqual(len(told), 5)
        size = len(wire.encode_datagram(Message("g", me.incarnation, "n1", 1, 1, told), b"s" * 16))
        self.assertLess(size, wire.MAX_DATAGRAM_BYTES - 2000)  # and what else is in an answer
        self.assertEqual(sum(me.own.counts.values()), 58_014)
        self.assertEqual(me.read("class/read/answered", 2.0).total, 42)

    def test_rates_of_the_tenants_nearest_to_their_share_are_sent_and_quiet_ones_forgotten(self):
        many = tuple(Tenant(f"t{n}", 1.0 if n == 900 else 1000.0, 0.1) for n in range(1000))
        order = SheddingOrder(
            (RequestClass(name="read", latency_objective_ns=1, deadline_ns=2),), initial_table(many), 0.1
        )
        for n in range(1000):
            order.record_arrival(("", "read", n), "read", f"t{n}", False, 1.0)
        told = order.reported_tenant_rates(1.0)
        self.assertEqual((len(told), "t900" in told), (MAX_REPORTED_TENANTS, True))
        self.assertEqual(order.reported_tenant_rates(100.0), {})
        self.assertEqual(order.tracked_tenants, 0)
