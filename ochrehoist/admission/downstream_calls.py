"""Scheduling of downstream calls: when a running request makes its call, and when it uses the fallback.

Where all instances share the dependency, this instance has a share of its capacity, as call time within a
sliding window. Each call may last half of the time that is still available, and reserves its maximum duration
when it starts. So no window holds more call time than the share, however the calls end. That protects the
dependency when it slows down, when callers abandon requests, and when a cold fleet makes more calls. The
drawback: a long call is cut off even if other instances leave their capacity unused.
"""

from collections import deque
from random import Random
from typing import NamedTuple

from ochrehoist.admission.actions import Action, SkipDownstreamCall, StartDownstreamCall
from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.decaying_mean import DecayingMean
from ochrehoist.admission.events import NEVER_RAN, DownstreamCallEnded, Outcome
from ochrehoist.admission.job import Job, JobState
from ochrehoist.admission.settings import AdmissionSettings, DownstreamScope, Idempotency
from ochrehoist.admission.timing import TICK_INTERVAL_NS

USABLE_SHARE = 0.9  # share of the granted call time that this instance uses
CALL_DECAY_TIME_S = 1.5
FAILURE_INITIAL_WEIGHT = 10.0
FAILING_SHARE = 0.5  # the dependency counts as unhealthy above this share of failed calls
PROBE_SHARE = 0.1  # share of the requests that still call an unhealthy dependency
BASE_BACKOFF_NS = TICK_INTERVAL_NS // 4  # doubled for each call that the request has made
MAX_BACKOFF_DOUBLINGS = 5
MAX_CALLS = 2  # limit per request; calls that provably never ran may be retried beyond it


class _EndedCall(NamedTuple):
    released_at_ns: int  # time at which the used time leaves the window
    used_ns: int


class DownstreamCalls:
    """Scheduler of the downstream calls of this instance, with latency and failure rate of the dependency."""

    def __init__(self, settings: AdmissionSettings, concurrency: ConcurrencyTracker, rng: Random) -> None:
        self.latency_ns = DecayingMean(CALL_DECAY_TIME_S)
        self.failure_share = DecayingMean(CALL_DECAY_TIME_S, 0.0, FAILURE_INITIAL_WEIGHT)
        self._settings = settings
        self._shared = settings.downstream is DownstreamScope.SHARED
        self._concurrency = concurrency
        self._rng = rng
        self._used_ns = 0  # call time used within the window or reserved by open calls
        self._ended: deque[_EndedCall] = deque()

    def expire(self, now_ns: int) -> None:
        """Releases the time of calls that have left the window."""
        while self._ended and self._ended[0].released_at_ns <= now_ns:
            self._used_ns -= self._ended.popleft().used_ns

    def request_call(self, job: Job, now_ns: int) -> None:
        """Makes a running request wait for capacity for its call."""
        self._concurrency.set_state(job, JobState.AWAITING_CALL)
        job.call_retry_at_ns = now_ns
        job.calls_made = 0

    def start_due_calls(self, now_ns: int) -> list[Action]:
        """Returns the actions that start or skip the calls that are due, as far as capacity allows."""
        actions: list[Action] = []
        for job in [job for job in self._concurrency.awaiting_call.values() if not job.answered]:
            available_ns = self._available_ns()
            has_capacity = self._has_capacity(available_ns, now_ns)
            if self._uses_fallback(job, has_capacity, now_ns):
                actions.append(SkipDownstreamCall(job.request.id))
                self._concurrency.set_state(job, JobState.RUNNING)
            elif has_capacity and now_ns >= job.call_retry_at_ns:
                actions.append(self._start(job, available_ns, now_ns))
        return actions

    def _available_ns(self) -> float:
        settings = self._settings
        share_ns = USABLE_SHARE * settings.downstream_share * settings.downstream_window_ns
        return (share_ns - self._used_ns - settings.abandoned_call_ns) / 2

    def _has_capacity(self, available_ns: float, now_ns: int) -> bool:
        if self._shared:
            fits = available_ns > self.latency_ns.value or not self._used_ns
            return available_ns > self._settings.clock_step_ns and fits
        concurrency = self._concurrency
        return concurrency.calling + concurrency.running < concurrency.ceiling(now_ns)

    def _uses_fallback(self, job: Job, has_capacity: bool, now_ns: int) -> bool:
        """Returns whether the request skips its call and is answered with the fallback.

        That is so if there is no capacity, its call has failed, or the dependency is unhealthy or too slow.
        """
        if not job.request_class.fallback_weight:
            return False
        if not has_capacity or job.calls_made:
            return True
        failing = self.failure_share.value > FAILING_SHARE
        unhealthy = failing or now_ns + self.latency_ns.value > job.objective_at_ns
        return unhealthy and self._rng.random() > PROBE_SHARE

    def _start(self, job: Job, available_ns: float, now_ns: int) -> StartDownstreamCall:
        settings = self._settings
        until_deadline = not job.request_class.fallback_weight or now_ns >= job.objective_at_ns
        stop_at_ns = job.deadline_ns if until_deadline else job.objective_at_ns
        if self._shared:
            stop_at_ns = min(stop_at_ns, now_ns + int(available_ns))
            reserved_ns = stop_at_ns + settings.clock_step_ns + settings.abandoned_call_ns - now_ns
            job.call_started_at_ns = now_ns
            job.call_reserved_ns = reserved_ns
            self._used_ns += reserved_ns
        self._concurrency.set_state(job, JobState.CALLING)
        job.calls_made += 1
        return StartDownstreamCall(job.request.id, stop_at_ns)

    def end_call(self, job: Job, event: DownstreamCallEnded, now_ns: int) -> bool:
        """Ends a call; returns whether the request has failed because the call cannot be retried."""
        succeeded = event.outcome is Outcome.OK
        never_ran = event.outcome in NEVER_RAN
        self.release_reservation(job, now_ns, abandoned=not succeeded and not never_ran)
        self.failure_share.add(now_ns, not succeeded)
        if succeeded:
            self.latency_ns.add(now_ns, event.duration_ns)
            self._concurrency.set_state(job, JobState.RUNNING)
            return False
        self._concurrency.set_state(job, JobState.AWAITING_CALL)
        job.call_retry_at_ns = now_ns + BASE_BACKOFF_NS * 2 ** min(job.calls_made, MAX_BACKOFF_DOUBLINGS)
        idempotent = job.request_class.idempotency is Idempotency.IDEMPOTENT
        not_retryable = not never_ran and (not idempotent or job.calls_made >= MAX_CALLS)
        return not_retryable and not job.answered and not job.request_class.fallback_weight

    def release_reservation(self, job: Job, now_ns: int, abandoned: bool) -> None:
        """Replaces the reservation of a call by the time it used, which leaves the window later.

        An abandoned call occupies the dependency for `abandoned_call_ns` longer.
        """
        if not self._shared:
            return
        settings = self._settings
        ended_at_ns = now_ns + (settings.abandoned_call_ns if abandoned else 0)
        used_ns = ended_at_ns - job.call_started_at_ns
        self._used_ns += used_ns - job.call_reserved_ns
        self._ended.append(_EndedCall(ended_at_ns + settings.downstream_window_ns, used_ns))
