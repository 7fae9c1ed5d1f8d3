"""Fleets that differ from a described one in their workers. No I/O."""

from collections.abc import Iterable

from ochrehoist.config.fleet_description import Fleet, MachineKind, PlacedNode, Workers
from ochrehoist.plan.analytic import Limit
from ochrehoist.plan.errors import UnanswerableQuestionError


def _with_groups(fleet: Fleet, groups: Iterable[Workers]) -> Fleet:
    return Fleet.model_validate(fleet.model_dump() | {"workers": [group.model_dump() for group in groups]})


def _single(worker: PlacedNode) -> Workers:
    return Workers(kind=worker.kind, addresses=[worker.address])


def with_workers(fleet: Fleet, kind: str, count: int) -> Fleet:
    """The fleet with so many workers of one kind: the first that it has, then new ones, sites in turn.

    Raises:
        UnanswerableQuestionError: The sites have no address for another worker.
    """
    others = [worker for worker in fleet.placed_workers if worker.kind != kind]
    addresses = [worker.address for worker in fleet.placed_workers if worker.kind == kind][:count]
    addresses += _free_addresses(fleet, len(addresses), count)
    groups = [_single(worker) for worker in others]
    if addresses:
        groups.append(Workers(kind=kind, addresses=addresses))
    return _with_groups(fleet, groups)


def _free_addresses(fleet: Fleet, first: int, count: int) -> list[str]:
    """Addresses for the workers number `first` to `count` of a kind; the number says whose turn it is."""
    taken = {placed.address for placed in (*fleet.placed_workers, *fleet.placed_routers)}
    pools = [iter(site.address_set) for site in fleet.sites]
    addresses = []
    for number in range(first, count):
        pool = pools[number % len(pools)]
        address = next((str(each) for each in pool if str(each) not in taken), None)
        if address is None:
            raise UnanswerableQuestionError.no_address_left()
        taken.add(address)
        addresses.append(address)
    return addresses


def without_strongest(fleet: Fleet) -> Fleet:
    """The fleet without one machine of the kind whose loss costs most."""

    def strength(kind_name: str) -> float:
        kind = fleet.kind(kind_name)
        return kind.cores * sum(kind.speed_range)

    strongest = max((worker.kind for worker in fleet.placed_workers), key=strength)
    count = sum(worker.kind == strongest for worker in fleet.placed_workers)
    return with_workers(fleet, strongest, count - 1)


def without_site(fleet: Fleet, site: str) -> Fleet:
    """The fleet while a site is gone.

    Raises:
        UnanswerableQuestionError: The site holds none of the workers, or all.
    """
    left = [worker for worker in fleet.placed_workers if worker.site != site]
    if len(left) == len(fleet.placed_workers):
        raise UnanswerableQuestionError.unknown_site(site, (each.name for each in fleet.sites))
    if not left:
        raise UnanswerableQuestionError.no_workers_left(site, "nothing is left to let anybody in")
    return _with_groups(fleet, map(_single, left))


def with_limit_lifted(fleet: Fleet, kind_name: str, limit: Limit) -> Fleet:
    """The fleet with twice as much of what limited the machines of one kind."""
    kinds = [_lifted(kind, limit) if kind.name == kind_name else kind for kind in fleet.kinds]
    return fleet.model_copy(update={"kinds": kinds})


def _lifted(kind: MachineKind, limit: Limit) -> MachineKind:
    match limit:
        case Limit.CORES | Limit.READING:
            return kind.model_copy(update={"cores": kind.cores * 2})
        case Limit.MEMORY:
            return kind.model_copy(update={"memory_mb": kind.memory_mb * 2})
        case Limit.CONNECTIONS:
            return kind.model_copy(update={"connections": kind.connections * 2})
        case Limit.OBJECTIVE:
            return kind.model_copy(update={"speed": (kind.speed_range[0] * 2, kind.speed_range[1] * 2)})
