"""Budgets shared by a fleet: an amount divided into lease slots, and the members that grant them.

All members derive the same slots and grantors from the same settings. No I/O; times in seconds.
"""

from dataclasses import dataclass
from hashlib import blake2b

CLOCK_DRIFT = 0.02  # maximum relative difference in speed between two steady clocks
GRANT_GUARD_S = 0.05  # added to each grant's duration at the grantor, on top of the clock drift
RATE_WINDOW_S = 1.0  # a rate budget is not exceeded in any interval of this length
MAX_SLOTS = 64  # per budget
SLOTS_PER_GRANTOR = 10  # default if the settings give no slot count


@dataclass(frozen=True)
class Budget:
    """An amount shared by a fleet, and the terms on which parts of it are leased.

    If `concurrent` is set, the amount limits the number of simultaneous uses, each at most `max_run_s` long;
    otherwise it limits the number of uses that begin in any second. The amount is divided into numbered
    lease slots. Each slot has one of the grantors as its home. A fraction `floor_fraction` of each home's
    slots are floor slots: they are leased to their home only, for `floor_lease_s`.
    """

    name: str
    amount: int
    grantors: tuple[str, ...]  # member names
    concurrent: bool = False
    lease_s: float = 2.0
    floor_fraction: float = 0.1
    floor_lease_s: float = 30.0
    max_run_s: float = 0.0
    configured_slots: int = 0  # 0: SLOTS_PER_GRANTOR per grantor

    @property
    def slot_count(self) -> int:
        """The number of lease slots; each slot has an amount of at least 1."""
        desired_count = self.configured_slots or SLOTS_PER_GRANTOR * len(self.grantors)
        return max(1, min(self.amount, desired_count, MAX_SLOTS))

    def slot_amount(self, slot: int) -> int:
        """Returns the part of the amount that a slot represents; the slots add up to the whole amount."""
        share, remainder = divmod(self.amount, self.slot_count)
        # The last slots get the remainder; floor slots have the lowest numbers, so they are the smaller ones.
        return share + (slot >= self.slot_count - remainder)

    def home_of(self, slot: int) -> str:
        """Returns the grantor that has the first claim to a slot."""
        return self.grantors[slot % len(self.grantors)]

    def is_floor(self, slot: int) -> bool:
        """Returns whether a slot is leased to its home only."""
        slots_of_home = range(slot % len(self.grantors), self.slot_count, len(self.grantors))
        return slot // len(self.grantors) < int(len(slots_of_home) * self.floor_fraction)

    def lease_duration_s(self, slot: int) -> float:
        """Returns the duration of a lease of a slot, counted from its request."""
        return (self.floor_lease_s if self.is_floor(slot) else self.lease_s) + self.max_run_s

    @property
    def quorum(self) -> int:
        """The number of grants that make a lease valid: a majority of the grantors."""
        return len(self.grantors) // 2 + 1

    @property
    def terms_digest(self) -> str:
        """A digest of all terms; grantors reject requests made on different terms."""
        terms = (
            self.name,
            self.amount,
            self.grantors,
            self.concurrent,
            self.lease_s,
            self.floor_fraction,
            self.floor_lease_s,
            self.max_run_s,
            self.slot_count,
        )
        return blake2b(repr(terms).encode(), digest_size=6).hexdigest()
