"""Leases of budget slots, granted by a majority: budgets that hold with no message at all.

A slot is used only by an incarnation to which a majority of the grantors has granted it. A grantor grants a
slot to one incarnation at a time, and honours the grant for longer, by its own steady clock, than the holder
counts from when it asked. Two majorities share a grantor, so two incarnations never hold one slot at once:
under any partition, crash, pause or late message. A grantor that has just started may have granted before:
it first waits for the longest lease. No I/O; times in seconds of each process's steady clock.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ochrehoist.peers.budget import CLOCK_DRIFT, GRANT_GUARD_S, Budget
from ochrehoist.peers.wire import Incarnation

REQUEST_TIMEOUT_S = 1.5  # a request without a majority by then is withdrawn
REMEMBERED_ROUNDS = 64  # of requests; an answer to an earlier one is ignored
RENEW_BELOW = 0.6  # fraction of the lease that is left when it is renewed
NEVER = float("-inf")


@dataclass(slots=True)
class Grant:
    """A slot granted to one incarnation until `expires_at`, in answer to the request of `round_number`."""

    incarnation: Incarnation
    expires_at: float
    round_number: int


@dataclass(slots=True, frozen=True)
class Release:
    """Who released a slot last, and in which round."""

    incarnation: Incarnation
    round_number: int


class LeaseGrantor:
    """One grantor's part in the leases of one budget.

    It grants nothing that an earlier process of the same member, which ended before `started_at`, may have
    granted to another.
    """

    def __init__(self, budget: Budget, started_at: float) -> None:
        self.budget = budget
        self.grants: dict[int, Grant] = {}  # by slot
        self.releases: dict[int, Release] = {}  # by slot
        self.silent_until_by_floor = {
            is_floor: started_at + self._longest_grant_s(budget, is_floor) for is_floor in (False, True)
        }

    @staticmethod
    def _longest_grant_s(budget: Budget, is_floor: bool) -> float:
        lease_s = (budget.floor_lease_s if is_floor else budget.lease_s) + budget.max_run_s
        return lease_s * (1 + 2 * CLOCK_DRIFT) + 2 * GRANT_GUARD_S

    @property
    def silent_until(self) -> float:
        """From when on it grants slots of every kind."""
        return max(self.silent_until_by_floor.values())

    def reconfigure(self, budget: Budget, now: float) -> None:
        """Takes new terms: whatever was granted on the old ones ends before anything is granted on these.

        On other terms a slot may be another amount, so no two members may count by both.
        """
        if budget.terms_digest != self.budget.terms_digest:
            expiries = [grant.expires_at for grant in self.grants.values()]
            last = max([now + GRANT_GUARD_S, self.silent_until, *expiries])
            self.silent_until_by_floor = dict.fromkeys(self.silent_until_by_floor, last)
            self.grants.clear()
            self.releases.clear()
        self.budget = budget

    def grant(
        self, incarnation: Incarnation, terms_digest: str, round_number: int, slots: Iterable[int], now: float
    ) -> list[int]:
        """Answers a request: the slots that are granted now, of those asked for."""
        if terms_digest != self.budget.terms_digest:
            return []
        granted = []
        for slot in slots:
            if self._may_grant(slot, incarnation, round_number, now):
                self._record_grant(slot, incarnation, round_number, now)
                granted.append(slot)
        return granted

    def _may_grant(self, slot: int, incarnation: Incarnation, round_number: int, now: float) -> bool:
        if not 0 <= slot < self.budget.slot_count:
            return False
        is_floor = self.budget.is_floor(slot)
        if now < self.silent_until_by_floor[is_floor]:
            return False
        if is_floor and incarnation.name != self.budget.home_of(slot):
            return False
        release = self.releases.get(slot)
        if (
            release is not None
            and release.incarnation == incarnation
            and round_number <= release.round_number
        ):
            return False  # requested before it was released, and received after
        grant = self.grants.get(slot)
        return grant is None or grant.expires_at <= now or grant.incarnation == incarnation

    def _record_grant(self, slot: int, incarnation: Incarnation, round_number: int, now: float) -> None:
        expires_at = now + self.budget.lease_duration_s(slot) * (1 + CLOCK_DRIFT) + GRANT_GUARD_S
        previous = self.grants.get(slot)
        if previous is not None and previous.incarnation == incarnation:
            expires_at = max(expires_at, previous.expires_at)
            round_number = max(previous.round_number, round_number)
        self.grants[slot] = Grant(incarnation, expires_at, round_number)

    def release(self, incarnation: Incarnation, round_number: int, slots: Iterable[int]) -> None:
        """The holder uses these slots no more; they may be granted to others at once."""
        for slot in slots:
            grant = self.grants.get(slot)
            granted_to_other = grant is not None and grant.incarnation != incarnation
            if grant is not None and not granted_to_other and grant.round_number <= round_number:
                del self.grants[slot]
            if not granted_to_other:
                self.releases[slot] = Release(incarnation, round_number)


@dataclass(slots=True)
class HeldLease:
    """One slot as its holder knows it: when each grant expires, counted from when it was requested."""

    expiry_by_grantor: dict[str, float] = field(default_factory=dict)
    held_since: float = 0.0  # without a break
    requested_at: float = 0.0
    last_round_at: float = -1e9
    first_round: int = 0  # answers to earlier rounds were invalidated by a release

    def valid_until(self, quorum: int) -> float:
        """Until when a quorum has granted it; minus infinity where none ever did."""
        if len(self.expiry_by_grantor) < quorum:
            return NEVER
        return sorted(self.expiry_by_grantor.values(), reverse=True)[quorum - 1]


@dataclass(slots=True, frozen=True)
class RequestRound:
    """One request to all grantors, and when it was made."""

    number: int
    requested_at: float


class LeaseHolder:
    """The slots of one budget that this incarnation holds or requests."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.leases: dict[int, HeldLease] = {}  # by slot
        self.round_number = 0
        self.rounds: deque[RequestRound] = deque(maxlen=REMEMBERED_ROUNDS)
        self.lost_count = 0  # slots that were given up because no majority granted them in time

    def reconfigure(self, budget: Budget) -> None:
        """Takes new terms: nothing that was leased on other ones counts any more."""
        if budget.terms_digest != self.budget.terms_digest:
            self.leases.clear()
            self.rounds.clear()
        self.budget = budget

    def holds(self, slot: int, now: float) -> bool:
        """Whether a slot may be used at this moment."""
        lease = self.leases.get(slot)
        return lease is not None and lease.valid_until(self.budget.quorum) > now

    def held_slots(self, now: float) -> list[int]:
        """The slots that may be used at this moment."""
        return [slot for slot in self.leases if self.holds(slot, now)]

    def amount(self, now: float, held_for_s: float = 0.0, remaining_s: float = 0.0) -> int:
        """The amount of all slots held for so long without a break, and valid for at least so long."""
        quorum = self.budget.quorum
        total = 0
        for slot, lease in self.leases.items():
            valid_until = lease.valid_until(quorum)
            if (
                valid_until > now
                and valid_until >= now + remaining_s
                and now - lease.held_since >= held_for_s
            ):
                total += self.budget.slot_amount(slot)
        return total

    def request(self, slot: int, now: float) -> None:
        """Asks for a slot from the next round on."""
        if slot not in self.leases:
            self.leases[slot] = HeldLease(requested_at=now, first_round=self.round_number + 1)

    def begin_round(self, now: float) -> int:
        """The number of a new round of requests."""
        self.round_number += 1
        self.rounds.append(RequestRound(self.round_number, now))
        return self.round_number

    def due_slots(self, now: float, interval_s: float) -> tuple[int, list[int]]:
        """The round to ask all grantors in, and the slots: new requests, and leases due for renewal.

        A slot is asked for again after `interval_s`, one that is not held after half of it. Without slots no
        round begins.
        """
        due = [slot for slot, lease in self.leases.items() if self._is_due(slot, lease, now, interval_s)]
        for slot in due:
            self.leases[slot].last_round_at = now
        if due:
            self.begin_round(now)
        return self.round_number, due

    def _is_due(self, slot: int, lease: HeldLease, now: float, interval_s: float) -> bool:
        remaining_s = lease.valid_until(self.budget.quorum) - now
        if remaining_s >= self.budget.lease_duration_s(slot) * RENEW_BELOW:
            return False
        return now - lease.last_round_at >= (interval_s if remaining_s > 0 else interval_s / 2)

    def record_grant(self, grantor: str, round_number: int, slots: Iterable[int], now: float) -> list[int]:
        """A grantor's answer to a round; the slots that have just become held.

        The lease counts from when the round was requested, so it ends here before it ends at the grantor.
        """
        requested_at = next((r.requested_at for r in self.rounds if r.number == round_number), None)
        if requested_at is None or grantor not in self.budget.grantors:
            return []
        quorum = self.budget.quorum
        newly_held = []
        for slot in slots:
            lease = self.leases.get(slot)
            if lease is None or round_number < lease.first_round:
                continue
            expires_at = requested_at + self.budget.lease_duration_s(slot)
            if expires_at <= now:
                continue
            before = lease.valid_until(quorum)
            lease.expiry_by_grantor[grantor] = max(lease.expiry_by_grantor.get(grantor, 0.0), expires_at)
            if before <= now < lease.valid_until(quorum):
                lease.held_since = now
                newly_held.append(slot)
        return newly_held

    def drop(self, slots: Iterable[int]) -> tuple[int, list[int]]:
        """Uses these slots no more: the round to release them in, and those that were held or requested."""
        dropped = [slot for slot in slots if self.leases.pop(slot, None) is not None]
        self.round_number += 1
        return self.round_number, dropped

    def timed_out_slots(self, now: float) -> list[int]:
        """Slots requested, or no longer held, and without a majority for too long."""
        quorum = self.budget.quorum
        timed_out = []
        for slot, lease in self.leases.items():
            valid_until = lease.valid_until(quorum)
            waiting_since = max(lease.requested_at, valid_until if valid_until != NEVER else 0.0)
            if valid_until <= now and now - waiting_since > REQUEST_TIMEOUT_S:
                timed_out.append(slot)
        return timed_out
