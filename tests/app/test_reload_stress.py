"""Many new configurations at bad moments under load, and a worker that has to find its kernel by itself.

RELOADS sets how many (`make stress` takes hundreds); the moments come from a seed.
"""

import json
import os
import random
import signal
import threading
import time
import unittest
from collections import Counter
from pathlib import Path

from tests.stand_ins.membership_service import MembershipService
from tests.stand_ins.moving_kernel import MovingKernel
from tests.support.environment import WAIT_LIMIT_S
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase

RELOADS = int(os.environ.get("RELOADS", "30"))
SEED = int(os.environ.get("SEED", "1"))
LATE = 1.0  # s past its deadline after which an answer counts as missing, on a busy machine too


def classes(extra):
    """Settings that have one class more, or not."""
    base = site_settings()
    if extra:
        base["Classes"] = [*base["Classes"], base["Classes"][0] | {"Name": "extra"}]
    return base


class Load(threading.Thread):
    """A router that asks one thing after the other; a filing that was turned away or failed is repeated."""

    def __init__(self, number, program):
        super().__init__(daemon=True)
        self.number, self.program, self.stop = number, program, threading.Event()
        self.ends, self.late, self.wrong = Counter(), [], []

    def run(self):
        router, n = self.program.thrift_router(), 0
        while not self.stop.is_set():
            n += 1
            method = "filing" if n % 3 == 0 else "read"
            body = f"{method} {self.number}.{n}".encode()
            token = {"token": body.decode()} if method == "filing" else {}
            for attempt in range(3):
                began = time.monotonic()
                kind, _, got = router.call(method, body, **token, **({"again": "1"} if attempt else {}))
                if time.monotonic() - began > 1.8 + LATE:
                    self.late.append((body, kind, time.monotonic() - began))
                self.ends[kind] += 1
                if kind == "Answer":
                    if got != b"made of " + body:
                        self.wrong.append((body, got))
                    break
        router.close()


class ReloadStressTest(WorkerTestCase):
    """Random changes, cuts and moves under load."""

    def setUp(self):
        self.random, self.machine = random.Random(SEED), MovingKernel(SEED)
        self.addCleanup(self.machine.close)
        self.program = self.start(kernel=self.machine)
        self.config, self.members = dict(self.program.config), [self.program.members]

    def write(self, content):
        """In place, as a careless tool does: whoever reads meanwhile sees a part."""
        Path(self.program.folder.name, "config.json").write_text(content)

    def replace(self, content):
        os.replace(self.program.write_file("new", content), Path(self.program.folder.name, "config.json"))

    def signal(self):
        self.program.process.send_signal(signal.SIGHUP)

    def status(self):
        return json.loads(self.program.operator_call()[1])

    # ---- what may happen
    def moved(self):
        self.config["kernel"] = self.machine.move(self.random.choice((0.0, 0.05, 0.3)))
        self.replace(json.dumps(self.config))
        self.signal()

    def retuned(self):
        self.config["settings"] = classes(self.random.random() < 0.5)
        self.moved()

    def bad_then_good(self):
        self.replace(json.dumps(self.config)[: self.random.randrange(400)])
        self.signal()
        self.moved()

    def torn(self):
        self.config["kernel"] = self.machine.move(0.0)
        text = json.dumps(self.config)
        self.write(text[: self.random.randrange(len(text))])
        self.signal()
        self.write(text)
        self.signal()

    def many_at_once(self):
        for _ in range(self.random.randrange(2, 6)):
            self.moved()

    def back_to_back_with_a_cut_link(self):
        self.machine.current.drop_connections()
        self.moved()
        self.machine.current.drop_connections()

    def members_moved(self):
        self.members.append(MembershipService())
        self.addCleanup(self.members[-1].close)
        self.config["members"] = self.members[-1].address
        self.members[-2].refuse()
        self.moved()

    ROUNDS = (moved, retuned, bad_then_good, torn, many_at_once, back_to_back_with_a_cut_link, members_moved)

    def in_force(self):
        """Waits until the newest address is linked and answers; gives the status."""
        until = time.monotonic() + WAIT_LIMIT_S
        while True:
            status = self.status()
            kernel = status["kernel"]
            if (kernel["address"], kernel["link"], kernel["waiting"]) == (self.machine.address, "up", 0):
                return status
            self.assertLess(time.monotonic(), until, status)

    def test_many_reloads_at_bad_moments_lose_nothing_and_run_no_filing_twice(self):
        loads = [Load(n, self.program) for n in range(3)]
        for load in loads:
            load.start()
        probe = self.program.thrift_router()
        self.in_force()
        descriptors = f"/proc/{self.program.process.pid}/fd"
        before = len(os.listdir(descriptors))
        for n in range(RELOADS):
            self.random.choice(self.ROUNDS)(self)
            self.in_force()
            body = f"probe {n}".encode()
            ends = Counter()
            while (kind := probe.call("read", body)[0]) != "Answer":
                ends[kind] += 1
                self.assertLess(sum(ends.values()), 200, (n, ends, self.status()))
        for load in loads:
            load.stop.set()
        for load in loads:
            load.join(WAIT_LIMIT_S)
            self.assertFalse(load.is_alive())
            self.assertEqual((load.late, load.wrong), ([], []))
        total = sum((load.ends for load in loads), Counter())
        self.assertGreater(total["Answer"], 0.8 * total.total(), total)
        twice = {body: n for body, n in self.machine.runs.items() if body.startswith(b"filing") and n > 1}
        self.assertEqual(twice, {})
        probe.close()
        until = time.monotonic() + WAIT_LIMIT_S
        while len(os.listdir(descriptors)) > before:  # closed connections are noticed in a moment
            self.assertLess(time.monotonic(), until, os.listdir(descriptors))
        faults = [line for line in self.program.log if line["event"].startswith("fault")]
        self.assertEqual(faults, [])


class CutOff(WorkerTestCase):
    """The kernel moved and nobody said so, or said so with a file that could not be used."""

    def setUp(self):
        self.machine = MovingKernel(SEED)
        self.addCleanup(self.machine.close)
        self.program = self.start(kernel=self.machine)

    def test_health_turns_bad_and_a_mended_file_is_found_without_a_signal(self):
        program, router = self.program, self.program.thrift_router()
        self.assertEqual(router.call("read", b"before")[0], "Answer")
        program.reload("config.json", "{", "config_invalid")
        address = self.machine.move(0.0)
        program.wait_for(lambda status: status["state"] == "cut off")
        self.assertEqual(program.operator_call()[0], 503)
        router.ping()
        self.assertFalse(router.good)
        program.members.wait_for("OUT")
        self.assertIn("turned down", program.operator_call()[1])
        os.replace(
            program.write_file("new", json.dumps(program.config | {"kernel": address})),
            Path(program.folder.name, "config.json"),
        )
        program.wait_for(lambda status: status["state"] == "up")
        program.members.wait_for("UP")
        self.assertEqual(router.call("read", b"after")[0], "Answer")
        self.assertEqual(program.metric("conf_loaded_total"), 0)  # nobody ordered it
        status = json.loads(program.operator_call()[1])
        self.assertEqual((status["kernel"]["address"], status["configuration"]["last"]), (address, "taken"))
        self.assertTrue(program.logged("config_reloaded_while_cut_off"))

    def test_what_has_come_of_a_reload_is_shown_and_logged(self):
        program, router = self.program, self.program.thrift_router()
        for _ in range(3):
            router.call("read", b"before")
        program.reload("config.json", json.dumps(program.config | {"settings": classes(True)}))
        self.assertEqual(router.call("extra", b"after")[0], "Answer")
        view = json.loads(program.operator_call()[1])
        self.assertEqual(view["configuration"]["since"], {"served": 1, "refused": 0, "failed": 0})
        program.wait_for(lambda status: "'gauges_age_s': 0.0" in status["kernel"])
        until = time.monotonic() + WAIT_LIMIT_S
        while not (said := program.logged("config_outcome")):
            self.assertLess(time.monotonic(), until)
        self.assertEqual((said[0]["served"], said[0]["kernel"]["link"]), (1, "up"))


if __name__ == "__main__":
    unittest.main()
