"""SIGHUP: the configuration is read again under load, and nothing that was begun is lost by it."""

import json
import unittest

from stand_ins import PATIENCE, AjpServer, Kernel, Members, Program, toml_file

BAD = "configuration can't be used, the old one stays"


class Platform(unittest.TestCase):
    def setUp(self):
        self.program = Program()
        self.addCleanup(self.program.close)

    def move(self, old, **changes):
        """A new kernel that knows what the old one noticed; the old one's link goes silent but stays open."""
        kernel, members = Kernel(old.notices), Members()
        self.addCleanup(kernel.close)
        self.addCleanup(members.close)
        old.refuse()
        new = self.program.config | {"kernel": kernel.address, "members": members.address} | changes
        said = self.program.reload("config.json", json.dumps(new))
        self.assertEqual(kernel.opened.get(timeout=PATIENCE), 1)
        members.wait_for("UP")
        return kernel, said

    def test_runs_keys_offset_and_connections_go_on_over_two_moves_with_a_bad_file_between(self):
        router, first = self.program.thrift(), self.program.kernel
        done = router.invoke("filing", b"done", token="t0")
        first.reap(first.next()[0], body=b"before")
        self.assertEqual(router.answer(done)[2], b"before")
        filing, read = router.invoke("filing", b"doc", token="t1"), router.invoke(body=b"read")
        runs = {body: rid for rid, _, body in (first.next(), first.next())}
        second, _ = self.move(first)
        for bad in ("{", "[]", json.dumps(self.program.config | {"kernel": "nowhere"})):
            self.assertIn("setting", self.program.reload("config.json", bad, BAD)["why"])
        second.reap(runs[b"doc"], body=b"filed", say=False)  # told on the next link
        third, said = self.move(second, name="n2", stop_ms=9)
        self.assertEqual(said["needs_a_restart"], ["name", "stop_ms"])
        self.assertEqual(router.answer(filing), ("Answer", {}, b"filed"))
        self.assertEqual(router.call("filing", b"done", token="t0", again="1"), ("Answer", {}, b"before"))
        third.reap(runs[b"read"], body=b"served")
        self.assertEqual(router.answer(read), ("Answer", {}, b"served"))
        self.assertNotIn(b"doc", [body for _, _, body in (*second.scheduled.queue, *third.scheduled.queue)])


class Appliance(unittest.TestCase):
    def test_servers_and_rules_change_while_a_request_runs_on_the_old_server(self):
        program = Program(thrift=False, ajp=True)
        self.addCleanup(program.close)
        other = AjpServer()
        self.addCleanup(other.close)
        client, late = program.ajp(), program.ajp()
        client.request()
        _, _, respond = program.server.next()
        whole = program.appliance
        front = whole["ajp"] | {"servers": [{"address": other.address}], "listen": "127.0.0.1:1",
                                "rules": [{"uri": "/new/*", "class": "read"}]}
        self.assertEqual(program.reload("ajp.toml", toml_file(whole | {"ajp": front}))["needs_a_restart"],
                         ["ajp.listen"])
        late.request(uri="/new/1")
        other.next()[2](data=b"by the new server")
        self.assertEqual(late.answer()[2], b"by the new server")
        self.assertEqual(late.call()[0], 404)
        respond(data=b"by the old one")
        self.assertEqual(client.answer()[2], b"by the old one")


if __name__ == "__main__":
    unittest.main()
