"""What Linux says of a process, and the tie of a child process to its parent."""

import ctypes
import os
import signal
from contextlib import suppress
from pathlib import Path

PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
PR_SET_PDEATHSIG = 1  # of <sys/prctl.h>
NS_PER_S = 1e9
LIBC = ctypes.CDLL(None)


def die_with_parent() -> None:
    """Has the kernel kill this process when the one that started it ends, however that ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def resident_kb(pid: int) -> int:
    """The resident memory of a process; 0 where there is none of this number any more."""
    with suppress(OSError):
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KB
    return 0


def cpu_s(pid: int) -> float:
    """The processor time of a process of one thread, by the scheduler's own count, which is in ns."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / NS_PER_S
