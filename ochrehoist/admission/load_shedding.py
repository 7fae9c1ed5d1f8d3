"""Load shedding: forecasts which requests miss their latency objective, and builds rejections."""

from random import Random

from ochrehoist.admission.actions import RejectRequest
from ochrehoist.admission.arrivals import ArrivalMonitor
from ochrehoist.admission.caller_activity import CallerTracker
from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.decaying_mean import DecayingMean
from ochrehoist.admission.job import Job
from ochrehoist.admission.mpl_policy import MplPolicy
from ochrehoist.admission.run_time import RunTimeModel, contention
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.admission.tenant_activity import ActivityTracker
from ochrehoist.units import NS_PER_S

# A request is started if this many mean run times are left before its objective; three in four then meet it.
SAFETY_FACTOR = 1.4
MAX_RETRY_AFTER_SHARE = 0.25  # share of the latency objective; a later retry would miss it
REJECTION_DECAY_TIME_S = 2.0
REJECTION_INITIAL_WEIGHT = 10.0  # the initial value counts as this many samples


class CompletionForecast:
    """Forecast of the completion times of queued requests, made at one time."""

    __slots__ = (
        "_callers",
        "_completion_interval_ns",
        "_cores",
        "_floor",
        "_instance_is_idle",
        "_now_ns",
        "_policy",
        "_run_times",
        "_running",
        "_speed",
        "_starts",
    )

    def __init__(
        self,
        now_ns: int,
        starts: int,
        cores: int,
        concurrency: ConcurrencyTracker,
        policy: MplPolicy,
        run_times: RunTimeModel,
        callers: CallerTracker,
    ) -> None:
        """`starts` is the number of queued requests that start now."""
        self._now_ns = now_ns
        self._starts = starts
        self._cores = cores
        self._running = concurrency.running
        self._instance_is_idle = not (concurrency.running + concurrency.calling)
        self._speed = concurrency.speed(now_ns)
        self._floor = policy.floor
        self._policy = policy
        self._completion_interval_ns: float | None = None  # computed when a request has to wait
        self._run_times = run_times
        self._callers = callers

    def safe_run_ns(self, class_index: int) -> float:
        """Returns the run time that three in four runs of a class do not exceed on idle cores, in ns."""
        return SAFETY_FACTOR * self._run_times.mean_run_ns[class_index].value / self._speed

    def misses_objective(self, job: Job, position: int, safe_run_ns: float) -> bool:
        """Returns whether the request at this position would miss its objective or its caller's timeout.

        An idle instance always accepts one request; otherwise a mean run time that was learned during a fault
        could keep all requests away. A request that starts at once on an idle core needs no safety margin,
        because it does not wait for other runs.
        """
        need_ns = 0.0
        if position > 1 or not self._instance_is_idle:
            contention_factor = contention(self._running + position, self._floor, self._cores)
            need_ns = safe_run_ns * self._run_times.expected_size(job) * contention_factor
        if position <= self._starts and self._running < self._cores:
            need_ns = need_ns / SAFETY_FACTOR
        elif position > self._starts:
            need_ns = need_ns + (position - self._starts) * self._completion_interval()
        latest_ns = job.objective_at_ns
        if self._callers.timeouts:
            timeout_ns = self._callers.timeout_ns(job, self._now_ns)
            latest_ns = min(latest_ns, job.arrived_at_ns + timeout_ns)
        return self._now_ns + need_ns > latest_ns

    def _completion_interval(self) -> float:
        """Returns the expected time between two completions, in ns."""
        if self._completion_interval_ns is None:
            self._completion_interval_ns = NS_PER_S / self._policy.saturated_rate_per_s(self._running)
        return self._completion_interval_ns


class LoadShedder:
    """Source of rejections, with the time before a retry and whether to retry on other instances at all."""

    def __init__(
        self,
        settings: AdmissionSettings,
        arrivals: ArrivalMonitor,
        activity: ActivityTracker,
        policy: MplPolicy,
        concurrency: ConcurrencyTracker,
        rng: Random,
    ) -> None:
        self.rejection_share = DecayingMean(REJECTION_DECAY_TIME_S, 0.0, REJECTION_INITIAL_WEIGHT)
        self._settings = settings
        self._arrivals = arrivals
        self._activity = activity
        self._policy = policy
        self._concurrency = concurrency
        self._rng = rng

    def observe_start(self, now_ns: int) -> None:
        """Counts a started request in the share of rejections."""
        self.rejection_share.add(now_ns, False)

    def reject(self, job: Job, now_ns: int, queued: int, unavailable: bool) -> RejectRequest:
        """Returns the rejection of a request.

        `queued` is the length of the queue, which may include the request; `unavailable` means that the
        instance accepts no requests at all.
        """
        self.rejection_share.add(now_ns, not unavailable)
        over_quota = self._activity.is_mostly_over_quota(job.request.tenant_index)
        limit_ns = self._settings.max_retry_after_ns
        if unavailable:
            return RejectRequest(job.request.id, int(limit_ns), False)
        rate_per_s = self._policy.saturated_rate_per_s(self._concurrency.running)
        expected_ns = self._arrivals.unread_ns.value + (queued + 1) / rate_per_s * NS_PER_S
        objective_ns = job.request_class.latency_objective_ns
        retry_after_ns = min(expected_ns, objective_ns * MAX_RETRY_AFTER_SHARE, limit_ns)
        # A request over its tenant's quota has a low priority on every instance.
        no_retry = job.request.is_retry or over_quota or self._suppresses_retry_elsewhere()
        return RejectRequest(job.request.id, int(retry_after_ns), no_retry)

    def _suppresses_retry_elsewhere(self) -> bool:
        """Decides at random whether the caller should not retry on other instances either.

        In a retry storm other instances would reject the request too. The probability follows the share of
        retries or, where callers do not mark them, the share of rejections on this instance. The drawback:
        if only this instance is full or slow, requests are lost for which others had capacity.
        """
        storm_share = self._arrivals.retry_share if self._settings.marks_retries else self.rejection_share
        return self._rng.random() < 2 * storm_share.value
