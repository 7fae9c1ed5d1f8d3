"""Which free lease slots a worker requests, and which it transfers to one that is denied.

A matter of utilisation alone: whatever is requested, the grantors keep the budget's bound. No I/O.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from ochrehoist.peers.budget import Budget

HEADROOM = 1.25  # times the recent demand, that a worker keeps for itself


@dataclass(slots=True)
class PeerDemand:
    """What is known of another worker's part in a budget; `fresh`: it was reported lately."""

    held_slots: int = 0  # a bit mask
    wanted: int = 0
    denied: int = 0
    fresh: bool = False


@dataclass(frozen=True)
class Transfer:
    """One slot to give away, and to whom."""

    recipient: str
    slot: int


def slot_mask(slots: Iterable[int]) -> int:
    """The slots as a bit mask."""
    return sum(1 << slot for slot in slots)


def assignee(budget: Budget, slot: int, alive: set[str]) -> str | None:
    """Who is to request a free slot: its home, else one of those alive; the same for all who see alike."""
    home = budget.home_of(slot)
    if home in alive:
        return home
    if budget.is_floor(slot) or not alive:
        return None
    return max(
        sorted(alive), key=lambda name: xxhash.xxh64_intdigest(f"{budget.name}/{slot}/{name}".encode())
    )


def slots_to_request(
    budget: Budget, me: str, own_slots: set[int], alive: set[str], others: Mapping[str, PeerDemand]
) -> list[int]:
    """Free slots that fall to this worker.

    `alive` includes the worker; `own_slots` are held, requested or lately given away.
    """
    taken = 0
    for peer in others.values():
        taken |= peer.held_slots
    return [
        slot
        for slot in range(budget.slot_count)
        if slot not in own_slots and not taken >> slot & 1 and assignee(budget, slot, alive) == me
    ]


def choose_transfer(
    budget: Budget,
    held_slots: Iterable[int],
    wanted: int,
    transferable: int,
    others: Mapping[str, PeerDemand],
) -> Transfer | None:
    """One slot to give to a worker that is denied, out of what this worker does not want itself."""
    needy = sorted(
        (name for name, peer in others.items() if peer.denied > 0 and peer.fresh),
        key=lambda name: (-others[name].denied, name),
    )
    if not needy:
        return None
    held_slots = list(held_slots)
    held_amount = sum(budget.slot_amount(slot) for slot in held_slots)
    movable = [
        slot for slot in held_slots if not budget.is_floor(slot) and budget.slot_amount(slot) <= transferable
    ]
    return _spare_slot(budget, movable, held_amount, wanted, needy) or _balancing_slot(
        budget, movable, held_amount, needy, others
    )


def _spare_slot(
    budget: Budget, movable: list[int], held_amount: int, wanted: int, needy: list[str]
) -> Transfer | None:
    """A slot beyond what this worker wants and its headroom."""
    keep = int(wanted * HEADROOM) + (1 if wanted else 0)
    for recipient in needy:
        # A home that is denied gets its own slots first; what it wants beyond these may be others'.
        for slot in sorted(movable, key=lambda slot: (budget.home_of(slot) != recipient, slot)):
            if held_amount - budget.slot_amount(slot) >= keep:
                return Transfer(recipient, slot)
    return None


def _balancing_slot(
    budget: Budget,
    movable: list[int],
    held_amount: int,
    needy: list[str],
    others: Mapping[str, PeerDemand],
) -> Transfer | None:
    """Where all want more than there is: a slot for one that holds much less than this worker."""
    for recipient in needy:
        peer = others[recipient]
        peer_amount = sum(
            budget.slot_amount(slot) for slot in range(budget.slot_count) if peer.held_slots >> slot & 1
        )
        for slot in movable:
            amount = budget.slot_amount(slot)
            if held_amount - amount >= peer_amount + amount and peer.wanted > peer_amount:
                return Transfer(recipient, slot)
    return None
