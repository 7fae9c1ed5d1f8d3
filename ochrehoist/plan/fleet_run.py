"""What a measured and a simulated run of a fleet have in common. No I/O and no clock: moments are passed in.

Both draw the same calls, speeds and habits from a seed, and their routers and clients decide alike.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from ochrehoist.config.fleet_description import Fleet, PlacedNode
from ochrehoist.plan.cores import Machine
from ochrehoist.plan.demand import PlannedCall, Streams, draw_calls, draw_speeds
from ochrehoist.plan.routing import (
    UNREACHABLE_BACKOFF_S,
    Answer,
    Call,
    Decision,
    NextStep,
    Reply,
    Router,
    next_step,
)
from ochrehoist.plan.run_statistics import CallOutcome, QuotaBucket, RunStatistics, WorkerStatistics

DEFAULT_SETTLE_S = 5.0  # at the start of a run, that is not counted
ROUTER_SEED_FACTOR = 10_000


@dataclass(frozen=True)
class Outage:
    """At `starts_at` the workers are lost; they come back cold at `ends_at`, if ever. Moments in s."""

    starts_at: float
    workers: tuple[int, ...]
    ends_at: float | None = None
    name: str = ""


class FleetRun:
    """The part of a run that does not depend on whether its workers are real.

    Attributes:
        fleet: As described.
        seed: Of all draws.
        duration_s: For which calls begin.
        statistics: What has become of the calls so far.
        routers: Their views of the workers.
        worker_speeds: Of the cores of each worker, as drawn.
        planned_calls: Those that have not begun, in order of time.
    """

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        duration_s: float,
        settle_s: float,
        planned_calls: Iterable[PlannedCall] | None,
    ) -> None:
        streams = Streams(seed)
        self.fleet = fleet
        self.seed = seed
        self.duration_s = duration_s
        self.statistics = RunStatistics(fleet, settle_s, duration_s)
        self.worker_speeds = draw_speeds(fleet, streams)
        self.routers = self._draw_routers(streams)
        drawn_calls = draw_calls(fleet, streams, duration_s)
        self.planned_calls: Iterator[PlannedCall] = iter(
            drawn_calls if planned_calls is None else planned_calls
        )
        self._quotas = [QuotaBucket(fleet.quota(tenant)) for tenant in fleet.tenants]
        self._last_number = 0

    def _draw_routers(self, streams: Streams) -> list[Router]:
        fleet = self.fleet
        weights = [
            fleet.kind(worker.kind).cores * speed
            for worker, speed in zip(fleet.placed_workers, self.worker_speeds, strict=True)
        ]
        placed = fleet.placed_routers
        honors_retry_after = streams["heed"].uniform(size=len(placed)) < fleet.clients.heed
        return [
            Router(
                fleet.routers[router.group],
                range(len(weights)),
                weights,
                bool(honors_retry_after[index]),
                self.seed * ROUTER_SEED_FACTOR + index,
            )
            for index, router in enumerate(placed)
        ]

    def next_number(self) -> int:
        """A number that no call and no attempt of this run has yet."""
        self._last_number += 1
        return self._last_number

    def begin_call(self, planned: PlannedCall, now: float) -> Call:
        """The call as it begins; takes its token from its tenant's quota."""
        request_class = self.fleet.classes[planned.class_index]
        return Call(
            number=self.next_number(),
            class_index=planned.class_index,
            tenant_index=planned.tenant_index,
            subject=planned.subject,
            work_s=planned.work_s,
            stated_work_s=planned.stated_work_s,
            began_at=now,
            objective_at=now + request_class.aim_ms / 1000,
            deadline_at=now + request_class.deadline_ms / 1000,
            has_idempotency_key=request_class.repeat != "idempotent",
            router_index=planned.router_index,
            within_quota=self._quotas[planned.tenant_index].take(now) if self._quotas else True,
            memory_kb=planned.memory_kb,
        )

    def choose_worker(self, call: Call, now: float, is_up: Callable[[int], bool]) -> int | None:
        """The worker for the next attempt of a call, which is counted; None where none is listed."""
        worker = self.routers[call.router_index].pick(now, call.subject, call.tried)
        if call.ran_on is not None and is_up(call.ran_on) and not call.tried:
            worker = call.ran_on  # only this worker knows the idempotency key
        call.attempts += 1
        return worker

    def apply_backoff(self, call: Call, worker: int, reply: Reply, now: float) -> None:
        """The call's router avoids the worker where the reply gives it reason to."""
        router = self.routers[call.router_index]
        if reply.answer is Answer.REFUSED and reply.retry_after_s and router.honors_retry_after:
            router.avoid(worker, now + reply.retry_after_s)
        elif reply.answer is Answer.UNREACHABLE:
            router.avoid(worker, now + UNREACHABLE_BACKOFF_S)

    def decide_next_step(self, call: Call, worker: int | None, reply: Reply, now: float) -> Decision:
        """What follows a reply of the worker; a retry by the client is counted."""
        if reply.answer is Answer.FAILED and call.has_idempotency_key:
            call.ran_on = worker
        habits = self.routers[call.router_index].habits
        decision = next_step(call, reply, now, habits, self.fleet.clients)
        if decision.step is NextStep.CLIENT_RETRY:
            call.client_retries += 1
            call.tried = []
        return decision

    def end_call(self, call: Call, outcome: CallOutcome, now: float) -> None:
        """Counts a call that its client has the answer of, or gave up."""
        call.ended = True
        self.statistics.add(call, outcome, now - call.began_at)

    def set_listed(self, worker: int, listed: bool) -> None:
        """All routers have read the endpoint list, which now has the worker, or no longer has it."""
        for router in self.routers:
            router.set_listed(worker, listed)

    def note_outage(self, outage: Outage, now: float) -> None:
        """Puts the loss of the workers on record."""
        self.statistics.events.append((now, f"{outage.name or 'workers'} lost"))

    def note_return(self, outage: Outage, now: float) -> None:
        """Puts the return of the workers on record."""
        self.statistics.events.append((now, f"{outage.name or 'workers'} back, cold"))


class TaskKind(Enum):
    """What a core of a worker's machine is busy with."""

    HANDSHAKE = "handshake"
    READ = "read"
    RUN = "run"


class CoreTask(NamedTuple):
    """A piece of work on the cores of a worker's machine.

    Attributes:
        subject: The caller of a handshake, the request that runs, or what is read: an Attempt of a
            simulation, in a measured run the future that is done with it.
        started_at: s since the start of the run.
    """

    kind: TaskKind
    subject: Any
    started_at: float


class FleetWorker:
    """What a simulated worker and the stand-in machine of a real one have in common.

    Attributes:
        number: Its index in the fleet.
        kind: As described.
        machine: What its cores can do.
        statistics: What it did, over the whole run.
        read_work_s: Work that reading one request takes.
        up: It can be reached.
    """

    def __init__(self, fleet: Fleet, number: int, placed: PlacedNode, speed: float) -> None:
        self.number = number
        self.kind = fleet.kind(placed.kind)
        self.machine = Machine.of_kind(self.kind, speed)
        self.statistics = WorkerStatistics(placed.address, placed.kind, placed.site, speed)
        self.read_work_s = fleet.intake.share * fleet.mean_work_s
        self.up = False

    def note_running(self, running: int) -> None:
        """So many requests run here at once."""
        self.statistics.peak_running = max(self.statistics.peak_running, running)


def outcome_of(call: Call, answer: Answer, now: float) -> CallOutcome:
    """How a call has ended whose last attempt got this answer before its deadline."""
    if answer is Answer.SERVED:
        return CallOutcome.IN_TIME if now <= call.objective_at else CallOutcome.LATE
    return CallOutcome.FAILED if answer is Answer.FAILED else CallOutcome.REFUSED
