"""Hollow workers: many in one process, each with a worker's own core, module, settings and peers, over real
datagrams; without clients, servers and listeners. `Shell` is the process: orders on its standard input, one
JSON object a line, each answered by a line. It ends with its input, its parent, its time, or an order.

It imports only what the program itself has, so that it can run the parts of an earlier tree (PYTHONPATH).
"""

import ctypes
import json
import os
import resource
import select
import signal
import socket
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

from greenlet import GreenletExit

from ochrehoist.admission.events import Event, TimerFired
from ochrehoist.app.reload import ConfigReloader
from ochrehoist.app.resource_limits import BODY_MEMORY_FRACTION, RESULT_MEMORY_FRACTION
from ochrehoist.config import loader as configuration
from ochrehoist.config.schema import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import ExecutorReady
from ochrehoist.lab.toml import toml
from ochrehoist.net.ajp_reader import AjpReader
from ochrehoist.net.ajp_server import AjpServers, CallOutcome
from ochrehoist.net.loop import Loop, Signal, steady_clock
from ochrehoist.net.peer_transport import DatagramSocket, open_datagram_socket
from ochrehoist.net.peers import TICK_S, Peers
from ochrehoist.peers.wire import CounterSnapshot, Incarnation, MemberState, MemberUpdate

try:
    from ochrehoist.app.reload_change import commit_only
except ImportError:  # a tree of before the reading in steps: its parts take a configuration whole
    commit_only = None

PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
BEATS = 256  # of the module, whose cost is kept
OLD, NEWS_PER_S = 10_000, 120.0  # of members that begin as met: their statuses so far; told of in a second
RUN_S = 0.05  # of a run that is only told of
TAKEN_LOOK_S = 0.005  # between two looks whether a change is in force
Address = tuple[str, int]
Tell = Callable[[dict[str, Any]], None]  # answers an order, now or later


LIBC = ctypes.CDLL(None)


def die_with_parent() -> None:
    """Linux: this process is killed when the one that started it ends, however that ends."""
    LIBC.prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def resident_kb() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_KB


class SlowClock:
    """Steady and wall clock at a part of their speed: so many can share a core without being late."""

    def __init__(self, pace: float) -> None:
        self.pace = pace
        self.real = time.monotonic_ns
        self.began, self.wall = time.monotonic_ns(), time.time_ns()

    def passed(self) -> int:
        return int((self.real() - self.began) * self.pace)

    def set(self) -> None:
        if self.pace == 1:
            return
        time.monotonic_ns = lambda: self.began + self.passed()
        time.monotonic = lambda: (self.began + self.passed()) / 1e9
        time.time_ns = lambda: self.wall + self.passed()
        time.time = lambda: (self.wall + self.passed()) / 1e9


class Poll:
    """`select.epoll` in place of `select.poll`: its cost does not grow with descriptors, of which a real
    worker has few. Waits are told in ms of the slow clock."""

    def __init__(self, pace: float) -> None:
        self.epoll, self.pace = select.epoll(), pace

    def register(self, fd: int, events: int) -> None:
        try:
            self.epoll.register(fd, events)
        except FileExistsError:
            self.epoll.modify(fd, events)

    def unregister(self, fd: int) -> None:
        try:
            self.epoll.unregister(fd)
        except OSError:  # closed before
            raise KeyError(fd) from None

    def poll(self, wait: float | None = None) -> list[tuple[int, int]]:
        return self.epoll.poll(None if wait is None else wait / 1000 / self.pace)


class Log:
    """Counts faults; says nothing: hundreds of logs are nobody's to read."""

    def __init__(self) -> None:
        self.faults: Counter = Counter()

    def bind(self, **_: Any) -> "Log":
        return self

    def info(self, event: str, **_: Any) -> None:
        pass

    debug = warning = info

    def error(self, event: str, **_: Any) -> None:
        self.faults[event] += 1

    def exception(self, event: str, **_: Any) -> None:
        self.faults[f"{event}: {sys.exc_info()[1]!r}"] += 1


class Network:
    """Which datagrams pass: none between those inside and outside a cut."""

    def __init__(self) -> None:
        self.cuts: list[frozenset[Address]] = []

    def passes(self, a: Address, b: Address) -> bool:
        return all((a in cut) == (b in cut) for cut in self.cuts)


class Link:
    """A worker's datagram socket on that network."""

    def __init__(self, sock: DatagramSocket, network: Network, address: Address) -> None:
        self.sock, self.network, self.address = sock, network, address
        self.fileno, self.close, self.getsockname = sock.fileno, sock.close, sock.getsockname
        self.received = 0

    def sendto(self, data: bytes, to: Address) -> int:
        if self.network.cuts and not self.network.passes(self.address, to):
            return len(data)  # it leaves, and is lost
        return self.sock.sendto(data, to)

    def recvfrom(self, most: int) -> tuple[bytes, Address]:
        while True:
            data, source = self.sock.recvfrom(most)
            if not self.network.cuts or self.network.passes(source, self.address):
                self.received += 1
                return data, source


class HollowPeers(Peers):
    """A worker's peers whose datagrams go over a network that can be cut."""

    def __init__(self, loop: Loop, owner: CoreActor, config: Config, log: Log, network: Network) -> None:
        self.link: Link | None = None

        def open_link(listen: Address) -> Link:
            self.link = Link(open_datagram_socket(listen), network, listen)
            return self.link

        super().__init__(loop, owner, config, log, open_link)

    @property
    def received(self) -> int:
        return self.link.received if self.link is not None else 0


class MeteredOwner(CoreActor):
    """Tells what each beat of the module cost, in s of this thread."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.beats: deque[float] = deque(maxlen=BEATS)

    def dispatch(self, event: Event, at_ns: int | None = None) -> bool:
        if type(event) is not TimerFired:
            return super().dispatch(event, at_ns)
        began = time.thread_time()
        done = super().dispatch(event, at_ns)
        self.beats.append(time.thread_time() - began)
        return done


class Hollow:
    """One worker without what is around it. `path`: the file that it reads when told to."""

    def __init__(self, loop: Loop, network: Network, config: Config, path: Path, seed: int, log: Log) -> None:
        self.loop, self.config, self.path, self.rng = loop, config, path, Random(f"{seed}/{config.name}")
        self.waker = Signal(loop)
        bytes_ = int(config.memory_mb * 1e6)
        self.owner = MeteredOwner(
            config.settings,
            seed,
            self.waker,
            steady_clock(),
            time.time_ns,
            log,
            int(bytes_ * RESULT_MEMORY_FRACTION),
            lambda: self.servers.measure(),
        )
        self.servers = AjpServers(loop, self.owner, config.ajp, int(bytes_ * BODY_MEMORY_FRACTION), log)
        self.reader = AjpReader(self.owner, self.servers, config.ajp)
        self.owner.post(ExecutorReady(None, 0))
        self.peers = HollowPeers(loop, self.owner, config, log, network)
        # The choices of a worker are chance's; here a seed's.
        self.peers.group.rng.seed(self.rng.random())
        self.peers.group.members.rng.seed(self.rng.random())
        self.owner.register_listener(self.peers)
        self.servers.use_advisor(self.peers)
        self.reloading = ConfigReloader(loop, self.owner, config, str(path), self._parts(), None, log)
        self.ended = False

    def _parts(self) -> list[Callable[..., Any]]:
        servers, reader, peers = self.servers, self.reader, self.peers
        if commit_only is None:
            return [
                lambda new: servers.configure(new.ajp),
                lambda new: reader.configure(new.ajp, new.settings),
                peers.configure,
            ]
        return [
            commit_only(lambda new, _: servers.configure(new.ajp)),
            lambda new, _: reader.prepare(new.ajp, new.settings),
            peers.prepare,
        ]

    def start(self) -> None:
        self.task = self.loop.spawn(self.owner.run)
        self.peers.start()

    def kill(self) -> None:
        """As SIGKILL would: no goodbye."""
        self.ended = True
        self.peers.transport.close()
        self.waker.waiter = None
        self.task.throw(GreenletExit)

    def use(self, each: float) -> None:
        """Tells the parts that judge and count of a request that was served, each so many s."""
        if self.ended:
            return
        s, p = self.owner.settings, self.peers
        request = SimpleNamespace(
            request_class=self.rng.choice(s.classes),
            tenant=self.rng.choice(s.tenants).name if s.tenants else None,
        )
        p.request_arrived(request)
        server = p.rank_servers({})[0]
        ticket = p.begin_call(server, request.request_class.name)
        self.loop.call_later(RUN_S, lambda: self._used(request, ticket))
        self.loop.call_later(each * self.rng.uniform(0.5, 1.5), lambda: self.use(each))

    def _used(self, request: Any, ticket: int | None) -> None:
        if ticket is not None:
            self.peers.end_call(ticket, CallOutcome.OK)
        self.peers.request_answered(request, "answered_total", 0)

    def alive(self) -> int:
        return sum(m.state == MemberState.ALIVE for m in self.peers.group.members.members.values())

    def counters(self) -> dict[str, Any]:
        """Since its start: bytes, messages and s of processor time for peers."""
        p, g = self.peers, self.peers.group
        return {
            "name": self.config.name,
            "bytes_out": p.transport.sent_bytes,
            "bytes_in": p.transport.received_bytes,
            "sent": p.transport.sent_count,
            "received": p.received,
            "peers_cpu_s": p.cpu_s,
            "alive": self.alive(),
            "late": g.members.stall_count,
            "deaths": len(g.members.deaths),
            "rejected": sum(p.transport.rejected_counts.values()),
            "beats": list(self.owner.beats),
            "state_bytes": sum(len(m.status) for m in g.members.members.values()),
            "held": sum(s.holder.amount(time.monotonic()) for s in g.shares.values()),
            "status": len(g.own_status.encoded),
        }


class Shell:
    """The process. `spec`: `template` (a file), `workers` (name and peers' table of each), `seed`, `pace`,
    `limit_s`, `uses` (a second), `folder`."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec, self.log = spec, Log()
        self.loop = Loop(self.log, Poll(spec["pace"]))
        self.loop.observe_iterations(self._round)
        self.network, self.hollows = Network(), {}
        self.late = self.harness = 0.0
        self.input = b""

    def run(self) -> None:
        os.set_blocking(0, False)
        self.say({"ready": os.getpid()})
        self.loop.on_readable(0, self._heard)
        self.loop.run()

    def _round(self, took: float, late: float) -> None:
        self.late = max(self.late, late)

    def _heard(self) -> None:
        try:
            data = os.read(0, 1 << 20)
        except BlockingIOError:
            return
        if not data:
            return self.loop.stop()
        *lines, self.input = (self.input + data).split(b"\n")
        for line in lines:
            order = json.loads(line)
            number, do = order.pop("id"), getattr(self, "do_" + order.pop("do"))

            def tell(answer: dict[str, Any], number: int = number) -> None:
                self.say(answer | {"id": number})

            try:
                answer = do(tell, **order)
            except Exception as error:
                answer = {"error": repr(error)}
            if answer is not None:
                tell(answer)

    @staticmethod
    def say(answer: dict[str, Any]) -> None:
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()

    # ---- orders
    def do_end(self, tell: Tell) -> dict[str, Any]:
        self.loop.stop()
        return {"ended": True}

    def do_empty(self, tell: Tell, seconds: float) -> None:
        """What this process costs with as many sockets and beats as its hollows, which do nothing."""
        socks = []
        for _ in self.spec["workers"]:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            self.loop.on_readable(sock.fileno(), lambda: None)
            socks.append(sock)
        until = time.monotonic() + seconds

        def beat(each: float) -> None:
            if time.monotonic() < until:
                self.loop.call_later(each, lambda: beat(each))

        for n in range(len(socks)):
            self.loop.call_later(0.05 * n / len(socks), lambda: beat(0.05))
            self.loop.call_later(0.1 * n / len(socks), lambda: beat(0.1))
        began = time.process_time()

        def over() -> None:
            spent = time.process_time() - began
            for sock in socks:
                self.loop.forget(sock.fileno())
                sock.close()
            tell({"cpu_s": spent, "seconds": seconds})

        self.loop.call_later(seconds, over)

    def do_start(self, tell: Tell, over: float) -> dict[str, Any]:
        """Begins all, spread over so many s."""
        before = resident_kb()
        path = self._file(self.spec["workers"][0])
        self.config = configuration.load(str(path), {})
        settings_kb = resident_kb() - before
        path.unlink()
        for n, w in enumerate(self.spec["workers"]):
            self.loop.call_later(over * n / len(self.spec["workers"]), lambda w=w: self._begin(w))
        return {"base_kb": before, "settings_kb": settings_kb}

    def _begin(self, w: dict[str, Any]) -> None:
        config, t = self.config, w["peers"]
        listen, members = address(t["listen"]), {n: address(a) for n, a in t["members"].items()}
        config = replace(
            config,
            name=w["name"],
            peers=replace(
                config.peers, listen=listen, advertised_address=listen, site=t["site"], members=members
            ),
        )
        hollow = Hollow(self.loop, self.network, config, self._path(w), self.spec["seed"], self.log)
        self.hollows[w["name"]] = hollow
        hollow.start()
        if self.spec["uses"]:
            self.loop.call_later(
                hollow.rng.random() / self.spec["uses"], lambda: hollow.use(1 / self.spec["uses"])
            )

    def do_lives(self, tell: Tell) -> dict[str, Any]:
        groups = [h.peers.group for h in self.hollows.values()]
        return {
            "lives": [
                [
                    [g.incarnation.name, g.incarnation.number, g.incarnation.boot_id],
                    g.settings.address,
                    g.settings.site,
                    g.own_status.version,
                    g.own_status.encoded.hex(),
                ]
                for g in groups
            ]
        }

    def do_meet(self, tell: Tell, lives: list[Any]) -> dict[str, Any]:
        """As if each had heard of all others, and from them, and had told what there is to tell."""
        now, refused = time.monotonic(), 0
        for h in self.hollows.values():
            g, m = h.peers.group, h.peers.group.members
            g.own_status.version += OLD
            for life, at, site, version, status in lives:
                if life[0] == m.life.name:
                    continue
                # As at rest: so long ago was each heard of, by one way or another.
                ago, who = h.rng.expovariate(NEWS_PER_S / len(lives)), Incarnation(*life)
                version = max(0, version + OLD - int(ago / TICK_S))
                refused += not m.on_message_from(who, at, site, now)
                age = int(1000 * ago)
                m.apply_status(
                    MemberUpdate(who, at, site, MemberState.ALIVE, version, age, bytes.fromhex(status)),
                    0.0,
                    now,
                )
                g.counters.merge_snapshot(CounterSnapshot(who, 0, age, False, {}), 0.0, now)
            m.gossip.remaining.clear()
            m.established, m.last_ack_at = True, now
        return {"refused": refused}

    def do_look(self, tell: Tell) -> dict[str, Any]:
        """How many others each believes to be alive, and what this process holds."""
        began = time.thread_time()
        alive = [h.alive() for h in self.hollows.values()]
        answer = {
            "alive": alive,
            "rss_kb": resident_kb(),
            "late_s": self.late,
            "held": sum(
                s.holder.amount(time.monotonic())
                for h in self.hollows.values()
                for s in h.peers.group.shares.values()
            ),
            "faults": dict(self.log.faults),
        }
        self.late = 0.0
        self.harness += time.thread_time() - began
        return answer

    def do_mark(self, tell: Tell) -> dict[str, Any]:
        began = time.thread_time()
        hollows = [h.counters() for h in self.hollows.values()]
        self.harness += time.thread_time() - began
        return {
            "at": time.monotonic(),
            "cpu_s": time.process_time(),
            "harness_s": self.harness,
            "hollows": hollows,
            "rss_kb": resident_kb(),
            "peak_kb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
        }

    def do_cut(self, tell: Tell, inside: list[Address], on: bool) -> dict[str, Any]:
        cut = frozenset((host, port) for host, port in inside)
        (self.network.cuts.append if on else self.network.cuts.remove)(cut)
        return {"cuts": len(self.network.cuts)}

    def do_restart(self, tell: Tell, names: list[str], down: float) -> dict[str, Any]:
        """Ends these at once, as SIGKILL would, and begins them again after so many s."""
        mine = [w for w in self.spec["workers"] if w["name"] in names and w["name"] in self.hollows]
        for w in mine:
            self.hollows.pop(w["name"]).kill()
        for w in mine:
            self.loop.call_later(down, lambda w=w: self._begin(w))
        return {"restarted": len(mine)}

    # ---- changes
    def do_template(self, tell: Tell, text: str) -> dict[str, Any]:
        self.spec["text"] = text
        return {"bytes": len(text)}

    def _path(self, w: dict[str, Any]) -> Path:
        return Path(self.spec["folder"], f"{w['name']}.toml")

    def _file(self, w: dict[str, Any]) -> Path:
        """Its own file: the common one with its name and its peers' table."""
        path = self._path(w)
        path.write_text(f"name = {toml(w['name'])}\npeers = {toml(w['peers'])}\n{self.spec['text']}")
        return path

    def do_take(self, tell: Tell, quota: float, within: float) -> None:
        """Each reads its file again, one a turn of the loop; the first tenant's quota tells the version."""
        waiting = [w for w in self.spec["workers"] if w["name"] in self.hollows]
        taken: dict[str, Any] = {"held_s": [], "cpu_s": [], "in_force_s": []}
        until = time.monotonic() + within

        def order() -> None:
            while waiting and waiting[-1]["name"] not in self.hollows:  # ended meanwhile
                waiting.pop()
            if not waiting or time.monotonic() > until:
                return tell(taken | {"missed": len(waiting)})
            w = waiting.pop()
            hollow, path = self.hollows[w["name"]], self._file(w)
            at, cpu = time.monotonic(), time.thread_time()
            hollow.reloading.request_reload()
            held = time.monotonic() - at
            look(hollow, at, cpu, held, path)

        def look(hollow: Hollow, at: float, cpu: float, held: float, path: Path) -> None:
            in_force = hollow.owner.settings.tenants[0].quota_per_s == quota
            if not in_force and not hollow.ended and time.monotonic() <= until:
                self.loop.call_later(TAKEN_LOOK_S, lambda: look(hollow, at, cpu, held, path))
                return
            if in_force:
                taken["in_force_s"].append(time.monotonic() - at)
                taken["held_s"].append(max(held, hollow.reloading.status.longest_hold_s))
                taken["cpu_s"].append(time.thread_time() - cpu)  # with that of others meanwhile
            path.unlink(missing_ok=True)
            self.loop.call_later(0.0, order)

        order()


def main(read: Callable[[], str] = sys.stdin.readline) -> None:
    parent = os.getppid()
    die_with_parent()
    if os.getppid() != parent:
        return
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the parent's, which ends this one
    spec = json.loads(read())
    signal.alarm(max(1, int(spec["limit_s"])))  # whatever the loop does, it ends then
    SlowClock(spec["pace"]).set()
    Shell(spec).run()


if __name__ == "__main__":
    main()
