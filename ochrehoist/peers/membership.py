"""Fleet membership: SWIM with suspicion and Lifeguard's local health check. No I/O; times in seconds.

One member is pinged in each protocol period. A member that does not answer is probed indirectly through
others, then suspected, and declared dead only after the suspicion timeout. A worker that stalled itself does
not suspect others because of its stall, and an isolated worker declares no member dead. The load of a worker
does not depend on the size of the fleet.
"""

import math
from collections.abc import Iterable
from random import Random

from ochrehoist.peers.gossip import MAX_UPDATES, GossipQueue
from ochrehoist.peers.member import PRESENT_STATES, Death, Member
from ochrehoist.peers.probing import Probe, ProbeAction, ProbeSchedule
from ochrehoist.peers.wire import Incarnation, MemberState, MemberUpdate

STALL_S = 0.25  # a longer gap between two ticks counts as a stall of this worker
MAX_LOCAL_HEALTH = 8
GONE_MEMBER_RETENTION_S = 600.0  # members that are dead or have left are removed after this time
MAX_MEMBERS = 1024
MAX_DEATH_RECORDS = 100  # latest records kept
ACK_TIMEOUT_PERIODS = 3
ISOLATION_PERIODS = 4  # time without any acknowledgement, in addition to the acknowledgement timeout
SUSPICION_PERIODS = 18  # a pause of 1 s followed by message loss must not lead to a declaration as dead
KNOWN_STATES = frozenset(MemberState)  # other states come from later releases and are ignored


class Membership:
    """This worker's view of the members, and the gossip that it sends about them.

    `addresses` are the configured addresses; they take precedence over gossip. `now` is always the time of
    this worker's steady clock, which never goes back.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        address: str,
        site: str,
        addresses: dict[str, str],
        protocol_period_s: float,
        now: float,
        seed: int,
    ) -> None:
        self.incarnation = incarnation
        self.address = address
        self.site = site
        self.addresses = addresses
        self.protocol_period_s = protocol_period_s
        self.rng = Random(seed)
        self.members: dict[str, Member] = {}
        self.latest_incarnations: dict[str, Incarnation] = {}  # by name, also of members that were removed
        self.gossip = GossipQueue()
        self.schedule = ProbeSchedule(incarnation.name, self.rng)
        self.probes: dict[int, Probe] = {}  # by nonce
        self.refutations = 0  # refuted accusations of this incarnation; SWIM's incarnation number
        self.local_health = 0  # Lifeguard's local health score; 0 is healthy, higher lengthens all timeouts
        self.stall_count = 0
        self.last_ack_at: float | None = None  # last acknowledgement from any member
        self.established = False  # at least one member has acknowledged a probe
        self.duplicate: Incarnation | None = None  # another process with this worker's name
        self.duplicate_accepted = False  # other members regard the duplicate as this member
        self.deaths: list[Death] = []
        self._started_at = now
        self._last_tick_at = now
        self._next_probe_at = now

    def reconfigure(self, addresses: dict[str, str], site: str, protocol_period_s: float) -> None:
        """Applies new settings."""
        self.addresses = addresses
        self.site = site
        self.protocol_period_s = protocol_period_s

    # ---- queries
    def live_names(self) -> list[str]:
        """Returns the names of the other members that are alive or suspected."""
        return [name for name, member in self.members.items() if member.state in PRESENT_STATES]

    @property
    def ack_timeout_s(self) -> float:
        """The maximum time that an acknowledgement may take."""
        return ACK_TIMEOUT_PERIODS * self.protocol_period_s * (1 + self.local_health)

    def isolated_for_s(self, now: float) -> float | None:
        """Returns the time without any acknowledgement; None if not isolated or if there are no others."""
        if not self.live_names() and not self.addresses:
            return None
        since = self.last_ack_at if self.last_ack_at is not None else self._started_at
        silence_s = now - since
        limit_s = self.ack_timeout_s + ISOLATION_PERIODS * self.protocol_period_s
        return silence_s if silence_s > limit_s else None

    def address_of(self, name: str) -> str | None:
        """Returns the address of a member, or None if unknown."""
        if name in self.addresses:
            return self.addresses[name]
        member = self.members.get(name)
        return member.address if member is not None else None

    def incarnation_number_of(self, name: str) -> int:
        """Returns the number of a member's incarnation, or UNKNOWN_INCARNATION."""
        member = self.members.get(name)
        return member.incarnation.number if member is not None else 0

    def sample_live(self, count: int, excluded: Iterable[str]) -> list[str]:
        """Returns the names of up to `count` members that are alive or suspected, chosen at random."""
        candidates = [name for name in self.live_names() if name not in excluded]
        return candidates if len(candidates) <= count else self.rng.sample(candidates, count)

    # ---- periodic work
    def tick(self, now: float) -> list[ProbeAction]:
        """Checks timeouts and returns the probes to send now."""
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        if gap_s > STALL_S:
            self._on_stall(gap_s)
        actions = self._check_probes(now)
        self._check_members(now)
        if now >= self._next_probe_at:
            on_schedule = gap_s <= STALL_S
            previous = self._next_probe_at if on_schedule else now
            self._next_probe_at = max(now, previous + self.protocol_period_s)
            target = self.schedule.next_target(self.members, self.addresses)
            if target is not None:
                actions.append(self._begin_probe(target, now))
        return actions

    def _on_stall(self, gap_s: float) -> None:
        """Prevents messages missed during this worker's own stall from counting against other members."""
        self.stall_count += 1
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1 + int(gap_s))
        self.probes.clear()
        for member in self.members.values():
            member.suspected_at += gap_s
        if self.last_ack_at is not None:
            self.last_ack_at += gap_s

    def _begin_probe(self, target: str, now: float) -> ProbeAction:
        nonce = self.rng.getrandbits(62) | 1
        self.probes[nonce] = Probe(target, nonce, now)
        return ProbeAction(target, nonce, indirect=False)

    def _check_probes(self, now: float) -> list[ProbeAction]:
        """Requests indirect probes for unanswered pings; suspects the targets if these fail too."""
        actions = []
        for probe in list(self.probes.values()):
            waited_s = now - probe.sent_at
            if waited_s > 2 * self.ack_timeout_s:
                del self.probes[probe.nonce]
                self._on_probe_failed(probe.target, now)
            elif waited_s > self.ack_timeout_s and not probe.indirect_sent:
                probe.indirect_sent = True
                actions.append(ProbeAction(probe.target, probe.nonce, indirect=True))
        return actions

    def _on_probe_failed(self, name: str, now: float) -> None:
        if self.isolated_for_s(now) is not None:
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        member = self.members.get(name)
        if member is not None and member.state == MemberState.ALIVE:
            self._suspect(member, self.incarnation.name, now)

    def _check_members(self, now: float) -> None:
        """Declares members dead after their suspicion timeout, and removes members that are long gone."""
        for name, member in list(self.members.items()):
            if member.state == MemberState.SUSPECT:
                self._check_suspicion(member, now)
            elif (
                not member.is_present
                and now - member.state_since > GONE_MEMBER_RETENTION_S
                and name not in self.addresses
            ):
                del self.members[name]

    def _check_suspicion(self, member: Member, now: float) -> None:
        if now - member.suspected_at <= self._suspicion_timeout_s(member):
            return
        if self.last_ack_at is None or self.last_ack_at <= member.suspected_at:
            return  # an isolated worker cannot distinguish a failed peer from a network partition
        silence_s = now - (member.last_ack_at if member.last_ack_at is not None else now)
        self.deaths.append(Death(now, member.incarnation.name, silence_s))
        del self.deaths[:-MAX_DEATH_RECORDS]
        self._mark_gone(member, MemberState.DEAD, now)

    def _suspicion_timeout_s(self, member: Member) -> float:
        """Returns how long a member stays suspected: shorter the more members accuse it."""
        shortest_s = SUSPICION_PERIODS * self.protocol_period_s * (1 + self.local_health)
        longest_s = shortest_s * max(1.0, math.log2(len(self.members) + 2) / 2)
        return max(shortest_s, longest_s - (longest_s - shortest_s) * math.log2(len(member.accusers) + 1) / 2)

    # ---- state changes of one member
    def _suspect(self, member: Member, accuser: str, now: float) -> None:
        if member.state == MemberState.ALIVE:
            member.state = MemberState.SUSPECT
            member.state_since = member.suspected_at = now
            member.accusers = set()
        if accuser not in member.accusers:
            member.accusers.add(accuser)
            self._enqueue_gossip(member.incarnation.name)

    def _mark_alive(self, member: Member, now: float) -> None:
        member.state = MemberState.ALIVE
        member.state_since = now
        member.accusers = set()

    def _mark_gone(self, member: Member, state: MemberState, now: float) -> None:
        member.state = state
        member.state_since = now
        self._enqueue_gossip(member.incarnation.name)

    def _enqueue_gossip(self, name: str) -> None:
        self.gossip.enqueue(name, len(self.members))

    # ---- receiving
    def on_ack(self, nonce: int, name: str, now: float) -> Probe | None:
        """Processes an acknowledgement; returns the probe that it answers, or None if there is none.

        Only an acknowledgement of this worker's own probe proves that a member is alive.
        """
        probe = self.probes.get(nonce)
        if probe is None or probe.target != name:
            return None
        del self.probes[nonce]
        self.last_ack_at = now
        self.established = True
        if self.local_health and self.rng.random() < 0.5:
            self.local_health -= 1
        member = self.members.get(name)
        if member is not None:
            member.last_ack_at = now
            if member.state == MemberState.SUSPECT:
                self._mark_alive(member, now)
                self._enqueue_gossip(name)
        return probe

    def register_sender(self, incarnation: Incarnation, address: str, site: str, now: float) -> bool:
        """Registers the sender of a message; returns whether to accept the message.

        Messages from earlier incarnations are rejected, and those from new members at `MAX_MEMBERS`.
        """
        name = incarnation.name
        if name == self.incarnation.name:
            self.note_duplicate(incarnation)
            return False
        latest = self.latest_incarnations.get(name)
        if latest is not None and latest.supersedes(incarnation):
            return False
        member = self.members.get(name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                return False
            self.members[name] = Member(incarnation, address, site, MemberState.ALIVE, now)
            self._enqueue_gossip(name)
        elif incarnation.supersedes(member.incarnation):
            self.members[name] = Member(incarnation, address or member.address, site, MemberState.ALIVE, now)
            self._enqueue_gossip(name)
        elif member.state == MemberState.DEAD and member.incarnation == incarnation:
            self._mark_alive(member, now)  # declared dead by mistake
            self._enqueue_gossip(name)
        self._remember_incarnation(incarnation)
        return True

    def _remember_incarnation(self, incarnation: Incarnation) -> None:
        self.latest_incarnations[incarnation.name] = incarnation
        if len(self.latest_incarnations) > 4 * MAX_MEMBERS:
            forgotten = next(name for name in self.latest_incarnations if name not in self.members)
            self.latest_incarnations.pop(forgotten)

    def note_duplicate(self, incarnation: Incarnation, accepted_by_others: bool = True) -> None:
        """Records another process with this worker's name.

        `accepted_by_others`: other members regard that process as the member.
        """
        if incarnation == self.incarnation or not incarnation.supersedes(self.incarnation):
            return
        if not self.established:
            # An earlier process of this member had a clock that was ahead: take the next number.
            self.incarnation = Incarnation(
                self.incarnation.name, incarnation.number + 1, self.incarnation.boot_id
            )
        else:
            self.duplicate = incarnation
            self.duplicate_accepted = self.duplicate_accepted or accepted_by_others

    def apply_gossip(self, update: MemberUpdate, sender: str, now: float) -> None:
        """Applies the state and address that `sender` reports of a member; no proof that it is alive."""
        if update.incarnation.name == self.incarnation.name:
            self._apply_gossip_of_self(update)
            return
        member = self.members.get(update.incarnation.name)
        if member is None or update.incarnation.supersedes(member.incarnation):
            self._apply_gossip_of_new(update, member, now)
        elif update.incarnation == member.incarnation and update.state in KNOWN_STATES:
            self._apply_gossip_of_known(update, member, sender, now)

    def _apply_gossip_of_self(self, update: MemberUpdate) -> None:
        if update.incarnation != self.incarnation:
            self.note_duplicate(update.incarnation)
        elif update.state in (MemberState.SUSPECT, MemberState.DEAD):
            # Refutes the accusation with a number above that of the accuser.
            self.refutations = max(self.refutations, update.refutations + 1)
            self._enqueue_gossip(self.incarnation.name)

    def _apply_gossip_of_new(self, update: MemberUpdate, member: Member | None, now: float) -> None:
        name = update.incarnation.name
        latest = self.latest_incarnations.get(name)
        is_gone = update.state in (MemberState.DEAD, MemberState.LEFT)
        if is_gone or (latest is not None and latest.supersedes(update.incarnation)):
            if member is None and latest is None:
                # The member is not added, but messages of its earlier incarnations will be rejected.
                self.latest_incarnations[name] = update.incarnation
            return
        if self.register_sender(update.incarnation, update.address, update.site, now):
            self._apply_refutations(self.members[name], update.refutations, now)

    def _apply_gossip_of_known(self, update: MemberUpdate, member: Member, sender: str, now: float) -> None:
        self._apply_refutations(member, update.refutations, now)
        if update.state == MemberState.LEFT and member.is_present:
            self._mark_gone(member, MemberState.LEFT, now)
            return
        if update.refutations < member.refutations:
            return  # the member has already refuted this accusation
        if update.state in (MemberState.SUSPECT, MemberState.DEAD) and member.is_present:
            # A member that has just answered this worker is not suspected because of gossip alone.
            acknowledged_recently = (
                member.last_ack_at is not None and now - member.last_ack_at <= 2 * self.ack_timeout_s
            )
            if not acknowledged_recently:
                self._suspect(member, sender, now)

    def _apply_refutations(self, member: Member, refutations: int, now: float) -> None:
        """Ends a suspicion or death with a lower refutation number; does not revive a member that left."""
        if refutations <= member.refutations:
            return
        member.refutations = refutations
        if member.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._mark_alive(member, now)
        self._enqueue_gossip(member.incarnation.name)

    def set_address_and_site(self, name: str, address: str, site: str) -> None:
        """Sets the address and site that a known member reports of itself."""
        self.members[name].address = address
        self.members[name].site = site

    def mark_left(self, incarnation: Incarnation, now: float) -> None:
        """Marks a member as left, on its own announcement."""
        member = self.members.get(incarnation.name)
        if member is not None and member.incarnation == incarnation and member.state != MemberState.LEFT:
            self._mark_gone(member, MemberState.LEFT, now)

    def apply_status(self, update: MemberUpdate, round_trip_s: float, now: float) -> None:
        """Applies a status from an acknowledgement; `round_trip_s` is the time since the ping was sent."""
        member = self.members.get(update.incarnation.name)
        if member is None or member.incarnation != update.incarnation:
            return
        self._apply_refutations(member, update.refutations, now)
        if update.age_ms < 0:
            return
        as_of = now - round_trip_s - update.age_ms / 1000
        is_newer = update.version > member.version
        confirms = update.version == member.version and (
            member.status_as_of is None or as_of > member.status_as_of
        )
        if is_newer or confirms:
            member.version = update.version
            member.status_as_of = as_of
            member.status = update.status

    # ---- sending
    def select_gossip(self, own_update: MemberUpdate, recipient: str = "") -> list[MemberUpdate]:
        """Returns the gossip for one message.

        A suspected or dead recipient always receives the accusation, as only it can refute it.
        """
        updates = []
        accused = self.members.get(recipient)
        if accused is not None and accused.state in (MemberState.SUSPECT, MemberState.DEAD):
            updates.append(accused.gossip_update())
        else:
            accused = None
        for name in self.gossip.take(MAX_UPDATES - len(updates)):
            member = self.members.get(name)
            if name == self.incarnation.name:
                updates.append(own_update)
            elif member is not None and member is not accused:
                updates.append(member.gossip_update())
        return updates
