"""What a budget shared by a fleet consists of: its amount, cut into lease slots, and who grants these.

All members compute the same from the same settings. No I/O; times in seconds.
"""

from dataclasses import dataclass
from hashlib import blake2b

CLOCK_DRIFT = 0.02  # fraction by which two steady clocks may differ in speed
GRANT_GUARD_S = 0.05  # by which a grantor honours a grant longer than the drift asks for
RATE_WINDOW_S = 1.0  # a budget of a rate holds in any span of this length
MAX_SLOTS = 64  # of a budget
SLOTS_PER_GRANTOR = 10  # where the settings give no number


@dataclass(frozen=True)
class Budget:
    """An amount that a fleet shares, and the terms on which parts of it are leased.

    With `concurrent` the amount bounds how many uses run at once, each of at most `max_run_s`; without, how
    many begin in any second. The amount is divided over numbered lease slots. Each slot has a home, one of
    the grantors; `floor_fraction` of a home's slots is leased to that home alone, for `floor_lease_s`.
    """

    name: str
    amount: int
    grantors: tuple[str, ...]  # names of members
    concurrent: bool = False
    lease_s: float = 2.0
    floor_fraction: float = 0.1
    floor_lease_s: float = 30.0
    max_run_s: float = 0.0
    configured_slots: int = 0  # 0: SLOTS_PER_GRANTOR for each grantor

    @property
    def slot_count(self) -> int:
        """Number of lease slots; no slot is empty."""
        wanted = self.configured_slots or SLOTS_PER_GRANTOR * len(self.grantors)
        return max(1, min(self.amount, wanted, MAX_SLOTS))

    def slot_amount(self, slot: int) -> int:
        """The part of the amount that a slot stands for; all slots together come to the amount."""
        share, remainder = divmod(self.amount, self.slot_count)
        # Floor slots come first and are the small ones.
        return share + (slot >= self.slot_count - remainder)

    def home_of(self, slot: int) -> str:
        """The member that a slot falls to first."""
        return self.grantors[slot % len(self.grantors)]

    def is_floor(self, slot: int) -> bool:
        """Whether a slot is leased to its home alone."""
        slots_of_home = range(slot % len(self.grantors), self.slot_count, len(self.grantors))
        return slot // len(self.grantors) < int(len(slots_of_home) * self.floor_fraction)

    def lease_duration_s(self, slot: int) -> float:
        """How long a lease of a slot lasts, from when it was requested."""
        return (self.floor_lease_s if self.is_floor(slot) else self.lease_s) + self.max_run_s

    @property
    def quorum(self) -> int:
        """The number of grantors that makes a lease valid: a majority."""
        return len(self.grantors) // 2 + 1

    @property
    def terms_digest(self) -> str:
        """A digest of all terms: grantors serve only requests that were made on the same ones."""
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
