"""What a scale run and its processes of hollow workers send each other: JSON, one message a line.

Both ends are always of the same tree. Times and durations are by the clock of the hollow workers, in s, where
a name does not say `cpu`.
"""

from typing import Any

from msgspec import Raw, Struct

Address = tuple[str, int]


class WorkerDescription(Struct, frozen=True):
    """One hollow worker: its name and the `[peers]` table of its configuration."""

    name: str
    peers: dict[str, Any]


class ProcessDescription(Struct, frozen=True):
    """The first line that a process reads: its workers, and what they have in common."""

    workers: list[WorkerDescription]
    seed: int
    clock_rate: float  # of the workers' clocks, by the machine's
    time_limit_s: float  # of wall time, after which the process is killed by its alarm
    requests_per_s: float  # that each worker is notified of
    folder: str  # of the configuration files
    template: str  # of the configuration: all but the name and the `[peers]` table


class ProcessReady(Struct, frozen=True):
    """The first line that a process writes."""

    pid: int


class MeasureEmptyProcess(Struct, frozen=True, tag=True):
    """Measures the process with as many sockets and timers as its workers have, which do nothing."""

    duration_s: float


class EmptyProcessCost(Struct, frozen=True):
    """Processor time of the empty process."""

    cpu_s: float
    duration_s: float


class StartWorkers(Struct, frozen=True, tag=True):
    """Starts all workers, spread over a span."""

    spread_s: float


class WorkersStarting(Struct, frozen=True):
    """The resident memory of the process before its workers, and what one configuration added."""

    base_kb: int
    configuration_kb: int


class ListIncarnations(Struct, frozen=True, tag=True):
    """Asks for what another worker would learn of each worker by gossip."""


class MemberIntroduction(Struct, frozen=True):
    """One running worker, as another is introduced to it."""

    name: str
    number: int
    boot_id: int
    address: str
    site: str
    status_version: int
    status: bytes


class Incarnations(Struct, frozen=True):
    """Answers ListIncarnations."""

    members: list[MemberIntroduction]


class IntroduceMembers(Struct, frozen=True, tag=True):
    """Puts each worker in the state of one that has exchanged messages with all members for long."""

    members: list[MemberIntroduction]


class MembersIntroduced(Struct, frozen=True):
    """How many introductions were refused, because a worker lists as many members as it can."""

    refused_count: int


class Inspect(Struct, frozen=True, tag=True):
    """Asks for the state of the workers now."""


class Inspection(Struct, frozen=True):
    """Answers Inspect. `lateness_s`: the latest timer since the inspection before."""

    alive_counts: list[int]  # of each worker: the other members that it believes alive
    resident_kb: int
    lateness_s: float
    held_amount: int  # of all budgets, by all workers
    faults: dict[str, int]  # errors that workers logged, by event


class TakeSample(Struct, frozen=True, tag=True):
    """Asks for the counters of all workers."""


class WorkerSample(Struct, frozen=True):
    """Counters of one worker since its start."""

    name: str
    bytes_out: int
    bytes_in: int
    sent: int
    received: int
    peers_cpu_s: float
    stall_count: int
    death_count: int
    rejected_count: int
    tick_cpu_s: list[float]  # of each of the last ticks of the admission controller
    state_bytes: int  # of the statuses of other members
    status_bytes: int  # of its own


class ProcessSample(Struct, frozen=True):
    """Counters of one process and its workers."""

    at_s: float
    cpu_s: float
    harness_cpu_s: float  # of it, for inspections and samples
    workers: list[WorkerSample]
    resident_kb: int


class SetPartition(Struct, frozen=True, tag=True):
    """Cuts the network between the addresses inside and all others, or heals that cut."""

    inside: list[Address]
    active: bool


class RestartWorkers(Struct, frozen=True, tag=True):
    """Kills these workers, as SIGKILL would, and starts them again after a while."""

    names: list[str]
    downtime_s: float


class SetTemplate(Struct, frozen=True, tag=True):
    """Replaces the template of the configuration; no worker reads it yet."""

    text: str


class ReloadWorkers(Struct, frozen=True, tag=True):
    """Has the workers reload their configuration, one after the other.

    A worker has it in force once its first tenant has the quota that is named here.
    """

    expected_quota_per_s: float
    time_limit_s: float


class ReloadTimes(Struct):
    """Answers ReloadWorkers, with one element for each worker that has the change in force."""

    hold_s: list[float]  # for which the reload held up the event loop at most
    cpu_s: list[float]  # with that of other workers meanwhile
    in_force_s: list[float]
    missed_count: int


class Done(Struct, frozen=True):
    """Answers a command that asks for nothing."""


Command = (
    MeasureEmptyProcess
    | StartWorkers
    | ListIncarnations
    | IntroduceMembers
    | Inspect
    | TakeSample
    | SetPartition
    | RestartWorkers
    | SetTemplate
    | ReloadWorkers
)
Result = (
    EmptyProcessCost
    | WorkersStarting
    | Incarnations
    | MembersIntroduced
    | Inspection
    | ProcessSample
    | ReloadTimes
    | Done
)


class NumberedCommand(Struct, frozen=True):
    """One line of a parent process."""

    number: int
    command: Command


class Answer(Struct, frozen=True):
    """One line of a process: the encoded result of a command, or why it failed."""

    number: int
    result: Raw = Raw(b"null")
    error: str = ""
