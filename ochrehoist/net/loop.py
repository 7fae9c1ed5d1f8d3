"""The scheduler: greenlets over select.poll, with timers and a way to be woken by signals."""

import os
import select
import signal
import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from greenlet import GreenletExit, getcurrent, greenlet

STALL = 0.005  # s over its time for which a wait may last


def steady_clock() -> Callable[[], int]:
    """Unix time in ns as of now, kept by the monotonic clock: setting the clock does not move it."""
    start = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + start


class Timer:
    __slots__ = ("when", "call")

    def __init__(self, when: float, call: Callable[[], None]) -> None:
        self.when = when
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None

    def __lt__(self, other: "Timer") -> bool:
        return self.when < other.when


class Loop:
    """Runs tasks one at a time; a task gives way only where it waits."""

    def __init__(self, log: Any) -> None:
        self.log = log
        self.poll = select.poll()
        self.readers: dict[int, Callable[[], None]] = {}
        self.writers: dict[int, Callable[[], None]] = {}
        self.ready: deque[Callable[[], Any]] = deque()
        self.timers: list[Timer] = []
        self.hub = getcurrent()
        self.stopped = False
        self.looked = time.monotonic()  # when the round before this one looked for what had come
        self.forgotten: set[int] = set()  # closed in this round: their number may be in use again already
        self.signals: dict[int, Callable[[], Any]] = {}
        self._iteration_observer: Callable[[float, float], None] | None = None

    # ---- tasks
    def spawn(self, run: Callable[..., Any], *args: Any) -> greenlet:
        task = greenlet(lambda: self._guard(run, args), parent=self.hub)
        self.ready.append(task.switch)
        return task

    def _guard(self, run: Callable[..., Any], args: tuple) -> None:
        try:
            run(*args)
        except GreenletExit:
            pass
        except Exception:  # a fault ends one task, never the process
            self.log.exception("fault in a task", task=getattr(run, "__qualname__", repr(run)))

    def sleep(self, seconds: float) -> None:
        self.call_later(seconds, getcurrent().switch)
        self.hub.switch()

    def call_later(self, seconds: float, call: Callable[[], None]) -> Timer:
        timer = Timer(time.monotonic() + max(0.0, seconds), call)
        heappush(self.timers, timer)
        return timer

    # ---- descriptors
    def _register(self, fd: int) -> None:
        events = (select.POLLIN if fd in self.readers else 0) | (select.POLLOUT if fd in self.writers else 0)
        if events:
            self.poll.register(fd, events)
        else:
            try:
                self.poll.unregister(fd)
            except KeyError:
                pass

    def on_readable(self, fd: int, call: Callable[[], None] | None) -> None:
        if call is None:
            self.readers.pop(fd, None)
        else:
            self.readers[fd] = call
        self._register(fd)

    def on_writable(self, fd: int, call: Callable[[], None] | None) -> None:
        if call is None:
            self.writers.pop(fd, None)
        else:
            self.writers[fd] = call
        self._register(fd)

    def forget(self, fd: int) -> None:
        self.readers.pop(fd, None)
        self.writers.pop(fd, None)
        self.forgotten.add(fd)
        self._register(fd)

    # ---- signals
    def on_signal(self, number: int, call: Callable[[], Any]) -> None:
        """`call` runs on the hub; the pipe wakes a poll that the handler alone would not end (PEP 475).

        A signal that was inherited as ignored or blocked is heard from now on.
        """
        if not self.signals:
            reader, writer = os.pipe()
            os.set_blocking(reader, False)
            os.set_blocking(writer, False)
            signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
            self.on_readable(reader, lambda: self._signalled(reader))
        self.signals[number] = call
        signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {number})

    def _signalled(self, reader: int) -> None:
        for number in set(os.read(reader, 4096)):
            if number in self.signals:
                self.signals[number]()

    def observe_iterations(self, observer: Callable[[float, float], None]) -> None:
        """`observer` hears of each iteration: its duration, and how late the latest timer was (s)."""
        self._iteration_observer = observer

    # ---- the hub
    def stop(self) -> None:
        self.stopped = True

    def run(self) -> None:
        began, late = time.monotonic(), 0.0
        while not self.stopped:
            for _ in range(len(self.ready)):
                self._call(self.ready.popleft())
            if self.ready or self.stopped:
                wait = 0.0
            else:
                wait = (self.timers[0].when - time.monotonic()) * 1000 if self.timers else None
            self.forgotten.clear()
            if self._iteration_observer is not None:
                self._iteration_observer(time.monotonic() - began, late)
            # Rounded up: a poll that ends a moment early would spin until the timer falls due.
            asked = time.monotonic()
            came = self.poll.poll(None if wait is None else max(0, int(wait + 0.999)))
            if not came and wait is not None and time.monotonic() - asked > max(0.0, wait) / 1000 + STALL:
                came = self.poll.poll(0)  # one that was stopped, and then broken off by a signal, saw nothing
            self.looked, began = began, time.monotonic()
            for fd, events in came:
                if fd not in self.forgotten and events & ~select.POLLOUT:
                    self._call(self.readers.get(fd))
                if fd not in self.forgotten and events & ~select.POLLIN:
                    self._call(self.writers.get(fd))
            # After what has come: a time that ran out while this process stood still ends nothing whose
            # bytes were here before.
            now = time.monotonic()
            late = now - self.timers[0].when if self.timers else 0.0
            while self.timers and (self.timers[0].call is None or self.timers[0].when <= now):
                timer = heappop(self.timers)
                if timer.call is not None:
                    self._call(timer.call)

    def _call(self, call: Callable[[], Any] | None) -> None:
        if call is None:
            return
        try:
            call()
        except Exception:
            self.log.exception("fault in a callback")


class Signal:
    """Wakes one waiting task; a set that nobody waits for is kept for the next wait. It is a core Waker."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.is_set, self.waiter = loop, False, None

    def set(self) -> None:
        self.is_set = True
        if self.waiter is not None:
            waiter, self.waiter = self.waiter, None
            self.loop.ready.append(waiter)

    def wait(self, timeout: float | None = None) -> bool:
        if not self.is_set and (timeout is None or timeout > 0):
            timer = None
            self.waiter = getcurrent().switch
            if timeout is not None:
                timer = self.loop.call_later(timeout, self._timed_out)
            self.loop.hub.switch()
            if timer is not None:
                timer.cancel()
        elif not self.is_set:
            self.loop.ready.append(getcurrent().switch)  # gives way to the others all the same
            self.loop.hub.switch()
        was, self.is_set = self.is_set, False
        return was

    def _timed_out(self) -> None:
        if self.waiter is not None:
            waiter, self.waiter = self.waiter, None
            waiter()
