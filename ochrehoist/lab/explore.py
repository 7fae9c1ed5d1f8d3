"""All orders of events for one lease slot: requests, grants and releases that arrive, are lost or arrive
twice, deaths and restarts on either side, and time. Breadth first over the real LeaseGrantor and LeaseHolder,
each state once. No I/O.
"""

import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field

from ochrehoist.errors import OchrehoistError
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.leases import LeaseGrantor, LeaseHolder
from ochrehoist.peers.wire import Incarnation

TICK = 1.0  # s: half of the lease, and a little less than half of what grantors keep to


@dataclass(frozen=True)
class Bounds:
    """How much of each may happen on one path."""

    voters: int = 3
    asks: int = 2  # of each claimant
    gifts: int = 1
    kills: int = 1  # of voters and claimants together
    repeats: int = 1
    ticks: int = 4
    flying: int = 6  # messages on their way at once


@dataclass
class State:
    now: float
    grantors: list[LeaseGrantor]
    holders: list[LeaseHolder]
    lives: list[Incarnation]
    left: dict[str, int]
    flying: list[tuple] = field(default_factory=list)

    def key(self) -> tuple:
        """What the future depends on, with times told from now."""
        n = self.now

        def from_now(at: float) -> float:
            return round(max(-9.0, at - n), 3)

        voters = tuple(
            (
                tuple(
                    (r, v.incarnation, from_now(v.expires_at), v.round_number)
                    for r, v in sorted(x.grants.items())
                    if v.expires_at > n
                ),
                tuple(sorted(x.releases.items())),
                from_now(x.silent_until_by_floor[False]),
            )
            for x in self.grantors
        )
        holders = tuple(
            (
                h.round_number,
                tuple((r.number, from_now(r.requested_at)) for r in h.rounds),
                tuple(
                    (
                        r,
                        x.first_round,
                        tuple(sorted((k, from_now(u)) for k, u in x.expiry_by_grantor.items() if u > n)),
                    )
                    for r, x in h.leases.items()
                ),
            )
            for h in self.holders
        )
        return (
            voters,
            holders,
            tuple(self.lives),
            tuple(sorted(self.flying)),
            tuple(sorted(self.left.items())),
        )


class Doubled(OchrehoistError):
    """Two incarnations hold one slot at once; `path` is how that came about."""

    def __init__(self, path: list[str]) -> None:
        super().__init__(" ; ".join(path))
        self.path = path


def _budget(bounds: Bounds) -> Budget:
    return Budget(
        "one",
        1,
        tuple(f"v{n}" for n in range(bounds.voters)),
        lease_s=2.0,
        floor_fraction=0.0,
        floor_lease_s=2.0,
    )


def _start(bounds: Bounds) -> State:
    b = _budget(bounds)
    left = {
        "ask0": bounds.asks,
        "ask1": bounds.asks,
        "gift": bounds.gifts,
        "kill": bounds.kills,
        "repeat": bounds.repeats,
        "tick": bounds.ticks,
    }
    return State(
        0.0,
        [LeaseGrantor(b, -100.0) for _ in range(bounds.voters)],
        [LeaseHolder(b), LeaseHolder(b)],
        [Incarnation("a", 1, 1), Incarnation("b", 1, 1)],
        left,
    )


def _steps(s: State, bounds: Bounds) -> Iterator[str]:
    for n in range(2):
        if s.left[f"ask{n}"] and len(s.flying) + bounds.voters <= bounds.flying:
            yield f"ask {n}"
        if s.left["gift"] and 0 in s.holders[n].leases and s.holders[n].holds(0, s.now):
            yield f"gift {n}"
        if s.left["kill"]:
            yield f"kill holder {n}"
    for n in range(bounds.voters):
        if s.left["kill"]:
            yield f"kill voter {n}"
    for n, m in enumerate(s.flying):
        if m in s.flying[:n]:
            continue
        yield f"take {n}"  # one that is never taken is lost
        if s.left["repeat"]:
            yield f"again {n}"
    if s.left["tick"]:
        yield "tick"


def _do(s: State, step: str, bounds: Bounds) -> None:
    word, *rest = step.split()
    if word == "tick":
        s.left["tick"] -= 1
        s.now += TICK
    elif word == "ask":
        n = int(rest[0])
        s.left[f"ask{n}"] -= 1
        h = s.holders[n]
        h.request(0, s.now)
        h.begin_round(s.now)
        s.flying += [("request", v, s.lives[n], h.round_number) for v in range(bounds.voters)]
    elif word == "gift":
        n = int(rest[0])
        s.left["gift"] -= 1
        round_, _ = s.holders[n].drop([0])
        s.flying += [("released", v, s.lives[n], round_) for v in range(bounds.voters)]
    elif word == "kill":
        s.left["kill"] -= 1
        b, n = _budget(bounds), int(rest[1])
        if rest[0] == "voter":  # and at once there again, without a memory
            s.grantors[n] = LeaseGrantor(b, s.now)
            s.flying = [m for m in s.flying if m[0] == "granted" or m[1] != n]
        else:
            s.holders[n] = LeaseHolder(b)
            s.flying = [m for m in s.flying if m[0] != "granted" or m[2] != s.lives[n]]
            s.lives[n] = Incarnation(s.lives[n].name, s.lives[n].number + 1, 1)
    else:
        m = s.flying[int(rest[0])]
        if word == "again":  # taken, and there to be taken once more
            s.left["repeat"] -= 1
        else:
            s.flying.remove(m)
        _take(s, m)


def _take(s: State, m: tuple) -> None:
    kind, voter, life, round_ = m
    if kind == "request":
        terms = s.grantors[voter].budget.terms_digest
        if s.grantors[voter].grant(life, terms, round_, [0], s.now):
            s.flying.append(("granted", voter, life, round_))
    elif kind == "released":
        s.grantors[voter].release(life, round_, [0])
    elif life in s.lives:  # of a life that is over nobody hears
        s.holders[s.lives.index(life)].record_grant(f"v{voter}", round_, [0], s.now)


def replay(bounds: Bounds, steps: list[str]) -> bool:
    """Takes one path of named steps; whether two incarnations hold the slot at its end."""
    s = _start(bounds)
    for step in steps:
        word, at = (step.split() + ["0"])[:2]
        if word not in ("take", "again") or int(at) < len(s.flying):  # else it was never said
            _do(s, step, bounds)
    return all(h.holds(0, s.now) for h in s.holders)


def explore(bounds: Bounds, most: int = 2_000_000) -> int:
    """Visits every state within the bounds, and gives their number. Raises Doubled, and OverflowError where
    there are more than `most`."""
    first = _start(bounds)
    seen = {hash(first.key())}
    frontier: list[tuple[bytes, tuple]] = [(pickle.dumps(first, -1), ())]
    while frontier:
        following: list[tuple[bytes, tuple]] = []
        for data, path in frontier:
            steps = list(_steps(pickle.loads(data), bounds))
            for step in steps:
                s: State = pickle.loads(data)
                _do(s, step, bounds)
                key = hash(s.key())
                if key in seen:
                    continue
                if all(h.holds(0, s.now) for h in s.holders):
                    names = [step, path]
                    while names[-1]:
                        names[-1:] = list(names[-1])
                    raise Doubled(list(reversed(names[:-1])))
                seen.add(key)
                if len(seen) > most:
                    raise OverflowError(f"more than {most} states")
                following.append((pickle.dumps(s, -1), (step, path)))
        frontier = following
    return len(seen)
