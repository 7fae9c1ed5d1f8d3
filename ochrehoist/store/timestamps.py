"""Timestamps that stay comparable after a restart or a reboot, and after the system clock was set."""

import time
from pathlib import Path

import msgspec

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class Timestamp(msgspec.Struct, frozen=True, array_like=True):
    """One moment on two clocks: Unix time, and time since the boot named by `boot_id`, both in ns."""

    unix_ns: int
    boot_id: str = ""  # empty where the system has none
    since_boot_ns: int = 0


def _read_boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


BOOT_ID = _read_boot_id()


def current_timestamp() -> Timestamp:
    """The current moment on both clocks."""
    return Timestamp(time.time_ns(), BOOT_ID, time.clock_gettime_ns(time.CLOCK_BOOTTIME))


def elapsed_ns(since: Timestamp, now: Timestamp) -> int | None:
    """Time in ns between two moments; None where the clock was set back, so that it is unknown.

    Within one boot the time since boot is compared, which setting the system clock does not change.
    """
    if since.boot_id and since.boot_id == now.boot_id:
        return now.since_boot_ns - since.since_boot_ns if now.since_boot_ns >= since.since_boot_ns else None
    return now.unix_ns - since.unix_ns if now.unix_ns >= since.unix_ns else None


def remaining_window_ns(since: Timestamp, remaining_ns: int, window_ns: int, now: Timestamp) -> int:
    """Time in ns that is left of a window of which `remaining_ns` were left at `since`; 0 once it is over.

    Where the clock was set back it is the whole window again: one that is too long rejects requests, one
    that is too short would let a request run twice.
    """
    passed_ns = elapsed_ns(since, now)
    return window_ns if passed_ns is None else max(0, remaining_ns - passed_ns)
