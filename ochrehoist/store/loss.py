"""What a folder says of the state that was kept in it: a first start, a sound store, or a loss. No I/O."""

from dataclasses import dataclass, field
from enum import Enum

from ochrehoist.store.ageing import Stamp, remaining
from ochrehoist.store.records import Census, Loss


class Case(Enum):
    FIRST = "first start"
    SOUND = "sound"
    LOST = "lost"


@dataclass(slots=True)
class Seen:
    """What was found."""

    marker: bool  # the folder has held a store before
    store: bool  # one of this version, or of an older one, is there
    newer: str | None = None  # the name of one of a newer version
    unreadable: str | None = None  # why the store can't be read
    damaged: int = 0  # records that are not what was written
    census: Census | None = None  # as the store tells it
    counted: Census | None = None  # as its records add up, with the same number
    witness: int | None = None  # the number of the last commit that was told to be durable


@dataclass(slots=True)
class Verdict:
    case: Case
    why: list[str] = field(default_factory=list)
    set_aside: bool = False  # the store that is there can't serve any more


def judge(seen: Seen) -> Verdict:
    """Every reason counts as a loss: whatever is not known to have run could run again."""
    if not (seen.marker or seen.store or seen.newer):
        return Verdict(Case.FIRST)
    why = []
    if seen.newer:
        why.append(f"{seen.newer} is of a newer version: what it knows is not known here")
    if not seen.store:
        # One of a newer version may be all there ever was; without either, the folder has lost its store.
        return Verdict(Case.LOST, why or ["the folder has held a store, which is gone"])
    aside = []
    if seen.unreadable:
        aside.append(f"the store can't be read: {seen.unreadable}")
    elif seen.census is None:
        aside.append("the store has no census")
    else:
        if seen.damaged:
            aside.append(f"{seen.damaged} records are damaged")
        if seen.counted != seen.census:
            aside.append("the filings on record do not add up")
        if seen.witness is not None and seen.witness > seen.census.number:
            aside.append(f"{seen.witness - seen.census.number} commits are missing")
    return Verdict(Case.LOST if why or aside else Case.SOUND, why + aside, bool(aside))


def held_for(loss: Loss | None, on_loss: str, now: Stamp) -> int:
    """Ns for which filings that are not known have still to be refused."""
    if loss is None or on_loss != "hold":
        return 0
    return remaining(loss.at, loss.hold, loss.hold, now)
