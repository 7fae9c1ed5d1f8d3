"""Drills: the loss of a site played small, from a fleet's own description, beside figures. No I/O."""

from collections.abc import Sequence
from typing import Any

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.lab import judge
from ochrehoist.lab.judge import CallMade
from ochrehoist.lab.scenario import Scenario, ScenarioError, parse

AT_S, AFTER_S = 8.0, 14.0  # of the loss; that is played after the return
STARTS_S = 2.0  # for which a process starts
SETTLED_S = 1.5  # after the loss, from which on what is served is compared
CLOSE = 0.08  # by which forecast and measured may differ without a word


def scenario_of(fleet: Fleet, site: str, workers: int, lasts: float) -> Scenario:
    """`workers` appliances in the fleet's sites, in proportion, one site lost. Raises ScenarioError."""
    sites = _sites(fleet, workers)
    if site not in sites or len(sites) < 2:
        raise ScenarioError(f"site: {site!r} is none of {sorted(sites)}, or there is no other")
    loss = {"at": AT_S, "kind": "kill", "who": [site], "lasts": lasts}
    return parse(_small(fleet, f"drill-{site}", sites, AT_S + lasts + AFTER_S, [loss]))


def rolling_of(fleet: Fleet, workers: int, at_once: int, down: float) -> Scenario:
    """All of `workers` told to leave and started again, so many at once, sites in turn; the next once the
    last had the time that a cold machine takes. Raises ScenarioError."""
    sites = _sites(fleet, workers)
    rows = [list(row) for row in sites.values()]
    order = [row[n] for n in range(max(map(len, rows))) for row in rows if n < len(row)]
    if not 1 <= at_once < len(order):
        raise ScenarioError(f"at_once: from 1 to {len(order) - 1}, or nobody is left to serve")
    wave = down + max(k.cold_s for k in fleet.kinds) + STARTS_S
    waves = [order[n : n + at_once] for n in range(0, len(order), at_once)]
    faults = [
        {"at": AT_S + n * wave, "kind": "leave", "who": who, "lasts": down} for n, who in enumerate(waves)
    ]
    return parse(_small(fleet, f"rolling-{at_once}", sites, AT_S + len(waves) * wave, faults))


def _sites(fleet: Fleet, workers: int) -> dict[str, list[str]]:
    """So few workers, by the fleet's sites in proportion."""
    counts = {s.name: sum(p.site == s.name for p in fleet.placed_workers) for s in fleet.sites}
    total = sum(counts.values())
    small = {name: max(1, round(workers * n / total)) for name, n in counts.items() if n}
    names = iter(f"w{n}" for n in range(sum(small.values())))
    return {name: [next(names) for _ in range(n)] for name, n in small.items()}


def _small(
    fleet: Fleet, name: str, sites: dict[str, list[str]], seconds: float, faults: list[dict[str, Any]]
) -> dict[str, Any]:
    """A scenario with so few workers, each with as much load as one of the fleet's."""
    total, count = len(fleet.placed_workers), sum(map(len, sites.values()))
    kinds = [fleet.kind(p.kind) for p in fleet.placed_workers]
    cores = max(1, round(sum(k.cores for k in kinds) / total))
    # Work is told for a core of speed 1; the stand-in services have the fleet's mean speed.
    services = {
        "shared": 0,
        "cores": cores,
        "speed": sum(k.cores * sum(k.speeds) / 2 for k in kinds) / sum(k.cores for k in kinds),
        "cold_from": min(k.cold_from for k in kinds),
        "cold_s": max(k.cold_s for k in kinds),
    }
    classes = [
        {
            "name": c.name,
            "share": c.share,
            "work_ms": c.mean_ms,
            "aim_ms": c.aim_ms,
            "deadline_ms": c.deadline_ms,
            "worth": c.worth,
            "keyed": c.repeat != "idempotent",
        }
        for c in fleet.classes
    ]
    return {
        "name": name,
        "seconds": seconds,
        "workers": count,
        "sites": sites,
        "cores": cores,
        "tables": {"sites": {}},
        "services": services,
        "load": {
            "rate": fleet.load.rate * count / total,
            "tries": 1 + fleet.clients.retries + max(r.retries for r in fleet.routers),
        },
        "balancer": {"choice": "weighted", "check_s": 0.2, "redispatch": True},
        "classes": classes,
        "tenants": {t.name: fleet.quota(t) for t in fleet.tenants} or {"acme": 1000.0},
        "faults": faults,
    }


def foretold(s: Scenario, site: str) -> dict[str, float]:
    """By worth first, with the cores that are left: the share of work, of worth, and of each class."""
    left = (s.workers - len(s.sites[site])) * s.services.cores * s.services.speed
    work = {c.name: c.share * c.work_ms / 1000 * s.load.rate for c in s.classes}
    carry = min(1.0, left / sum(work.values()))
    room, got = left, {}
    for c in sorted(s.classes, key=lambda c: (not c.keyed, -c.worth / c.work_ms)):
        got[c.name] = min(1.0, room / work[c.name]) if work[c.name] else 1.0
        room = max(0.0, room - work[c.name] * got[c.name])
    asked = sum(c.share * c.worth for c in s.classes)
    worth = sum(c.share * c.worth * got[c.name] for c in s.classes) / asked
    cold = (
        s.services.cold_s
        * max(
            0.0,
            (sum(work.values()) - left) / max(1e-9, len(s.sites[site]) * s.services.cores * s.services.speed)
            - s.services.cold_from,
        )
        / max(1e-9, 1 - s.services.cold_from)
    )
    return {"work": carry, "worth": worth, "whole": max(0.0, cold)} | {
        f"class {c}": v for c, v in got.items()
    }


def compared(
    s: Scenario, site: str, foretold: dict[str, float], calls: Sequence[CallMade], v: dict[str, Any]
) -> list[tuple[str, str, str, str]]:
    """Rows of what was foretold, what was measured, and a word where they differ."""
    loss = next(f for f in s.faults if f.kind == "kill")
    since, until = loss.at + SETTLED_S, loss.at + loss.lasts
    quiet = v["goodput"]["quiet"]["all"]
    rows = []

    def row(name: str, forecast: float, measured: float) -> None:
        less = measured < forecast - CLOSE
        note = (
            "less than the cores left allow"
            if less
            else "more: less came, or it cost less"
            if measured > forecast + CLOSE
            else ""
        )
        rows.append((name, f"{forecast:.3f}", f"{measured:.3f}", note))

    row("worth while it is gone", foretold["worth"] * quiet, judge.goodput(calls, since, until))
    for c in s.classes:
        row(
            f"{c.name} while it is gone",
            foretold[f"class {c.name}"] * quiet,
            judge.goodput(calls, since, until, c.name),
        )
    whole = judge.whole_again(calls, until, quiet)
    told = "not" if whole is None else f"{whole:.1f} s"
    slow = whole is None or whole > 1.2 * foretold["whole"] + 1
    rows.append(
        (
            "whole again after the return",
            f"{foretold['whole']:.1f} s",
            told,
            "longer than cold cores alone explain" if slow else "",
        )
    )
    lost = [at for at, _, name, state, _ in v["known"] if (name, state) == (site, "lost") and at >= loss.at]
    rows.append(("known to be lost after", "", f"{min(lost) - loss.at:.1f} s" if lost else "not", ""))
    rows.append(("tries a call", "", f"{v['tries_per_call']:.2f}", ""))
    return rows
