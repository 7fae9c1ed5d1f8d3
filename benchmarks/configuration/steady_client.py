"""A client that sends reads over AJP at a steady rate, and the AJP server behind the appliance.

Both run in processes of their own, and get their commands through a pipe.
"""

import multiprocessing
import select
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum, auto
from multiprocessing.connection import Connection
from typing import Any

from benchmarks.configuration.appliance import STABLE_ENTRIES
from benchmarks.shared.stand_ins import Address, AjpClient, InstantServer

CONNECTIONS = 24  # each with one request at a time
RECEIVE_BYTES = 65536
PACKET_HEADER_BYTES = 4
SEND_HEADERS, END_RESPONSE = 4, 5  # kinds of AJP packets
POLL_MARGIN_MS = 0.05
LAST_ANSWERS_POLL_S = 0.05
LAST_ANSWERS_TIMEOUT_S = 30


class Command(Enum):
    """A command to a client: report what came since the last report, or end once all is answered."""

    REPORT = auto()
    END = auto()


@dataclass
class ClientReport:
    """What a client saw since its last report.

    `latencies_s`: of each answer, from when its request was due. `answers`: how many of each status.
    `sent`: all that were sent so far. `cut_off`: connections that were closed. `unanswered`: requests open
    at the end.
    """

    latencies_s: list[float] = field(default_factory=list)
    answers: Counter[int] = field(default_factory=Counter)
    cut_off: int = 0
    sent: int = 0
    unanswered: int = 0

    def add(self, later: "ClientReport") -> None:
        """Take in a later report of the same client."""
        self.latencies_s += later.latencies_s
        self.answers += later.answers
        self.cut_off += later.cut_off
        self.sent = later.sent
        self.unanswered = later.unanswered

    @property
    def worst_s(self) -> float:
        """The longest latency, 0 where nothing was answered."""
        return max(self.latencies_s, default=0.0)


@dataclass
class _OpenRequest:
    due_s: float
    received: bytearray = field(default_factory=bytearray)


class SteadyClient:
    """Sends reads at a steady rate, each as it is due, and notes how long after that it was answered."""

    def __init__(self, address: Address, requests_per_s: float) -> None:
        self._interval_s = 1 / requests_per_s
        self._idle: deque[AjpClient] = deque(AjpClient(address) for _ in range(CONNECTIONS))
        self._by_descriptor = {client.sock.fileno(): client for client in self._idle}
        self._poll = select.poll()
        for descriptor in self._by_descriptor:
            self._poll.register(descriptor, select.POLLIN)
        self._open: dict[int, _OpenRequest] = {}
        self._due_s: deque[float] = deque()
        self._sent = 0
        self._report = ClientReport()

    def run(self, commands: Connection) -> None:
        """Send until the command to end; each command is answered by a report."""
        began_s, due_count, sending = time.monotonic(), 0, True
        while sending or self._open or self._due_s:
            now_s, next_due_s = time.monotonic(), began_s + due_count * self._interval_s
            if sending and next_due_s <= now_s:
                self._due_s.append(next_due_s)
                due_count += 1
                continue
            while self._due_s and self._idle:
                self._send_next()
            self._receive(max(0.0, next_due_s - now_s) if sending else LAST_ANSWERS_POLL_S)
            if sending and commands.poll():
                sending = commands.recv() is not Command.END
                if sending:
                    commands.send(self._take_report())
            if not sending and now_s > next_due_s + LAST_ANSWERS_TIMEOUT_S:
                break
        last = self._take_report()
        last.unanswered = len(self._open) + len(self._due_s)
        commands.send(last)

    def _send_next(self) -> None:
        client, due_s = self._idle.popleft(), self._due_s.popleft()
        self._open[client.sock.fileno()] = _OpenRequest(due_s)
        self._sent += 1
        entry = self._sent % STABLE_ENTRIES
        client.forward("GET", f"/svc{entry}/x", {"X-Tenant": f"tenant{entry}"})

    def _receive(self, timeout_s: float) -> None:
        for descriptor, _ in self._poll.poll(timeout_s * 1000 + POLL_MARGIN_MS):
            if descriptor in self._open:
                self._receive_from(descriptor)

    def _receive_from(self, descriptor: int) -> None:
        client, request = self._by_descriptor[descriptor], self._open[descriptor]
        data = client.sock.recv(RECEIVE_BYTES)
        if not data:
            self._report.cut_off += 1
            del self._open[descriptor]
            self._poll.unregister(descriptor)
            return
        request.received += data
        status = 0
        for packet in _packets(request.received):
            if packet[0] == SEND_HEADERS:
                status = int.from_bytes(packet[1:3])
            elif packet[0] == END_RESPONSE:
                self._report.answers[status] += 1
                self._report.latencies_s.append(time.monotonic() - request.due_s)
                del self._open[descriptor]
                self._idle.append(client)

    def _take_report(self) -> ClientReport:
        report, self._report = self._report, ClientReport()
        report.sent = self._sent
        return report


class ClientProcess:
    """The way to a client that runs in a process of its own."""

    def __init__(self, commands: Connection) -> None:
        self._commands = commands

    def report(self) -> ClientReport:
        """What it saw since the last report."""
        return self._asked(Command.REPORT)

    def end(self) -> ClientReport:
        """Let it send no more, and wait for the answers that are due; its last report."""
        return self._asked(Command.END)

    def _asked(self, command: Command) -> ClientReport:
        self._commands.send(command)
        report: ClientReport = self._commands.recv()
        return report


@contextmanager
def client_process(address: Address, requests_per_s: float) -> Iterator[ClientProcess]:
    """A client that sends to an AJP front, in a process of its own."""
    with _process(_run_client, address, requests_per_s) as commands:
        yield ClientProcess(commands)


@contextmanager
def server_process() -> Iterator[str]:
    """The address of an AJP server that answers at once, in a process of its own."""
    with _process(_run_server) as pipe:
        yield pipe.recv()


def _run_client(address: Address, requests_per_s: float, commands: Connection) -> None:
    SteadyClient(address, requests_per_s).run(commands)


def _run_server(pipe: Connection) -> None:
    pipe.send(InstantServer().address)
    pipe.recv()  # until the process is killed


@contextmanager
def _process(target: Callable[..., None], *arguments: Any) -> Iterator[Connection]:
    """Run `target` in a process of its own; our end of its pipe."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("fork").Process(
        target=target, args=(*arguments, theirs), daemon=True
    )
    process.start()
    theirs.close()
    try:
        yield ours
    finally:
        process.kill()
        process.join()


def _packets(received: bytearray) -> Iterator[bytearray]:
    """The complete AJP packets in what was received, without their headers."""
    start = 0
    while len(received) >= start + PACKET_HEADER_BYTES:
        size = int.from_bytes(received[start + 2 : start + PACKET_HEADER_BYTES])
        body_start = start + PACKET_HEADER_BYTES
        if len(received) < body_start + size:
            return
        yield received[body_start : body_start + size]
        start = body_start + size
