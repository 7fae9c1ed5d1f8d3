"""A thread for what may wait: calls are made there one after the other, and their ends told on the loop."""

import os
import threading
from collections import deque
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from ochrehoist.net.loop import Loop

Done = Callable[[Any, Exception | None], None]


class OffLoop:
    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.calls, self.ends = loop, SimpleQueue(), deque()
        self.wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        loop.on_readable(self.wake, self.tell)
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.thread.start()

    def submit(self, call: Callable[[], Any], done: Done) -> None:
        """Makes the call there; `done` then gets its result or its exception, on the loop."""
        self.calls.put((call, done))

    def _run(self) -> None:
        while (item := self.calls.get()) is not None:
            call, done = item
            try:
                end = (done, call(), None)
            except Exception as error:  # told where it belongs
                end = (done, None, error)
            self.ends.append(end)
            os.eventfd_write(self.wake, 1)

    def tell(self) -> None:
        """Tells the ends that are there, on the thread of the loop."""
        try:
            os.eventfd_read(self.wake)
        except BlockingIOError:
            pass
        while self.ends:
            done, result, error = self.ends.popleft()
            try:
                done(result, error)
            except Exception:
                self.loop.log.exception("fault after a call off the loop")

    def close(self, timeout: float) -> bool:
        """Ends it once all calls are made; whether that was in time. Ends that are not told yet are told."""
        self.calls.put(None)
        self.thread.join(timeout)
        self.tell()
        return not self.thread.is_alive()
