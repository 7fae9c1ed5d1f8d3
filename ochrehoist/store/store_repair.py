"""Opening and repair of the store in a state folder, which may be missing, damaged or of another version.

The folder is assessed, unusable stores are set aside, and their sound records are kept. The caller holds the
folder's lock. Stores are never deleted: those that are no longer used are renamed.
"""

import uuid
from collections.abc import Iterable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import apsw
import msgspec

from ochrehoist.core.idempotency_table import WINDOW_MARGIN_NS
from ochrehoist.store import files
from ochrehoist.store.damage import DamageAssessment, FolderInspection, StoreCondition, assess_damage
from ochrehoist.store.database import (
    DATA_LOSS_NAME,
    DATABASE_ERRORS,
    LEARNED_STATE_NAME,
    Database,
    EncodedRecord,
    StoreContents,
    create_store,
)
from ochrehoist.store.errors import FailureKind, StoreFailedError, store_failure
from ochrehoist.store.files import FolderMarker
from ochrehoist.store.operations import PutNamed
from ochrehoist.store.records import (
    FORMAT_VERSION,
    CommitSummary,
    DataLossRecord,
    IntentRecord,
    LearnedStateRecord,
)
from ochrehoist.store.timestamps import Timestamp, remaining_window_ns
from ochrehoist.units import NS_PER_S

HOLD_MARGIN_NS = NS_PER_S  # added to the longest window, for requests in flight at the time of the loss
FIRST_START_REASON = "first start: witnesses may know of earlier runs"


class LiveIntent(msgspec.Struct, gc=False):
    """An intent whose window is not over; excluded from garbage collection, since there may be many."""

    record: IntentRecord
    remaining_ns: int
    has_result: bool


@dataclass(slots=True)
class OpenStore:
    """An open store, and the condition in which its folder was found.

    Attributes:
        database: the open database.
        condition: the condition of the folder before any repair.
        intents: the intents whose windows are not over.
        expired_intents: the intents whose windows are over, to be deleted.
        learned: the stored learned state, if any.
        loss: the latest data loss, which may have been detected earlier.
        loss_reasons: the reasons for a loss that was detected when the store was opened.
        set_aside: the file names of stores that were set aside.
    """

    database: Database
    condition: StoreCondition
    intents: list[LiveIntent]
    expired_intents: list[IntentRecord]
    learned: LearnedStateRecord | None
    loss: DataLossRecord | None
    loss_reasons: list[str] = field(default_factory=list)
    set_aside: list[str] = field(default_factory=list)


def open_store(
    folder: Path,
    max_mb: float,
    longest_window_ns: int,
    now: Timestamp,
    windows_ns: Mapping[str, int] | None = None,
    hold_at_first_start: bool = False,
) -> OpenStore:
    """Opens the store of a folder, after creating, merging or repairing it if necessary.

    Args:
        folder: the state folder, which exists and is locked by the caller.
        max_mb: the size limit of the store in MB; 0: no limit.
        longest_window_ns: the longest idempotency window of the settings.
        now: the current time.
        windows_ns: the idempotency windows of the settings by class name; a longer one than that of a stored
            intent applies to the intent too.
        hold_at_first_start: whether an empty folder may have been lost, so that the hold of unknown requests
            is recorded before any request is accepted.

    Raises StoreFailedError or OSError if the disk fails.
    """
    path = folder / files.store_file_name()
    marker = files.read_marker(folder)
    watermark = files.read_watermark(folder)
    _finish_replacement(path, watermark)
    newer_stores = _newer_stores(folder)
    migration_damage = _merge_older_stores(folder, path, watermark)
    if migration_damage is not None:
        watermark = None  # its number may refer to an older store
    contents = _read_store(path) if path.exists() else None
    inspection = _inspect(contents, marker, _first_unrecorded_store(newer_stores, marker), watermark)
    assessment = _with_migration_damage(assess_damage(inspection), migration_damage or [])
    if marker is not None:
        longest_window_ns = max(longest_window_ns, marker.longest_window_ns)
    loss = _new_loss(assessment, longest_window_ns, now, hold_at_first_start)
    contents, set_aside = _repair(path, contents, assessment, loss, watermark)
    _update_marker(folder, marker, longest_window_ns, newer_stores)
    database = Database(path, max_mb)
    database.summary = contents.summary or CommitSummary()
    opened = OpenStore(
        database, assessment.condition, [], [], contents.learned, contents.loss, assessment.reasons, set_aside
    )
    _separate_expired(opened, contents, now, windows_ns or {})
    return opened


def rebuild_store(
    opened: OpenStore,
    max_mb: float,
    intents: Sequence[IntentRecord],
    loss: DataLossRecord | None,
    learned: LearnedStateRecord | None,
) -> Database:
    """Replaces a store that cannot be trusted by a new one with the given records, and opens the new one.

    Sound results are copied from the old store, which is set aside. Raises StoreFailedError.
    """
    path = opened.database.path
    commit_number = opened.database.summary.commit_number + 1
    results = list(opened.database.sound_results())
    try:
        opened.database.close()
        replacement = path.with_name(path.name + files.REPLACEMENT_SUFFIX)
        create_store(replacement, commit_number, intents, results, _named_records(loss, learned))
        opened.set_aside.append(files.set_aside(path, "failed"))
        replacement.replace(path)
        files.sync_folder(path.parent)
        opened.database = Database(path, max_mb)
        opened.database.read_contents()
    except DATABASE_ERRORS as error:
        raise store_failure(error) from None
    return opened.database


def _named_records(
    loss: DataLossRecord | None, learned: LearnedStateRecord | None
) -> dict[str, DataLossRecord | LearnedStateRecord | None]:
    return {DATA_LOSS_NAME: loss, LEARNED_STATE_NAME: learned}


def _newer_stores(folder: Path) -> dict[str, int]:
    """Returns the modification times (ns) of stores of newer format versions by file name."""
    stores = files.find_stores(folder).items()
    return {path.name: path.stat().st_mtime_ns for version, path in stores if version > FORMAT_VERSION}


def _inspect(
    contents: StoreContents | None,
    marker: FolderMarker | None,
    newer_store: str | None,
    watermark: int | None,
) -> FolderInspection:
    has_marker = marker is not None
    if contents is None:
        return FolderInspection(has_marker, False, newer_store)
    return contents.inspection(has_marker, newer_store, watermark)


def _with_migration_damage(assessment: DamageAssessment, damage: list[str]) -> DamageAssessment:
    if not damage:
        return assessment
    return DamageAssessment(StoreCondition.LOST, assessment.reasons + damage, assessment.must_set_aside)


def _new_loss(
    assessment: DamageAssessment, longest_window_ns: int, now: Timestamp, hold_at_first_start: bool
) -> DataLossRecord | None:
    hold_ns = longest_window_ns + HOLD_MARGIN_NS
    if assessment.condition is StoreCondition.LOST:
        return DataLossRecord(now, hold_ns, "; ".join(assessment.reasons))
    if assessment.condition is StoreCondition.FIRST_START and hold_at_first_start:
        return DataLossRecord(now, hold_ns, FIRST_START_REASON)
    return None


def _repair(
    path: Path,
    contents: StoreContents | None,
    assessment: DamageAssessment,
    loss: DataLossRecord | None,
    watermark: int | None,
) -> tuple[StoreContents, list[str]]:
    """Creates or repairs the store if necessary; returns its contents and the file names set aside."""
    exists = contents is not None
    contents = contents or StoreContents()
    contents.loss = loss or contents.loss
    if not exists or assessment.must_set_aside:
        set_aside = _replace_store(path, contents, exists, watermark)
        return _read_store(path), set_aside
    if loss is not None:
        _record_loss(path, contents)
    return contents, []


def _first_unrecorded_store(newer_stores: dict[str, int], marker: FolderMarker | None) -> str | None:
    """Returns the first newer store that the marker does not record with its present modification time."""
    recorded = marker.newer_stores if marker is not None else {}
    return next((name for name, modified in newer_stores.items() if recorded.get(name) != modified), None)


def _read_store(path: Path) -> StoreContents:
    """Returns a store's contents, with a `read_error` if it is damaged. Raises StoreFailedError."""
    try:
        database = Database(path)
    except DATABASE_ERRORS as error:
        failure = store_failure(error)
        if failure.kind is not FailureKind.DAMAGED:
            raise failure from None
        return StoreContents(read_error=str(error))
    try:
        return database.read_contents()
    finally:
        database.close()


def _read_results(paths: Iterable[Path]) -> list[EncodedRecord]:
    results: list[EncodedRecord] = []
    for path in paths:
        with suppress(apsw.Error, OSError):
            database = Database(path)
            results += database.sound_results()
            database.close()
    return results


def _finish_replacement(path: Path, watermark: int | None) -> None:
    """Completes the replacement of a store that was interrupted just before the final renaming."""
    for suffix in (files.REPLACEMENT_SUFFIX, files.NEW_SUFFIX):
        replacement = path.with_name(path.name + suffix)
        if path.exists() or not replacement.exists():
            continue
        with suppress(StoreFailedError):
            inspection = _read_store(replacement).inspection(True, None, watermark)
            if assess_damage(inspection).condition is StoreCondition.SOUND:
                replacement.replace(path)
                files.sync_folder(path.parent)


def _replace_store(path: Path, contents: StoreContents, exists: bool, watermark: int | None) -> list[str]:
    """Creates a store of the sound records; an existing one is set aside, and its new name returned."""
    results = _read_results([path]) if exists else []
    set_aside = [files.set_aside(path, "damaged")] if exists else []
    stored_number = contents.summary.commit_number if contents.summary else 0
    commit_number = max(watermark or 0, stored_number) + 1
    named = _named_records(contents.loss, contents.learned)
    create_store(path, commit_number, contents.intents, results, named)
    return set_aside


def _record_loss(path: Path, contents: StoreContents) -> None:
    assert contents.loss is not None and contents.summary is not None
    database = Database(path)
    database.summary = contents.summary
    database.commit([PutNamed(DATA_LOSS_NAME, contents.loss)])
    contents.summary = database.summary
    database.close()


def _update_marker(
    folder: Path, marker: FolderMarker | None, longest_window_ns: int, newer_stores: dict[str, int]
) -> None:
    store_id = (marker and marker.store_id) or uuid.uuid4().hex
    files.write_marker(folder, marker, store_id, {"longest_window": longest_window_ns, "newer": newer_stores})


def _extension_ns(record: IntentRecord, windows_ns: Mapping[str, int]) -> int:
    """Returns by how much the settings' window of the intent's class exceeds the one it was recorded with."""
    longer_ns = windows_ns.get(record.idempotency_key[1], 0) - record.window_ns
    return longer_ns + WINDOW_MARGIN_NS if longer_ns > 0 else 0


def _separate_expired(
    opened: OpenStore, contents: StoreContents, now: Timestamp, windows_ns: Mapping[str, int]
) -> None:
    for record, has_result in zip(contents.intents, contents.has_result, strict=True):
        extension_ns = _extension_ns(record, windows_ns)
        remaining_ns = remaining_window_ns(
            record.recorded_at, record.remaining_ns + extension_ns, record.window_ns + extension_ns, now
        )
        if remaining_ns > 0:
            opened.intents.append(LiveIntent(record, remaining_ns, bool(has_result)))
        else:
            opened.expired_intents.append(record)


def _merge_older_stores(folder: Path, path: Path, watermark: int | None) -> list[str] | None:
    """Merges stores of older format versions, and one of the current version if it exists, into a new store.

    Sound records are kept even if a store is damaged. Returns the descriptions of all damage; None if there
    are no older stores.
    """
    stores_by_version = files.find_stores(folder)
    older_stores = [
        stores_by_version[version] for version in sorted(stores_by_version) if version < FORMAT_VERSION
    ]
    if not older_stores:
        return None
    paths = [*older_stores, path] if path.exists() else older_stores
    stores = [_read_store(p) for p in paths]
    damage = []
    for store_path, contents in zip(paths, stores, strict=True):
        reasons = assess_damage(contents.inspection(True, None, None)).reasons
        damage += [f"{store_path.name}: {reason}" for reason in reasons]
    commit_number = max((s.summary.commit_number for s in stores if s.summary), default=0)
    # The watermark is that of the version last in use, whose number must not exceed the highest one stored.
    if watermark is not None and watermark > commit_number:
        damage.append(f"{watermark - commit_number} commits are missing")
    intents = {record.idempotency_key: record for contents in stores for record in contents.intents}
    losses = [s.loss for s in stores if s.loss is not None]
    learned = [s.learned for s in stores if s.learned is not None]
    results = _read_results(paths)
    if path.exists():
        files.set_aside(path, "merged")
    named = _named_records(losses[-1] if losses else None, learned[-1] if learned else None)
    create_store(path, max(watermark or 0, commit_number) + 1, intents.values(), results, named)
    for older_path in older_stores:
        files.set_aside(older_path, "taken")
    return damage
