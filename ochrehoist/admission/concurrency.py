"""What runs now, and how much may: the instance's concurrency limits."""

from dataclasses import dataclass
from enum import IntEnum

from ochrehoist.admission.events import ConcurrencyLimits
from ochrehoist.admission.job import Job, JobState
from ochrehoist.admission.service_rate import SURVIVABLE_SHARE
from ochrehoist.admission.settings import AdmissionSettings

MIN_SPEED = 0.01  # of an instance that warms up


class Bulkhead(IntEnum):
    """Where the limits of a class put a request; the lower goes first."""

    WITHIN_FLOOR = 0
    ABOVE_FLOOR = 1
    AT_CAP = 2  # it has to wait


@dataclass(slots=True)  # frozen ones take four times as long to make
class CoreGauges:
    """How busy the cores are, as measured at a tick; never changed."""

    busy_share: float = 0.0
    runnable: float = 0
    other_runnable: int = 0  # of them not our runs: reads, checks, handshakes
    measured_at_ns: int = 0


class ConcurrencyTracker:
    """Counts the requests by state, and knows the bounds of their number."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Nothing runs, and nothing is limited from outside."""
        self.running = 0
        self.calling = 0
        self.awaiting_call: dict[str, Job] = {}
        self.limits = ConcurrencyLimits()
        self._settings = settings
        self._running_by_class = [0] * len(settings.classes)
        self._running_expensive = 0
        self._started_at_ns = 0
        self._warm_speed = self._speed_after(1.0)
        self._warm_ceiling = self._ceiling_at(self._warm_speed)

    def begin(self, now_ns: int) -> None:
        """The instance starts, and warms up from now on."""
        self._started_at_ns = now_ns

    def set_limits(self, limits: ConcurrencyLimits) -> None:
        """Takes the limits that were measured outside."""
        self.limits = limits

    def set_state(self, job: Job, state: JobState) -> None:
        """Puts a request into another state."""
        was = job.state
        change = (state is JobState.RUNNING) - (was is JobState.RUNNING)
        if change:
            self.running += change
            self._running_expensive += change * job.expensive
            self._running_by_class[job.request.class_index] += change
        if was is JobState.AWAITING_CALL:
            self.awaiting_call.pop(job.request.id, None)
        elif was is JobState.CALLING:
            self.calling -= 1
        if state is JobState.AWAITING_CALL:
            self.awaiting_call[job.request.id] = job
        elif state is JobState.CALLING:
            self.calling += 1
        job.state = state

    def speed(self, now_ns: int) -> float:
        """The instance's speed as a share of its full one; below 1 while it warms up."""
        settings = self._settings
        if not settings.cold_start:
            return self._warm_speed
        return self._speed_after((now_ns - self._started_at_ns) / max(1, settings.warmup_ns))

    def _speed_after(self, warmup_share: float) -> float:
        first = self._settings.warmup_speed
        return max(MIN_SPEED, min(1.0, first + (1 - first) * warmup_share))

    def is_warm(self, now_ns: int) -> bool:
        """Whether the instance runs at its full speed."""
        return self.speed(now_ns) >= 1

    def ceiling(self, now_ns: int) -> int:
        """The most requests that may run or call downstream at once."""
        if not self._settings.cold_start:
            return self._warm_ceiling
        return self._ceiling_at(self.speed(now_ns))

    def _ceiling_at(self, speed: float) -> int:
        settings = self._settings
        multiple = 1 + (settings.collapse_multiple - 1) * speed
        return int(max(1, SURVIVABLE_SHARE * settings.cores * multiple))

    def bulkhead(self, job: Job) -> Bulkhead:
        """Where the limits that were set from outside put a queued request."""
        limits = self.limits
        if not limits.class_caps:
            return Bulkhead.ABOVE_FLOOR
        at = job.request.class_index
        running = self._running_by_class[at]
        if running >= limits.class_caps[at]:
            return Bulkhead.AT_CAP
        if job.expensive:
            at_expensive_limit = self._running_expensive >= limits.expensive
            return Bulkhead.AT_CAP if at_expensive_limit else Bulkhead.ABOVE_FLOOR
        return Bulkhead.ABOVE_FLOOR if running >= limits.class_floors[at] else Bulkhead.WITHIN_FLOOR
