"""A filing that ran is known again whatever the file in force says of its class, tenant and headers."""

import copy
import json
import signal

from ochrehoist.lab.toml import toml_file
from tests.store.worker_state_case import WorkerStateTestCase
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase

READS = {"uri": "/reads/*", "class": "read"}
FILING = ("POST", "/filings/7", {"X-Tenant": "acme", "Idempotency-Key": "k"}, b"doc")
UNSTATED = ("POST", "/filings/7", {"Idempotency-Key": "k"}, b"doc")


def rules(filings_class):
    """Returns the rules, with another class for filings."""
    return [READS, {"uri": "/filings*", "methods": ["POST"], "class": filings_class}]


def settings_with(name, **changes):
    """Returns the settings with the class of filings under another name, or changed."""
    site = copy.deepcopy(site_settings())
    site["Classes"][1] |= {"Name": name} | changes
    return site


class AjpIdentityTestCase(WorkerTestCase):
    """An appliance whose file changes between two attempts of a filing."""

    def file(self, program, site=None, **front):
        """Returns the text of the program's file with other settings and another front."""
        appliance = program.appliance | ({"settings": site} if site else {})
        return toml_file(appliance | {"ajp": appliance["ajp"] | front})

    def change(self, program, *arguments, **front):
        program.reload("ajp.toml", self.file(program, *arguments, **front))

    def run_filing(self, program, filing=FILING):
        client = program.ajp_client()
        client.request(*filing)
        program.server.next_request().respond(201, b"filed")
        self.assertEqual(client.answer()[::2], (201, b"filed"))

    def assert_known(self, program, filing=FILING):
        self.assertEqual(program.ajp_client().call(*filing)[::2], (201, b"filed"))
        self.assertTrue(program.server.received.empty())


class ReloadTest(AjpIdentityTestCase):
    """Guards against a second run of a filing that is repeated over AJP after a reload."""

    def start(self, **options):
        return super().start(thrift=False, ajp=True, **options)

    def test_a_class_that_is_renamed_with_its_rule(self):
        program = self.start()
        self.run_filing(program)
        self.change(program, settings_with("filing-2027"), rules=rules("filing-2027"))
        self.assert_known(program)
        self.assertEqual(program.ajp_client().call(*FILING[:3], b"other")[0], 422)
        self.change(program)  # and back again
        self.assert_known(program)

    def test_a_class_that_is_renamed_while_the_filing_waits_and_runs(self):
        program = self.start()
        running = [program.ajp_client() for _ in range(2)]
        for client in running:  # both cores are busy, so that the filing waits
            client.request()
        responds = [program.server.next_request().respond for _ in running]
        first, second, third = (program.ajp_client() for _ in range(3))
        first.request(*FILING)
        program.wait_for(lambda status: status["in_hand"] == "3")
        self.change(program, settings_with("filing-2027"), rules=rules("filing-2027"))
        second.request(*FILING)
        program.wait_for(lambda status: status["in_hand"] == "4")
        for respond in responds:
            respond()
        respond = program.server.next_request().respond
        third.request(*FILING)
        program.wait_for(lambda status: status["in_hand"] == "3")
        respond(201, b"filed")
        for client in (first, second, third):
            self.assertEqual(client.answer()[::2], (201, b"filed"))
        self.assertTrue(program.server.received.empty())

    def test_a_rule_that_gives_filings_a_class_without_keys(self):
        program = self.start()
        self.run_filing(program)
        self.change(program, rules=rules("read"))
        self.assert_known(program)
        client = program.ajp_client()  # the key of an earlier filing means nothing for another target
        client.request("POST", "/filings/8", FILING[2], b"doc")
        program.server.next_request().respond(data=b"read")
        self.assertEqual(client.answer()[2], b"read")

    def test_a_class_that_loses_its_keys(self):
        program = self.start()
        self.run_filing(program)
        site = settings_with("filing", Repeat="idempotent")
        del site["Classes"][1]["Window"]
        self.change(program, site)
        response = program.ajp_client().call(*FILING)
        self.assertTrue(program.server.received.empty())
        self.assertNotEqual(response[0], 503)  # which would say that it never ran

    def test_a_default_tenant_that_is_set_changed_and_removed(self):
        site = site_settings(
            Tenants=[{"Name": name, "QuotaPerS": 50.0, "Fraction": 0.5} for name in ("acme", "other")]
        )
        program = self.start(site=site)
        self.run_filing(program, UNSTATED)
        for front in ({"default_tenant": "acme"}, {"default_tenant": "other"}, {}):
            self.change(program, **front)
            self.assert_known(program, UNSTATED)

    def test_headers_that_are_renamed(self):
        program = self.start()
        self.run_filing(program)
        for headers in ({"tenant": "X-Account"}, {"key": "X-Key"}, {"tenant": "X-Account", "key": "X-Key"}):
            with self.subTest(headers=headers):
                self.change(program, headers=headers)
                self.assert_known(program)

    def test_another_target_with_the_same_key_in_another_class_is_another_filing(self):
        program = self.start()
        self.run_filing(program)
        self.change(program, settings_with("filing-2027"), rules=rules("filing-2027"))
        client = program.ajp_client()
        client.request("POST", "/filings/8", FILING[2], b"doc")
        program.server.next_request().respond(201, b"another")
        self.assertEqual(client.answer()[::2], (201, b"another"))

    def test_the_same_key_of_another_tenant_is_another_filing(self):
        site = site_settings(
            Tenants=[{"Name": name, "QuotaPerS": 50.0, "Fraction": 0.5} for name in ("acme", "other")]
        )
        program = self.start(site=site)
        self.run_filing(program)
        self.change(
            program, settings_with("filing-2027") | {"Tenants": site["Tenants"]}, rules=rules("filing-2027")
        )
        client = program.ajp_client()
        client.request(*FILING[:2], FILING[2] | {"X-Tenant": "other"}, b"doc")
        program.server.next_request().respond(201, b"another")
        self.assertEqual(client.answer()[::2], (201, b"another"))


class BothFrontsTest(AjpIdentityTestCase):
    """Guards against a second run of a filing whose attempts use both fronts around a change."""

    def test_a_filing_that_ran_for_thrift_is_known_over_ajp_once_its_class_is_renamed(self):
        program = self.start(ajp=True)
        router = program.thrift_router()
        sequence_id = router.invoke("filing", b"doc", token="k")
        program.kernel.reap(program.kernel.next_run().request_id, body=b"filed")
        self.assertEqual(router.answer(sequence_id)[2], b"filed")
        config = program.config | {"settings": settings_with("filing-2027")}
        program.write_file(
            "ajp.toml", self.file(program, settings_with("filing-2027"), rules=rules("filing-2027"))
        )
        program.reload("config.json", json.dumps(config))
        self.assertEqual(program.ajp_client().call(*FILING)[::2], (200, b"filed"))
        self.assertTrue(program.server.received.empty())

    def test_a_filing_over_thrift_whose_class_loses_its_keys_is_not_run_again(self):
        program = self.start()
        router = program.thrift_router()
        sequence_id = router.invoke("filing", b"doc", token="k")
        program.kernel.reap(program.kernel.next_run().request_id, body=b"filed")
        self.assertEqual(router.answer(sequence_id)[2], b"filed")
        site = settings_with("filing", Repeat="idempotent")
        del site["Classes"][1]["Window"]
        program.reload("config.json", json.dumps(program.config | {"settings": site}))
        self.assertNotEqual(router.call("filing", b"doc", token="k")[0], "Throttled")
        self.assertFalse(program.kernel.runs)


class ReplacementTest(AjpIdentityTestCase):
    """Guards against a second run at a process that replaces another one and has another file."""

    def test_a_class_that_the_new_process_has_under_another_name(self):
        old = self.start(thrift=False, ajp=True)
        self.run_filing(old)
        file = self.file(old, settings_with("filing-2027"), rules=rules("filing-2027"))
        new = self.start(thrift=False, ajp=True, before=old, server=old.server, appliance=file)
        new.wait_until_took_over()
        old.process.send_signal(signal.SIGTERM)
        self.assert_known(new)


class RestartTest(AjpIdentityTestCase, WorkerStateTestCase):
    """Guards against a second run after a restart with another file, from what is on disk."""

    def test_a_class_that_has_another_name_after_a_kill(self):
        first = WorkerStateTestCase.start(self, site=site_settings(), state={"stall_ms": 10_000})
        self.run_filing(first)
        self.wait_for_operations(first, 2)  # the intent and the result
        self.kill(first)
        file = self.file(first, settings_with("filing-2027"), rules=rules("filing-2027"))
        second = WorkerStateTestCase.start(self, appliance=file, server=first.server)
        second.wait_for(lambda _: bool(second.logged("store_opened")))
        self.assert_known(second)
