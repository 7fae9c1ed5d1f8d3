"""The load of a flood: routers that keep many reads open, and busy processes on the worker's processor.

Each function runs in a process of its own.
"""

import os
import select
import socket
import time
from dataclasses import dataclass, field
from multiprocessing.queues import Queue

from ochrehoist.net import thrift

WORKER_CPU = 0
ROUTER_CPUS_FROM = 2  # routers run on this processor and those above
ROUTERS = 4
CONNECTIONS = 16  # of all routers together
OPEN_READS = 32  # on each connection
FRAME_HEADER_BYTES = 4
RECEIVE_BYTES = 1 << 16
POLL_TIMEOUT_MS = 100
MAX_KEPT_SAMPLES = 2000  # latencies that a router reports
KEYS = 100


@dataclass(frozen=True)
class RouterReport:
    """What one router saw: how many reads were answered, and latencies of a part of them in seconds."""

    answered: int
    latencies_s: list[float]


@dataclass
class FloodConnection:
    """One connection of a router: unread bytes, and when each open read was sent."""

    sock: socket.socket
    first_request_number: int
    buffer: bytes = b""
    seqid: int = 0
    sent_at: dict[int, float] = field(default_factory=dict)

    def send_reads(self, count: int) -> None:
        """Send so many reads at once."""
        frames = b""
        for _ in range(count):
            self.seqid += 1
            frames += read_frame(self.seqid, self.first_request_number + self.seqid)
            self.sent_at[self.seqid] = time.monotonic()
        self.sock.setblocking(True)
        self.sock.sendall(frames)
        self.sock.setblocking(False)

    def receive(self) -> list[float]:
        """Latencies in seconds of the reads that were answered; ConnectionError where it was closed."""
        data = self.sock.recv(RECEIVE_BYTES)
        if not data:
            message = "the worker closed a connection of the flood"
            raise ConnectionError(message)
        self.buffer += data
        latencies_s = []
        while (frame := self._next_frame()) is not None:
            latencies_s.append(time.monotonic() - self.sent_at.pop(thrift.parse_message(frame).seqid))
        return latencies_s

    def _next_frame(self) -> bytes | None:
        if len(self.buffer) < FRAME_HEADER_BYTES:
            return None
        end = FRAME_HEADER_BYTES + int.from_bytes(self.buffer[:FRAME_HEADER_BYTES], "big")
        if len(self.buffer) < end:
            return None
        frame, self.buffer = self.buffer[FRAME_HEADER_BYTES:end], self.buffer[end:]
        return frame


def read_frame(seqid: int, request_number: int) -> bytes:
    """A read as a router sends it, with its length."""
    values = {
        "method": "read",
        "rid": f"{request_number:016x}",
        "t0": str(time.time_ns() // 1_000_000),
        "peer": "1",
        "acct": "acme",
        "est": "100.0",
        "mem": "20.0",
        "prio": "0.5",
        "obj": f"{request_number % KEYS:x}",
    }
    packed = thrift.encode_string_map({name.encode(): value.encode() for name, value in values.items()})
    arguments = (
        thrift.encode_field(thrift.MAP, 1, packed)
        + thrift.encode_field(thrift.STRING, 2, thrift.encode_string(b"x"))
        + thrift.STRUCT_END
    )
    return thrift.encode_message(thrift.CALL, b"invoke", seqid, arguments)


def run_router(
    address: tuple[str, int], duration_s: float, router_number: int, reports: "Queue[RouterReport]"
) -> None:
    """Send the next read as one is answered, until the time is up; puts one report."""
    os.sched_setaffinity(0, set(range(ROUTER_CPUS_FROM, os.cpu_count() or 1)))
    connections = _open_connections(address, router_number)
    poll = select.poll()
    for descriptor in connections:
        poll.register(descriptor, select.POLLIN)
    latencies_s: list[float] = []
    end_s = time.monotonic() + duration_s
    for connection in connections.values():
        connection.send_reads(OPEN_READS)
    while time.monotonic() < end_s:
        for descriptor, _ in poll.poll(POLL_TIMEOUT_MS):
            answered = connections[descriptor].receive()
            latencies_s += answered
            connections[descriptor].send_reads(len(answered))
    kept = latencies_s[:: max(1, len(latencies_s) // MAX_KEPT_SAMPLES)]
    reports.put(RouterReport(len(latencies_s), kept))


def run_busy_process(duration_s: float) -> None:
    """Keep the worker's processor busy."""
    os.sched_setaffinity(0, {WORKER_CPU})
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        sum(range(10_000))


def _open_connections(address: tuple[str, int], router_number: int) -> dict[int, FloodConnection]:
    """The router's connections by descriptor; request numbers of no two connections meet."""
    connections = {}
    for number in range(CONNECTIONS // ROUTERS):
        sock = socket.create_connection(address)
        sock.setblocking(False)
        connections[sock.fileno()] = FloodConnection(sock, (router_number << 40) + (number << 32))
    return connections
