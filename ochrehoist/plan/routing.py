"""What routers and clients of a fleet decide: where an attempt goes, whether another follows. No I/O.

Times are in seconds, of any clock; workers and routers are indices into the fleet's lists.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import xxhash

from ochrehoist.config.fleet_description import Clients, Routers, WorkerSelection

UNREACHABLE_BACKOFF_S = 1.0  # for which a router avoids a worker that refused its connection
SUBJECT_MASK = (1 << 64) - 1
DEFAULT_MEMORY_KB = 20.0


def rendezvous(subject: int, workers: Sequence[int]) -> int:
    """The worker with the highest hash for a subject.

    It stays the same as long as that worker is there; when another one goes, only that one's subjects move.
    """
    return max(
        workers,
        key=lambda worker: xxhash.xxh3_64_intdigest(worker.to_bytes(4, "big"), subject & SUBJECT_MASK),
    )


class Router:
    """One router: its view of the workers, and its choice among them.

    Attributes:
        habits: As described.
        honors_retry_after: Whether it avoids a worker for as long as a rejection says.
        workers: Those that it may choose at all.
        open_requests: Its requests that are not answered, by worker; the run that it is part of counts them.
    """

    def __init__(
        self,
        habits: Routers,
        workers: Sequence[int],
        weights: Sequence[float],
        honors_retry_after: bool,
        seed: int,
    ) -> None:
        self.habits = habits
        self.honors_retry_after = honors_retry_after
        self.open_requests = dict.fromkeys(workers, 0)
        self._random = random.Random(seed)
        self.workers = self._draw_subset(workers, habits.keep_to)
        self._weights = dict(zip(workers, weights, strict=True))
        self._listed = set(self.workers)
        self._avoided_until: dict[int, float] = {}
        self._turn = self._random.randrange(len(self.workers))

    def _draw_subset(self, workers: Sequence[int], size: int) -> list[int]:
        if not size or size >= len(workers):
            return list(workers)
        return sorted(self._random.sample(list(workers), size))

    def set_listed(self, worker: int, listed: bool) -> None:
        """The endpoint list now has the worker, or no longer has it."""
        if worker not in self.workers:
            return
        if listed:
            self._listed.add(worker)
        else:
            self._listed.discard(worker)

    def avoid(self, worker: int, until: float) -> None:
        """Sends nothing there until then, if there is another."""
        self._avoided_until[worker] = max(self._avoided_until.get(worker, 0.0), until)

    def pick(self, now: float, subject: int, tried: Sequence[int]) -> int | None:
        """The worker for the next attempt; None where none is listed that is worth one."""
        listed = [worker for worker in self.workers if worker in self._listed and worker not in tried]
        available = [worker for worker in listed if self._avoided_until.get(worker, 0.0) <= now]
        if self.habits.choice is WorkerSelection.SUBJECT_HASH and subject:
            # By subject even where all are avoided: the next one by hash is asked in its place.
            return rendezvous(subject, available or listed) if listed else None
        if not available:
            return None
        match self.habits.choice:
            case WorkerSelection.LEAST_OPEN:
                return self._pick_least_open(available)
            case WorkerSelection.POWER_OF_TWO:
                two = self._random.sample(available, min(2, len(available)))
                return min(two, key=lambda worker: self.open_requests[worker])
            case WorkerSelection.WEIGHTED:
                return self._random.choices(available, [self._weights[worker] for worker in available])[0]
        self._turn += 1
        return available[self._turn % len(available)]

    def _pick_least_open(self, available: Sequence[int]) -> int:
        least = min(self.open_requests[worker] for worker in available)
        return self._random.choice([worker for worker in available if self.open_requests[worker] == least])


class Answer(Enum):
    """What an attempt got from a worker."""

    SERVED = "served"
    REFUSED = "refused"  # rejected: it did not run
    FAILED = "failed"  # it may have run
    UNREACHABLE = "unreachable"  # no connection: it did not run


class Reply(NamedTuple):
    """An answer, with what a rejection says of retries.

    Attributes:
        answer: What became of the attempt.
        retry_after_s: For so long the worker wants no further attempt; 0 where it says nothing.
        no_retry: The worker wishes that no other worker be tried.
    """

    answer: Answer
    retry_after_s: float = 0.0
    no_retry: bool = False


class NextStep(Enum):
    """What follows an attempt."""

    END = "end"  # the client has its answer
    RETRY = "retry"  # the router tries another worker
    CLIENT_RETRY = "client retry"  # the client calls again


class Decision(NamedTuple):
    """The next step, and the delay before it in s."""

    step: NextStep
    delay_s: float = 0.0


@dataclass(slots=True)
class Call:
    """One call of a client, over all its attempts. Moments are s since the start of the run.

    Attributes:
        number: Unique within the run.
        subject: What it is about; 0 for nothing.
        work_s: CPU time on a core of speed 1.
        stated_work_s: CPU time as the request states it.
        objective_at: The moment of its latency objective.
        deadline_at: The moment at which the client gives up.
        has_idempotency_key: A repeat must go to the worker that may have run it.
        attempts: By routers, over all of the client's own.
        client_retries: Calls of the client after the first.
        tried: Workers since the client called last.
        ran_on: The worker that may have run a call with a key.
        ended: The client has its answer, or gave up.
        within_quota: Of its tenant.
        memory_kb: While a worker holds it.
    """

    number: int
    class_index: int
    tenant_index: int
    subject: int
    work_s: float
    stated_work_s: float
    began_at: float
    objective_at: float
    deadline_at: float
    has_idempotency_key: bool
    router_index: int
    attempts: int = 0
    client_retries: int = 0
    tried: list[int] = field(default_factory=list)
    ran_on: int | None = None
    ended: bool = False
    within_quota: bool = True
    memory_kb: float = DEFAULT_MEMORY_KB


def next_step(call: Call, reply: Reply, now: float, habits: Routers, clients: Clients) -> Decision:
    """What follows a reply. Nothing is sent that could not begin before the deadline.

    What may have run is not sent to another worker; the client's own retry goes back to the same one.
    """
    answer = reply.answer
    if answer is Answer.SERVED:
        return Decision(NextStep.END)
    never_ran = answer in (Answer.REFUSED, Answer.UNREACHABLE)
    delay_s = 0.0 if answer is Answer.UNREACHABLE else habits.wait_ms / 1000
    may_retry = never_ran and not reply.no_retry and len(call.tried) <= habits.retries
    if may_retry and now + delay_s < call.deadline_at:
        return Decision(NextStep.RETRY, delay_s)
    delay_s = clients.wait_ms / 1000
    if call.client_retries < clients.retries and now + delay_s < call.deadline_at:
        return Decision(NextStep.CLIENT_RETRY, delay_s)
    return Decision(NextStep.END)
