"""The event loop: tasks are greenlets over select.poll, with timers and signals.

One task runs at a time, on one thread; it gives way only where it waits: by `Loop.sleep`, on a `Signal`, or
on a `Stream`. It ends when its function returns or raises; one that serves a connection is ended by closing
its stream, which makes its wait raise ConnectionClosedError. Times are seconds of time.monotonic().
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


MAX_POLL_OVERRUN_S = 0.005  # by which a poll may outlast its timeout before it counts as stopped
MS_PER_S = 1000
ROUND_UP_MS = 0.999
SIGNAL_READ_BYTES = 4096


def steady_clock() -> Callable[[], int]:
    """Unix time in ns as of now, kept by the monotonic clock: setting the clock does not move it."""
    start_ns = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + start_ns


class Poll(Protocol):
    """What is needed of select.poll."""

    def register(self, fd: int, events: int, /) -> object:
        """Watches a descriptor, or changes what it is watched for."""
        ...

    def unregister(self, fd: int, /) -> object:
        """Watches it no longer; KeyError where it was not watched."""
        ...

    def poll(self, timeout_ms: float | None = None, /) -> list[tuple[int, int]]:
        """Descriptors with their events, at the latest after the timeout."""
        ...


class Timer:
    """A call that is due at a time; see `Loop.call_later`."""

    __slots__ = ("call", "due_s")

    def __init__(self, due_s: float, call: Callable[[], object]) -> None:
        self.due_s = due_s
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """The call is not made."""
        self.call = None

    def __lt__(self, other: Timer) -> bool:
        return self.due_s < other.due_s


class Loop:
    """Runs tasks one at a time; a fault ends one task or callback, never the process.

    Attributes:
        polled_at_s: When the iteration before this one had polled its descriptors.
        stopped: Whether `run` is to return.
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
        # Descriptors closed in this iteration: their numbers may be in use again already.
        self._closed_fds: set[int] = set()
        self._signal_handlers: dict[int, Callable[[], object]] = {}
        self._iteration_observer: Callable[[float, float], None] | None = None

    # ---- tasks
    def spawn(self, run: Callable[..., object], *args: object) -> greenlet:
        """Starts a task in the next iteration."""
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

    def sleep(self, seconds: float) -> None:
        """Lets other tasks run for so long."""
        self.call_later(seconds, getcurrent().switch)
        self._hub.switch()

    def call_later(self, seconds: float, call: Callable[[], object]) -> Timer:
        """Calls it on the hub after so many seconds, unless the timer is cancelled. It must not wait."""
        timer = Timer(time.monotonic() + max(0.0, seconds), call)
        heappush(self._timers, timer)
        return timer

    # ---- descriptors
    def on_readable(self, fd: int, call: Callable[[], None] | None) -> None:
        """Calls it whenever the descriptor can be read; None: no longer. It must not wait."""
        if call is None:
            self._readers.pop(fd, None)
        else:
            self._readers[fd] = call
        self._register(fd)

    def on_writable(self, fd: int, call: Callable[[], None] | None) -> None:
        """Calls it whenever the descriptor can be written; None: no longer. It must not wait."""
        if call is None:
            self._writers.pop(fd, None)
        else:
            self._writers[fd] = call
        self._register(fd)

    def forget(self, fd: int) -> None:
        """Watches a descriptor no longer; to be called before it is closed."""
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
        try:  # noqa: SIM105 (several times in each request: contextlib.suppress would be dearer)
            self._poll.unregister(fd)
        except KeyError:
            pass

    # ---- signals
    def on_signal(self, number: int, call: Callable[[], object]) -> None:
        """Calls it on the hub for each signal of this number.

        One that was inherited as ignored or blocked no longer is. A pipe wakes the poll, which the handler
        alone would not end (PEP 475).
        """
        if not self._signal_handlers:
            reader, writer = os.pipe()
            os.set_blocking(reader, False)
            os.set_blocking(writer, False)
            signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
            self.on_readable(reader, lambda: self._handle_signals(reader))
        self._signal_handlers[number] = call
        signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {number})

    def _handle_signals(self, reader: int) -> None:
        for number in set(os.read(reader, SIGNAL_READ_BYTES)):
            if number in self._signal_handlers:
                self._signal_handlers[number]()

    def observe_iterations(self, observer: Callable[[float, float], None]) -> None:
        """`observer` is called with the duration of each iteration, and how late the latest timer was (s)."""
        self._iteration_observer = observer

    # ---- the hub
    def stop(self) -> None:
        """Makes `run` return after this iteration."""
        self.stopped = True

    def run(self) -> None:  # noqa: C901
        """Runs until `stop`, on the task that created the loop.

        One function, since a request takes several iterations: split by its steps it cost each request about
        a twentieth more processor time.
        """
        ready = self._ready
        timers = self._timers
        call = self._call
        poll = self._poll.poll
        started_s = time.monotonic()
        timer_delay_s = 0.0
        while not self.stopped:
            for _ in range(len(ready)):
                call(ready.popleft())
            timeout_ms: float | None = None
            if ready or self.stopped:
                timeout_ms = 0.0
            elif timers:
                timeout_ms = (timers[0].due_s - time.monotonic()) * MS_PER_S
            self._closed_fds.clear()
            if self._iteration_observer is not None:
                self._iteration_observer(time.monotonic() - started_s, timer_delay_s)
            # Rounded up: a poll that ends a moment early would spin until the timer falls due.
            polled_s = time.monotonic()
            events = poll(None if timeout_ms is None else max(0, int(timeout_ms + ROUND_UP_MS)))
            if not events and timeout_ms is not None:
                overrun_s = time.monotonic() - polled_s - max(0.0, timeout_ms) / MS_PER_S
                if overrun_s > MAX_POLL_OVERRUN_S:
                    # A poll that was stopped (SIGSTOP) and then interrupted by a signal reports nothing.
                    events = poll(0)
            self.polled_at_s = started_s
            started_s = time.monotonic()
            for fd, event in events:
                if fd not in self._closed_fds and event & ~select.POLLOUT:
                    call(self._readers.get(fd))
                if fd not in self._closed_fds and event & ~select.POLLIN:
                    call(self._writers.get(fd))
            # After the events: a timer that fell due while this process was stopped ends nothing whose bytes
            # had arrived before.
            now_s = time.monotonic()
            timer_delay_s = now_s - timers[0].due_s if timers else 0.0
            while timers and (timers[0].call is None or timers[0].due_s <= now_s):
                timer = heappop(timers)
                if timer.call is not None:
                    call(timer.call)

    def _call(self, call: Callable[[], object] | None) -> None:
        if call is None:
            return
        try:
            call()
        except Exception:
            self.log.exception("callback_fault", callback=getattr(call, "__qualname__", repr(call)))


class Signal:
    """Wakes one waiting task; if none waits, the next wait returns at once. It is a core Waker."""

    __slots__ = ("_is_set", "_loop", "_waiter")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._is_set = False
        self._waiter: Callable[[], object] | None = None

    def set(self) -> None:
        """Wakes the task in the next iteration."""
        self._is_set = True
        if self._waiter is not None:
            self._loop._ready.append(self._waiter)
            self._waiter = None

    def forget_waiter(self) -> None:
        """The task that waits is no longer woken: it is about to be ended by GreenletExit."""
        self._waiter = None

    def wait(self, timeout: float | None = None) -> bool:
        """Waits until it is set, or for `timeout` seconds; returns whether it was set, and clears it.

        With a timeout of 0 or less it gives way to the other tasks once.
        """
        loop = self._loop
        if not self._is_set and (timeout is None or timeout > 0):
            timer = None
            self._waiter = getcurrent().switch
            if timeout is not None:
                timer = loop.call_later(timeout, self._time_out)
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
