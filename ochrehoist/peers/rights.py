"""Budgets that hold with no message at all: rights that a majority of voters vouches for, for a time.

A budget is cut into rights. One is used only by a life for which a majority of the voters vouches; a voter
vouches for one life at a time, and for longer, by its own steady clock, than the holder counts from when it
asked. Two majorities share a voter, so two lives never hold one right at once: under any cut, death, pause or
late message. A voter that has just started may have vouched before: it waits for the longest lease. No I/O;
times in seconds.
"""

from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b

from ochrehoist.peers.wire import Incarnation

DRIFT = 0.02  # share by which two steady clocks may differ in speed
GUARD_S = 0.05  # by which a voter vouches longer besides
WINDOW_S = 1.0  # a rate is kept in any span so long
CLAIM_S = 1.5  # a claim that has no majority by then is taken back
MOST_RIGHTS = 64  # of a budget


@dataclass(frozen=True)
class Budget:
    """`runs`: so many at once, each of at most `longest_s`; else so many in any second."""

    name: str
    amount: int
    voters: tuple[str, ...]
    runs: bool = False
    lease_s: float = 2.0
    floor: float = 0.1  # share of a voter's own rights that only it holds, for
    floor_lease_s: float = 30.0
    longest_s: float = 0.0
    parts: int = 0  # rights; 0: ten for each voter

    @property
    def rights(self) -> int:
        return max(1, min(self.amount, self.parts or 10 * len(self.voters), MOST_RIGHTS))

    def size(self, right: int) -> int:
        whole, rest = divmod(self.amount, self.rights)
        return whole + (right >= self.rights - rest)  # floors, which come first, are the small ones

    def home(self, right: int) -> str:
        return self.voters[right % len(self.voters)]

    def is_floor(self, right: int) -> bool:
        mine = range(right % len(self.voters), self.rights, len(self.voters))
        return right // len(self.voters) < int(len(mine) * self.floor)

    def lease(self, right: int) -> float:
        return (self.floor_lease_s if self.is_floor(right) else self.lease_s) + self.longest_s

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def terms(self) -> str:
        """Voters vouch only for those who count by the same terms."""
        text = repr(
            (
                self.name,
                self.amount,
                self.voters,
                self.runs,
                self.lease_s,
                self.floor,
                self.floor_lease_s,
                self.longest_s,
                self.rights,
            )
        )
        return blake2b(text.encode(), digest_size=6).hexdigest()


@dataclass(slots=True)
class Vouch:
    life: Incarnation
    until: float
    round: int


class Voter:
    """One voter's word for the rights of one budget. `born`: when its process started."""

    def __init__(self, budget: Budget, born: float) -> None:
        self.vouches: dict[int, Vouch] = {}
        self.released: dict[int, tuple[Incarnation, int]] = {}
        self.budget = budget
        # A process before this one may have vouched until then: by floor or not.
        self.silent = {floor: born + self._whole(budget, floor) for floor in (False, True)}

    @staticmethod
    def _whole(budget: Budget, floor: bool) -> float:
        lease = (budget.floor_lease_s if floor else budget.lease_s) + budget.longest_s
        return lease * (1 + 2 * DRIFT) + 2 * GUARD_S

    @property
    def silent_until(self) -> float:
        return max(self.silent.values())

    def retune(self, budget: Budget, now: float) -> None:
        """Other terms: what it vouched for by the old ones must have ended first."""
        if budget.terms != self.budget.terms:
            # By other terms a right may be another amount: none may count by both.
            last = max([now + GUARD_S, self.silent_until, *(v.until for v in self.vouches.values())])
            self.silent = dict.fromkeys(self.silent, last)
            self.vouches.clear()
            self.released.clear()
        self.budget = budget

    def claimed(self, life: Incarnation, terms: str, round_: int, rights: list[int], now: float) -> list[int]:
        """The rights that it vouches for now, of those asked for."""
        if terms != self.budget.terms:
            return []
        granted = []
        for right in rights:
            if not 0 <= right < self.budget.rights:
                continue
            floor = self.budget.is_floor(right)
            if now < self.silent[floor] or floor and life.name != self.budget.home(right):
                continue
            gone, last = self.released.get(right, (None, 0))
            if gone == life and round_ <= last:  # asked before it was given back, and came after
                continue
            v = self.vouches.get(right)
            if v is not None and v.until > now and v.life != life:
                continue
            until = now + self.budget.lease(right) * (1 + DRIFT) + GUARD_S
            if v is not None and v.life == life:
                until, round_kept = max(until, v.until), max(v.round, round_)
            else:
                round_kept = round_
            self.vouches[right] = Vouch(life, until, round_kept)
            granted.append(right)
        return granted

    def gave_back(self, life: Incarnation, round_: int, rights: list[int]) -> None:
        for right in rights:
            v = self.vouches.get(right)
            if v is not None and v.life == life and v.round <= round_:
                del self.vouches[right]
            if v is None or v.life == life:
                self.released[right] = (life, round_)


@dataclass(slots=True)
class Held:
    """One right as its holder knows it: until when each voter vouches, counted from when it was asked."""

    votes: dict[str, float] = field(default_factory=dict)
    since: float = 0.0  # held without a break
    claimed_at: float = 0.0
    asked_at: float = -1e9
    first_round: int = 0  # words given for a claim of before were taken back with it

    def until(self, majority: int) -> float:
        if len(self.votes) < majority:
            return float("-inf")
        return sorted(self.votes.values(), reverse=True)[majority - 1]


class Holder:
    """The rights of one budget that this life holds or claims."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.held: dict[int, Held] = {}
        self.round = 0
        self.asked: deque[tuple[int, float]] = deque(maxlen=64)  # rounds, and when each was asked
        self.lost = 0  # rights whose time ran out

    def retune(self, budget: Budget) -> None:
        """Other terms: nothing that was held counts any more."""
        if budget.terms != self.budget.terms:
            self.held.clear()
            self.asked.clear()
        self.budget = budget

    def holds(self, right: int, now: float) -> bool:
        h = self.held.get(right)
        return h is not None and h.until(self.budget.majority) > now

    def mine(self, now: float) -> list[int]:
        return [r for r in self.held if self.holds(r, now)]

    def amount(self, now: float, steady_for: float = 0.0, left: float = 0.0) -> int:
        """What the rights come to that were held for so long without a break, and will be for so long."""
        majority, total = self.budget.majority, 0
        for right, h in self.held.items():
            until = h.until(majority)
            if until > now and until >= now + left and now - h.since >= steady_for:
                total += self.budget.size(right)
        return total

    def claim(self, right: int, now: float) -> None:
        if right not in self.held:
            self.held[right] = Held(claimed_at=now, first_round=self.round + 1)

    def ask(self, now: float, every: float) -> tuple[int, list[int]]:
        """A round, and the rights to ask all voters for: claims, and what is to be renewed."""
        due = []
        for right, h in self.held.items():
            lease = self.budget.lease(right)
            left = h.until(self.budget.majority) - now
            if left < lease * 0.6 and now - h.asked_at >= (every if left > 0 else every / 2):
                h.asked_at = now
                due.append(right)
        if due:
            self.round += 1
            self.asked.append((self.round, now))
        return self.round, due

    def vouched(self, voter: str, round_: int, rights: list[int], now: float) -> list[int]:
        """A voter's word; the rights that have just become held."""
        at = next((at for number, at in self.asked if number == round_), None)
        if at is None or voter not in self.budget.voters:
            return []
        new = []
        for right in rights:
            h = self.held.get(right)
            if h is None or round_ < h.first_round:
                continue
            before = h.until(self.budget.majority)
            until = at + self.budget.lease(right)
            if until <= now:
                continue
            h.votes[voter] = max(h.votes.get(voter, 0.0), until)
            if before <= now < h.until(self.budget.majority):
                h.since = now
                new.append(right)
        return new

    def stop(self, rights: list[int]) -> tuple[int, list[int]]:
        """Uses them no more; the round to give them back with."""
        gone = [r for r in rights if self.held.pop(r, None) is not None]
        self.round += 1
        return self.round, gone

    def failed_claims(self, now: float) -> list[int]:
        """Claimed, or lost, and without a majority for too long."""
        out = []
        for right, h in self.held.items():
            until = h.until(self.budget.majority)
            since = max(h.claimed_at, until if until != float("-inf") else 0.0)
            if until <= now and now - since > CLAIM_S:
                out.append(right)
        return out


class Meter:
    """Uses of one budget by this life: asked for at the very moment of each use."""

    def __init__(self, holder: Holder) -> None:
        self.holder = holder
        self.times: deque[float] = deque()
        self.asked_lately: deque[tuple[float, bool]] = deque()
        self.running: dict[int, float] = {}  # by ticket, with the end at the latest
        self.tickets = 0
        self.used = self.denied = self.most = 0

    def _clean(self, now: float) -> None:
        span = WINDOW_S * (1 + DRIFT)
        while self.times and self.times[0] <= now - span:
            self.times.popleft()
        while self.asked_lately and self.asked_lately[0][0] <= now - 2.0:
            self.asked_lately.popleft()

    def room(self, now: float) -> int:
        budget = self.holder.budget
        if budget.runs:
            return self.holder.amount(now, left=budget.longest_s) - len(self.running)
        self._clean(now)
        return self.holder.amount(now, steady_for=WINDOW_S * (1 + DRIFT)) - len(self.times)

    def use(self, now: float) -> int | None:
        """A ticket for one use now, or None. One of a budget of runs is given back by `ended`."""
        self._clean(now)
        good = self.room(now) >= 1
        self.asked_lately.append((now, good))
        if not good:
            self.denied += 1
            return None
        self.used += 1
        self.tickets += 1
        if self.holder.budget.runs:
            self.running[self.tickets] = now + self.holder.budget.longest_s
            self.most = max(self.most, len(self.running))
        else:
            self.times.append(now)
            self.most = max(self.most, len(self.times))
        return self.tickets

    def ended(self, ticket: int) -> None:
        self.running.pop(ticket, None)

    def spare(self, now: float) -> int:
        """What may be given away now without what runs being over what is left."""
        if self.holder.budget.runs:
            return max(0, self.holder.amount(now, left=self.holder.budget.longest_s) - len(self.running))
        return self.holder.amount(now)

    def wants(self, now: float) -> tuple[int, int]:
        """What it takes to give all that was asked lately (in a second, or at once), and what was denied."""
        self._clean(now)
        denied = sum(not good for _, good in self.asked_lately)
        if self.holder.budget.runs:
            return len(self.running) + denied, denied
        peak = max(
            sum(at > now - 1 for at, _ in self.asked_lately),
            sum(at <= now - 1 for at, _ in self.asked_lately),
        )
        return peak, sum(at > now - 1 and not good for at, good in self.asked_lately)
