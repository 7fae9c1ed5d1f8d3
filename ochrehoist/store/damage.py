"""Damage assessment: whether a state folder is new, sound, or may have lost records. No I/O."""

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
    """The findings of an inspection of a state folder.

    Attributes:
        has_marker: whether the folder has held a store before.
        has_store: whether it holds a store of this format version or an older one.
        newer_store: the file name of a store of a newer format version, if there is one.
        read_error: the reason for which the store cannot be read; None if it can.
        corrupt_records: the number of corrupt records.
        stored_summary: the summary stored with the last commit.
        actual_summary: the summary computed from the stored records, for the same commit.
        last_commit_number: the last commit reported as durable, by the watermark.
    """

    has_marker: bool
    has_store: bool
    newer_store: str | None = None
    read_error: str | None = None
    corrupt_records: int = 0
    stored_summary: CommitSummary | None = None
    actual_summary: CommitSummary | None = None
    last_commit_number: int | None = None


@dataclass(slots=True)
class DamageAssessment:
    """The condition of a state folder, and the reasons if it is not sound.

    `must_set_aside` tells whether the present store file is unusable.
    """

    condition: StoreCondition
    reasons: list[str] = field(default_factory=list)
    must_set_aside: bool = False


def assess_damage(inspection: FolderInspection) -> DamageAssessment:
    """Returns the condition of a folder.

    Any doubt counts as a loss, because a request whose record is missing could run twice.
    """
    if not (inspection.has_marker or inspection.has_store or inspection.newer_store):
        return DamageAssessment(StoreCondition.FIRST_START)
    reasons = []
    if inspection.newer_store:
        reasons.append(f"{inspection.newer_store} is of a newer version: what it knows is not known here")
    if not inspection.has_store:
        # Beside a store of a newer version, a missing store of this version may never have existed.
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
    """Returns the time in ns for which unknown requests still have to be rejected."""
    if loss is None or on_loss is not LossPolicy.HOLD:
        return 0
    return remaining_window_ns(loss.detected_at, loss.hold_ns, loss.hold_ns, now)
