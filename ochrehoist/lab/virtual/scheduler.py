"""Virtual time: calls are made in the order of their times, each at once."""

from collections.abc import Callable
from heapq import heappop, heappush


class EventScheduler:
    """Holds the time, which goes on only in `run`. Calls of the same time are made in the order of `at`."""

    def __init__(self) -> None:
        self.now = 0.0
        self._call_count = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedules a call; one in the past is made next."""
        self._call_count += 1
        heappush(self._queue, (when, self._call_count, call))

    def run(self, until: float) -> None:
        """Makes all calls that are due up to this time."""
        while self._queue and self._queue[0][0] <= until:
            when, _, call = heappop(self._queue)
            self.now = max(self.now, when)
            call()
        self.now = until
