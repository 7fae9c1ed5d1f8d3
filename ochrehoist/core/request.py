"""A request that was read whole, and how far it has come."""

from dataclasses import dataclass
from typing import Any

from ochrehoist.admission.settings import RequestClass
from ochrehoist.core.protocols import Executor, Responder

IdempotencyKey = tuple[str | None, str, str]  # names of tenant and class, and the caller's token: one filing


# Digests of what one filing says: of its target, where the wire has one, and of its body.
Fingerprint = tuple[bytes | None, bytes]


@dataclass(slots=True, eq=False)
class InboundRequest:
    """One request that was read whole, and how far it has come."""

    id: str
    request_class: RequestClass  # as it was when the request was read: an open request keeps it
    arrived_ns: int  # Unix ns when it reached the machine
    payload: Any  # for the executor, unread here
    responder: Responder
    executor: Executor
    tenant: str | None = None
    routing_key: str | None = None
    idempotency_key: IdempotencyKey | None = None
    fingerprint: Fingerprint | None = None
    subject_hash: int = (
        0  # what is asked and by whom, hashed: alike in all tries; 0 where the front tells none
    )
    work_ns: int | None = None
    memory_kb: float = 0.0
    rank: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    caller: int = 0
    due_ns: int = 0
    started_ns: int = 0  # 0: not begun
    attached_ns: int = 0
    cost_multiple: float = 1.0  # the usual cost of its class, as a Limiter foresaw it
    answered: bool = False  # or the caller has gone: no answer is owed
    started: bool = False
    is_remote: bool = False  # read by another process, which answers it, counts it and runs it
