"""What callers get, counted in windows of a second. No I/O; seconds."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

WINDOW_DURATION_S = 1.0
MIN_GOOD_RATIO = 0.95  # of the level before, in the latest two windows
MIN_REQUESTS = 3  # in a window, to say anything
MAX_WINDOWS = 60
JUDGED_WINDOWS = 2


class ServiceOutcome(Enum):
    """What became of one request, as its caller sees it."""

    GOOD = "good"
    LATE = "late"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class ServiceWindow:
    """Requests that were answered in one window."""

    started_at: float
    outcomes: Counter[ServiceOutcome] = field(default_factory=Counter)

    @property
    def good(self) -> int:
        """Requests that were served in time."""
        return self.outcomes[ServiceOutcome.GOOD]

    @property
    def total(self) -> int:
        """All requests."""
        return sum(self.outcomes.values())


class ServiceLevelMonitor:
    """Measures which share of requests is served in time.

    `usual_good_ratio` is the share that was usual before, by whoever knows.
    """

    def __init__(self, now: float, usual_good_ratio: float = 1.0) -> None:
        self._usual_good_ratio = usual_good_ratio
        self._current = ServiceWindow(now)
        self._closed: deque[ServiceWindow] = deque(maxlen=MAX_WINDOWS)

    def count(self, outcome: ServiceOutcome, now: float) -> None:
        """One request was answered."""
        self._close_window(now)
        self._current.outcomes[outcome] += 1

    def _close_window(self, now: float) -> None:
        if now - self._current.started_at >= WINDOW_DURATION_S:
            self._closed.append(self._current)
            self._current = ServiceWindow(now)

    def latest_windows(self) -> list[ServiceWindow]:
        """The closed windows that the judgement rests on."""
        return list(self._closed)[-JUDGED_WINDOWS:]

    def is_restored(self, now: float) -> bool | None:
        """Whether the latest windows were as good as before; None where too few requests came to say."""
        self._close_window(now)
        windows = [window for window in self.latest_windows() if window.total >= MIN_REQUESTS]
        if len(windows) < JUDGED_WINDOWS:
            return None
        required = MIN_GOOD_RATIO * self._usual_good_ratio
        return all(window.good >= required * window.total for window in windows)

    def is_idle(self) -> bool:
        """Whether no request was answered in any window that is kept."""
        return not self._current.total and not any(window.total for window in self._closed)

    def good_ratio(self) -> float | None:
        """The share served in time over all closed windows; None where there was no request."""
        total = sum(window.total for window in self._closed)
        return sum(window.good for window in self._closed) / total if total else None
