"""One worker's part in the fleet, on explicit time: takes messages and beats, gives messages to send. No I/O.

It binds membership, rights, counts and judgements together. What it says to others and what others may
change here is decided in this one place: see `Group.took`.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from ochrehoist.peers.budget import Budget
from ochrehoist.peers.counter_encoding import MAX_SNAPSHOT_BYTES
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.lease_assignment import PeerDemand, choose_transfer, slot_mask, slots_to_request
from ochrehoist.peers.leases import LeaseGrantor, LeaseHolder
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.outlier_detection import OutlierDetector
from ochrehoist.peers.remote_health import RemoteReport
from ochrehoist.peers.usage import UsageMeter
from ochrehoist.peers.wire import (
    MAX_DATAGRAM_BYTES,
    UNKNOWN_INCARNATION,
    Ack,
    BudgetDemand,
    ExtensionMessage,
    Hello,
    Incarnation,
    KnownVersion,
    LeaseGranted,
    LeaseReleased,
    LeaseRequest,
    MemberLeft,
    MemberState,
    MemberUpdate,
    Message,
    MessageRejectedError,
    Payload,
    Ping,
    PingRequest,
    ReplayWindow,
    Superseded,
    WorkerStatus,
    decode_status,
    encode_status,
)

KNOW = 24  # names of a ping whose news are asked for
NEWS = 12  # entries of an answer
ENTRIES_BYTES = 8192  # of its sender, its rumours and the news: the counts must find room beside them
FRAME_BYTES = 1024  # of what is round them
HELPERS = 3
FRESH_S = 2.0  # that another's wish for a right counts
HELLO_S = 0.2  # between two words to one that does not know this life
CLAIM_S = 0.2  # between two claims of what is not held yet
GIVE_S = 0.1  # between two gifts of one budget
ASIDE_S = 1.0  # that a right given away is not claimed again
MOST_SEEN = 4096
REACT_S = 0.05  # between two looks at the services


@dataclass(frozen=True)
class Terms:
    """What is configured; all of it but `group` may change while the worker runs."""

    group: str
    address: str
    site: str
    addresses: Mapping[str, str]  # of members, by name
    start: tuple[str, ...]  # addresses of whom no name is known
    period: float
    budgets: tuple[Budget, ...]
    services: tuple[str, ...]
    most_out: float
    most_per_s: float


@dataclass
class Share:
    """One budget, as voter and as holder."""

    voter: LeaseGrantor | None
    holder: LeaseHolder
    meter: UsageMeter
    given_at: float = 0.0
    aside: dict[int, float] = field(default_factory=dict)  # rights given away, and until when
    promised: dict[int, float] = field(default_factory=dict)  # rights given to this worker, likewise


class Extension(Protocol):
    """Something that workers share beside what is here; times as the group's."""

    def status(self, now: float) -> bytes:
        """What all others are to know of this worker; small, as it goes with each answer."""
        ...

    def sends(self, now: float) -> list[tuple[str, str, bytes]]:
        """Messages to members: name, topic, data. Asked at each beat."""
        ...

    def took(self, sender: Incarnation, topic: str, data: bytes, now: float) -> list[tuple[str, bytes]]:
        """One that came; answers to its sender, as topic and data."""
        ...


@dataclass(frozen=True)
class Send:
    """A message to be packed: to a name, or to an address whose name is not known."""

    to: str
    address: str
    to_inc: int
    items: list[Payload]


class Group:
    def __init__(self, terms: Terms, life: Incarnation, now: float, seed: int) -> None:
        self.terms, self.rng = terms, Random(seed)
        self.members = Membership(
            life, terms.address, terms.site, self._others(terms), terms.period, now, seed
        )
        self.counters = ReplicatedCounters(life, terms.most_per_s, now)
        self.outliers = OutlierDetector(
            terms.services, terms.most_out, seed, remote_reports=self.remote_reports, fleet_size=self._size
        )
        self.shares: dict[str, Share] = {}
        self.now, self.looked = now, now
        self.seen: dict[Incarnation, ReplayWindow] = {}
        self.counted: Counter = Counter()  # messages by what became of them
        self.version, self.status = 0, b""
        self.helping: dict[int, tuple[str, int, str]] = {}  # our nonce: for whom, their nonce, of whom
        self.hellos: dict[str, float] = {}
        self.decoded: dict[str, tuple[int, WorkerStatus]] = {}
        self.ended_at: dict[Incarnation, float] = {}
        self.leaving = False
        self.yielded = False  # another process is this member now
        self.extensions: dict[str, Extension] = {}  # by the topic that their messages begin with
        self._take_budgets(terms.budgets, now)

    def _others(self, terms: Terms) -> dict[str, str]:
        return {n: a for n, a in terms.addresses.items() if a != terms.address}

    def _size(self) -> int:
        """Workers that may be trying a service now. One that is not heard may only be cut off, and trying
        too: a service that comes back must not get the whole fleet's trials from each part of it."""
        known = self._others(self.terms).keys() | self.members.members.keys()
        left = {n for n, m in self.members.members.items() if m.state == MemberState.LEFT}
        return 1 + len(known - left)

    @property
    def life(self) -> Incarnation:
        return self.members.incarnation

    def _take_budgets(self, budgets: tuple[Budget, ...], now: float) -> None:
        name = self.members.incarnation.name
        known, self.shares = self.shares, {}
        for b in budgets:
            share = known.get(b.name)
            if share is None:
                holder = LeaseHolder(b)
                share = Share(None, holder, UsageMeter(holder))
            share.holder.reconfigure(b)
            if name not in b.grantors:
                share.voter = None
            elif share.voter is None:
                share.voter = LeaseGrantor(b, now)
            else:
                share.voter.reconfigure(b, now)
            self.shares[b.name] = share

    def retune(self, terms: Terms, now: float) -> None:
        """New settings while it runs."""
        self.terms = terms
        self.members.addresses, self.members.protocol_period_s = self._others(terms), terms.period
        self.members.site = terms.site
        self.counters.max_rate_per_s = terms.most_per_s
        self.outliers.configure(terms.services, terms.most_out)
        self._take_budgets(terms.budgets, now)

    # ---- time
    def beat(self, now: float) -> list[Send]:
        self.now = now
        out: list[Send] = []
        m = self.members
        self.outliers.tick(now, REACT_S)
        self.counters.incarnation = m.incarnation
        if m.duplicate is not None and m.duplicate_followed and not self.yielded:
            self.yielded = True
            out += self._give_all_back()
        if now - self.looked >= REACT_S:
            self.looked = now
            self.outliers.evaluate(now)
        self._renew_status(now)
        for probe in m.tick(now):
            if probe.indirect:
                for helper in m.sample_live(HELPERS, (probe.target,)):
                    out += self._to(helper, [PingRequest(probe.nonce, probe.target)])
            else:
                out += self._to(probe.target, [self._ping(probe.target, probe.nonce, now)])
        if not m.members:
            for address in self.terms.start:
                if address != self.terms.address and self._may_greet(address, now):
                    out.append(
                        Send("", address, UNKNOWN_INCARNATION, [Hello(self.terms.address, self.terms.site)])
                    )
        for name, extension in self.extensions.items():
            for to, topic, data in extension.sends(now):
                out += self._to(to, [ExtensionMessage(f"{name}/{topic}", data)])
        if len(self.helping) > 256:
            self.helping.clear()
        self._note_ends(now)
        if not self.yielded and (m.established or self._only_voter()):
            for share in self.shares.values():
                out += self._rights(share, now)
        return out

    def _only_voter(self) -> bool:
        return not self.members.addresses and not self.terms.start

    def _note_ends(self, now: float) -> None:
        for m in self.members.members.values():
            if m.state in (MemberState.DEAD, MemberState.LEFT) and m.incarnation not in self.ended_at:
                self.ended_at[m.incarnation] = m.state_since
                self.counters.mark_ended(m.incarnation)
            elif m.is_present and m.incarnation in self.ended_at:  # it was called dead, and is there
                del self.ended_at[m.incarnation]
                self.counters.mark_present(m.incarnation)
        current = {m.incarnation.name: m.incarnation for m in self.members.members.values()}
        for life, book in self.counters.replicas.items():
            if not book.ended and life.name in current and current[life.name].supersedes(life):
                self.ended_at.setdefault(life, now)
                book.ended = True
        for life in [
            x
            for x in self.ended_at
            if x not in self.counters.replicas and (x.name not in current or current[x.name] != x)
        ]:
            del self.ended_at[life]

    def _renew_status(self, now: float) -> None:
        holdings = []
        for name, share in self.shares.items():
            demand = share.meter.demand(now)
            claimed = slot_mask(share.holder.leases) | slot_mask(
                r for r, t in share.promised.items() if t > now
            )
            holdings.append(BudgetDemand(name, claimed, demand.wanted, demand.denied))
        more = {name: extension.status(now) for name, extension in self.extensions.items()}
        alone = self.members.isolated_for_s(now) is not None
        status = WorkerStatus(self.leaving, alone, self.outliers.observations(now), holdings, more)
        self.version += 1
        self.status = encode_status(status)

    def _me(self) -> MemberUpdate:
        return MemberUpdate(
            self.life,
            self.terms.address,
            self.terms.site,
            MemberState.LEFT if self.leaving else MemberState.ALIVE,
            self.version,
            0,
            self.status,
            self.members.refutations,
        )

    def _ping(self, to: str, nonce: int, now: float) -> Ping:
        members = self.members.members
        names = list(members) if len(members) <= KNOW else self.rng.sample(list(members), KNOW)
        know = [KnownVersion(n, members[n].incarnation.number, members[n].version) for n in names]
        asks = self.counters.cursors_for(to, self.members.incarnation_number_of(to))
        return Ping(nonce, know, self.members.select_gossip(self._me(), to), asks)

    def _to(self, name: str, items: list[Payload]) -> list[Send]:
        address = self.members.address_of(name)
        if not address:
            return []
        hello = Hello(self.terms.address, self.terms.site)
        inc = self.members.incarnation_number_of(name)
        if not inc:
            return [Send(name, address, UNKNOWN_INCARNATION, [hello])]
        return [Send(name, address, inc, [hello, *items] if isinstance(items[0], Ping) else items)]

    def _may_greet(self, key: str, now: float) -> bool:
        if now - self.hellos.get(key, -1e9) < HELLO_S:
            return False
        if len(self.hellos) > MOST_SEEN:
            self.hellos.clear()
        self.hellos[key] = now
        return True

    # ---- messages
    def took(self, message: Message, source: str, now: float) -> list[Send]:
        """A message whose digest is right. What is not for this life of this worker changes nothing."""
        self.now = now
        me, sender = self.life, message.sender
        if sender == me:
            self.counted["own"] += 1
            return []
        if message.recipient not in ("", me.name):
            self.counted["not for us"] += 1
            return []
        if sender.name == me.name:
            self.counted["same name"] += 1
            self.members.note_duplicate(sender)
            return []
        if message.recipient_number != me.number:
            # It does not know this life yet, or was said to the one before: it only learns who is here.
            # Said to a later life of this name, which so is, or was, somewhere.
            if message.recipient_number > me.number:
                self.members.note_duplicate(
                    Incarnation(me.name, message.recipient_number, UNKNOWN_INCARNATION), followed=False
                )
            self.counted[
                "greeting" if message.recipient_number == UNKNOWN_INCARNATION else "to a life before"
            ] += 1
            address = self.members.addresses.get(sender.name) or source
            if self._may_greet(f"{sender.name}/{address}", now):
                return [
                    Send(sender.name, address, sender.number, [Hello(self.terms.address, self.terms.site)])
                ]
            return []
        seen = self.seen.get(sender)
        if seen is None:
            if len(self.seen) >= MOST_SEEN:
                self.seen.pop(next(iter(self.seen)))
            seen = self.seen[sender] = ReplayWindow()
        if not seen.accept(message.sequence):
            self.counted["repeated"] += 1
            return []
        hello = next((i for i in message.payloads if isinstance(i, Hello)), None)
        if not self.members.on_message_from(
            sender, hello.address if hello else source, hello.site if hello else "", now
        ):
            self.counted["earlier life"] += 1
            later, address = (
                self.members.latest_incarnations.get(sender.name),
                self.members.addresses.get(sender.name) or source,
            )
            if later is not None and self._may_greet(f"{sender.name}/{address}", now):
                return [Send(sender.name, address, sender.number, [Superseded(later)])]
            return []
        self.counted["heard"] += 1
        out: list[Send] = []
        for item in message.payloads:
            out += self.TAKES[type(item)](self, item, sender, now)
        return out

    def _hello(self, item: Hello, sender: Incarnation, now: float) -> list[Send]:
        m = self.members.members[sender.name]
        m.address, m.site = item.address, item.site
        return []

    def _pinged(self, item: Ping, sender: Incarnation, now: float) -> list[Send]:
        for e in item.gossip:
            self.members.apply_gossip(e, sender.name, now)
        known = {known.name: (known.number, known.version) for known in item.known_versions}
        entries = [self._me()]
        news = []
        for name, m in self.members.members.items():
            if (
                name != sender.name
                and m.status_as_of is not None
                and (m.incarnation.number, m.version) > known.get(name, (0, -1))
                and (name in known or len(known) < KNOW)
            ):
                news.append(m)
        if len(news) > NEWS:
            news = self.rng.sample(news, NEWS)
        rumours = self.members.select_gossip(self._me())
        room = ENTRIES_BYTES - sum(e.max_size() for e in (*entries, *rumours))
        for e in (m.status_update(now) for m in news):
            room -= e.max_size()
            if room < 0:
                break
            entries.append(e)
        ack = Ack(item.nonce, "", entries, rumours)
        if self.members.established and item.cursors is None:
            rest = MAX_DATAGRAM_BYTES - FRAME_BYTES - sum(e.max_size() for e in (*entries, *rumours))
            ack.snapshots = self.counters.snapshots(now, min(rest, MAX_SNAPSHOT_BYTES))
        elif self.members.established:
            ack.deltas = self.counters.deltas_for(item.cursors, now)
        return self._to(sender.name, [ack])

    def _acked(self, item: Ack, sender: Incarnation, now: float) -> list[Send]:
        for e in item.gossip:
            self.members.apply_gossip(e, sender.name, now)
        helped = self.helping.pop(item.nonce, None)
        if helped is not None:
            asker, nonce, of = helped
            if of != sender.name or not item.updates or asker not in self.members.members:
                return []
            return self._to(asker, [Ack(nonce, of, item.updates[:1], [], [])])
        probe = self.members.on_ack(item.nonce, item.subject or sender.name, now)
        if probe is None:
            return []
        lag = now - probe.sent_at
        for e in item.updates:
            if e.incarnation.name == self.life.name:
                continue
            if e.incarnation.name not in self.members.members:
                self.members.apply_gossip(e, sender.name, now)
            self.members.apply_status(e, lag, now)
        for t in item.snapshots:
            self.counters.merge_snapshot(t, lag, now, self._is_here(t.incarnation))
        for p in item.deltas:
            self.counters.merge_delta(p, lag, now, self._is_here(p.incarnation))
        return []

    def _is_here(self, life: Incarnation) -> bool:
        m = self.members.members.get(life.name)
        return m is not None and m.incarnation == life and m.is_present

    def _asked(self, item: PingRequest, sender: Incarnation, now: float) -> list[Send]:
        nonce = self.rng.getrandbits(62) | 1
        self.helping[nonce] = sender.name, item.nonce, item.target
        return self._to(item.target, [self._ping(item.target, nonce, now)])

    def _claimed(self, item: LeaseRequest, sender: Incarnation, now: float) -> list[Send]:
        share = self.shares.get(item.budget)
        if share is None or share.voter is None:
            return []
        granted = share.voter.grant(sender, item.terms_digest, item.round_number, item.slots, now)
        return (
            self._to(sender.name, [LeaseGranted(item.budget, item.round_number, granted)]) if granted else []
        )

    def _vouched(self, item: LeaseGranted, sender: Incarnation, now: float) -> list[Send]:
        share = self.shares.get(item.budget)
        if share is not None and not self.yielded:
            share.holder.record_grant(sender.name, item.round_number, item.slots, now)
        return []

    def _released(self, item: LeaseReleased, sender: Incarnation, now: float) -> list[Send]:
        share = self.shares.get(item.budget)
        if share is None:
            return []
        if share.voter is not None:
            share.voter.release(sender, item.round_number, item.slots)
        for r in item.slots:
            if item.recipient == self.life.name:
                share.promised[r] = now + ASIDE_S
                share.aside.pop(r, None)
            elif item.recipient:
                share.aside[r] = now + ASIDE_S
        return []

    def _left(self, item: MemberLeft, sender: Incarnation, now: float) -> list[Send]:
        self.members.mark_left(sender, now)
        return []

    def _later(self, item: Superseded, sender: Incarnation, now: float) -> list[Send]:
        if item.incarnation.name == self.life.name:
            self.members.note_duplicate(item.incarnation)
        return []

    def say(self, name: str, topic: str, data: bytes) -> list[Send]:
        return self._to(name, [ExtensionMessage(topic, data)])

    def _said(self, item: ExtensionMessage, sender: Incarnation, now: float) -> list[Send]:
        name, _, topic = item.topic.partition("/")
        extension = self.extensions.get(name)
        if extension is None:
            return []
        answers = extension.took(sender, topic, item.data, now)
        return [
            s for t, data in answers for s in self._to(sender.name, [ExtensionMessage(f"{name}/{t}", data)])
        ]

    TAKES = {
        ExtensionMessage: _said,
        Hello: _hello,
        Superseded: _later,
        Ping: _pinged,
        Ack: _acked,
        PingRequest: _asked,
        LeaseRequest: _claimed,
        LeaseGranted: _vouched,
        LeaseReleased: _released,
        MemberLeft: _left,
    }

    # ---- rights
    def _rights(self, share: Share, now: float) -> list[Send]:
        b, holder, me = share.holder.budget, share.holder, self.life.name
        out: list[Send] = []
        failed = holder.timed_out_slots(now)
        if failed:
            holder.lost_count += len(failed)
            out += self._give_back(share, failed, "")
            for r in failed:
                share.aside[r] = now + ASIDE_S * (0.5 + self.rng.random())
        for book in (share.aside, share.promised):
            for r in [r for r, until in book.items() if until <= now]:
                del book[r]
        others = self.views(b.name, now)
        for r in share.promised:
            holder.request(r, now)
        # A worker that nobody hears claims nothing: those who may be there decide without it.
        if self.members.isolated_for_s(now) is None and not self.leaving:
            alive = {me, *self.members.live_names()} - self._going()
            for r in slots_to_request(b, me, set(holder.leases) | set(share.aside), alive, others):
                holder.request(r, now)
        if now - share.given_at >= GIVE_S:
            wanted = share.meter.demand(now).wanted
            gift = choose_transfer(b, holder.held_slots(now), wanted, share.meter.transferable(now), others)
            if gift is not None:
                share.given_at = now
                share.aside[gift.slot] = now + ASIDE_S
                out += self._give_back(share, [gift.slot], gift.recipient)
        round_, due = holder.due_slots(now, CLAIM_S)
        if due:
            if share.voter is not None:
                granted = share.voter.grant(self.life, b.terms_digest, round_, due, now)
                holder.record_grant(me, round_, granted, now)
            claim = LeaseRequest(b.name, b.terms_digest, round_, due)
            for voter in b.grantors:
                # Only where the configuration says that it is: one address has one process, so a name that
                # two processes believe to be theirs has one vote.
                address = self.members.addresses.get(voter)
                if voter != me and address and voter in self.members.members:
                    out.append(Send(voter, address, self.members.incarnation_number_of(voter), [claim]))
        return out

    def _give_back(self, share: Share, rights: list[int], to: str) -> list[Send]:
        round_, gone = share.holder.drop(rights)
        if not gone:
            return []
        if share.voter is not None:
            share.voter.release(self.life, round_, gone)
        names = set(share.holder.budget.grantors) | ({to} if to else set())
        word = LeaseReleased(share.holder.budget.name, round_, gone, to)
        return [s for n in sorted(names - {self.life.name}) for s in self._to(n, [word])]

    def _give_all_back(self) -> list[Send]:
        out: list[Send] = []
        for share in self.shares.values():
            if share.meter.runs:  # they go on: their rights run out by themselves, and no sooner
                share.holder.drop(list(share.holder.leases))
            else:
                out += self._give_back(share, list(share.holder.leases), "")
        return out

    def _going(self) -> set[str]:
        return {n for n in self.members.members if (s := self.status_of(n)) is not None and s.leaving}

    def status_of(self, name: str) -> WorkerStatus | None:
        m = self.members.members.get(name)
        if m is None or m.status_as_of is None or not m.status:
            return None
        known = self.decoded.get(name)
        if known is None or known[0] != m.version:
            try:
                known = self.decoded[name] = (m.version, decode_status(m.status))
            except MessageRejectedError:
                return None
        return known[1]

    def views(self, budget: str, now: float) -> dict[str, PeerDemand]:
        """What the others there hold and want of a budget, as far as it is known."""
        out = {}
        for name, m in self.members.members.items():
            if not m.is_present:
                continue
            status = self.status_of(name)
            if status is None:
                continue
            fresh = now - m.status_as_of <= FRESH_S and not status.leaving
            for h in status.demands:
                if h.budget == budget:
                    out[name] = PeerDemand(h.held_slots, h.wanted, h.denied, fresh)
        return out

    def told(self, topic: str) -> dict[str, tuple[float, bytes]]:
        """What others let all know under a topic, each with the most that it can be old."""
        out = {}
        for name, m in self.members.members.items():
            status = self.status_of(name)
            if status is not None and topic in status.extensions:
                out[name] = self.now - m.status_as_of, status.extensions[topic]
        return out

    def remote_reports(self) -> dict[str, RemoteReport]:
        """What the others have seen of services, with its age."""
        out = {}
        for name, m in self.members.members.items():
            status = self.status_of(name) if m.is_present else None
            if status is not None and status.observations:
                out[name] = RemoteReport(self.now - m.status_as_of, status.observations)
        return out

    # ---- use
    def use(self, budget: str, now: float) -> int | None:
        """A ticket for one use of a budget now, or None; nothing is granted of a budget that is not there."""
        share = self.shares.get(budget)
        return share.meter.acquire(now) if share is not None and not self.yielded else None

    def done(self, budget: str, ticket: int) -> None:
        if (share := self.shares.get(budget)) is not None:
            share.meter.release(ticket)

    def part(self, budget: str, now: float) -> int | None:
        """What this worker holds of a budget; None where there is no such budget."""
        share = self.shares.get(budget)
        return share.holder.amount(now) if share is not None else None

    def asked(self, budget: str, good: bool, now: float) -> None:
        """Demand for a budget that is only judged by."""
        if (share := self.shares.get(budget)) is not None:
            share.meter.record_demand(now, good)

    def leave(self, reason: str) -> list[Send]:
        """Ends on purpose: gives all back and says so."""
        out = self._give_all_back()
        for name in self.members.live_names():
            out += self._to(name, [MemberLeft(reason)])
        return out
