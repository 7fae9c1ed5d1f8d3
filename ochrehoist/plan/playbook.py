"""Works out a playbook from a fleet's description: for each site that may be lost, what the others carry,
what of each class is let in, and the steps of the return. No I/O.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ochrehoist.config.fleet_description import Class, Fleet, Workers
from ochrehoist.plan import analytic
from ochrehoist.plan.questions import UnanswerableQuestionError
from ochrehoist.sites.playbook import FORMAT_VERSION, ClassAdmission, Playbook, SiteLoss
from ochrehoist.sites.recovery_ramp import DEFAULT_STAGES
from ochrehoist.sites.shedding_order import LOG_VALUE_STEP

AWAY_MS, SPREAD_MS = 1000.0, 2000.0
WARM_TIMES, SPARE_S = 5.0, 60.0  # of the time that a cold machine takes, and besides: the longest return
UNKNOWN = (
    "whether all callers of the lost site reach the others, or are lost with it",
    "what callers do after their last try, and how many try without end",
    "how fast cores are today: the middle of each kind's range is taken",
    "what services below the workers can take",
)


@dataclass(frozen=True)
class Shared:
    """One class's part of all work, and of the worth for each unit of it."""

    cls: Class
    work: float
    by_work: float


def _shared(fleet: Fleet) -> list[Shared]:
    whole = sum(c.share * c.mean_ms for c in fleet.classes)
    return [Shared(c, c.share * c.mean_ms / whole, c.worth / c.mean_ms) for c in fleet.classes]


def beyond(fleet: Fleet) -> float:
    """The share of the load that tenants send beyond what counts in full."""
    over = sum(max(0.0, t.share * fleet.load.rate - fleet.quota(t)) for t in fleet.tenants)
    return over / fleet.load.rate


def without(fleet: Fleet, site: str) -> Fleet:
    """The fleet while a site is gone. Raises UnanswerableQuestionError."""
    left = [p for p in fleet.placed_workers if p.site != site]
    if len(left) == len(fleet.placed_workers):
        raise UnanswerableQuestionError(
            f"no worker lies in {site!r}; there are {[s.name for s in fleet.sites]}"
        )
    if not left:
        raise UnanswerableQuestionError(f"all workers lie in {site!r}: nothing is left to let anybody in")
    groups = [Workers(kind=p.kind, addresses=[p.address]) for p in left]
    return Fleet.model_validate(fleet.model_dump() | {"workers": [g.model_dump() for g in groups]})


def carried(fleet: Fleet, site: str) -> tuple[float, str]:
    """The share of all work that the others can take, and what binds them first: cores, memory,
    connections."""
    left = without(fleet, site)
    speeds = [sum(left.kind(p.kind).speeds) / 2 for p in left.placed_workers]
    steady = analytic.steady(left, speeds)
    demand = left.load.rate * left.mean_work_s
    # What is turned away is read all the same.
    cores = max(0.0, left.capacity * analytic.USABLE - demand * left.intake.share) / demand
    served = sum(w.served for w in steady.workers) / left.load.rate
    memory = max(w.memory for w in steady.workers)
    connections = max(w.connections for w in steady.workers)
    parts = {
        "cores": cores,
        "memory": served / memory if memory > 1 else 1.0,
        "connections": 1 / connections if connections > 1 else 1.0,
    }
    binds = min(parts, key=lambda name: parts[name])
    return min(1.0, parts[binds]), binds


def let_in(shared: Sequence[Shared], carry: float, over: float) -> list[ClassAdmission]:
    """Worth by work first: filings and what may run once only, then the rest, within tenants' shares; what is
    beyond them last. Those alike share alike. Rounded down: never more than the others carry."""
    left = carry
    got: dict[tuple[str, bool], float] = {}
    ranks: dict[tuple, list[Shared]] = {}
    for x in shared:
        ranks.setdefault(
            (x.cls.repeat == "idempotent", -round(math.log(x.by_work) / LOG_VALUE_STEP)), []
        ).append(x)
    for is_beyond in (False, True):
        for _, alike in sorted(ranks.items(), key=lambda item: item[0]):
            width = sum(x.work for x in alike) * (over if is_beyond else 1 - over)
            part = 1.0 if width <= 0 else min(1.0, left / width)
            part = int(part * 100) / 100
            for x in alike:
                got[x.cls.name, is_beyond] = min(part, got[x.cls.name, False]) if is_beyond else part
            left = max(0.0, left - part * width)
    return [
        ClassAdmission(x.cls.name, got[x.cls.name, False], got[x.cls.name, True], round(x.work, 3))
        for x in shared
    ]


def worth_of(
    shared: Sequence[Shared], lets: Sequence[ClassAdmission], over: float, over_worth: float
) -> float:
    """Of the worth asked for, what is got where just this is let in and served."""

    def part(x: Shared, inside: float, outside: float) -> float:
        return x.work * x.by_work * ((1 - over) * inside + over * over_worth * outside)

    whole = sum(part(x, 1.0, 1.0) for x in shared)
    return sum(part(x, y.share, y.beyond_quota_share) for x, y in zip(shared, lets, strict=True)) / whole


def made(fleet: Fleet, now: int) -> tuple[Playbook, dict[str, str]]:
    """The playbook, and a word for its readers on each site. Raises UnanswerableQuestionError."""
    sites = [s.name for s in fleet.sites if any(p.site == s.name for p in fleet.placed_workers)]
    if len(sites) < 2:
        raise UnanswerableQuestionError(
            "a playbook needs two sites with workers: what is lost with the only one is all"
        )
    shared, over, losses, about = _shared(fleet), beyond(fleet), [], {}
    longest = WARM_TIMES * max(k.cold_s for k in fleet.kinds) + SPARE_S
    for site in sites:
        carry, binds = carried(fleet, site)
        lets = let_in(shared, carry, over)
        losses.append(
            SiteLoss(site, round(carry, 3), binds, AWAY_MS, SPREAD_MS, list(DEFAULT_STAGES), longest, lets)
        )
        worth = worth_of(shared, lets, over, fleet.over_share_worth)
        about[site] = (
            f"Without {site}: {carry:.0%} of the work can be done, {worth:.0%} of the worth kept, "
            f"if callers are sent on."
        )
    workers = {s: [p.address for p in fleet.placed_workers if p.site == s] for s in sites}
    about[""] = (
        "What holds when a site is lost. Change what you know better, then `ochrehoist sites check FILE`."
    )
    return Playbook(FORMAT_VERSION, now, fleet.name, workers, round(over, 3), losses, list(UNKNOWN)), about
