"""Aggregates completed runs into time windows, the input of the concurrency limit algorithms."""

from dataclasses import dataclass

MIN_WINDOW_S = 0.5
MIN_COMPLETIONS = 10
MIN_RUN_TIME_MULTIPLE = 3.0  # minimum length of a window as a multiple of the mean run time
RUN_TIME_SMOOTHING = 0.05


@dataclass(slots=True, frozen=True)
class CompletionWindow:
    """Statistics of the runs that completed in one time window."""

    throughput: float  # units of work per second
    time_per_work: float  # mean run time (s) per unit of work
    concurrency: float  # mean number of concurrent runs
    count: int


class WindowAggregator:
    """Builder of consecutive windows.

    A run's work is its stated work (s), or 1 without stated work. Runs that started before a window are not
    counted in it, as the previous limit applied to them.
    """

    def __init__(self) -> None:
        self._opened_s: float | None = None
        self._run_time_s = 0.0  # moving mean
        self._clear()

    def _clear(self) -> None:
        self._work = 0.0
        self._run_s = 0.0
        self._running_seconds = 0.0
        self._count = 0

    def record_completion(self, now_s: float, work: float, duration_s: float) -> None:
        """Adds a run that ended at `now_s`."""
        if self._run_time_s:
            self._run_time_s += RUN_TIME_SMOOTHING * (duration_s - self._run_time_s)
        else:
            self._run_time_s += duration_s
        if self._opened_s is not None and now_s - duration_s >= self._opened_s:
            self._work += work
            self._run_s += duration_s
            self._count += 1

    def record_concurrency(self, span_s: float, running: int) -> None:
        """Adds a time span during which `running` requests ran."""
        self._running_seconds += span_s * running

    def close(self, now_s: float) -> CompletionWindow | None:
        """Closes and returns the window and opens the next one.

        Returns None while the window is too short or has too few completions.
        """
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
