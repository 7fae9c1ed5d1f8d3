"""Pools by class under one limit of what runs: floors, what the cheap keep, the narrow lane. No I/O.

A pool lends what it does not use, simply by not asking: floors say who goes first, not what stands empty.
Only the reserve of the cheap stands empty while they have come lately, as a long run that began there would
keep it.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits
from ochrehoist.admission.settings import AdmissionSettings, Idempotency

CHEAP = 0.2  # of the mean cost of all that runs, up to which a class is cheap
RESERVE = 0.1  # of the limit that the cheap keep
SEEN_S = 10.0  # since one of the cheap came, for which their reserve stands
FLOOR, FILINGS = 0.1, 0.25  # of the limit: for each class, and for filings, which are worth most
MOST_FLOORS = 0.8  # of it, together: the rest is the module's to give to whatever is worth most
LANE = 0.15  # of the limit, for what costs many times the usual


@dataclass(slots=True)
class Seen:
    """A class lately: requests held and running, and what one costs (s)."""

    held: int = 0
    running: int = 0
    cost: float = 0.0
    came: float = -math.inf


def cheap(seen: Mapping[str, Seen], known: int = 20) -> set[str]:
    """Classes whose measured cost is small beside the mean of all that runs or waits."""
    counted = {name: s for name, s in seen.items() if s.cost > 0}
    weight = sum(s.held + s.running for s in counted.values())
    if len(counted) < 2 or not weight:
        return set()
    mean = sum(s.cost * (s.held + s.running) for s in counted.values()) / weight
    return {name for name, s in counted.items() if s.cost <= CHEAP * mean}


def limits(
    total: float | None,
    settings: AdmissionSettings,
    seen: Mapping[str, Seen],
    now: float,
    cheap_classes: set[str],
    lane: bool,
) -> ConcurrencyLimits:
    """What the module is to keep to until it is told anew. Without a `total` it finds by itself how many run;
    pools are then parts of the cores, which it keeps at least, and nothing stands empty for the cheap."""
    most = max(1, int(total)) if total is not None else settings.cores
    shares = [FILINGS if c.idempotency is Idempotency.KEYED else FLOOR for c in settings.classes]
    scale = min(1.0, MOST_FLOORS / max(1e-9, sum(shares)))
    floors = [max(1, int(most * s * scale)) for s in shares]
    while sum(floors) > most and max(floors) > 1:
        floors[floors.index(max(floors))] -= 1
    kept = 0
    if total is not None and any(now - seen[name].came <= SEEN_S for name in cheap_classes if name in seen):
        kept = min(most - 1, max(1, math.ceil(most * RESERVE)))
    if sum(floors) > most:  # more classes than slots: nobody can be promised one
        floors = [0] * len(floors)
    for at, c in enumerate(settings.classes):
        if c.name in cheap_classes:
            floors[at] = max(floors[at], kept)
    top = most if total is not None else max(most, int(settings.cores * settings.collapse_multiple))
    caps = tuple(top if c.name in cheap_classes else top - kept for c in settings.classes)
    return ConcurrencyLimits(
        total=UNLIMITED if total is None else most,
        class_floors=tuple(floors),
        class_caps=caps,
        expensive=max(1, int(most * LANE)) if lane else UNLIMITED,
    )
