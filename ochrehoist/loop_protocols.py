"""What the store and the load recorder need of the worker's loop; `net/` implements it."""

from collections.abc import Callable
from typing import Any, Protocol

Done = Callable[[Any, Exception | None], None]  # gets the result of a call, or its exception


class PendingCall(Protocol):
    """A call that is due at a time."""

    def cancel(self) -> None:
        """The call is not made."""


class TimerLoop(Protocol):
    """Makes calls later, on the worker's only thread of decisions."""

    def call_later(self, seconds: float, call: Callable[[], object]) -> PendingCall:
        """Makes the call after so many seconds."""
        ...


class BlockingCalls(Protocol):
    """A thread for calls that may block."""

    def submit(self, call: Callable[[], Any], done: Done) -> None:
        """Makes the call on the thread; `done` then gets its result or its exception, on the loop."""

    def deliver(self) -> None:
        """Gives the results that are there to their callers, on the thread of the loop."""

    def close(self, timeout_s: float) -> bool:
        """Ends the thread once all calls are made, and delivers their results; whether that was in time."""
        ...


StartBlockingCalls = Callable[[str], BlockingCalls]  # by the thread's name
