"""Addressing of messages to other members, and rate limiting of greetings. No I/O; times in seconds."""

from dataclasses import dataclass

from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.wire import (
    UNKNOWN_INCARNATION,
    Hello,
    Incarnation,
    MemberLeft,
    Payload,
    Ping,
    Superseded,
)

GREETING_INTERVAL_S = 0.2  # minimum time between two greetings to the same address
MAX_GREETING_TIMES = 4096  # addresses with a recorded greeting time


@dataclass(frozen=True)
class OutgoingMessage:
    """A message to send; `recipient` is a member's name, or empty if only its address is known."""

    recipient: str
    address: str
    recipient_number: int  # incarnation number, or UNKNOWN_INCARNATION
    payloads: list[Payload]


class Outbound:
    """Builder of outgoing messages, with addresses and incarnation numbers from the membership."""

    def __init__(self, settings: FleetSettings, membership: Membership) -> None:
        self.last_greeting_at: dict[str, float] = {}
        self._settings = settings
        self._membership = membership

    def reconfigure(self, settings: FleetSettings) -> None:
        """Applies new settings."""
        self._settings = settings

    def _hello(self) -> Hello:
        return Hello(self._settings.address, self._settings.site)

    def to_member(self, name: str, payloads: list[Payload]) -> list[OutgoingMessage]:
        """Returns a message to a member, empty if its address is unknown.

        If its incarnation is unknown, the message is only a greeting.
        """
        address = self._membership.address_of(name)
        if not address:
            return []
        number = self._membership.incarnation_number_of(name)
        if not number:
            return [OutgoingMessage(name, address, UNKNOWN_INCARNATION, [self._hello()])]
        if isinstance(payloads[0], Ping):
            payloads = [self._hello(), *payloads]
        return [OutgoingMessage(name, address, number, payloads)]

    def to_configured_address(self, name: str, payloads: list[Payload]) -> list[OutgoingMessage]:
        """Returns a message to a known member with a configured address; empty for any other member.

        Only one process can use an address, so of two processes with the same name only one receives it.
        """
        address = self._membership.addresses.get(name)
        if not address or name not in self._membership.members:
            return []
        number = self._membership.incarnation_number_of(name)
        return [OutgoingMessage(name, address, number, payloads)]

    def greet_seeds(self, now: float) -> list[OutgoingMessage]:
        """Returns greetings to the seed addresses."""
        return [
            OutgoingMessage("", address, UNKNOWN_INCARNATION, [self._hello()])
            for address in self._settings.seed_addresses
            if address != self._settings.address and self._may_greet(address, now)
        ]

    def greet(self, incarnation: Incarnation, source: str, now: float) -> list[OutgoingMessage]:
        """Returns a greeting that introduces this incarnation to one that does not know it."""
        return self._to_sender(incarnation, source, self._hello(), now)

    def notify_superseded(
        self, incarnation: Incarnation, latest: Incarnation, source: str, now: float
    ) -> list[OutgoingMessage]:
        """Returns a notification to a process that a later incarnation of its name is known."""
        return self._to_sender(incarnation, source, Superseded(latest), now)

    def _to_sender(
        self, incarnation: Incarnation, source: str, payload: Payload, now: float
    ) -> list[OutgoingMessage]:
        address = self._membership.addresses.get(incarnation.name) or source
        if not self._may_greet(f"{incarnation.name}/{address}", now):
            return []
        return [OutgoingMessage(incarnation.name, address, incarnation.number, [payload])]

    def _may_greet(self, key: str, now: float) -> bool:
        if now - self.last_greeting_at.get(key, -1e9) < GREETING_INTERVAL_S:
            return False
        if len(self.last_greeting_at) > MAX_GREETING_TIMES:
            self.last_greeting_at.clear()
        self.last_greeting_at[key] = now
        return True

    def announce_departure(self, reason: str) -> list[OutgoingMessage]:
        """Returns the announcement to all live members that this worker leaves."""
        messages = []
        for name in self._membership.live_names():
            messages += self.to_member(name, [MemberLeft(reason)])
        return messages
