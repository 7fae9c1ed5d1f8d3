"""What becomes of a request: the result of its run, why it failed, or why it was rejected."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from ochrehoist.admission.events import Outcome


class FailureReason(Enum):
    """Why a request failed, for fronts that tell it apart."""

    GIVEN_UP = "no answer by the due time"
    EXECUTOR = "the run failed"
    INTERNAL = "internal fault"
    MAY_HAVE_RUN = "whether it ran is not known yet"
    OTHER_CONTENT = "the key belongs to a filing with other content"


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

    backoff: int
    may_have_run: bool = False
    no_retry: bool = True  # no other worker would take it either
