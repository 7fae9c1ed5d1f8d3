"""The one order in which requests are let in while there is more than the cores can do. No I/O; seconds.

Each request has a place from 0 (let in first) to 1 (refused first), made of nothing but what every worker
of the fleet knows alike: worth by work of its class, whether it may be asked for again, its tenant's share,
and a hash of what it asks. So all refuse the same requests, and a caller who tries the next worker wins
nothing by it.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nlargest

import xxhash

from ochrehoist.admission.settings import Idempotency, RequestClass
from ochrehoist.core.tenants import TenantTable

MEMORY_S = 6.0  # after which what came counts for 1/e
LEARN, LEARN_COLD = 0.08, 0.25  # of a run's time, in the mean of its class; while the machine warms
STEADY = 0.3  # by which two classes' worth by work may differ in a logarithm and count as alike
AGAIN_S = 4.0  # in which the same is taken for a further try, marked or not
MOST_SEEN = 8192
QUIET = 0.02  # requests a second under which a tenant's rate is forgotten
MOST_TOLD = 64  # tenants whose rates are told to others: a word must fit in a datagram

Group = tuple[str, bool]  # class, and whether it is beyond its tenant's share


class Rate:
    """Of something a second, forgotten by and by."""

    __slots__ = ("span", "value", "at")

    def __init__(self, span: float) -> None:
        self.span, self.value, self.at = span, 0.0, 0.0

    def add(self, now: float, amount: float) -> None:
        self.read(now)
        self.value += amount / self.span

    def read(self, now: float) -> float:
        if now > self.at:
            self.value *= math.exp((self.at - now) / self.span)
            self.at = now
        return self.value


def part_of(*words: object) -> float:
    """From 0 to under 1, the same for the same words everywhere."""
    return xxhash.xxh3_64_intdigest("\0".join(map(str, words)).encode()) / 2**64


@dataclass(slots=True)
class Fleetwide:
    """What the others tell, on a mean: the work of a class, and what tenants send to all."""

    costs: Mapping[str, float]
    tenants: Mapping[str, float]


class Order:
    def __init__(self, classes: Iterable[RequestClass], tenants: TenantTable, beyond_worth: float) -> None:
        self.costs: dict[str, float] = {}  # s of one core for one request
        self.shares: dict[Group, Rate] = {}
        self.rates: dict[str, Rate] = {}
        self.seen: dict[tuple, float] = {}  # what came lately, oldest first
        self.fleetwide = Fleetwide({}, {})
        self.starts: dict[Group, tuple[float, float]] = {}  # where each group begins, and how wide it is
        self.configure(classes, tenants, beyond_worth)

    def configure(self, classes: Iterable[RequestClass], tenants: TenantTable, beyond_worth: float) -> None:
        self.classes = {c.name: c for c in classes}
        self.tenants = tenants
        self.beyond_worth = beyond_worth
        self.costs = {n: c for n, c in self.costs.items() if n in self.classes}
        self.shares = {g: r for g, r in self.shares.items() if g[0] in self.classes}
        self.starts = {}

    # ---- what is learned
    def ran(self, cls: str, seconds: float, learn: float = LEARN) -> None:
        """One run took so long of a core. `learn`: its part in the mean."""
        before = self.costs.get(cls)
        self.costs[cls] = seconds if before is None else before + learn * (seconds - before)

    def cost(self, cls: str) -> float | None:
        """By own runs; before there are any, as the others tell."""
        return self.costs.get(cls) or self.fleetwide.costs.get(cls)

    def agreed_cost(self, cls: str) -> float | None:
        """As the order counts it: alike at all workers, however fast each is."""
        return self.fleetwide.costs.get(cls) or self.costs.get(cls)

    def came(self, ident: tuple, cls: str, tenant: str | None, marked: bool, now: float) -> bool:
        """Counts a first try; False where this is a further one."""
        if marked or now - self.seen.get(ident, -math.inf) < AGAIN_S:
            return False
        self.seen.pop(ident, None)
        self.seen[ident] = now
        if len(self.seen) > MOST_SEEN:
            del self.seen[next(iter(self.seen))]
        if tenant is not None:
            self.rates.setdefault(tenant, Rate(MEMORY_S)).add(now, 1.0)
        cost = self.agreed_cost(cls)
        if cost is not None:
            group = cls, self.beyond(ident, tenant, now)
            self.shares.setdefault(group, Rate(MEMORY_S)).add(now, cost)
        return True

    # ---- places
    def beyond(self, ident: tuple, tenant: str | None, now: float) -> bool:
        """Whether it is of the part that its tenant sends beyond its share of the fleet."""
        known = self.tenants.get(tenant)
        if known is None:
            return False
        quota = known.quota_per_s
        rate = self.fleetwide.tenants.get(tenant, 0.0)
        own = self.rates.get(tenant)
        rate = max(rate, own.read(now) if own is not None else 0.0)
        return rate > quota and part_of("share", *ident) >= quota / rate

    def _rank(self, group: Group) -> tuple:
        """What goes first has the least: filings and what may run once only, then worth by work in wide
        steps, so that two workers which measured a little differently agree. Those of one rank are refused
        alike: no class is starved for another that is worth the same."""
        cls, beyond = group
        c = self.classes[cls]
        worth = c.priority_weight * (self.beyond_worth if beyond else 1.0)
        by_work = math.log(max(1e-9, worth) / max(1e-9, self.agreed_cost(cls) or 1.0))
        # Beyond a tenant's share nothing goes before what is within one; a filing is the last to be refused.
        return beyond, c.idempotency is Idempotency.IDEMPOTENT, -round(by_work / STEADY)

    def look(self, now: float) -> None:
        """Places the ranks anew, by the work that each brings."""
        while self.seen and now - self.seen[next(iter(self.seen))] > AGAIN_S:
            del self.seen[next(iter(self.seen))]
        self.starts, at = {}, 0.0
        ranks: dict[tuple, list[Group]] = {}
        widths = {g: r.read(now) for g, r in self.shares.items() if g[0] in self.classes}
        for g in widths:
            ranks.setdefault(self._rank(g), []).append(g)
        total = sum(widths.values())
        if total <= 0:
            return
        for _, groups in sorted(ranks.items()):
            width = sum(widths[g] for g in groups) / total
            self.starts |= dict.fromkeys(groups, (at, width))
            at += width

    def place(self, ident: tuple, cls: str, tenant: str | None, now: float) -> float:
        """From 0 to 1. What nothing is known of yet stands where its class would: first."""
        start, width = self.starts.get((cls, self.beyond(ident, tenant, now)), (0.0, 0.0))
        return start + width * part_of(*ident)

    def tenant_rates(self, now: float) -> dict[str, float]:
        """Of those that sent lately."""
        rates = {t: r.read(now) for t, r in self.rates.items()}
        for tenant in [t for t, rate in rates.items() if rate < QUIET]:
            del self.rates[tenant], rates[tenant]
        return rates

    def told_rates(self, now: float) -> dict[str, float]:
        """Of those nearest to their share, or furthest beyond it: only there do all have to agree."""

        def part(item: tuple[str, float]) -> float:
            known = self.tenants.get(item[0])
            return item[1] / max(1e-9, known.quota_per_s) if known is not None else 0.0

        return dict(nlargest(MOST_TOLD, self.tenant_rates(now).items(), key=part))
