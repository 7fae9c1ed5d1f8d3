"""The figures of a scale run; a `name` is the key in the result file where it differs from the field's."""

import os
import platform
import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from msgspec import UNSET, Struct, UnsetType, field, to_builtins

KB_PER_MB = 1024

RunRecord = dict[str, Any]  # one run as JSON, also of earlier releases
COMPLETE = "whole"  # how a run ended that was not broken off


class Spread(Struct, frozen=True):
    """The median, the largest and the mean of several values."""

    median: float = field(name="p50")
    maximum: float = field(name="max")
    mean: float


def spread(values: Sequence[float]) -> Spread | None:
    """The spread of the values; None where there are none."""
    if not values:
        return None
    ordered = sorted(values)
    return Spread(statistics.median(ordered), ordered[-1], statistics.fmean(ordered))


class MachineState(Struct, frozen=True):
    """The machine, and how busy it is."""

    cores: int | None
    load: list[float]
    memory_mb: int
    free_mb: int
    python: str
    kernel: str


def machine_state() -> MachineState:
    """The machine now."""
    memory_mb = {
        line.split(":")[0]: int(line.split()[1]) // 1024
        for line in Path("/proc/meminfo").read_text().splitlines()
    }
    return MachineState(
        cores=os.cpu_count(),
        load=[round(average, 2) for average in os.getloadavg()],
        memory_mb=memory_mb["MemTotal"],
        free_mb=memory_mb["MemAvailable"],
        python=platform.python_version(),
        kernel=platform.release(),
    )


class RealWorkerSample(Struct, frozen=True):
    """Counters of a real worker since its start; `cpu_s` is of all that the process does."""

    bytes_out: int
    bytes_in: int
    sent: int
    received: int
    peers_cpu_s: float
    cpu_s: float
    resident_kb: int


class ClusterView(Struct, frozen=True):
    """What the hollow workers believe of the group, and what they hold of the budget together."""

    hollow_count: int = field(name="hollow")
    least_alive: int = field(name="least")
    median_alive: float = field(name="p50")
    complete_count: int = field(name="whole")  # of workers that know all members
    held_amount: int = field(name="held")
    lateness_s: float = field(name="late_s")
    faults: dict[str, int]  # errors that workers logged, by event
    resident_mb: float = field(name="rss_mb")


class Convergence(Struct, frozen=True):
    """How long it took until all members knew all; `complete_after_s` is None where they did not in time."""

    complete_after_s: float | None
    waited_s: float
    view: ClusterView

    def record(self) -> dict[str, object]:
        """As the file has it."""
        times = {"all_s": self.complete_after_s, "waited_s": self.waited_s}
        view: dict[str, object] = to_builtins(self.view)
        return times | view


class RestFigures(Struct, frozen=True):
    """What the workers sent, received and cost between two samples at rest; rates are a second."""

    hollow: dict[str, Spread | None]
    not_voters: dict[str, Spread | None]
    duration_s: float = field(name="seconds")
    hollow_count: int = field(name="hollows")
    harness_cpu_s: float = field(name="harness_s")
    cpu_share: float  # of a core, of one hollow worker
    resident_mb: float = field(name="rss_mb")  # of one hollow worker
    state_bytes: Spread | None
    status_bytes: Spread | None
    tick_ms: Spread | None = field(name="beat_ms")
    stall_count: int = field(name="was_late")
    death_count: int = field(name="deaths")
    rejected_count: int = field(name="rejected")
    real: dict[str, Spread | None] | UnsetType = UNSET


class FaultFigures(Struct, frozen=True):
    """One fault and the recovery from it."""

    kind: str
    struck_count: int = field(name="struck")
    least_alive: int
    complete_after_s: float | None = field(name="whole_after_s")
    waited_s: float
    complete_count: int = field(name="whole")
    lateness_s: float = field(name="late_s")
    bytes_out: int
    bytes_out_beyond_rest: int
    sent: int
    sent_beyond_rest: int


class ReloadFigures(Struct, frozen=True):
    """One change of configuration that all workers reloaded."""

    duration_s: float = field(name="all_s")
    missed_count: int = field(name="missed")
    reached_count: int = field(name="reached")
    hold_ms: Spread | None = field(name="held_ms")
    cpu_ms: Spread | None
    in_force_ms: Spread | None


class RunFigures(Struct):
    """What a run has measured so far; what is not measured yet is unset, and not in the file."""

    empty_cpu_share: float | UnsetType = UNSET  # of a core, of the harness for one worker
    base_mb: float | UnsetType = UNSET  # of a process before its workers
    settings_mb: float | UnsetType = UNSET  # that one configuration adds
    refused_as_members: int | UnsetType = UNSET
    join: dict[str, object] | UnsetType = UNSET
    rest: RestFigures | UnsetType = UNSET
    faults: list[FaultFigures] | UnsetType = UNSET
    changes: list[ReloadFigures] | UnsetType = UNSET
    at_end: ClusterView | UnsetType = UNSET
    trusted: bool | UnsetType = UNSET
