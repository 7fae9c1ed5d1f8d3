"""Open runs by state, and the concurrency limits of the instance."""

from dataclasses import dataclass
from enum import IntEnum

from ochrehoist.admission.events import ConcurrencyLimits, RequestId
from ochrehoist.admission.job import Job, JobState
from ochrehoist.admission.service_rate import SURVIVABLE_SHARE
from ochrehoist.admission.settings import AdmissionSettings

MIN_SPEED = 0.01  # lower bound of the speed during warm-up, as a share of the full speed


class Bulkhead(IntEnum):
    """Position of a request relative to the concurrency limits of its class; lower values start first."""

    WITHIN_FLOOR = 0
    ABOVE_FLOOR = 1
    AT_CAP = 2  # the request has to wait


@dataclass(slots=True)  # constructing a frozen one takes four times as long
class CoreGauges:
    """Utilisation of the cores as measured at a tick; instances are never modified."""

    busy_share: float = 0.0
    runnable: float = 0  # runnable threads
    other_runnable: int = 0  # runnable threads other than runs: reads, health checks, handshakes
    measured_at_ns: int = 0


class ConcurrencyTracker:
    """Counts of requests by state and class, and the limits on how many may run."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.running = 0
        self.calling = 0
        self.awaiting_call: dict[RequestId, Job] = {}
        self.limits = ConcurrencyLimits()
        self._settings = settings
        self._running_by_class = [0] * len(settings.classes)
        self._running_expensive = 0
        self._started_at_ns = 0
        self._warm_speed = self._speed_after(1.0)
        self._warm_ceiling = self._ceiling_at(self._warm_speed)

    def begin(self, now_ns: int) -> None:
        """Records the start of the instance, from which its warm-up is measured."""
        self._started_at_ns = now_ns

    def set_limits(self, limits: ConcurrencyLimits) -> None:
        """Replaces the externally measured limits."""
        self.limits = limits

    def set_state(self, job: Job, state: JobState) -> None:
        """Changes the state of a request and updates the counts."""
        previous_state = job.state
        change = (state is JobState.RUNNING) - (previous_state is JobState.RUNNING)
        if change:
            self.running += change
            self._running_expensive += change * job.expensive
            self._running_by_class[job.request.class_index] += change
        if previous_state is JobState.AWAITING_CALL:
            self.awaiting_call.pop(job.request.id, None)
        elif previous_state is JobState.CALLING:
            self.calling -= 1
        if state is JobState.AWAITING_CALL:
            self.awaiting_call[job.request.id] = job
        elif state is JobState.CALLING:
            self.calling += 1
        job.state = state

    def speed(self, now_ns: int) -> float:
        """Returns the speed of the instance as a share of its full speed; below 1 while it warms up."""
        settings = self._settings
        if not settings.cold_start:
            return self._warm_speed
        return self._speed_after((now_ns - self._started_at_ns) / max(1, settings.warmup_ns))

    def _speed_after(self, warmup_share: float) -> float:
        initial_speed = self._settings.warmup_speed
        return max(MIN_SPEED, min(1.0, initial_speed + (1 - initial_speed) * warmup_share))

    def is_warm(self, now_ns: int) -> bool:
        """Returns whether the instance runs at its full speed."""
        return self.speed(now_ns) >= 1

    def ceiling(self, now_ns: int) -> int:
        """Returns the maximum number of requests that may run or call downstream at once."""
        if not self._settings.cold_start:
            return self._warm_ceiling
        return self._ceiling_at(self.speed(now_ns))

    def _ceiling_at(self, speed: float) -> int:
        settings = self._settings
        multiple = 1 + (settings.collapse_multiple - 1) * speed
        return int(max(1, SURVIVABLE_SHARE * settings.cores * multiple))

    def bulkhead(self, job: Job) -> Bulkhead:
        """Returns the position of a queued request relative to the externally measured limits."""
        limits = self.limits
        if not limits.class_caps:
            return Bulkhead.ABOVE_FLOOR
        index = job.request.class_index
        running = self._running_by_class[index]
        if running >= limits.class_caps[index]:
            return Bulkhead.AT_CAP
        if job.expensive:
            at_expensive_limit = self._running_expensive >= limits.expensive
            return Bulkhead.AT_CAP if at_expensive_limit else Bulkhead.ABOVE_FLOOR
        return Bulkhead.ABOVE_FLOOR if running >= limits.class_floors[index] else Bulkhead.WITHIN_FLOOR
