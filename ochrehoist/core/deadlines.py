"""What is due when: the controller's timers, which fire with fresh gauges, and each request's last moment."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush

from ochrehoist.units import NS_PER_MS

# A timer fires so long after it was due at the latest, with or without fresh gauges.
GAUGES_WAIT_NS = 25 * NS_PER_MS
REARM_DELAY_NS = 100 * NS_PER_MS  # a timer is set again so long after a fault in the controller


@dataclass(slots=True)
class DueTimers:
    """Timers that are due and wait for gauges."""

    give_up_ns: int
    timer_ids: list[int] = field(default_factory=list)


class Deadlines:
    """Times are ns of the core's clock."""

    def __init__(self) -> None:
        self._timers: list[tuple[int, int]] = []
        self._answer_by: list[tuple[int, str]] = []
        self._due_timers: DueTimers | None = None

    def clear_timers(self) -> None:
        """Forgets the timers of a controller that is gone."""
        self._timers = []
        self._due_timers = None

    def set_timer(self, due_ns: int, timer_id: int) -> None:
        """Lets a timer of the controller become due then."""
        heappush(self._timers, (due_ns, timer_id))

    def answer_by(self, due_ns: int, request_id: str) -> None:
        """Lets the request become overdue then."""
        heappush(self._answer_by, (due_ns, request_id))

    def next_due_ns(self) -> int | None:
        """When something is due next; None where nothing is."""
        times = [heap[0][0] for heap in (self._timers, self._answer_by) if heap]
        if self._due_timers is not None:
            times.append(self._due_timers.give_up_ns)
        return min(times) if times else None

    def take_overdue_requests(self, now_ns: int) -> Iterator[str]:
        """Requests whose last moment has come, whether they are answered or not."""
        while self._answer_by and self._answer_by[0][0] <= now_ns:
            yield heappop(self._answer_by)[1]

    def collect_due_timers(self, now_ns: int) -> bool:
        """Collects the timers that are due; whether gauges must be requested, as they are not yet."""
        timer_ids = []
        while self._timers and self._timers[0][0] <= now_ns:
            timer_ids.append(heappop(self._timers)[1])
        if not timer_ids:
            return False
        if self._due_timers is not None:
            self._due_timers.timer_ids.extend(timer_ids)
            return False
        self._due_timers = DueTimers(now_ns + GAUGES_WAIT_NS, timer_ids)
        return True

    def gauges_overdue(self, now_ns: int) -> bool:
        """Whether timers have waited long enough for gauges."""
        return self._due_timers is not None and self._due_timers.give_up_ns <= now_ns

    def take_due_timers(self) -> list[int]:
        """The ids of the timers that are due; they are forgotten here."""
        due = self._due_timers
        self._due_timers = None
        return due.timer_ids if due is not None else []
