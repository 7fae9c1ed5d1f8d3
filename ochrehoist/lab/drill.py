"""Drills: the loss of a site run small, from a fleet's description, beside a forecast. No I/O; s."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.lab.fault_schedule import FaultKind
from ochrehoist.lab.goodput import goodput, recovery_time_s
from ochrehoist.lab.outcomes import Call, RunRecord
from ochrehoist.lab.scenario import Scenario, ScenarioError, parse

LOSS_AT_S = 8.0
AFTER_RETURN_S = 14.0  # that is run after the return
START_S = 2.0  # for which a process starts
SETTLED_S = 1.5  # after the loss, from which on what is served is compared
TOLERANCE = 0.08  # by which forecast and measurement may differ without a note
SLOW_RECOVERY_FACTOR = 1.2
SLOW_RECOVERY_EXTRA_S = 1.0
MIN_CAPACITY = 1e-9

SiteMembers = dict[str, list[str]]  # workers by site


class SiteNotInFleetError(ScenarioError):
    """The site to lose is none of the fleet's, or there is no other."""

    def __init__(self, site: str, sites: Sequence[str]) -> None:
        super().__init__(f"site: {site!r} is none of {sorted(sites)}, or there is no other")


class TooManyAtOnceError(ScenarioError):
    """No worker would be left to serve."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"at_once: from 1 to {limit}, or nobody is left to serve")


# Scenarios.


def site_loss_scenario(fleet: Fleet, site: str, workers: int, duration_s: float) -> Scenario:
    """So many appliances in the fleet's sites, in proportion, one site lost. Raises ScenarioError."""
    sites = _small_sites(fleet, workers)
    if site not in sites or len(sites) < 2:
        raise SiteNotInFleetError(site, list(sites))
    loss = {"at": LOSS_AT_S, "kind": FaultKind.KILL.value, "who": [site], "lasts": duration_s}
    end_s = LOSS_AT_S + duration_s + AFTER_RETURN_S
    return parse(_small_scenario(fleet, f"drill-{site}", sites, end_s, [loss]))


def rolling_restart_scenario(fleet: Fleet, workers: int, at_once: int, downtime_s: float) -> Scenario:
    """All workers shut down and started again, so many at once, sites in turn. Raises ScenarioError.

    The next ones follow once the last had the time that a cold machine takes.
    """
    sites = _small_sites(fleet, workers)
    order = _alternating(list(sites.values()))
    if not 1 <= at_once < len(order):
        raise TooManyAtOnceError(len(order) - 1)
    interval_s = downtime_s + max(kind.cold_s for kind in fleet.kinds) + START_S
    groups = [order[first : first + at_once] for first in range(0, len(order), at_once)]
    faults = [
        {
            "at": LOSS_AT_S + number * interval_s,
            "kind": FaultKind.LEAVE.value,
            "who": group,
            "lasts": downtime_s,
        }
        for number, group in enumerate(groups)
    ]
    end_s = LOSS_AT_S + len(groups) * interval_s
    return parse(_small_scenario(fleet, f"rolling-{at_once}", sites, end_s, faults))


def _alternating(rows: list[list[str]]) -> list[str]:
    """The first of each row, then the second of each, and so on."""
    longest = max(map(len, rows))
    return [row[position] for position in range(longest) for row in rows if position < len(row)]


def _small_sites(fleet: Fleet, workers: int) -> SiteMembers:
    """So few workers, in the fleet's sites in proportion."""
    counts = {
        site.name: sum(placed.site == site.name for placed in fleet.placed_workers) for site in fleet.sites
    }
    total = sum(counts.values())
    small = {name: max(1, round(workers * count / total)) for name, count in counts.items() if count}
    names = iter(f"w{number}" for number in range(sum(small.values())))
    return {name: [next(names) for _ in range(count)] for name, count in small.items()}


def _small_scenario(
    fleet: Fleet, name: str, sites: SiteMembers, seconds: float, faults: list[dict[str, Any]]
) -> dict[str, Any]:
    """A scenario with so few workers, each with as much load as one of the fleet's."""
    total = len(fleet.placed_workers)
    count = sum(map(len, sites.values()))
    services = _services_table(fleet)
    max_router_retries = max(router.retries for router in fleet.routers)
    return {
        "name": name,
        "seconds": seconds,
        "workers": count,
        "sites": sites,
        "cores": services["cores"],
        "tables": {"sites": {}},
        "services": services,
        "load": {
            "rate": fleet.load.rate * count / total,
            "tries": 1 + fleet.clients.retries + max_router_retries,
        },
        "balancer": {"choice": "weighted", "check_s": 0.2, "redispatch": True},
        "classes": _class_tables(fleet),
        "tenants": {tenant.name: fleet.quota(tenant) for tenant in fleet.tenants} or {"acme": 1000.0},
        "faults": faults,
    }


def _services_table(fleet: Fleet) -> dict[str, Any]:
    """Work is described for a core of speed 1; the stand-in services have the fleet's mean speed."""
    kinds = [fleet.kind(placed.kind) for placed in fleet.placed_workers]
    total_cores = sum(kind.cores for kind in kinds)
    return {
        "shared": 0,
        "cores": max(1, round(total_cores / len(kinds))),
        "speed": sum(kind.cores * sum(kind.speed_range) / 2 for kind in kinds) / total_cores,
        "cold_from": min(kind.cold_from for kind in kinds),
        "cold_s": max(kind.cold_s for kind in kinds),
    }


def _class_tables(fleet: Fleet) -> list[dict[str, Any]]:
    return [
        {
            "name": request_class.name,
            "share": request_class.share,
            "work_ms": request_class.mean_work_ms,
            "aim_ms": request_class.aim_ms,
            "deadline_ms": request_class.deadline_ms,
            "worth": request_class.worth,
            "keyed": request_class.repeat != "idempotent",
        }
        for request_class in fleet.classes
    ]


# Forecast and measurement.


@dataclass(frozen=True)
class Forecast:
    """What the cores that are left allow, by priority weight first.

    `goodput` and `served_by_class` are fractions; `recovery_s` counts from the return of the site.
    """

    goodput: float
    served_by_class: dict[str, float]
    recovery_s: float


def forecast(scenario: Scenario, site: str) -> Forecast:
    """Of the loss of a site."""
    services = scenario.services
    lost_capacity = len(scenario.sites[site]) * services.cores * services.speed
    remaining_capacity = (scenario.workers - len(scenario.sites[site])) * services.cores * services.speed
    work = {each.name: each.share * each.work_ms / 1000 * scenario.load.rate for each in scenario.classes}
    served = _served_by_class(scenario, work, remaining_capacity)
    asked = sum(each.share * each.worth for each in scenario.classes)
    gained = sum(each.share * each.worth * served[each.name] for each in scenario.classes)
    # The load that the site must take, as a fraction of its capacity; it has `cold_from` of that at once.
    needed = (sum(work.values()) - remaining_capacity) / max(MIN_CAPACITY, lost_capacity)
    cold_s = services.cold_s * max(0.0, needed - services.cold_from)
    recovery_s = cold_s / max(MIN_CAPACITY, 1 - services.cold_from)
    return Forecast(gained / asked, served, max(0.0, recovery_s))


def _served_by_class(scenario: Scenario, work: dict[str, float], capacity: float) -> dict[str, float]:
    """The fraction of each class that the capacity allows: filings first, then by weight per work."""
    served = {}
    for each in sorted(scenario.classes, key=lambda each: (not each.keyed, -each.worth / each.work_ms)):
        served[each.name] = min(1.0, capacity / work[each.name]) if work[each.name] else 1.0
        capacity = max(0.0, capacity - work[each.name] * served[each.name])
    return served


class ComparisonRow(NamedTuple):
    """One figure as forecast and as measured, and a note where they differ."""

    name: str
    forecast: str
    measured: str
    note: str


def compare(
    scenario: Scenario, site: str, expected: Forecast, calls: Sequence[Call], record: RunRecord
) -> list[ComparisonRow]:
    """A forecast beside the run of the scenario."""
    loss = next(fault for fault in scenario.faults if fault.fault_kind is FaultKind.KILL)
    since_s = loss.at + SETTLED_S
    undisturbed = record["goodput"]["quiet"]["all"]
    rows = [
        _goodput_row(
            "worth while it is gone",
            expected.goodput * undisturbed,
            goodput(calls, since_s, loss.ends_at),
        )
    ]
    rows += [
        _goodput_row(
            f"{each.name} while it is gone",
            expected.served_by_class[each.name] * undisturbed,
            goodput(calls, since_s, loss.ends_at, each.name),
        )
        for each in scenario.classes
    ]
    rows.append(_recovery_row(expected.recovery_s, recovery_time_s(calls, loss.ends_at, undisturbed)))
    rows.append(_detection_row(site, loss.at, record))
    rows.append(ComparisonRow("tries a call", "", f"{record['tries_per_call']:.2f}", ""))
    return rows


def _goodput_row(name: str, expected: float, measured: float) -> ComparisonRow:
    note = ""
    if measured < expected - TOLERANCE:
        note = "less than the cores left allow"
    elif measured > expected + TOLERANCE:
        note = "more: less came, or it cost less"
    return ComparisonRow(name, f"{expected:.3f}", f"{measured:.3f}", note)


def _recovery_row(expected_s: float, measured_s: float | None) -> ComparisonRow:
    limit_s = SLOW_RECOVERY_FACTOR * expected_s + SLOW_RECOVERY_EXTRA_S
    slow = measured_s is None or measured_s > limit_s
    return ComparisonRow(
        "whole again after the return",
        f"{expected_s:.1f} s",
        "not" if measured_s is None else f"{measured_s:.1f} s",
        "longer than cold cores alone explain" if slow else "",
    )


def _detection_row(site: str, lost_at_s: float, record: RunRecord) -> ComparisonRow:
    detected = [
        at_s
        for at_s, _, name, state, _ in record["known"]
        if (name, state) == (site, "lost") and at_s >= lost_at_s
    ]
    measured = f"{min(detected) - lost_at_s:.1f} s" if detected else "not"
    return ComparisonRow("known to be lost after", "", measured, "")
