"""Learning from runs: service rates, run times, and the concurrency floor."""

from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.events import Outcome, RequestCompleted
from ochrehoist.admission.health import HealthMonitor
from ochrehoist.admission.job import Job
from ochrehoist.admission.mpl_policy import MplPolicy
from ochrehoist.admission.run_time import RunTimeModel, contention
from ochrehoist.admission.service_rate import ServiceRateCurve
from ochrehoist.units import NS_PER_S


class RunObserver:
    """Observer that updates the learned models with elapsed time and completed runs.

    Nothing is learned while the instance is stalled. During warm-up it learns run times, corrected for its
    speed, but no service rates.
    """

    def __init__(
        self,
        cores: int,
        health: HealthMonitor,
        concurrency: ConcurrencyTracker,
        policy: MplPolicy,
        curve: ServiceRateCurve,
        run_times: RunTimeModel,
    ) -> None:
        """All components must belong to the same controller."""
        self._cores = cores
        self._health = health
        self._concurrency = concurrency
        self._policy = policy
        self._curve = curve
        self._run_times = run_times

    def observe_elapsed_time(self, now_ns: int) -> None:
        """Adds the time since the last event to the service rate curve, at the current concurrency."""
        elapsed_ns = self._health.record_event(now_ns)
        running = self._concurrency.running
        if running and not self._health.stalled and self._concurrency.is_warm(now_ns):
            self._curve.observe_time(running, elapsed_ns / NS_PER_S)

    def observe_completion(
        self, job: Job, event: RequestCompleted, now_ns: int, idle_while_queued: bool
    ) -> None:
        """Records the end of a run; `idle_while_queued` means that cores are idle although requests wait."""
        if event.outcome is Outcome.OK and not self._health.stalled:
            self._learn(job, event.duration_ns, now_ns)
        self._policy.adjust_floor(idle_while_queued)
        self._health.observe_progress(now_ns)

    def _learn(self, job: Job, duration_ns: int, now_ns: int) -> None:
        running = self._concurrency.running
        self._curve.observe_completion(running, self._concurrency.is_warm(now_ns))
        contention_factor = contention(running, self._policy.floor, self._cores)
        run_ns = duration_ns * self._concurrency.speed(now_ns) / contention_factor
        self._run_times.observe_run(job, run_ns, now_ns)
