"""A schedule of overlapping faults, drawn from a seed."""

from enum import Enum, auto
from random import Random

from ochrehoist.lab.virtual.network import DEFAULT_DELAY_S
from ochrehoist.lab.virtual.world import World

FIRST_FAULT_S = 2.0
QUIET_END_S = 2.0  # at the end of a schedule, without new faults
FAULTS_PER_S = 0.6
DURATIONS_S = (0.3, 1.0, 3.0, 6.0)
QUICK_RESTART_S = (0.0, 0.2)
CLOCK_SET_BACK_PROBABILITY = 0.3
ONE_WAY_HOLD_PROBABILITY = 0.5
LOSSES = (0.0, 0.2, 0.4)
DUPLICATIONS = (0.0, 0.3, 1.0)
DELAYS_S = (DEFAULT_DELAY_S, (0.001, 0.1), (0.0, 0.8))


class FaultKind(Enum):
    """What can be done to a fleet on virtual time."""

    PARTITION = auto()
    ONE_WAY_PARTITION = auto()
    HOLD = auto()
    PAUSE = auto()
    KILL = auto()
    NETWORK_CONDITIONS = auto()
    DUPLICATE_MEMBER = auto()
    HALVES = auto()


# What is drawn from: the order and the repetitions are part of what a seed means.
CHOICES = (
    FaultKind.PARTITION,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.HOLD,
    FaultKind.PAUSE,
    FaultKind.PAUSE,
    FaultKind.KILL,
    FaultKind.KILL,
    FaultKind.NETWORK_CONDITIONS,
    FaultKind.DUPLICATE_MEMBER,
    FaultKind.HALVES,
)


def schedule_faults(world: World, random: Random, duration_s: float) -> None:
    """Schedules faults up to shortly before the end. What is left to chance is drawn as each begins."""
    at = FIRST_FAULT_S
    while at < duration_s - QUIET_END_S:
        fault = _draw_fault(world, random)
        world.at(at, fault.begin)
        at += random.expovariate(FAULTS_PER_S)


def _draw_fault(world: World, random: Random) -> "ScheduledFault":
    names = world.names
    kind = random.choice(CHOICES)
    duration_s = random.choice(DURATIONS_S)
    victim = random.choice(names)
    side = set(random.sample(names, random.randint(1, max(1, len(names) // 2))))
    return ScheduledFault(world, random, kind, duration_s, victim, side)


class ScheduledFault:
    """One fault: of the links between `side` and the rest, or of the member `victim`."""

    def __init__(
        self, world: World, random: Random, kind: FaultKind, duration_s: float, victim: str, side: set[str]
    ) -> None:
        self._world = world
        self._random = random
        self._kind = kind
        self._duration_s = duration_s
        self._victim = victim
        self._side = side

    def begin(self) -> None:
        """Begins now; its end is scheduled."""
        {
            FaultKind.PARTITION: self._partition,
            FaultKind.ONE_WAY_PARTITION: self._partition,
            FaultKind.HOLD: self._hold,
            FaultKind.PAUSE: self._pause,
            FaultKind.KILL: self._kill,
            FaultKind.NETWORK_CONDITIONS: self._set_network_conditions,
            FaultKind.DUPLICATE_MEMBER: self._start_duplicate,
            FaultKind.HALVES: self._split_in_halves,
        }[self._kind]()

    def _partition(self) -> None:
        rest = set(self._world.names) - self._side
        one_way = self._kind is FaultKind.ONE_WAY_PARTITION
        self._world.partition(self._side, rest, self._duration_s, one_way=one_way)

    def _hold(self) -> None:
        rest = set(self._world.names) - self._side
        one_way = self._random.random() < ONE_WAY_HOLD_PROBABILITY
        self._world.partition(self._side, rest, self._duration_s, one_way=one_way, hold=True)

    def _split_in_halves(self) -> None:
        names = self._world.names
        half = set(names[: len(names) // 2])
        self._world.partition(half, set(names) - half, self._duration_s)

    def _pause(self) -> None:
        node = self._world.nodes.get(self._world.address(self._victim))
        if node is not None:
            self._world.pause(node, self._duration_s)

    def _kill(self) -> None:
        node = self._world.nodes.get(self._world.address(self._victim))
        if node is not None:
            self._world.kill(node)
            downtime_s = self._random.choice((*QUICK_RESTART_S, self._duration_s))
            self._world.at(self._world.now + downtime_s, self._restart)

    def _restart(self) -> None:
        if self._world.address(self._victim) not in self._world.nodes:
            set_back = self._random.random() < CLOCK_SET_BACK_PROBABILITY
            self._world.start(self._victim, clock_set_back=set_back)

    def _set_network_conditions(self) -> None:
        loss = self._random.choice(LOSSES)
        duplication = self._random.choice(DUPLICATIONS)
        delay_s = self._random.choice(DELAYS_S)
        self._world.set_network_conditions(loss, duplication, delay_s)

    def _start_duplicate(self) -> None:
        address = self._world.address(self._victim)
        if address in self._world.nodes and f"{address}'" not in self._world.nodes:
            duplicate = self._world.start(self._victim, duplicate=True)
            self._world.at(self._world.now + self._duration_s, lambda: self._world.kill(duplicate))
