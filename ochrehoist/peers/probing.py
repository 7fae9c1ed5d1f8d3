"""Schedule of probe targets, and the probes awaiting an answer. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from ochrehoist.peers.member import Member

GONE_PROBE_PROBABILITY = 0.25  # after a partition, members declared dead are found again only by probing


@dataclass(slots=True)
class Probe:
    """A ping that awaits its acknowledgement."""

    target: str
    nonce: int
    sent_at: float
    indirect_sent: bool = False  # other members have been asked to ping the target


@dataclass(slots=True, frozen=True)
class ProbeAction:
    """A ping to send now, or if `indirect`, a request to other members to ping the target."""

    target: str
    nonce: int
    indirect: bool


class ProbeSchedule:
    """Probe rounds; each known member is a target once per round, in random order."""

    def __init__(self, own_name: str, rng: Random) -> None:
        self.remaining_targets: list[str] = []  # the next target is the last entry
        self._own_name = own_name
        self._rng = rng

    def next_target(self, members: Mapping[str, Member], addresses: Mapping[str, str]) -> str | None:
        """Returns the next member to ping; None if no other is known."""
        while True:
            target = self._next_remaining_target(members, addresses)
            if target is not None:
                return target
            names = set(addresses) | set(members)
            names.discard(self._own_name)
            if not names:
                return None
            self.remaining_targets = sorted(names)
            self._rng.shuffle(self.remaining_targets)
            if all(name in members and not members[name].is_present for name in names):
                return self.remaining_targets.pop()

    def _next_remaining_target(
        self, members: Mapping[str, Member], addresses: Mapping[str, str]
    ) -> str | None:
        while self.remaining_targets:
            name = self.remaining_targets.pop()
            if name not in addresses and name not in members:
                continue
            member = members.get(name)
            if member is None or member.is_present or self._rng.random() < GONE_PROBE_PROBABILITY:
                return name
        return None
