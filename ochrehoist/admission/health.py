"""Whether the instance is healthy: it makes progress, and is not shutting down."""

from ochrehoist.admission.timing import TICK_INTERVAL_NS

MAX_MISSED_COMPLETIONS = 6.0  # at the mean run time, before runs without any completion count as stalled
MIN_STALL_TICKS = 2  # what ends sooner was a pause of this process


class HealthMonitor:
    """Detects a stall: all cores are taken, and nothing has completed for much longer than usual.

    While it lasts new work goes elsewhere, and nothing is learned. The cost: a healthy instance whose every
    core has very long work counts as stalled.
    """

    def __init__(self, cores: int) -> None:
        """Healthy."""
        self.stalled = False
        self._healthy = True
        self._cores = cores
        self._progress_at_ns = 0
        self._last_event_ns = 0

    def begin(self, now_ns: int) -> None:
        """The instance starts."""
        self._progress_at_ns = self._last_event_ns = now_ns

    def record_event(self, now_ns: int) -> int:
        """Time at work since the last event, in ns.

        Ticks are events; a longer gap than their interval is a pause of the whole process, not time at work.
        """
        gap_ns = now_ns - self._last_event_ns
        self._last_event_ns = now_ns
        if gap_ns <= TICK_INTERVAL_NS:
            return gap_ns
        self._progress_at_ns += gap_ns - TICK_INTERVAL_NS
        return TICK_INTERVAL_NS

    def observe_progress(self, now_ns: int) -> None:
        """A run or a downstream call went on."""
        self._progress_at_ns = now_ns

    def evaluate(self, now_ns: int, running: int, mean_run_ns: float, draining: bool) -> bool:
        """Decides whether the instance is healthy; true where that has changed."""
        limit_ns = mean_run_ns * (1 + MAX_MISSED_COMPLETIONS / max(1, running))
        limit_ns = max(limit_ns, MIN_STALL_TICKS * TICK_INTERVAL_NS)
        self.stalled = running >= self._cores and now_ns - self._progress_at_ns > limit_ns
        was = self._healthy
        self._healthy = not self.stalled and not draining
        return self._healthy is not was

    @property
    def healthy(self) -> bool:
        """What health checks are to answer."""
        return self._healthy
