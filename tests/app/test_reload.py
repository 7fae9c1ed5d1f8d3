"""SIGHUP: the configuration is read again under load, and nothing that was begun is lost by it."""

import json
import signal
import unittest

from ochrehoist.lab.toml import toml_file
from tests.stand_ins.ajp_server import AjpServer
from tests.stand_ins.kernel import Kernel
from tests.stand_ins.membership_service import MembershipService
from tests.support.environment import MS, WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase

BAD = "config_invalid"


class PlatformReloadTest(WorkerTestCase):
    """A worker of the platform whose kernel moves."""

    def setUp(self):
        self.program = self.start()

    def move(self, old, **changes):
        """A new kernel that knows what the old one noticed; the old one's link goes silent but stays open."""
        kernel, members = Kernel(old), MembershipService()
        self.addCleanup(kernel.close)
        self.addCleanup(members.close)
        old.refuse()
        new = self.program.config | {"kernel": kernel.address, "members": members.address} | changes
        said = self.program.reload("config.json", json.dumps(new))
        self.assertEqual(kernel.opened.get(timeout=WAIT_LIMIT_S), 1)
        members.wait_for("UP")
        return kernel, said

    def test_runs_keys_offset_and_connections_go_on_over_two_moves_with_a_bad_file_between(self):
        router, first = self.program.thrift_router(), self.program.kernel
        done = router.invoke("filing", b"done", token="t0")
        first.reap(first.next_run().request_id, body=b"before")
        self.assertEqual(router.answer(done)[2], b"before")
        filing, read = router.invoke("filing", b"doc", token="t1"), router.invoke(body=b"read")
        runs = {body: rid for rid, _, body in (first.next_run(), first.next_run())}
        second, _ = self.move(first)
        for bad in ("{", "[]", json.dumps(self.program.config | {"kernel": "nowhere"})):
            self.assertIn("setting", self.program.reload("config.json", bad, BAD)["reason"])
        second.reap(runs[b"doc"], body=b"filed", send=False)  # told on the next link
        third, said = self.move(second, name="n2", stop_ms=9)
        self.assertEqual(said["restart_keys"], ["name", "stop_ms"])
        self.assertEqual(router.answer(filing), ("Answer", {}, b"filed"))
        self.assertEqual(router.call("filing", b"done", token="t0", again="1"), ("Answer", {}, b"before"))
        third.reap(runs[b"read"], body=b"served")
        self.assertEqual(router.answer(read), ("Answer", {}, b"served"))
        self.assertNotIn(b"doc", [body for _, _, body in (*second.scheduled.queue, *third.scheduled.queue)])


def site(*classes):
    """Settings with these classes; each is (name, deadline in ms, changes)."""
    base = site_settings()
    read, filing = base["Classes"]
    base["Classes"] = [
        (filing if "Window" in more else read) | {"Name": name, "Deadline": deadline * MS} | more
        for name, deadline, more in classes
    ]
    return base


KEYED = {"Window": 20_000 * MS}


class SettingsReloadTest(WorkerTestCase):
    """New classes, bad files, and changes on standby and in replacements."""

    def setUp(self):
        self.program = self.start()
        self.kernel = self.program.kernel

    def reload(self, site, event="settings_changed"):
        return self.program.reload("config.json", json.dumps(self.program.config | {"settings": site}), event)

    def test_classes_come_and_go_while_open_requests_and_keys_stay(self):
        router = self.program.thrift_router()
        done = router.invoke("filing", b"done", token="t0")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"before")
        router.answer(done)
        running, read = router.invoke("filing", b"doc", token="t1"), router.invoke(body=b"read")
        runs = {body: rid for rid, _, body in (self.kernel.next_run(), self.kernel.next_run())}
        joined = router.invoke("filing", b"doc", token="t1", again="1")
        held = router.invoke("filing", b"held", token="t2")  # two cores, both taken
        router.ping()
        self.assertEqual(
            self.reload(site(("new", 1500, KEYED), ("read", 1700, {})))["removed_classes"], ["filing"]
        )
        # Of a class that is gone, what ran is answered for its whole window, and nothing else is begun.
        self.assertEqual(router.call("filing", b"done", token="t0", again="1"), ("Answer", {}, b"before"))
        self.assertEqual(router.call("filing", b"other", token="t0", again="1")[0], "Broken")
        self.assertEqual(router.call("filing", b"late", token="t9")[0], "Throttled")
        again = router.invoke("filing", b"doc", token="t1", again="1")
        for body in (b"read", b"doc"):
            self.kernel.reap(runs[body], body=b"made of " + body)
        rid, method, body = self.kernel.next_run()
        self.assertEqual((method, body), ("filing", b"held"))  # open: it keeps its class
        self.kernel.reap(rid, body=b"made of held")
        for number, body in (
            (running, b"doc"),
            (joined, b"doc"),
            (again, b"doc"),
            (read, b"read"),
            (held, b"held"),
        ):
            self.assertEqual(router.answer(number), ("Answer", {}, b"made of " + body))
        fresh = router.invoke("new", b"doc", token="t1")  # another class: another filing
        rid, method, _ = self.kernel.next_run()
        self.assertEqual(method, "new")
        self.kernel.reap(rid, body=b"new")
        self.assertEqual(router.answer(fresh)[2], b"new")
        self.reload(site(("filing", 1800, KEYED), ("read", 1700, {})))
        self.assertEqual(router.call("filing", b"doc", token="t1", again="1"), ("Answer", {}, b"made of doc"))
        self.assertEqual(router.call("new", b"doc", token="t1", again="1"), ("Answer", {}, b"new"))
        for group, counts in (("filing", [7, 3]), ("new", [2, 1])):
            names = ("answered_total", "sends_total")
            self.assertEqual([self.program.metric(name, group) for name in names], counts)
        self.assertEqual(self.program.metric("conf_loaded_total"), 2)

    def test_a_file_that_is_not_whole_and_good_changes_nothing_and_is_counted(self):
        whole = self.program.config | {"settings": site(("new", 1500, {}))}
        text = json.dumps(whole)
        bad = ["", text[: len(text) // 2], text[:-1], "null"]
        bad.extend(json.dumps({k: v for k, v in whole.items() if k != key}) for key in whole)
        for key in whole["settings"]:
            lacking = {k: v for k, v in whole["settings"].items() if k != key}
            bad.append(json.dumps(whole | {"settings": lacking}))
        for key in ("Name", "Slo", "Deadline", "Gain", "Repeat"):
            changed = site(("new", 1500, {}))
            del changed["Classes"][0][key]
            bad.append(json.dumps(whole | {"settings": changed}))
        deadlines = (0, -1, True, "1500000000", None, [], float("nan"), float("inf"))
        bad.extend(json.dumps(whole | {"settings": site(("new", 1, {"Deadline": at}))}) for at in deadlines)
        bad.append(json.dumps(whole | {"settings": site(("new", 1500, {}), ("new", 1500, {}))}))
        for content in bad:
            with self.subTest(content[:60]):
                self.assertIn("setting", self.program.reload("config.json", content, BAD)["reason"])
        self.assertEqual(self.program.metric("conf_invalid_total"), len(bad))
        self.assertEqual(self.program.metric("conf_loaded_total"), 0)
        router = self.program.thrift_router()
        self.assertEqual(router.call("new")[0], "Exception")
        seqid = router.invoke(body=b"as before")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"served")
        self.assertEqual(router.answer(seqid)[2], b"served")

    def test_settings_change_on_standby_and_after_the_shutdown_notice_and_neither_state_is_undone(self):
        router = self.program.thrift_router()
        self.program.operator_call("POST", "/standby")
        self.reload(site(("read", 1700, {}), ("new", 1500, {})))
        router.ping()
        self.assertFalse(router.good)
        seqid = router.invoke("new", b"new")
        rid = self.kernel.next_run().request_id
        self.program.process.send_signal(signal.SIGTERM)
        self.program.wait_for(lambda status: status["state"] == "leaving")
        self.reload(site(("read", 1600, {})))
        router.ping()
        self.assertFalse(router.good)
        self.kernel.reap(rid, body=b"served")
        self.assertEqual(router.answer(seqid)[2], b"served")
        router.close()
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_a_process_that_took_over_takes_new_settings_and_keeps_the_old_ones_requests(self):
        old = self.program
        router = old.thrift_router()
        running = router.invoke("filing", b"doc", token="t")
        rid = old.kernel.next_run().request_id
        new = self.start(before=old)
        new.wait_until_took_over()
        old.process.send_signal(signal.SIGTERM)
        without = json.dumps(new.config | {"settings": site(("read", 1700, {}))})
        new.reload("config.json", without, "settings_changed")
        late = router.invoke("filing", b"doc", token="t", again="1")  # to the old one; its class is gone
        other = router.invoke("filing", b"other", token="u")
        self.assertEqual(router.answer(other)[0], "Throttled")
        old.kernel.reap(rid, body=b"filed")
        self.assertEqual([router.answer(n)[2] for n in (running, late)], [b"filed", b"filed"])


ORDERS = (signal.SIGHUP, signal.SIGTERM)


def ignored():
    """As nohup leaves SIGHUP to what it starts."""
    for number in ORDERS:
        signal.signal(number, signal.SIG_IGN)


def blocked():
    signal.pthread_sigmask(signal.SIG_BLOCK, ORDERS)


class Inherited(WorkerTestCase):
    """Whole days were served on the first configuration where the bench had been started by nohup."""

    def test_signals_inherited_as_ignored_or_blocked_are_handled(self):
        for inherits in (ignored, blocked):
            with self.subTest(inherits.__name__):
                program = self.start(inherits=inherits)
                new = json.dumps(program.config | {"settings": site(("new", 1500, {}))})
                program.reload("config.json", new)  # whether the kernel is up yet or not
                program.process.send_signal(signal.SIGTERM)
                self.assertEqual(program.wait_for_exit(), 0)


class ApplianceReloadTest(WorkerTestCase):
    """An appliance whose servers and routes change."""

    def test_servers_and_rules_change_while_a_request_runs_on_the_old_server(self):
        program = self.start(thrift=False, ajp=True)
        other = AjpServer()
        self.addCleanup(other.close)
        client, late = program.ajp_client(), program.ajp_client()
        self.assertTrue(late.cping())  # a new connection may not stay silent
        client.request()
        _, _, respond = program.server.next_request()
        whole = program.appliance
        front = whole["ajp"] | {
            "servers": [{"address": other.address}],
            "listen": "127.0.0.1:1",
            "rules": [{"uri": "/new/*", "class": "read"}],
        }
        self.assertEqual(
            program.reload("ajp.toml", toml_file(whole | {"ajp": front}))["restart_keys"], ["ajp.listen"]
        )
        late.request(uri="/new/1")
        other.next_request().respond(data=b"by the new server")
        self.assertEqual(late.answer()[2], b"by the new server")
        self.assertEqual(late.call()[0], 404)
        respond(data=b"by the old one")
        self.assertEqual(client.answer()[2], b"by the old one")


if __name__ == "__main__":
    unittest.main()
