"""One play: real workers in real time, every link through a relay, faults as the scenario tells (asyncio)."""

import asyncio
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from ochrehoist.lab import judge
from ochrehoist.lab.callers import MARGIN_S, AjpAsker, Callers
from ochrehoist.lab.ends import Clock, Run, Server
from ochrehoist.lab.fault_injection import SECRET, FaultInjection
from ochrehoist.lab.relays import Connections, Datagrams
from ochrehoist.lab.scenario import Scenario
from ochrehoist.lab.workers import ROOT, Worker
from ochrehoist.plan.cores import Machine

LOOK_S = 0.02  # between looks at how late this process itself is
STATUS_S = 0.25


class Play:
    """`root`: the tree that workers are run from, to compare versions."""

    def __init__(self, scenario: Scenario, seed: int, root: Path = ROOT) -> None:
        self.scenario, self.seed, self.root = scenario, seed, root
        self.rng = {"links": Random(f"{seed}/links")}
        self.runs: list[Run] = []
        self.late = 0.0
        self.statuses: list[tuple[float, str, dict[str, Any]]] = []
        self.held: list[judge.Holds] = []

    def run(self, progress: Callable[[float], None] = lambda share: None) -> dict[str, Any]:
        """The verdict and the figures. Raises Failed. Every process that was started is ended."""
        with tempfile.TemporaryDirectory() as folder:
            self.folder = Path(folder)
            return asyncio.run(self._run(progress))

    # ---- setting up
    async def _run(self, progress: Callable[[float], None]) -> dict[str, Any]:
        s = self.scenario
        self.now = Clock()
        self.workers = {f"w{n}": Worker(f"w{n}", s, self.folder, self.root) for n in range(s.workers)}
        self.twins: list[Worker] = []
        tasks: list[asyncio.Task] = []
        try:
            await self._connect()
            if s.state and s.tables.get("recovery", {}).get("witnesses"):
                await asyncio.gather(*(w.init_store() for w in self.workers.values()))
            await asyncio.gather(*(self.start(w) for w in self.workers.values()))
            await self._settled()
            for w in self.workers.values():
                w.keep_copy()
            self.now.began = asyncio.get_running_loop().time()
            for server in self.services.values():
                server.cores.now = 0.0
                server.cores.born = -server.machine.cold_s
            for w in self.workers.values():
                w.lives[:] = [-1.0]
            tasks = [asyncio.create_task(t) for t in (self._watch_self(), self._ask_statuses())]
            if s.balancer.check_s:
                tasks += [asyncio.create_task(self.callers.check(name)) for name in self.workers]
                await asyncio.sleep(2 * s.balancer.check_s)
                self.now.began = asyncio.get_running_loop().time()
            faults = [asyncio.create_task(self.injection.do(f)) for f in s.faults]
            tasks += faults
            await self.callers.run(progress)
            for task in faults:
                await task
            await asyncio.sleep(0.5)
            self.ended = self.now()
            final = await self._finals()
        finally:
            for task in tasks:
                task.cancel()
            for w in (*self.workers.values(), *self.twins):
                w.pause(False)
                w.kill()
            for relay in self.tcp.values():
                relay.close()
            for server in self.services.values():
                server.stop()
        return self._verdict(final)

    async def _connect(self) -> None:
        s, names = self.scenario, list(self.workers)
        own = s.services.shared == 0
        self.services: dict[str, Server] = {}
        self.tcp: dict[tuple[str, str], Connections] = {}
        self.udp: dict[tuple[str, str], Datagrams] = {}
        c = s.services
        kind = Server
        if s.form == "platform":
            from ochrehoist.lab.platform import Kernel as kind
        for n in range(s.workers if own else c.shared):
            machine = Machine(c.cores, c.speed, cold_from=c.cold_from, cold_s=c.cold_s)
            self.services[f"s{n}"] = await kind(f"s{n}", machine, self.now, self.runs).start()
        for at, name in enumerate(names):
            for number, (service, server) in enumerate(self.services.items()):
                if not own or number == at:
                    relay = self.tcp[name, service] = await Connections(
                        self.rng["links"], ("127.0.0.1", server.port)
                    ).start()
                    self.workers[name].servers[service] = "{}:{}".format(*relay.address)
            for end in ("front", "check"):
                self.tcp[end, name] = await Connections(self.rng["links"]).start()
            for other in names:
                if other != name:
                    self.udp[name, other] = await Datagrams(self.rng["links"]).start()
        for w in self.workers.values():
            w.named, w.more = s.peers, dict(s.tables)
            w.kernel = next(iter(w.servers.values()))
            if "recovery" in w.more:  # the scenario tells how many witnesses; here, who they are
                at, table = names.index(w.name), w.more["recovery"]
                others = names[at + 1 :] + names[:at]
                w.more["recovery"] = table | {"witnesses": others[: table.get("witnesses", 0)]}
        if s.peers:
            for name, w in self.workers.items():
                w.peers = self._table(w, {n: self.udp[name, n].address for n in names if n != name})
        self.callers = Callers(
            s,
            self.seed,
            self.now,
            {n: self._asker(n) for n in names},
            {n: (self.tcp["check", n], self.tcp["front", n]) for n in names},
            lambda n: len(self.workers[n].lives) - 1,
        )
        self.injection = FaultInjection(self)

    def _asker(self, name: str) -> Any:
        address = self.tcp["front", name].address
        if self.scenario.form == "platform":
            from ochrehoist.lab.platform import ThriftAsker

            return ThriftAsker(
                name, address, next(iter(self.services[s] for s in self.workers[name].servers))
            )
        return AjpAsker(name, address)

    def _table(self, w: Worker, members: dict[str, str]) -> dict[str, Any]:
        s = self.scenario
        budgets = [
            {
                "name": b.name,
                "use": b.use,
                "amount": b.amount,
                "lease_ms": b.lease_ms,
                "floor": b.floor,
                "floor_lease_s": b.floor_lease_s,
            }
            | ({"of": b.of} if b.of else {})
            | ({"longest_ms": b.longest_ms} if b.use == "server" else {})
            for b in s.budgets
        ]
        return {
            "listen": "127.0.0.1:0",
            "group": "lab",
            "secrets": [SECRET],
            "probe_ms": s.probe_ms,
            "voters": list(self.workers)[: s.voters or s.workers],
            "members": members,
            "budgets": budgets,
            "site": s.site_of(w.name),
        }

    async def start(self, w: Worker) -> None:
        await w.start(self.now())
        if w in self.twins:
            return
        for end, part in (("front", w.front), ("check", "AgentCheck")):
            self.tcp[end, w.name].target = w.at.get(part)
            await self.tcp[end, w.name].refuse(False)
        for (_, other), relay in self.udp.items():
            if other == w.name and "Peers" in w.at:
                relay.target = w.at["Peers"]

    async def another_kernel(self, w: Worker) -> None:
        """The platform gives the process that replaces another an address of its own at the same kernel."""
        service = next(iter(w.servers))
        port = await self.services[service].another()
        old = self.tcp[w.name, service]
        self.tcp[w.name, f"{service}'{len(self.tcp)}"] = old
        relay = self.tcp[w.name, service] = await Connections(self.rng["links"], ("127.0.0.1", port)).start()
        relay.there, relay.back = old.there, old.back  # what ails the link ails both
        w.kernel = "{}:{}".format(*relay.address)

    async def refuse(self, name: str) -> None:
        """No process listens at its addresses now."""
        for end in ("front", "check"):
            await self.tcp[end, name].refuse(True)

    async def _settled(self) -> None:
        """Until each hears all others and every budget that can be is held, or for as long as that may
        take."""
        until = time.monotonic() + 60
        while self.scenario.peers and time.monotonic() < until:
            views = [(await w.status())["peers"] for w in self.workers.values()]
            whole = all(len(v["members"]) == len(self.workers) - 1 for v in views)
            held = all(
                sum(v["budgets"][b.name]["held"] for v in views) >= 0.95 * b.amount
                for b in self.scenario.budgets
            )
            if whole and held:
                return
            await asyncio.sleep(0.1)

    # ---- watching
    async def _watch_self(self) -> None:
        while True:
            before = self.now()
            await asyncio.sleep(LOOK_S)
            self.late = max(self.late, self.now() - before - LOOK_S)

    async def _ask_statuses(self) -> None:
        while True:
            await asyncio.sleep(STATUS_S)
            for name, w in list(self.workers.items()):
                if not w.paused and w.process.poll() is None:
                    with suppress(OSError, KeyError):
                        await self._look_at(name, w)

    async def _look_at(self, name: str, w: Worker) -> None:
        """What a worker says that it holds was so for at least the time it says, up to when it was asked."""
        life, before = len(w.lives) - 1, self.now()
        status = await w.status()
        after = self.now()
        self.statuses.append((after, name, status))
        for budget, b in (status.get("peers") or {"budgets": {}})["budgets"].items():
            self.held += [
                judge.Holds(budget, right, name, life, after - held_for, before)
                for right, held_for in b["rights"].items()
            ]

    def _most_held(self, budget: str) -> int:
        by_time: dict[int, int] = {}
        for at, _, status in self.statuses:
            turn = round(at / STATUS_S)
            by_time[turn] = by_time.get(turn, 0) + status["peers"]["budgets"][budget]["held"]
        return max(by_time.values(), default=0)

    async def _finals(self) -> dict[str, dict[str, Any]]:
        out = {}
        for name, w in self.workers.items():
            with suppress(OSError, KeyError):
                out[name] = await w.status()
        return out

    def _judged(self, final: dict[str, dict[str, Any]]) -> list[tuple[float, str, str, str, str]]:
        """When workers changed their judgement on which service, to what and why."""
        out = []
        for name, status in final.items():
            for ago, service, standing, why in (status.get("peers") or {}).get("judged", ()):
                out.append((round(self.ended - ago, 2), name, service, standing, why))
        return sorted(out)

    def _known(self) -> list[tuple[float, str, str, str, str]]:
        """What workers made of the other sites: when, who, of which, what, why."""
        out = {
            (round(at - c["ago_s"], 1), w, c["site"], c["state"], c["why"])
            for at, w, status in self.statuses
            for c in (status.get("sites") or {}).get("changes", ())
        }
        return sorted(out)

    # ---- the verdict
    def _verdict(self, final: dict[str, dict[str, Any]]) -> dict[str, Any]:
        s, calls = self.scenario, self.callers.calls
        lives = {n: w.lives for n, w in self.workers.items()}
        kept = s.state and all(f.store == "kept" for f in s.faults)
        # What ran is known to the next process by its store, or by witnesses whatever became of the store.
        known = kept or s.state and s.tables.get("recovery", {}).get("witnesses", 0) > 0
        slack = MARGIN_S + 2 * self.late
        rules = judge.broken(calls, self.runs, self.injection.suffered, lives, slack, kept, known)
        budgets = {}
        for b in s.budgets:
            if b.use == "repeats":
                most = judge.over_most(judge.repeats(self.runs), 1.0)
                # Uses are seen as they come in: what this machine, or a stopped worker, held up comes
                # together.
                allowed = b.amount * (1 + self.late) + sum(
                    len(s.named(f.who)) for f in s.faults if f.kind == "pause"
                )
            elif b.use == "server":
                most, allowed = self.services[b.of].most_at_once, b.amount
            else:
                # Only judged by: what all held together, as far as it was seen, and no right twice.
                most, allowed = self._most_held(b.name), float("inf")
            budgets[b.name] = {"amount": b.amount, "most": most}
            if most > allowed:
                rules.append(f"budget {b.name}: {most} where {allowed:.1f} are allowed")
        rules += judge.doubled(self.held)
        stepped: list[Any] = []
        if s.sites:
            from ochrehoist.lab import sitejudge

            stepped = sitejudge.steps(s, self.statuses)
            rules += sitejudge.false_alarms(s, self.injection.hurt, self.statuses, self.late)
            rules += sitejudge.at_once(stepped)
        for n, w in self.workers.items():
            faults = [line for line in w.said if line["event"].startswith("fault")]
            rules += [f"{n}: {line['event']}: {str(line.get('exception'))[-300:]}" for line in faults[:3]]
        quiet = min([f.at for f in s.faults], default=s.seconds)
        last = max([f.at + f.lasts for f in s.faults], default=s.seconds)
        spans = {"quiet": (1.0, quiet), "faults": (quiet, last), "after": (last, s.seconds)}
        return {
            "scenario": s.name,
            "seed": self.seed,
            "broken": rules,
            "budgets": budgets,
            "late_s": round(self.late, 3),
            "events": [[round(at, 2), text] for at, text in self.injection.events],
            "final": {n: f.get("peers") for n, f in final.items()},
            "told_at_end": {
                n: {k: f.get(k) for k in ("sites", "recovery", "store")} for n, f in final.items()
            },
            "judged": self._judged(final),
            "told": self.injection.answers,
            "stepped": [[round(at, 2), *rest] for at, *rest in stepped],
            "known": self._known(),
            "runs_in_faults": judge.runs_by_worker(self.runs, *spans["faults"]),
            "weights": [[round(at, 2), n, w] for at, n, w in self.callers.weights],
        } | judge.values(calls, self.runs, spans)
