"""Processor time and memory of a process, as the Linux kernel accounts for them in /proc."""

import os
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
NS_PER_S = 1e9
KB_PER_MB = 1024
RESET_PEAK = "5"  # written to clear_refs


@dataclass(frozen=True)
class MemoryUsage:
    """Resident memory in MB (2**20 bytes): now, and the peak since the last reset."""

    resident_mb: float
    peak_mb: float


def cpu_s(pid: int) -> float:
    """Processor time of a process so far in seconds, user and system, to the clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) * CLOCK_TICK_S


def main_thread_cpu_s(pid: int) -> float:
    """Processor time of a process's main thread so far in seconds, to the nanosecond."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / NS_PER_S


def resident_bytes(pid: int | str = "self") -> int:
    """Resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def memory_usage(pid: int | str = "self") -> MemoryUsage:
    """Resident memory of a process, now and at its peak."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    kb = {line.split(":")[0]: int(line.split()[1]) for line in lines if line.startswith("Vm")}
    return MemoryUsage(kb["VmRSS"] / KB_PER_MB, kb["VmHWM"] / KB_PER_MB)


def reset_peak_memory(pid: int | str = "self") -> None:
    """Let the peak of `memory_usage` count from now on."""
    Path(f"/proc/{pid}/clear_refs").write_text(RESET_PEAK)
