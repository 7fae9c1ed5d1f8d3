"""What a run of a scenario is judged by: what callers were answered, what services ran, what was done.

Times are in s since the run began.
"""

from dataclasses import dataclass, field
from typing import Any

from ochrehoist.lab.fault_schedule import FaultKind

RunRecord = dict[str, Any]  # the result of one run, as its file has it

# The status of an attempt: that of its answer, or why there is none.
SERVED = 200
FAILED = 502
REJECTED = 503
NO_ANSWER = 0  # the connection was lost
CONNECTION_REFUSED = -1  # nothing was ever sent
CROSSED_FAREWELL = -2  # the worker said farewell as the request came: it never ran


@dataclass(slots=True)
class Attempt:
    """One attempt of a call at a worker; `process_number` counts the processes of that worker."""

    worker: str
    process_number: int
    started_s: float
    ended_s: float | None = None
    status: int = NO_ANSWER

    @property
    def may_have_run(self) -> bool:
        """Whether the request reached the worker and was not rejected."""
        return self.status not in (REJECTED, CONNECTION_REFUSED)


@dataclass(slots=True)
class Call:
    """One call of a caller, with its attempts."""

    number: int
    request_class: str
    tenant: str
    weight: float
    started_s: float
    objective_s: float  # until when an answer is of use
    due_s: float  # until when a caller waits
    idempotency_key: str = ""
    subject: int = 0
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Whether it was served within its latency objective."""
        return any(
            attempt.status == SERVED and attempt.ended_s is not None and attempt.ended_s <= self.objective_s
            for attempt in self.attempts
        )

    @property
    def timeout_s(self) -> float:
        """How long a caller waits."""
        return self.due_s - self.started_s


@dataclass(slots=True)
class ServiceRun:
    """One request as a service saw it."""

    service: str
    worker: str
    call_number: int
    attempt_number: int  # of the caller
    idempotency_key: str
    started_s: float
    ended_s: float | None = None


@dataclass(slots=True, frozen=True)
class FaultSpan:
    """What was done to a worker, a service or its links, and from when to when."""

    kind: FaultKind
    target: str
    since_s: float
    until_s: float


@dataclass(slots=True, frozen=True)
class SlotHolding:
    """A process of a worker held a lease slot of a budget, for sure, all through this span."""

    budget: str
    slot: str
    worker: str
    process_number: int
    since_s: float
    until_s: float

    @property
    def holder(self) -> tuple[str, int]:
        """The process that held it."""
        return self.worker, self.process_number
