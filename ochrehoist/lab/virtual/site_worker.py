"""One process of a worker in a site, and the cores of its machine, on virtual time."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ochrehoist.admission.actions import FailRequest, RejectRequest, StartRun
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    Event,
    InstanceStarted,
    Outcome,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.request import InboundRequest
from ochrehoist.lab.virtual.scheduler import EventScheduler
from ochrehoist.lab.virtual.site_calls import FILING, Call, CallOutcome
from ochrehoist.lab.virtual.world import Node
from ochrehoist.plan.cores import Cores, Machine
from ochrehoist.sites.admission_threshold import TICK_INTERVAL_S
from ochrehoist.sites.coordinator import SiteCoordinator
from ochrehoist.sites.peer_workers import observe_peers
from ochrehoist.sites.site_health import SiteState
from ochrehoist.sites.site_report import TOPIC
from ochrehoist.sites.step_lease import STEP_LEASE_BUDGET, STEP_LEASE_DURATION_S
from ochrehoist.units import NS_PER_S

TICK_TOLERANCE_S = 0.03  # by which a tick may come early
MIN_RUN_END_DELAY_S = 1e-4
REQUEST_MEMORY_KB = 24.0
REQUEST_RANK = 0.5

NOT_USED: Any = None  # in place of what neither the gate nor the controller calls

AnswerCall = Callable[[Call, CallOutcome], None]


class NodeStepLease:
    """The step lease of one process, acquired anew each time that it is asked for."""

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


@dataclass
class OpenRequest:
    """One attempt of a call that this process has not answered yet, or that still runs."""

    call: Call
    request: InboundRequest


@dataclass(frozen=True)
class TickObservation:
    """What one tick of the coordinator showed."""

    lost_sites: list[str]  # that it declared lost
    made_recovery_step: bool
    made_site_step: bool  # as part of a site that returns as a whole


class SiteWorker:
    """Admits calls through its gate and the admission controller, and runs them on its cores."""

    def __init__(
        self,
        scheduler: EventScheduler,
        node: Node,
        site: str,
        settings: AdmissionSettings,
        machine: Machine,
        cold_start: bool,
        seed: int,
        answer: AnswerCall,
    ) -> None:
        self._scheduler = scheduler
        self._settings = settings
        self._machine = machine
        self._answer = answer
        self.node = node
        self.started_at_s = scheduler.now
        now = node.clock(scheduler.now)
        self.coordinator = SiteCoordinator(
            node.name, site, settings, None, now, cold_start, step_lease=NodeStepLease(node)
        )
        self._cores = Cores(machine, scheduler.now, cold=cold_start)
        self._controller = AdmissionController(settings, seed)
        self._open: dict[str, OpenRequest] = {}  # by request id
        self._run_starts_s: dict[str, float] = {}
        self._last_tick_s = 0.0
        self._timer_number = 0  # of the next end of a run: an older timer does nothing
        self._unread: list[Call] = []  # that came while the process was paused
        self._dispatch(InstanceStarted())
        node.group.add_extension(TOPIC, self.coordinator)

    def _now_ns(self) -> int:
        return int(self.node.clock(self._scheduler.now) * NS_PER_S)

    # Ticks.

    def tick(self) -> TickObservation | None:
        """Lets the coordinator and the controller act; None where the next tick is not due yet."""
        now = self._scheduler.now
        if now - self._last_tick_s < TICK_INTERVAL_S - TICK_TOLERANCE_S:
            return None
        self._last_tick_s = now
        unread = self._unread
        self._unread = []
        for call in unread:
            self.receive(call)
        self._complete_runs()
        running = len(self._run_starts_s)
        gauges = {"cpu_busy": min(1.0, running / self._machine.cores), "runnable": running}
        self._dispatch(TimerFired(1, gauges))
        return self._tick_coordinator()

    def _tick_coordinator(self) -> TickObservation:
        coordinator = self.coordinator
        stage_before = self._recovery_stage()
        known_changes = len(coordinator.health.changes)
        coordinator.tick(self.node.clock(self._scheduler.now), observe_peers(self.node.group))
        changes = coordinator.health.changes[known_changes:]
        stage = self._recovery_stage()
        stepped = stage_before is not None and stage is not None and stage > stage_before
        return TickObservation(
            lost_sites=[change.site for change in changes if change.state is SiteState.LOST],
            made_recovery_step=stepped,
            made_site_step=stepped and coordinator.arbiter.site_returns,
        )

    def _recovery_stage(self) -> int | None:
        recovery = self.coordinator.pacing.recovery
        return recovery.stage if recovery is not None else None

    # Calls.

    def receive(self, call: Call) -> None:
        """One attempt of a call; answers it now or later, and after a pause where the process is paused."""
        if self.node.paused:
            self._unread.append(call)
            return
        now_ns = self._now_ns()
        request = self._request(call, now_ns)
        if self.coordinator.gate.check_arrival(request, now_ns) is not None:
            call.gate_rejections += 1
            self._answer(call, CallOutcome.REJECTED)
            return
        self._open[request.id] = OpenRequest(call, request)
        self._complete_runs()
        self._dispatch(
            RequestReceived(
                id=request.id,
                class_index=call.class_index,
                is_retry=request.is_retry,
                memory_kb=REQUEST_MEMORY_KB,
                rank=REQUEST_RANK,
            )
        )

    def _request(self, call: Call, now_ns: int) -> InboundRequest:
        return InboundRequest(
            f"r{call.number}-{call.attempts}",
            self._settings.classes[call.class_index],
            now_ns,
            payload=None,
            responder=NOT_USED,
            executor=NOT_USED,
            subject_hash=call.number + 1,
            idempotency_key=(None, FILING, f"k{call.number}") if call.is_filing else None,
            is_retry=call.attempts > 1,
        )

    def abandon_calls(self) -> None:
        """The process has ended: nobody knows what became of what it had."""
        for call in [*(entry.call for entry in self._open.values()), *self._unread]:
            self._answer(call, CallOutcome.LOST)
        self._unread.clear()
        self._open.clear()
        self._run_starts_s.clear()
        self._timer_number += 1

    # The controller and its runs.

    def _dispatch(self, event: Event) -> None:
        """Hands an event to the controller, and carries out its actions."""
        now_ns = self._now_ns()
        for action in self._controller.handle(now_ns, event):
            entry = self._open.get(getattr(action, "id", ""))
            if entry is None:
                continue
            if isinstance(action, StartRun):
                self._start_run(entry, now_ns)
            elif isinstance(action, RejectRequest):
                self._reject(entry, CallOutcome.REJECTED)
            elif isinstance(action, FailRequest):
                self._reject(entry, CallOutcome.LOST)
        self._set_timer()

    def _start_run(self, entry: OpenRequest, now_ns: int) -> None:
        self._run_starts_s[entry.request.id] = self._scheduler.now
        self.coordinator.gate.run_started(entry.request, now_ns)
        self._cores.start(entry.request.id, entry.call.work_s)

    def _reject(self, entry: OpenRequest, outcome: CallOutcome) -> None:
        self.coordinator.gate.request_answered(entry.request, RequestCounter.REJECTED, 0)
        if entry.request.id not in self._run_starts_s:
            del self._open[entry.request.id]
        self._answer(entry.call, outcome)

    def _set_timer(self) -> None:
        """For the next end of a run."""
        self._timer_number += 1
        number = self._timer_number
        end_s = self._cores.next_end()
        if end_s is not None:
            due_s = max(end_s, self._scheduler.now + MIN_RUN_END_DELAY_S)
            self._scheduler.at(due_s, lambda: self._timer_expired(number))

    def _timer_expired(self, number: int) -> None:
        if number == self._timer_number:
            self._complete_runs()

    def _complete_runs(self) -> None:
        """Completes all runs that have ended by now."""
        if self.node.dead:
            return
        for request_id in self._cores.advance(self._scheduler.now):
            entry = self._open.pop(str(request_id), None)
            started_s = self._run_starts_s.pop(str(request_id), None)
            if entry is not None and started_s is not None:
                self._complete(entry, started_s)
        self._set_timer()

    def _complete(self, entry: OpenRequest, started_s: float) -> None:
        request = entry.request
        duration_ns = int((self._scheduler.now - started_s) * NS_PER_S)
        self.coordinator.gate.run_ended(request, self._now_ns(), duration_ns, Outcome.OK)
        self.coordinator.gate.request_answered(request, RequestCounter.ANSWERED, 0)
        if not entry.call.ended:
            self._answer(entry.call, CallOutcome.SERVED)
        self._dispatch(RequestCompleted(request.id, Outcome.OK, duration_ns))
