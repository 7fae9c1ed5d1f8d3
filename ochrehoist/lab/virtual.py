"""A fleet's pure parts on virtual time: groups that talk over a network which loses, repeats, holds and
cuts, with clocks that drift, pauses, deaths and restarts, all from a seed; and an oracle that sees every use
of a budget.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from ochrehoist.errors import OchrehoistError
from ochrehoist.peers.budget import CLOCK_DRIFT, Budget
from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.group import Group
from ochrehoist.peers.outbound import OutgoingMessage
from ochrehoist.peers.wire import Incarnation, Message, decode_datagram, encode_datagram

BEAT = 0.05
SECRET = b"a secret of the laboratory"


class Broken(OchrehoistError):
    """A rule did not hold; the text says which, when and with what."""


@dataclass
class Oracle:
    """Sees uses as a service would: by true time, whoever made them."""

    budgets: dict[str, Budget]
    uses: dict[str, deque[float]] = field(default_factory=dict)
    ends: dict[str, list[float]] = field(default_factory=dict)  # of runs
    most: dict[str, int] = field(default_factory=dict)
    total: dict[str, int] = field(default_factory=dict)
    limits: dict[str, int] = field(default_factory=dict)  # where it differs from the amount

    def used(self, name: str, at: float, lasts: float = 0.0) -> None:
        b = self.budgets[name]
        if b.concurrent:
            now = self.ends.setdefault(name, [])
            while now and now[0] <= at:
                heappop(now)
            heappush(now, at + lasts)
            count = len(now)
        else:
            lately = self.uses.setdefault(name, deque())
            lately.append(at)
            while lately[0] <= at - 1.0:
                lately.popleft()
            count = len(lately)
        self.total[name] = self.total.get(name, 0) + 1
        self.most[name] = max(self.most.get(name, 0), count)
        if count > self.limits.get(name, b.amount):
            raise Broken(f"budget {name} over {self.limits.get(name, b.amount)}: {count} at {at:.3f}")


@dataclass
class Link:
    """How messages fare from one to another."""

    loss: float = 0.0
    repeat: float = 0.0
    delay: tuple[float, float] = (0.0002, 0.002)
    cut: int = 0  # how many faults cut it now
    held: int = 0
    waiting: list = field(default_factory=list)


@dataclass
class Node:
    """One process of a member."""

    name: str
    group: Group
    rate: float  # of its steady clock
    offset: float
    address: str
    paused: bool = False
    dead: bool = False
    seq: int = 0
    bytes_out: int = 0
    sent: int = 0
    backlog: list = field(default_factory=list)  # messages that wait in its socket

    def clock(self, now: float) -> float:
        return now * self.rate + self.offset


class World:
    """Members by name; a second process of a name may stand at an address of its own."""

    def __init__(
        self,
        seed: int,
        budgets: tuple[Budget, ...],
        period: float = 0.1,
        services: tuple[str, ...] = (),
        most_per_s: float = 1000.0,
        encoded: bool = False,
    ) -> None:
        self.seed, self.budgets, self.period, self.services = seed, budgets, period, services
        self.most_per_s, self.encoded = most_per_s, encoded
        self.rng = {s: Random(f"{seed}/{s}") for s in ("net", "clocks", "faults", "use", "groups")}
        self.now, self.order = 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[str, Node] = {}  # by address
        self.links: dict[tuple[str, str], Link] = {}
        self.oracle = Oracle({b.name: b for b in budgets})
        self.incs: dict[str, int] = {}
        self.names: list[str] = []
        self.factory: Callable[..., Group] = Group
        self.known = True  # addresses are configured, not learned
        self.on_use: Callable[[Node], None] | None = None
        self.on_start: Callable[[Node], None] | None = None
        self.sites: dict[str, str] = {}  # by worker

    # ---- time
    def at(self, when: float, call: Callable[[], None]) -> None:
        self.order += 1
        heappush(self.queue, (when, self.order, call))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            when, _, call = heappop(self.queue)
            self.now = max(self.now, when)
            call()
        self.now = until

    # ---- processes
    def address(self, name: str) -> str:
        return f"at:{name}"

    def start(self, name: str, set_back: bool = False, twin: bool = False) -> Node:
        """A new process of a member. `set_back`: its clock tells an earlier time than its last start."""
        clocks = self.rng["clocks"]
        inc = int(self.now * 1000) + 1_000_000
        inc = inc - 500_000 if set_back else max(inc, self.incs.get(name, 0) + 1)
        self.incs[name] = max(inc, self.incs.get(name, 0))
        address = self.address(name) + ("'" if twin else "")
        # Grantors are known by address in any case: on that their one vote rests.
        known = self.names if self.known else sorted({v for b in self.budgets for v in b.grantors})
        addresses = {n: self.address(n) for n in known if n != name}
        start = tuple(self.address(n) for n in self.names[:2] if n != name)
        terms = FleetSettings(
            "lab",
            address,
            self.sites.get(name, ""),
            addresses,
            start,
            self.period,
            self.budgets,
            self.services,
            0.5,
            self.most_per_s,
        )
        rate = 1 + clocks.uniform(-CLOCK_DRIFT, CLOCK_DRIFT) / 4
        node = Node(name, None, rate, clocks.uniform(0, 1e6), address)
        life = Incarnation(name, inc, clocks.getrandbits(62))
        node.group = self.factory(terms, life, node.clock(self.now), self.rng["groups"].getrandbits(60))
        self.nodes[address] = node
        if self.on_start is not None:
            self.on_start(node)
        self.at(self.now + clocks.uniform(0, BEAT), lambda: self._beat(node))
        return node

    def fleet(self, count: int) -> list[Node]:
        self.names = [f"w{n:03d}" for n in range(count)]
        return [self.start(name) for name in self.names]

    def kill(self, node: Node) -> None:
        node.dead = True
        if self.nodes.get(node.address) is node:
            del self.nodes[node.address]

    def pause(self, node: Node, span: float) -> None:
        if not node.paused and not node.dead:
            node.paused = True
            self.at(self.now + span, lambda: self._go_on(node))

    def _go_on(self, node: Node) -> None:
        node.paused = False
        backlog, node.backlog = node.backlog, []
        for message, source in backlog[:256]:
            self._deliver(node.address, message, source, node)

    def _beat(self, node: Node) -> None:
        if node.dead:
            return
        if not node.paused:
            self._send(node, node.group.tick(node.clock(self.now)))
            if self.on_use is not None:
                self.on_use(node)
        late = self.rng["net"].uniform(0, 0.004)
        self.at(self.now + BEAT + late, lambda: self._beat(node))

    # ---- the network
    def link(self, a: str, b: str) -> Link:
        return self.links.setdefault((a, b), Link())

    def _send(self, node: Node, sends: list[OutgoingMessage]) -> None:
        for s in sends:
            node.seq += 1
            message = Message(
                "lab", node.group.incarnation, s.recipient, s.recipient_number, node.seq, s.payloads
            )
            node.sent += 1
            if self.encoded:
                data = encode_datagram(message, SECRET)
                node.bytes_out += len(data)
            else:
                data = message
            self._carry(node.address, s.address, data)

    def _carry(self, source: str, to: str, data: object) -> None:
        link, rng = self.link(source, to), self.rng["net"]
        if link.cut:
            return
        if link.held:
            link.waiting.append(data)
            return
        copies = 0 if rng.random() < link.loss else 2 if rng.random() < link.repeat else 1
        for _ in range(copies):
            when = self.now + rng.uniform(*link.delay)
            self.at(when, lambda: self._deliver(to, data, source))

    def release(self, source: str, to: str) -> None:
        """What a link held comes through now."""
        link = self.link(source, to)
        link.held -= 1
        if link.held == 0:
            waiting, link.waiting = link.waiting, []
            for data in waiting:
                self._carry(source, to, data)

    def _deliver(self, to: str, data: object, source: str, node: Node | None = None) -> None:
        node = node or self.nodes.get(to)
        if node is None or node.dead:
            return
        if node.paused:
            node.backlog.append((data, source))
            return
        message = decode_datagram(data, (SECRET,), "lab") if self.encoded else data
        self._send(node, node.group.receive(message, source, node.clock(self.now)))

    # ---- faults
    def cut(self, a: set[str], b: set[str], span: float, one_way: bool = False, held: bool = False) -> None:
        """Nothing passes from a to b (and back) for so long; `held`: it comes later, all at once."""
        pairs = [(self.address(x), self.address(y)) for x in a for y in b if x != y]
        pairs += [] if one_way else [(y, x) for x, y in pairs]
        for x, y in pairs:
            if held:
                self.link(x, y).held += 1
            else:
                self.link(x, y).cut += 1

        def heal() -> None:
            for x, y in pairs:
                if held:
                    self.release(x, y)
                else:
                    self.link(x, y).cut -= 1

        self.at(self.now + span, heal)

    def weather(self, loss: float, repeat: float, delay: tuple[float, float]) -> None:
        """For all links from now on."""
        for a in self.names:
            for b in self.names:
                link = self.link(self.address(a), self.address(b))
                link.loss, link.repeat, link.delay = loss, repeat, delay

    def retune(self, node: Node, budgets: tuple[Budget, ...]) -> None:
        node.group.reconfigure(replace(node.group.settings, budgets=budgets), node.clock(self.now))

    # ---- use
    def use(self, node: Node, budget: str, lasts: float = 0.0) -> bool:
        ticket = node.group.leases.acquire(budget, node.clock(self.now))
        if ticket is None:
            return False
        self.oracle.used(budget, self.now, lasts)
        if self.oracle.budgets[budget].concurrent:
            self.at(
                self.now + lasts, lambda: None if node.dead else node.group.leases.release(budget, ticket)
            )
        return True


def storm(world: World, rng: Random, seconds: float) -> None:
    """Faults drawn from a seed, overlapping, with quiet between them."""
    names, at = world.names, 2.0
    while at < seconds - 2:
        kind = rng.choice(
            ("cut", "cut", "one way", "hold", "pause", "pause", "kill", "kill", "weather", "twin", "halves")
        )
        span, victim = rng.choice((0.3, 1.0, 3.0, 6.0)), rng.choice(names)
        some = set(rng.sample(names, rng.randint(1, max(1, len(names) // 2))))
        world.at(
            at,
            lambda kind=kind, span=span, victim=victim, some=some: _fault(
                world, rng, kind, span, victim, some
            ),
        )
        at += rng.expovariate(0.6)


def _fault(world: World, rng: Random, kind: str, span: float, victim: str, some: set[str]) -> None:
    rest = set(world.names) - some
    node = world.nodes.get(world.address(victim))
    if kind in ("cut", "one way", "hold"):
        world.cut(
            some,
            rest,
            span,
            one_way=kind == "one way" or (kind == "hold" and rng.random() < 0.5),
            held=kind == "hold",
        )
    elif kind == "halves":
        half = set(world.names[: len(world.names) // 2])
        world.cut(half, set(world.names) - half, span)
    elif kind == "pause" and node is not None:
        world.pause(node, span)
    elif kind == "kill" and node is not None:
        world.kill(node)
        world.at(
            world.now + rng.choice((0.0, 0.2, span)),
            lambda: (
                world.start(victim, set_back=rng.random() < 0.3)
                if world.address(victim) not in world.nodes
                else None
            ),
        )
    elif kind == "weather":
        world.weather(
            rng.choice((0.0, 0.2, 0.4)),
            rng.choice((0.0, 0.3, 1.0)),
            rng.choice(((0.0002, 0.002), (0.001, 0.1), (0.0, 0.8))),
        )
    elif kind == "twin" and node is not None and f"{world.address(victim)}'" not in world.nodes:
        twin = world.start(victim, twin=True)
        world.at(world.now + span, lambda: world.kill(twin))


def schedule(seed: int, seconds: float = 14.0, factory: Callable[..., Group] = Group) -> World:
    """One seeded schedule: 3 to 6 members with a budget of a rate and one of runs, wanted unevenly by all,
    under a storm. Raises Broken."""
    rng = Random(f"{seed}/plan")
    count = rng.randint(3, 6)
    names = tuple(f"w{n:03d}" for n in range(count))
    voters = names if rng.random() < 0.6 else names[:3]
    budgets = (
        Budget(
            "rate",
            rng.choice((7, 24, 60)),
            voters,
            lease_s=rng.choice((0.8, 2.0)),
            floor_fraction=rng.choice((0.0, 0.25, 0.5)),
            floor_lease_s=rng.choice((1.5, 5.0)),
        ),
        Budget(
            "runs",
            rng.choice((5, 12)),
            voters,
            concurrent=True,
            lease_s=0.8,
            floor_lease_s=2.0,
            max_run_s=0.6,
        ),
    )
    world = World(seed, budgets)
    world.factory, world.known = factory, rng.random() < 0.6
    world.fleet(count)
    hungry = rng.sample(names, rng.randint(1, count))

    def uses(node: Node) -> None:
        for _ in range(4 if node.name in hungry else 1):
            world.use(node, "rate")
            if rng.random() < 0.5:
                world.use(node, "runs", rng.uniform(0.05, 0.6) / 1.02)

    world.on_use = uses
    storm(world, world.rng["faults"], seconds)
    world.run(seconds)
    return world


def verdict(seed: int) -> tuple[int, str | None, int]:
    """The seed, what was broken, and how often budgets were used."""
    try:
        world = schedule(seed)
    except Broken as error:
        return seed, str(error), 0
    return seed, None, sum(world.oracle.total.values())
