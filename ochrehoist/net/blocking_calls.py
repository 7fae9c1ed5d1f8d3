"""A thread for calls that may block: they are made there in order, and their results given to the loop."""

import os
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from typing import Any, NamedTuple

from ochrehoist.net.loop import Loop

Done = Callable[[Any, Exception | None], None]


class _Call(NamedTuple):
    call: Callable[[], Any]
    done: Done


class _CallEnd(NamedTuple):
    done: Done
    result: Any
    error: Exception | None


class BlockingCallThread:
    """One daemon thread, and the queues to and from it."""

    def __init__(self, loop: Loop, name: str) -> None:
        self._loop = loop
        self._calls: SimpleQueue[_Call | None] = SimpleQueue()
        self._ends: deque[_CallEnd] = deque()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        loop.on_readable(self._wake_fd, self.deliver)
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, call: Callable[[], Any], done: Done) -> None:
        """Makes the call on the thread; `done` then gets its result or its exception, on the loop."""
        self._calls.put(_Call(call, done))

    def _run(self) -> None:
        while (item := self._calls.get()) is not None:
            try:
                end = _CallEnd(item.done, item.call(), None)
            except Exception as error:  # the caller's to handle
                end = _CallEnd(item.done, None, error)
            self._ends.append(end)
            os.eventfd_write(self._wake_fd, 1)

    def deliver(self) -> None:
        """Gives the results that are there to their callers, on the thread of the loop."""
        with suppress(BlockingIOError):
            os.eventfd_read(self._wake_fd)
        while self._ends:
            end = self._ends.popleft()
            try:
                end.done(end.result, end.error)
            except Exception:
                self._loop.log.exception("blocking_call_callback_fault")

    def close(self, timeout_s: float) -> bool:
        """Ends the thread once all calls are made, and delivers their results; whether that was in time."""
        self._calls.put(None)
        self._thread.join(timeout_s)
        self.deliver()
        return not self._thread.is_alive()
