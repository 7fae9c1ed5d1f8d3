"""Timestamps that remain comparable across restarts, reboots and changes of the system clock."""

import time
from pathlib import Path

import msgspec

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class Timestamp(msgspec.Struct, frozen=True, array_like=True):
    """A moment on two clocks: Unix time, and time since the boot with the id `boot_id`, both in ns.

    `boot_id` is empty if the system has none.
    """

    unix_ns: int
    boot_id: str = ""
    since_boot_ns: int = 0


def _read_boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


BOOT_ID = _read_boot_id()


def current_timestamp() -> Timestamp:
    """Returns the current time on both clocks."""
    return Timestamp(time.time_ns(), BOOT_ID, time.clock_gettime_ns(time.CLOCK_BOOTTIME))


def elapsed_ns(since: Timestamp, now: Timestamp) -> int | None:
    """Returns the time in ns between two moments; None if it is unknown because the clock was set back.

    Within one boot the times since boot are compared, which are independent of the system clock.
    """
    if since.boot_id and since.boot_id == now.boot_id:
        return now.since_boot_ns - since.since_boot_ns if now.since_boot_ns >= since.since_boot_ns else None
    return now.unix_ns - since.unix_ns if now.unix_ns >= since.unix_ns else None


def remaining_window_ns(since: Timestamp, remaining_ns: int, window_ns: int, now: Timestamp) -> int:
    """Returns the time in ns that remains at `now` of a window that had `remaining_ns` left at `since`.

    It is 0 once the window is over. If the clock was set back it is the whole window: a window that is too
    long only rejects requests, but one that is too short could let a request run twice.
    """
    age_ns = elapsed_ns(since, now)
    return window_ns if age_ns is None else max(0, remaining_ns - age_ns)
