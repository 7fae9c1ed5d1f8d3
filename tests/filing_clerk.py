"""Clients that file under kills: each filing is repeated until it has a final end, and every run is
counted."""

import queue
import random
import threading
import time
from collections import Counter

from stand_ins import AjpServer, Program, settings

WINDOW_S = 900
DONE, MAY_HAVE_RUN, REFUSED = 200, 502, 503


def site():
    """Settings whose windows outlast a test."""
    base = settings()
    base["Classes"][1]["Window"] = WINDOW_S * 10**9
    return base


class Office(AjpServer):
    """A server that runs each filing for some milliseconds and counts by body."""

    def __init__(self, seed=0):
        self.runs, self.random = Counter(), random.Random(seed)
        super().__init__()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            packet, body, respond = self.got.get()
            if body:
                self.runs[body] += 1
            threading.Timer(self.random.uniform(0.0, 0.02), self._respond, (respond, b"ran " + body)).start()

    def _respond(self, respond, data):
        try:
            respond(data=data)
        except OSError:
            pass


class Clerk(threading.Thread):
    """Files one after the other at the worker of the moment, and goes on with what is open at the next."""

    def __init__(self, number, office, todo):
        super().__init__(daemon=True)
        self.number, self.office, self.todo = number, office, todo
        self.program, self.changed, self.ended = None, threading.Condition(), False
        self.ends, self.wrong = Counter(), []

    def serve_at(self, program):
        with self.changed:
            self.program = program
            self.changed.notify()

    def run(self):
        client, at = None, None
        while True:
            with self.changed:
                while self.program is None and not self.ended:
                    self.changed.wait()
                if self.ended:
                    return
                program = self.program
            try:
                body, tries = self.todo.get(timeout=0.05)
            except queue.Empty:
                continue
            try:
                if at is not program or client is None:
                    client, at = program.ajp(), program
                ran_before = self.office.runs[body] > 0
                status, _, data = client.call(
                    "POST", "/filings", {"Idempotency-Key": body.decode(), "X-Tenant": "acme"}, body
                )
            except (OSError, EOFError, AssertionError):
                client = None
                self.todo.put((body, tries + 1))
                if self.program is program:
                    time.sleep(0.002)
                continue
            self.ends[status] += 1
            if status == REFUSED:
                if ran_before:
                    self.wrong.append((body, "refused though it had run"))
                self.todo.put((body, tries + 1))
            elif status == DONE and data != b"ran " + body:
                self.wrong.append((body, data))
            elif status not in (DONE, MAY_HAVE_RUN, 504):
                self.wrong.append((body, status))

    def end(self):
        with self.changed:
            self.ended = True
            self.changed.notify()


class Kills:
    """Starts a worker, kills it at a moment of the seed, starts the next on the same folder, and so on."""

    def __init__(self, folder, seed=1, clerks=3, state=True, filings=10**9):
        self.folder, self.random, self.state = folder, random.Random(seed), state
        self.office, self.todo = Office(seed), queue.Queue()
        self.clerks = [Clerk(n, self.office, self.todo) for n in range(clerks)]
        self.filed, self.losses, self.programs = 0, [], 0
        self.filings = filings

    def start(self, **more):
        state = {"folder": str(self.folder)} if self.state else None
        self.programs += 1
        return Program(thrift=False, ajp=True, site=site(), state=state, server=self.office, **more)

    def file(self, count):
        for _ in range(min(count, self.filings - self.filed)):
            self.filed += 1
            self.todo.put((b"filing %08d" % self.filed, 0))

    def life(self, seconds, **more):
        """One worker, killed so long after it is up; None: it is left to run."""
        program = self.start(**more)
        for clerk in self.clerks:
            if not clerk.is_alive():
                clerk.start()
            clerk.serve_at(program)
        if seconds is None:
            return program
        self.file(max(0, 30 - self.todo.qsize()))
        time.sleep(seconds)
        self.stop(program)
        return None

    def stop(self, program):
        for clerk in self.clerks:
            clerk.serve_at(None)
        program.process.kill()
        program.process.wait()
        program.reader.join(5)
        self.losses += [line for line in program.lines if line["event"] == "store_data_lost"]
        program.close()

    def run(self, kills, told=lambda n: None):
        for n in range(kills):
            self.life(self.random.uniform(0.0, 0.12))
            told(n + 1)
        self.finish()

    def finish(self):
        """A last worker, at which all that is open gets its end."""
        program = self.life(None)
        until = time.monotonic() + 30
        while self.todo.qsize() and time.monotonic() < until:
            time.sleep(0.01)
        for clerk in self.clerks:
            clerk.end()
        for clerk in self.clerks:
            clerk.join(10)
        self.stop(program)
        self.office.close()

    @property
    def twice(self):
        return {body: n for body, n in self.office.runs.items() if n > 1}

    @property
    def wrong(self):
        return [end for clerk in self.clerks for end in clerk.wrong]

    @property
    def ends(self):
        return sum((clerk.ends for clerk in self.clerks), Counter())
