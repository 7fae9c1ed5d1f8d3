"""A test case of appliances with thousands of tenants, whose files are replaced under load."""

import json
import os
import signal
import threading
import time
import unittest
from collections import Counter
from pathlib import Path

from ochrehoist.lab.toml import toml_file
from tests.stand_ins.ajp_server import InstantServer
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
