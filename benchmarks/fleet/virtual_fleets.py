"""Fleets on virtual time: network load, detection of failures, use of a budget, error of counters."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from ochrehoist.lab.virtual.world import Node, World
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.wire import MemberState

BUDGET_NAME = "rate"
BUDGET_PER_S = 60
BUDGET_FLOOR_LEASE_S = 4.0
MAX_VOTERS = 7
SETTLE_S = 8.0
SPAN_S = 10.0
LARGE_FLEET, LARGE_FLEET_SPAN_S = 50, 4.0  # larger fleets are measured for less time
LOSS = 0.2  # share of messages
DELAY_S = (0.001, 0.02)
COUNTER_REPEATS, COUNTER_DELAY_S = 0.3, (0.001, 0.1)
PAUSES_AT_S, PAUSE_S = (3.0, 9.0, 15.0), 1.0
WATCHED_S = 20.0  # in which a member must not be taken for dead
DETECTION_TIMEOUT_S = 30.0
DETECTION_STEP_S = 0.05
USES_A_TICK = 6
PARTITION_S = 10.0
RECOVERED_SHARE = 0.9  # of the budget that is used again
RECOVERY_GIVEN_UP_S = 60.0
COUNTER = "served"
COUNTER_RATE_PER_S = 60.0
COUNTS_A_TICK = 3  # at most
READINGS = 24
READING_INTERVAL_S = 0.5


class UndetectedFailureError(Exception):
    """A failed member was not found dead in time."""


@dataclass(frozen=True)
class NetworkLoad:
    """What one worker sends a second, by worker, and processor time of a worker a second."""

    datagrams_per_s: list[float]
    bytes_per_s: list[float]
    cpu_ms_per_s: float


@dataclass
class DetectionFigures:
    """Seconds until a failure was detected by each other member, and false detections in so many hours."""

    detected_s: list[float] = field(default_factory=list)
    false_detections: int = 0
    worker_hours: float = 0.0


@dataclass
class BudgetUse:
    """Shares of a budget that were used, by fleet; and seconds from a partition's end until it was again."""

    by_all: list[float] = field(default_factory=list)
    by_one: list[float] = field(default_factory=list)
    in_partition: list[float] = field(default_factory=list)
    recovered_s: list[float] = field(default_factory=list)


@dataclass
class CounterErrors:
    """True errors of readings, the bounds that they stated, and how many errors were outside."""

    errors: list[float] = field(default_factory=list)
    bounds: list[float] = field(default_factory=list)
    outside: int = 0


def network_load(members: int) -> NetworkLoad:
    """Run a fleet that nobody asks."""
    world = World(1, _budget(members), encoded=True)
    nodes = world.start_fleet(members)
    world.run(SETTLE_S)
    before = [(node.sent_count, node.sent_bytes) for node in nodes]
    span_s = LARGE_FLEET_SPAN_S if members > LARGE_FLEET else SPAN_S
    began_s = time.process_time()
    world.run(SETTLE_S + span_s)
    spent_s = time.process_time() - began_s
    return NetworkLoad(
        [(node.sent_count - sent) / span_s for node, (sent, _) in zip(nodes, before, strict=True)],
        [(node.sent_bytes - size) / span_s for node, (_, size) in zip(nodes, before, strict=True)],
        spent_s / span_s / members * 1000,
    )


def failure_detection(fleets: int) -> DetectionFigures:
    """Kill one of six members, with a fifth of the messages lost and pauses of 1 s before.

    UndetectedFailureError where a member does not find it dead within 30 s.
    """
    figures = DetectionFigures()
    for seed in range(fleets):
        world = World(seed, ())
        nodes = world.start_fleet(6)
        world.run(2.0)
        world.set_network_conditions(LOSS, 0.0, DELAY_S)
        for at_s in PAUSES_AT_S:
            _pause_at(world, nodes[int(at_s) % 5], at_s)
        world.run(2.0 + WATCHED_S)
        figures.false_detections += sum(len(node.group.members.deaths) for node in nodes)
        figures.worker_hours += WATCHED_S * len(nodes) / 3600
        world.kill(nodes[5])
        figures.detected_s += _detection_times_s(world, nodes[:5], nodes[5].name)
    return figures


def budget_use(fleets: int) -> BudgetUse:
    """What five members use of a budget: all of them or one alone, and through a partition of one."""
    use = BudgetUse()
    for seed in range(fleets):
        world, nodes = _budget_world(seed)
        _use_budget(world, nodes)
        world.run(14.0)
        use.by_all.append(_used_share(world, 20.0))
        world.partition({"w004"}, set(world.names) - {"w004"}, PARTITION_S)
        world.run(20.0)
        use.in_partition.append(_used_share(world, 20.0 + PARTITION_S))
        use.recovered_s.append(_recovery_s(world))
        world, nodes = _budget_world(seed)
        _use_budget(world, nodes[1:2])
        world.run(14.0)
        use.by_one.append(_used_share(world, 20.0))
    return use


def counter_errors(fleets: int) -> CounterErrors:
    """Read a counter at one of six members, with losses, repeats, delays and a partition."""
    figures = CounterErrors()
    for seed in range(fleets):
        world = World(seed, (), max_rate_per_s=COUNTER_RATE_PER_S)
        nodes = world.start_fleet(6)
        counted = _CountedUses(world)
        world.observe_ticks(counted.add)
        world.set_network_conditions(LOSS, COUNTER_REPEATS, COUNTER_DELAY_S)
        _partition_at(world, {"w004", "w005"}, 6.0, 4.0)
        for reading in range(READINGS):
            world.run(3.0 + reading * READING_INTERVAL_S)
            read = nodes[0].group.counters.read(COUNTER, nodes[0].clock(world.now))
            error = counted.total - read.total
            figures.errors.append(error)
            figures.bounds.append(read.missing)
            figures.outside += not 0 <= error <= read.missing + read.lost
    return figures


class _CountedUses:
    """Counts at random at each member, and truly."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.total = 0

    def add(self, node: Node) -> None:
        """Count what one member served since its last tick."""
        if self._world.now <= 1:
            return
        count = self._world.random.usage.randint(0, COUNTS_A_TICK)
        node.group.counters.add(COUNTER, count)
        self.total += count


def _budget(members: int) -> tuple[Budget, ...]:
    voters = tuple(f"w{number:03d}" for number in range(min(members, MAX_VOTERS)))
    return (Budget(BUDGET_NAME, BUDGET_PER_S, voters, floor_lease_s=BUDGET_FLOOR_LEASE_S),)


def _budget_world(seed: int) -> tuple[World, list[Node]]:
    world = World(seed, _budget(5))
    return world, world.start_fleet(5)


def _use_budget(world: World, users: list[Node]) -> None:
    """Let some members use what they can get at each tick."""

    def use(node: Node) -> None:
        if node in users:
            for _ in range(USES_A_TICK):
                world.use_budget(node, BUDGET_NAME)

    world.observe_ticks(use)


def _used_share(world: World, until_s: float) -> float:
    """Run until a time; the share of the budget that was used."""
    since_s, before = world.now, world.oracle.use_counts[BUDGET_NAME]
    world.run(until_s)
    used = world.oracle.use_counts[BUDGET_NAME] - before
    return used / (until_s - since_s) / BUDGET_PER_S


def _recovery_s(world: World) -> float:
    """Seconds until most of the budget is used again."""
    healed_s = world.now
    while world.now < RECOVERY_GIVEN_UP_S:
        if _used_share(world, world.now + 1.0) >= RECOVERED_SHARE:
            break
    return world.now - 1.0 - healed_s


def _pause_at(world: World, node: Node, at_s: float) -> None:
    world.at(at_s, lambda: world.pause(node, PAUSE_S))


def _partition_at(world: World, names: set[str], at_s: float, span_s: float) -> None:
    world.at(at_s, lambda: world.partition(names, set(world.names) - names, span_s))


def _detection_times_s(world: World, watchers: list[Node], victim: str) -> Iterator[float]:
    died_s = world.now
    waiting = list(watchers)
    while waiting and world.now < died_s + DETECTION_TIMEOUT_S:
        world.run(world.now + DETECTION_STEP_S)
        for node in list(waiting):
            if node.group.members.members[victim].state == MemberState.DEAD:
                waiting.remove(node)
                yield world.now - died_s
    if waiting:
        message = f"seed {world.seed}: a death was not noticed within {DETECTION_TIMEOUT_S:.0f} s"
        raise UndetectedFailureError(message)
