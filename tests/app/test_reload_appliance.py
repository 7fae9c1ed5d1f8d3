"""Changes of tenants and routes under a running appliance."""

import json
import os
import signal
import tempfile
import time
from pathlib import Path

from ochrehoist.lab.toml import toml_file
from tests.support.environment import MEMORY_FOLDER, WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase

OPENS_ONCE = """
import os, time
from ochrehoist.store.folder_session import FolderSession
opened = FolderSession.open
def waits(self, *arguments):
    while os.path.exists({!r}):
        time.sleep(0.005)
    return opened(self, *arguments)
FolderSession.open = waits
"""  # the disk does not answer as long as there is a file of this name

RUNS_OUT = """
from ochrehoist.config import loader as config
whole, failed = config.load_in_steps, []
def runs_out(*arguments, active_config=None, **more):
    steps = whole(*arguments, active_config=active_config, **more)
    if active_config is not None and not failed:
        failed.append(next(steps, None))
        yield
        raise MemoryError
    return (yield from steps)
config.load_in_steps = runs_out
"""  # in the middle of the first reading after the start


class ApplianceReloadTest(WorkerTestCase):
    """An appliance with requests open at each change."""

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

    def test_a_removed_tenant_with_a_filing_open_is_answered_and_its_retries_join_the_first(self):
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

    def test_ten_reloads_at_once_leave_the_newest_in_force_with_at_most_as_many_readings(self):
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

    def test_changes_of_tenants_and_routes_start_no_new_capture_file_and_others_do(self):
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

    def test_a_change_while_the_store_opens_is_in_force_and_recorded_filings_are_known(self):
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

    def test_a_reading_that_runs_out_of_memory_changes_nothing_is_logged_and_can_be_retried(self):
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
