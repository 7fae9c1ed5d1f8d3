"""One worker's part in the fleet's sites, on explicit time: what it lets in, asks for, knows and tells. No
I/O.

Everything that decides about sites is bound together here: the gate in front of the core (`arrives`), the
part of its load that this worker asks for (`part`), what it makes of the other sites, and operators'
orders.
"""

from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import Rejection
from ochrehoist.core.tenants import TenantTable, initial_table
from ochrehoist.peers.wire import Life
from ochrehoist.sites import orders as words_of_operators
from ochrehoist.sites.knowing import LOST, RETURNING, Knowing, Load, Seen
from ochrehoist.sites.level import Level
from ochrehoist.sites.order import LEARN, LEARN_COLD, Fleetwide, Order, Rate, part_of
from ochrehoist.sites.orders import Orders
from ochrehoist.sites.playbook import Loss, Playbook, lets_in, packed, unpacked
from ochrehoist.sites.ramp import STEPS, Lean, Leaving, Others, Ramp
from ochrehoist.sites.words import FULL, TOGETHER, SiteWord, Word, encode

S = 1_000_000_000
FRESH_S = 1.5  # that another's word counts
AGREE = 0.3  # of the order, by which a worker may let in more than the others
RATE_S = 1.0  # over which first tries are counted
USUAL_S, USUAL_FROM_S = 20.0, 3.0  # over which the usual load is learned, and from when on it is known
AWAY_S, SPREAD_S = 0.4, 0.6  # that one turned away is told, and up to so much more, where others may take it;
NOBODY_AWAY_S, NOBODY_SPREAD_S = 1.0, 2.0  # and where nobody would
ASK_BOOK, BOOK = "book?", "book"


@dataclass(slots=True, frozen=True)
class Peer:
    """Another worker, as membership and its own word tell of it. `age`: the most that the word can be old."""

    name: str
    site: str
    state: str  # of peers.members
    age: float = 0.0
    word: Word | None = None

    @property
    def alive(self) -> bool:
        return self.state == "alive"

    @property
    def fresh(self) -> bool:
        return self.word is not None and self.age <= FRESH_S and self.state in ("alive", "suspect")


@dataclass(slots=True)
class Usual:
    """First tries a second that come to this worker as a rule."""

    value: float = 0.0
    known_for: float = 0.0

    def learn(self, rate: float, span: float) -> None:
        self.known_for += span
        self.value += (rate - self.value) * min(1.0, span / min(USUAL_S, max(span, self.known_for)))


@dataclass(slots=True)
class Counts:
    let_in: int = 0
    turned_away: Counter = field(default_factory=Counter)  # by class and reason


class Desk:
    """`came_back`: this process starts with nothing in hand, and is to take its load by steps."""

    def __init__(
        self,
        name: str,
        site: str,
        settings: AdmissionSettings,
        book: Playbook | None,
        now: float,
        came_back: bool,
        tenants: TenantTable | None = None,
    ) -> None:
        self.name, self.site, self.now = name, site, now
        table = tenants if tenants is not None else initial_table(settings.tenants)
        self.order = Order(settings.classes, table, settings.over_quota_weight)
        self.level = Level(settings.cores, self._aim(settings))
        self.knowing, self.orders, self.lean = Knowing(), Orders(), Lean(now)
        self.book = self.file_book = book
        self.book_from = "its file"
        self.settings = settings
        self.ramp: Ramp | None = self._ramp(now, "started") if came_back else None
        self.leaving: Leaving | None = None
        self.rate, self.usual, self.came = Rate(RATE_S), Usual(), 0
        self.usual_of: dict[str, float] = {}  # what each worker of another site had, as last told
        self.waiting: dict[str, float] = {}  # work of requests that are held, by id
        self.running: dict[str, float] = {}
        self.counts, self.obeyed = Counts(), (0, "")
        self.peers: list[Peer] = []
        self.others = Others()
        self.permit_until = 0.0
        self.site_returns = False
        self.news: deque[tuple[str, dict[str, Any]]] = deque(maxlen=200)
        self.looked = now
        # What the shell gives: the fleet's permit for some s from now on, or 0; and takes back, where another
        # of the site asks for it.
        self.ask_permit: Callable[[float], float] = lambda now: 0.0
        self.drop_permit: Callable[[], None] = lambda: None

    @staticmethod
    def _aim(settings: AdmissionSettings) -> float:
        return min(c.latency_objective_ns for c in settings.classes) / S

    def _ramp(self, now: float, why: str) -> Ramp:
        loss = self.book.of(self.site) if self.book is not None else None
        return Ramp(now, why, loss.steps, loss.longest_s) if loss is not None else Ramp(now, why, STEPS)

    def configure(
        self,
        settings: AdmissionSettings,
        book: Playbook | None,
        now: float,
        tenants: TenantTable | None = None,
    ) -> None:
        """New settings while it runs; a playbook of another file only where it is the younger."""
        self.settings = settings
        table = tenants if tenants is not None else initial_table(settings.tenants)
        self.order.configure(settings.classes, table, settings.over_quota_weight)
        self.level.configure(settings.cores, self._aim(settings))
        if book is not None and (self.file_book is None or book.digest != self.file_book.digest):
            self.file_book = book
            if not self._take_book(book, "its file"):
                self.news.append(
                    (
                        "the playbook of the file is older than the one in use: kept the younger",
                        {"made": book.made, "in_use": self.book.made},
                    )
                )

    # ---- the core's gate
    def _ident(self, r: InboundRequest) -> tuple:
        what = (
            r.idempotency_key[2] if r.idempotency_key is not None else r.subject_hash or r.routing_key or r.id
        )
        return r.tenant or "", r.request_class.name, what

    def check_arrival(self, r: InboundRequest, now: int) -> Rejection | None:
        """Whether one that never ran is turned away before the module hears of it."""
        t, ident, cls = now / S, self._ident(r), r.request_class.name
        if self.order.came(ident, cls, r.tenant, r.is_retry, t):
            self.rate.add(t, 1.0)
            self.came += 1
            cost = self.order.cost(cls)
            if cost is not None:
                self.level.came(cost, t)
        loss, limit = self._loss(), self.limit
        held_back = loss is not None and not lets_in(loss, cls, self.order.beyond(ident, r.tenant, t), ident)
        place = self.order.place(ident, cls, r.tenant, t) if held_back or limit < 1 else 0.0
        if not held_back and (limit >= 1 or place < limit):
            self.counts.let_in += 1
            self.waiting[r.id] = self.order.cost(cls) or 0.0
            return None
        self.counts.turned_away[cls, "playbook" if held_back else "order"] += 1
        return self._turned_away(ident, place, loss)

    @property
    def limit(self) -> float:
        """Up to which place requests are let in: this worker's level, and no more than a little above what
        the others let in, or whoever tries the next worker would win by it."""
        if not self.others.count or self.ramp is not None:
            return self.level.value
        return min(self.level.value, self.others.level + AGREE)

    def _turned_away(self, ident: tuple, place: float, loss: Loss | None) -> Rejection:
        fresh = [p for p in self.peers if p.fresh]
        nobody = all(place >= p.word.level for p in fresh)
        if loss is not None:
            away, spread = loss.stay_away_ms / 1000, loss.spread_ms / 1000
        else:
            away, spread = (NOBODY_AWAY_S, NOBODY_SPREAD_S) if nobody else (AWAY_S, SPREAD_S)
        # By the hash again: a caller is told about the same wherever it asks, and no two the same.
        backoff = int(S * (away + spread * part_of("away", *ident)))
        most = self.settings.max_retry_after_ns
        return Rejection(min(backoff, most) if most else backoff, no_retry=nobody)

    def _loss(self) -> Loss | None:
        """What the playbook says of the site that is lost, where there is one of both."""
        if self.book is None:
            return None
        return next((x for s in self.knowing.lost() if (x := self.book.of(s)) is not None), None)

    def run_started(self, r: InboundRequest, now: int) -> None:
        self.running[r.id] = self.waiting.pop(r.id, 0.0)

    def run_ended(self, r: InboundRequest, now: int, took: int, outcome: Outcome) -> None:
        """A run is over; its time, less what it shared its cores, teaches what its class costs."""
        t, crowd = now / S, max(1, len(self.running))
        self.running.pop(r.id, None)
        if outcome is Outcome.OK and took > 0:
            share = min(1.0, self.settings.cores / crowd)
            learn = LEARN_COLD if self.ramp is not None else LEARN
            self.order.ran(r.request_class.name, took / S * share, learn)
            self.level.ended(self.order.cost(r.request_class.name) or 0.0, t)
        if self.ramp is not None:
            self.ramp.ended(
                outcome is Outcome.OK and now <= r.arrived_ns + r.request_class.latency_objective_ns
            )

    # ---- the core's observer
    def request_arrived(self, request: InboundRequest) -> None:
        pass

    def request_answered(self, request: InboundRequest, figure: str | None, backoff: int) -> None:
        self.waiting.pop(request.id, None)

    # ---- time
    def look(self, now: float, peers: Sequence[Peer]) -> None:
        """Ten times a second."""
        span, self.looked, self.now = now - self.looked, now, now
        self.peers = list(peers)
        self._learn(now, span)
        self.order.look(now)
        self.level.look(now, len(self.running), sum(self.waiting.values()), sum(self.running.values()))
        self._know(now, span)
        for p in self.peers:
            if p.word is not None:
                self.orders.heard(p.word.orders, p.age, now)
        self._obey(now)
        self._steps(now)

    def _learn(self, now: float, span: float) -> None:
        words = [p.word for p in self.peers if p.fresh]
        own_rates = self.order.tenant_rates(now)
        tenants: Counter[str] = Counter(own_rates)
        costs: dict[str, list[float]] = {c: [v] for c, v in self.order.costs.items()}
        for w in words:
            tenants.update(w.tenants)
            for cls, cost in w.costs.items():
                costs.setdefault(cls, []).append(cost)
        self.order.fleetwide = Fleetwide({c: sum(v) / len(v) for c, v in costs.items()}, dict(tenants))
        full = [p.word for p in self.peers if p.fresh and p.word.step == FULL and p.word.weight > 0]
        n = max(1, len(full))
        self.others = Others(
            len(full),
            sum(w.level for w in full) / n if full else 1.0,
            sum(100 * w.rate / w.weight for w in full) / n,
        )

    # ---- what it makes of the other sites
    def _know(self, now: float, span: float) -> None:
        by_site: dict[str, list[Peer]] = {}
        for p in self.peers:
            by_site.setdefault(p.site, []).append(p)
        mine = by_site.pop(self.site, [])
        seen = {site: self._seen(site, members) for site, members in by_site.items() if site}
        # Usual is what comes while all are there and take their whole part.
        whole = (
            self.ramp is None
            and self.leaving is None
            and all(
                p.state == "left"
                or p.alive
                and p.word is not None
                and p.word.step == FULL
                and p.word.weight >= 90
                for p in self.peers
            )
        )
        came, self.came = self.came, 0
        for site, members in by_site.items():  # as it was before it was lost
            told = [p.word.usual for p in members if p.fresh and p.word.step == FULL and p.word.usual]
            if told:
                self.usual_of[site] = sum(told) / len(told)
        if whole:
            self.usual.learn(came / span if span > 0 else 0.0, span)
        elif self.usual.known_for < USUAL_FROM_S:  # just started: those that were here know better
            told = [p.word.usual for p in mine if p.fresh and p.word.usual]
            told = told or [w.usual for _, w in self._words_of(self.site) if w.usual]
            if told:
                self.usual.value, self.usual.known_for = sum(told) / len(told), USUAL_FROM_S
        usual = self.usual.value if self.usual.known_for >= USUAL_FROM_S else None
        if usual is not None:  # what the dead of its own site had comes to the rest of it
            usual *= (1 + len(mine)) / (1 + sum(p.state in ("alive", "suspect") for p in mine))
        before = len(self.knowing.changes)
        self.knowing.look(now, seen, 1 + len(mine), Load(came, usual, span))
        for _, site, state, why in self.knowing.changes[before:]:
            self.news.append(("site", {"site": site, "state": state, "why": why}))

    def _words_of(self, site: str) -> list[tuple[str, SiteWord]]:
        """What those of other sites say of one, and who."""
        return [
            (p.name, w)
            for p in self.peers
            if p.site != site and p.fresh
            for w in p.word.sites
            if w.site == site
        ]

    def _seen(self, site: str, members: list[Peer]) -> Seen:
        words = self._words_of(site)
        mine = {p.name for p in self.peers if p.site == self.site}
        return Seen(
            len(members),
            sum(p.alive for p in members),
            sum(p.state == "left" for p in members),
            sum(p.alive and (p.word is None or p.word.step != FULL) for p in members),
            [w.state for by, w in words if by not in mine],
            sum(w.evidence for _, w in words),
        )

    # ---- operators
    def give(self, site: str, word: str, now: float) -> str:
        """An operator's order; what to say to him. KeyError where there is no such site or word."""
        if word not in words_of_operators.WORDS or site not in self.known_sites():
            raise KeyError(site)
        kept = self.orders.give(site, word, self.name, now)
        self.news.append(("operators", {"site": site, "order": word, "number": kept.number}))
        return f"order {kept.number}: {word} {site}, for {kept.until - now:.0f} s at the most"

    def known_sites(self) -> list[str]:
        return sorted({self.site, *(p.site for p in self.peers if p.site)})

    def _obey(self, now: float) -> None:
        kept = self.orders.now_for(self.site, now)
        word = kept.word if kept is not None else ""
        if self.ramp is not None:
            self.ramp.held = word == words_of_operators.HOLD
        if word == words_of_operators.EVACUATE:
            if self.leaving is None and any(
                p.fresh and p.site != self.site and p.word.weight for p in self.peers
            ):
                self.leaving, self.ramp = Leaving(now, f"evacuated by {kept.by}"), None
                self.news.append(("evacuating", {"by": kept.by}))
        elif self.leaving is not None and word != words_of_operators.HOLD:
            self.leaving = None
            self.ramp = self._ramp(now, "returned by operators" if word else "its evacuation has ended")
            self.news.append(("returning", {"why": self.ramp.why}))
        if kept is None or self.obeyed == (kept.number, kept.by):
            return
        self.obeyed = kept.number, kept.by
        if self.ramp is not None and word == words_of_operators.SKIP:
            self.ramp.skip(now, kept.by)
        elif self.ramp is not None and word == words_of_operators.END:
            self.ramp.end(now, kept.by)

    # ---- the part of its load that it asks for
    @property
    def part(self) -> float:
        """From 0 (none) to 1."""
        if self.leaving is not None:
            return self.leaving.part
        return self.ramp.part if self.ramp is not None else self.lean.part

    @property
    def empty(self) -> bool:
        """Evacuated, and its steps down are over."""
        return self.leaving is not None and self.leaving.empty

    def _steps(self, now: float) -> None:
        if self.leaving is not None:
            if self.leaving.look(now, self.others):
                self.news.append(("asks for less", {"part": self.part, "why": self.leaving.why}))
            return
        if self.ramp is None:
            self.lean.look(now, self.level.steady, self.others)
            return
        permit, asked = self._permit(now)
        before = len(self.ramp.history), self.ramp.history[-1][0]
        level = self.level
        self.ramp.look(now, level.steady, lambda rate: level.at(rate, now), self.others, permit, asked)
        if (len(self.ramp.history), self.ramp.history[-1][0]) != before:
            self.news.append(("step", {"part": self.part, "why": self.ramp.history[-1][2]}))
        if self.ramp.over:
            self.news.append(("back at full service", {"after_s": round(now - self.ramp.began, 2)}))
            self.ramp, self.lean = None, Lean(now)

    def _permit(self, now: float) -> tuple[bool, float]:
        """Whether its site may step now, and for how long the others ask it to wait."""
        mine = [p for p in self.peers if p.site == self.site]
        told = [w for _, w in self._words_of(self.site)]
        coming = [p for p in mine if p.alive and p.fresh and p.word.step != FULL]
        self.site_returns = (
            any(w.state in (LOST, RETURNING) for w in told)
            or (len(mine) > 0 and 2 * (1 + len(coming)) >= 1 + len(mine))
            or self.ramp.why.startswith("returned")
        )
        if not self.site_returns:
            self.drop_permit()
            return True, 0.0
        asked = max((w.wait_ms / 1000 for w in told), default=0.0)
        if asked <= 0 and self.name <= min((p.name for p in coming), default=self.name):
            self.permit_until = max(self.permit_until, now + self.ask_permit(now))
        else:
            self.drop_permit()
        by_others = max((p.word.permit_ms / 1000 - p.age for p in mine if p.fresh), default=0.0)
        return self.permit_until > now or by_others > 0, asked

    # ---- what it tells
    def word(self, now: float) -> Word:
        step = FULL
        if self.ramp is not None:
            step = TOGETHER if self.ramp.together else self.ramp.number
        return Word(
            round(self.level.steady, 3),
            round(self.level.offered.read(now), 4),
            round(self.level.able, 3),
            round(self.rate.read(now), 2),
            round(self.usual.value, 2) if self.usual.known_for >= USUAL_FROM_S else 0.0,
            step,
            round(100 * self.part),
            max(0, int(1000 * (self.permit_until - now))),
            [
                SiteWord(
                    n,
                    s.state,
                    int(1000 * self.knowing.wait(n, now)),
                    round(self.usual_of.get(n, 0.0), 2),
                    round(s.evidence, 2),
                )
                for n, s in self.knowing.sites.items()
            ],
            self.orders.to_tell(now),
            {c: round(v, 6) for c, v in self.order.costs.items()},
            {t: round(v, 2) for t, v in self.order.told_rates(now).items()},
            (self.book.made, self.book.digest) if self.book is not None else (0, ""),
        )

    # ---- as an extension of the peers' status
    def status(self, now: float) -> bytes:
        return encode(self.word(now))

    def sends(self, now: float) -> list[tuple[str, str, bytes]]:
        """Who is to be asked for a younger playbook than the one in use."""
        mine = (self.book.made, self.book.digest) if self.book is not None else (0, "")
        younger = [p for p in self.peers if p.fresh and p.word.book > mine]
        return [(max(younger, key=lambda p: p.word.book).name, ASK_BOOK, b"")] if younger else []

    def took(self, sender: Life, topic: str, data: bytes, now: float) -> list[tuple[str, bytes]]:
        if topic == ASK_BOOK and self.book is not None:
            return [(BOOK, packed(self.book))]
        if topic == BOOK:
            book = unpacked(data, [c.name for c in self.settings.classes])
            if book is not None:
                self._take_book(book, sender.name)
        return []

    def _take_book(self, book: Playbook, source: str) -> bool:
        """The younger of two counts, whoever has it."""
        if self.book is not None and (book.made, book.digest) <= (self.book.made, self.book.digest):
            return False
        self.book, self.book_from = book, source
        self.news.append(
            ("a younger playbook is in use", {"made": book.made, "digest": book.digest, "from": source})
        )
        return True
