"""The store's SQLite database of intents, results and named records. All calls may block."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import cast

import apsw

from ochrehoist.store import files
from ochrehoist.store.damage import FolderInspection
from ochrehoist.store.errors import store_failure
from ochrehoist.store.operations import NetChanges, Operation, coalesce
from ochrehoist.store.records import (
    CommitSummary,
    CorruptRecordError,
    DataLossRecord,
    IntentRecord,
    LearnedStateRecord,
    NamedRecord,
    Record,
    ResultRecord,
    UnsupportedFormatError,
    decode_record,
    encode_key,
    encode_record,
    stored_checksum,
)

PAGE_BYTES = 4096
MIN_PAGES = 16
BUSY_TIMEOUT_MS = 200
ROWS_PER_STATEMENT = 256
CHECKPOINT_PAGES = 256  # length of the write-ahead log at which a checkpoint is made
MAX_INTEGRITY_ERRORS = 20
# Stored names of the records that belong to no request.
SUMMARY_NAME = "census"
DATA_LOSS_NAME = "loss"
LEARNED_STATE_NAME = "learned"
SCHEMA = """
    CREATE TABLE begun (key BLOB PRIMARY KEY, data BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE finished (key BLOB PRIMARY KEY, data BLOB NOT NULL);
    CREATE TABLE named (name TEXT PRIMARY KEY, data BLOB NOT NULL) WITHOUT ROWID;
"""
DATABASE_ERRORS = (apsw.Error, OSError)
RECORD_ERRORS = (CorruptRecordError, UnsupportedFormatError)

EncodedRecord = tuple[bytes, bytes]  # key and data


@dataclass
class StoreContents:
    """The contents of a store without results and corrupt records.

    `has_result` holds a flag for each of `intents`, `intents_digest` the XOR of their checksums. `summary` is
    the one that was stored with the last commit. `read_error` is set if the database cannot be read.
    """

    intents: list[IntentRecord] = field(default_factory=list)
    has_result: bytearray = field(default_factory=bytearray)
    learned: LearnedStateRecord | None = None
    loss: DataLossRecord | None = None
    summary: CommitSummary | None = None
    intents_digest: int = 0
    corrupt_records: int = 0
    read_error: str | None = None

    def inspection(
        self, has_marker: bool, newer_store: str | None, last_commit_number: int | None
    ) -> FolderInspection:
        """Returns the findings for the damage assessment of the store's folder."""
        computed_summary = None
        if self.summary is not None:
            computed_summary = CommitSummary(
                self.summary.commit_number, len(self.intents), self.intents_digest
            )
        return FolderInspection(
            has_marker=has_marker,
            has_store=True,
            newer_store=newer_store,
            read_error=self.read_error,
            corrupt_records=self.corrupt_records,
            stored_summary=self.summary,
            actual_summary=computed_summary,
            last_commit_number=last_commit_number,
        )


class Database:
    """One open store file.

    Args:
        path: the file, which is created if it is missing.
        max_mb: the size limit in MB, beyond which commits fail; 0: no limit.
        vfs: the name of a virtual file system registered with SQLite, for tests.
        read_only: opens the file for reading only; a worker may write to it at the same time.
    """

    def __init__(
        self, path: Path, max_mb: float = 0, vfs: str | None = None, read_only: bool = False
    ) -> None:
        self.path = path
        self.summary = CommitSummary()
        self.wal_pages = 0
        read_write = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE
        flags = apsw.SQLITE_OPEN_READONLY if read_only else read_write
        self.connection = apsw.Connection(str(path), flags=flags, vfs=vfs)
        try:
            self._configure(max_mb, vfs, read_only)
        except BaseException:
            self.connection.close(True)
            raise

    def _configure(self, max_mb: float, vfs: str | None, read_only: bool) -> None:
        execute = self.connection.execute
        self.connection.set_busy_timeout(BUSY_TIMEOUT_MS)
        if vfs:  # a VFS written in Python has no shared memory, which exclusive locking does not need
            execute("PRAGMA locking_mode=EXCLUSIVE")
        if not read_only:
            execute("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA wal_autocheckpoint=0")
            self.connection.set_wal_hook(self._wal_grew)
        execute("PRAGMA cell_size_check=ON; PRAGMA trusted_schema=OFF; PRAGMA mmap_size=0")
        if max_mb:
            execute(f"PRAGMA max_page_count={max(MIN_PAGES, int(max_mb * 1e6) // PAGE_BYTES)}")

    def _wal_grew(self, _connection: apsw.Connection, _name: str, pages: int) -> int:
        self.wal_pages = pages
        return apsw.SQLITE_OK

    @property
    def size_bytes(self) -> int:
        """The size on disk of the database and its write-ahead log."""
        paths = (self.path, self.path.with_name(self.path.name + "-wal"))
        return sum(path.stat().st_size for path in paths if path.exists())

    def commit(self, operations: Sequence[Operation]) -> int:
        """Commits all operations atomically; returns the commit's number. Raises StoreFailedError."""
        summary_before = self.summary
        try:
            self.connection.execute("BEGIN IMMEDIATE")
            self.summary = summary_before.next_commit()
            self._apply(coalesce(operations))
            self.put_named(SUMMARY_NAME, self.summary)
            self.connection.execute("COMMIT")
        except DATABASE_ERRORS as error:
            self.summary = summary_before
            with suppress(apsw.Error):
                if self.connection.in_transaction:
                    self.connection.execute("ROLLBACK")
            raise store_failure(error) from None
        return self.summary.commit_number

    def checkpoint_if_due(self) -> None:
        """Makes a checkpoint if the write-ahead log has grown long. Raises StoreFailedError."""
        if self.wal_pages < CHECKPOINT_PAGES:
            return
        try:
            self.connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
        except apsw.BusyError:
            return
        except apsw.Error as error:
            raise store_failure(error) from None
        self.wal_pages = 0

    def begin_creation(self, commit_number: int) -> None:
        """Begins the transaction that creates the schema and initial contents of a new store."""
        self.connection.execute("BEGIN IMMEDIATE;" + SCHEMA)
        self.summary = CommitSummary(commit_number)
        self.put_named(SUMMARY_NAME, self.summary)

    def finish_creation(self) -> None:
        """Commits the transaction that `begin_creation` began."""
        self.put_named(SUMMARY_NAME, self.summary)
        self.connection.execute("COMMIT")

    def put_intents(self, rows: Sequence[EncodedRecord]) -> None:
        """Inserts intents within the current transaction; their keys must be new."""
        self._insert("INSERT INTO begun", rows)
        for _, data in rows:
            self.summary = self.summary.with_intent(stored_checksum(data))

    def put_results(self, rows: Sequence[EncodedRecord]) -> None:
        """Inserts or replaces results within the current transaction."""
        self._insert("INSERT OR REPLACE INTO finished", rows)

    def put_named(self, name: str, record: NamedRecord) -> None:
        """Inserts or replaces the record with this name."""
        row = (name, encode_record(name.encode(), record))
        self.connection.execute("INSERT OR REPLACE INTO named VALUES (?, ?)", row)

    def _apply(self, changes: NetChanges) -> None:
        """Writes changes with few statements: the thread reacquires the interpreter lock after each one."""
        key_changes = changes.by_key.items()
        self._delete([key for key, change in key_changes if change.replaces])
        self.put_intents(
            [
                (key, encode_record(key, change.intent))
                for key, change in key_changes
                if change.intent is not None
            ]
        )
        self.put_results(
            [
                (key, encode_record(key, change.result))
                for key, change in key_changes
                if change.result is not None
            ]
        )
        for name, record in changes.named.items():
            self.put_named(name, record)

    def _delete(self, keys: Sequence[bytes]) -> None:
        if not keys:
            return
        placeholders = f"({', '.join('?' * len(keys))})"
        delete_intents = f"DELETE FROM begun WHERE key IN {placeholders} RETURNING data"
        deleted = cast("list[tuple[bytes]]", self.connection.execute(delete_intents, keys).fetchall())
        for (data,) in deleted:
            self.summary = self.summary.without_intent(stored_checksum(data))
        self.connection.execute(f"DELETE FROM finished WHERE key IN {placeholders}", keys)

    def _insert(self, insert_into: str, rows: Sequence[EncodedRecord]) -> None:
        for start in range(0, len(rows), ROWS_PER_STATEMENT):
            batch = rows[start : start + ROWS_PER_STATEMENT]
            placeholders = ", ".join(["(?, ?)"] * len(batch))
            values = [value for row in batch for value in row]
            self.connection.execute(f"{insert_into} VALUES {placeholders}", values)

    def read_contents(self) -> StoreContents:
        """Returns the store's contents except results; corrupt records are counted and skipped."""
        contents = StoreContents()
        try:
            self._read_intents(contents)
            named = dict(self.connection.execute("SELECT name, data FROM named"))
        except DATABASE_ERRORS as error:
            contents.read_error = str(error)
            return contents
        contents.summary, corrupt_summary = _decode_named(named, SUMMARY_NAME, CommitSummary)
        contents.loss, corrupt_loss = _decode_named(named, DATA_LOSS_NAME, DataLossRecord)
        # Corrupt learned state is not a data loss, because it belongs to no request.
        contents.learned, _ = _decode_named(named, LEARNED_STATE_NAME, LearnedStateRecord)
        contents.corrupt_records += corrupt_summary + corrupt_loss
        if contents.summary is not None:
            self.summary = contents.summary
        return contents

    def _read_intents(self, contents: StoreContents) -> None:
        """Reads all intents into `contents`; the loop avoids attribute look-ups, as rows may be many."""
        add_intent, add_has_result = contents.intents.append, contents.has_result.append
        digest = 0
        for key, data, has_result in self.connection.execute(
            "SELECT b.key, b.data, f.key IS NOT NULL FROM begun b LEFT JOIN finished f USING (key)"
        ):
            try:
                add_intent(decode_record(key, data, IntentRecord))
                add_has_result(has_result)
                digest ^= stored_checksum(data)
            except RECORD_ERRORS:
                contents.corrupt_records += 1
        contents.intents_digest = digest

    def read_result(self, key: bytes) -> ResultRecord | None:
        """Returns a request's result; None if it is missing or corrupt. Raises StoreFailedError."""
        try:
            rows = self.connection.execute("SELECT data FROM finished WHERE key = ?", (key,)).fetchall()
        except DATABASE_ERRORS as error:
            raise store_failure(error) from None
        if not rows:
            return None
        try:
            return decode_record(key, cast(bytes, rows[0][0]), ResultRecord)
        except RECORD_ERRORS:
            return None

    def sound_results(self) -> Iterator[EncodedRecord]:
        """Yields all results that can be read and are not corrupt."""
        try:
            for key, data in self.connection.execute("SELECT key, data FROM finished"):
                with suppress(*RECORD_ERRORS):
                    decode_record(key, data, ResultRecord)
                    yield key, data
        except DATABASE_ERRORS:
            return

    def integrity_errors(self) -> list[str]:
        """Returns the errors found by SQLite's integrity check."""
        check = f"PRAGMA integrity_check({MAX_INTEGRITY_ERRORS})"
        try:
            return [text for (text,) in self.connection.execute(check) if text != "ok"]
        except DATABASE_ERRORS as error:
            return [str(error)]

    def close(self) -> None:
        """Closes the file; errors are ignored, since all commits are durable already."""
        with suppress(apsw.Error):
            self.connection.close(True)


def _decode_named(
    named: Mapping[str, bytes], name: str, record_type: type[Record]
) -> tuple[Record | None, bool]:
    """Returns the record with this name if it exists and is sound, and whether it is corrupt."""
    if name not in named:
        return None, False
    try:
        return decode_record(name.encode(), named[name], record_type), False
    except RECORD_ERRORS:
        return None, True


def create_store(
    path: Path,
    commit_number: int,
    intents: Iterable[IntentRecord],
    results: Iterable[EncodedRecord],
    named: Mapping[str, NamedRecord | None],
) -> None:
    """Writes a complete store atomically: after a power failure it exists completely or not at all.

    Results without an intent and names without a record are skipped. Raises StoreFailedError.
    """
    new_path = path.with_name(path.name + files.NEW_SUFFIX)
    files.remove_store(new_path)
    database = None
    try:
        database = Database(new_path)
        _write_store(database, commit_number, intents, results, named)
        database.connection.close()
        files.sync_file(new_path)
        new_path.replace(path)
        files.sync_folder(path.parent)
    except DATABASE_ERRORS as error:
        if database is not None:
            database.close()
        raise store_failure(error) from None


def _write_store(
    database: Database,
    commit_number: int,
    intents: Iterable[IntentRecord],
    results: Iterable[EncodedRecord],
    named: Mapping[str, NamedRecord | None],
) -> None:
    database.begin_creation(commit_number)
    intents_by_key = {encode_key(intent.idempotency_key): intent for intent in intents}
    database.put_intents([(key, encode_record(key, intent)) for key, intent in intents_by_key.items()])
    database.put_results([(key, data) for key, data in results if key in intents_by_key])
    for name, record in named.items():
        if record is not None:
            database.put_named(name, record)
    database.finish_creation()
    database.connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_TRUNCATE)
