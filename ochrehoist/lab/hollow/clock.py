"""Slower time for one process, so that many workers can share a core without being late."""

import select
import time


class ScaledClock:
    """The steady and the wall clock of this process at `rate` times their speed, from now on."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._real_monotonic_ns = time.monotonic_ns
        self._steady_start_ns = time.monotonic_ns()
        self._wall_start_ns = time.time_ns()

    def install(self) -> None:
        """Replaces the functions of the `time` module; at a rate of 1 they stay as they are."""
        if self._rate == 1:
            return
        time.monotonic_ns = self._monotonic_ns
        time.monotonic = lambda: self._monotonic_ns() / 1e9
        time.time_ns = self._wall_ns
        time.time = lambda: self._wall_ns() / 1e9

    def _elapsed_ns(self) -> int:
        return int((self._real_monotonic_ns() - self._steady_start_ns) * self._rate)

    def _monotonic_ns(self) -> int:
        return self._steady_start_ns + self._elapsed_ns()

    def _wall_ns(self) -> int:
        return self._wall_start_ns + self._elapsed_ns()


class ScaledPoll:
    """Takes the place of `select.poll` in the event loop, with timeouts by a scaled clock.

    It uses `select.epoll`, whose cost does not grow with descriptors, of which a real worker has few.
    """

    def __init__(self, clock_rate: float) -> None:
        self._epoll = select.epoll()
        self._clock_rate = clock_rate

    def register(self, fd: int, events: int) -> None:
        """Watches a descriptor for these events only."""
        try:
            self._epoll.register(fd, events)
        except FileExistsError:
            self._epoll.modify(fd, events)

    def unregister(self, fd: int) -> None:
        """Raises KeyError where the descriptor is not watched."""
        try:
            self._epoll.unregister(fd)
        except OSError:  # closed before
            raise KeyError(fd) from None

    def poll(self, timeout_ms: float | None = None) -> list[tuple[int, int]]:
        """The descriptors with events, and these; `timeout_ms` is by the scaled clock."""
        timeout_s = None if timeout_ms is None else timeout_ms / 1000 / self._clock_rate
        return self._epoll.poll(timeout_s)
