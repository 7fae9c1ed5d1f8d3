"""Damage assessment: whether a state folder is new, sound, or has lost records. No I/O."""

from dataclasses import dataclass, field
from enum import Enum

from ochrehoist.config.tables import LossPolicy
from ochrehoist.store.records import CommitSummary, DataLossRecord
from ochrehoist.store.timestamps import Timestamp, remaining_window_ns


class StoreCondition(Enum):
    """The condition in which a state folder was found."""

    FIRST_START = "first start"
    SOUND = "sound"
    LOST = "lost"


@dataclass(slots=True)
class FolderInspection:
    """What was found in a state folder."""

    has_marker: bool  # there has been a store in the folder before
    has_store: bool  # one of this format version, or of an older one
    newer_store: str | None = None  # the file name of one of a newer format version
    read_error: str | None = None  # why the store can't be read
    corrupt_records: int = 0
    stored_summary: CommitSummary | None = None
    actual_summary: CommitSummary | None = None  # computed from the records, for the same commit
    last_commit_number: int | None = None  # by the watermark: the last commit reported as durable


@dataclass(slots=True)
class DamageAssessment:
    """The condition of a state folder, and why it is not sound."""

    condition: StoreCondition
    reasons: list[str] = field(default_factory=list)
    must_set_aside: bool = False  # the store that is there can't be used any more


def assess_damage(inspection: FolderInspection) -> DamageAssessment:
    """The condition of a folder. Any doubt counts as a loss: an unknown request could run twice."""
    if not (inspection.has_marker or inspection.has_store or inspection.newer_store):
        return DamageAssessment(StoreCondition.FIRST_START)
    reasons = []
    if inspection.newer_store:
        reasons.append(f"{inspection.newer_store} is of a newer version: what it knows is not known here")
    if not inspection.has_store:
        # Where there is one of a newer version, there may never have been another.
        no_store = ["the folder has held a store, which is gone"]
        return DamageAssessment(StoreCondition.LOST, reasons or no_store)
    store_damage = _store_damage(inspection)
    reasons += store_damage
    condition = StoreCondition.LOST if reasons else StoreCondition.SOUND
    return DamageAssessment(condition, reasons, bool(store_damage))


def _store_damage(inspection: FolderInspection) -> list[str]:
    if inspection.read_error:
        return [f"the store can't be read: {inspection.read_error}"]
    if inspection.stored_summary is None:
        return ["the store has no census"]
    damage = []
    if inspection.corrupt_records:
        damage.append(f"{inspection.corrupt_records} records are damaged")
    if inspection.actual_summary != inspection.stored_summary:
        damage.append("the filings on record do not add up")
    missing = (inspection.last_commit_number or 0) - inspection.stored_summary.commit_number
    if missing > 0:
        damage.append(f"{missing} commits are missing")
    return damage


def remaining_hold_ns(loss: DataLossRecord | None, on_loss: LossPolicy, now: Timestamp) -> int:
    """Time in ns for which unknown requests still have to be rejected."""
    if loss is None or on_loss is not LossPolicy.HOLD:
        return 0
    return remaining_window_ns(loss.detected_at, loss.hold_ns, loss.hold_ns, now)
