"""Leases of budget slots, granted by a majority of the grantors. No I/O; times in s of the own steady clock.

An incarnation uses a slot only if a majority of the grantors has granted it. A grantor grants a slot to one
incarnation at a time. It honours the grant until after the lease has ended at the holder: the holder counts
the lease from its request, and the grantor adds a margin for clock drift. Any two majorities have a grantor
in common, so two incarnations never hold the same slot simultaneously, under any partitions, crashes, pauses
or message delays. A grantor that has just started may have granted slots before its restart, so it first
waits for the longest lease to end. Budgets are therefore never exceeded, even if no messages arrive.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ochrehoist.peers.budget import CLOCK_DRIFT, GRANT_GUARD_S, Budget
from ochrehoist.peers.wire import Incarnation

REQUEST_TIMEOUT_S = 1.5  # requests without a majority are withdrawn after this time
MAX_REQUEST_ROUNDS = 64  # answers to older request rounds are ignored
RENEWAL_FRACTION = 0.6  # a lease is renewed when less than this fraction of it remains
NEVER = float("-inf")


@dataclass(slots=True)
class Grant:
    """The grant of a slot to one incarnation until `expires_at`, for the request of `round_number`."""

    incarnation: Incarnation
    expires_at: float
    round_number: int


@dataclass(slots=True, frozen=True)
class Release:
    """The latest release of a slot."""

    incarnation: Incarnation
    round_number: int


class LeaseGrantor:
    """Grantor of the slots of one budget.

    Does not grant a slot while a grant by an earlier process of the same member, which ended before
    `started_at`, may still be valid.
    """

    def __init__(self, budget: Budget, started_at: float) -> None:
        self.budget = budget
        self.grants: dict[int, Grant] = {}  # by slot
        self.releases: dict[int, Release] = {}  # by slot
        self.no_grants_until_by_floor = {
            is_floor: started_at + self._longest_grant_s(budget, is_floor) for is_floor in (False, True)
        }

    @staticmethod
    def _longest_grant_s(budget: Budget, is_floor: bool) -> float:
        lease_s = (budget.floor_lease_s if is_floor else budget.lease_s) + budget.max_run_s
        return lease_s * (1 + 2 * CLOCK_DRIFT) + 2 * GRANT_GUARD_S

    @property
    def no_grants_until(self) -> float:
        """The time from which slots of every kind are granted."""
        return max(self.no_grants_until_by_floor.values())

    def reconfigure(self, budget: Budget, now: float) -> None:
        """Applies new terms; nothing is granted on them until all grants on the old terms have expired.

        The amount of a slot depends on the terms, so leases on different terms must never overlap.
        """
        if budget.terms_digest != self.budget.terms_digest:
            expiries = [grant.expires_at for grant in self.grants.values()]
            last_expiry = max([now + GRANT_GUARD_S, self.no_grants_until, *expiries])
            self.no_grants_until_by_floor = dict.fromkeys(self.no_grants_until_by_floor, last_expiry)
            self.grants.clear()
            self.releases.clear()
        self.budget = budget

    def grant(
        self, incarnation: Incarnation, terms_digest: str, round_number: int, slots: Iterable[int], now: float
    ) -> list[int]:
        """Grants the requested slots that are free; returns the granted ones."""
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
        if now < self.no_grants_until_by_floor[is_floor]:
            return False
        if is_floor and incarnation.name != self.budget.home_of(slot):
            return False
        release = self.releases.get(slot)
        if (
            release is not None
            and release.incarnation == incarnation
            and round_number <= release.round_number
        ):
            return False  # delayed request, made before the release
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
        """Releases the slots of a holder; they may be granted to others immediately."""
        for slot in slots:
            grant = self.grants.get(slot)
            granted_to_other = grant is not None and grant.incarnation != incarnation
            if grant is not None and not granted_to_other and grant.round_number <= round_number:
                del self.grants[slot]
            if not granted_to_other:
                self.releases[slot] = Release(incarnation, round_number)


@dataclass(slots=True)
class HeldLease:
    """One slot at its holder, with the expiry of each grantor's grant, counted from the request."""

    expiry_by_grantor: dict[str, float] = field(default_factory=dict)
    held_since: float = 0.0  # start of the current uninterrupted lease
    requested_at: float = 0.0
    last_requested_at: float = -1e9
    first_valid_round: int = 0  # a release invalidates the answers to all earlier rounds

    def valid_until(self, quorum: int) -> float:
        """Returns the time until which a quorum of grants is valid; minus infinity without a quorum."""
        if len(self.expiry_by_grantor) < quorum:
            return NEVER
        return sorted(self.expiry_by_grantor.values(), reverse=True)[quorum - 1]


@dataclass(slots=True, frozen=True)
class RequestRound:
    """One request to all grantors, and its time."""

    number: int
    requested_at: float


class LeaseHolder:
    """Holder of slots of one budget: those that this incarnation holds or requests."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.leases: dict[int, HeldLease] = {}  # by slot
        self.round_number = 0
        self.rounds: deque[RequestRound] = deque(maxlen=MAX_REQUEST_ROUNDS)
        self.withdrawn_count = 0  # slots withdrawn because no majority granted them in time

    def reconfigure(self, budget: Budget) -> None:
        """Applies new terms; leases on other terms become invalid."""
        if budget.terms_digest != self.budget.terms_digest:
            self.leases.clear()
            self.rounds.clear()
        self.budget = budget

    def holds(self, slot: int, now: float) -> bool:
        """Returns whether a slot may be used now."""
        lease = self.leases.get(slot)
        return lease is not None and lease.valid_until(self.budget.quorum) > now

    def held_slots(self, now: float) -> list[int]:
        """Returns the slots that may be used now."""
        return [slot for slot in self.leases if self.holds(slot, now)]

    def amount(self, now: float, held_for_s: float = 0.0, remaining_s: float = 0.0) -> int:
        """Returns the total amount of the held slots.

        Counts only slots held without interruption for `held_for_s` and valid for at least `remaining_s`.
        """
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
        """Adds a slot to the requests, beginning with the next round."""
        if slot not in self.leases:
            self.leases[slot] = HeldLease(requested_at=now, first_valid_round=self.round_number + 1)

    def begin_round(self, now: float) -> int:
        """Starts a new round of requests and returns its number."""
        self.round_number += 1
        self.rounds.append(RequestRound(self.round_number, now))
        return self.round_number

    def due_slots(self, now: float, interval_s: float) -> tuple[int, list[int]]:
        """Returns the round number and the slots to request from all grantors: new ones and renewals.

        Requests are repeated after `interval_s`, or after half of it for slots that are not held. Starts a
        new round only if there are slots to request.
        """
        due = [slot for slot, lease in self.leases.items() if self._is_due(slot, lease, now, interval_s)]
        for slot in due:
            self.leases[slot].last_requested_at = now
        if due:
            self.begin_round(now)
        return self.round_number, due

    def _is_due(self, slot: int, lease: HeldLease, now: float, interval_s: float) -> bool:
        remaining_s = lease.valid_until(self.budget.quorum) - now
        if remaining_s >= self.budget.lease_duration_s(slot) * RENEWAL_FRACTION:
            return False
        return now - lease.last_requested_at >= (interval_s if remaining_s > 0 else interval_s / 2)

    def record_grant(self, grantor: str, round_number: int, slots: Iterable[int], now: float) -> list[int]:
        """Records a grantor's answer to a round; returns the slots that are held since this answer.

        The lease is counted from the round's request, so it ends at the holder before it ends at the grantor.
        """
        requested_at = next((sent.requested_at for sent in self.rounds if sent.number == round_number), None)
        if requested_at is None or grantor not in self.budget.grantors:
            return []
        quorum = self.budget.quorum
        newly_held = []
        for slot in slots:
            lease = self.leases.get(slot)
            if lease is None or round_number < lease.first_valid_round:
                continue
            expires_at = requested_at + self.budget.lease_duration_s(slot)
            if expires_at <= now:
                continue
            previously_valid_until = lease.valid_until(quorum)
            lease.expiry_by_grantor[grantor] = max(lease.expiry_by_grantor.get(grantor, 0.0), expires_at)
            if previously_valid_until <= now < lease.valid_until(quorum):
                lease.held_since = now
                newly_held.append(slot)
        return newly_held

    def drop(self, slots: Iterable[int]) -> tuple[int, list[int]]:
        """Stops the use of these slots; returns the round of the release and the slots actually dropped."""
        dropped = [slot for slot in slots if self.leases.pop(slot, None) is not None]
        self.round_number += 1
        return self.round_number, dropped

    def timed_out_slots(self, now: float) -> list[int]:
        """Returns the slots that have had no majority for longer than `REQUEST_TIMEOUT_S`."""
        quorum = self.budget.quorum
        timed_out = []
        for slot, lease in self.leases.items():
            valid_until = lease.valid_until(quorum)
            waiting_since = max(lease.requested_at, valid_until if valid_until != NEVER else 0.0)
            if valid_until <= now and now - waiting_since > REQUEST_TIMEOUT_S:
                timed_out.append(slot)
        return timed_out
