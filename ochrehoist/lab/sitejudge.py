"""What a play of several sites shows, judged from outside: alarms that were false, sites that stepped at
once. No I/O; times in s.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from ochrehoist.lab.judge import Fault
from ochrehoist.lab.scenario import Scenario
from ochrehoist.sites.step_lease import STEP_LEASE_DURATION_S

GONE = ("kill", "hold", "leave", "pause", "cut", "dead", "call")  # after which a site's load goes elsewhere
AFTER_S = 6.0  # s after the end of what was done, in which a loss may still be found


def hurt(s: Scenario, suffered: Sequence[Fault]) -> dict[str, list[tuple[float, float]]]:
    """When each site's load had a reason to go elsewhere: each worker of it, or each service below it."""
    out: dict[str, list[tuple[float, float]]] = {name: [] for name in s.sites}
    for f in suffered:
        if f.kind in GONE:
            site = s.site_of(f.who.replace("s", "w", 1))
            if site:
                out[site].append((f.at, f.until + AFTER_S))
    return out


def false_alarms(
    s: Scenario,
    suffered: Sequence[Fault],
    statuses: Iterable[tuple[float, str, Mapping[str, Any]]],
    late: float,
) -> list[str]:
    """Sites that a worker called lost though nothing had been done to them."""
    reasons, said = hurt(s, suffered), set()
    out = []
    for at, worker, status in statuses:
        for change in (status.get("sites") or {}).get("changes", ()):
            when = at - change["ago_s"]
            key = worker, change["site"], round(when)
            if change["state"] != "lost" or key in said:
                continue
            said.add(key)
            if not any(a - 1 <= when <= b + late for a, b in reasons[change["site"]]):
                out.append(f"{worker} called {change['site']} lost at {when:.2f} s: {change['why']}")
    return out


def steps(
    s: Scenario, statuses: Iterable[tuple[float, str, Mapping[str, Any]]]
) -> list[tuple[float, str, str, float]]:
    """Each step up on a return of a whole site: when, which worker, of which site, to what part."""
    found: dict[tuple[str, int], tuple[float, str, str, float]] = {}
    for at, worker, status in statuses:
        r = (status.get("sites") or {}).get("returning")
        if r is None or not r["site_returns"]:
            continue
        before = 0.0
        for h in r["history"]:
            when = at - h["ago_s"]
            if h["part"] > before > 0 and not r["together"]:
                found.setdefault((worker, round(when * 5)), (when, worker, s.site_of(worker), h["part"]))
            before = h["part"]
    return sorted(found.values())


def at_once(stepped: Sequence[tuple[float, str, str, float]]) -> list[str]:
    """Steps of one site between two steps of another that followed within one step lease."""
    out = []
    for n, (at, _, site, _) in enumerate(stepped):
        between = None
        for later, _, other, _ in stepped[n + 1 :]:
            if later - at >= STEP_LEASE_DURATION_S / 2:
                break
            if other != site:
                between = later, other
            elif between is not None:
                out.append(
                    f"{between[1]} stepped at {between[0]:.2f} s, between two steps of {site} at "
                    f"{at:.2f} and {later:.2f} s"
                )
                break
    return out
