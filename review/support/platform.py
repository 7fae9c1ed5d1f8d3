"""A worker of the platform with a kernel, a membership service and routers, at the site register-be.

The routers send ten requests a second, half of what the kernel's cores do. All stand-ins behave soundly.
"""

import base64
import heapq
import json
import random
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from review.support.program import Bench, CouldNotRunError, Program, free_port, settings_of, wait_until_ready
from tests.stand_ins.membership_service import MembershipService
from tests.stand_ins.sockets import LoopbackServer
from tests.stand_ins.thrift_router import ThriftReply, ThriftRouter

SEED = 44
REQUESTS_PER_S = 10.0  # of all routers; six cores do about twenty
RUN_S = (0.22, 0.38)  # mean work of a class, at speed 1
SLACK_S = 0.080 + 0.050  # Rules.GraceToAnswer, and what the page adds on sockets
MAX_LOST_SHARE = 0.003  # the share that the page allows on days with trouble
ROUTERS = 3
FILING = "filing-submit"
CLASSES = ("company-read", "extract-refresh", FILING)
CLASS_WEIGHTS = (50, 38, 12)
TENANTS = ("boekhoud-net", "fidu-plus", "startdesk")
TENANT_WEIGHTS = (40, 36, 24)


def result_of(rid: str) -> bytes:
    """What the kernel makes for a request."""
    return b"made for " + rid.encode()


@dataclass(slots=True)
class Sent:
    """A request of a router: what it asked for, when it is due, and how it ended."""

    rid: str
    method: str
    body: bytes
    sent_s: float
    due_s: float
    copied: bool = False  # whether a bad client has used its id
    replies: list[tuple[float, ThriftReply]] = field(default_factory=list)
    connection_ended: bool = False


class Cores(LoopbackServer):
    """The kernel: runs what routers sent, some 0.3 s each, and knows no other ids."""

    def __init__(self, known: dict[str, Sent], record: Any) -> None:
        self._known, self.record = known, record
        self._random = random.Random(SEED)
        self._lock = threading.Condition()
        self._running: list[tuple[float, str]] = []
        self._notices: list[dict[str, Any]] = []
        self._link: socket.socket | None = None
        self.runs: Counter[str] = Counter()
        super().__init__()
        threading.Thread(target=self._end_runs, daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Carries out the commands of one link."""
        for line in sock.makefile("rb"):
            command = json.loads(line)
            with self._lock:
                if command["cmd"] == "OPEN":
                    self._link = sock
                    self._send(cmd="BOOTED", result="WARM", elapsed_ms=60_000)
                    for notice in self._notices[command["offset"] :]:
                        self._send(**notice)
                elif command["cmd"] == "SYSINFO":
                    running = float(len(self._running))
                    load = [min(1.0, running / 6), running, 0.1, float(ROUTERS)]
                    self._send(cmd="INFO", token=command["token"], load=load)
                else:
                    self._schedule(command)

    def _schedule(self, command: dict[str, Any]) -> None:
        rid = command["req"]
        request = self._known.get(rid)
        if (
            request is None
            or request.method != command["method"]
            or request.body != base64.b64decode(command["payload"])
        ):
            self.record(f"kernel: EINVAL {rid}")
            self._send(cmd="EINVAL", result="SCHED", req=rid)
            return
        if any(rid == running for _, running in self._running):
            return
        self.record(f"kernel: run {rid}")
        self.runs[rid] += 1
        heapq.heappush(self._running, (time.monotonic() + self._random.uniform(*RUN_S), rid))
        self._lock.notify()

    def _end_runs(self) -> None:
        with self._lock:
            while True:
                while self._running and self._running[0][0] <= time.monotonic():
                    rid = heapq.heappop(self._running)[1]
                    notice = {
                        "cmd": "REAP",
                        "offset": len(self._notices) + 1,
                        "req": rid,
                        "result": "OK",
                        "elapsed_ms": 300,
                        "payload": base64.b64encode(result_of(rid)).decode(),
                    }
                    self._notices.append(notice)
                    self.record(f"kernel: end {rid}")
                    self._send(**notice)
                self._lock.wait(self._running[0][0] - time.monotonic() if self._running else None)

    def _send(self, **notice: Any) -> None:
        if self._link is not None:
            try:
                self._link.sendall(json.dumps(notice).encode() + b"\n")
            except OSError:
                self._link = None


class Router:
    """A router on one connection; a thread reads the answers."""

    def __init__(self, number: int, address: tuple[str, int], record: Any) -> None:
        self._number, self.record = number, record
        self._client = ThriftRouter(address)
        self._lock = threading.Lock()
        self._by_sequence: dict[int, Sent] = {}
        self.requests: list[Sent] = []
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, request: Sent, tenant: str, token: str | None) -> None:
        """Sends a request."""
        fields = {"peer": str(self._number), "acct": tenant, "est": "300.0", "prio": "0.5"}
        fields["t0"] = str(int(time.time() * 1000))
        if token is not None:
            fields["token"] = token
        with self._lock:
            sequence_id = self._client.invoke(request.method, request.body, rid=request.rid, **fields)
            self._by_sequence[sequence_id] = request
        self.requests.append(request)
        self.record(f"router {self._number}: sent {request.rid} {request.method}")

    def _read(self) -> None:
        client = self._client
        client.sock.settimeout(None)
        seen: set[int] = set()
        try:
            while True:
                client._read_message()
                for sequence_id in client.replies.keys() - seen:
                    seen.add(sequence_id)
                    with self._lock:
                        request = self._by_sequence[sequence_id]
                    reply = client.replies[sequence_id]
                    request.replies.append((time.monotonic(), reply))
                    self.record(f"router {self._number}: {reply.kind} {reply.fields} for {request.rid}")
        except (OSError, EOFError):
            self.record(f"router {self._number}: the worker ended the connection")
            for request in self.requests:
                request.connection_ended |= not request.replies


class BadClient:
    """A client on a connection of its own; it connects again if that is closed."""

    def __init__(self, address: tuple[str, int], record: Any) -> None:
        self._address, self.record = address, record
        self._client = ThriftRouter(address)

    def write(self, what: str, build: Any) -> ThriftRouter:
        """Sends in one write what `build` sends on the client that it is given."""
        self.record(f"bad client: {what}")
        client, pieces = self._client, _Pieces()
        sock, client.sock = client.sock, pieces  # type: ignore[assignment]
        build(client)
        client.sock = sock
        try:
            sock.sendall(pieces.data)
        except OSError:
            self.connect_again()
        return client

    def connect_again(self) -> None:
        """Opens a new connection."""
        self._client = ThriftRouter(self._address)


class _Pieces:
    """Takes what would be sent."""

    def __init__(self) -> None:
        self.data = b""

    def sendall(self, data: bytes) -> None:
        """Keeps the data."""
        self.data += data


class Platform:
    """One worker on the platform, and all that it talks to.

    Attributes:
        known: the requests of routers, by id.
    """

    def __init__(self, bench: Bench) -> None:
        self._bench = bench
        self.record = bench.record
        settings = settings_of("ajp.toml")
        self._deadline_s = settings["Classes"][0]["Deadline"] / 1e9
        self.known: dict[str, Sent] = {}
        self.kernel = Cores(self.known, bench.record)
        members = MembershipService()
        listen, self.admin = (f"127.0.0.1:{free_port()}" for _ in range(2))
        config = {
            "name": "n1",
            "listen": listen,
            "kernel": self.kernel.address,
            "members": members.address,
            "admin": self.admin,
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": settings,
        }
        path = bench.write("config.json", json.dumps(config))
        env = {"EDGE_NAME": "n1", "EDGE_LISTEN": listen, "EDGE_CONFIG": path}
        self.worker: Program = bench.start("n1", env)
        wait_until_ready(self.admin)
        self.address = ("127.0.0.1", int(listen.split(":")[1]))
        self.routers = [Router(number, self.address, bench.record) for number in range(1, ROUTERS + 1)]

    def send_load(self, duration_s: float) -> None:
        """Sends requests for so long at random distances, and waits until all of them are due."""
        rng = random.Random(SEED)
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            time.sleep(rng.expovariate(REQUESTS_PER_S))
            method = rng.choices(CLASSES, CLASS_WEIGHTS)[0]
            rid = f"{rng.getrandbits(64):016x}"
            now_s = time.monotonic()
            due_s = now_s + self._deadline_s + SLACK_S
            request = Sent(rid, method, f"body of {rid}".encode(), now_s, due_s)
            self.known[rid] = request
            token = f"{rng.getrandbits(128):032x}" if method == FILING else None
            rng.choice(self.routers).send(request, rng.choices(TENANTS, TENANT_WEIGHTS)[0], token)
        time.sleep(self._deadline_s + SLACK_S + 1.0)

    def rule_held(self, duration_s: float) -> bool:
        """Counts the requests without their one final answer in time; whether there are few enough."""
        record, requests = self.record, list(self.known.values())
        lost = 0
        for request in requests:
            in_time = [reply for at_s, reply in request.replies if at_s <= request.due_s]
            if not in_time:
                lost += 1
                state = "the connection ended" if request.connection_ended else "the connection is open"
                copied = "its id was copied" if request.copied else "its id was not copied"
                record(f"LOST {request.rid}: runs {self.kernel.runs[request.rid]}, {copied}, {state}")
            if any(r.kind == "Answer" and r.body != result_of(request.rid) for _, r in request.replies):
                lost += 1
                record(f"WRONG {request.rid}: {request.replies}")
        kinds = Counter(request.replies[0][1].kind if request.replies else "none" for request in requests)
        copied_count = sum(request.copied for request in requests)
        record.say(f"{len(requests)} requests, answers {dict(kinds)}; ids copied: {copied_count}")
        record.say(f"no final answer in time: {lost}, allowed {MAX_LOST_SHARE * len(requests):.1f}")
        if len(requests) < duration_s * REQUESTS_PER_S / 2 or kinds["Answer"] < len(requests) / 4:
            raise CouldNotRunError("too few requests were sent or served")
        return lost <= MAX_LOST_SHARE * len(requests)
