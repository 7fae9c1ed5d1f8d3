"""Maintenance of stores for operators: describe, verify, initialise, export, import and compact."""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import apsw

from ochrehoist.store import files
from ochrehoist.store.damage import DamageAssessment, StoreCondition, assess_damage
from ochrehoist.store.database import (
    DATA_LOSS_NAME,
    LEARNED_STATE_NAME,
    RECORD_ERRORS,
    Database,
    StoreContents,
    create_store,
)
from ochrehoist.store.errors import StoreMissingError
from ochrehoist.store.export import ExportedRequest, StoreSnapshot, merge_snapshots
from ochrehoist.store.lock import FolderLock, lock_holder
from ochrehoist.store.records import ResultRecord, decode_record, encode_key, encode_record
from ochrehoist.store.store_repair import open_store
from ochrehoist.store.timestamps import Timestamp, remaining_window_ns
from ochrehoist.units import NS_PER_S

LOCK_NAME = "the state command"  # shown to other processes as the holder of the lock


@dataclass(slots=True)
class StoreReading:
    """A read-only view of a store as of one moment; `watermark` is its last durable commit, if known."""

    database: Database
    contents: StoreContents
    watermark: int | None

    def assess(self, has_marker: bool) -> DamageAssessment:
        """Returns the condition of the store."""
        return assess_damage(self.contents.inspection(has_marker, None, self.watermark))


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """The numbers of keyed requests in a store before and after a change."""

    before: int
    after: int


@contextmanager
def read_store(folder: Path) -> Iterator[StoreReading]:
    """Reads a store as of one moment, which a worker may be writing to. Raises StoreMissingError."""
    path = folder / files.store_file_name()
    if not path.exists():
        other_stores = [p.name for p in files.find_stores(folder).values()] if folder.is_dir() else []
        raise StoreMissingError(
            folder, f"no {path.name}" + (f"; found {', '.join(other_stores)}" if other_stores else "")
        )
    # The watermark is read first: a commit between the two reads must not look like a missing one.
    watermark = files.read_watermark(folder)
    try:
        database = Database(path, read_only=True)
    except apsw.Error as error:
        raise StoreMissingError(path, str(error)) from None
    try:
        with suppress(apsw.Error):
            database.connection.execute("BEGIN")
        yield StoreReading(database, database.read_contents(), watermark)
    finally:
        database.close()


@contextmanager
def _locked(folder: Path) -> Iterator[None]:
    lock = FolderLock(folder, LOCK_NAME)
    try:
        yield
    finally:
        lock.release()


def describe_store(folder: Path, now: Timestamp) -> dict[str, Any]:
    """Returns the output of `ochrehoist state show`, by its documented keys. Raises StoreMissingError."""
    with read_store(folder) as reading:
        contents = reading.contents
        assessment = reading.assess(files.read_marker(folder) is not None)
        remaining_ns = [
            remaining_window_ns(intent.recorded_at, intent.remaining_ns, intent.window_ns, now)
            for intent in contents.intents
        ]
        loss = contents.loss
        hold_ns = (
            0 if loss is None else remaining_window_ns(loss.detected_at, loss.hold_ns, loss.hold_ns, now)
        )
        return {
            "folder": str(folder),
            "store": files.store_file_name(),
            "state": assessment.condition.value,
            "why": assessment.reasons,
            "held_by": lock_holder(folder, LOCK_NAME),
            "bytes": reading.database.size_bytes,
            "filings": len(contents.intents),
            "with_result": sum(contents.has_result),
            "may_have_run": len(contents.intents) - sum(contents.has_result),
            "over": sum(remaining <= 0 for remaining in remaining_ns),
            "longest_left_s": round(max(remaining_ns, default=0) / NS_PER_S, 1),
            "commit": contents.summary and contents.summary.commit_number,
            "witness": reading.watermark,
            "learned": contents.learned is not None,
            "hold_s": 0 if loss is None else round(hold_ns / NS_PER_S, 1),
            "loss": "" if loss is None else loss.reason,
            "set_aside": sorted(
                p.name for p in folder.iterdir() if p.name.startswith("state-") and ".db." in p.name
            ),
        }


def verify_store(folder: Path) -> list[str]:
    """Returns all problems of a store and its results; empty if it is sound. Raises StoreMissingError."""
    with read_store(folder) as reading:
        problems = list(reading.assess(files.read_marker(folder) is not None).reasons)
        problems += [f"structure: {text}" for text in reading.database.integrity_errors()]
        problems += _result_problems(reading.database)
        return problems


def _result_problems(database: Database) -> list[str]:
    problems = []
    corrupt = total = 0
    try:
        for key, data in database.connection.execute("SELECT key, data FROM finished"):
            total += 1
            corrupt += _is_corrupt_result(key, data)
    except apsw.Error as error:
        problems.append(f"results: {error}")
    if corrupt:
        problems.append(
            f"{corrupt} of {total} results are damaged: their repeats fail as if they may have run"
        )
    return problems


def _is_corrupt_result(key: bytes, data: bytes) -> bool:
    try:
        decode_record(key, data, ResultRecord)
    except RECORD_ERRORS:
        return True
    return False


def initialize_store(folder: Path, longest_window_ns: int, now: Timestamp) -> None:
    """Creates the first store of a folder.

    Raises StoreMissingError if the folder holds or has held a store, and StoreLockedError, StoreFailedError
    or OSError if it cannot be created.
    """
    files.make_folder(folder)
    with _locked(folder):
        if files.read_marker(folder) is not None or files.find_stores(folder):
            raise StoreMissingError(folder, "the folder holds or has held a store; nothing was changed")
        open_store(folder, 0, longest_window_ns, now).database.close()


def snapshot_store(folder: Path, now: Timestamp) -> StoreSnapshot:
    """Returns the contents of a sound store that no worker uses.

    Raises StoreLockedError if it is in use, StoreMissingError if it is missing or not sound.
    """
    with _locked(folder), read_store(folder) as reading:
        assessment = reading.assess(True)
        if assessment.condition is not StoreCondition.SOUND:
            raise StoreMissingError(
                folder,
                f"the store is not sound: {'; '.join(assessment.reasons)}; start the worker on it first, "
                "which sets the damaged store aside and keeps its sound records",
            )
        return _snapshot(reading.database, reading.contents, now)


def _snapshot(database: Database, contents: StoreContents, now: Timestamp) -> StoreSnapshot:
    requests = [
        ExportedRequest(
            intent, database.read_result(encode_key(intent.idempotency_key)) if has_result else None
        )
        for intent, has_result in zip(contents.intents, contents.has_result, strict=True)
    ]
    return StoreSnapshot(now, requests, contents.learned, contents.loss)


def import_snapshot(
    folder: Path, imported: StoreSnapshot, longest_window_ns: int, now: Timestamp
) -> RequestCounts:
    """Merges a snapshot into the store of a folder, which is created if it is missing.

    Raises StoreLockedError, StoreFailedError or OSError, in which case nothing was changed.
    """
    files.make_folder(folder)
    with _locked(folder):
        opened = open_store(folder, 0, longest_window_ns, now)
        local = _snapshot(opened.database, opened.database.read_contents(), now)
        commit_number = opened.database.summary.commit_number + 1
        opened.database.close()
        merged = merge_snapshots(local, imported, now)
        _replace_store(folder, commit_number, merged)
        return RequestCounts(len(local.requests), len(merged.requests))


def compact_store(folder: Path, longest_window_ns: int, now: Timestamp) -> RequestCounts:
    """Rewrites a store without requests whose window is over; raises the errors of `import_snapshot`."""
    return import_snapshot(folder, StoreSnapshot(now, []), longest_window_ns, now)


def _replace_store(folder: Path, commit_number: int, snapshot: StoreSnapshot) -> None:
    path = folder / files.store_file_name()
    replacement = path.with_name(path.name + files.REPLACEMENT_SUFFIX)
    intents = [request.intent for request in snapshot.requests]
    results = []
    for request in snapshot.requests:
        if request.result is not None:
            key = encode_key(request.intent.idempotency_key)
            results.append((key, encode_record(key, request.result)))
    named = {DATA_LOSS_NAME: snapshot.loss, LEARNED_STATE_NAME: snapshot.learned}
    create_store(replacement, commit_number, intents, results, named)
    files.remove_wal(path)
    replacement.replace(path)
    files.sync_folder(folder)
