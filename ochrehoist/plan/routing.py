"""What routers and clients of a fleet decide: where a try goes, whether another follows. No I/O.

Times are in seconds, of any clock.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import xxhash

from ochrehoist.config.fleet_description import Choice, Clients, Routers

UNREACHABLE_S = 1.0  # s that a router stays away from a worker that refused its connection


def rendezvous(subject: int, workers: Sequence[int]) -> int:
    """The same worker for a subject as long as it is there; others' subjects don't move when one goes."""
    return max(workers, key=lambda w: xxhash.xxh3_64_intdigest(w.to_bytes(4, "big"), subject & (1 << 64) - 1))


class Router:
    """One router: its view of the workers, and its choice among them."""

    def __init__(
        self, habits: Routers, workers: Sequence[int], weights: Sequence[float], heeds: bool, seed: int
    ) -> None:
        self.random = random.Random(seed)
        kept = habits.keep_to and habits.keep_to < len(workers)
        self.workers = sorted(self.random.sample(list(workers), habits.keep_to)) if kept else list(workers)
        self.habits, self.heeds = habits, heeds
        self.weights = dict(zip(workers, weights, strict=True))
        self.listed = set(self.workers)  # as it knows; changes are told to it late
        self.away: dict[int, float] = {}  # until when it stays away
        self.open = dict.fromkeys(workers, 0)
        self.turn = self.random.randrange(len(self.workers))

    def learn(self, worker: int, listed: bool) -> None:
        if worker in self.open and worker in self.workers:
            (self.listed.add if listed else self.listed.discard)(worker)

    def stay_away(self, worker: int, until: float) -> None:
        self.away[worker] = max(self.away.get(worker, 0.0), until)

    def pick(self, now: float, subject: int, tried: Sequence[int]) -> int | None:
        """None where no worker is listed that is worth a try."""
        listed = [w for w in self.workers if w in self.listed and w not in tried]
        near = [w for w in listed if self.away.get(w, 0.0) <= now]
        if self.habits.choice is Choice.SUBJECT and subject:
            # By subject whatever it costs: who stays away from its worker asks the next for it.
            return rendezvous(subject, near or listed) if listed else None
        if not near:
            return None
        match self.habits.choice:
            case Choice.LEAST:
                least = min(self.open[w] for w in near)
                return self.random.choice([w for w in near if self.open[w] == least])
            case Choice.TWO:
                two = self.random.sample(near, min(2, len(near)))
                return min(two, key=lambda w: self.open[w])
            case Choice.WEIGHTED:
                return self.random.choices(near, [self.weights[w] for w in near])[0]
        self.turn += 1
        return near[self.turn % len(near)]


class Answer(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"  # the worker was not there: nothing ran


class Next(Enum):
    END = "end"  # the client has what it gets
    TRY = "try"  # the router tries another worker
    CLIENT = "client"  # the client asks again, after its wait


@dataclass(slots=True)
class Call:
    """One wish of a client, over all its tries."""

    number: int
    cls: int
    tenant: int
    subject: int
    work: float  # seconds on a core of speed 1
    stated: float
    began: float
    aim: float  # moments
    due: float
    keyed: bool
    router: int
    tries: int = 0  # of routers
    client_tries: int = 0
    tried: list[int] = field(default_factory=list)  # workers, since the client asked last
    ran_at: int | None = None  # the worker that may have run a keyed one
    ended: bool = False
    inside: bool = True  # within its tenant's share
    memory_kb: float = 20.0  # while it is held
    open: Any = None  # the try that is under way


def after(
    call: Call, answer: Answer, final: bool, now: float, habits: Routers, clients: Clients
) -> tuple[Next, float]:
    """What follows an answer, and after how long. `final`: the worker wished that no other be tried."""
    if answer is Answer.SERVED:
        return Next.END, 0.0
    wait = 0.0 if answer is Answer.UNREACHABLE else habits.wait_ms / 1000
    unrun = answer in (Answer.REFUSED, Answer.UNREACHABLE)
    # What may have had its effect is not sent to others; the client's own repeat goes where it was.
    if unrun and not final and len(call.tried) <= habits.retries and now + wait < call.due:
        return Next.TRY, wait
    wait = clients.wait_ms / 1000
    if call.client_tries < clients.retries and now + wait < call.due:
        return Next.CLIENT, wait
    return Next.END, 0.0
