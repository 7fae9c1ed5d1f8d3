"""Who is in the fleet: probes with indirect probes, suspicion and a check of one's own lateness. No I/O; s.

Each period one member is pinged, in a shuffled round; one that does not answer is asked for through others,
then suspected, and is dead only once nobody has heard from it for a while. Who is late himself judges
nobody, and who hears nobody says that he is alone. The load of a worker does not grow with the fleet.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from ochrehoist.peers.wire import Incarnation, MemberUpdate

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"
RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
LATE_S = 0.25  # between two beats more than meant, from which on this worker was late itself
MOST_LATE = 8  # times its patience that a late one has at most
FORGET_S = 600.0  # that one who is gone is still listed
MOST_MEMBERS = 1024
RUMOURS = 8  # in a message


@dataclass(slots=True)
class Member:
    life: Incarnation
    address: str
    site: str
    state: str
    since: float
    heard_at: float | None = None  # an answer to a ping of ours came, by whatever way
    suspect_at: float = 0.0
    accusers: set[str] = field(default_factory=set)
    refutations: int = 0  # the highest known: what is said of it at a lower one is over
    version: int = 0
    told_at: float | None = None  # its status was so at this moment or later
    status: bytes = b""

    def entry(self, now: float) -> MemberUpdate:
        age = -1 if self.told_at is None else max(0, math.ceil((now - self.told_at) * 1000))
        return self._entry(age, self.status)

    def rumour(self) -> MemberUpdate:
        return self._entry(-1, b"")

    def _entry(self, age: int, status: bytes) -> MemberUpdate:
        return MemberUpdate(
            self.life, self.address, self.site, self.state, self.version, age, status, self.refutations
        )


@dataclass(slots=True)
class Probe:
    name: str
    nonce: int
    at: float
    asked: bool = False  # others were asked too


class Membership:
    """`addresses`: names whose address is known from the configuration, whatever is said of it."""

    def __init__(
        self,
        life: Incarnation,
        address: str,
        site: str,
        addresses: dict[str, str],
        period: float,
        now: float,
        seed: int,
    ) -> None:
        self.life, self.address, self.site, self.period = life, address, site, period
        self.addresses = addresses
        self.rng = Random(seed)
        self.members: dict[str, Member] = {}
        self.ended: dict[str, Incarnation] = {}  # the latest life of each name that was ever known
        self.round: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.rumours: dict[str, int] = {}  # names to tell of, and how often it still is
        self.last_beat, self.next_probe = now, now
        self.refutations = 0  # accusations of this life that it answered: SWIM's incarnation number
        self.lateness = 0  # 0: well; each step makes it more patient with others
        self.heard_any: float | None = None  # when any answer came
        self.born, self.alone_since = now, now
        self.established = False
        self.duplicate: Incarnation | None = None  # another process that believes that it is this member,
        self.followed = False  # and whom others take for it
        self.deaths: list[tuple[float, str, float]] = []  # when, who, how long after it was heard last
        self.was_late = 0

    # ---- what is known
    def live(self) -> list[str]:
        """Names of others that are not known to be gone."""
        return [n for n, m in self.members.items() if m.state in (ALIVE, SUSPECT)]

    def heard(self, now: float, within: float) -> list[str]:
        return [
            n
            for n, m in self.members.items()
            if m.heard_at is not None and now - m.heard_at <= within and m.state in (ALIVE, SUSPECT)
        ]

    @property
    def patience(self) -> float:
        """s that an answer may take."""
        return 3 * self.period * (1 + self.lateness)

    def alone(self, now: float) -> float | None:
        """s for which nobody was heard, while there are others to hear; None where somebody was."""
        if not self.live() and not self.addresses:
            return None
        since = self.heard_any if self.heard_any is not None else self.born
        silent = now - since
        return silent if silent > self.patience + 4 * self.period else None

    def address_of(self, name: str) -> str | None:
        if name in self.addresses:
            return self.addresses[name]
        m = self.members.get(name)
        return m.address if m is not None else None

    def incarnation_of(self, name: str) -> int:
        m = self.members.get(name)
        return m.life.number if m is not None else 0

    # ---- time
    def beat(self, now: float) -> list[tuple[str, int, bool]]:
        """Lets time pass: who is to be pinged with which nonce; True where others are to be asked to."""
        gap, self.last_beat = now - self.last_beat, now
        if gap > LATE_S:
            self._was_late(gap)
        out: list[tuple[str, int, bool]] = []
        for probe in list(self.probes.values()):
            waited = now - probe.at
            if waited > 2 * self.patience:
                del self.probes[probe.nonce]
                self._unanswered(probe.name, now)
            elif waited > self.patience and not probe.asked:
                probe.asked = True
                out.append((probe.name, probe.nonce, True))
        self._judge(now)
        if now >= self.next_probe:
            self.next_probe = max(now, self.next_probe + self.period) if gap <= LATE_S else now + self.period
            name = self._next()
            if name is not None:
                nonce = self.rng.getrandbits(62) | 1
                self.probes[nonce] = Probe(name, nonce, now)
                out.append((name, nonce, False))
        return out

    def _was_late(self, gap: float) -> None:
        """It stood still: what did not come meanwhile says nothing about the others."""
        self.was_late += 1
        self.lateness = min(MOST_LATE, self.lateness + 1 + int(gap))
        self.probes.clear()
        for m in self.members.values():
            m.suspect_at += gap
        if self.heard_any is not None:
            self.heard_any += gap

    def _next(self) -> str | None:
        while True:
            while self.round:
                name = self.round.pop()
                if name in self.addresses or name in self.members:
                    # The dead are asked now and then too: after a cut nobody else would tell of them.
                    m = self.members.get(name)
                    if m is None or m.state in (ALIVE, SUSPECT) or self.rng.random() < 0.25:
                        return name
            names = set(self.addresses) | set(self.members)
            names.discard(self.life.name)
            if not names:
                return None
            self.round = sorted(names)
            self.rng.shuffle(self.round)
            if all(self.members.get(n) and self.members[n].state in (DEAD, LEFT) for n in names):
                return self.round.pop()

    def _unanswered(self, name: str, now: float) -> None:
        self.lateness = min(MOST_LATE, self.lateness + 1) if self.alone(now) is not None else self.lateness
        m = self.members.get(name)
        if m is not None and m.state == ALIVE:
            self._suspect(m, self.life.name, now)

    def _suspect(self, m: Member, accuser: str, now: float) -> None:
        if m.state == ALIVE:
            m.state, m.since, m.suspect_at, m.accusers = SUSPECT, now, now, set()
        if accuser not in m.accusers:
            m.accusers.add(accuser)
            self._spread(m.life.name)

    def _span(self, m: Member) -> float:
        """s of suspicion: shorter the more there are who heard nothing either."""
        # Never so short that a pause of a second, with some messages lost after it, looks like a death.
        least = 18 * self.period * (1 + self.lateness)
        most = least * max(1.0, math.log2(len(self.members) + 2) / 2)
        return max(least, most - (most - least) * math.log2(len(m.accusers) + 1) / 2)

    def _judge(self, now: float) -> None:
        """Suspects that had their time. Who hears nobody can't tell their death from being cut off."""
        for name, m in list(self.members.items()):
            if m.state == SUSPECT and now - m.suspect_at > self._span(m):
                if self.heard_any is None or self.heard_any <= m.suspect_at:
                    continue
                self._gone(m, DEAD, now)
            elif m.state in (DEAD, LEFT) and now - m.since > FORGET_S and name not in self.addresses:
                del self.members[name]
        if self.alone(now) is None:
            self.alone_since = now

    def _gone(self, m: Member, state: str, now: float) -> None:
        if state == DEAD:
            self.deaths.append((now, m.life.name, now - (m.heard_at if m.heard_at is not None else now)))
            del self.deaths[:-100]
        m.state, m.since = state, now
        self._spread(m.life.name)

    # ---- what is heard
    def answered(self, nonce: int, name: str, now: float) -> Probe | None:
        """An answer to a ping of ours: the only thing that proves a member to be there."""
        probe = self.probes.get(nonce)
        if probe is None or probe.name != name:
            return None
        del self.probes[nonce]
        self.heard_any, self.established = now, True
        if self.lateness and self.rng.random() < 0.5:
            self.lateness -= 1
        m = self.members.get(name)
        if m is not None:
            m.heard_at = now
            if m.state == SUSPECT:
                m.state, m.since, m.accusers = ALIVE, now, set()
                self._spread(name)
        return probe

    def met(self, life: Incarnation, address: str, site: str, now: float) -> bool:
        """A message of this life came; whether it is to be heard: one of an earlier life is not."""
        if life.name == self.life.name:
            return self.namesake(life)
        last = self.ended.get(life.name)
        if last is not None and last.supersedes(life):
            return False
        m = self.members.get(life.name)
        if m is None:
            if len(self.members) >= MOST_MEMBERS:
                return False
            m = self.members[life.name] = Member(life, address, site, ALIVE, now)
            self._spread(life.name)
        elif life.supersedes(m.life):
            self.members[life.name] = Member(life, address or m.address, site, ALIVE, now)
            self._spread(life.name)
        elif m.state in (DEAD, LEFT) and m.life == life and m.state != LEFT:
            m.state, m.since, m.accusers = ALIVE, now, set()  # it speaks: it was cut off
            self._spread(life.name)
        self.ended[life.name] = life
        if len(self.ended) > 4 * MOST_MEMBERS:
            self.ended.pop(next(n for n in self.ended if n not in self.members))
        return True

    def namesake(self, life: Incarnation, heard: bool = True) -> bool:
        """Somebody tells of a life of this name that is not this one; `heard`: and takes it for the
        member."""
        if life != self.life and life.supersedes(self.life):
            if not self.established:
                # What is left of a process before this one, whose clock was ahead: this one comes after it.
                self.life = Incarnation(self.life.name, life.number + 1, self.life.boot_id)
            else:
                self.duplicate, self.followed = life, self.followed or heard
        return False

    def rumour(self, e: MemberUpdate, by: str, now: float) -> None:
        """Hearsay: of states and addresses; it never proves anybody to be there."""
        name = e.incarnation.name
        if name == self.life.name:
            if e.incarnation != self.life:
                self.namesake(e.incarnation)
            elif e.state in (SUSPECT, DEAD):
                # Said to be dead: it says that it is not, above the number of whoever says so.
                self.refutations = max(self.refutations, e.refutations + 1)
                self._spread(name)
            return
        m = self.members.get(name)
        if m is None or e.incarnation.supersedes(m.life):
            last = self.ended.get(name)
            if e.state in (DEAD, LEFT) or (last is not None and last.supersedes(e.incarnation)):
                if m is None and last is None:
                    self.ended[name] = e.incarnation  # known only as gone
                return
            if self.met(e.incarnation, e.address, e.site, now):
                self._refuted(self.members[name], e.refutations, now)
            return
        if e.incarnation != m.life or e.state not in RANK:
            return
        self._refuted(m, e.refutations, now)
        if e.state == LEFT and m.state in (ALIVE, SUSPECT):
            self._gone(m, LEFT, now)
        elif e.refutations < m.refutations:
            return  # an accusation that it has answered
        elif e.state in (SUSPECT, DEAD) and m.state in (ALIVE, SUSPECT):
            # Own hearing goes before hearsay: one that answered a moment ago is not suspected for it.
            if m.heard_at is None or now - m.heard_at > 2 * self.patience:
                self._suspect(m, by, now)

    def _refuted(self, m: Member, refutations: int, now: float) -> None:
        """It is known to have answered accusations up to this one: what was held against it before is
        over, a death too. Who left stays so."""
        if refutations <= m.refutations:
            return
        m.refutations = refutations
        if m.state in (SUSPECT, DEAD):
            m.state, m.since, m.accusers = ALIVE, now, set()
        self._spread(m.life.name)

    def left(self, life: Incarnation, now: float) -> None:
        m = self.members.get(life.name)
        if m is not None and m.life == life and m.state != LEFT:
            self._gone(m, LEFT, now)

    def learn(self, e: MemberUpdate, lag: float, now: float) -> None:
        """A status, with the most that it can be old; `lag`: since the ping that it answers was sent."""
        m = self.members.get(e.incarnation.name)
        if m is None or m.life != e.incarnation:
            return
        self._refuted(m, e.refutations, now)
        if e.age_ms < 0:
            return
        told = now - lag - e.age_ms / 1000
        if e.version > m.version or (e.version == m.version and (m.told_at is None or told > m.told_at)):
            m.version, m.told_at, m.status = e.version, told, e.status

    # ---- what is told
    def _spread(self, name: str) -> None:
        self.rumours[name] = 3 * max(1, math.ceil(math.log2(len(self.members) + 2)))

    def to_tell(self, now: float, me: MemberUpdate, to: str = "") -> list[MemberUpdate]:
        """The rumours for one message, the least told first. One who is accused is told so each time that
        it is asked (`to`): nobody else can end a false accusation."""
        accused = self.members.get(to)
        if accused is not None and accused.state not in (SUSPECT, DEAD):
            accused = None
        out = [accused.rumour()] if accused is not None else []
        names = sorted(self.rumours, key=lambda n: -self.rumours[n])[: RUMOURS - len(out)]
        for name in names:
            self.rumours[name] -= 1
            if self.rumours[name] <= 0:
                del self.rumours[name]
            m = self.members.get(name)
            if name == self.life.name:
                out.append(me)
            elif m is not None and m is not accused:
                out.append(m.rumour())
        return out

    def some(self, count: int, without: Iterable[str]) -> list[str]:
        """Names of live members by chance."""
        rest = [n for n in self.live() if n not in without]
        return rest if len(rest) <= count else self.rng.sample(rest, count)
