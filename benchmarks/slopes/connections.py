"""What open connections cost: the loop's turn over its descriptors, and a real program's fronts."""

import resource
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from benchmarks.slopes.points import Bound, Measures, Probe, grown, resident, used

ROOT = Path(__file__).parent.parent.parent
TURNS, REQUESTS, REST_S = 300, 200, 4.0


def turns(size: int, seed: int) -> Measures:
    """A turn of the loop in which one of so many connections asks, and is answered."""
    from ochrehoist.net.loop import Loop
    from ochrehoist.net.stream import ConnectionClosedError, Stream

    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    loop, done = Loop(None), [0.0, 0.0]

    def waits(stream: Stream) -> None:
        with suppress(ConnectionClosedError):
            while True:
                stream.read_more()
                stream.write(bytes(stream.buffer))
                stream.buffer.clear()

    def opened() -> list:
        out = []
        for _ in range(size // 2):  # both ends are watched: each is a descriptor of the poll
            a, b = socket.socketpair()
            for end in (a, b):
                stream = Stream(loop, end)
                loop.spawn(waits, stream)
                out.append(stream)
        return out

    kept, of_streams = grown(opened)
    near, far = socket.socketpair()
    far.setblocking(True)
    loop.spawn(waits, Stream(loop, near))

    def asks() -> None:
        loop.sleep(0.01)
        began = time.thread_time()
        for _ in range(TURNS):
            far.send(b"x")
            loop.sleep(0)
            loop.sleep(0)
            far.recv(16)
        done[:] = [(time.thread_time() - began) / TURNS * 1e6, 1]
        loop.stop()

    loop.spawn(asks)
    loop.run()
    assert len(kept) == size // 2 * 2 and done[1]
    return {"ask_us": done[0], "bytes": of_streams}


class Real:
    """The program of a tree, with stand-ins behind it, and so many connections that are open and known."""

    def __init__(self, front: str, size: int) -> None:
        sys.path.insert(0, str(ROOT / "tests"))
        from instant import InstantKernel, InstantServer
        from stand_ins import Program, settings

        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        site = settings()
        site["FamilyInfo"] |= {"Cores": 16, "HeapKb": 90e6, "Idle": 600_000 * 10**6}
        how = {"thrift": front == "thrift", "ajp": front == "ajp"}
        more = {"max_connections": 19000, "idle_s": 600} if front == "ajp" else {}
        self.front = front
        self.program = Program(
            **how,
            site=site,
            server=InstantServer(),
            kernel=InstantKernel(b"a page"),
            root=ROOT,
            sockets=hard,
            **more,
        )
        self.pid = self.program.process.pid
        self.client = self._client()
        self._ask(50)
        before, self.kept = resident(self.pid), []
        for n in range(size):
            self.kept.append(self._client())
            if front == "ajp":
                self.kept[-1].cping()
            else:
                self._one(self.kept[-1], n)
                self._one(self.kept[-1], n + size)
        self.bytes = resident(self.pid) - before

    def _client(self) -> Any:
        return self.program.thrift() if self.front == "thrift" else self.program.ajp()

    def _one(self, client: Any, n: int) -> None:
        answer = client.call(obj=f"{n % 50}") if self.front == "thrift" else client.call("GET", f"/reads/{n}")
        assert answer[0] in ("Answer", 200), answer

    def _ask(self, count: int) -> None:
        for n in range(count):
            self._one(self.client, n)

    def measured(self) -> Measures:
        began = used(self.pid)
        self._ask(REQUESTS)
        each = (used(self.pid) - began) / REQUESTS * 1e6
        began, at = used(self.pid), time.monotonic()
        time.sleep(REST_S)
        rest = (used(self.pid) - began) / (time.monotonic() - at)
        return {"request_us": each, "rest_percent": 100 * rest, "bytes": max(0, self.bytes)}

    def close(self) -> None:
        self.program.process.kill()
        self.program.process.wait()


def _real(front: str, size: int) -> Measures:
    real = Real(front, size)
    try:
        return real.measured()
    finally:
        real.close()


def at_rest(size: int, seed: int) -> Measures:
    """A real appliance that nobody asks, with so many tenants, and routes in proportion."""
    sys.path.insert(0, str(ROOT / "tests"))
    from stand_ins import Program, settings

    site = settings()
    site["FamilyInfo"] |= {"Cores": 16, "HeapKb": 90e6}
    site["Tenants"] = [
        {"Name": f"tenant-{n:06}", "QuotaPerS": 100.0, "Fraction": 1 / size} for n in range(size)
    ]
    rules = [{"uri": f"/route-{n:04}/*", "class": "read"} for n in range(max(1, size * 3800 // 58000))]
    began = time.monotonic()
    program = Program(thrift=False, ajp=True, site=site, rules=rules)
    try:
        program.ajp().cping()
        ready, pid = time.monotonic() - began, program.process.pid
        time.sleep(1.0)
        before, at = used(pid), time.monotonic()
        time.sleep(REST_S)
        return {
            "rest_percent": 100 * (used(pid) - before) / (time.monotonic() - at),
            "bytes": resident(pid),
            "ready_s": ready,
        }
    finally:
        program.close()


def ajp(size: int, seed: int) -> Measures:
    return _real("ajp", size)


def thrift(size: int, seed: int) -> Measures:
    return _real("thrift", size)


REST = Bound("rest_percent", 2.1, "2.1% of a core")
ASK = Bound("request_us", 5400, "5.4 ms added to a request")

PROBES = [
    Probe(
        "turn of the loop by descriptors",
        "connections",
        (100, 1000, 5000, 10000, 18000),
        turns,
        19000,
        (
            Bound("ask_us", 5400, "5.4 ms added to a request"),
            Bound("ask_us", 5848, "a core at 171 requests a second"),
        ),
    ),
    Probe(
        "real appliance at rest by tenants and routes",
        "tenants, and 1 route for 15",
        (3, 1000, 5000, 20000, 58000),
        at_rest,
        58000,
        (REST, Bound("bytes", 64e6, "64 MB"), Bound("ready_s", 3.0, "ready within 3 s")),
    ),
    Probe("real AJP front by connections", "connections", (50, 500, 2000, 6000), ajp, 19000, (ASK, REST)),
    Probe(
        "real platform front by connections", "connections", (50, 500, 2000, 6000), thrift, 19000, (ASK, REST)
    ),
]
