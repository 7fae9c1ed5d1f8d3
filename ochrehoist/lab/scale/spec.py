"""What a scale run consists of."""

from dataclasses import dataclass
from enum import StrEnum

MAX_PROCESSES = 300


class FaultKind(StrEnum):
    """The faults of a scale run; the values are words of the command line and of result files."""

    RACK = "rack"
    ZONE = "zone"
    REGION = "region"
    RESTART = "restart"


@dataclass(frozen=True)
class ScaleSpec:
    """The options of one run. The field names are options of `ochrehoist lab scale` and keys of its results.

    `members` counts hollow and `real` workers together. Durations are by the workers' clocks, but `limit_s`.
    """

    members: int
    tenants: int = 3
    routes: int = 3
    changes: int = 0  # reloads of the configuration, while the faults last
    regions: int = 3
    real: int = 0
    seed: int = 1
    seconds: float = 10.0  # for which the group is measured at rest
    pace: float = 1.0  # rate of the workers' clocks, by the machine's
    uses: float = 1.0  # requests a second that each hollow worker is notified of
    faults: tuple[FaultKind, ...] = tuple(FaultKind)
    lasts: float = 5.0  # of a partition
    met: bool = False  # begins as if all had exchanged messages: without joining
    settle_s: float = 3.0  # after all members know all, until the measurement at rest
    join_s: float = 60.0  # at the most, until all members know all
    heal_s: float = 60.0  # at the most, after each fault
    limit_s: float = 300.0  # of wall time, for the whole run
    most_memory_mb: float | None = None  # by default half of the machine's
    most_processes: int = MAX_PROCESSES
    probe_ms: int = 100

    @property
    def hollow_count(self) -> int:
        """How many of the members are hollow."""
        return self.members - self.real

    @property
    def process_limit(self) -> int:
        """How many processes the run may start."""
        return min(self.most_processes, MAX_PROCESSES)
