"""Several sites on virtual time: real coordinators, membership and budgets; a stand-in balancer.

Each worker's calls go through its gate and then the real admission controller. All comes from the seed.
"""

import math
from dataclasses import dataclass
from random import Random

from ochrehoist.lab.balancer import Balancer, BalancerSettings
from ochrehoist.lab.virtual.site_calls import (
    DEADLINE_S,
    LATENCY_OBJECTIVE_S,
    Call,
    CallOutcome,
    admission_settings,
)
from ochrehoist.lab.virtual.site_worker import SiteWorker
from ochrehoist.lab.virtual.world import Node, World
from ochrehoist.plan.cores import Machine
from ochrehoist.sites.operator_commands import CommandKind
from ochrehoist.sites.step_lease import step_lease_budget

CORES_PER_WORKER = 4
MEAN_WORK_S = 0.2
MAX_WORK_FACTOR = 5  # of the mean
FILING_FRACTION = 0.2
COLD_SPEED = 0.21  # of a machine that has just started
COLD_S = 12.0
MAX_ATTEMPTS = 3
RETRY_DELAY_S = (0.1, 0.2)
GRANTOR_COUNT = 7
HEALTH_CHECK_S = 0.2
FIRST_HEALTH_CHECK_S = 0.5
FIRST_CALL_S = 1.0
CONTROLLER_SEED_BITS = 30


@dataclass
class SiteRandomStreams:
    """The sources of choices of the load; the names are part of what a seed means."""

    calls: Random
    work: Random
    retries: Random

    @classmethod
    def from_seed(cls, seed: int) -> "SiteRandomStreams":
        """The streams of one run."""
        return cls(
            calls=Random(f"{seed}/calls"),
            work=Random(f"{seed}/work"),
            retries=Random(f"{seed}/tries"),
        )


@dataclass
class SiteLoss:
    """A span in which all workers of a site were truly gone; `until_s` is infinite while they are."""

    since_s: float
    until_s: float = math.inf


@dataclass(frozen=True)
class LossAlarm:
    """A worker declared a site lost."""

    at_s: float
    worker: str
    site: str


@dataclass(frozen=True)
class RecoveryStep:
    """A site that returns as a whole asked for the load of its next stage."""

    at_s: float
    site: str


class SiteWorld(World):
    """`site_sizes`: how many workers in each site. `load`: of the capacity of all when warm."""

    def __init__(self, seed: int, site_sizes: dict[str, int], load: float, *, cold_s: float = COLD_S) -> None:
        names = [f"w{number:03d}" for number in range(sum(site_sizes.values()))]
        placements = [site for site, count in site_sizes.items() for _ in range(count)]
        budget = step_lease_budget(tuple(names[:GRANTOR_COUNT]))
        super().__init__(seed, (budget,), sites=dict(zip(names, placements, strict=True)))
        self.load_random = SiteRandomStreams.from_seed(seed)
        self.workers: dict[str, SiteWorker] = {}
        self.calls: list[Call] = []
        self.losses: dict[str, list[SiteLoss]] = {}  # by site
        self.loss_alarms: list[LossAlarm] = []
        self.recovery_steps: list[RecoveryStep] = []
        self.calls_per_s = load * CORES_PER_WORKER * len(names) / MEAN_WORK_S
        self._machine = Machine(CORES_PER_WORKER, 1.0, cold_from=COLD_SPEED, cold_s=cold_s)
        self._admission_settings = admission_settings(CORES_PER_WORKER)
        balancer_settings = BalancerSettings(choice="weighted", check_s=HEALTH_CHECK_S, redispatch=True)
        self._balancer = Balancer(names, balancer_settings)
        self._cold_start = False
        self.observe_ticks(self._tick_worker)
        self.start_fleet(len(names))
        self._cold_start = True
        self.at(FIRST_CALL_S, self._make_call)
        self.at(FIRST_HEALTH_CHECK_S, self._check_health)

    # Processes.

    def node_started(self, node: Node) -> None:
        """Adds what a worker in a site has beside its group."""
        self.workers[node.name] = SiteWorker(
            self,
            node,
            self.sites[node.name],
            self._admission_settings,
            self._machine,
            self._cold_start,
            self.random.groups.getrandbits(CONTROLLER_SEED_BITS),
            self._answer,
        )

    def _tick_worker(self, node: Node) -> None:
        worker = self.workers[node.name]
        if worker.node is not node:
            return
        observation = worker.tick()
        if observation is None:
            return
        for site in observation.lost_sites:
            self.loss_alarms.append(LossAlarm(self.now, node.name, site))
        if observation.made_site_step:
            self.recovery_steps.append(RecoveryStep(self.now, self.sites[node.name]))

    def members_of(self, site: str) -> list[str]:
        """The names of the workers in a site."""
        return [name for name, own_site in self.sites.items() if own_site == site]

    def issue_command(self, worker_name: str, site: str, kind: CommandKind) -> None:
        """An operator gives one worker a command about a site."""
        worker = self.workers[worker_name]
        if not worker.node.dead:
            worker.coordinator.issue_command(site, kind, worker.node.clock(self.now))

    def lose_site(self, site: str) -> None:
        """Kills all workers of a site."""
        self.losses.setdefault(site, []).append(SiteLoss(self.now))
        for name in self.members_of(site):
            self.lose_worker(name)

    def lose_worker(self, name: str) -> None:
        """Kills one worker, where it runs."""
        node = self.nodes.get(self.address(name))
        if node is not None:
            self.kill(node)
            self.workers[name].abandon_calls()

    def restore_site(self, site: str) -> None:
        """Starts all workers of a lost site again."""
        self.losses[site][-1].until_s = self.now
        for name in self.members_of(site):
            if self.address(name) not in self.nodes:
                self.start(name)

    # Load.

    def _make_call(self) -> None:
        random = self.load_random.calls
        work_s = min(MAX_WORK_FACTOR * MEAN_WORK_S, self.load_random.work.expovariate(1 / MEAN_WORK_S))
        call = Call(len(self.calls), random.random() < FILING_FRACTION, work_s, self.now)
        self.calls.append(call)
        self._attempt(call)
        self.at(self.now + random.expovariate(self.calls_per_s), self._make_call)

    def _attempt(self, call: Call) -> None:
        """Sends a call to the worker that the balancer picks, or to another where that one is gone."""
        call.attempts += 1
        tried: list[str] = []
        while len(tried) < len(self.sites):
            name = self._balancer.pick(call.number, tried)
            worker = self.workers.get(name)
            if worker is not None and not worker.node.dead:
                worker.receive(call)
                return
            self._balancer.connection_refused(name)
            tried.append(name)
        self._answer(call, CallOutcome.LOST)

    def _answer(self, call: Call, outcome: CallOutcome) -> None:
        """Ends a call, or retries it later."""
        if call.ended:
            return
        if outcome is CallOutcome.SERVED:
            call.ended = True
            call.succeeded = self.now - call.started_s <= LATENCY_OBJECTIVE_S
            call.served_after_rejection = call.gate_rejections > 0
            return
        retry_s = self.now + self.load_random.retries.uniform(*RETRY_DELAY_S)
        in_time = call.attempts < MAX_ATTEMPTS and retry_s < call.started_s + DEADLINE_S
        may_have_run = call.is_filing and outcome is CallOutcome.LOST
        if in_time and not may_have_run:
            self.at(retry_s, lambda: self._attempt(call))
        else:
            call.ended = True

    def _check_health(self) -> None:
        """The balancer's health check of all workers, and what their agents report."""
        for name, worker in self.workers.items():
            healthy = not worker.node.dead
            if healthy and not worker.node.paused:
                self._balancer.agent_reported(name, _agent_line(worker.coordinator.load_fraction))
            self._balancer.health_checked(name, healthy)
        self.at(self.now + HEALTH_CHECK_S, self._check_health)


def _agent_line(load_fraction: float) -> bytes:
    return b"drain" if load_fraction <= 0 else b"up %d%%" % max(1, round(100 * load_fraction))
