"""Which member is probed next, and the probes that wait for an answer. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from ochrehoist.peers.member import Member

GONE_PROBE_PROBABILITY = 0.25  # after a partition nobody else would tell of members believed to be gone


@dataclass(slots=True)
class Probe:
    """A ping that was sent, and waits for its acknowledgement."""

    target: str
    nonce: int
    sent_at: float
    indirect_sent: bool = False  # other members were asked to ping the target


@dataclass(slots=True, frozen=True)
class ProbeAction:
    """A ping to send now, or with `indirect` a request to other members to ping the target."""

    target: str
    nonce: int
    indirect: bool


class ProbeSchedule:
    """Rounds in which each known member is a target once, in random order."""

    def __init__(self, own_name: str, rng: Random) -> None:
        self.round: list[str] = []  # targets that are left, the next one last
        self._own_name = own_name
        self._rng = rng

    def next_target(self, members: Mapping[str, Member], addresses: Mapping[str, str]) -> str | None:
        """The next member to ping; None where no other is known."""
        while True:
            target = self._next_of_round(members, addresses)
            if target is not None:
                return target
            names = set(addresses) | set(members)
            names.discard(self._own_name)
            if not names:
                return None
            self.round = sorted(names)
            self._rng.shuffle(self.round)
            if all(name in members and not members[name].is_present for name in names):
                return self.round.pop()

    def _next_of_round(self, members: Mapping[str, Member], addresses: Mapping[str, str]) -> str | None:
        while self.round:
            name = self.round.pop()
            if name not in addresses and name not in members:
                continue
            member = members.get(name)
            if member is None or member.is_present or self._rng.random() < GONE_PROBE_PROBABILITY:
                return name
        return None
