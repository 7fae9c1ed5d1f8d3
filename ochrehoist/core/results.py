"""What becomes of a request: the result of its run, why it failed, or why it was rejected."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from ochrehoist.admission.events import Outcome


class FailureReason(Enum):
    """Why a request failed. The values are the texts that fronts give to callers."""

    DEADLINE_PASSED = "no answer by the due time"
    EXECUTOR_FAILED = "the run failed"
    INTERNAL = "internal fault"
    OUTCOME_UNKNOWN = "whether it ran is not known yet"
    KEY_CONFLICT = "the key belongs to a filing with other content"


@dataclass(slots=True, frozen=True)
class RunResult:
    """How a run ended.

    Attributes:
        outcome: Whether it ran, and how it ended.
        body: The answer for the caller.
        detail: Belongs to the executor that made it; the core passes it on unread.
        detail_bytes: Memory that `detail` takes.
        success: Whether the caller is told of success: a run may complete with an application error.
    """

    outcome: Outcome
    body: bytes = b""
    detail: Any = None
    detail_bytes: int = 0
    success: bool = True


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why a request is not accepted now.

    Attributes:
        retry_after_ns: How long the caller should wait before its next attempt.
        outcome_unknown: Whether an earlier attempt ran is not known yet: it fails and is not rejected.
        no_retry: No other worker would accept it either.
    """

    retry_after_ns: int
    outcome_unknown: bool = False
    no_retry: bool = True
