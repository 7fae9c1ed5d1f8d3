"""A change of configuration with hundreds of requests open."""

import json
import re
import signal
import threading
from collections import Counter

from ochrehoist.lab.toml import toml_file
from tests.app.reload_case import FILINGS, OPEN, READS, TENANTS, Changes, site
from tests.stand_ins.ajp_server import AjpServer
from tests.support.environment import MS, WAIT_LIMIT_S


class Open(Changes):
    """Requests are open, more than a few, while a change comes."""

    def opened(self, program, server):
        """So many clients, each with a request that runs, or is held until another ends."""
        webs = []
        for n in range(OPEN):
            webs.append(program.ajp_client())
            webs[-1].request("GET", f"/reads/{n}", {"X-Tenant": f"t{n}"})
            if n % 25 == 24:  # no more at once than may wait to be accepted by the server
                program.wait_for(lambda status, n=n: status["in_hand"] == str(n + 1))
                running = int(json.loads(program.operator_call()[1])["running"])
                self.wait(lambda running=running: server.received.qsize() >= running)
        return webs

    def answer(self, webs, server):
        """Each is answered once. What ran, ran once, and its answer is its own; of those held some may be
        turned away, but then they never run."""
        running, ran = server.received.qsize(), Counter()
        self.assertGreater(running, OPEN // 2)

        def serve():
            while True:
                packet, _, respond = server.received.get()
                uri = re.search(rb"/reads/(\d+)\0", packet)
                if uri is None:
                    return
                ran[int(uri[1])] += 1
                respond(200, b"of " + uri[1])

        serving = threading.Thread(target=serve, daemon=True)
        serving.start()
        answers = [web.answer() for web in webs]
        served = {n for n, (status, _, _) in enumerate(answers) if status == 200}
        self.assertGreaterEqual(len(served), running)
        for n, (status, headers, body) in enumerate(answers):
            if n in served:
                self.assertEqual(body, b"of %d" % n)
            else:
                self.assertEqual((status, int(headers["Retry-After"]) >= 1), (503, True), n)
        server.received.put((b"no more", b"", None))
        serving.join(WAIT_LIMIT_S)
        self.assertEqual(ran, Counter(served))
        for web in webs:  # one answer: nothing more is on its way
            web.sock.setblocking(False)
            with self.assertRaises((BlockingIOError, EOFError)):
                if not web.sock.recv(1):
                    raise EOFError

    def test_a_change_and_a_drain_with_300_requests_open(self):
        server = AjpServer()
        program = self.start(server=server)
        webs = self.opened(program, server)
        # A third of the tenants of what is open go, and all others have another quota.
        changed = site("v1")
        changed["Tenants"] = [t | {"QuotaPerS": 7.0} for t in changed["Tenants"][OPEN // 3 :]]
        front = program.appliance["ajp"] | {"rules": [FILINGS, READS | {"uri": "/other/*"}]}
        program.reload("ajp.toml", toml_file(program.appliance | {"ajp": front, "settings": changed}))
        self.assertEqual(json.loads(program.operator_call()[1])["in_hand"], OPEN)
        late = program.ajp_client()
        self.assertEqual(self.asked(late, "t200", "/reads/1"), 404)
        self.assertEqual(self.asked(late, "t0", "/other/1"), 400)
        program.process.send_signal(signal.SIGTERM)
        program.wait_for(lambda status: status["state"] == "leaving")
        self.replace(program, self.version(program, 2))  # and one more, while it drains
        self.order(program)
        program.wait_for(lambda status: status["state"] == "leaving")
        self.answer(webs, server)
        self.assertEqual(program.wait_for_exit(), 0)
        self.assertTrue(server.received.empty())

    def test_a_change_and_a_replacement_with_300_requests_open(self):
        server = AjpServer()
        old = self.start(server=server)
        webs = self.opened(old, server)
        old.reload("ajp.toml", self.version(old, 1))
        at = {part: f"{host}:{port}" for part, (host, port) in old.addresses.items()}
        old.appliance |= {
            "admin": at["Operators"],
            "console": {"agent_check": at["AgentCheck"]},
            "ajp": old.appliance["ajp"] | {"listen": at["AjpFront"]},
        }
        new = self.start(server=server, before=old, appliance=self.version(old, 2))
        new.wait_until_took_over()
        old.process.send_signal(signal.SIGTERM)
        new.reload("ajp.toml", self.version(old, 3))
        self.order(old)  # the file is for the process that decides now
        fresh = new.ajp_client()
        self.assertEqual([self.asked(fresh, "v3", "/v2/x"), self.asked(fresh, "v2", "/v3/x")], [404, 400])
        self.assertEqual(json.loads(new.operator_call()[1])["in_hand"], OPEN)
        self.answer(webs, server)
        for web in webs:
            web.close()
        self.assertEqual(old.wait_for_exit(), 0)
        fresh.request("GET", "/v3/x", {"X-Tenant": "v3"})
        server.next_request().respond(200, b"by the new one")
        self.assertEqual(fresh.answer()[::2], (200, b"by the new one"))
        new.wait_for(lambda status: status["in_hand"] == "0")
        self.assertTrue(server.received.empty())

    def test_bodies_still_coming_when_the_change_comes(self):
        """They were checked by the version before, and keep the class that they were checked with."""
        server = AjpServer()
        classes = site()["Classes"]
        gone = classes[0] | {"Name": "gone"}
        program = self.start(
            server=server,
            site=site(Classes=[*classes, gone]),
            rules=[READS, FILINGS, {"uri": "/gone/*", "class": "gone"}],
        )

        def begun(uri, tenant):
            web = program.ajp_client()
            web.forward("POST", uri, {"X-Tenant": tenant, "Idempotency-Key": "k"}, length=9000)
            web.chunk(b"x" * 8186)
            self.assertEqual(web.requested_chunk_bytes(), 814)
            return web

        kept = {
            uri: begun(uri, tenant)
            for uri, tenant in (("/reads/1", "t1"), ("/reads/2", f"t{TENANTS - 1}"), ("/filings", "t3"))
        }
        of_gone = begun("/gone/1", "t1")
        shorter = [c | {"Deadline": 80_000 * MS} for c in classes]
        front = program.appliance["ajp"] | {"rules": [FILINGS | {"uri": "/other"}]}
        program.reload(
            "ajp.toml",
            toml_file(
                program.appliance | {"ajp": front, "settings": site(count=TENANTS - 1, Classes=shorter)}
            ),
        )
        for uri, web in kept.items():
            web.chunk(b"y" * 814)
            packet, body, respond = server.next_request()
            self.assertEqual((uri.encode() in packet, body), (True, b"x" * 8186 + b"y" * 814))
            respond(200, uri.encode())
            self.assertEqual(web.answer()[::2], (200, uri.encode()))
        # Of a class that is gone nothing is begun any more: told so at once, and when to come back.
        of_gone.chunk(b"y" * 814)
        status, headers, _ = of_gone.answer()
        self.assertEqual((status, int(headers["Retry-After"]) >= 1), (503, True))
        self.assertTrue(server.received.empty())
