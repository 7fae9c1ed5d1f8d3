"""Admission: while the worker is behind, which requests are let in to the core, and which are turned away as
cheaply as can be. Without I/O.

It is open unless the watch says that the worker is behind. Then what can be afforded is shared out by worth
among classes, by share among tenants, alike among callers. A filing always gets in: only the core knows
whether it ran, and nothing that ran may be refused. What admission turns away is told when to come back, and
is told so at once.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ochrehoist.admission.settings import AdmissionSettings, Idempotency
from ochrehoist.core.tenants import TenantTable, initial_table
from ochrehoist.overload.allot import Ask, allot
from ochrehoist.overload.watch import Watch

S = 1_000_000_000
FLOOR = 0.05  # of what is let in, for each class: none starves, whatever it is worth
BURST = 2.0  # looks whose allowance may be used in one, and one more request
MOST_CALLERS = 512  # told apart in a look; those beyond share one allowance
BACKOFF = S // 2  # that is advised, and up to twice as much: callers must not come back at one moment
HOPELESS = 1.0  # of the aim, past which one that was read late is of no use to its caller

Group = tuple[str, str | None, int]  # class, tenant, caller


@dataclass(slots=True)
class Counts:
    let_in: int = 0
    shed: Counter = field(default_factory=Counter)  # by class and reason


class Admission:
    """`admits` for each request that may be run again; `look` ten times a second."""

    def __init__(
        self, watch: Watch, settings: AdmissionSettings, seed: int, tenants: TenantTable | None = None
    ) -> None:
        self.watch, self.rng = watch, Random(seed)
        self.asked: Counter[Group] = Counter()  # in this look
        self.lately: dict[Group, float] = {}  # a look, on a mean
        self.tokens: dict[Group, float] = {}
        self.rest = 0.0  # tokens for whoever comes new
        self.counts = Counts()
        self.since_look = Counts()
        self.configure(settings, tenants)

    def configure(self, settings: AdmissionSettings, tenants: TenantTable | None = None) -> None:
        """Takes new classes and tenants; what is open keeps what it was told."""
        worths = sorted({c.priority_weight for c in settings.classes}, reverse=True)
        self.ranks = {c.name: worths.index(c.priority_weight) for c in settings.classes}
        self.safe = {c.name: c.idempotency is Idempotency.IDEMPOTENT for c in settings.classes}
        self.aims = {c.name: c.latency_objective_ns for c in settings.classes}
        self.tenants = tenants if tenants is not None else initial_table(settings.tenants)

    def may_shed(self, cls: str) -> bool:
        """Whether it has a say: filings and what may run once only are the core's alone."""
        return self.safe.get(cls, False)

    def admits(self, cls: str, tenant: str | None, caller: int, age: int) -> int | None:
        """None lets it in; else it is turned away, and told to stay away for so long (ns). `age` (ns):
        since it reached the machine."""
        group = (cls, tenant, caller)
        self.asked[group] += 1
        if not self.watch.behind or not self.may_shed(cls):
            self.since_look.let_in += 1
            return None
        if age >= HOPELESS * self.aims[cls]:
            return self._turned_away(cls, "read too late")
        if group in self.tokens:
            if self.tokens[group] >= 1:
                self.tokens[group] -= 1
                self.since_look.let_in += 1
                return None
        elif self.rest >= 1:
            self.rest -= 1
            self.since_look.let_in += 1
            return None
        return self._turned_away(cls, "behind")

    def _turned_away(self, cls: str, why: str) -> int:
        self.since_look.shed[cls, why] += 1
        return int(BACKOFF * (1 + self.rng.random()))

    def look(self, span: float) -> tuple[int, int]:
        """Ends a look of so many seconds and shares out the next; requests let in and shed since the last."""
        done, self.since_look = self.since_look, Counts()
        self.counts.let_in += done.let_in
        self.counts.shed.update(done.shed)
        self._remember()
        if self.watch.behind:
            self._share_out(span)
        else:
            self.tokens.clear()
        return done.let_in, sum(done.shed.values())

    def _remember(self) -> None:
        lately = self.lately
        for group in set(lately) | set(self.asked):
            value = 0.7 * lately.get(group, 0.0) + 0.3 * self.asked.get(group, 0)
            if value < 0.05:
                lately.pop(group, None)
            else:
                lately[group] = value
        if len(lately) > MOST_CALLERS:
            kept = sorted(lately, key=lately.get, reverse=True)[:MOST_CALLERS]
            self.lately = {g: lately[g] for g in kept}
        self.asked.clear()

    def _share_out(self, span: float) -> None:
        """What can be let in until the next look: filings take theirs first, unasked."""
        budget = self.watch.rate * span
        forced = sum(v for (cls, *_), v in self.lately.items() if not self.may_shed(cls))
        budget = max(0.0, budget - forced)
        groups = [g for g in self.lately if self.may_shed(g[0])]
        if not groups:
            self.tokens, self.rest = {}, budget
            return
        sizes = Counter((cls, tenant) for cls, tenant, _ in groups)
        tenants = Counter(cls for cls, _ in sizes)
        asks = []
        for cls, tenant, caller in groups:
            known = self.tenants.get(tenant)
            of_tenant = max(1e-3, known.share) if known is not None else 1.0
            part = 1 / sizes[cls, tenant]
            asks.append(
                Ask(
                    self.ranks[cls],
                    1.1 * self.lately[cls, tenant, caller] + 1,
                    of_tenant * part,
                    FLOOR * budget * part / tenants[cls],
                )
            )
        got = allot(budget, asks)
        # Parts of a token are kept, or whoever asks seldom would never have a whole one.
        self.tokens = {
            g: min(self.tokens.get(g, 0.0) + n, BURST * n + 1) for g, n in zip(groups, got, strict=True)
        }
        self.rest = max(1.0, budget - sum(got))

    def view(self) -> dict[str, Any]:
        """For operators."""
        return {
            "let_in": self.counts.let_in,
            "shed": {f"{cls}: {why}": n for (cls, why), n in sorted(self.counts.shed.items())},
        }
