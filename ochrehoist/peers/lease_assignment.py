"""Selection of the free lease slots that a worker requests, and of those that it transfers to others. No I/O.

The selection affects only utilisation: the grantors enforce the budget regardless of the requests.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from ochrehoist.peers.budget import Budget

HEADROOM = 1.25  # multiple of its recent demand that a worker keeps


@dataclass(slots=True)
class PeerDemand:
    """Another worker's share of a budget and its demand; `fresh` if it was reported recently."""

    held_slots: int = 0  # bit mask
    wanted: int = 0
    denied: int = 0
    fresh: bool = False


@dataclass(frozen=True)
class Transfer:
    """The transfer of one slot to another worker."""

    recipient: str
    slot: int


def slot_mask(slots: Iterable[int]) -> int:
    """Returns the slots as a bit mask."""
    return sum(1 << slot for slot in slots)


def assignee(budget: Budget, slot: int, alive: set[str]) -> str | None:
    """Returns the worker that is to request a free slot: its home if alive, else another live worker.

    Workers with the same view of `alive` choose the same one. Returns None for a floor slot whose home is
    not alive.
    """
    home = budget.home_of(slot)
    if home in alive:
        return home
    if budget.is_floor(slot) or not alive:
        return None
    return max(
        sorted(alive), key=lambda name: xxhash.xxh64_intdigest(f"{budget.name}/{slot}/{name}".encode())
    )


def slots_to_request(
    budget: Budget, own_name: str, own_slots: set[int], alive: set[str], others: Mapping[str, PeerDemand]
) -> list[int]:
    """Returns the free slots that this worker is to request.

    `alive` includes this worker; `own_slots` are held, requested or recently given away.
    """
    held_by_others = 0
    for peer in others.values():
        held_by_others |= peer.held_slots
    return [
        slot
        for slot in range(budget.slot_count)
        if slot not in own_slots
        and not held_by_others >> slot & 1
        and assignee(budget, slot, alive) == own_name
    ]


def choose_transfer(
    budget: Budget,
    held_slots: Iterable[int],
    wanted: int,
    transferable: int,
    others: Mapping[str, PeerDemand],
) -> Transfer | None:
    """Returns a slot to transfer to a worker whose requests are denied, or None.

    `wanted` is this worker's own demand, `transferable` the amount that its uses leave free.
    """
    denied_peers = sorted(
        (name for name, peer in others.items() if peer.denied > 0 and peer.fresh),
        key=lambda name: (-others[name].denied, name),
    )
    if not denied_peers:
        return None
    held_slots = list(held_slots)
    held_amount = sum(budget.slot_amount(slot) for slot in held_slots)
    transferable_slots = [
        slot for slot in held_slots if not budget.is_floor(slot) and budget.slot_amount(slot) <= transferable
    ]
    return _surplus_transfer(
        budget, transferable_slots, held_amount, wanted, denied_peers
    ) or _balancing_transfer(budget, transferable_slots, held_amount, denied_peers, others)


def _surplus_transfer(
    budget: Budget, transferable_slots: list[int], held_amount: int, wanted: int, denied_peers: list[str]
) -> Transfer | None:
    """Returns the transfer of a slot that exceeds this worker's demand and headroom, or None."""
    kept_amount = int(wanted * HEADROOM) + (1 if wanted else 0)
    for recipient in denied_peers:
        # The slots whose home is the recipient come first; further ones may belong to other homes.
        for slot in sorted(transferable_slots, key=lambda slot: (budget.home_of(slot) != recipient, slot)):
            if held_amount - budget.slot_amount(slot) >= kept_amount:
                return Transfer(recipient, slot)
    return None


def _balancing_transfer(
    budget: Budget,
    transferable_slots: list[int],
    held_amount: int,
    denied_peers: list[str],
    others: Mapping[str, PeerDemand],
) -> Transfer | None:
    """Returns the transfer of a slot to a worker that holds much less than this one, or None.

    Balances the holdings when the total demand exceeds the budget.
    """
    for recipient in denied_peers:
        peer = others[recipient]
        peer_amount = sum(
            budget.slot_amount(slot) for slot in range(budget.slot_count) if peer.held_slots >> slot & 1
        )
        for slot in transferable_slots:
            amount = budget.slot_amount(slot)
            if held_amount - amount >= peer_amount + amount and peer.wanted > peer_amount:
                return Transfer(recipient, slot)
    return None
