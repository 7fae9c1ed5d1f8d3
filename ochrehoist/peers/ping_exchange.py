"""Pings and acknowledgements between members, which also carry gossip, statuses and counters.

The size of one exchange is limited, regardless of the size of the fleet. No I/O; times in seconds.
"""

from dataclasses import dataclass
from random import Random

from ochrehoist.peers.counter_encoding import MAX_SNAPSHOT_BYTES
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.member import Member
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.outbound import Outbound, OutgoingMessage
from ochrehoist.peers.peer_status import OwnStatus
from ochrehoist.peers.probing import ProbeAction
from ochrehoist.peers.wire import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Incarnation,
    KnownVersion,
    MemberUpdate,
    Ping,
    PingRequest,
)

MAX_KNOWN_VERSIONS = 24  # members listed in a ping, whose newer statuses are requested
MAX_OTHER_STATUSES = 12  # statuses of other members in an answer
MAX_UPDATES_BYTES = 8192  # own status, gossip and other statuses; must leave room for the counters
FRAME_BYTES = 1024  # upper bound for the rest of the message
INDIRECT_PROBES = 3  # members asked to ping an unresponsive one
MAX_RELAYED_PINGS = 256  # unanswered pings sent on behalf of other members


@dataclass(slots=True, frozen=True)
class RelayedPing:
    """A ping sent on behalf of another member, with the requester's nonce."""

    requester: str
    nonce: int
    target: str


class PingExchange:
    """Sender of probes, responder to the probes of others, and processor of their answers."""

    def __init__(
        self,
        membership: Membership,
        counters: ReplicatedCounters,
        own_status: OwnStatus,
        outbound: Outbound,
        rng: Random,
    ) -> None:
        self.relayed_pings: dict[int, RelayedPing] = {}  # by the nonce of this worker's ping
        self._membership = membership
        self._counters = counters
        self._own_status = own_status
        self._outbound = outbound
        self._rng = rng

    def send_probe(self, probe: ProbeAction) -> list[OutgoingMessage]:
        """Returns the messages of one probe."""
        if not probe.indirect:
            return self._outbound.to_member(probe.target, [self._ping(probe.target, probe.nonce)])
        messages = []
        for helper in self._membership.sample_live(INDIRECT_PROBES, (probe.target,)):
            messages += self._outbound.to_member(helper, [PingRequest(probe.nonce, probe.target)])
        return messages

    def limit_relayed_pings(self) -> None:
        """Discards all relayed pings if too many are unanswered."""
        if len(self.relayed_pings) > MAX_RELAYED_PINGS:
            self.relayed_pings.clear()

    def _ping(self, target: str, nonce: int) -> Ping:
        members = self._membership.members
        names = list(members)
        if len(names) > MAX_KNOWN_VERSIONS:
            names = self._rng.sample(names, MAX_KNOWN_VERSIONS)
        known_versions = [
            KnownVersion(name, members[name].incarnation.number, members[name].version) for name in names
        ]
        cursors = self._counters.cursors_for(target, self._membership.incarnation_number_of(target))
        return Ping(
            nonce, known_versions, self._membership.select_gossip(self._own_status.update(), target), cursors
        )

    # ---- receiving
    def on_ping_request(
        self, request: PingRequest, sender: Incarnation, _now: float
    ) -> list[OutgoingMessage]:
        """Pings the target on behalf of another member."""
        nonce = self._rng.getrandbits(62) | 1
        self.relayed_pings[nonce] = RelayedPing(sender.name, request.nonce, request.target)
        return self._outbound.to_member(request.target, [self._ping(request.target, nonce)])

    def on_ping(self, ping: Ping, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        """Answers a ping with this worker's status, newer statuses of other members, and counters."""
        self._apply_gossip(ping.gossip, sender, now)
        own_update = self._own_status.update()
        newer_members = self._select_newer_members(ping, sender)
        gossip = self._membership.select_gossip(own_update)
        updates = self._fit_updates(own_update, newer_members, gossip, now)
        ack = Ack(ping.nonce, "", updates, gossip)
        if self._membership.established:
            self._add_counters(ack, ping, now)
        return self._outbound.to_member(sender.name, [ack])

    def _select_newer_members(self, ping: Ping, sender: Incarnation) -> list[Member]:
        """Returns members whose status is newer than the sender's, chosen at random if there are too many."""
        sender_versions = {entry.name: (entry.number, entry.version) for entry in ping.known_versions}
        # A sender that lists fewer members than the limit does not know the others.
        lists_all = len(sender_versions) < MAX_KNOWN_VERSIONS
        newer = [
            member
            for name, member in self._membership.members.items()
            if name != sender.name
            and member.status_as_of is not None
            and (member.incarnation.number, member.version) > sender_versions.get(name, (0, -1))
            and (name in sender_versions or lists_all)
        ]
        return newer if len(newer) <= MAX_OTHER_STATUSES else self._rng.sample(newer, MAX_OTHER_STATUSES)

    @staticmethod
    def _fit_updates(
        own_update: MemberUpdate, newer_members: list[Member], gossip: list[MemberUpdate], now: float
    ) -> list[MemberUpdate]:
        updates = [own_update]
        free_bytes = MAX_UPDATES_BYTES - sum(update.max_size() for update in (own_update, *gossip))
        for member in newer_members:
            update = member.status_update(now)
            free_bytes -= update.max_size()
            if free_bytes < 0:
                break
            updates.append(update)
        return updates

    def _add_counters(self, ack: Ack, ping: Ping, now: float) -> None:
        if ping.cursors is not None:
            ack.deltas = self._counters.deltas_for(ping.cursors, now)
            return
        used_bytes = sum(update.max_size() for update in (*ack.updates, *ack.gossip))
        free_bytes = MAX_DATAGRAM_BYTES - FRAME_BYTES - used_bytes
        ack.snapshots = self._counters.snapshots(now, min(free_bytes, MAX_SNAPSHOT_BYTES))

    def on_ack(self, ack: Ack, sender: Incarnation, now: float) -> list[OutgoingMessage]:
        """Forwards the answer to a relayed ping; applies the updates in an answer to an own probe."""
        self._apply_gossip(ack.gossip, sender, now)
        relayed = self.relayed_pings.pop(ack.nonce, None)
        if relayed is not None:
            return self._relay(ack, sender, relayed)
        probe = self._membership.on_ack(ack.nonce, ack.subject or sender.name, now)
        if probe is None:
            return []
        round_trip_s = now - probe.sent_at
        for update in ack.updates:
            self._apply_update(update, sender, round_trip_s, now)
        for snapshot in ack.snapshots:
            is_present = self._is_present(snapshot.incarnation)
            self._counters.merge_snapshot(snapshot, round_trip_s, now, is_present)
        for delta in ack.deltas:
            self._counters.merge_delta(delta, round_trip_s, now, self._is_present(delta.incarnation))
        return []

    def _relay(self, ack: Ack, sender: Incarnation, relayed: RelayedPing) -> list[OutgoingMessage]:
        is_known = relayed.requester in self._membership.members
        if relayed.target != sender.name or not ack.updates or not is_known:
            return []
        answer = Ack(relayed.nonce, relayed.target, ack.updates[:1], [], [])
        return self._outbound.to_member(relayed.requester, [answer])

    def _apply_gossip(self, gossip: list[MemberUpdate], sender: Incarnation, now: float) -> None:
        for update in gossip:
            self._membership.apply_gossip(update, sender.name, now)

    def _apply_update(
        self, update: MemberUpdate, sender: Incarnation, round_trip_s: float, now: float
    ) -> None:
        name = update.incarnation.name
        if name == self._membership.incarnation.name:
            return
        if name not in self._membership.members:
            self._membership.apply_gossip(update, sender.name, now)
        self._membership.apply_status(update, round_trip_s, now)

    def _is_present(self, incarnation: Incarnation) -> bool:
        member = self._membership.members.get(incarnation.name)
        return member is not None and member.incarnation == incarnation and member.is_present
