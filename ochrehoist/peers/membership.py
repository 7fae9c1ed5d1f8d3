"""Who is in the fleet: SWIM membership with suspicion and a check of this worker's own health. No I/O; s.

Each protocol period one member is pinged. One that does not answer is pinged through others, then suspected,
and is dead only once its suspicion has lasted for a while. A worker that stalled itself accuses nobody for
that, and one that hears nobody declares nobody dead. The load of a worker does not grow with the fleet.
"""

import math
from collections.abc import Iterable
from random import Random

from ochrehoist.peers.gossip import MAX_UPDATES, GossipQueue
from ochrehoist.peers.member import PRESENT_STATES, Death, Member
from ochrehoist.peers.probing import Probe, ProbeAction, ProbeSchedule
from ochrehoist.peers.wire import Incarnation, MemberState, MemberUpdate

STALL_S = 0.25  # a longer gap between two ticks means that this worker stalled
MAX_LOCAL_HEALTH = 8
FORGET_GONE_S = 600.0  # for which a member that is gone is still listed
MAX_MEMBERS = 1024
MAX_DEATHS = 100  # that are remembered
ACK_TIMEOUT_PERIODS = 3
ISOLATION_PERIODS = 4  # beyond the timeout of an acknowledgement, without any
SUSPICION_PERIODS = 18  # never so short that a pause of a second, with lost messages after it, is a death
KNOWN_STATES = frozenset(MemberState)  # others are of a later release, and ignored


class Membership:
    """What this worker knows of the members, and what it tells of them.

    `addresses` are those of the settings; they prevail over what is gossiped. All calls take the time of this
    worker's steady clock, which never goes back.
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
        self.latest_incarnations: dict[str, Incarnation] = {}  # of each name that was ever known
        self.gossip = GossipQueue()
        self.schedule = ProbeSchedule(incarnation.name, self.rng)
        self.probes: dict[int, Probe] = {}  # by nonce
        self.refutations = 0  # accusations of this incarnation that it answered: SWIM's incarnation number
        self.local_health = 0  # 0: well; each step makes it more patient with others (Lifeguard)
        self.stall_count = 0
        self.last_ack_at: float | None = None  # from any member
        self.established = False  # a member has answered
        self.duplicate: Incarnation | None = None  # another process under this name,
        self.duplicate_followed = False  # which other members take for this member
        self.deaths: list[Death] = []
        self._started_at = now
        self._last_tick_at = now
        self._next_probe_at = now

    def reconfigure(self, addresses: dict[str, str], site: str, protocol_period_s: float) -> None:
        """Takes new settings."""
        self.addresses = addresses
        self.site = site
        self.protocol_period_s = protocol_period_s

    # ---- what is known
    def live_names(self) -> list[str]:
        """Names of other members that are not known to be gone."""
        return [name for name, member in self.members.items() if member.state in PRESENT_STATES]

    @property
    def ack_timeout_s(self) -> float:
        """How long an acknowledgement may take."""
        return ACK_TIMEOUT_PERIODS * self.protocol_period_s * (1 + self.local_health)

    def isolated_for_s(self, now: float) -> float | None:
        """How long nobody has answered, while there are members to answer; None where somebody has."""
        if not self.live_names() and not self.addresses:
            return None
        since = self.last_ack_at if self.last_ack_at is not None else self._started_at
        silence_s = now - since
        limit_s = self.ack_timeout_s + ISOLATION_PERIODS * self.protocol_period_s
        return silence_s if silence_s > limit_s else None

    def address_of(self, name: str) -> str | None:
        """The address of a member; None where it is not known."""
        if name in self.addresses:
            return self.addresses[name]
        member = self.members.get(name)
        return member.address if member is not None else None

    def incarnation_number_of(self, name: str) -> int:
        """The number of a member's incarnation, or UNKNOWN_INCARNATION."""
        member = self.members.get(name)
        return member.incarnation.number if member is not None else 0

    def sample_live(self, count: int, without: Iterable[str]) -> list[str]:
        """Names of at most `count` members that are not known to be gone, drawn at random."""
        candidates = [name for name in self.live_names() if name not in without]
        return candidates if len(candidates) <= count else self.rng.sample(candidates, count)

    # ---- time
    def tick(self, now: float) -> list[ProbeAction]:
        """Lets time pass; the probes to send now."""
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        if gap_s > STALL_S:
            self._on_stall(gap_s)
        actions = self._check_probes(now)
        self._check_members(now)
        if now >= self._next_probe_at:
            in_time = gap_s <= STALL_S
            previous = self._next_probe_at if in_time else now
            self._next_probe_at = max(now, previous + self.protocol_period_s)
            target = self.schedule.next_target(self.members, self.addresses)
            if target is not None:
                actions.append(self._begin_probe(target, now))
        return actions

    def _on_stall(self, gap_s: float) -> None:
        """This worker stood still: what did not arrive meanwhile is no sign against the others."""
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
        """Probes without an answer: asks others to ping, and then suspects the target."""
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
        """Ends suspicions that had their time, and forgets members that are long gone."""
        for name, member in list(self.members.items()):
            if member.state == MemberState.SUSPECT:
                self._check_suspicion(member, now)
            elif (
                not member.is_present
                and now - member.state_since > FORGET_GONE_S
                and name not in self.addresses
            ):
                del self.members[name]

    def _check_suspicion(self, member: Member, now: float) -> None:
        if now - member.suspected_at <= self._suspicion_timeout_s(member):
            return
        if self.last_ack_at is None or self.last_ack_at <= member.suspected_at:
            return  # who hears nobody cannot tell the others' death from a partition
        silence_s = now - (member.last_ack_at if member.last_ack_at is not None else now)
        self.deaths.append(Death(now, member.incarnation.name, silence_s))
        del self.deaths[:-MAX_DEATHS]
        self._mark_gone(member, MemberState.DEAD, now)

    def _suspicion_timeout_s(self, member: Member) -> float:
        """How long it stays suspected: the shorter the more members accuse it."""
        shortest = SUSPICION_PERIODS * self.protocol_period_s * (1 + self.local_health)
        longest = shortest * max(1.0, math.log2(len(self.members) + 2) / 2)
        return max(shortest, longest - (longest - shortest) * math.log2(len(member.accusers) + 1) / 2)

    # ---- changes of one member
    def _suspect(self, member: Member, accuser: str, now: float) -> None:
        if member.state == MemberState.ALIVE:
            member.state = MemberState.SUSPECT
            member.state_since = member.suspected_at = now
            member.accusers = set()
        if accuser not in member.accusers:
            member.accusers.add(accuser)
            self._spread(member.incarnation.name)

    def _mark_alive(self, member: Member, now: float) -> None:
        member.state = MemberState.ALIVE
        member.state_since = now
        member.accusers = set()

    def _mark_gone(self, member: Member, state: MemberState, now: float) -> None:
        member.state = state
        member.state_since = now
        self._spread(member.incarnation.name)

    def _spread(self, name: str) -> None:
        self.gossip.enqueue(name, len(self.members))

    # ---- what is received
    def on_ack(self, nonce: int, name: str, now: float) -> Probe | None:
        """An answer to a probe of this worker, the only proof that a member is there; None for any other."""
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
                self._spread(name)
        return probe

    def on_message_from(self, incarnation: Incarnation, address: str, site: str, now: float) -> bool:
        """Registers the sender of a message; whether it may be heard: an earlier incarnation may not."""
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
            self._spread(name)
        elif incarnation.supersedes(member.incarnation):
            self.members[name] = Member(incarnation, address or member.address, site, MemberState.ALIVE, now)
            self._spread(name)
        elif member.state == MemberState.DEAD and member.incarnation == incarnation:
            self._mark_alive(member, now)  # it was only cut off
            self._spread(name)
        self._remember_incarnation(incarnation)
        return True

    def _remember_incarnation(self, incarnation: Incarnation) -> None:
        self.latest_incarnations[incarnation.name] = incarnation
        if len(self.latest_incarnations) > 4 * MAX_MEMBERS:
            forgotten = next(name for name in self.latest_incarnations if name not in self.members)
            self.latest_incarnations.pop(forgotten)

    def note_duplicate(self, incarnation: Incarnation, followed: bool = True) -> None:
        """Somebody tells of another process under this name; `followed`: and takes it for the member."""
        if incarnation == self.incarnation or not incarnation.supersedes(self.incarnation):
            return
        if not self.established:
            # Left by an earlier process, whose clock was ahead: this one comes after it.
            self.incarnation = Incarnation(
                self.incarnation.name, incarnation.number + 1, self.incarnation.boot_id
            )
        else:
            self.duplicate = incarnation
            self.duplicate_followed = self.duplicate_followed or followed

    def apply_gossip(self, update: MemberUpdate, sender: str, now: float) -> None:
        """What `sender` says of states and addresses; it never proves that anybody is there."""
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
            # It is accused, and refutes it with a number above the accuser's.
            self.refutations = max(self.refutations, update.refutations + 1)
            self._spread(self.incarnation.name)

    def _apply_gossip_of_new(self, update: MemberUpdate, member: Member | None, now: float) -> None:
        name = update.incarnation.name
        latest = self.latest_incarnations.get(name)
        is_gone = update.state in (MemberState.DEAD, MemberState.LEFT)
        if is_gone or (latest is not None and latest.supersedes(update.incarnation)):
            if member is None and latest is None:
                self.latest_incarnations[name] = update.incarnation  # known only as gone
            return
        if self.on_message_from(update.incarnation, update.address, update.site, now):
            self._apply_refutations(self.members[name], update.refutations, now)

    def _apply_gossip_of_known(self, update: MemberUpdate, member: Member, sender: str, now: float) -> None:
        self._apply_refutations(member, update.refutations, now)
        if update.state == MemberState.LEFT and member.is_present:
            self._mark_gone(member, MemberState.LEFT, now)
            return
        if update.refutations < member.refutations:
            return  # an accusation that it has answered
        if update.state in (MemberState.SUSPECT, MemberState.DEAD) and member.is_present:
            # One that answered this worker a moment ago is not suspected on hearsay.
            answered_lately = (
                member.last_ack_at is not None and now - member.last_ack_at <= 2 * self.ack_timeout_s
            )
            if not answered_lately:
                self._suspect(member, sender, now)

    def _apply_refutations(self, member: Member, refutations: int, now: float) -> None:
        """It has answered all accusations below this number: they are over, a death too.

        One that left is gone for good.
        """
        if refutations <= member.refutations:
            return
        member.refutations = refutations
        if member.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._mark_alive(member, now)
        self._spread(member.incarnation.name)

    def set_contact(self, name: str, address: str, site: str) -> None:
        """Where a known member says that it is."""
        self.members[name].address = address
        self.members[name].site = site

    def mark_left(self, incarnation: Incarnation, now: float) -> None:
        """The member said itself that it shuts down."""
        member = self.members.get(incarnation.name)
        if member is not None and member.incarnation == incarnation and member.state != MemberState.LEFT:
            self._mark_gone(member, MemberState.LEFT, now)

    def apply_status(self, update: MemberUpdate, round_trip_s: float, now: float) -> None:
        """A status from an acknowledgement; `round_trip_s`: since the ping that it answers was sent."""
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

    # ---- what is sent
    def select_gossip(self, own_update: MemberUpdate, recipient: str = "") -> list[MemberUpdate]:
        """The gossip for one message.

        A recipient that is accused is told so each time that it is pinged: nobody else can end a false
        accusation.
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
