"""Changes of configuration at bad moments, over real processes and sockets, with a few thousand tenants: what
was begun goes on, each request has one answer, and one version is in force or another, no mix of both."""

import json
import os
import random
import re
import signal
import tempfile
import threading
import time
import tomllib
import unittest
from collections import Counter
from pathlib import Path

from ochrehoist.lab.toml import toml, toml_file
from tests.stand_ins.ajp_server import AjpServer, InstantServer
from tests.support.environment import MS, WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_process import WorkerProcess

TENANTS = 3000
OPEN = 300
BAD = "config_invalid"
TAKEN = "config_reloaded"
SEED = int(os.environ.get("SEED", "1"))


def site(*more, count=TENANTS, **changes):
    """Settings of so many tenants, and those named behind; cores for all that a test keeps open."""
    base = site_settings(**changes)
    base["FamilyInfo"] |= {"Cores": OPEN + 20, "HeapKb": 90e6}
    base["Rules"] |= {"TipMultiple": 1.0}
    for cls in base["Classes"]:
        cls.update(Slo=30_000 * MS, Deadline=90_000 * MS)
    names = [*(f"t{n}" for n in range(count)), *more]
    base["Tenants"] = [{"Name": name, "QuotaPerS": 1000.0, "Fraction": 1 / len(names)} for name in names]
    return base


READS = {"uri": "/reads/*", "class": "read"}
FILINGS = {"uri": "/filings*", "methods": ["POST"], "class": "filing"}


class Changes(unittest.TestCase):
    def start(self, **how):
        how = {
            "thrift": False,
            "ajp": True,
            "site": site(),
            "sockets": 1024,
            "stop_ms": 30_000,
            "max_connections": 400,
        } | how
        server = how.setdefault("server", InstantServer())
        if "before" not in how:
            self.addCleanup(server.close)
            how["servers"] = [{"address": server.address, "reply_ms": 90_000}]
        program = WorkerProcess(**how)
        self.addCleanup(program.close)
        return program

    def text(self, program, *more, rules=(), **changes):
        """Its configuration with more tenants and rules; the usual rules stay, in front."""
        front = program.appliance["ajp"]
        return toml_file(
            program.appliance
            | {"ajp": front | {"rules": [READS, FILINGS, *rules]}, "settings": site(*more, **changes)}
        )

    def version(self, program, number):
        """One that differs from all others in one tenant and one route."""
        return self.text(program, f"v{number}", rules=[{"uri": f"/v{number}/*", "class": "read"}])

    def replace(self, program, content, name="ajp.toml"):
        new = Path(program.folder.name, "next")
        new.write_text(content)
        new.replace(Path(program.folder.name, name))

    def order(self, program):
        program.process.send_signal(signal.SIGHUP)

    def asked(self, web, tenant, route):
        return web.call("GET", route, {"X-Tenant": tenant})[0]

    def in_force(self, program, number):
        """Waits until a request that needs both the tenant and the route of this version is served."""
        web, until = program.ajp_client(), time.monotonic() + WAIT_LIMIT_S
        while self.asked(web, f"v{number}", f"/v{number}/x") != 200:
            self.assertLess(time.monotonic(), until, program.log[-3:])
        web.close()

    def configuration(self, program):
        return json.loads(program.operator_call()[1])["configuration"]

    def wait(self, holds):
        until = time.monotonic() + WAIT_LIMIT_S
        while not (got := holds()):
            self.assertLess(time.monotonic(), until)
        return got


class Load(threading.Thread):
    """Asks one thing after the other for a tenant and on a route that stay; what it was answered."""

    def __init__(self, program, number):
        super().__init__(daemon=True)
        self.program, self.number = program, number
        self.going, self.kinds, self.asked, self.fault = True, Counter(), 0, None
        self.start()

    def run(self):
        try:
            web = self.program.ajp_client()
            while self.going:
                self.asked += 1
                self.kinds[web.call("GET", f"/reads/{self.number}", {"X-Tenant": f"t{self.number}"})[0]] += 1
            web.close()
        except (OSError, EOFError, AssertionError) as error:
            self.fault = repr(error)

    def end(self):
        self.going = False
        self.join(WAIT_LIMIT_S)
        return self


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


class Storm(Changes):
    def test_under_a_storm_of_orders_the_newest_is_in_force_and_each_request_has_one_answer(self):
        program, rng = self.start(), random.Random(SEED)
        loads = [Load(program, n) for n in range(4)]
        web = program.ajp_client()
        self.assertEqual(self.asked(web, "t1", "/reads/1"), 200)  # a new connection may not stay silent
        for number in range(1, 61):
            self.replace(program, self.version(program, number))
            for _ in range(rng.randrange(1, 4)):
                self.order(program)
            self.asked(web, f"v{number}", f"/v{number}/x")
        self.in_force(program, 60)
        self.assertEqual([self.asked(web, "v60", "/v59/x"), self.asked(web, "v59", "/v60/x")], [404, 400])
        for load in loads:
            load.end()
            self.assertEqual((load.fault, load.kinds), (None, Counter({200: load.asked})))
            self.assertGreater(load.asked, 0)
        self.assertEqual(program.metric("conf_invalid_total"), 0)
        self.assertEqual(json.loads(program.operator_call()[1])["in_hand"], 0)
        # Nothing waits to be read that would undo it: one more is told of as ever.
        program.reload("ajp.toml", self.version(program, 61))
        self.in_force(program, 61)

    def test_no_request_is_served_by_half_of_a_change(self):
        program = self.start()
        self.replace(program, self.version(program, 0))
        self.order(program)
        self.in_force(program, 0)
        web, kinds = program.ajp_client(), Counter()
        self.assertEqual(self.asked(web, "v0", "/v0/x"), 200)  # a new connection may not stay silent
        for number in range(1, 13):
            self.replace(program, self.version(program, number))
            self.order(program)
            until = time.monotonic() + WAIT_LIMIT_S
            while self.asked(web, f"v{number}", f"/v{number}/x") != 200:
                self.assertLess(time.monotonic(), until)
                for tenant, route in ((number, number - 1), (number - 1, number)):
                    kinds[self.asked(web, f"v{tenant}", f"/v{route}/x")] += 1
        self.assertLessEqual(set(kinds), {400, 404})
        self.assertTrue(kinds)

    def test_a_file_replaced_or_written_over_while_it_is_read(self):
        program, rng = self.start(), random.Random(SEED)
        path, load = Path(program.folder.name, "ajp.toml"), Load(program, 1)
        for number in range(1, 25):
            content = self.version(program, number)
            self.order(program)
            if number % 2:
                path.write_text(content)  # as a careless tool does: whoever reads meanwhile sees a part
            else:
                with path.open("r+") as file:
                    at = rng.randrange(len(content))
                    file.write(content[:at])
                    file.flush()
                    self.order(program)
                    file.write(content[at:])
                    file.truncate()
            self.order(program)
        self.in_force(program, 24)
        self.assertEqual(self.configuration(program)["last"], "taken")
        load.end()
        self.assertEqual((load.fault, load.kinds), (None, Counter({200: load.asked})))


class Bad(Changes):
    def turned_down(self, program, content):
        """What the log and `/status` say why."""
        why = program.reload("ajp.toml", content, BAD)["reason"]
        told = self.configuration(program)
        self.assertEqual((told["last"], told["why"]), ("turned down", why))
        return why

    def test_a_file_cut_at_any_byte_changes_nothing_and_says_why(self):
        program, rng = self.start(), random.Random(SEED)
        program.reload("ajp.toml", self.version(program, 1))
        version = self.configuration(program).get("version")
        load, web = Load(program, 1), program.ajp_client()
        self.assertEqual(self.asked(web, "v1", "/v1/x"), 200)  # a new connection may not stay silent
        # Of inline tables: no part of it is a whole file by TOML's grammar.
        whole = tomllib.loads(self.version(program, 2))
        content = "\n".join(f"{key} = {toml(value)}" for key, value in whole.items()).encode()
        cuts = [0, 1, len(content) - 2, *(rng.randrange(2, len(content) - 2) for _ in range(12))]
        for cut in cuts:
            with self.subTest(cut):
                self.assertIn("setting", self.turned_down(program, content[:cut].decode()))
                self.assertEqual([self.asked(web, "v1", "/v1/x"), self.asked(web, "v2", "/v2/x")], [200, 404])
                self.assertEqual(self.configuration(program).get("version"), version)
        self.assertEqual(program.metric("conf_invalid_total"), len(cuts))
        program.reload("ajp.toml", content.decode())
        self.in_force(program, 2)
        self.assertNotEqual(self.configuration(program).get("version"), version)
        load.end()
        self.assertEqual((load.fault, load.kinds), (None, Counter({200: load.asked})))

    def test_a_file_of_a_table_each_cut_at_any_byte_is_turned_down_or_taken_as_it_stands(self):
        """By TOML's grammar it may be a whole file of fewer tenants."""
        program, rng = self.start(), random.Random(SEED)
        load, web = Load(program, 1), program.ajp_client()
        self.assertEqual(self.asked(web, "t1", "/reads/1"), 200)  # a new connection may not stay silent
        content = self.version(program, 1)
        first = content.index("[[settings.Tenants]]")
        for cut in (rng.randrange(first + 2000, len(content)) for _ in range(12)):
            part = content[:cut]
            try:
                tables = tomllib.loads(part)["settings"]["Tenants"]
            except tomllib.TOMLDecodeError:
                tables = []
            with self.subTest(cut, tables=len(tables)):
                if not tables or not {"Name", "QuotaPerS"} <= tables[-1].keys():
                    self.turned_down(program, part)
                    continue
                program.reload("ajp.toml", part)
                self.assertEqual(self.asked(web, tables[-1]["Name"], "/reads/1"), 200)
                self.assertEqual(self.asked(web, "v1", "/v1/x"), 400)
        program.reload("ajp.toml", content)
        self.in_force(program, 1)
        load.end()
        self.assertEqual((load.fault, load.kinds), (None, Counter({200: load.asked})))

    def test_one_bad_tenant_or_rule_among_thousands_is_named_with_its_place(self):
        program = self.start()
        web = program.ajp_client()
        self.serves_as_begun(web)
        for n, key, value in ((2999, "QuotaPerS", "many"), (1500, "Name", 7), (2998, "Name", None)):
            bad = site("v1")
            bad["Tenants"][n] = {k: v for k, v in (bad["Tenants"][n] | {key: value}).items() if v is not None}
            why = self.turned_down(program, toml_file(program.appliance | {"settings": bad}))
            self.assertIn(f"Tenants[{n}]", why)
            self.assertIn(key, why)
            self.serves_as_begun(web)
        twice = site("t17")
        why = self.turned_down(program, toml_file(program.appliance | {"settings": twice}))
        self.assertIn("'t17'", why)
        self.serves_as_begun(web)
        rules = [{"uri": f"/r{n}/*", "class": "read" if n != 700 else "none"} for n in range(800)]
        self.assertIn("rules[702].class", self.turned_down(program, self.text(program, rules=rules)))
        self.serves_as_begun(web)

    def serves_as_begun(self, web):
        """Also keeps the connection: the front ends a new one that sends nothing for 2.5 s."""
        self.assertEqual([self.asked(web, "t17", "/reads/1"), self.asked(web, "v1", "/reads/1")], [200, 400])


class NumberingServer(AjpServer):
    """Answers each request at once, by the number of its run."""

    def __init__(self):
        super().__init__()
        self.runs = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            respond = self.received.get().respond
            self.runs += 1
            respond(200, b"run %d" % self.runs)


class Killed(Changes):
    def test_killed_in_the_middle_of_a_change_it_starts_with_the_file_as_it_is_then(self):
        """And what was filed before is known: a repeat gets its result, and runs nothing."""
        rng, server = random.Random(SEED), NumberingServer()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        state, filed = {"folder": str(Path(folder.name, "state")), "stall_ms": 10_000}, []
        appliance = None
        for number in range(1, 5):
            program = self.start(server=server, state=state, appliance=appliance)
            program.wait_for(lambda status: status["state"] == "up")
            if appliance is not None:
                self.in_force(program, number - 1)
            web = program.ajp_client()
            if appliance is not None:
                self.assertEqual(self.asked(web, f"v{number}", f"/v{number}/x"), 404)
            for key, body in filed:
                self.assertEqual(self.file(web, key)[::2], (200, body))
            status, _, body = self.file(web, f"k{number}")
            self.assertEqual((status, body), (200, b"run %d" % server.runs))
            filed.append((f"k{number}", body))
            # One killed right behind an answer may lack its end, and its repeat is told 502: as stated.
            program.wait_for(lambda status: "'waiting': 0" in status["store"])
            appliance = self.version(program, number)
            self.replace(program, appliance)
            self.order(program)
            for _ in range(rng.randrange(4)):  # a moment that differs, told by round trips
                self.asked(web, "t1", "/reads/1")
            program.process.kill()
            program.process.wait()
        self.assertTrue(server.received.empty())

    def file(self, web, key):
        return web.call("POST", "/filings", {"Idempotency-Key": key, "X-Tenant": "t1"}, b"doc")


if __name__ == "__main__":
    unittest.main()
