"""Allocates a scarce capacity: by rank first, and by weighted max-min fairness among those of one rank."""

from collections.abc import Sequence
from dataclasses import dataclass

MIN_WEIGHT = 1e-12  # in place of a weight of nothing


@dataclass(slots=True, frozen=True)
class AllocationRequest:
    """One claim. Rank 0 comes first; `demand` and `minimum` are in the unit of the capacity."""

    rank: int
    demand: float
    weight: float = 1.0
    minimum: float = 0.0  # served before any better rank gets more than its own minimum


def allocate(capacity: float, requests: Sequence[AllocationRequest]) -> list[float]:
    """What each request gets, in their order.

    Nobody gets more than the demand, all together never more than the capacity, and nothing is left over
    while any demand is unmet. Minimums come first (in proportion, where they don't fit); then ranks in
    order; within a rank weighted max-min fairness holds: nobody gets more than a fair share by demanding
    more.
    """
    minimums = [min(request.demand, request.minimum) for request in requests]
    allocated = _max_min_fair(capacity, minimums, [max(MIN_WEIGHT, minimum) for minimum in minimums])
    remaining = capacity - sum(allocated)
    for rank in sorted({request.rank for request in requests}):
        members = [at for at, request in enumerate(requests) if request.rank == rank]
        unmet = [requests[at].demand - allocated[at] for at in members]
        granted = _max_min_fair(remaining, unmet, [requests[at].weight for at in members])
        for at, amount in zip(members, granted, strict=True):
            allocated[at] += amount
        remaining -= sum(granted)
    return allocated


def _max_min_fair(capacity: float, demands: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Weighted max-min fair shares.

    The least demand for its weight is served first, from its fair share of what remains, so that what it
    leaves goes to all others.
    """
    shares = [0.0] * len(demands)
    remaining = max(0.0, capacity)
    remaining_weight = sum(max(MIN_WEIGHT, weight) for weight in weights)
    for at in sorted(range(len(demands)), key=lambda at: demands[at] / max(MIN_WEIGHT, weights[at])):
        weight = max(MIN_WEIGHT, weights[at])
        fair = remaining * min(1.0, weight / max(MIN_WEIGHT, remaining_weight))
        shares[at] = max(0.0, min(demands[at], fair))
        remaining -= shares[at]
        remaining_weight -= weight
    return shares
