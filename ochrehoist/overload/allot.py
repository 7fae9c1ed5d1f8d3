"""How something scarce is shared out: by worth first, and alike by weight among those of one worth. No
I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

NOTHING = 1e-12


@dataclass(slots=True, frozen=True)
class Ask:
    """One that asks. `rank`: 0 is worth most; `wants` and `floor` are in the unit of what is shared out."""

    rank: int
    wants: float
    weight: float = 1.0
    floor: float = 0.0  # of it, before anybody of a better rank gets more than his own


def allot(budget: float, asks: Sequence[Ask]) -> list[float]:
    """What each gets: never more than he wants, together never more than there is, and all of it while
    somebody wants more.

    Floors come first (in proportion, where they don't fit); then ranks in order; within a rank the scarce is
    shared by weighted max-min fairness: nobody gets more by wanting more than his fair part.
    """
    floors = [min(a.wants, a.floor) for a in asks]
    got = _spread(budget, floors, [max(NOTHING, f) for f in floors])
    left = budget - sum(got)
    for rank in sorted({a.rank for a in asks}):
        mine = [n for n, a in enumerate(asks) if a.rank == rank]
        more = _spread(left, [asks[n].wants - got[n] for n in mine], [asks[n].weight for n in mine])
        for n, part in zip(mine, more, strict=True):
            got[n] += part
        left -= sum(more)
    return got


def _spread(budget: float, wants: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Weighted max-min: those whose wants are least for their weight are filled first, each from his fair
    part of what is left, so that what he leaves goes to all others."""
    got, left = [0.0] * len(wants), max(0.0, budget)
    weight = sum(max(NOTHING, w) for w in weights)
    for n in sorted(range(len(wants)), key=lambda n: wants[n] / max(NOTHING, weights[n])):
        mine = max(NOTHING, weights[n])
        got[n] = max(0.0, min(wants[n], left * min(1.0, mine / max(NOTHING, weight))))
        left, weight = left - got[n], weight - mine
    return got
