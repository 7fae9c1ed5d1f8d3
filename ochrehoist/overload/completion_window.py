"""Gathers completions into windows, from which a concurrency limit is found."""

from dataclasses import dataclass

MIN_WINDOW_S = 0.5
MIN_COMPLETIONS = 10
MIN_RUN_TIME_MULTIPLE = 3.0  # that a window lasts: so many times the mean time of a run
RUN_TIME_SMOOTHING = 0.05


@dataclass(slots=True, frozen=True)
class CompletionWindow:
    """What completed in one span of time."""

    throughput: float  # work done a second
    time_per_work: float  # s that a unit of work took, on the mean
    concurrency: float  # runs at once, on the mean
    count: int


class WindowAggregator:
    """Builds one window after the other.

    Work is in seconds as stated, or 1 for each run where nothing is stated. Runs that began before the
    window tell of the limit before it, and are left out.
    """

    def __init__(self) -> None:
        self._opened_s: float | None = None
        self._run_time_s = 0.0  # a moving mean
        self._clear()

    def _clear(self) -> None:
        self._work = 0.0
        self._run_s = 0.0
        self._running_seconds = 0.0
        self._count = 0

    def record_completion(self, now_s: float, work: float, duration_s: float) -> None:
        """Takes a run that ended at `now_s`."""
        if self._run_time_s:
            self._run_time_s += RUN_TIME_SMOOTHING * (duration_s - self._run_time_s)
        else:
            self._run_time_s += duration_s
        if self._opened_s is not None and now_s - duration_s >= self._opened_s:
            self._work += work
            self._run_s += duration_s
            self._count += 1

    def record_concurrency(self, span_s: float, running: int) -> None:
        """Takes a span in which so many ran."""
        self._running_seconds += span_s * running

    def close(self, now_s: float) -> CompletionWindow | None:
        """Ends the window and opens the next, once it is long enough and holds enough; else None."""
        if self._opened_s is None:
            self._opened_s = now_s
            self._clear()
        span_s = now_s - self._opened_s
        if (
            span_s < max(MIN_WINDOW_S, MIN_RUN_TIME_MULTIPLE * self._run_time_s)
            or self._count < MIN_COMPLETIONS
        ):
            return None
        window = CompletionWindow(
            throughput=self._work / span_s,
            time_per_work=self._run_s / max(1e-9, self._work),
            concurrency=self._running_seconds / span_s,
            count=self._count,
        )
        self._opened_s = now_s
        self._clear()
        return window
