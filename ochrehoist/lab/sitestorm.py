"""Several sites on virtual time: real coordinators, membership and budgets; a stand-in balancer.

Each worker's requests go through its gate and then the real decision module. No I/O; all comes from the seed.
"""

import math
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ochrehoist.admission.actions import FailRequest, RejectRequest, StartRun
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    InstanceStarted,
    Outcome,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)
from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.request import InboundRequest
from ochrehoist.lab.balancer import Balancer, Habits
from ochrehoist.lab.virtual import Node, World
from ochrehoist.plan.cores import Cores, Machine
from ochrehoist.sites.admission_threshold import TICK_INTERVAL_S
from ochrehoist.sites.coordinator import SiteCoordinator
from ochrehoist.sites.operator_commands import CommandKind
from ochrehoist.sites.peer_workers import observe_peers
from ochrehoist.sites.site_health import BURST_FACTOR, EVIDENCE_THRESHOLD, SiteState
from ochrehoist.sites.site_report import TOPIC
from ochrehoist.sites.step_lease import STEP_LEASE_BUDGET, STEP_LEASE_DURATION_S, step_lease_budget

S = 1_000_000_000
CHECK_S = 0.2
NOTICED_S = 3.5  # until the silence of a site is seen by all, and its load has moved
BEAT = int(0.1 * S)  # ns between two alarms of the module


def settings(cores: int) -> AdmissionSettings:
    read = RequestClass(
        name="read",
        latency_objective_ns=int(1.8 * S),
        deadline_ns=int(4.5 * S),
        idempotency=Idempotency.IDEMPOTENT,
    )
    filing = RequestClass(
        name="filing",
        latency_objective_ns=int(1.8 * S),
        deadline_ns=int(4.5 * S),
        priority_weight=3.0,
        idempotency=Idempotency.KEYED,
        idempotency_window_ns=20 * S,
    )
    return AdmissionSettings(
        classes=(read, filing),
        cores=cores,
        memory_kb=1e6,
        collapse_multiple=8.0,
        collapse_after_ns=2 * S,
        max_retry_after_ns=S,
    )


@dataclass
class Call:
    number: int
    filing: bool
    work: float
    at: float
    tries: int = 0
    gained: bool = False
    ended: bool = False
    refused_by_gate: int = 0
    won_elsewhere: bool = False  # served after a gate had turned it away


@dataclass
class Station:
    """One process of a worker, and its machine."""

    node: Node
    coordinator: SiteCoordinator
    cores: Cores
    module: AdmissionController
    live: dict[str, tuple[Call, InboundRequest]] = field(default_factory=dict)
    running: dict[str, float] = field(default_factory=dict)
    born: float = 0.0
    looked: float = 0.0
    timer: int = 0  # of its next end: an older one says nothing
    unread: list[Call] = field(default_factory=list)  # that came while the process stood still


class LabStepLease:
    """The step lease of one process, used anew each time that it is asked for."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._ticket: int | None = None

    def acquire(self, now: float) -> float:
        """Seconds for which it is held from now on; 0: not held."""
        self.release()
        self._ticket = self._node.group.leases.acquire(STEP_LEASE_BUDGET, now)
        return STEP_LEASE_DURATION_S if self._ticket is not None else 0.0

    def release(self) -> None:
        """Lets another site have it at once."""
        if self._ticket is not None:
            self._node.group.leases.release(STEP_LEASE_BUDGET, self._ticket)
            self._ticket = None


class Sites(World):
    """`sites`: how many workers in each. The load is of the capacity of all, warm."""

    def __init__(
        self,
        seed: int,
        sites: dict[str, int],
        load: float,
        cores: int = 4,
        work: float = 0.2,
        cold_from: float = 0.21,
        cold_s: float = 12.0,
        tries: int = 3,
        voters: int = 0,
    ) -> None:
        names = [f"w{n:03d}" for n in range(sum(sites.values()))]
        super().__init__(seed, (step_lease_budget(tuple(names[: voters or 7])),))
        self.oracle.budgets.clear()
        placed = iter(names)
        self.sites = {next(placed): site for site, count in sites.items() for _ in range(count)}
        self.machine = Machine(cores, 1.0, cold_from=cold_from, cold_s=cold_s)
        self.settings, self.work, self.tries = settings(cores), work, tries
        self.rng |= {s: Random(f"{seed}/{s}") for s in ("calls", "work", "tries", "balancer")}
        self.rate = load * cores * len(names) / work
        self.stations: dict[str, Station] = {}  # by name
        self.balancer = Balancer(
            names, Habits(choice="weighted", check_s=CHECK_S, redispatch=True), self.rng["balancer"]
        )
        self.mute: set[str] = set()  # whose fronts and agents nobody reaches
        self.calls: list[Call] = []
        self.gone: dict[str, list[tuple[float, float]]] = {}  # when a site was truly lost
        self.alarms: list[tuple[float, str, str]] = []  # when which worker called which site lost
        self.stepping: list[tuple[float, str]] = []  # when a site that came back stepped, and which
        self.steps: Counter[str] = Counter()
        self.on_start, self.on_use = self._began, self._beaten
        self.cold_start = False
        self.fleet(len(names))
        self.cold_start = True
        self.at(1.0, self._arrive)
        self.at(0.5, self._check)

    # ---- processes
    def _began(self, node: Node) -> None:
        site = self.sites[node.name]
        now = node.clock(self.now)
        lease = LabStepLease(node)
        coordinator = SiteCoordinator(
            node.name, site, self.settings, None, now, self.cold_start, step_lease=lease
        )
        cores = Cores(self.machine, self.now, cold=self.cold_start)
        module = AdmissionController(self.settings, self.rng["groups"].getrandbits(30))
        s = self.stations[node.name] = Station(node, coordinator, cores, module)
        s.born = self.now
        self._tell(s, InstanceStarted())
        node.group.add_extension(TOPIC, coordinator)

    def _beaten(self, node: Node) -> None:
        s = self.stations[node.name]
        if s.node is not node or self.now - s.looked < TICK_INTERVAL_S - 0.03:
            return
        s.looked = self.now
        now = node.clock(self.now)
        unread, s.unread = s.unread, []
        for call in unread:
            self._come(call, s)
        self._advance(s)
        running = len(s.running)
        self._tell(
            s, TimerFired(1, {"cpu_busy": min(1.0, running / self.machine.cores), "runnable": running})
        )
        coordinator, pacing = s.coordinator, s.coordinator.pacing
        before = pacing.recovery.stage if pacing.recovery is not None else None
        known = len(coordinator.health.changes)
        coordinator.tick(now, observe_peers(node.group))
        for change in coordinator.health.changes[known:]:
            if change.state is SiteState.LOST:
                self.alarms.append((self.now, node.name, change.site))
        if before is not None and pacing.recovery is not None and pacing.recovery.stage > before:
            self.steps[node.name] += 1
            if coordinator.arbiter.site_returns:
                self._note_step(self.sites[node.name])

    def _note_step(self, site: str) -> None:
        self.stepping.append((self.now, site))

    def at_once(self) -> list[str]:
        """Steps of one site between two of another that followed within one step lease."""
        out = []
        for n, (at, site) in enumerate(self.stepping):
            near = [(t, other) for t, other in self.stepping[n + 1 :] if t - at < STEP_LEASE_DURATION_S / 2]
            others = [t for t, other in near if other != site]
            if others and any(t > others[0] and other == site for t, other in near):
                out.append(f"another site stepped at {others[0]:.2f} s, amid the steps of {site}")
        return out

    def call_operator(self, by: str, site: str, kind: CommandKind) -> None:
        """An operator calls one worker."""
        s = self.stations[by]
        if not s.node.dead:
            s.coordinator.issue_command(site, kind, s.node.clock(self.now))

    def lose(self, site: str) -> None:
        self.gone.setdefault(site, []).append((self.now, float("inf")))
        for name in [n for n, s in self.sites.items() if s == site]:
            self.lose_one(name)

    def lose_one(self, name: str) -> None:
        node = self.nodes.get(self.address(name))
        if node is None:
            return
        self.kill(node)
        s = self.stations[name]
        for call in [*(c for c, _ in s.live.values()), *s.unread]:
            self._answered(call, None)
        s.unread.clear()
        s.live.clear()
        s.running.clear()
        s.timer += 1

    def bring_back(self, site: str) -> None:
        since, _ = self.gone[site][-1]
        self.gone[site][-1] = since, self.now
        for name in [n for n, s in self.sites.items() if s == site]:
            if self.address(name) not in self.nodes:
                self.start(name)

    # ---- load
    def _arrive(self) -> None:
        rng = self.rng["calls"]
        work = min(5 * self.work, self.rng["work"].expovariate(1 / self.work))
        call = Call(len(self.calls), rng.random() < 0.2, work, self.now)
        self.calls.append(call)
        self._try(call)
        self.at(self.now + rng.expovariate(self.rate), self._arrive)

    def _try(self, call: Call) -> None:
        refused: list[str] = []
        call.tries += 1
        while True:
            name = self.balancer.pick(call.number, refused)
            s = self.stations.get(name)
            if s is not None and not s.node.dead and name not in self.mute:
                return self._come(call, s)
            self.balancer.refused(name)
            refused.append(name)
            if len(refused) >= len(self.sites):
                return self._answered(call, None)

    def _come(self, call: Call, s: Station) -> None:
        if s.node.paused:
            return s.unread.append(call)
        now = int(s.node.clock(self.now) * S)
        cls = self.settings.classes[call.filing]
        r = InboundRequest(
            f"r{call.number}-{call.tries}",
            cls,
            now,
            None,
            None,
            None,
            subject_hash=call.number + 1,
            idempotency_key=(None, "filing", f"k{call.number}") if call.filing else None,
            is_retry=call.tries > 1,
        )
        refusal = s.coordinator.gate.check_arrival(r, now)
        if refusal is not None:
            call.refused_by_gate += 1
            return self._answered(call, False)
        s.live[r.id] = call, r
        self._advance(s)
        self._tell(
            s,
            RequestReceived(
                id=r.id, class_index=int(call.filing), is_retry=r.is_retry, memory_kb=24.0, rank=0.5
            ),
        )

    # ---- the module
    def _tell(self, s: Station, event: Any) -> None:
        now = int(s.node.clock(self.now) * S)
        for a in s.module.handle(now, event):
            found = s.live.get(getattr(a, "id", ""))
            if found is None:
                continue
            call, r = found
            if isinstance(a, StartRun):
                s.running[r.id] = self.now
                s.coordinator.gate.run_started(r, now)
                s.cores.start(r.id, call.work)
            elif isinstance(a, RejectRequest | FailRequest):
                s.coordinator.gate.request_answered(r, RequestCounter.REJECTED, 0)
                if r.id not in s.running:
                    del s.live[r.id]
                self._answered(call, False if isinstance(a, RejectRequest) else None)
        self._set_timer(s)

    def _set_timer(self, s: Station) -> None:
        s.timer += 1
        at = s.cores.next_end()
        if at is not None:
            due = max(at, self.now + 1e-4)
            self.at(due, lambda s=s, t=s.timer: self._advance(s) if s.timer == t else None)

    def _advance(self, s: Station) -> None:
        """What has ended by now."""
        if s.node.dead:
            return
        for rid in s.cores.advance(self.now):
            found, began = s.live.pop(rid, None), s.running.pop(rid, None)
            if found is None or began is None:
                continue
            call, r = found
            now, took = int(s.node.clock(self.now) * S), int((self.now - began) * S)
            s.coordinator.gate.run_ended(r, now, took, Outcome.OK)
            s.coordinator.gate.request_answered(r, RequestCounter.ANSWERED, 0)
            if not call.ended:
                self._answered(call, True)
            self._tell(s, RequestCompleted(rid, Outcome.OK, took))
        self._set_timer(s)

    def _answered(self, call: Call, served: bool | None) -> None:
        if call.ended:
            return
        if served:
            call.ended, call.gained = True, self.now - call.at <= 1.8
            call.won_elsewhere = bool(call.refused_by_gate)
            return
        wait = self.rng["tries"].uniform(0.1, 0.2)
        if (
            call.tries < self.tries
            and self.now + wait < call.at + 4.5
            and not (call.filing and served is None)
        ):
            self.at(self.now + wait, lambda: self._try(call))
        else:
            call.ended = True

    def _check(self) -> None:
        for name, s in self.stations.items():
            well = not s.node.dead and name not in self.mute
            if well and not s.node.paused:
                part = s.coordinator.load_fraction
                self.balancer.told(name, b"drain" if part <= 0 else b"up %d%%" % max(1, round(100 * part)))
            self.balancer.checked(name, well)
        self.at(self.now + CHECK_S, self._check)

    # ---- figures
    def gained(self, since: float, until: float, filing: bool | None = None) -> float:
        these = [c for c in self.calls if since <= c.at < until and filing in (None, c.filing)]
        worth = sum(3 if c.filing else 1 for c in these)
        return sum((3 if c.filing else 1) * c.gained for c in these) / worth if worth else 1.0

    def seconds(self, since: float, until: float) -> list[float]:
        return [round(self.gained(s, s + 1), 2) for s in range(int(since), int(until))]

    def whole_after(self, since: float, level: float) -> float | None:
        at = since
        while at + 2 < self.now:
            if min(self.gained(at, at + 1), self.gained(at + 1, at + 2)) >= 0.95 * level:
                return at - since
            at += 0.5
        return None

    def known_within(self, site: str) -> float:
        """s in which a loss is to be found: for so few requests it takes a while until they tell."""
        gone = sum(s == site for s in self.sites.values())
        increase = len(self.sites) / (len(self.sites) - gone) - 1
        usual = self.rate / len(self.sites) * (len(self.sites) - gone)
        a_second = usual * ((1 + increase) * math.log1p(increase) - increase) / BURST_FACTOR
        return NOTICED_S + 3 * EVIDENCE_THRESHOLD / a_second

    def missed(self) -> list[str]:
        """Losses that lasted long enough, and that a worker elsewhere did not find."""
        out = []
        for site, spans in self.gone.items():
            bound = self.known_within(site)
            for since, until in spans:
                if min(until, self.now) - since < bound:
                    continue
                for name, s in self.stations.items():
                    if (
                        self.sites[name] != site
                        and s.born < since - 5.0
                        and not any(
                            who == name and lost == site and since <= at <= since + bound
                            for at, who, lost in self.alarms
                        )
                    ):
                        out.append(f"{name} did not find {site} lost from {since:.1f} s on, in {bound:.1f} s")
        return out

    def false_alarms(self) -> list[tuple[float, str, str]]:
        """Sites called lost that were not, nor had been a moment before."""
        return [
            (at, who, site)
            for at, who, site in self.alarms
            if not any(since <= at <= until + 3.0 for since, until in self.gone.get(site, ()))
        ]

    def full(self) -> bool:
        return all(
            s.coordinator.report(s.node.clock(self.now)).is_full_service for s in self.stations.values()
        )

    def figures(self, at: float, back: float) -> dict[str, Any]:
        level = self.gained(3, at)
        return {
            "before": level,
            "during": self.gained(at, back),
            "filings": self.gained(at, back, True),
            "worst": min(self.seconds(at, at + 4)),
            "whole": self.whole_after(back, level),
            "least": min(self.seconds(back, back + 15), default=1.0),
            "tries": sum(c.tries for c in self.calls) / len(self.calls),
            "won": sum(c.won_elsewhere for c in self.calls)
            / max(1, sum(c.refused_by_gate > 0 for c in self.calls)),
        }


FAULTS = ("lose", "lose", "lose", "slowly", "cut", "one way", "pause", "one", "twice", "evacuate")


def schedule(seed: int, seconds: float = 58.0) -> Sites:
    """Two or three sites, and two faults one after the other, from a seed."""
    rng = Random(f"{seed}/plan")
    sites = rng.choice(({"a": 3, "b": 3}, {"a": 2, "b": 3}, {"a": 4, "b": 2}, {"a": 2, "b": 2, "c": 2}))
    world = Sites(seed, sites, rng.uniform(0.35, 0.8), cold_s=rng.choice((0.0, 4.0)))
    for at in (9.0, 26.0):
        _plan(world, rng, rng.choice(FAULTS), rng.choice(sorted(sites)), at, rng.uniform(3.0, 8.0))
    world.run(seconds)
    return world


def _plan(world: Sites, rng: Random, kind: str, site: str, at: float, span: float) -> None:
    names = [n for n, s in world.sites.items() if s == site]
    rest = set(world.sites) - set(names)

    def each(call: Any, *others: Any) -> None:
        for name in names:
            node = world.nodes.get(world.address(name))
            if node is not None:
                call(node, *others)

    if kind in ("lose", "twice"):
        world.at(at, lambda: world.lose(site))
        world.at(at + span, lambda: world.bring_back(site))
        if kind == "twice":
            world.at(at + span + 2.5, lambda: world.lose(site))
            world.at(at + span + 4.5, lambda: world.bring_back(site))
    elif kind == "slowly":
        for n, name in enumerate(names):
            world.at(at + n, lambda name=name: world.lose_one(name))
        world.at(at + len(names) - 1, lambda: world.lose(site))
        world.at(at + len(names) + span, lambda: world.bring_back(site))
    elif kind in ("cut", "one way"):
        world.at(at, lambda: world.cut(set(names), rest, span, one_way=kind == "one way"))
    elif kind == "pause":
        world.at(at, lambda: each(world.pause, 1.5))
    elif kind == "one":
        name = rng.choice(names)
        world.at(at, lambda: world.lose_one(name))
        world.at(at + span, lambda: world.start(name))
    else:
        first, other = names[0], sorted(rest)[0]
        world.at(at, lambda: world.call_operator(first, site, CommandKind.EVACUATE))
        world.at(at + span + 3.0, lambda: world.call_operator(other, site, CommandKind.RETURN))


def verdict(seed: int) -> tuple[int, list[str], dict[str, float]]:
    """The seed, what was broken, and how long it took to know of losses."""
    world = schedule(seed)
    out = [f"{who} called {site} lost at {at:.1f} s" for at, who, site in world.false_alarms()]
    out += world.missed() + world.at_once()
    if not world.full():
        out.append("not all at full service at the end")
    known = [
        at - since
        for site, spans in world.gone.items()
        for since, _ in spans
        for at, _, lost in world.alarms
        if lost == site and 0 <= at - since <= world.known_within(site)
    ]
    return (
        seed,
        out,
        {"losses": sum(map(len, world.gone.values())), "known": known, "steps": len(world.stepping)},
    )
