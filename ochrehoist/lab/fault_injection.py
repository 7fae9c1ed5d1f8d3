"""What is done to a play's processes and links while it runs, as its scenario tells (asyncio)."""

import asyncio
import os
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any, Protocol

from ochrehoist.lab import judge
from ochrehoist.lab.relays import Datagrams
from ochrehoist.lab.scenario import Fault, Scenario
from ochrehoist.lab.workers import Worker
from ochrehoist.peers import wire

SECRET = "the laboratory's own secret"
AFTER_S = 0.5  # s that a fault still counts after its end: what it held up comes then
TAKE_OVER_S = 10.0  # that operators wait for a new process to serve before they end the old one all the same
LINKS = ("cut", "one way", "hold", "delay", "weather", "trickle")
SERVICES = ("slow", "dead", "cuts", "cool")
# Callers of a worker may get no answer while one of these lasts; or one of LINKS, on other links than peers'.
UNANSWERED = ("pause", "kill", "leave", "crowd")


class Target(Protocol):
    """What faults are done to: a play, with its processes, links and callers."""

    scenario: Scenario
    seed: int
    root: Path
    folder: Path
    now: Callable[[], float]
    workers: dict[str, Worker]
    twins: list[Worker]
    services: dict[str, Any]
    udp: dict[tuple[str, str], Datagrams]
    tcp: dict[tuple[str, str], Any]
    callers: Any  # with `factor`, of the usual rate

    async def start(self, w: Worker) -> None: ...

    async def refuse(self, name: str) -> None: ...

    async def another_kernel(self, w: Worker) -> None: ...


class FaultInjection:
    """Carries out the faults of one play."""

    def __init__(self, play: Target) -> None:
        self.play, self.workers, self.now = play, play.workers, play.now
        self.suffered: list[judge.Fault] = []
        self.hurt: list[judge.Fault] = []  # all that was done, to workers and services, whoever may suffer it
        self.events: list[tuple[float, str]] = []
        self.answers: list[tuple[float, str, str]] = []  # what operators were told, and by whom

    async def do(self, f: Fault) -> None:
        await asyncio.sleep(max(0.0, f.at - self.now()))
        self.events.append((self.now(), f"{f.kind} {','.join(f.who)} {f.path}".strip()))
        began, who = self.now(), self.play.scenario.named(f.who)
        if f.kind in LINKS:
            await self._links(f, who)
        elif f.kind in SERVICES:
            await self._services(f, who)
        else:
            await getattr(self, "_" + f.kind)(f, who)
        self.events.append((self.now(), f"{f.kind} {','.join(f.who)} over"))
        if f.links != "peers" or f.kind not in LINKS:
            self.hurt += [judge.Fault(f.kind, n, began, self.now()) for n in who]
        if f.kind in UNANSWERED or (f.links != "peers" and f.kind in ("cut", "hold", "delay", "trickle")):
            kind = "kill" if f.kind == "leave" else f.kind
            self.suffered += [judge.Fault(kind, n, began, self.now() + AFTER_S) for n in who]

    async def _each(self, f: Fault, who: list[str], call: Callable[[str], None]) -> None:
        for at, n in enumerate(who):
            if at and f.between:
                await asyncio.sleep(f.between)
            call(n)

    # ---- links
    async def _links(self, f: Fault, who: list[str]) -> None:
        us = set(who)
        them = set(self.play.scenario.named(f.to)) or set(self.workers) - us
        udp = [
            r
            for (a, b), r in self.play.udp.items()
            if (a in us and b in them) or (f.kind != "one way" and a in them and b in us)
        ]
        tcp = [
            r
            for (a, b), r in self.play.tcp.items()
            if (f.links in ("fronts", "all") and a == "front" and b in us)
            or (f.links in ("checks", "all") and a == "check" and b in us)
            or (f.links in ("servers", "all") and a in us and (not f.to or b in f.to))
        ]
        udp = udp if f.links in ("peers", "all") else []
        self._turn(f, udp, tcp, True)
        await asyncio.sleep(f.lasts)
        self._turn(f, udp, tcp, False)

    @staticmethod
    def _turn(f: Fault, udp: list[Datagrams], tcp: list[Any], on: bool) -> None:
        for r in udp:
            if f.kind in ("cut", "one way"):
                r.fault.cut += 1 if on else -1
            elif f.kind == "hold":
                r.hold(on)
            else:
                weather = f.kind == "weather"
                r.fault.loss, r.fault.repeat = (f.amount, f.repeat) if on and weather else (0.0, 0.0)
                r.fault.delay = (
                    (0.0, 0.1) if on and weather else (f.amount / 2, f.amount) if on else (0.0, 0.0)
                )
        for r in tcp:
            if f.kind in ("cut", "one way"):
                r.cut(on)
            elif f.kind == "hold":
                r.hold(on)
            elif f.kind == "trickle":
                r.there.trickle = r.back.trickle = int(f.amount) if on else 0
            else:
                r.back.delay = (f.amount / 2, f.amount) if on else (0.0, 0.0)

    # ---- services below
    async def _services(self, f: Fault, who: list[str]) -> None:
        these = [self.play.services[n] for n in who]
        for s in these:
            if f.kind == "slow":
                s.slow = f.amount
            elif f.kind == "cuts":
                s.cuts = True
            elif f.kind == "cool":
                s.cool()
            else:
                s.stop()
        await asyncio.sleep(f.lasts)
        for s in these:
            if f.kind == "slow":
                s.slow = 1.0
            elif f.kind == "cuts":
                s.cuts = False
            elif f.kind == "dead":
                await s.start()

    # ---- processes
    async def _pause(self, f: Fault, who: list[str]) -> None:
        for n in who:
            self.workers[n].pause(True)
        await asyncio.sleep(f.lasts)
        for n in who:
            self.workers[n].pause(False)

    async def _kill(self, f: Fault, who: list[str]) -> None:
        await self._each(f, who, lambda n: self.workers[n].kill())
        await asyncio.gather(*(self.play.refuse(n) for n in who))
        await asyncio.sleep(f.lasts)
        for n in who:
            self.workers[n].change_store(f.store)
            self.workers[n].clock = f.amount  # its next process has a clock that is wrong by so much
            for service in self.workers[n].servers:
                if self.play.scenario.services.shared == 0:
                    self.play.services[service].cool()
        await asyncio.gather(*(self.play.start(self.workers[n]) for n in who))

    async def _leave(self, f: Fault, who: list[str]) -> None:
        for n in who:
            self.workers[n].signal(signal.SIGTERM)
        for n in who:
            await asyncio.to_thread(self.workers[n].process.wait)
            await self.play.refuse(n)
        await asyncio.sleep(f.lasts)
        await asyncio.gather(*(self.play.start(self.workers[n]) for n in who))

    async def _crowd(self, f: Fault, who: list[str]) -> None:
        cores = os.sched_getaffinity(0)
        burners = [b for n in who for b in self.workers[n].crowd(max(1, int(f.amount)))]
        try:
            await asyncio.sleep(f.lasts)
        finally:
            for b in burners:
                b.kill()
                b.wait()
            os.sched_setaffinity(0, cores)
        for n in who:
            if self.workers[n].process.poll() is None:
                os.sched_setaffinity(self.workers[n].process.pid, cores)

    async def _replace(self, f: Fault, who: list[str]) -> None:
        """Another process takes over from each, as on an upgrade."""
        for n in who:
            w = self.workers[n]
            old = w.process
            if w.platform:
                await self.play.another_kernel(w)
            try:
                await self.play.start(w)
                await self._takes_over(w)
            finally:
                old.terminate()
            await asyncio.to_thread(old.wait)

    async def _takes_over(self, w: Worker) -> None:
        """Until it says that it serves: the one before it is ended then, and no sooner."""
        until = self.now() + TAKE_OVER_S
        while self.now() < until:
            with suppress(OSError):
                if (await w.status())["state"] == "up":
                    return
            await asyncio.sleep(0.05)

    async def _twin(self, f: Fault, who: list[str]) -> None:
        """A second process of the same name, with a copy of the file."""
        for n in who:
            w = self.workers[n]
            twin = Worker(f"{n}'", self.play.scenario, self.play.folder, self.play.root)
            twin.servers, twin.peers, twin.more = w.servers, w.peers, w.more
            self.play.twins.append(twin)
            await self.play.start(twin)
        await asyncio.sleep(f.lasts)
        for twin in self.play.twins:
            twin.kill()

    async def _reload(self, f: Fault, who: list[str]) -> None:
        """All budgets get another amount; the workers named read their files again."""
        for n in who:
            w = self.workers[n]
            if w.peers is not None:
                w.peers = w.peers | {"budgets": [b | {"amount": int(f.amount)} for b in w.peers["budgets"]]}
            # The addresses that it took must stay: only what may change in a running worker is written anew.
            w.write()
            w.signal(signal.SIGHUP)

    async def _clock(self, f: Fault, who: list[str]) -> None:
        """The wall clock of a running process is wrong by so much from now on."""
        for n in who:
            self.workers[n].set_clock(f.amount)
        await asyncio.sleep(f.lasts)
        for n in who:
            self.workers[n].set_clock(0.0)

    async def _disk(self, f: Fault, who: list[str]) -> None:
        """No file of these can grow: every write that needs room fails, as on a full or read-only disk."""
        for n in who:
            self.workers[n].disk(full=True)
        await asyncio.sleep(f.lasts)
        for n in who:
            self.workers[n].disk(full=False)

    async def _call(self, f: Fault, who: list[str]) -> None:
        """Operators post to each."""
        for n in who:
            with suppress(OSError):
                self.answers.append((self.now(), n, await self.workers[n].post(f.path)))

    async def _rate(self, f: Fault, who: list[str]) -> None:
        self.play.callers.factor *= f.amount
        await asyncio.sleep(f.lasts)
        self.play.callers.factor /= f.amount

    # ---- messages that nobody should believe
    async def _inject(self, f: Fault, who: list[str], data: Callable[[], bytes], each: float) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            until = self.now() + f.lasts
            while self.now() < until:
                for n in who:
                    with suppress(OSError):
                        sock.sendto(data(), self.workers[n].at["Peers"])
                await asyncio.sleep(each)

    async def _garble(self, f: Fault, who: list[str]) -> None:
        rng = Random(f"{self.play.seed}/garble")
        await self._inject(f, who, lambda: wire.MAGIC + rng.randbytes(rng.randint(0, 400)), 0.002)

    async def _flood(self, f: Fault, who: list[str]) -> None:
        """From one that knows the secret, and says what nobody asked for."""
        rng, life = Random(f"{self.play.seed}/flood"), wire.Incarnation("w99", 1, 1)
        seq = iter(range(1, 10**9))

        def data() -> bytes:
            items = [wire.Ack(rng.getrandbits(60))]
            m = wire.Message("lab", life, "w0", wire.UNKNOWN_INCARNATION, next(seq), items)
            return wire.encode_datagram(m, SECRET.encode())

        await self._inject(f, who, data, 0.0005)

    async def _replay(self, f: Fault, who: list[str]) -> None:
        """All that comes to these is recorded, and comes once more when the fault ends."""
        relays = [r for (_, b), r in self.play.udp.items() if b in who]
        kept: list[tuple[Datagrams, bytes]] = []
        for r in relays:

            def tap(data: bytes, source: Any, r: Datagrams = r, usual: Any = r.datagram_received) -> None:
                if len(kept) < 5000:
                    kept.append((r, data))
                usual(data, source)

            r.datagram_received = tap
        await asyncio.sleep(f.lasts)
        for r in relays:
            del r.datagram_received
        for r, data in kept:
            r._send(data)
