"""A thread for blocking calls: it makes them in order and delivers their results on the event loop."""

import os
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from typing import Any, NamedTuple

from ochrehoist.net.loop import Loop

DoneCallback = Callable[[Any, Exception | None], None]  # called with the result and the exception


class _Call(NamedTuple):
    function: Callable[[], Any]
    on_done: DoneCallback


class _CompletedCall(NamedTuple):
    on_done: DoneCallback
    result: Any
    error: Exception | None


class BlockingCallThread:
    """A daemon thread with a queue of calls and a queue of results."""

    def __init__(self, loop: Loop, name: str) -> None:
        self._loop = loop
        self._calls: SimpleQueue[_Call | None] = SimpleQueue()  # None ends the thread
        self._completed_calls: deque[_CompletedCall] = deque()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        loop.on_readable(self._wake_fd, self.deliver)
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, call: Callable[[], Any], done: DoneCallback) -> None:
        """Makes `call` on the thread, then calls `done` on the loop with its result and its exception."""
        self._calls.put(_Call(call, done))

    def _run(self) -> None:
        while (next_call := self._calls.get()) is not None:
            try:
                completed_call = _CompletedCall(next_call.on_done, next_call.function(), None)
            except Exception as error:  # passed to the callback
                completed_call = _CompletedCall(next_call.on_done, None, error)
            self._completed_calls.append(completed_call)
            os.eventfd_write(self._wake_fd, 1)

    def deliver(self) -> None:
        """Calls the callbacks of completed calls; must run on the thread of the loop."""
        with suppress(BlockingIOError):
            os.eventfd_read(self._wake_fd)
        while self._completed_calls:
            completed_call = self._completed_calls.popleft()
            try:
                completed_call.on_done(completed_call.result, completed_call.error)
            except Exception:
                self._loop.log.exception("blocking_call_callback_fault")

    def close(self, timeout_s: float) -> bool:
        """Ends the thread after all submitted calls and delivers their results.

        Returns:
            Whether the thread ended within `timeout_s`.
        """
        self._calls.put(None)
        self._thread.join(timeout_s)
        self.deliver()
        return not self._thread.is_alive()
