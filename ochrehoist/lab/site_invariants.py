"""The invariants of a run with several sites, checked from outside by the workers' statuses.

No false alarms of losses, and never two sites that step up their load at once. No I/O; times in s.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from ochrehoist.lab.fault_schedule import FaultKind
from ochrehoist.lab.outcomes import FaultSpan
from ochrehoist.lab.scenario import Scenario
from ochrehoist.lab.step_interleaving import find_interleavings

# Faults after which a site's load goes elsewhere.
LOAD_SHIFTING_FAULTS = frozenset(
    {
        FaultKind.KILL,
        FaultKind.HOLD,
        FaultKind.LEAVE,
        FaultKind.PAUSE,
        FaultKind.CUT,
        FaultKind.DEAD_SERVICE,
        FaultKind.OPERATOR_CALL,
    }
)
DETECTION_GRACE_S = 6.0  # after the end of a fault, in which a loss may still be found
TIME_TOLERANCE_S = 1.0
STEPS_PER_S = 5  # that are told apart: statuses give the same step again with a slightly different time


class ObservedStatus(NamedTuple):
    """A worker's `/status`, and when it was read."""

    at_s: float
    worker: str
    status: Mapping[str, Any]

    @property
    def sites(self) -> Mapping[str, Any]:
        """Its part about sites; empty where it has none."""
        return self.status.get("sites") or {}


class RecoveryStep(NamedTuple):
    """A worker stepped up its load, as part of a site that returns as a whole."""

    at_s: float
    worker: str
    site: str
    load_fraction: float


Span = tuple[float, float]


def load_shift_spans(scenario: Scenario, faults: Sequence[FaultSpan]) -> dict[str, list[Span]]:
    """When each site's load had a reason to go elsewhere: of its workers, or of the services below them."""
    spans: dict[str, list[Span]] = {site: [] for site in scenario.sites}
    for fault in faults:
        site = scenario.site_of(fault.target.replace("s", "w", 1))
        if fault.kind in LOAD_SHIFTING_FAULTS and site:
            spans[site].append((fault.since_s, fault.until_s + DETECTION_GRACE_S))
    return spans


def false_alarms(
    scenario: Scenario, faults: Sequence[FaultSpan], statuses: Sequence[ObservedStatus], lateness_s: float
) -> list[str]:
    """Sites that a worker declared lost though nothing had been done to them; a line each."""
    spans = load_shift_spans(scenario, faults)
    seen: set[tuple[str, str, int]] = set()
    found = []
    for observed in statuses:
        for change in observed.sites.get("changes", ()):
            at_s = observed.at_s - change["ago_s"]
            key = observed.worker, change["site"], round(at_s)
            if change["state"] != "lost" or key in seen:
                continue
            seen.add(key)
            if not _within(at_s, spans[change["site"]], lateness_s):
                found.append(
                    f"{observed.worker} called {change['site']} lost at {at_s:.2f} s: {change['why']}"
                )
    return found


def _within(at_s: float, spans: Sequence[Span], lateness_s: float) -> bool:
    return any(since_s - TIME_TOLERANCE_S <= at_s <= until_s + lateness_s for since_s, until_s in spans)


def recovery_steps(scenario: Scenario, statuses: Sequence[ObservedStatus]) -> list[RecoveryStep]:
    """All steps of sites that return as a whole, in order."""
    found: dict[tuple[str, int], RecoveryStep] = {}
    for observed in statuses:
        for step in _steps_of(scenario, observed):
            found.setdefault((step.worker, round(step.at_s * STEPS_PER_S)), step)
    return sorted(found.values())


def _steps_of(scenario: Scenario, observed: ObservedStatus) -> Iterator[RecoveryStep]:
    """The steps that one status tells of; the first stage is no step."""
    returning = observed.sites.get("returning")
    if returning is None or not returning["site_returns"]:
        return
    previous = 0.0
    for entry in returning["history"]:
        load_fraction = entry["part"]
        if load_fraction > previous > 0 and not returning["together"]:
            at_s = observed.at_s - entry["ago_s"]
            yield RecoveryStep(at_s, observed.worker, scenario.site_of(observed.worker), load_fraction)
        previous = load_fraction


def interleaved_steps(steps: Sequence[RecoveryStep]) -> list[str]:
    """Steps of one site between two steps of another within one step lease; a line each."""
    return [
        f"{found.between[-1].site} stepped at {found.between[-1].at_s:.2f} s, between two steps of "
        f"{found.first.site} at {found.first.at_s:.2f} and {found.last.at_s:.2f} s"
        for found in find_interleavings(steps)
    ]
