"""A kernel whose runs share the machine's cores, and slow each other down beyond them."""

import base64
import heapq
import json
import random
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from queue import Queue
from typing import Any

from benchmarks.shared.stand_ins import KernelAddress

CORES = 2
CROWDING_RUNS = 10  # so many runs beyond the cores halve the speed of all
MEAN_WORK_S = 0.020
WORK_FACTORS = {"small": 0.3, "large": 4.0}  # by request class; unknown to the worker
BOOT_MS = 60_000
REPORTED_RUN_MS = 20


@dataclass(order=True, frozen=True)
class EmulatedRun:
    """A run that ends once each run got `end_work_s` of work since the kernel started."""

    end_work_s: float
    request_id: str
    body: bytes = field(compare=False)


class EmulatedKernel:
    """Speaks the kernel's protocol; the newest connection gets the notices."""

    def __init__(self, seed: int) -> None:
        self.boots = True  # read and set by the tests' worker
        self.opened: Queue[int] = Queue()
        self._rng = random.Random(seed)
        self._changed = threading.Condition()
        self._notices: list[dict[str, Any]] = []
        self._scheduled: set[str] = set()
        self._runs: list[EmulatedRun] = []
        self._connection: socket.socket | None = None
        self._closed = False
        self._work_done_s = 0.0  # for each run so far
        self._advanced_at_s = time.monotonic()
        self._listener = KernelAddress(self)
        threading.Thread(target=self._complete_runs, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._listener.address

    def restart(self) -> None:
        """Forget all: a new worker numbers notices from 1, and nothing runs."""
        with self._changed:
            self._notices, self._runs, self._scheduled = [], [], set()
            self._connection = None

    def handle(self, connection: socket.socket, message: dict[str, Any]) -> None:
        """Take in a command of the worker."""
        with self._changed:
            self._advance()
            match message["cmd"]:
                case "OPEN":
                    self._open(connection, message["offset"])
                case "SYSINFO":
                    self._send_load(message["token"])
                case _:
                    self._schedule(message)

    def close(self) -> None:
        """Stop listening and running."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._listener.close()

    def _open(self, connection: socket.socket, offset: int) -> None:
        self._connection = connection
        self._send({"cmd": "BOOTED", "result": "WARM", "elapsed_ms": BOOT_MS})
        for notice in self._notices[offset:]:
            self._send(notice)
        self.opened.put(offset)

    def _send_load(self, token: str) -> None:
        load = [min(1.0, len(self._runs) / CORES), float(len(self._runs))]
        self._send({"cmd": "INFO", "token": token, "load": load})

    def _schedule(self, message: dict[str, Any]) -> None:
        request_id = message["req"]
        if request_id in self._scheduled:
            return
        self._scheduled.add(request_id)
        work_s = MEAN_WORK_S * WORK_FACTORS[message["method"]] * self._rng.expovariate(1.0)
        body = base64.b64decode(message["payload"])
        heapq.heappush(self._runs, EmulatedRun(self._work_done_s + work_s, request_id, body))
        self._changed.notify()

    def _speed(self) -> float:
        """Work that each run gets a second."""
        count = len(self._runs)
        if not count:
            return 0.0
        return min(1.0, CORES / count) / (1 + max(0, count - CORES) / CROWDING_RUNS)

    def _advance(self) -> None:
        now_s = time.monotonic()
        self._work_done_s += (now_s - self._advanced_at_s) * self._speed()
        self._advanced_at_s = now_s

    def _complete_runs(self) -> None:
        with self._changed:
            while not self._closed:
                self._advance()
                while self._runs and self._runs[0].end_work_s <= self._work_done_s:
                    self._complete(heapq.heappop(self._runs))
                self._changed.wait(self._next_end_s())

    def _next_end_s(self) -> float | None:
        """Seconds until the next run ends; None where nothing runs."""
        if not self._runs:
            return None
        return (self._runs[0].end_work_s - self._work_done_s) / self._speed()

    def _complete(self, run: EmulatedRun) -> None:
        notice = {
            "cmd": "REAP",
            "offset": len(self._notices) + 1,
            "req": run.request_id,
            "result": "OK",
            "elapsed_ms": REPORTED_RUN_MS,
            "payload": base64.b64encode(run.body).decode(),
        }
        self._notices.append(notice)
        self._send(notice)

    def _send(self, notice: dict[str, Any]) -> None:
        if self._connection is not None:
            with suppress(OSError):
                self._connection.sendall(json.dumps(notice).encode() + b"\n")
