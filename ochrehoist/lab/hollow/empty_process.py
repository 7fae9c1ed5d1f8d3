"""What a process of hollow workers costs before it has any: the harness's own share of the figures."""

import socket
import time
from collections.abc import Callable
from functools import partial

from ochrehoist.lab.hollow.protocol import EmptyProcessCost
from ochrehoist.net.loop import Loop
from ochrehoist.net.peers import PEER_TICK_INTERVAL_S

CONTROLLER_TICK_S = 0.1


class EmptyProcessMeasurement:
    """Has as many sockets and timers as `worker_count` workers, which do nothing, and measures them once."""

    def __init__(self, loop: Loop, worker_count: int, duration_s: float) -> None:
        self._loop = loop
        self._worker_count = worker_count
        self._duration_s = duration_s
        self._ends_at = time.monotonic() + duration_s
        self._sockets: list[socket.socket] = []

    def start(self, report: Callable[[EmptyProcessCost], None]) -> None:
        """Begins now, and reports when the duration is over."""
        for _ in range(self._worker_count):
            self._open_socket()
        self._ends_at = time.monotonic() + self._duration_s
        for position in range(self._worker_count):
            fraction = position / self._worker_count
            for interval_s in (PEER_TICK_INTERVAL_S, CONTROLLER_TICK_S):
                self._loop.call_later(interval_s * fraction, partial(self._tick, interval_s))
        started = time.process_time()
        self._loop.call_later(self._duration_s, lambda: self._finish(started, report))

    def _open_socket(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        self._loop.on_readable(sock.fileno(), lambda: None)
        self._sockets.append(sock)

    def _tick(self, interval_s: float) -> None:
        if time.monotonic() < self._ends_at:
            self._loop.call_later(interval_s, lambda: self._tick(interval_s))

    def _finish(self, started: float, report: Callable[[EmptyProcessCost], None]) -> None:
        cpu_s = time.process_time() - started
        for sock in self._sockets:
            self._loop.unwatch(sock.fileno())
            sock.close()
        report(EmptyProcessCost(cpu_s, self._duration_s))
