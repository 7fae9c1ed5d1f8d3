"""A kernel that runs what a worker gives it, reached at addresses that come and go."""

import base64
import contextlib
import heapq
import json
import queue
import random
import socket
import threading
import time
from collections import Counter
from typing import Any, Protocol

from tests.stand_ins.sockets import LoopbackServer

OLD_ADDRESS_OPEN_S = 0.3  # links to an address of before stay open for at most so long
MIN_RUN_S, MAX_RUN_S = 0.002, 0.02


class CommandHandler(Protocol):
    """What stands behind an address."""

    def handle(self, sock: socket.socket, command: dict[str, Any]) -> None:
        """Carries out one command that came on a link."""


class KernelAddress(LoopbackServer):
    """One address of the kernel."""

    def __init__(self, kernel: CommandHandler) -> None:
        self.kernel = kernel
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Passes each command on to the kernel."""
        for line in sock.makefile("rb"):
            self.kernel.handle(sock, json.loads(line))


class MovingKernel:
    """Runs each request for some milliseconds, whatever becomes of the links; notices go to the newest link.

    `runs` counts by body: bodies are what tests tell requests apart by.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.lock = threading.Condition()
        self.running: list[tuple[float, str, bytes]] = []  # a heap by when each run ends
        self.notices: list[dict[str, Any]] = []
        self.known: set[str] = set()
        self.runs: Counter[bytes] = Counter()
        self.out: socket.socket | None = None
        self.opened: queue.Queue[int] = queue.Queue()
        self.current, self.closed = KernelAddress(self), False
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it is reached now."""
        return self.current.address

    def move(self, open_for: float | None = None) -> str:
        """A new address; the one of before accepts nothing, and its links end a little later."""
        old, self.current = self.current, KernelAddress(self)
        old.refuse()
        threading.Timer(OLD_ADDRESS_OPEN_S if open_for is None else open_for, old.drop_connections).start()
        return self.address

    def handle(self, sock: socket.socket, command: dict[str, Any]) -> None:
        """Carries out one command that came on a link."""
        with self.lock:
            if command["cmd"] == "OPEN":
                self._open(sock, command["offset"])
            elif command["cmd"] == "SYSINFO":
                running = float(len(self.running))
                load = [min(1.0, running / 2), running]
                self._send(sock, cmd="INFO", token=command["token"], load=load)
            elif command["req"] not in self.known:
                self._schedule(command["req"], base64.b64decode(command["payload"]))

    def _open(self, sock: socket.socket, offset: int) -> None:
        self.out = sock
        self._send(cmd="BOOTED", result="WARM", elapsed_ms=5000)
        for notice in self.notices[offset:]:
            self._send(**notice)
        self.opened.put(offset)

    def _schedule(self, request_id: str, body: bytes) -> None:
        self.known.add(request_id)
        self.runs[body] += 1
        ends_at = time.monotonic() + self.random.uniform(MIN_RUN_S, MAX_RUN_S)
        heapq.heappush(self.running, (ends_at, request_id, body))
        self.lock.notify()

    def _send(self, sock: socket.socket | None = None, **notice: Any) -> None:
        with contextlib.suppress(OSError):
            (sock or self.out).sendall(json.dumps(notice).encode() + b"\n")

    def _run(self) -> None:
        with self.lock:
            while not self.closed:
                while self.running and self.running[0][0] <= time.monotonic():
                    self._reap(*heapq.heappop(self.running)[1:])
                self.lock.wait(self.running[0][0] - time.monotonic() if self.running else None)

    def _reap(self, request_id: str, body: bytes) -> None:
        self.notices.append(
            {
                "cmd": "REAP",
                "offset": len(self.notices) + 1,
                "req": request_id,
                "result": "OK",
                "elapsed_ms": 10,
                "payload": base64.b64encode(b"made of " + body).decode(),
            }
        )
        self._send(**self.notices[-1])

    def close(self) -> None:
        """Ends the runs and the address of now."""
        with self.lock:
            self.closed = True
            self.lock.notify()
        self.current.close()
