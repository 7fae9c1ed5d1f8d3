"""All orders of events for one lease slot: requests, grants, releases, deaths, restarts and time.

Messages arrive, are lost or arrive twice; grantors and holders die and restart. Breadth first over the real
LeaseGrantor and LeaseHolder, each state once. No I/O.
"""

import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any, NamedTuple

from ochrehoist.errors import OchrehoistError
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.leases import HeldLease, LeaseGrantor, LeaseHolder
from ochrehoist.peers.wire import Incarnation

TICK_S = 1.0  # half of the lease, and a little less than half of what grantors keep to
LEASE_S = 2.0
SLOT = 0
HOLDER_COUNT = 2
GRANTORS_STARTED_AT_S = -100.0  # long enough ago that they may grant at once
OLDEST_TOLD_APART_S = -9.0  # older times have the same effect
MAX_STATES = 2_000_000


@dataclass(frozen=True)
class Bounds:
    """How much of each may happen on one path; the field names are options of the command.

    `asks`: of each holder. `gifts`: releases. `kills`: of grantors and holders together. `repeats`: messages
    that arrive twice. `flying`: messages on their way at once.
    """

    voters: int = 3
    asks: int = 2
    gifts: int = 1
    kills: int = 1
    repeats: int = 1
    ticks: int = 4
    flying: int = 6


class MessageKind(IntEnum):
    """What grantors and holders send each other, in the order in which states sort them."""

    GRANTED = 0
    RELEASED = 1
    REQUEST = 2


class PendingMessage(NamedTuple):
    """A message on its way, of or to an incarnation of a holder."""

    kind: MessageKind
    grantor: int
    incarnation: Incarnation
    round_number: int


class StepKind(StrEnum):
    """What may happen next; the values are words of the paths that are told."""

    REQUEST = "ask"
    RELEASE = "gift"
    KILL = "kill"
    DELIVER = "take"
    DELIVER_COPY = "again"
    TICK = "tick"


@dataclass
class RemainingSteps:
    """How often each may still happen."""

    requests: list[int]  # by holder
    releases: int
    kills: int
    copies: int
    ticks: int

    def key(self) -> tuple[int, ...]:
        """As a part of a state's key."""
        return (*self.requests, self.releases, self.kills, self.copies, self.ticks)


@dataclass
class State:
    """All grantors and holders, and the messages between them."""

    now: float
    grantors: list[LeaseGrantor]
    holders: list[LeaseHolder]
    incarnations: list[Incarnation]  # of the holders
    remaining: RemainingSteps
    pending: list[PendingMessage] = field(default_factory=list)

    @property
    def is_doubled(self) -> bool:
        """Whether all holders hold the slot at once."""
        return all(holder.holds(SLOT, self.now) for holder in self.holders)

    def key(self) -> tuple[Any, ...]:
        """What the future depends on, with times counted from now."""
        return (
            tuple(self._grantor_key(grantor) for grantor in self.grantors),
            tuple(self._holder_key(holder) for holder in self.holders),
            tuple(self.incarnations),
            tuple(sorted(self.pending)),
            self.remaining.key(),
        )

    def _from_now(self, at: float) -> float:
        return round(max(OLDEST_TOLD_APART_S, at - self.now), 3)

    def _grantor_key(self, grantor: LeaseGrantor) -> tuple[Any, ...]:
        grants = tuple(
            (slot, grant.incarnation, self._from_now(grant.expires_at), grant.round_number)
            for slot, grant in sorted(grantor.grants.items())
            if grant.expires_at > self.now
        )
        silent_until = self._from_now(grantor.no_grants_until_by_floor[False])
        return grants, tuple(sorted(grantor.releases.items())), silent_until

    def _holder_key(self, holder: LeaseHolder) -> tuple[Any, ...]:
        rounds = tuple((each.number, self._from_now(each.requested_at)) for each in holder.rounds)
        leases = tuple((slot, *self._lease_key(lease)) for slot, lease in holder.leases.items())
        return holder.round_number, rounds, leases

    def _lease_key(self, lease: HeldLease) -> tuple[Any, ...]:
        expiries = sorted(
            (grantor, self._from_now(expiry))
            for grantor, expiry in lease.expiry_by_grantor.items()
            if expiry > self.now
        )
        return lease.first_valid_round, tuple(expiries)


class SlotDoubledError(OchrehoistError):
    """Two incarnations hold one slot at once; `path` is how that came about."""

    def __init__(self, path: list[str]) -> None:
        super().__init__(" ; ".join(path))
        self.path = path


class TooManyStatesError(OverflowError):
    """There are more states than were to be visited."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"more than {limit} states")


def _budget(bounds: Bounds) -> Budget:
    return Budget(
        "one",
        1,
        tuple(f"v{number}" for number in range(bounds.voters)),
        lease_s=LEASE_S,
        floor_fraction=0.0,
        floor_lease_s=LEASE_S,
    )


def _initial_state(bounds: Bounds) -> State:
    budget = _budget(bounds)
    return State(
        0.0,
        [LeaseGrantor(budget, GRANTORS_STARTED_AT_S) for _ in range(bounds.voters)],
        [LeaseHolder(budget) for _ in range(HOLDER_COUNT)],
        [Incarnation("a", 1, 1), Incarnation("b", 1, 1)],
        RemainingSteps(
            [bounds.asks] * HOLDER_COUNT, bounds.gifts, bounds.kills, bounds.repeats, bounds.ticks
        ),
    )


# Which steps are possible.


def _possible_steps(state: State, bounds: Bounds) -> Iterator[str]:
    for holder in range(HOLDER_COUNT):
        yield from _holder_steps(state, bounds, holder)
    if state.remaining.kills:
        for grantor in range(bounds.voters):
            yield f"{StepKind.KILL} voter {grantor}"
    yield from _delivery_steps(state)
    if state.remaining.ticks:
        yield StepKind.TICK


def _holder_steps(state: State, bounds: Bounds, number: int) -> Iterator[str]:
    holder = state.holders[number]
    if state.remaining.requests[number] and len(state.pending) + bounds.voters <= bounds.flying:
        yield f"{StepKind.REQUEST} {number}"
    if state.remaining.releases and SLOT in holder.leases and holder.holds(SLOT, state.now):
        yield f"{StepKind.RELEASE} {number}"
    if state.remaining.kills:
        yield f"{StepKind.KILL} holder {number}"


def _delivery_steps(state: State) -> Iterator[str]:
    """A message that is never delivered is lost."""
    for position, message in enumerate(state.pending):
        if message in state.pending[:position]:
            continue
        yield f"{StepKind.DELIVER} {position}"
        if state.remaining.copies:
            yield f"{StepKind.DELIVER_COPY} {position}"


# What they do.


def _take_step(state: State, step: str, bounds: Bounds) -> None:
    """Takes a step, as `_possible_steps` writes it."""
    word, *arguments = step.split()
    kind = StepKind(word)
    if kind is StepKind.TICK:
        state.remaining.ticks -= 1
        state.now += TICK_S
    elif kind is StepKind.KILL:
        state.remaining.kills -= 1
        kill = _restart_grantor if arguments[0] == "voter" else _restart_holder
        kill(state, int(arguments[1]), _budget(bounds))
    else:
        _NUMBERED_STEPS[kind](state, int(arguments[0]))


def _request(state: State, number: int) -> None:
    state.remaining.requests[number] -= 1
    holder = state.holders[number]
    holder.request(SLOT, state.now)
    holder.begin_round(state.now)
    _send_to_grantors(state, MessageKind.REQUEST, number, holder.round_number)


def _release(state: State, number: int) -> None:
    state.remaining.releases -= 1
    round_number, _ = state.holders[number].drop([SLOT])
    _send_to_grantors(state, MessageKind.RELEASED, number, round_number)


def _send_to_grantors(state: State, kind: MessageKind, holder: int, round_number: int) -> None:
    incarnation = state.incarnations[holder]
    state.pending += [
        PendingMessage(kind, grantor, incarnation, round_number) for grantor in range(len(state.grantors))
    ]


def _restart_grantor(state: State, number: int, budget: Budget) -> None:
    """It is there again at once, without a memory; what was on its way to it is lost."""
    state.grantors[number] = LeaseGrantor(budget, state.now)
    state.pending = [
        message
        for message in state.pending
        if message.kind is MessageKind.GRANTED or message.grantor != number
    ]


def _restart_holder(state: State, number: int, budget: Budget) -> None:
    """It is there again at once as another incarnation; what was on its way to it is lost."""
    old = state.incarnations[number]
    state.holders[number] = LeaseHolder(budget)
    state.pending = [
        message
        for message in state.pending
        if message.kind is not MessageKind.GRANTED or message.incarnation != old
    ]
    state.incarnations[number] = Incarnation(old.name, old.number + 1, 1)


def _deliver(state: State, position: int) -> None:
    message = state.pending[position]
    state.pending.remove(message)
    _receive(state, message)


def _deliver_copy(state: State, position: int) -> None:
    """Delivers a message that stays, to be delivered once more."""
    state.remaining.copies -= 1
    _receive(state, state.pending[position])


def _receive(state: State, message: PendingMessage) -> None:
    grantor = state.grantors[message.grantor]
    if message.kind is MessageKind.REQUEST:
        terms = grantor.budget.terms_digest
        if grantor.grant(message.incarnation, terms, message.round_number, [SLOT], state.now):
            state.pending.append(message._replace(kind=MessageKind.GRANTED))
    elif message.kind is MessageKind.RELEASED:
        grantor.release(message.incarnation, message.round_number, [SLOT])
    elif message.incarnation in state.incarnations:  # else its process has ended
        holder = state.holders[state.incarnations.index(message.incarnation)]
        holder.record_grant(f"v{message.grantor}", message.round_number, [SLOT], state.now)


_NUMBERED_STEPS: dict[StepKind, Callable[[State, int], None]] = {
    StepKind.REQUEST: _request,
    StepKind.RELEASE: _release,
    StepKind.DELIVER: _deliver,
    StepKind.DELIVER_COPY: _deliver_copy,
}


# Paths and all of them.


def replay(bounds: Bounds, steps: list[str]) -> bool:
    """Takes one path of named steps; whether two incarnations hold the slot at its end."""
    state = _initial_state(bounds)
    for step in steps:
        word, position = [*step.split(), "0"][:2]
        delivers = word in (StepKind.DELIVER, StepKind.DELIVER_COPY)
        if not delivers or int(position) < len(state.pending):  # else the message was never sent
            _take_step(state, step, bounds)
    return state.is_doubled


@dataclass(frozen=True)
class Path:
    """How a state was reached: the last step, and the path before it."""

    step: str
    before: "Path | None"

    def steps(self) -> list[str]:
        """All steps from the first on."""
        reversed_steps = []
        path: Path | None = self
        while path is not None:
            reversed_steps.append(path.step)
            path = path.before
        return reversed_steps[::-1]


def explore(bounds: Bounds, max_states: int = MAX_STATES) -> int:
    """Visits every state within the bounds, and returns their number.

    Raises SlotDoubledError, and TooManyStatesError where there are more than `max_states`.
    """
    first = _initial_state(bounds)
    seen = {hash(first.key())}
    frontier: list[tuple[bytes, Path | None]] = [(pickle.dumps(first, -1), None)]
    while frontier:
        following: list[tuple[bytes, Path | None]] = []
        for data, path in frontier:
            for step in _possible_steps(pickle.loads(data), bounds):
                state: State = pickle.loads(data)
                _take_step(state, step, bounds)
                key = hash(state.key())
                if key in seen:
                    continue
                reached = Path(step, path)
                if state.is_doubled:
                    raise SlotDoubledError(reached.steps())
                seen.add(key)
                if len(seen) > max_states:
                    raise TooManyStatesError(max_states)
                following.append((pickle.dumps(state, -1), reached))
        frontier = following
    return len(seen)
