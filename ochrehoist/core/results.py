"""What becomes of a request: the result of its run, why it failed, or why it was rejected."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from ochrehoist.admission.events import Outcome


class FailureReason(Enum):
    """Why a request failed, for fronts that tell it apart."""

    DEADLINE_PASSED = "no answer by the due time"
    EXECUTOR_FAILED = "the run failed"
    INTERNAL = "internal fault"
    OUTCOME_UNKNOWN = "whether it ran is not known yet"
    KEY_CONFLICT = "the key belongs to a filing with other content"


@dataclass(slots=True, frozen=True)
class RunResult:
    """How a run ended. `detail` belongs to the executor that made it; the core passes it on unread."""

    outcome: Outcome
    body: bytes = b""
    detail: Any = None
    detail_bytes: int = 0  # what it takes in memory
    success: bool = True  # to the caller, on any wire: a run may end well with an error


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why the journal takes no filing now: for how long (ns), or because what ran is not known yet."""

    retry_after_ns: int
    outcome_unknown: bool = False
    no_retry: bool = True  # no other worker would take it either
