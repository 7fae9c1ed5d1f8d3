"""Service level as seen by callers, measured in windows of a second. No I/O; times in seconds."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

WINDOW_DURATION_S = 1.0
MIN_GOOD_RATIO = 0.95  # fraction of the earlier service level that counts as restored
MIN_REQUESTS = 3  # windows with fewer requests are not evaluated
MAX_WINDOWS = 60
EVALUATED_WINDOWS = 2


class ServiceOutcome(Enum):
    """The outcome of one request, as seen by its caller."""

    GOOD = "good"
    LATE = "late"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class ServiceWindow:
    """The outcomes of the requests answered in one window."""

    started_at: float
    outcomes: Counter[ServiceOutcome] = field(default_factory=Counter)

    @property
    def good(self) -> int:
        """The number of requests served in time."""
        return self.outcomes[ServiceOutcome.GOOD]

    @property
    def total(self) -> int:
        """The number of all requests."""
        return sum(self.outcomes.values())


class ServiceLevelMonitor:
    """Monitor of the ratio of requests served in time.

    `baseline_good_ratio` is the ratio to compare with: that of the time before the restart.
    """

    def __init__(self, now: float, baseline_good_ratio: float = 1.0) -> None:
        self._baseline_good_ratio = baseline_good_ratio
        self._current = ServiceWindow(now)
        self._closed: deque[ServiceWindow] = deque(maxlen=MAX_WINDOWS)

    def count(self, outcome: ServiceOutcome, now: float) -> None:
        """Counts the outcome of one request."""
        self._close_window(now)
        self._current.outcomes[outcome] += 1

    def _close_window(self, now: float) -> None:
        if now - self._current.started_at >= WINDOW_DURATION_S:
            self._closed.append(self._current)
            self._current = ServiceWindow(now)

    def latest_windows(self) -> list[ServiceWindow]:
        """Returns the latest closed windows, which are the ones evaluated."""
        return list(self._closed)[-EVALUATED_WINDOWS:]

    def is_restored(self, now: float) -> bool | None:
        """Returns whether the latest windows reached the earlier level; None with too few requests."""
        self._close_window(now)
        windows = [window for window in self.latest_windows() if window.total >= MIN_REQUESTS]
        if len(windows) < EVALUATED_WINDOWS:
            return None
        required = MIN_GOOD_RATIO * self._baseline_good_ratio
        return all(window.good >= required * window.total for window in windows)

    def is_idle(self) -> bool:
        """Returns whether no request was answered in any retained window."""
        return not self._current.total and not any(window.total for window in self._closed)

    def good_ratio(self) -> float | None:
        """Returns the ratio of requests served in time over all closed windows; None without requests."""
        total = sum(window.total for window in self._closed)
        return sum(window.good for window in self._closed) / total if total else None
