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
    cls: RequestClass  # as it was when the request was read: an open request keeps it
    arrived: int  # Unix ns when it reached the machine
    payload: Any  # for the executor, unread here
    responder: Responder
    executor: Executor
    tenant: str | None = None
    key: str | None = None
    token: IdempotencyKey | None = None
    fingerprint: Fingerprint | None = None
    subject: int = 0  # what is asked and by whom, hashed: alike in all tries; 0 where the front tells none
    work: int | None = None
    memory_kb: float = 0.0
    rank: float = 0.0
    retry: bool = False
    write: bool = False
    caller: int = 0
    due: int = 0
    begun_at: int = 0  # 0: not begun
    joined_at: int = 0
    times: float = 1.0  # the usual cost of its class, as a Limiter foresaw it
    answered: bool = False  # or the caller has gone: no answer is owed
    started: bool = False
    remote: bool = False  # read by another process, which answers it, counts it and runs it
