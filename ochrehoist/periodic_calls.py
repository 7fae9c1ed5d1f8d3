"""Calls that are repeated for as long as the worker runs, even if one of them raises."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ochrehoist.loop_protocols import TimerLoop


def call_periodically(
    loop: TimerLoop, interval_s: float, call: Callable[[], bool | None], first_delay_s: float | None = None
) -> None:
    """Calls a function each `interval_s` seconds until it returns False.

    An exception is left to the loop, which logs it; the next call is made all the same. The first call is
    made after `first_delay_s`, by default after one interval.
    """

    def call_and_schedule() -> None:
        goes_on: bool | None = True
        try:
            goes_on = call()
        finally:
            if goes_on is not False:
                loop.call_later(interval_s, call_and_schedule)

    # The loop names a callback that raises by its qualified name.
    call_and_schedule.__qualname__ = getattr(call, "__qualname__", repr(call))
    loop.call_later(interval_s if first_delay_s is None else first_delay_s, call_and_schedule)
