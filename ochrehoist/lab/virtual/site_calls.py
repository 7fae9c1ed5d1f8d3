"""Calls of the clients of several sites, and what the workers are configured with for them."""

from dataclasses import dataclass
from enum import Enum, auto

from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass
from ochrehoist.units import NS_PER_S

READ = "read"
FILING = "filing"
LATENCY_OBJECTIVE_S = 1.8
DEADLINE_S = 4.5
FILING_WEIGHT = 3.0
READ_WEIGHT = 1.0
IDEMPOTENCY_WINDOW_S = 20
COLLAPSE_AFTER_S = 2
MAX_RETRY_AFTER_S = 1


class CallOutcome(Enum):
    """What an attempt came to."""

    SERVED = auto()
    REJECTED = auto()  # it never ran
    LOST = auto()  # nobody knows whether it ran


@dataclass
class Call:
    """One call of a client, over all its attempts."""

    number: int
    is_filing: bool
    work_s: float
    started_s: float
    attempts: int = 0
    ended: bool = False
    succeeded: bool = False  # served within the latency objective
    gate_rejections: int = 0
    served_after_rejection: bool = False  # by another worker, after a gate had rejected it

    @property
    def weight(self) -> float:
        """Its priority weight."""
        return FILING_WEIGHT if self.is_filing else READ_WEIGHT

    @property
    def request_class(self) -> str:
        """The name of its class."""
        return FILING if self.is_filing else READ

    @property
    def class_index(self) -> int:
        """The position of its class in the settings."""
        return int(self.is_filing)


def admission_settings(cores: int) -> AdmissionSettings:
    """A class of reads and one of filings, for workers with so many cores."""
    read = RequestClass(
        name=READ,
        latency_objective_ns=int(LATENCY_OBJECTIVE_S * NS_PER_S),
        deadline_ns=int(DEADLINE_S * NS_PER_S),
        idempotency=Idempotency.IDEMPOTENT,
    )
    filing = RequestClass(
        name=FILING,
        latency_objective_ns=int(LATENCY_OBJECTIVE_S * NS_PER_S),
        deadline_ns=int(DEADLINE_S * NS_PER_S),
        priority_weight=FILING_WEIGHT,
        idempotency=Idempotency.KEYED,
        idempotency_window_ns=IDEMPOTENCY_WINDOW_S * NS_PER_S,
    )
    return AdmissionSettings(
        classes=(read, filing),
        cores=cores,
        memory_kb=1e6,
        collapse_multiple=8.0,
        collapse_after_ns=COLLAPSE_AFTER_S * NS_PER_S,
        max_retry_after_ns=MAX_RETRY_AFTER_S * NS_PER_S,
    )
