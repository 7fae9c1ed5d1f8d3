"""A fleet on virtual time: its processes, their clocks and their network."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from ochrehoist.lab.virtual.budget_oracle import BudgetOracle
from ochrehoist.lab.virtual.network import Packet, VirtualNetwork
from ochrehoist.lab.virtual.scheduler import EventScheduler
from ochrehoist.peers.budget import CLOCK_DRIFT, Budget
from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.group import Group
from ochrehoist.peers.outbound import OutgoingMessage
from ochrehoist.peers.wire import Incarnation, Message, decode_datagram, encode_datagram

TICK_S = 0.05
MAX_TICK_LATENESS_S = 0.004
SECRET = b"a secret of the laboratory"
GROUP = "lab"
PROTOCOL_PERIOD_S = 0.1
SEED_MEMBER_COUNT = 2
MAX_EJECTED_FRACTION = 0.5
MAX_BACKLOG = 256  # messages that wait in the socket of a paused process
MAX_CLOCK_OFFSET_S = 1e6
FIRST_INCARNATION = 1_000_000
CLOCK_SET_BACK_MS = 500_000
BOOT_ID_BITS = 62
SEED_BITS = 60


@dataclass
class RandomStreams:
    """One source of choices for each concern, so that a change in one leaves the others as they are."""

    network: Random
    clocks: Random
    faults: Random
    usage: Random
    groups: Random

    @classmethod
    def from_seed(cls, seed: int) -> "RandomStreams":
        """The streams of one run; the names below are part of what a seed means."""
        return cls(
            network=Random(f"{seed}/net"),
            clocks=Random(f"{seed}/clocks"),
            faults=Random(f"{seed}/faults"),
            usage=Random(f"{seed}/use"),
            groups=Random(f"{seed}/groups"),
        )


@dataclass
class Node:
    """One process of a member. Its steady clock goes at `clock_rate`, and began at `clock_offset_s`."""

    name: str
    group: Group
    clock_rate: float
    clock_offset_s: float
    address: str
    paused: bool = False
    dead: bool = False
    sequence: int = 0
    sent_bytes: int = 0  # counted only where messages are encoded
    sent_count: int = 0
    backlog: list[tuple[Packet, str]] = field(default_factory=list)  # with the senders' addresses

    def clock(self, now: float) -> float:
        """Its steady clock at a moment of virtual time."""
        return _clock(now, self.clock_rate, self.clock_offset_s)


def _clock(now: float, rate: float, offset_s: float) -> float:
    return now * rate + offset_s


class World(EventScheduler):
    """Members by name; a second process of a name may run at an address of its own.

    Args:
        seed: of all choices.
        budgets: shared by all members.
        services: whose health the members observe.
        max_rate_per_s: that one worker counts at the most.
        encoded: messages cross the network as datagrams, and their bytes are counted.
        addresses_known: all addresses are configured; else only those of grantors, and others are learned.
        sites: of members, by name.
    """

    def __init__(
        self,
        seed: int,
        budgets: tuple[Budget, ...],
        *,
        services: tuple[str, ...] = (),
        max_rate_per_s: float = 1000.0,
        encoded: bool = False,
        addresses_known: bool = True,
        sites: Mapping[str, str] | None = None,
    ) -> None:
        super().__init__()
        self.seed = seed
        self.random = RandomStreams.from_seed(seed)
        self.period_s = PROTOCOL_PERIOD_S
        self.names: list[str] = []
        self.nodes: dict[str, Node] = {}  # by address
        self.oracle = BudgetOracle(budgets)
        self.sites = dict(sites or {})
        self._budgets = budgets
        self._services = services
        self._max_rate_per_s = max_rate_per_s
        self._encoded = encoded
        self._addresses_known = addresses_known
        self._last_incarnations: dict[str, int] = {}
        self._network = VirtualNetwork(self, self.random.network, self._deliver)
        self._tick_observer: Callable[[Node], None] | None = None

    def observe_ticks(self, observer: Callable[[Node], None]) -> None:
        """`observer` is called after each tick of each process that runs."""
        self._tick_observer = observer

    def node_started(self, node: Node) -> None:
        """Called with each new process before its first tick; for subclasses."""

    # Processes.

    def address(self, name: str) -> str:
        """The address of a member."""
        return f"at:{name}"

    def start_fleet(self, count: int) -> list[Node]:
        """Starts so many members."""
        self.names = [f"w{number:03d}" for number in range(count)]
        return [self.start(name) for name in self.names]

    def start(self, name: str, clock_set_back: bool = False, duplicate: bool = False) -> Node:
        """Starts a new process of a member.

        `clock_set_back`: its wall clock tells an earlier time than at its last start. `duplicate`: it runs
        beside another process of this name, at an address of its own.
        """
        clocks = self.random.clocks
        number = self._next_incarnation(name, clock_set_back)
        address = self.address(name) + ("'" if duplicate else "")
        settings = self._settings(name, address)
        rate = 1 + clocks.uniform(-CLOCK_DRIFT, CLOCK_DRIFT) / 4
        offset_s = clocks.uniform(0, MAX_CLOCK_OFFSET_S)
        incarnation = Incarnation(name, number, clocks.getrandbits(BOOT_ID_BITS))
        seed = self.random.groups.getrandbits(SEED_BITS)
        group = Group(settings, incarnation, _clock(self.now, rate, offset_s), seed)
        node = Node(name, group, rate, offset_s, address)
        self.nodes[address] = node
        self.node_started(node)
        self.at(self.now + clocks.uniform(0, TICK_S), lambda: self._tick(node))
        return node

    def _next_incarnation(self, name: str, clock_set_back: bool) -> int:
        """By the wall clock, and higher than the last unless the clock was set back."""
        wall_clock_number = int(self.now * 1000) + FIRST_INCARNATION
        last = self._last_incarnations.get(name, 0)
        number = max(wall_clock_number, last + 1)
        if clock_set_back:
            number = wall_clock_number - CLOCK_SET_BACK_MS
        self._last_incarnations[name] = max(number, last)
        return number

    def _settings(self, name: str, address: str) -> FleetSettings:
        # Grantors are known by address in any case: on that their one vote rests.
        known = self.names
        if not self._addresses_known:
            known = sorted({grantor for budget in self._budgets for grantor in budget.grantors})
        return FleetSettings(
            group=GROUP,
            address=address,
            site=self.sites.get(name, ""),
            addresses={other: self.address(other) for other in known if other != name},
            seed_addresses=tuple(
                self.address(other) for other in self.names[:SEED_MEMBER_COUNT] if other != name
            ),
            protocol_period_s=self.period_s,
            budgets=self._budgets,
            services=self._services,
            max_ejected_fraction=MAX_EJECTED_FRACTION,
            max_rate_per_s=self._max_rate_per_s,
        )

    def kill(self, node: Node) -> None:
        """Ends a process without a word to the others."""
        node.dead = True
        if self.nodes.get(node.address) is node:
            del self.nodes[node.address]

    def pause(self, node: Node, duration_s: float) -> None:
        """Stops a process for a while; what it is sent waits in its socket."""
        if not node.paused and not node.dead:
            node.paused = True
            self.at(self.now + duration_s, lambda: self._resume(node))

    def _resume(self, node: Node) -> None:
        node.paused = False
        backlog = node.backlog
        node.backlog = []
        for packet, source in backlog[:MAX_BACKLOG]:
            self._receive(node, packet, source)

    def _tick(self, node: Node) -> None:
        if node.dead:
            return
        if not node.paused:
            self._send(node, node.group.tick(node.clock(self.now)))
            if self._tick_observer is not None:
                self._tick_observer(node)
        lateness_s = self.random.network.uniform(0, MAX_TICK_LATENESS_S)
        self.at(self.now + TICK_S + lateness_s, lambda: self._tick(node))

    # Messages.

    def _send(self, node: Node, messages: list[OutgoingMessage]) -> None:
        for outgoing in messages:
            node.sequence += 1
            node.sent_count += 1
            message = Message(
                GROUP,
                node.group.incarnation,
                outgoing.recipient,
                outgoing.recipient_number,
                node.sequence,
                outgoing.payloads,
            )
            self._network.send(node.address, outgoing.address, self._packet(node, message))

    def _packet(self, node: Node, message: Message) -> Packet:
        if not self._encoded:
            return message
        data = encode_datagram(message, SECRET)
        node.sent_bytes += len(data)
        return data

    def _deliver(self, recipient: str, packet: Packet, source: str) -> None:
        node = self.nodes.get(recipient)
        if node is not None:
            self._receive(node, packet, source)

    def _receive(self, node: Node, packet: Packet, source: str) -> None:
        if node.dead:
            return
        if node.paused:
            node.backlog.append((packet, source))
            return
        message = decode_datagram(packet, (SECRET,), GROUP) if isinstance(packet, bytes) else packet
        self._send(node, node.group.receive(message, source, node.clock(self.now)))

    # Faults of the network.

    def partition(
        self,
        side: set[str],
        other_side: set[str],
        duration_s: float,
        one_way: bool = False,
        hold: bool = False,
    ) -> None:
        """Cuts one side off the other for a while.

        `one_way`: only what is sent to the other side. `hold`: it is held back and arrives in the end, all
        at once.
        """
        links = [
            (self.address(source), self.address(recipient))
            for source in side
            for recipient in other_side
            if source != recipient
        ]
        links += [] if one_way else [(recipient, source) for source, recipient in links]
        begin = self._network.hold if hold else self._network.cut
        end = self._network.release if hold else self._network.heal
        begin(links)
        self.at(self.now + duration_s, lambda: end(links))

    def set_network_conditions(self, loss: float, duplication: float, delay_s: tuple[float, float]) -> None:
        """Sets how the links between all members fare from now on."""
        addresses = [self.address(name) for name in self.names]
        self._network.set_conditions(addresses, loss, duplication, delay_s)

    # Use of budgets.

    def use_budget(self, node: Node, budget: str, duration_s: float = 0.0) -> bool:
        """One use by a process, where it holds a lease for it. Raises BudgetExceededError."""
        ticket = node.group.leases.acquire(budget, node.clock(self.now))
        if ticket is None:
            return False
        self.oracle.record_use(budget, self.now, duration_s)
        if self.oracle.is_concurrent(budget):
            self.at(self.now + duration_s, lambda: self._release_lease(node, budget, ticket))
        return True

    @staticmethod
    def _release_lease(node: Node, budget: str, ticket: int) -> None:
        if not node.dead:
            node.group.leases.release(budget, ticket)
