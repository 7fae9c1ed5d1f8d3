"""Health of the instance: it is healthy if its runs make progress and it is not draining."""

from ochrehoist.admission.timing import TICK_INTERVAL_NS

MAX_MISSED_COMPLETIONS = 6.0  # a stall is reported after this many expected completions are overdue
MIN_STALL_TICKS = 2  # a shorter time without progress can be a pause of this process


class HealthMonitor:
    """Stall detector: all cores are occupied, and nothing has completed for much longer than usual.

    During a stall new requests are rejected, so that they go to other instances, and nothing is learned. A
    healthy instance whose cores all run very long requests is wrongly reported as stalled.
    """

    def __init__(self, cores: int) -> None:
        self.stalled = False
        self._healthy = True
        self._cores = cores
        self._progress_at_ns = 0
        self._last_event_ns = 0

    def begin(self, now_ns: int) -> None:
        """Records the start of the instance."""
        self._progress_at_ns = self._last_event_ns = now_ns

    def record_event(self, now_ns: int) -> int:
        """Records an event, and returns the working time since the last one in ns.

        Ticks are events too, so a gap longer than their interval is a pause of the whole process and does not
        count as working time.
        """
        gap_ns = now_ns - self._last_event_ns
        self._last_event_ns = now_ns
        if gap_ns <= TICK_INTERVAL_NS:
            return gap_ns
        self._progress_at_ns += gap_ns - TICK_INTERVAL_NS
        return TICK_INTERVAL_NS

    def observe_progress(self, now_ns: int) -> None:
        """Records that a run or a downstream call made progress."""
        self._progress_at_ns = now_ns

    def evaluate(self, now_ns: int, running: int, mean_run_ns: float, draining: bool) -> bool:
        """Decides whether the instance is healthy; returns whether that has changed."""
        limit_ns = mean_run_ns * (1 + MAX_MISSED_COMPLETIONS / max(1, running))
        limit_ns = max(limit_ns, MIN_STALL_TICKS * TICK_INTERVAL_NS)
        self.stalled = running >= self._cores and now_ns - self._progress_at_ns > limit_ns
        was_healthy = self._healthy
        self._healthy = not self.stalled and not draining
        return self._healthy is not was_healthy

    @property
    def healthy(self) -> bool:
        """Whether the instance reports itself as healthy."""
        return self._healthy
