"""A completely read request, the state of its handling, and what answers and runs it."""

from __future__ import annotations

import itertools
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from ochrehoist.admission.settings import RequestClass

if TYPE_CHECKING:
    from ochrehoist.core.results import FailureReason, RunResult

# Identifies one filing: the names of its tenant and class, and the key that the caller chose.
IdempotencyKey = tuple[str | None, str, str]

# Digests of a filing's target (None if the wire protocol has none) and of its body.
Fingerprint = tuple[bytes | None, bytes]

SERIAL_BASE_BYTES = 6  # serial numbers stay exact in JSON readers that use 64-bit floats
NO_SERIAL = 0  # of a request that was handed over by a release without serial numbers

# The random base separates the serial numbers of a process from those of the process that it replaces.
_serials = itertools.count(int.from_bytes(os.urandom(SERIAL_BASE_BYTES), "big") + 1)
_next_serial = _serials.__next__


class RequestReference(NamedTuple):
    """Names one request, also after it has ended.

    An id alone does not: callers choose the ids, and another request may have the same one.

    Attributes:
        id: The id that the caller chose.
        serial: Distinguishes the requests that share an id, over all processes of this worker.
    """

    id: str
    serial: int


def new_reference(request_id: str) -> RequestReference:
    """Returns a reference that no request has; for an ended request of which only the id is known."""
    return RequestReference(request_id, _next_serial())


class Responder(Protocol):
    """Sender of one final answer to the caller. A caller that has disconnected is not an error."""

    def served(self, result: RunResult) -> bool:
        """Sends a result; returns False if the wire protocol cannot carry it and a failure was sent."""
        ...

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:
        """Sends a rejection: the request did not run."""
        ...

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        """Sends a failure; `result` is that of the run, if it has ended."""
        ...

    def origin(self) -> tuple[str, str]:
        """Returns the name of the front and the caller's address; empty texts if unknown."""
        ...


class Executor(Protocol):
    """Service that runs requests."""

    def start(self, request: InboundRequest) -> None:
        """Starts a run.

        Exactly one RunCompleted message is posted for each start, also after a failure. If this method
        raises, the core posts it.
        """
        ...


@dataclass(slots=True, eq=False)
class InboundRequest:
    """One completely read request and the state of its handling.

    Attributes:
        id: Chosen by the caller; unique among the open requests of this worker.
        request_class: The class as configured when the request was read; later settings do not change it.
        arrived_ns: When the request reached the machine: Unix time from the front, the core's clock once
            accepted.
        payload: Data for the executor; the core does not read it.
        responder: Sends the answer to the caller.
        executor: Runs the request.
        tenant: Name of the tenant, if any.
        routing_key: The key by which routers choose the worker, if any.
        idempotency_key: Set for filings only.
        unconfirmed_key: A key that the caller sent though the class has no keys now. It names a filing only
            if one is known under it, from before the class or the rules were changed.
        other_keys: Further keys under which an earlier attempt may be known, because the configuration from
            which the front derives keys was changed in between.
        fingerprint: Digests of the content, for requests with an idempotency key.
        subject_hash: Hash of the subject and the caller, the same for all attempts; 0 if unknown.
        work_ns: CPU time that the caller stated, if any.
        memory_kb: Memory that the run will use.
        rank: Priority within the class, chosen by the caller.
        is_retry: Whether the caller marked the request as a retry.
        is_write: Whether running the request changes data.
        caller: Identifies the connection on which the request arrived.
        due_ns: Answer deadline, by the core's clock.
        started_ns: When the request was started on its executor; 0 before.
        attached_ns: When the request was attached to the run that it duplicates; 0 if it was not.
        cost_multiple: Predicted cost as a multiple of the usual cost of the class.
        answered: Whether an answer was sent or the caller has disconnected.
        started: Whether the controller has decided to run the request.
        is_remote: Whether another process read the request, and answers, counts and runs it.
        serial: Distinguishes the request from others of the same id.
        reference: The reference by which messages and the admission controller name this request.
    """

    id: str
    request_class: RequestClass
    arrived_ns: int
    payload: Any
    responder: Responder
    executor: Executor
    tenant: str | None = None
    routing_key: str | None = None
    idempotency_key: IdempotencyKey | None = None
    unconfirmed_key: IdempotencyKey | None = None
    other_keys: tuple[IdempotencyKey, ...] = ()
    fingerprint: Fingerprint | None = None
    subject_hash: int = 0
    work_ns: int | None = None
    memory_kb: float = 0.0
    rank: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    caller: int = 0
    due_ns: int = 0
    started_ns: int = 0
    attached_ns: int = 0
    cost_multiple: float = 1.0
    answered: bool = False
    started: bool = False
    is_remote: bool = False
    serial: int = field(default_factory=_next_serial)
    reference: RequestReference = field(init=False)

    def __post_init__(self) -> None:
        self.reference = RequestReference(self.id, self.serial)


def find_request(
    requests: Mapping[str, InboundRequest], reference: RequestReference
) -> InboundRequest | None:
    """Returns the request of this reference from `requests`, which are by id.

    Returns None if the request is not among them, even if another one of its id is.
    """
    request = requests.get(reference.id)
    return request if request is not None and request.serial == reference.serial else None
