"""A request that was read completely, and how far it has come."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ochrehoist.admission.settings import RequestClass

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Executor, Responder

# Names of tenant and class, and the caller's own key: identifies one filing.
IdempotencyKey = tuple[str | None, str, str]

# Digests of what one filing says: of its target, where the wire has one, and of its body.
Fingerprint = tuple[bytes | None, bytes]


@dataclass(slots=True, eq=False)
class InboundRequest:
    """One request that was read completely, and how far it has come.

    Attributes:
        id: Unique among the requests of this worker.
        request_class: As it was when the request was read: an open request keeps it.
        arrived_ns: When it reached the machine: Unix time from the front, the core's clock once accepted.
        payload: For the executor; the core does not read it.
        responder: Carries the answer to the caller.
        executor: Runs the request.
        tenant: Name of the tenant, if any.
        routing_key: The key by which routers place the request, if any.
        idempotency_key: Set for filings only.
        fingerprint: Digests of the content, for requests with an idempotency key.
        subject_hash: Hash of what is asked and by whom, the same in all attempts; 0 where unknown.
        work_ns: CPU time that the caller stated, if any.
        memory_kb: Memory that the run will take.
        rank: The caller's own priority within its class.
        is_retry: Whether the caller marked it as a retry.
        is_write: Whether running it changes data.
        caller: Identifies the connection that it came by.
        due_ns: When it must have been answered, by the core's clock.
        started_ns: When the executor was given it; 0 if it was not.
        attached_ns: When it was attached to the run that it duplicates; 0 if it was not.
        cost_multiple: Its predicted cost as a multiple of the usual cost of its class.
        answered: No answer is owed: it was sent, or the caller has disconnected.
        started: The controller has decided to run it.
        is_remote: Read by another process, which answers it, counts it and runs it.
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
