"""A machine that runs what a worker gives it, reached at addresses that come and go."""

import base64
import heapq
import json
import queue
import random
import threading
import time
from collections import Counter

from stand_ins import Listener

OPEN_FOR = 0.3  # s that links to an address of before stay open, at most


class Address(Listener):
    """One address of the machine."""

    def __init__(self, machine):
        self.machine = machine
        super().__init__()

    def talk(self, sock):
        for line in sock.makefile("rb"):
            self.machine.hear(sock, json.loads(line))


class Machine:
    """Runs each request for some milliseconds, whatever becomes of the links; notices go to the newest link.

    `runs` counts by body: bodies are what tests tell requests apart by.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.lock, self.wake = threading.Condition(), []
        self.notices, self.known, self.runs, self.out = [], set(), Counter(), None
        self.opened = queue.Queue()
        self.at, self.ended = Address(self), False
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self):
        return self.at.address

    def move(self, open_for=None):
        """A new address; the one of before accepts nothing, and its links end a little later."""
        old, self.at = self.at, Address(self)
        old.refuse()
        threading.Timer(OPEN_FOR if open_for is None else open_for, old.drop_links).start()
        return self.address

    def hear(self, sock, m):
        with self.lock:
            if m["cmd"] == "OPEN":
                self.out = sock
                self._say(cmd="BOOTED", result="WARM", elapsed_ms=5000)
                for notice in self.notices[m["offset"] :]:
                    self._say(**notice)
                self.opened.put(m["offset"])
            elif m["cmd"] == "SYSINFO":
                running = float(len(self.wake))
                self._say(sock, cmd="INFO", token=m["token"], load=[min(1.0, running / 2), running])
            elif m["req"] not in self.known:
                self.known.add(m["req"])
                body = base64.b64decode(m["payload"])
                self.runs[body] += 1
                over = time.monotonic() + self.random.uniform(0.002, 0.02)
                heapq.heappush(self.wake, (over, m["req"], body))
                self.lock.notify()

    def _say(self, sock=None, **notice):
        try:
            (sock or self.out).sendall(json.dumps(notice).encode() + b"\n")
        except OSError:
            pass

    def _run(self):
        with self.lock:
            while not self.ended:
                while self.wake and self.wake[0][0] <= time.monotonic():
                    _, rid, body = heapq.heappop(self.wake)
                    self.notices.append(
                        {
                            "cmd": "REAP",
                            "offset": len(self.notices) + 1,
                            "req": rid,
                            "result": "OK",
                            "elapsed_ms": 10,
                            "payload": base64.b64encode(b"made of " + body).decode(),
                        }
                    )
                    self._say(**self.notices[-1])
                self.lock.wait(self.wake[0][0] - time.monotonic() if self.wake else None)

    def close(self):
        with self.lock:
            self.ended = True
            self.lock.notify()
        self.at.close()
