"""One worker's record of another member. No I/O; times in seconds of the recording worker's clock."""

import math
from dataclasses import dataclass, field

from ochrehoist.peers.wire import Incarnation, MemberState, MemberUpdate

PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)  # states of members not known to be gone
NO_STATUS_AGE_MS = -1


@dataclass(slots=True)
class Member:
    """The record of another member; modified only by `Membership`."""

    incarnation: Incarnation
    address: str
    site: str
    state: MemberState
    state_since: float
    last_ack_at: float | None = None  # last acknowledgement of this worker's ping, direct or relayed
    suspected_at: float = 0.0
    accusers: set[str] = field(default_factory=set)
    refutations: int = 0  # highest number received; accusations with a lower number are refuted
    version: int = 0
    status_as_of: float | None = None  # `status` was current at this time or later
    status: bytes = b""

    @property
    def is_present(self) -> bool:
        """Whether the member is alive or suspected, that is, not known to be gone."""
        return self.state in PRESENT_STATES

    def status_update(self, now: float) -> MemberUpdate:
        """Returns an update with the member's state, address and status."""
        if self.status_as_of is None:
            return self._update(NO_STATUS_AGE_MS, self.status)
        return self._update(max(0, math.ceil((now - self.status_as_of) * 1000)), self.status)

    def gossip_update(self) -> MemberUpdate:
        """Returns an update with the member's state and address, without its status."""
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
    """The declaration of a member as dead."""

    at: float
    name: str
    silence_s: float  # time since the member's last acknowledgement
