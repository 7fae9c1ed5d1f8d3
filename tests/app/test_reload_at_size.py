"""Changes of configuration at size: what is prepared, what is switched, and what both cost the loop."""

import json
import os
import signal
import sys
import tempfile
import time
import unittest
from pathlib import Path

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.admission.settings import RequestClass, Tenant
from ochrehoist.app.worker import Worker
from ochrehoist.capture.encoding import (
    CaptureDamage,
    decode_records,
    encode_header,
    encode_tenants,
    file_prefix,
)
from ochrehoist.capture.records import CaptureHeader
from ochrehoist.config.loader import load
from ochrehoist.core.tenants import MIN_RETIRED_PLACES, compacted_table, initial_table, updated_table
from ochrehoist.lab.toml import toml_file
from ochrehoist.net.peers import FleetTenant
from ochrehoist.peers import wire
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.wire import Incarnation, Message
from ochrehoist.sites.shedding_order import MAX_REPORTED_TENANTS, SheddingOrder
from ochrehoist.steps import run_to_completion
from tests.support.environment import MEMORY_FOLDER, WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase

OPENS_ONCE = """
import os, time
from ochrehoist.store.folder_session import FolderSession
opened = FolderSession.open
def waits(self, longest_window_ns, clock_ns):
    while os.path.exists({!r}):
        time.sleep(0.005)
    return opened(self, longest_window_ns, clock_ns)
FolderSession.open = waits
"""  # the disk does not answer as long as there is a file of this name
RUNS_OUT = """
from ochrehoist.config import loader as config
whole, failed = config.load_in_steps, []
def runs_out(*arguments, before=None, **more):
    steps = whole(*arguments, before=before, **more)
    if before is not None and not failed:
        failed.append(next(steps, None))
        yield
        raise MemoryError
    return (yield from steps)
config.load_in_steps = runs_out
"""  # in the middle of the first reading after the start
NAMES = st.lists(st.integers(0, 12), unique=True, max_size=12)


def tenants(numbers, quota=1.0):
    return tuple(Tenant(f"t{n}", quota, 0.1) for n in numbers)


class Table(unittest.TestCase):
    @given(st.lists(st.tuples(NAMES, st.sampled_from([1.0, 2.0])), max_size=8))
    def test_over_any_history_who_stays_keeps_its_position_and_who_comes_back_finds_it(self, history):
        table, positions = initial_table(()), {}
        for numbers, quota in history:
            known = {t.name: t for t in table.listed}
            listed = tuple(t if known.get(t.name) == t else t for t in tenants(numbers, quota))
            before, table = table, run_to_completion(updated_table(table, listed))
            self.assertEqual(table.listed, listed)
            self.assertEqual(set(table.positions), {t.name for t in listed})
            for t in listed:
                self.assertIs(table.get(t.name), table.by_position[table[t.name]])
                self.assertEqual(table.get(t.name), t)
                self.assertEqual(positions.setdefault(t.name, table[t.name]), table[t.name])
            for name, position in positions.items():
                self.assertEqual(table.position(name), position)
                self.assertEqual(table.by_position[position].name, name)
            self.assertEqual(len(table.by_position), len(positions))
            if listed == before.listed:
                self.assertIs(table, before)

    @given(NAMES, NAMES, NAMES)
    def test_a_compact_table_has_those_in_force_first_and_of_the_gone_only_those_used(self, old, new, used):
        table = run_to_completion(updated_table(initial_table(tenants(old)), tenants(new)))
        names = {f"t{n}" for n in used}
        got = run_to_completion(compacted_table(table, names))
        self.assertEqual(got.by_position[: len(new)], tenants(new))
        self.assertEqual(set(got.retired), {f"t{n}" for n in set(old) - set(new)} & names)
        for name, position in (got.positions | got.retired).items():
            self.assertEqual(got.by_position[position].name, name)

    def test_it_is_crowded_once_more_than_the_spare_places_and_a_tenth_are_of_the_gone(self):
        for stay, gone, crowded in (
            (0, MIN_RETIRED_PLACES, False),
            (0, MIN_RETIRED_PLACES + 1, True),
            (20 * MIN_RETIRED_PLACES, 2 * MIN_RETIRED_PLACES, False),
            (20 * MIN_RETIRED_PLACES, 3 * MIN_RETIRED_PLACES, True),
        ):
            table = run_to_completion(
                updated_table(initial_table(tenants(range(stay + gone))), tenants(range(stay)))
            )
            self.assertEqual(table.needs_compaction, crowded, (stay, gone))


def appliance(folder, numbers, routes, quota=1.0, peers=None, **changes):
    """A configuration with so many tenants and routes."""
    site = site_settings(
        Tenants=[{"Name": f"t{n}", "QuotaPerS": quota, "Fraction": 0.1} for n in numbers], **changes
    )
    rules = [{"uri": f"/r{n}/*", "class": "read"} for n in range(routes)]
    path = Path(folder, "ajp.toml")
    path.write_text(
        toml_file(
            {
                "name": "n1",
                "settings": site,
                "overload": {},
                "ajp": {"listen": "127.0.0.1:0", "rules": rules, "servers": [{"address": "127.0.0.1:9"}]},
            }
            | ({"peers": peers} if peers else {})
        )
    )
    return str(path)


def brought_into_force(worker, change):
    worker.parts.reloading.commit(change)
    worker.parts.core.step()


class Growth(unittest.TestCase):
    """Lines run in the longest step and in the switch, which must not grow with tenants or routes."""

    def change(self, count, routes, change):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = appliance(folder.name, range(count), routes)
        worker = Worker(load(path), path)
        self.addCleanup(self.close, worker)
        worker.parts.core.step()
        change(folder.name, count, routes)
        steps, longest, lines = worker.parts.reloading.prepare_in_steps(only_new=False), 0, 0

        def count_lines(frame, event, argument):
            nonlocal lines
            lines += event == "line"
            return count_lines

        def counted(call):
            nonlocal lines
            lines, before = 0, sys.gettrace()
            sys.settrace(count_lines)
            try:
                return call()
            finally:
                sys.settrace(before)

        while True:
            try:
                counted(lambda: next(steps))
            except StopIteration as end:
                ready = end.value
                break
            longest = max(longest, lines)
        counted(lambda: brought_into_force(worker, ready))
        return worker, longest, lines

    def close(self, worker):
        for front in worker.parts.fronts:
            front.acceptor.sock.close()
        worker.parts.self_monitor.close()

    def flat(self, change, for_each=0):
        """Gives the worker of the largest size. `for_each`: lines that the switch may run for each tenant."""
        steps, switches = {}, {}
        for count, routes in ((3, 3), (2000, 130), (20_000, 1300)):
            worker, steps[count], switches[count] = self.change(count, routes, change)
        # The longest steps parse a chunk of elements, of the same length at most; what the switch takes
        # more at times is what falls due in the core. A look at each tenant would be more than either.
        self.assertLess(max(steps.values()), 12_000, steps)
        for count, lines in switches.items():
            self.assertLess(lines, 5000 + for_each * count, switches)
        return worker

    def test_one_tenant_changed_costs_the_loop_as_much_whatever_the_number_of_others(self):
        worker = self.flat(
            lambda folder, count, routes: appliance(folder, [n for n in range(count + 1) if n != 1], routes)
        )
        table = worker.parts.core.tenants
        self.assertEqual((table.position("t20000"), table.retired), (20_000, {"t1": 1}))
        self.assertEqual(len(worker.parts.core.controller.settings.tenants), 20_001)

    def test_one_route_changed_does_as_well_and_the_module_hears_nothing_of_it(self):
        worker = self.flat(lambda folder, count, routes: appliance(folder, range(count), routes + 1))
        self.assertEqual(len(worker.parts.fronts[0].config.routes), 1301)
        self.assertIs(worker.parts.core.controller.settings.tenants, worker.parts.core.tenants.by_position)

    def test_each_tenant_changed_and_a_class_too_is_a_fresh_module_that_looks_at_each_once(self):
        def change(folder, count, routes):
            base = site_settings()["Classes"]
            appliance(folder, range(count), routes, 2.0, Classes=[*base, base[0] | {"Name": "more"}])

        worker = self.flat(change, for_each=1)  # its quota, as it was at first
        self.assertEqual(worker.parts.core.controller.settings.tenants[7].quota_per_s, 2.0)
        self.assertIn("more", worker.parts.core.class_indices)


class Fleet(unittest.TestCase):
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
        self.addCleanup(Growth.close, self, worker)
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
            brought_into_force(
                worker, run_to_completion(worker.parts.reloading.prepare_in_steps(only_new=False))
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

    def test_of_tenants_rates_the_nearest_to_their_share_are_told_and_the_quiet_forgotten(self):
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


class Captured(unittest.TestCase):
    def test_a_head_of_thousands_of_tenants_in_pieces_reads_as_one_that_is_written_whole(self):
        for count in (0, 3, 70_000):
            of = tuple((f"t{n}", float(n)) for n in range(count))
            header = CaptureHeader("n1", 5, 1.0, 4, 1000.0, (("read", 1, 2, 1.0, 0.0),), of)
            parts = [encode_tenants(of[n : n + 500]) for n in range(0, count, 500)]
            data = file_prefix() + encode_header(msgspec.structs.replace(header, tenants=()), count, parts)
            self.assertEqual(list(decode_records(data, CaptureDamage())), [header])


class Appliance(WorkerTestCase):
    def begin(self, **more):
        self.site = site_settings()
        return self.start(thrift=False, ajp=True, site=self.site, **more)

    def change(self, program, names, rules=None, **changes):
        listed = [{"Name": n, "QuotaPerS": q, "Fraction": 0.5} for n, q in names.items()]
        site = self.site | {"Tenants": listed}
        front = program.appliance["ajp"] | ({"rules": rules} if rules else {})
        return toml_file(program.appliance | {"settings": site | changes, "ajp": front})

    def ask(self, web, tenant, body=b"doc", key="k"):
        web.request("POST", "/filings", {"X-Tenant": tenant, "Idempotency-Key": key}, body)

    def configuration(self, program):
        return json.loads(program.operator_call()[1])["configuration"]

    def test_a_tenant_that_goes_with_a_filing_open_is_answered_and_its_repeats_meet_the_first(self):
        program = self.begin()
        first_try, again, later = program.ajp_client(), program.ajp_client(), program.ajp_client()
        self.assertTrue(again.cping() and later.cping())  # a new connection may not stay silent
        self.ask(first_try, "acme")
        _, _, respond = program.server.next_request()
        said = program.reload("ajp.toml", self.change(program, {"other": 5.0}))
        self.assertEqual(said["version"], self.configuration(program)["version"])
        figures = program.operator_call(path="/status/metrics")[1]
        self.assertIn(f'app_conf_info{{version="{said["version"]}"}} 1', figures)
        self.ask(again, "acme")  # while it runs
        self.assertEqual(later.call("GET", "/reads/1", {"X-Tenant": "acme"})[0], 400)
        self.ask(later, "acme", key="new")
        self.assertEqual(later.answer()[0], 400)
        self.ask(later, "acme", b"other")  # the same key, and another filing
        self.assertEqual(later.answer()[0], 422)
        respond(data=b"filed")
        self.assertEqual([web.answer()[2] for web in (first_try, again)], [b"filed", b"filed"])
        self.ask(again, "acme")  # and once it has
        self.assertEqual(again.answer()[2], b"filed")
        # Back again under its name, with no quota: it is known, and its filing too.
        program.reload("ajp.toml", self.change(program, {"other": 5.0, "acme": 0.0}))
        self.ask(later, "acme")
        self.assertEqual(later.answer()[2], b"filed")
        self.ask(later, "acme", key="new")
        program.server.next_request().respond(data=b"new")
        self.assertEqual(later.answer()[2], b"new")
        self.assertTrue(program.server.received.empty())
        self.assertEqual(program.logged("settings_changed"), [])  # nothing open was told anew

    def test_a_route_that_shadows_another_and_a_class_and_a_tenant_in_one_change(self):
        program = self.begin()
        old, new = program.ajp_client(), program.ajp_client()
        self.assertTrue(new.cping())  # a new connection may not stay silent
        old.request(uri="/reads/1", headers={"X-Tenant": "acme"})
        respond = program.server.next_request().respond
        classes = [*self.site["Classes"], self.site["Classes"][0] | {"Name": "more"}]
        rules = [{"uri": "/reads/*", "class": "more"}, *program.appliance["ajp"]["rules"]]
        program.reload("ajp.toml", self.change(program, {"zeta": 1.0, "acme": 1.0}, rules, Classes=classes))
        new.request(uri="/reads/1", headers={"X-Tenant": "zeta"})
        program.server.next_request().respond(data=b"by the new")
        self.assertEqual(new.answer()[2], b"by the new")
        respond(data=b"by the old")
        self.assertEqual(old.answer()[2], b"by the old")
        program.wait_for(lambda status: status["in_hand"] == "0")
        self.assertEqual([program.metric("answered_total", c) for c in ("read", "more")], [1, 1])

    def test_ten_orders_at_once_leave_the_newest_in_force_and_as_many_readings_at_most(self):
        program = self.begin()
        for n in range(10):
            new = program.write_file("new", self.change(program, {f"v{n}": 1.0}))
            os.replace(new, Path(program.folder.name, "ajp.toml"))
            program.process.send_signal(signal.SIGHUP)
        web, until = program.ajp_client(), time.monotonic() + WAIT_LIMIT_S
        while (
            web.call("GET", "/none", {"X-Tenant": "v9"})[0] != 404
            or self.configuration(program)["reading"]
            or not self.known(program, "v9")
        ):
            self.assertLess(time.monotonic(), until)
        self.assertFalse(self.known(program, "v8"))
        self.assertIn(program.metric("conf_loaded_total"), range(1, 11))
        self.assertEqual(program.metric("conf_invalid_total"), 0)

    def known(self, program, tenant):
        """Its filing gets past the reader, to be told that it has no key."""
        web = program.ajp_client()
        web.request("POST", "/filings", {"X-Tenant": tenant}, b"doc")
        body = web.answer()[2]
        web.close()
        return b"needs a key" in body

    def test_changes_of_tenants_and_of_routes_begin_no_new_file_of_the_capture_and_others_do(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        program = self.begin(capture={"folder": folder.name})

        def files():
            return len(list(Path(folder.name).iterdir()))

        rules = [{"uri": "/more/*", "class": "read"}]
        for content in (self.change(program, {"other": 1.0}), self.change(program, {"other": 1.0}, rules)):
            program.reload("ajp.toml", content)
        base = self.site["Classes"]
        more = [*base, base[0] | {"Name": "more"}]
        program.reload("ajp.toml", self.change(program, {"other": 1.0}, rules, Classes=more))
        until = time.monotonic() + WAIT_LIMIT_S
        while files() < 2:  # another thread writes them, in the order in which they were begun
            self.assertLess(time.monotonic(), until)
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual((program.wait_for_exit(), files()), (0, 2))

    def test_a_change_while_the_store_still_opens_is_in_force_and_what_is_on_record_is_known(self):
        folder = tempfile.TemporaryDirectory(dir=MEMORY_FOLDER)
        self.addCleanup(folder.cleanup)
        state, shut = {"folder": str(Path(folder.name, "state"))}, Path(folder.name, "shut")
        program = self.begin(state=state)
        web = program.ajp_client()
        self.ask(web, "acme")
        program.server.next_request().respond(data=b"filed")
        self.assertEqual(web.answer()[2], b"filed")
        program.process.send_signal(signal.SIGTERM)
        web.close()
        self.assertEqual(program.wait_for_exit(), 0)
        shut.touch()
        program = self.begin(state=state, fault=OPENS_ONCE.format(str(shut)))
        said = program.reload("ajp.toml", self.change(program, {"other": 5.0}))
        self.assertFalse(json.loads(program.operator_call()[1])["store"]["open"])
        self.assertEqual(said["version"], self.configuration(program)["version"])
        shut.unlink()
        program.wait_for(lambda status: "'open': True" in status["store"])
        web = program.ajp_client()
        self.ask(web, "acme")  # gone, and on record
        self.assertEqual(web.answer()[2], b"filed")
        self.ask(web, "acme", key="new")
        self.assertEqual(web.answer()[0], 400)
        self.ask(web, "other")
        program.server.next_request().respond(data=b"of the other")
        self.assertEqual(web.answer()[2], b"of the other")

    def test_a_reading_that_runs_out_of_memory_changes_nothing_is_told_of_and_can_be_ordered_again(self):
        program = self.begin(fault=RUNS_OUT)
        before = self.configuration(program)
        web = program.ajp_client()
        web.request(headers={"X-Tenant": "acme"})
        program.process.send_signal(signal.SIGHUP)
        program.wait_until_logged("task_fault")
        after = self.configuration(program)
        self.assertEqual(
            (after["version"], after["last"], after["reading"]), (before["version"], "turned down", False)
        )
        self.assertEqual(program.metric("conf_invalid_total"), 1)
        program.server.next_request().respond(data=b"as before")
        self.assertEqual(web.answer()[2], b"as before")
        said = program.reload("ajp.toml", self.change(program, {"other": 1.0}))
        self.assertEqual(self.configuration(program)["version"], said["version"])

    def test_many_changes_leave_the_memory_as_it_was(self):
        program = self.begin()
        sizes = []
        for n in range(60):
            names = {f"tenant {k}": 1.0 for k in range(1000) if k != n} | {f"only {n}": 1.0}
            program.reload("ajp.toml", self.change(program, names))
            pages = Path(f"/proc/{program.process.pid}/statm").read_text().split()[1]
            sizes.append(int(pages) * os.sysconf("SC_PAGE_SIZE"))
        self.assertLess(sizes[-1] - max(sizes[5:20]), 1 << 20, sizes)


class Platform(WorkerTestCase):
    def content(self, program, **changes):
        return json.dumps(program.config | {"settings": site_settings(**changes)})

    def replace(self, program, content):
        os.replace(program.write_file("new", content), Path(program.folder.name, "config.json"))
        program.process.send_signal(signal.SIGHUP)

    def test_a_change_before_the_kernel_is_up_is_in_force_once_it_is(self):
        program = self.start(boot=False)
        said = program.reload(
            "config.json",
            self.content(program, Tenants=[{"Name": "later", "QuotaPerS": 1.0, "Fraction": 1.0}]),
        )
        program.kernel.boots = True
        program.kernel.drop_connections()
        program.kernel.opened.get(timeout=WAIT_LIMIT_S)
        program.wait_for(lambda status: status["state"] == "up")
        program.serve_one(program.thrift_router(), acct="later")
        status = json.loads(program.operator_call()[1])["configuration"]
        self.assertEqual((status["version"], status["last"]), (said["version"], "taken"))

    def test_tenants_that_go_stay_known_to_the_thrift_front_and_no_module_is_made_for_it(self):
        program = self.start()
        router = program.thrift_router()
        filing = router.invoke("filing", b"doc", token="t")
        rid = program.kernel.next_run().request_id
        program.reload(
            "config.json",
            self.content(program, Tenants=[{"Name": "other", "QuotaPerS": 1.0, "Fraction": 1.0}]),
        )
        again = router.invoke("filing", b"doc", token="t", again="1")
        program.serve_one(router, acct="other")
        program.kernel.reap(rid, body=b"filed")
        self.assertEqual([router.answer(n)[2] for n in (filing, again)], [b"filed", b"filed"])
        self.assertEqual(program.logged("settings_changed"), [])

    def test_an_order_is_for_the_process_that_decides(self):
        old = self.start()
        old.thrift_router().invoke("filing", b"doc", token="t")  # which keeps it from ending meanwhile
        old.kernel.next_run()
        version = json.loads(old.operator_call()[1])["configuration"]["version"]
        new = self.start(before=old)
        new.wait_until_took_over()
        self.replace(old, self.content(old, Tenants=[{"Name": "new", "QuotaPerS": 1.0, "Fraction": 1.0}]))
        new.process.send_signal(signal.SIGHUP)
        new.wait_for(lambda status: "'last': 'taken'" in status["configuration"])
        configuration = json.loads(old.operator_call()[1])["configuration"]
        self.assertEqual((configuration["version"], configuration["last"]), (version, "start"))


class Crowded(unittest.TestCase):
    def test_places_of_the_gone_are_given_up_but_for_those_with_a_filing_known(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = appliance(folder.name, range(MIN_RETIRED_PLACES + 50), 1)
        worker = Worker(load(path), path)
        self.addCleanup(Growth.close, self, worker)
        owner, reloading = worker.parts.core, worker.parts.reloading
        owner.step()
        owner.idempotency.run_started(("t40", "filing", "key"), "first", owner.clock() + 60 * 10**9, None)
        module = owner.controller

        def change(numbers):
            appliance(folder.name, numbers, 1)
            brought_into_force(worker, run_to_completion(reloading.prepare_in_steps(only_new=False)))
            return sorted(owner.tenants.retired)

        # Of those that go in one change, one more request may have been read: they stay until the next.
        self.assertEqual(len(change(range(3))), MIN_RETIRED_PLACES + 47)
        self.assertIsNot(owner.controller, module)
        self.assertEqual(change(range(3)), ["t40"])
        self.assertEqual([t.name for t in owner.controller.settings.tenants], ["t0", "t1", "t2", "t40"])
        module = owner.controller
        self.assertEqual(change([0, 40]), ["t1", "t2"])  # few are gone: the module stays
        self.assertIs(owner.controller, module)
        self.assertEqual(owner.tenants["t40"], 3)


class Standing(unittest.TestCase):
    """While the core's state is on its way to another process, which may still say no."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = appliance(folder.name, range(3), 1)
        self.worker = Worker(load(path), path)
        self.addCleanup(Growth.close, self, self.worker)
        self.worker.parts.core.step()
        self.worker.parts.core.freeze()
        self.worker.parts.loop.spawn(self.worker.parts.core.run)
        appliance(folder.name, range(4), 1)
        self.worker.parts.reloading.request_reload()

    def run_until(self, done):
        """The loop; whether it was done in time."""
        loop, seen = self.worker.parts.loop, []

        def look():
            if done():
                seen.append(True)
                return loop.stop()
            loop.call_later(0.01, look)

        look()
        loop.call_later(WAIT_LIMIT_S, loop.stop)
        loop.run()
        loop.stopped = False
        return bool(seen)

    def prepared(self):
        """All that is left is the switch."""
        rounds = []
        self.assertTrue(self.run_until(lambda: rounds.append(1) or len(rounds) > 20))
        self.assertEqual(
            (self.worker.parts.reloading.reading, len(self.worker.parts.core.tenants)), (True, 3)
        )

    def test_a_change_waits_until_that_is_over_and_is_then_in_force(self):
        self.prepared()
        self.worker.parts.core.thaw()
        self.assertTrue(self.run_until(lambda: not self.worker.parts.reloading.reading))
        self.assertEqual(
            (len(self.worker.parts.core.tenants), self.worker.parts.reloading.status.outcome), (4, "taken")
        )

    def test_once_the_other_process_decides_nothing_is_taken_and_no_order_kept(self):
        self.prepared()
        reloading, rounds = self.worker.parts.reloading, []
        reloading.request_reload()  # one more, which came before
        self.worker.parts.core.hand_over(lambda line: True, None)
        self.assertTrue(self.run_until(lambda: not reloading.reading))
        self.worker.parts.loop.observe_iterations(lambda took, late: rounds.append(took))
        until = time.monotonic() + 0.05
        self.assertTrue(self.run_until(lambda: time.monotonic() > until))
        self.assertLess(len(rounds), 100)  # it has nothing to do but what is looked at now and then
        self.assertFalse(reloading.reading)
        self.assertEqual((len(self.worker.parts.core.tenants), reloading.status.outcome), (3, "start"))


if __name__ == "__main__":
    unittest.main()
