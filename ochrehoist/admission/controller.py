"""The admission controller, which decides which requests run, wait or are rejected.

The controller handles events and returns actions; it does no I/O, reads no clock and starts no threads. It
owns the open requests and dispatches the events. The decisions are made by its components: `mpl_policy` and
`start_selection` (how many requests to start), `request_queue` and `priority` (in which order),
`load_shedding` (which cannot meet their objective), `memory_budget`, `concurrency`, `idempotency`,
`downstream_calls`, `health` and `backpressure`. See docs/design.md.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, ClassVar

from ochrehoist.admission.actions import (
    Action,
    AttachDuplicate,
    CancelRun,
    FailRequest,
    ReleaseKey,
    RetainKey,
    SetHealth,
    SetTimer,
    StartRun,
)
from ochrehoist.admission.arrivals import ArrivalMonitor
from ochrehoist.admission.backpressure import Backpressure
from ochrehoist.admission.caller_activity import EARLY_CANCELLATION_SHARE, CallerTracker
from ochrehoist.admission.concurrency import Bulkhead, ConcurrencyTracker
from ochrehoist.admission.downstream_calls import DownstreamCalls
from ochrehoist.admission.events import (
    NEVER_RAN,
    ConcurrencyLimits,
    DownstreamCallEnded,
    DownstreamCallNeeded,
    DrainStarted,
    Event,
    InstanceStarted,
    Outcome,
    RequestAbandoned,
    RequestCompleted,
    RequestId,
    RequestReceived,
    RunAdopted,
    TenantsReplaced,
    TimerFired,
)
from ochrehoist.admission.graceful_shutdown import GracefulShutdown
from ochrehoist.admission.health import HealthMonitor
from ochrehoist.admission.idempotency import IdempotencyIndex
from ochrehoist.admission.job import Job, JobState
from ochrehoist.admission.load_shedding import LoadShedder
from ochrehoist.admission.memory_budget import MemoryBudget
from ochrehoist.admission.mpl_policy import MplPolicy
from ochrehoist.admission.priority import PriorityModel
from ochrehoist.admission.request_queue import RequestQueue
from ochrehoist.admission.run_observer import RunObserver
from ochrehoist.admission.run_time import RunTimeModel
from ochrehoist.admission.service_rate import seed_curve
from ochrehoist.admission.settings import AdmissionSettings, Idempotency, Preemption
from ochrehoist.admission.start_selection import StartSelector
from ochrehoist.admission.tenant_activity import ActivityTracker
from ochrehoist.admission.timing import TICK_INTERVAL_NS

TICK_TIMER_ID = 1


def _for_open_job(handler: Callable[..., None]) -> Callable[["AdmissionController", Any], None]:
    """Returns a handler that passes the open request of an event on, and ignores events without one."""

    def dispatch(controller: "AdmissionController", event: Any) -> None:
        job = controller.jobs.get(event.id)
        if job is not None:
            handler(controller, job, event)

    return dispatch


class AdmissionController:
    """Admission controller of one instance; it is not reentrant and not thread-safe."""

    def __init__(self, settings: AdmissionSettings, seed: int) -> None:
        """`seed` initialises the random numbers of probabilistic decisions."""
        cores = settings.cores
        classes = settings.classes
        mean_objective_ns = sum(request_class.latency_objective_ns for request_class in classes) / len(
            classes
        )
        rng = random.Random(seed)
        self.settings = settings
        self.now_ns = 0
        self.jobs: dict[RequestId, Job] = {}  # open requests by id
        self._actions: list[Action] = []  # actions for the current event
        self.health = HealthMonitor(cores)
        self.shutdown = GracefulShutdown(settings.drain_grace_ns)
        self.concurrency = ConcurrencyTracker(settings)
        self.idempotency = IdempotencyIndex(settings)
        self.memory = MemoryBudget(settings, self.concurrency, self.idempotency)
        self.arrivals = ArrivalMonitor()
        self.callers = CallerTracker()
        self.activity = ActivityTracker(settings)
        self.run_times = RunTimeModel(settings, mean_objective_ns)
        self.priority = PriorityModel(settings, self.activity, self.run_times)
        self.queue = RequestQueue(settings.weighs_work, self.concurrency, self.priority)
        self.curve = seed_curve(settings, mean_objective_ns)
        self.policy = MplPolicy(cores, self.curve)
        self.shedder = LoadShedder(settings, self.arrivals, self.activity, self.policy, self.concurrency, rng)
        self._runs = RunObserver(
            cores, self.health, self.concurrency, self.policy, self.curve, self.run_times
        )
        self._selector = StartSelector(
            settings.cores,
            self.health,
            self.concurrency,
            self.queue,
            self.policy,
            self.arrivals,
            self.run_times,
            self.callers,
        )
        self.downstream = DownstreamCalls(settings, self.concurrency, rng)
        self._backpressure = Backpressure(
            settings, mean_objective_ns, self.policy, self.concurrency, self.arrivals, self.callers
        )

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Handles an event and returns the resulting actions, to be carried out in this order."""
        self.now_ns = now_ns
        self._actions = []
        self.queue.begin_event()
        self._runs.observe_elapsed_time(now_ns)
        self.downstream.expire(now_ns)
        self._HANDLERS[type(event)](self, event)
        if self.concurrency.awaiting_call:
            self._actions += self.downstream.start_due_calls(now_ns)
        if self.queue.jobs:
            self._start_queued()
        return self._actions

    # Lifecycle of the instance

    def _on_started(self, _event: InstanceStarted) -> None:
        self.health.begin(self.now_ns)
        self.concurrency.begin(self.now_ns)
        self.policy.begin(self.now_ns)
        self.activity.refresh()
        self.priority.refresh()
        self._actions += [SetHealth(True, True), SetTimer(TICK_INTERVAL_NS, TICK_TIMER_ID)]

    def _on_drain_started(self, event: DrainStarted) -> None:
        self.shutdown.begin(event, self.now_ns)
        for job in self.jobs.values():
            self.shutdown.limit_deadline(job)

    def _on_limits(self, limits: ConcurrencyLimits) -> None:
        self.concurrency.set_limits(limits)

    def _on_tenants_replaced(self, event: TenantsReplaced) -> None:
        self.activity.replace_tenants(event.tenants)
        self.settings = replace(self.settings, tenants=event.tenants)

    # Arrivals

    def _on_received(self, request: RequestReceived) -> None:
        job = Job(request, self.settings.classes[request.class_index], self.now_ns)
        self.jobs[request.id] = job
        self.shutdown.limit_deadline(job)
        self._observe_arrival(job)
        # Deadlines are checked once per tick, so a run has to end one tick before the caller gives up.
        job.objective_at_ns = min(job.objective_at_ns, job.deadline_ns - TICK_INTERVAL_NS)
        original = self._original_of(request)
        if original is None or original is job:
            self._queue_or_reject(job)
        else:
            self._admit_duplicate(job, original)

    def _observe_arrival(self, job: Job) -> None:
        request = job.request
        if request.work_ns:
            self.run_times.observe_stated_work(job, request.work_ns, self.now_ns)
        self.memory.add(job)
        self.arrivals.observe(request, self.now_ns)
        self.callers.observe_request(request.caller, self.now_ns)
        job.tenant = request.tenant_index
        self.activity.observe_request(request.class_index, request.tenant_index, request.is_retry)

    def _original_of(self, request: RequestReceived) -> Job | None:
        original = request.duplicate_of
        if original is None:
            return None
        return self.jobs.get(original) or self.idempotency.ended.get(original)

    def _admit_duplicate(self, job: Job, original: Job) -> None:
        """Runs a duplicate only if the original is known never to have run, so that it has one effect."""
        # The client has been waiting since the original request arrived.
        job.objective_at_ns = min(job.objective_at_ns, original.objective_at_ns)
        if original.state is JobState.FOLLOWING and original.leader is not None:
            original = original.leader
        if original.state is JobState.QUEUED:
            self._follow(job, original)
        elif original.started or original.state is not JobState.ENDED:
            self._attach(job)
        else:
            self._queue_or_reject(job)

    def _follow(self, job: Job, leader: Job) -> None:
        if not self.memory.can_queue(job):
            self._reject(job)
            return
        job.state = JobState.FOLLOWING
        job.leader = leader
        leader.followers.append(job)

    def _attach(self, job: Job) -> None:
        if not self.memory.can_attach() or job.deadline_ns < self.now_ns + TICK_INTERVAL_NS:
            self._fail(job)
            return
        job.state = JobState.ATTACHED
        self._actions.append(AttachDuplicate(job.request.id))

    def _queue_or_reject(self, job: Job) -> None:
        if self.health.stalled or self.shutdown.arrived_after_grace(job) or not self.memory.can_queue(job):
            self._reject(job)
            return
        job.state = JobState.QUEUED
        self.queue.add(job)
        if job.request_class.idempotency is Idempotency.KEYED:
            self._retain_key(job)

    def _retain_key(self, job: Job) -> None:
        ttl_ns = self.idempotency.retain(job, self.now_ns)
        self._actions.append(RetainKey(job.request.id, ttl_ns))

    def _on_adopted(self, event: RunAdopted) -> None:
        """Takes over a run that the previous instance started."""
        request = event.request
        job = Job(request, self.settings.classes[request.class_index], self.now_ns)
        self.jobs[request.id] = job
        job.started = True
        job.answered = event.answered or event.ended
        job.memory_kb = job.memory_kb * self.settings.run_memory_factor
        self.memory.add(job)
        self.health.observe_progress(self.now_ns)
        self.concurrency.set_state(job, JobState.RUNNING)
        if job.request_class.idempotency is Idempotency.KEYED:
            self._retain_key(job)
        if event.ended:
            self._end(job)

    # Starts

    def _start_queued(self) -> None:
        starts = self._selector.allowed_starts(self.now_ns)
        for job in self._selector.startable(self.now_ns, starts, self._reject)[:starts]:
            if self.concurrency.bulkhead(job) is not Bulkhead.AT_CAP and not self._start(job):
                break

    def _start(self, job: Job) -> bool:
        """Starts a queued request; returns False if there is not enough memory for the run."""
        if not self.memory.can_start(job):
            return False
        self.queue.remove(job)
        if not self.concurrency.running:
            self.health.observe_progress(self.now_ns)
        self.concurrency.set_state(job, JobState.RUNNING)
        job.started = True
        self.memory.expand(job)
        self._actions.append(StartRun(job.request.id))
        if job.followers:
            for follower in job.waiting_followers():
                self._attach(follower)
        self.shedder.observe_start(self.now_ns)
        self.activity.observe_start(job.request.tenant_index)
        return True

    # Completions

    def _on_completed(self, job: Job, event: RequestCompleted) -> None:
        if event.outcome in NEVER_RAN:  # no run to learn from, and a retry may run
            job.started = False
            self._drop(job)
            return
        succeeded = event.outcome is Outcome.OK
        if job.state is JobState.RUNNING:
            cores_idle = self._selector.cores_idle() and bool(self.queue.jobs)
            self._runs.observe_completion(job, event, self.now_ns, cores_idle)
        if succeeded and not job.answered and self.now_ns <= job.objective_at_ns:
            self.activity.observe_served(job.request.class_index, job.tenant)
        job.answered = True
        self._end(job)

    def _end(self, job: Job) -> None:
        """Closes a request, and keeps what later duplicates of it need."""
        self.queue.remove(job)
        if job.state is JobState.CALLING:  # abandoned by its caller, or answered: the call may continue
            self.downstream.release_reservation(job, self.now_ns, abandoned=True)
        self.concurrency.set_state(job, JobState.ENDED)
        self.memory.release(job)
        self.idempotency.record_ended(job, self.now_ns)
        self.jobs.pop(job.request.id, None)

    # Rejections and failures

    def _reject(self, job: Job) -> None:
        unavailable = self.health.stalled or self.shutdown.draining
        rejection = self.shedder.reject(job, self.now_ns, len(self.queue.jobs), unavailable)
        self._actions.append(rejection)
        self._drop(job)

    def _fail(self, job: Job) -> None:
        self._actions.append(FailRequest(job.request.id))
        if job.has_no_run():
            self._drop(job)
            return
        job.answered = True
        if job.state is JobState.RUNNING and self.settings.preemption is not Preemption.NONE:
            self._actions.append(CancelRun(job.request.id))

    def _drop(self, job: Job) -> None:
        """Closes a request that never ran; the first of its waiting duplicates is queued instead."""
        if job.key_retained:
            self._actions.append(ReleaseKey(job.request.id))
            self.idempotency.release(job)
        job.answered = True
        self._end(job)
        if job.followers:
            leader = job.promote_follower()
            if leader is not None:
                self._queue_or_reject(leader)

    def _on_abandoned(self, job: Job, event: RequestAbandoned) -> None:
        age_ns = self.now_ns - job.arrived_at_ns
        early_ns = job.request_class.latency_objective_ns * EARLY_CANCELLATION_SHARE
        if not job.answered and event.gave_up and age_ns > early_ns:
            self.callers.observe_cancellation(job.request.caller, job.arrived_at_ns, self.now_ns)
        job.answered = True
        if job.has_no_run():
            self._drop(job)

    # Downstream calls

    def _on_call_needed(self, job: Job, _event: DownstreamCallNeeded) -> None:
        if job.state is JobState.RUNNING:
            self.downstream.request_call(job, self.now_ns)
            self.health.observe_progress(self.now_ns)

    def _on_call_ended(self, job: Job, event: DownstreamCallEnded) -> None:
        if job.state is not JobState.CALLING:
            return
        request_failed = self.downstream.end_call(job, event, self.now_ns)
        if event.outcome is Outcome.OK:
            self.health.observe_progress(self.now_ns)
        if request_failed:
            self._fail(job)

    # Ticks

    def _on_tick(self, event: TimerFired) -> None:
        self._selector.update_gauges(event.gauges, self.now_ns)
        self.policy.reset_rises()
        self._fail_overdue()
        self._actions.append(SetTimer(TICK_INTERVAL_NS, TICK_TIMER_ID))
        self.activity.next_tick()
        self.priority.refresh()
        self.arrivals.tick()
        self.callers.expire(self.now_ns)
        self.idempotency.expire(self.now_ns)
        self._update_health()
        self._actions += self._backpressure.update(self.health.healthy)

    def _fail_overdue(self) -> None:
        latest_ns = self.now_ns + TICK_INTERVAL_NS
        for job in list(self.jobs.values()):
            if job.deadline_ns <= latest_ns and not job.answered:
                self._fail(job)

    def _update_health(self) -> None:
        changed = self.health.evaluate(
            self.now_ns,
            self.concurrency.running,
            self.run_times.average_mean_ns(),
            self.shutdown.draining,
        )
        if changed:
            self._actions.append(SetHealth(self.health.healthy, True))

    _HANDLERS: ClassVar[dict[type, Callable[["AdmissionController", Any], None]]] = {
        InstanceStarted: _on_started,
        RequestReceived: _on_received,
        RunAdopted: _on_adopted,
        RequestCompleted: _for_open_job(_on_completed),
        DownstreamCallNeeded: _for_open_job(_on_call_needed),
        DownstreamCallEnded: _for_open_job(_on_call_ended),
        RequestAbandoned: _for_open_job(_on_abandoned),
        TimerFired: _on_tick,
        DrainStarted: _on_drain_started,
        ConcurrencyLimits: _on_limits,
        TenantsReplaced: _on_tenants_replaced,
    }
