"""Schedules the controller's timers, which fire with fresh gauges, and the answer deadlines of requests."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush

from ochrehoist.core.request import RequestReference
from ochrehoist.units import NS_PER_MS

# Maximum time that a due timer waits for fresh gauges; after it the timer fires without them.
GAUGES_WAIT_NS = 25 * NS_PER_MS
REARM_DELAY_NS = 100 * NS_PER_MS  # delay before a timer on which the controller failed is retried


@dataclass(slots=True)
class DueTimers:
    """Timers that are due and wait for gauges, until `gauges_wait_end_ns` at the latest."""

    gauges_wait_end_ns: int
    timer_ids: list[int] = field(default_factory=list)


class Deadlines:
    """Timers of the controller and answer deadlines of requests. Times are ns of the core's clock."""

    def __init__(self) -> None:
        self._timers: list[tuple[int, int]] = []
        self._answer_deadlines: list[tuple[int, RequestReference]] = []
        self._due_timers: DueTimers | None = None

    def clear_timers(self) -> None:
        """Discards all timers, as the controller that set them has been replaced."""
        self._timers = []
        self._due_timers = None

    def set_timer(self, due_ns: int, timer_id: int) -> None:
        """Sets a timer of the controller."""
        heappush(self._timers, (due_ns, timer_id))

    def set_answer_deadline(self, due_ns: int, request: RequestReference) -> None:
        """Sets when the request becomes overdue."""
        heappush(self._answer_deadlines, (due_ns, request))

    def next_due_ns(self) -> int | None:
        """Returns when the next timer or deadline is due; None if there is none."""
        times = [heap[0][0] for heap in (self._timers, self._answer_deadlines) if heap]
        if self._due_timers is not None:
            times.append(self._due_timers.gauges_wait_end_ns)
        return min(times) if times else None

    def pop_overdue_requests(self, now_ns: int) -> Iterator[RequestReference]:
        """Removes and yields the requests whose deadline has passed, answered or not."""
        while self._answer_deadlines and self._answer_deadlines[0][0] <= now_ns:
            yield heappop(self._answer_deadlines)[1]

    def collect_due_timers(self, now_ns: int) -> bool:
        """Collects the timers that are due. Returns whether gauges must be requested for them.

        They need not be requested while a request for gauges is already pending.
        """
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

    def gauges_wait_expired(self, now_ns: int) -> bool:
        """Returns whether due timers have waited for gauges for the maximum time."""
        return self._due_timers is not None and self._due_timers.gauges_wait_end_ns <= now_ns

    def pop_due_timers(self) -> list[int]:
        """Removes the timers that are due and returns their ids."""
        due = self._due_timers
        self._due_timers = None
        return due.timer_ids if due is not None else []
