"""Allocates a limited capacity by rank, and by weighted max-min fairness within each rank."""

from collections.abc import Sequence
from dataclasses import dataclass

MIN_WEIGHT = 1e-12  # replaces smaller weights and zero, which cannot be divided by


@dataclass(slots=True, frozen=True)
class AllocationRequest:
    """One request for capacity. `demand` and `minimum` are in the unit of the capacity."""

    rank: int  # rank 0 is served first
    demand: float
    weight: float = 1.0
    minimum: float = 0.0  # allocated before any rank gets more than its minimums


def allocate(capacity: float, requests: Sequence[AllocationRequest]) -> list[float]:
    """Returns the allocation of each request, in the order of `requests`.

    No allocation exceeds its demand, their sum does not exceed the capacity, and no capacity is left while a
    demand is unmet. Minimums are allocated first, in proportion if they exceed the capacity, then the ranks
    in order. Within a rank the allocation is max-min fair: a higher demand does not increase the fair share.
    """
    minimums = [min(request.demand, request.minimum) for request in requests]
    allocated = _max_min_fair(capacity, minimums, [max(MIN_WEIGHT, minimum) for minimum in minimums])
    remaining = capacity - sum(allocated)
    for rank in sorted({request.rank for request in requests}):
        members = [index for index, request in enumerate(requests) if request.rank == rank]
        unmet = [requests[index].demand - allocated[index] for index in members]
        granted = _max_min_fair(remaining, unmet, [requests[index].weight for index in members])
        for index, amount in zip(members, granted, strict=True):
            allocated[index] += amount
        remaining -= sum(granted)
    return allocated


def _max_min_fair(capacity: float, demands: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Returns weighted max-min fair shares.

    Demands are served in ascending order of demand per weight. Each gets at most its fair share of the
    remaining capacity, so that unused parts of a share are available to all later ones.
    """
    shares = [0.0] * len(demands)
    remaining = max(0.0, capacity)
    remaining_weight = sum(max(MIN_WEIGHT, weight) for weight in weights)
    for index in sorted(range(len(demands)), key=lambda i: demands[i] / max(MIN_WEIGHT, weights[i])):
        weight = max(MIN_WEIGHT, weights[index])
        fair_share = remaining * min(1.0, weight / max(MIN_WEIGHT, remaining_weight))
        shares[index] = max(0.0, min(demands[index], fair_share))
        remaining -= shares[index]
        remaining_weight -= weight
    return shares
