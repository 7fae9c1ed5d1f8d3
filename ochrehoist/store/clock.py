"""The clocks that records carry."""

import time
from pathlib import Path

from ochrehoist.store.ageing import Stamp


def _boot_id() -> str:
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


BOOT = _boot_id()


def stamp_now() -> Stamp:
    return Stamp(time.time_ns(), BOOT, time.clock_gettime_ns(time.CLOCK_BOOTTIME))
