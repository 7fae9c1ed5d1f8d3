"""The event loop: cooperative tasks (greenlets) on one thread, with timers, I/O callbacks and Unix signals.

A task yields only where it waits: in `Loop.sleep`, on a `Signal` or on a `Stream`. It ends when its function
returns or raises. To end a task that serves a connection, close its stream: the task's wait then raises
ConnectionClosedError. Times are seconds of time.monotonic().
"""

from __future__ import annotations

import os
import select
import signal
import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Protocol

from greenlet import GreenletExit, getcurrent, greenlet  # type: ignore[import-untyped]

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger


MAX_TURNS_S = 0.005  # in one iteration; the tasks that take turns then wait for the next one
MAX_POLL_OVERRUN_S = 0.005  # a poll that outlasts its timeout by more was suspended, as by SIGSTOP
MS_PER_S = 1000
POLL_ROUND_UP_MS = 0.999
SIGNAL_READ_BYTES = 4096


def steady_clock() -> Callable[[], int]:
    """Returns a clock of Unix time in ns that later adjustments of the system clock do not affect."""
    start_ns = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + start_ns


class Poll(Protocol):
    """The interface of select.poll objects that the loop uses."""

    def register(self, fd: int, events: int, /) -> object:
        """Watches a descriptor for these events, in place of those watched before."""
        ...

    def unregister(self, fd: int, /) -> object:
        """Stops watching a descriptor; raises KeyError if it was not watched."""
        ...

    def poll(self, timeout_ms: float | None = None, /) -> list[tuple[int, int]]:
        """Waits for events or the timeout (None: without limit); returns descriptors with their events."""
        ...


class Timer:
    """A scheduled callback; see `Loop.call_later`."""

    __slots__ = ("callback", "due_s")

    def __init__(self, due_s: float, callback: Callable[[], object]) -> None:
        self.due_s = due_s
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Prevents the callback from being called."""
        self.callback = None

    def __lt__(self, other: Timer) -> bool:
        return self.due_s < other.due_s


class Loop:
    """An event loop that runs tasks one at a time; an exception ends one task or callback, never the process.

    Attributes:
        polled_at_s: When the previous iteration's poll returned.
        stopped: Whether `run` returns after this iteration.
    """

    def __init__(self, log: Logger, poll: Poll | None = None) -> None:
        self.log = log
        self.polled_at_s = time.monotonic()
        self.stopped = False
        self._poll: Poll = select.poll() if poll is None else poll
        self._readers: dict[int, Callable[[], None]] = {}
        self._writers: dict[int, Callable[[], None]] = {}
        self._ready: deque[Callable[[], object]] = deque()
        self._timers: list[Timer] = []
        self._hub = getcurrent()
        # Descriptors closed in this iteration. Their numbers may be in use again, so events that were
        # polled for them are ignored.
        self._closed_fds: set[int] = set()
        self._signal_handlers: dict[int, Callable[[], object]] = {}
        self._turns_began_s = time.monotonic()
        self._turns_taken = 0  # in this iteration
        self._iteration_observer: Callable[[float, float], None] | None = None

    # ---- tasks
    def spawn(self, run: Callable[..., object], *args: object) -> greenlet:
        """Returns a new task, which starts in the next iteration."""
        task = greenlet(lambda: self._run_task(run, args), parent=self._hub)
        self._ready.append(task.switch)
        return task

    def _run_task(self, run: Callable[..., object], args: tuple[object, ...]) -> None:
        try:
            run(*args)
        except GreenletExit:
            pass
        except Exception:
            self.log.exception("task_fault", task=getattr(run, "__qualname__", repr(run)))

    def sleep(self, duration_s: float) -> None:
        """Suspends the current task for a duration."""
        self.call_later(duration_s, getcurrent().switch)
        self._hub.switch()

    def take_turn(self) -> None:
        """Suspends the current task while this iteration has taken MAX_TURNS_S already.

        Called before each message of a client, it bounds by how much many clients delay everything else:
        timers, I/O and other tasks get their share after MAX_TURNS_S and the message that was begun. Tasks
        that wait for their turn are resumed in the order in which they came, at least one in each iteration.
        """
        while self._turns_taken and time.monotonic() - self._turns_began_s > MAX_TURNS_S:
            self._ready.append(getcurrent().switch)
            self._hub.switch()
        self._turns_taken += 1

    def call_later(self, delay_s: float, callback: Callable[[], object]) -> Timer:
        """Calls a function on the hub after a delay, unless its timer is cancelled. It must not wait."""
        timer = Timer(time.monotonic() + max(0.0, delay_s), callback)
        heappush(self._timers, timer)
        return timer

    # ---- descriptors
    def on_readable(self, fd: int, callback: Callable[[], None] | None) -> None:
        """Sets the callback for a readable descriptor; None removes it. The callback must not wait."""
        if callback is None:
            self._readers.pop(fd, None)
        else:
            self._readers[fd] = callback
        self._register(fd)

    def on_writable(self, fd: int, callback: Callable[[], None] | None) -> None:
        """Sets the callback for a writable descriptor; None removes it. The callback must not wait."""
        if callback is None:
            self._writers.pop(fd, None)
        else:
            self._writers[fd] = callback
        self._register(fd)

    def unwatch(self, fd: int) -> None:
        """Stops watching a descriptor; must be called before the descriptor is closed."""
        self._readers.pop(fd, None)
        self._writers.pop(fd, None)
        self._closed_fds.add(fd)
        self._register(fd)

    def _register(self, fd: int) -> None:
        events = (select.POLLIN if fd in self._readers else 0) | (
            select.POLLOUT if fd in self._writers else 0
        )
        if events:
            self._poll.register(fd, events)
            return
        try:  # noqa: SIM105 (runs several times per request, and contextlib.suppress is slower)
            self._poll.unregister(fd)
        except KeyError:
            pass

    # ---- signals
    def on_signal(self, signal_number: int, callback: Callable[[], object]) -> None:
        """Sets the callback that runs on the hub when the process receives a signal.

        The signal is unblocked and no longer ignored, even if the parent process had set it so. A wakeup pipe
        ends the poll, since a Python signal handler alone does not (PEP 475).
        """
        if not self._signal_handlers:
            read_fd, write_fd = os.pipe()
            os.set_blocking(read_fd, False)
            os.set_blocking(write_fd, False)
            signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
            self.on_readable(read_fd, lambda: self._handle_signals(read_fd))
        self._signal_handlers[signal_number] = callback
        signal.signal(signal_number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal_number})

    def _handle_signals(self, pipe_fd: int) -> None:
        for signal_number in set(os.read(pipe_fd, SIGNAL_READ_BYTES)):
            if signal_number in self._signal_handlers:
                self._signal_handlers[signal_number]()

    def observe_iterations(self, observer: Callable[[float, float], None]) -> None:
        """Sets a function to call in each iteration.

        Its arguments are the duration of the iteration and the delay of the most overdue timer, in seconds.
        """
        self._iteration_observer = observer

    # ---- the hub
    def stop(self) -> None:
        """Makes `run` return after the current iteration."""
        self.stopped = True

    def run(self) -> None:  # noqa: C901
        """Runs until `stop` is called; must be called by the greenlet that created the loop.

        The steps of an iteration are not separate functions, since that adds about 5% to the processor time
        of each request.
        """
        ready = self._ready
        timers = self._timers
        run_callback = self._run_callback
        poll = self._poll.poll
        started_s = time.monotonic()
        timer_delay_s = 0.0
        while not self.stopped:
            self._turns_began_s = time.monotonic()
            self._turns_taken = 0
            for _ in range(len(ready)):
                run_callback(ready.popleft())
            timeout_ms: float | None = None
            if ready or self.stopped:
                timeout_ms = 0.0
            elif timers:
                timeout_ms = (timers[0].due_s - time.monotonic()) * MS_PER_S
            self._closed_fds.clear()
            if self._iteration_observer is not None:
                self._observe_iteration(time.monotonic() - started_s, timer_delay_s)
            # Rounded up, since a poll that ends early would make the loop spin until the timer is due.
            polled_s = time.monotonic()
            events = poll(None if timeout_ms is None else max(0, int(timeout_ms + POLL_ROUND_UP_MS)))
            if not events and timeout_ms is not None:
                overrun_s = time.monotonic() - polled_s - max(0.0, timeout_ms) / MS_PER_S
                if overrun_s > MAX_POLL_OVERRUN_S:
                    # A poll that was suspended (SIGSTOP) and then interrupted by a signal reports no events.
                    events = poll(0)
            self.polled_at_s = started_s
            started_s = time.monotonic()
            for fd, event in events:
                if fd not in self._closed_fds and event & ~select.POLLOUT:
                    run_callback(self._readers.get(fd))
                if fd not in self._closed_fds and event & ~select.POLLIN:
                    run_callback(self._writers.get(fd))
            # Timers run after the I/O events: a time-out that expired while this process was suspended must
            # not end a wait whose bytes have arrived.
            now_s = time.monotonic()
            timer_delay_s = now_s - timers[0].due_s if timers else 0.0
            while timers and (timers[0].callback is None or timers[0].due_s <= now_s):
                timer = heappop(timers)
                if timer.callback is not None:
                    run_callback(timer.callback)

    def _observe_iteration(self, duration_s: float, timer_delay_s: float) -> None:
        try:
            if self._iteration_observer is not None:
                self._iteration_observer(duration_s, timer_delay_s)
        except Exception:
            self.log.exception("callback_fault", callback="iteration observer")

    def _run_callback(self, function: Callable[[], object] | None) -> None:
        if function is None:
            return
        try:
            function()
        except Exception:
            self.log.exception("callback_fault", callback=getattr(function, "__qualname__", repr(function)))


class Signal:
    """An auto-reset event for one waiting task; it implements the core's Waker.

    If no task waits when it is set, the next wait returns at once.
    """

    __slots__ = ("_is_set", "_loop", "_waiter")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._is_set = False
        self._waiter: Callable[[], object] | None = None

    def set(self) -> None:
        """Wakes the waiting task in the next iteration."""
        self._is_set = True
        if self._waiter is not None:
            self._loop._ready.append(self._waiter)
            self._waiter = None

    def clear_waiter(self) -> None:
        """Detaches the waiting task, which is about to be ended by GreenletExit, so that it is not woken."""
        self._waiter = None

    def wait(self, timeout_s: float | None = None) -> bool:
        """Waits until the event is set or the timeout expires; returns whether it was set, and clears it.

        With a timeout of 0 or less, yields once to the other tasks.
        """
        loop = self._loop
        if not self._is_set and (timeout_s is None or timeout_s > 0):
            timer = None
            self._waiter = getcurrent().switch
            if timeout_s is not None:
                timer = loop.call_later(timeout_s, self._time_out)
            loop._hub.switch()
            if timer is not None:
                timer.cancel()
        elif not self._is_set:
            loop._ready.append(getcurrent().switch)
            loop._hub.switch()
        was_set = self._is_set
        self._is_set = False
        return was_set

    def _time_out(self) -> None:
        if self._waiter is not None:
            waiter = self._waiter
            self._waiter = None
            waiter()
