"""One worker of a simulated fleet, in virtual time: its core as it is, on a modelled machine. No I/O."""

import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from ochrehoist.admission.events import Outcome
from ochrehoist.config.fleet_description import Fleet, PlacedNode
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import (
    CallerDisconnected,
    ExecutorReady,
    GaugesMeasured,
    RequestArrived,
    RunCompleted,
)
from ochrehoist.core.request import InboundRequest, RequestReference
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.plan.cores import Cores
from ochrehoist.plan.fleet_run import CoreTask, FleetWorker, TaskKind
from ochrehoist.plan.routing import Answer, Call, Reply
from ochrehoist.plan.worker_settings import admission_settings
from ochrehoist.units import NS_PER_S

EPOCH_S = 1_700_000_000  # the workers' Unix clock at the start
MAX_RESULT_BYTES = 64_000_000
MIN_WAKE_DELAY_S = 1e-6  # between two steps of a worker
WAKE_TOLERANCE_S = 1e-12  # by which an earlier wake-up must be earlier to replace the planned one
WORKER_SEED_FACTOR = 1000
REQUEST_RANK = 0.5


class SimulationContext(Protocol):
    """What a worker needs of the simulation that it is part of."""

    fleet: Fleet
    seed: int
    now: float

    def schedule_at(self, moment: float, call: Callable[[], None]) -> None:
        """Makes a call at a moment of virtual time."""
        ...

    def schedule_after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Makes a call after a span of virtual time."""
        ...

    def network_delay_s(self, router: int, worker: int) -> float:
        """One way between a router and a worker."""
        ...

    def reply_arrived(self, attempt: "Attempt", reply: Reply) -> None:
        """The router has the reply of an attempt."""
        ...

    def publish_health(self, worker: int, healthy: bool) -> None:
        """The endpoint list takes the worker in, or drops it."""
        ...


class SilentLog:
    """The log of a worker that nobody reads, but for its faults."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        """Drops the event."""

    def warning(self, event: str, **fields: object) -> None:
        """Drops the event."""

    def error(self, event: str, **fields: object) -> None:
        """Drops the event."""

    def exception(self, event: str, **fields: object) -> None:
        """Keeps the fault: the simulation must not go on with it."""
        self.faults.append(f"{event} {fields}")


class WaitInVirtualTimeError(AssertionError):
    """The core was to sleep, though it is stepped from outside."""


class NoWaker:
    """Wakes nobody: the simulation steps the core when something is due."""

    def set(self) -> None:
        """Has nobody to wake."""

    def wait(self, timeout: float | None) -> bool:
        """Never called."""
        raise WaitInVirtualTimeError(timeout)


class Attempt:
    """One request at one worker; the way back of its answer.

    Attributes:
        id: Of the request, unique in the fleet.
        answered: The reply is on its way, or nobody waits for it.
        is_retry: The router marks it as a retry.
        arrived_at: s, of virtual time.
        request: By which the core knows of it; None before it is read.
    """

    __slots__ = ("_simulation", "answered", "arrived_at", "call", "id", "is_retry", "request", "worker")

    def __init__(
        self, simulation: SimulationContext, call: Call, worker: "SimulatedWorker", number: int
    ) -> None:
        self._simulation = simulation
        self.call = call
        self.worker = worker
        self.id = f"{number:x}"
        self.answered = False
        self.is_retry = call.attempts > 1
        self.arrived_at = 0.0
        self.request: RequestReference | None = None

    def reply(self, reply: Reply) -> None:
        """Sends the reply to the router; a second one is dropped."""
        if self.answered:
            return
        self.answered = True
        self.worker.forget(self)
        delay_s = self._simulation.network_delay_s(self.call.router_index, self.worker.number)
        self._simulation.schedule_after(delay_s, partial(self._simulation.reply_arrived, self, reply))

    def served(self, result: RunResult) -> bool:  # noqa: ARG002 (of the Responder)
        """The core's answer: it was served."""
        self.worker.statistics.served += 1
        self.reply(Reply(Answer.SERVED))
        return True

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:
        """The core's answer: it was rejected."""
        self.worker.statistics.refused += 1
        self.reply(Reply(Answer.REFUSED, retry_after_ns / NS_PER_S, no_retry))

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:  # noqa: ARG002
        """The core's answer: it failed."""
        self.worker.statistics.failed += 1
        self.reply(Reply(Answer.FAILED))

    def origin(self) -> tuple[str, str]:
        """The front's name; there is no address."""
        return "model", ""


class SimulatedWorker(FleetWorker):
    """One worker: its core as it is, on a modelled machine; the core's Executor and LifecycleListener.

    Attributes:
        log: Of the core.
        actor: The core; another one after each start.
        cores: Of its machine, since its last start.
    """

    def __init__(self, simulation: SimulationContext, number: int, placed: PlacedNode, speed: float) -> None:
        super().__init__(simulation.fleet, number, placed, speed)
        self._simulation = simulation
        self.log = SilentLog()
        self._earlier_busy_s = 0.0  # core-seconds before its last start
        self.boot(cold=False)

    def boot(self, cold: bool) -> None:
        """Starts it, with nothing of before."""
        simulation = self._simulation
        self.up = True
        self._wake_at = math.inf
        self.cores = Cores(self.machine, simulation.now, cold)
        self._unread: deque[Attempt] = deque()
        self._reading = 0
        self._running = 0
        self._open_attempts: dict[str, Attempt] = {}
        self._connection_used_at: dict[int, float] = {}  # by caller
        self.actor = CoreActor(
            admission_settings(simulation.fleet, self.kind, cold),
            simulation.seed * WORKER_SEED_FACTOR + self.number,
            NoWaker(),
            self._unix_time_ns,
            self._unix_time_ns,
            self.log,
            MAX_RESULT_BYTES,
            self._measure_gauges,
        )
        self.actor.register_listener(self)
        self.actor.post(ExecutorReady(cold, 0))
        self.step()

    def lose(self) -> None:
        """Ends it at once, with all that it had in hand."""
        self.up = False
        self._earlier_busy_s += self.cores.busy_s
        for attempt in list(self._open_attempts.values()):
            attempt.reply(Reply(Answer.FAILED))

    def measure_busy(self) -> None:
        """Notes the share of its cores that was in use from the start of the simulation up to now."""
        busy_s = self._earlier_busy_s + (self.cores.busy_s if self.up else 0.0)
        self.statistics.busy = busy_s / (self._simulation.now * self.machine.cores)

    def _unix_time_ns(self) -> int:
        return int((EPOCH_S + self._simulation.now) * NS_PER_S)

    def _measure_gauges(self) -> None:
        busy_share = self.cores.busy_share(self._simulation.now)
        gauges = {"cpu_busy": busy_share, "runnable": float(len(self.cores.running))}
        self.actor.post(GaugesMeasured(gauges))

    def start(self, request: InboundRequest) -> None:
        """The core starts a run."""
        self._running += 1
        self.note_running(self._running)
        self.cores.start(CoreTask(TaskKind.RUN, request.reference, self._simulation.now), request.payload)

    def health_changed(self, good: bool) -> None:
        """The core became healthy or unhealthy."""
        self._simulation.publish_health(self.number, good)

    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Connections end as the fleet's description has it."""

    def shutdown_started(self, remaining_ns: int) -> None:
        """No worker of a simulation drains."""

    def attempt_arrived(self, attempt: Attempt) -> None:
        """A request reaches the machine."""
        if not self.up:
            attempt.reply(Reply(Answer.UNREACHABLE))
            return
        self.statistics.tries += 1
        self.step()
        self._open_attempts[attempt.id] = attempt
        attempt.arrived_at = self._simulation.now
        self._connect(attempt.call.router_index)
        self._unread.append(attempt)
        self._read_next()
        self.step()

    def attempt_abandoned(self, attempt: Attempt) -> None:
        """The caller of a request waits no more."""
        if not self.up or attempt.id not in self._open_attempts:
            return
        self.forget(attempt)
        attempt.answered = True
        if attempt.request is not None:
            self.actor.post(CallerDisconnected(attempt.request))
            self.step()

    def forget(self, attempt: Attempt) -> None:
        """The request is open here no longer."""
        self._open_attempts.pop(attempt.id, None)

    def _connect(self, caller: int) -> None:
        """A handshake, if the caller's connection is no longer open; a full table taxes the cores."""
        now = self._simulation.now
        idle_s = self._simulation.fleet.intake.idle_s
        if now - self._connection_used_at.get(caller, -math.inf) > idle_s and self.kind.handshake_ms:
            self.cores.start(CoreTask(TaskKind.HANDSHAKE, caller, now), self.kind.handshake_ms / 1000)
        self._connection_used_at[caller] = now
        if len(self._connection_used_at) >= self.kind.connections:
            self._connection_used_at = {
                other: used_at
                for other, used_at in self._connection_used_at.items()
                if now - used_at <= idle_s
            }
        is_full = len(self._connection_used_at) >= self.kind.connections
        self.cores.tax = self.kind.full_table_tax if is_full else 0.0

    def _read_next(self) -> None:
        """Each core reads one request at a time; the others wait unread."""
        while self._unread and self._reading < self.machine.cores:
            attempt = self._unread.popleft()
            if attempt.answered:  # its caller gave up before it was read
                continue
            self._reading += 1
            self.cores.start(CoreTask(TaskKind.READ, attempt, self._simulation.now), self.read_work_s)

    def step(self) -> None:
        """Lets the machine and the core do all that has become due up to now, and plans the next step."""
        if not self.up:
            return
        now = self._simulation.now
        for task in cast(list[CoreTask], self.cores.advance(now)):
            self._task_ended(task, now)
        self._read_next()
        self.actor.step()
        while self.actor.inbox:
            self.actor.step()
        self._plan_next_step(now)

    def _task_ended(self, task: CoreTask, now: float) -> None:
        if task.kind is TaskKind.READ:
            self._reading -= 1
            attempt: Attempt = task.subject
            if not attempt.answered:
                request = self._inbound_request(attempt)
                attempt.request = request.reference
                self.actor.post(RequestArrived(request))
        elif task.kind is TaskKind.RUN:
            self._running -= 1
            duration_ns = int((now - task.started_at) * NS_PER_S)
            self.actor.post(RunCompleted(task.subject, RunResult(Outcome.OK), duration_ns))

    def _plan_next_step(self, now: float) -> None:
        task_ends_at = self.cores.next_end()
        due_ns = self.actor.deadlines.next_due_ns()
        core_due_at = None if due_ns is None else due_ns / NS_PER_S - EPOCH_S
        moments = [moment for moment in (task_ends_at, core_due_at) if moment is not None]
        if not moments:
            return
        wake_at = max(now + MIN_WAKE_DELAY_S, min(moments))
        if wake_at < self._wake_at - WAKE_TOLERANCE_S or self._wake_at <= now:
            self._wake_at = wake_at
            self._simulation.schedule_at(wake_at, partial(self._wake, wake_at, self.actor))

    def _wake(self, wake_at: float, actor: CoreActor) -> None:
        """Steps, unless an earlier wake-up was planned since, or the worker was started again."""
        if actor is self.actor and wake_at == self._wake_at:
            self._wake_at = -math.inf
            self.step()

    def _inbound_request(self, attempt: Attempt) -> InboundRequest:
        call = attempt.call
        request_class = self.actor.settings.classes[call.class_index]
        tenants = self._simulation.fleet.tenants
        tenant = tenants[call.tenant_index].name if tenants else None
        has_key = call.has_idempotency_key
        return InboundRequest(
            id=attempt.id,
            request_class=request_class,
            arrived_ns=int((EPOCH_S + attempt.arrived_at) * NS_PER_S),
            payload=call.work_s,
            responder=attempt,
            executor=self,
            tenant=tenant,
            routing_key=None if has_key or not call.subject else f"{call.subject:x}",
            idempotency_key=(tenant, request_class.name, str(call.number)) if has_key else None,
            work_ns=int(call.stated_work_s * NS_PER_S),
            memory_kb=call.memory_kb,
            rank=REQUEST_RANK,
            is_retry=attempt.is_retry,
            is_write=has_key,
            caller=call.router_index,
        )
