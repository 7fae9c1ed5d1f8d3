"""What open connections cost: the loop's turn over its descriptors, and a real program's fronts."""

import resource
import socket
import time
from collections.abc import Callable
from contextlib import closing, suppress
from functools import partial
from pathlib import Path

import structlog

from benchmarks.scaling.admission_probes import ALL_TENANTS
from benchmarks.scaling.probe import Limit, Measures, Probe
from benchmarks.scaling.timing import cpu_us, with_memory_growth
from benchmarks.shared.process_usage import cpu_s, resident_bytes
from benchmarks.shared.samples import US_PER_S
from benchmarks.shared.stand_ins import WorkerProcess
from benchmarks.shared.workers import (
    Front,
    ReadClient,
    equal_tenants,
    large_machine_settings,
    start_instant_worker,
)
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream

TURNS = 300
WARMUP_READS = 50
TIMED_READS = 200
REST_S = 4.0
SETTLE_S = 1.0  # after a start, until rest is measured
IDLE_TIMEOUT_NS = 600_000 * 10**6  # connections stay open throughout
IDLE_TIMEOUT_S = 600
MAX_CONNECTIONS = 19_000
LARGE_ROUTES = 3_800  # at 58,000 tenants, and in proportion below
AT_REST = Limit("rest_percent", 2.1, "2.1% of a core")
ADDED_DELAY = Limit("request_us", 5400, "5.4 ms added to a request")


def loop_turn_by_descriptors(size: int, seed: int) -> Measures:  # noqa: ARG001 - every probe gets a seed
    """A turn of the loop in which one of so many connections asks and is answered."""
    raise_descriptor_limit()
    loop = Loop(structlog.get_logger())
    streams, streams_bytes = with_memory_growth(lambda: _open_echoing_streams(loop, size))
    near, far = socket.socketpair()
    far.setblocking(True)
    loop.spawn(_echo, Stream(loop, near))
    turn_us: list[float] = []

    def ask() -> None:
        loop.sleep(0.01)
        turn_us.append(cpu_us(partial(_ask_repeatedly, loop, far)) / TURNS)
        loop.stop()

    loop.spawn(ask)
    loop.run()
    assert len(streams) == size // 2 * 2
    return {"turn_us": turn_us[0], "bytes": streams_bytes}


def front_by_connections(root: Path, front: Front, size: int, seed: int) -> Measures:  # noqa: ARG001
    """The program of a tree with so many connections that are open and known to one front."""
    descriptors = raise_descriptor_limit()
    settings = large_machine_settings(Idle=IDLE_TIMEOUT_NS)
    limits = {"max_connections": MAX_CONNECTIONS, "idle_s": IDLE_TIMEOUT_S} if front is Front.AJP else {}
    worker = start_instant_worker(front, settings, root, sockets=descriptors, **limits)
    try:
        client = ReadClient(worker, front)
        client.read_many(WARMUP_READS)
        before_bytes = resident_bytes(worker.process.pid)
        clients = []
        for _ in range(size):
            clients.append(ReadClient(worker, front))
            clients[-1].check_connection()
        connections_bytes = resident_bytes(worker.process.pid) - before_bytes
        began_s = cpu_s(worker.process.pid)
        client.read_many(TIMED_READS)
        request_us = (cpu_s(worker.process.pid) - began_s) / TIMED_READS * US_PER_S
        return {
            "request_us": request_us,
            "rest_percent": _rest_percent(worker),
            "bytes": max(0, connections_bytes),
        }
    finally:
        worker.process.kill()  # not close(): that would wait for what thousands of connections leave behind
        worker.process.wait()


def appliance_at_rest(root: Path, size: int, seed: int) -> Measures:  # noqa: ARG001
    """A real appliance that nobody asks, with so many tenants, and routes in proportion."""
    settings = large_machine_settings()
    settings["Tenants"] = equal_tenants((f"tenant-{number:06}" for number in range(size)), 100.0)
    routes = [
        {"uri": f"/route-{number:04}/*", "class": "read"}
        for number in range(max(1, size * LARGE_ROUTES // ALL_TENANTS))
    ]
    began_s = time.monotonic()
    worker = WorkerProcess(thrift=False, ajp=True, site=settings, rules=routes, root=root)
    with closing(worker):
        worker.ajp_client().cping()
        ready_s = time.monotonic() - began_s
        time.sleep(SETTLE_S)
        return {
            "rest_percent": _rest_percent(worker),
            "bytes": resident_bytes(worker.process.pid),
            "ready_s": ready_s,
        }


def raise_descriptor_limit() -> int:
    """Raise this process's limit of descriptors as far as it may; the new limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _rest_percent(worker: WorkerProcess) -> float:
    """Processor time of a worker that nobody asks, in percent of one core."""
    began_cpu_s, began_s = cpu_s(worker.process.pid), time.monotonic()
    time.sleep(REST_S)
    return 100 * (cpu_s(worker.process.pid) - began_cpu_s) / (time.monotonic() - began_s)


def _open_echoing_streams(loop: Loop, count: int) -> list[Stream]:
    """Both ends of socket pairs, each a descriptor of the poll."""
    streams = []
    for _ in range(count // 2):
        for end in socket.socketpair():
            stream = Stream(loop, end)
            loop.spawn(_echo, stream)
            streams.append(stream)
    return streams


def _echo(stream: Stream) -> None:
    with suppress(ConnectionClosedError):
        while True:
            stream.read_more()
            stream.write(bytes(stream.buffer))
            stream.buffer.clear()


def _ask_repeatedly(loop: Loop, client: socket.socket) -> None:
    for _ in range(TURNS):
        client.send(b"x")
        loop.sleep(0)
        loop.sleep(0)
        client.recv(16)


def connection_probes(root: Path) -> list[Probe]:
    """The probes of this module; real programs are those of the tree at `root`."""

    def by_connections(front: Front) -> Callable[[int, int], Measures]:
        return partial(front_by_connections, root, front)

    connection_counts = (50, 500, 2000, 6000)
    return [
        Probe(
            "loop turn by descriptors",
            "connections",
            (100, 1000, 5000, 10000, 18000),
            loop_turn_by_descriptors,
            MAX_CONNECTIONS,
            (
                Limit("turn_us", 5400, "5.4 ms added to a request"),
                Limit("turn_us", 5848, "a core at 171 requests a second"),
            ),
        ),
        Probe(
            "appliance at rest by tenants and routes",
            "tenants, and 1 route for 15",
            (3, 1000, 5000, 20000, ALL_TENANTS),
            partial(appliance_at_rest, root),
            ALL_TENANTS,
            (AT_REST, Limit("bytes", 64e6, "64 MB"), Limit("ready_s", 3.0, "ready within 3 s")),
        ),
        Probe(
            "AJP front by connections",
            "connections",
            connection_counts,
            by_connections(Front.AJP),
            MAX_CONNECTIONS,
            (ADDED_DELAY, AT_REST),
        ),
        Probe(
            "Thrift front by connections",
            "connections",
            connection_counts,
            by_connections(Front.THRIFT),
            MAX_CONNECTIONS,
            (ADDED_DELAY, AT_REST),
        ),
    ]
