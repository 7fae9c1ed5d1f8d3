"""The possible ends of a request: the result of its run, a failure or a rejection."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from ochrehoist.admission.events import Outcome


class FailureReason(Enum):
    """Reason for which a request failed. The values are the texts that fronts send to callers."""

    DEADLINE_PASSED = "no answer by the due time"
    EXECUTOR_FAILED = "the run failed"
    INTERNAL = "internal fault"
    OUTCOME_UNKNOWN = "whether it ran is not known yet"
    KEY_CONFLICT = "the key belongs to a filing with other content"


@dataclass(slots=True, frozen=True)
class RunResult:
    """Result of a run.

    Attributes:
        outcome: Whether the request ran, and how the run ended.
        body: The answer for the caller.
        detail: Data of the executor that created the result; the core does not read it.
        detail_bytes: Memory that `detail` uses.
        success: Whether the caller receives a success. A completed run may have an application error.
    """

    outcome: Outcome
    body: bytes = b""
    detail: Any = None
    detail_bytes: int = 0
    success: bool = True


@dataclass(slots=True, frozen=True)
class Rejection:
    """Rejection of a request on arrival.

    Attributes:
        retry_after_ns: Time that the caller should wait before its next attempt.
        outcome_unknown: Set if it is not known yet whether an earlier attempt ran. The request is then failed
            instead of rejected.
        no_retry: Whether the other workers would reject the request too.
    """

    retry_after_ns: int
    outcome_unknown: bool = False
    no_retry: bool = True
