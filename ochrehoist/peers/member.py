"""One member of the fleet as another worker knows it. No I/O; times in seconds of the observer's clock."""

import math
from dataclasses import dataclass, field

from ochrehoist.peers.wire import Incarnation, MemberState, MemberUpdate

PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)  # not known to be gone
NO_STATUS_AGE_MS = -1


@dataclass(slots=True)
class Member:
    """What is known of another member. `Membership` alone changes it."""

    incarnation: Incarnation
    address: str
    site: str
    state: MemberState
    state_since: float
    last_ack_at: float | None = None  # when it last answered a ping of this worker, directly or relayed
    suspected_at: float = 0.0
    accusers: set[str] = field(default_factory=set)
    refutations: int = 0  # the highest known: accusations of a lower number are over
    version: int = 0
    status_as_of: float | None = None  # `status` was current at this moment or later
    status: bytes = b""

    @property
    def is_present(self) -> bool:
        """Whether it is not known to be gone."""
        return self.state in PRESENT_STATES

    def status_update(self, now: float) -> MemberUpdate:
        """Everything that is known of it, with its status."""
        if self.status_as_of is None:
            return self._update(NO_STATUS_AGE_MS, self.status)
        return self._update(max(0, math.ceil((now - self.status_as_of) * 1000)), self.status)

    def gossip_update(self) -> MemberUpdate:
        """Its state and address, without its status."""
        return self._update(NO_STATUS_AGE_MS, b"")

    def _update(self, age_ms: int, status: bytes) -> MemberUpdate:
        return MemberUpdate(
            self.incarnation,
            self.address,
            self.site,
            self.state,
            self.version,
            age_ms,
            status,
            self.refutations,
        )


@dataclass(slots=True, frozen=True)
class Death:
    """A member that was declared dead: when, and how long after its last acknowledgement (s)."""

    at: float
    name: str
    silence_s: float
