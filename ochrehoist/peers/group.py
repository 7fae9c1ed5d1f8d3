"""One worker as a member of its fleet: processes messages and ticks, and returns messages to send. No I/O.

Combines membership, leases, counters and outlier detection; the caller passes the time. Other members can
change the state of this worker only through `Group.receive`.
"""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Protocol

from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.inbound import InboundFilter, MessageOutcome
from ochrehoist.peers.lease_manager import BudgetShare, LeaseManager
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.outbound import Outbound, OutgoingMessage
from ochrehoist.peers.outlier_detection import OutlierDetector
from ochrehoist.peers.peer_status import OwnStatus, PeerStatuses
from ochrehoist.peers.ping_exchange import PingExchange
from ochrehoist.peers.wire import (
    Ack,
    ExtensionMessage,
    Hello,
    Incarnation,
    LeaseGranted,
    LeaseReleased,
    LeaseRequest,
    MemberLeft,
    MemberState,
    Message,
    Ping,
    PingRequest,
    Superseded,
)

SERVICE_EVALUATION_INTERVAL_S = 0.05


class Extension(Protocol):
    """A component that exchanges data with other workers through the group; same clock as the group."""

    def status_report(self, now: float) -> bytes:
        """Returns the data to publish to all members; must be small, as every answer carries it."""
        ...

    def messages_to_send(self, now: float) -> list[tuple[str, str, bytes]]:
        """Returns messages to members as (name, topic, data); called at each tick."""
        ...

    def message_received(
        self, sender: Incarnation, topic: str, data: bytes, now: float
    ) -> list[tuple[str, bytes]]:
        """Processes a received message; returns answers to its sender as (topic, data)."""
        ...


class Group:
    """One worker as a member of its fleet.

    `now` is always in seconds of the worker's steady clock. Returned messages are to be sent immediately;
    any of them may be lost.
    """

    def __init__(self, settings: FleetSettings, incarnation: Incarnation, now: float, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.members = Membership(
            incarnation,
            settings.address,
            settings.site,
            settings.addresses_of_others(),
            settings.protocol_period_s,
            now,
            seed,
        )
        self.counters = ReplicatedCounters(incarnation, settings.max_rate_per_s, now)
        self.ended_at: dict[Incarnation, float] = {}  # time at which each incarnation was found to have ended
        self.peer_statuses = PeerStatuses(self.members)
        self.own_status = OwnStatus(settings, self.members)
        self.outliers = OutlierDetector(
            settings.services,
            settings.max_ejected_fraction,
            seed,
            remote_reports=lambda: self.peer_statuses.health_reports(self._now),
            fleet_size=self._max_fleet_size,
        )
        self.outbound = Outbound(settings, self.members)
        self.inbound = InboundFilter(self.members, self.outbound)
        self.pings = PingExchange(self.members, self.counters, self.own_status, self.outbound, self.rng)
        self.leases = LeaseManager(self.members, self.peer_statuses, self.outbound, self.rng)
        self.leases.configure(settings.budgets, now)
        self._extensions: dict[str, Extension] = {}  # by topic prefix
        self._now = now
        self._last_evaluation_at = now
        self._handlers: Mapping[type, Callable[[Any, Incarnation, float], list[OutgoingMessage]]] = {
            Hello: self._on_hello,
            Superseded: self._on_superseded,
            Ping: self.pings.on_ping,
            Ack: self.pings.on_ack,
            PingRequest: self.pings.on_ping_request,
            LeaseRequest: self.leases.on_request,
            LeaseGranted: self.leases.on_granted,
            LeaseReleased: self.leases.on_released,
            MemberLeft: self._on_member_left,
            ExtensionMessage: self._on_extension_message,
        }

    def _max_fleet_size(self) -> int:
        """Returns the number of workers that may currently send trial calls to an ejected service.

        Unreachable workers count, as they may only be partitioned and send trials too. Otherwise each side of
        a partition would send as many trials as the whole fleet.
        """
        known_names = self.settings.addresses_of_others().keys() | self.members.members.keys()
        left_names = {
            name for name, member in self.members.members.items() if member.state == MemberState.LEFT
        }
        return 1 + len(known_names - left_names)

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation under which other members know this process."""
        return self.members.incarnation

    @property
    def superseded(self) -> bool:
        """Whether another process has replaced this one as the member; no budget may then be used here."""
        return self.leases.superseded

    @property
    def shares(self) -> dict[str, BudgetShare]:
        """This worker's shares of all budgets, by budget name."""
        return self.leases.shares

    def add_extension(self, topic: str, extension: Extension) -> None:
        """Registers an extension; `topic` is the prefix of the topics of its messages."""
        self._extensions[topic] = extension

    def reconfigure(self, settings: FleetSettings, now: float) -> None:
        """Applies new settings."""
        self.settings = settings
        self.members.reconfigure(settings.addresses_of_others(), settings.site, settings.protocol_period_s)
        self.counters.reconfigure(settings.max_rate_per_s)
        self.outliers.configure(settings.services, settings.max_ejected_fraction)
        self.outbound.reconfigure(settings)
        self.own_status.reconfigure(settings)
        self.leases.configure(settings.budgets, now)

    def announce_leaving(self) -> None:
        """Starts to report in answers that this worker shuts down, and stops requesting new leases."""
        self.own_status.leaving = True

    # ---- periodic work
    def tick(self, now: float) -> list[OutgoingMessage]:
        """Performs the periodic work and returns the messages to send; called about 20 times per second."""
        self._now = now
        messages: list[OutgoingMessage] = []
        self.counters.set_incarnation(self.incarnation)
        if self.members.duplicate is not None and self.members.duplicate_accepted and not self.superseded:
            messages += self.leases.mark_superseded()
        self._tick_outliers(now)
        self._renew_status(now)
        for probe in self.members.tick(now):
            messages += self.pings.send_probe(probe)
        if not self.members.members:
            messages += self.outbound.greet_seeds(now)
        messages += self._extension_messages(now)
        self.pings.limit_relayed_pings()
        self._update_ended_incarnations(now)
        if not self.superseded and (self.members.established or self._is_single_worker()):
            messages += self.leases.tick(now, self.own_status.leaving)
        return messages

    def _tick_outliers(self, now: float) -> None:
        self.outliers.tick(now, SERVICE_EVALUATION_INTERVAL_S)
        if now - self._last_evaluation_at >= SERVICE_EVALUATION_INTERVAL_S:
            self._last_evaluation_at = now
            self.outliers.evaluate(now)

    def _renew_status(self, now: float) -> None:
        demands = self.leases.demands(now)
        extensions = {topic: extension.status_report(now) for topic, extension in self._extensions.items()}
        self.own_status.renew(now, self.outliers.observations(now), demands, extensions)

    def _extension_messages(self, now: float) -> list[OutgoingMessage]:
        messages = []
        for prefix, extension in self._extensions.items():
            for name, topic, data in extension.messages_to_send(now):
                messages += self.send_to_extension(name, f"{prefix}/{topic}", data)
        return messages

    def _is_single_worker(self) -> bool:
        return not self.members.addresses and not self.settings.seed_addresses

    def _update_ended_incarnations(self, now: float) -> None:
        """Marks the counters of ended incarnations; reverts this for one that turns out to be running."""
        for member in self.members.members.values():
            incarnation = member.incarnation
            if not member.is_present and incarnation not in self.ended_at:
                self.ended_at[incarnation] = member.state_since
                self.counters.mark_ended(incarnation)
            elif member.is_present and incarnation in self.ended_at:  # it had been declared dead by mistake
                del self.ended_at[incarnation]
                self.counters.mark_present(incarnation)
        current = {name: member.incarnation for name, member in self.members.members.items()}
        for incarnation, replica in self.counters.replicas.items():
            latest = current.get(incarnation.name)
            if not replica.ended and latest is not None and latest.supersedes(incarnation):
                self.ended_at.setdefault(incarnation, now)
                self.counters.mark_ended(incarnation)
        self._prune_ended_incarnations(current)

    def _prune_ended_incarnations(self, current: Mapping[str, Incarnation]) -> None:
        forgotten = [
            incarnation
            for incarnation in self.ended_at
            if incarnation not in self.counters.replicas and current.get(incarnation.name) != incarnation
        ]
        for incarnation in forgotten:
            del self.ended_at[incarnation]

    # ---- messages
    def receive(self, message: Message, source: str, now: float) -> list[OutgoingMessage]:
        """Processes an authenticated message from the address `source`; returns the messages to send.

        A message that is not addressed to this incarnation changes no state.
        """
        self._now = now
        decision = self.inbound.check(message, source, now)
        if decision.outcome != MessageOutcome.ACCEPTED:
            return decision.replies
        messages: list[OutgoingMessage] = []
        for payload in message.payloads:
            messages += self._handlers[type(payload)](payload, message.sender, now)
        return messages

    def _on_hello(self, hello: Hello, sender: Incarnation, _now: float) -> list[OutgoingMessage]:
        self.members.set_address_and_site(sender.name, hello.address, hello.site)
        return []

    def _on_superseded(
        self, superseded: Superseded, _sender: Incarnation, _now: float
    ) -> list[OutgoingMessage]:
        if superseded.incarnation.name == self.incarnation.name:
            self.members.note_duplicate(superseded.incarnation)
        return []

    def _on_member_left(self, _left: MemberLeft, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        self.members.mark_left(sender, now)
        return []

    def _on_extension_message(
        self, message: ExtensionMessage, sender: Incarnation, now: float
    ) -> list[OutgoingMessage]:
        prefix, _, topic = message.topic.partition("/")
        extension = self._extensions.get(prefix)
        if extension is None:
            return []
        messages = []
        for answer_topic, data in extension.message_received(sender, topic, message.data, now):
            messages += self.send_to_extension(sender.name, f"{prefix}/{answer_topic}", data)
        return messages

    def send_to_extension(self, name: str, topic: str, data: bytes) -> list[OutgoingMessage]:
        """Returns a message to an extension of one member; empty if the member is unknown."""
        return self.outbound.to_member(name, [ExtensionMessage(topic, data)])

    def extension_data(self, topic: str) -> dict[str, tuple[float, bytes]]:
        """Returns the data that members report for an extension, each with its maximum age in s."""
        return self.peer_statuses.extension_data(topic, self._now)

    def leave(self, reason: str) -> list[OutgoingMessage]:
        """Shuts down gracefully: returns the messages that release all leases and announce the departure."""
        return self.leases.release_all() + self.outbound.announce_departure(reason)
