"""Bulkheads: limits per class within the total concurrency limit, so that no class can use all of it.

Each class has a floor; below its floor a class has precedence over other classes. Floors are no reservations:
slots that a class does not request are available to the others. The only reservation is that for low-cost
classes. Its slots stay free while requests of these classes arrive, as a long run in one would block it.
"""

import math
from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from ochrehoist.admission.events import UNLIMITED, ConcurrencyLimits
from ochrehoist.admission.settings import AdmissionSettings, Idempotency

# A class is low-cost up to this fraction of the mean cost of all running and waiting requests.
LOW_COST_FRACTION = 0.2
LOW_COST_RESERVE_FRACTION = 0.1  # reserved fraction of the limit
# The reserve for low-cost classes lasts for this time after the last arrival of one of their requests.
LOW_COST_RESERVE_DURATION_S = 10.0
# Fractions of the limit:
CLASS_FLOOR_FRACTION = 0.1
KEYED_FLOOR_FRACTION = 0.25  # higher than for other classes, as filings have the highest priority weight
MAX_FLOORS_FRACTION = 0.8  # sum of all floors; the rest is allocated by priority
LOW_PRIORITY_LANE_FRACTION = 0.15  # for requests that cost many times the usual cost of their class


@dataclass(slots=True)
class ClassActivity:
    """Recent activity of one class.

    Attributes:
        queued: Number of waiting requests.
        running: Number of running requests.
        cost_s: Usual run time of a request; 0 if not measured yet.
        last_arrival_s: When the last request arrived.
    """

    queued: int = 0
    running: int = 0
    cost_s: float = 0.0
    last_arrival_s: float = -math.inf


def low_cost_classes(activity: Mapping[str, ClassActivity]) -> set[str]:
    """Returns the names of classes that cost little compared with the mean running or waiting request."""
    measured = {name: recent for name, recent in activity.items() if recent.cost_s > 0}
    count = sum(recent.queued + recent.running for recent in measured.values())
    if len(measured) < 2 or not count:
        return set()
    mean_s = sum(recent.cost_s * (recent.queued + recent.running) for recent in measured.values()) / count
    return {name for name, recent in measured.items() if recent.cost_s <= LOW_COST_FRACTION * mean_s}


def bulkhead_limits(
    concurrency_limit: float | None,
    settings: AdmissionSettings,
    activity: Mapping[str, ClassActivity],
    now_s: float,
    low_cost: AbstractSet[str],
    low_priority_lane: bool,
) -> ConcurrencyLimits:
    """Returns the concurrency limits for the admission controller.

    Without a `concurrency_limit` the controller determines the total concurrency itself; floors are then
    fractions of the number of cores, and nothing is reserved.
    """
    if concurrency_limit is None:
        slots = settings.cores
        total = UNLIMITED
        cap = max(slots, int(settings.cores * settings.collapse_multiple))
        reserved = 0
    else:
        slots = total = cap = max(1, int(concurrency_limit))
        reserved = _low_cost_reserve(slots, low_cost, activity, now_s)
    reserves = [reserved if request_class.name in low_cost else 0 for request_class in settings.classes]
    return ConcurrencyLimits(
        total=total,
        class_floors=tuple(map(max, _class_floors(slots, settings), reserves)),
        class_caps=tuple(cap - reserved + own_reserve for own_reserve in reserves),
        expensive=max(1, int(slots * LOW_PRIORITY_LANE_FRACTION)) if low_priority_lane else UNLIMITED,
    )


def _low_cost_reserve(
    slots: int, low_cost: AbstractSet[str], activity: Mapping[str, ClassActivity], now_s: float
) -> int:
    """Returns the number of slots that only low-cost classes may use; 0 without recent arrivals of these."""
    arrivals_s = (activity[name].last_arrival_s for name in low_cost if name in activity)
    if not any(now_s - arrival_s <= LOW_COST_RESERVE_DURATION_S for arrival_s in arrivals_s):
        return 0
    return min(slots - 1, max(1, math.ceil(slots * LOW_COST_RESERVE_FRACTION)))


def _class_floors(slots: int, settings: AdmissionSettings) -> Sequence[int]:
    """Returns the floor of each class: at least one slot, or 0 for all if there are too few slots."""
    classes = settings.classes
    fractions = [
        KEYED_FLOOR_FRACTION if request_class.idempotency is Idempotency.KEYED else CLASS_FLOOR_FRACTION
        for request_class in classes
    ]
    scale = min(1.0, MAX_FLOORS_FRACTION / max(1e-9, sum(fractions)))
    floors = [max(1, int(slots * fraction * scale)) for fraction in fractions]
    while sum(floors) > slots and max(floors) > 1:
        floors[floors.index(max(floors))] -= 1
    if sum(floors) > slots:
        return [0] * len(floors)
    return floors
