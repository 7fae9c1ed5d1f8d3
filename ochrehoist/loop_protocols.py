"""Interfaces of the worker's event loop for the store and the load recorder; implemented in `net/`."""

from collections.abc import Callable
from typing import Any, Protocol

Done = Callable[[Any, Exception | None], None]  # called with the result of a call and its exception, if any


class PendingCall(Protocol):
    """Handle of a scheduled call."""

    def cancel(self) -> None:
        """Cancels the call."""


class TimerLoop(Protocol):
    """Timers on the thread of the event loop, which is the only one that makes decisions."""

    def call_later(self, seconds: float, call: Callable[[], object]) -> PendingCall:
        """Schedules the call after this delay (s)."""
        ...


class BlockingCalls(Protocol):
    """Thread for calls that may block."""

    def submit(self, call: Callable[[], Any], done: Done) -> None:
        """Makes the call on the thread, then calls `done` on the event loop with its result or exception."""

    def deliver(self) -> None:
        """Passes the available results to `done`; must be called on the thread of the event loop."""

    def close(self, timeout_s: float) -> bool:
        """Completes all calls, delivers their results and ends the thread.

        Returns whether this was done within the timeout.
        """
        ...


StartBlockingCalls = Callable[[str], BlockingCalls]  # called with the name of the thread
