"""Bulkheads: concurrency by class under one limit, so that no class can take all of it.

Each class has a floor, up to which it goes first. A class lends what it does not use simply by not asking:
floors say who goes first, not what stands empty. Only the reserve of low-cost classes stands empty while
these have come lately, as a long run that began there would hold it.
"""

import math
from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits
from ochrehoist.admission.settings import AdmissionSettings, Idempotency

LOW_COST_FRACTION = 0.2  # of the mean cost of all that runs or waits, up to which a class is low-cost
LOW_COST_RESERVE_FRACTION = 0.1  # of the limit, reserved for low-cost classes
LOW_COST_RESERVE_DURATION_S = 10.0  # since one of them came, for which the reserve stands
CLASS_FLOOR_FRACTION = 0.1  # of the limit
KEYED_FLOOR_FRACTION = 0.25  # of the limit: filings have the highest priority weight
MAX_FLOORS_FRACTION = 0.8  # of the limit, together: the rest goes by priority
LOW_PRIORITY_LANE_FRACTION = 0.15  # of the limit, for requests that cost many times what is usual


@dataclass(slots=True)
class ClassActivity:
    """One class of late: requests that wait and run, what one costs (s), and when the last one came (s)."""

    queued: int = 0
    running: int = 0
    cost_s: float = 0.0
    last_arrival_s: float = -math.inf


def low_cost_classes(activity: Mapping[str, ClassActivity]) -> set[str]:
    """Names of the classes whose measured cost is small beside the mean of all that runs or waits."""
    measured = {name: known for name, known in activity.items() if known.cost_s > 0}
    count = sum(known.queued + known.running for known in measured.values())
    if len(measured) < 2 or not count:
        return set()
    mean_s = sum(known.cost_s * (known.queued + known.running) for known in measured.values()) / count
    return {name for name, known in measured.items() if known.cost_s <= LOW_COST_FRACTION * mean_s}


def bulkhead_limits(
    concurrency_limit: float | None,
    settings: AdmissionSettings,
    activity: Mapping[str, ClassActivity],
    now_s: float,
    low_cost: AbstractSet[str],
    low_priority_lane: bool,
) -> ConcurrencyLimits:
    """What the admission controller is to keep to until it is told anew.

    Without a `concurrency_limit` the controller finds by itself how many run; floors are then fractions of
    the cores, and nothing is reserved.
    """
    if concurrency_limit is None:
        slots = settings.cores
        total = UNLIMITED
        cap = max(slots, int(settings.cores * settings.collapse_multiple))
        reserved = 0
    else:
        slots = total = cap = max(1, int(concurrency_limit))
        reserved = _low_cost_reserve(slots, low_cost, activity, now_s)
    reserves = [reserved if known.name in low_cost else 0 for known in settings.classes]
    return ConcurrencyLimits(
        total=total,
        class_floors=tuple(map(max, _class_floors(slots, settings), reserves)),
        class_caps=tuple(cap - reserved + own_reserve for own_reserve in reserves),
        expensive=max(1, int(slots * LOW_PRIORITY_LANE_FRACTION)) if low_priority_lane else UNLIMITED,
    )


def _low_cost_reserve(
    slots: int, low_cost: AbstractSet[str], activity: Mapping[str, ClassActivity], now_s: float
) -> int:
    """Slots that only low-cost classes may use: some while one of these has come lately, else none."""
    recent = (activity[name].last_arrival_s for name in low_cost if name in activity)
    if not any(now_s - arrival_s <= LOW_COST_RESERVE_DURATION_S for arrival_s in recent):
        return 0
    return min(slots - 1, max(1, math.ceil(slots * LOW_COST_RESERVE_FRACTION)))


def _class_floors(slots: int, settings: AdmissionSettings) -> Sequence[int]:
    """Slots for each class: at least one where there are as many slots as classes, else none for anybody."""
    classes = settings.classes
    fractions = [
        KEYED_FLOOR_FRACTION if known.idempotency is Idempotency.KEYED else CLASS_FLOOR_FRACTION
        for known in classes
    ]
    scale = min(1.0, MAX_FLOORS_FRACTION / max(1e-9, sum(fractions)))
    floors = [max(1, int(slots * fraction * scale)) for fraction in fractions]
    while sum(floors) > slots and max(floors) > 1:
        floors[floors.index(max(floors))] -= 1
    if sum(floors) > slots:
        return [0] * len(floors)
    return floors
