"""Seeded schedules of faults of sites: whether losses are missed or invented, and sites recover at once."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from ochrehoist.lab.virtual.site_measurements import (
    all_at_full_service,
    detection_times_s,
    false_alarms,
    interleaved_steps,
    missed_losses,
)
from ochrehoist.lab.virtual.site_world import SiteWorld
from ochrehoist.lab.virtual.world import Node
from ochrehoist.sites.operator_commands import CommandKind

DURATION_S = 58.0
FAULT_TIMES_S = (9.0, 26.0)
FAULT_DURATION_S = (3.0, 8.0)
LOAD = (0.35, 0.8)
SITE_SIZES = ({"a": 3, "b": 3}, {"a": 2, "b": 3}, {"a": 4, "b": 2}, {"a": 2, "b": 2, "c": 2})
COLD_S = (0.0, 4.0)
SECOND_LOSS_AFTER_S = 2.5  # the first return of a site that is lost twice
SECOND_RETURN_AFTER_S = 4.5  # the first return
PAUSE_S = 1.5
EVACUATION_EXTRA_S = 3.0


class SiteFaultKind(Enum):
    """What can be done to a site on virtual time."""

    LOSS = auto()
    SLOW_LOSS = auto()  # its workers one after the other
    PARTITION = auto()
    ONE_WAY_PARTITION = auto()
    PAUSE = auto()
    WORKER_LOSS = auto()
    TWO_LOSSES = auto()
    EVACUATION = auto()


# What is drawn from: the order and the repetitions are part of what a seed means.
CHOICES = (
    SiteFaultKind.LOSS,
    SiteFaultKind.LOSS,
    SiteFaultKind.LOSS,
    SiteFaultKind.SLOW_LOSS,
    SiteFaultKind.PARTITION,
    SiteFaultKind.ONE_WAY_PARTITION,
    SiteFaultKind.PAUSE,
    SiteFaultKind.WORKER_LOSS,
    SiteFaultKind.TWO_LOSSES,
    SiteFaultKind.EVACUATION,
)


@dataclass(frozen=True)
class SeedResult:
    """What came of one seed: the rules that were broken, and how long workers took to find losses."""

    seed: int
    violations: list[str]
    loss_count: int
    detection_times_s: list[float]
    step_count: int


def run_schedule(seed: int, duration_s: float = DURATION_S) -> SiteWorld:
    """Two or three sites, and two faults one after the other."""
    random = Random(f"{seed}/plan")
    site_sizes = random.choice(SITE_SIZES)
    load = random.uniform(*LOAD)
    world = SiteWorld(seed, site_sizes, load, cold_s=random.choice(COLD_S))
    for at_s in FAULT_TIMES_S:
        kind = random.choice(CHOICES)
        site = random.choice(sorted(site_sizes))
        SiteFault(world, site, at_s, random.uniform(*FAULT_DURATION_S)).schedule(kind, random)
    world.run(duration_s)
    return world


def check_seed(seed: int) -> SeedResult:
    """Runs the schedule of a seed, and checks what must hold."""
    world = run_schedule(seed)
    violations = [
        f"{alarm.worker} called {alarm.site} lost at {alarm.at_s:.1f} s" for alarm in false_alarms(world)
    ]
    violations += missed_losses(world)
    violations += interleaved_steps(world)
    if not all_at_full_service(world):
        violations.append("not all at full service at the end")
    return SeedResult(
        seed=seed,
        violations=violations,
        loss_count=sum(map(len, world.losses.values())),
        detection_times_s=detection_times_s(world),
        step_count=len(world.recovery_steps),
    )


class SiteFault:
    """One fault of a site, which begins at `at_s` and lasts for `duration_s`."""

    def __init__(self, world: SiteWorld, site: str, at_s: float, duration_s: float) -> None:
        self._world = world
        self._site = site
        self._members = world.members_of(site)
        self._at_s = at_s
        self._end_s = at_s + duration_s
        self._duration_s = duration_s

    def schedule(self, kind: SiteFaultKind, random: Random) -> None:
        """Schedules its begin and its end."""
        if kind is SiteFaultKind.LOSS:
            self._schedule_loss(self._at_s, self._end_s)
        elif kind is SiteFaultKind.TWO_LOSSES:
            self._schedule_loss(self._at_s, self._end_s)
            self._schedule_loss(self._end_s + SECOND_LOSS_AFTER_S, self._end_s + SECOND_RETURN_AFTER_S)
        elif kind is SiteFaultKind.SLOW_LOSS:
            self._schedule_slow_loss()
        elif kind is SiteFaultKind.PARTITION:
            self._world.at(self._at_s, lambda: self._partition(one_way=False))
        elif kind is SiteFaultKind.ONE_WAY_PARTITION:
            self._world.at(self._at_s, lambda: self._partition(one_way=True))
        elif kind is SiteFaultKind.PAUSE:
            self._world.at(self._at_s, lambda: self._each_node(self._pause))
        elif kind is SiteFaultKind.WORKER_LOSS:
            self._schedule_worker_loss(random.choice(self._members))
        else:
            self._schedule_evacuation()

    def _schedule_loss(self, lost_at_s: float, restored_at_s: float) -> None:
        self._world.at(lost_at_s, lambda: self._world.lose_site(self._site))
        self._world.at(restored_at_s, lambda: self._world.restore_site(self._site))

    def _schedule_slow_loss(self) -> None:
        for position, name in enumerate(self._members):
            self._schedule_worker_end(self._at_s + position, name)
        count = len(self._members)
        self._schedule_loss(self._at_s + count - 1, self._at_s + count + self._duration_s)

    def _schedule_worker_end(self, at_s: float, name: str) -> None:
        self._world.at(at_s, lambda: self._world.lose_worker(name))

    def _schedule_worker_loss(self, name: str) -> None:
        self._schedule_worker_end(self._at_s, name)
        self._world.at(self._end_s, lambda: self._start_worker(name))

    def _start_worker(self, name: str) -> None:
        self._world.start(name)

    def _schedule_evacuation(self) -> None:
        """One worker of the site is commanded to evacuate it, and one of another to return it."""
        first = self._members[0]
        other = min(set(self._world.sites) - set(self._members))
        site = self._site
        self._world.at(self._at_s, lambda: self._world.issue_command(first, site, CommandKind.EVACUATE))
        self._world.at(
            self._end_s + EVACUATION_EXTRA_S,
            lambda: self._world.issue_command(other, site, CommandKind.RETURN),
        )

    def _partition(self, one_way: bool) -> None:
        members = set(self._members)
        rest = set(self._world.sites) - members
        self._world.partition(members, rest, self._duration_s, one_way=one_way)

    def _pause(self, node: Node) -> None:
        self._world.pause(node, PAUSE_S)

    def _each_node(self, call: Callable[[Node], None]) -> None:
        for name in self._members:
            node = self._world.nodes.get(self._world.address(name))
            if node is not None:
                call(node)
