"""The store's files: one SQLite database, a marker, a witness and a lock. All here may wait for the disk.

state-N.db   begun and finished filings, and what else is kept by name; N is the format
store.json   made once: that the folder holds a store, and the longest window it has kept
witness      the number of the last durable commit, written after it and not synced
owner.lock   locked by the one process that writes, and its name
"""

import errno
import fcntl
import json
import os
import re
import time
from collections.abc import Iterable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import apsw
import xxhash

from ochrehoist.errors import OchrehoistError
from ochrehoist.store.backlog import Error, Op, net
from ochrehoist.store.loss import Seen
from ochrehoist.store.records import (
    FORMAT,
    Begun,
    Census,
    CorruptRecordError,
    Finished,
    Learned,
    Loss,
    UnsupportedFormatError,
    digest,
    key_of,
    pack,
    unpack,
)

PAGE = 4096
TRIES, PAUSE = 3, 0.01  # looks at a lock, and s between them
AT_ONCE = 256  # rows of one statement
CHECKPOINT = 256  # pages of the log after which they are moved into the database
MARKER, WITNESS, LOCK, NEW = "store.json", "witness", "owner.lock", ".new"
ANEW = ".anew"  # a whole store that is about to take the place of one that is there
NAME = re.compile(r"state-(\d+)\.db")
CENSUS, LOSS, LEARNED = "census", "loss", "learned"
SCHEMA = """
    CREATE TABLE begun (key BLOB PRIMARY KEY, data BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE finished (key BLOB PRIMARY KEY, data BLOB NOT NULL);
    CREATE TABLE named (name TEXT PRIMARY KEY, data BLOB NOT NULL) WITHOUT ROWID;
"""
READ_ONLY = (apsw.ReadOnlyError, apsw.CantOpenError, apsw.PermissionsError, PermissionError)
FSYNC = {apsw.SQLITE_IOERR_FSYNC, apsw.SQLITE_IOERR_DIR_FSYNC}


class Held(OchrehoistError):
    """Another process has the store; the text names it."""


class Failed(OchrehoistError):
    """The store did not do it, and nothing of it is on record."""

    def __init__(self, error: Error, why: str) -> None:
        super().__init__(why)
        self.error = error


def failure(error: Exception) -> Failed:
    """What an error of the store or the system means."""
    kind = Error.IO
    if isinstance(error, apsw.FullError) or getattr(error, "errno", None) in (errno.ENOSPC, errno.EDQUOT):
        kind = Error.FULL
    elif isinstance(error, READ_ONLY) or getattr(error, "errno", None) == errno.EROFS:
        kind = Error.READ_ONLY
    elif isinstance(error, apsw.CorruptError | apsw.NotADBError):
        kind = Error.DAMAGED
    elif getattr(error, "extendedresult", None) in FSYNC:
        kind = Error.SYNC
    return Failed(kind, f"{type(error).__name__}: {error}")


def db_name(version: int = FORMAT) -> str:
    return f"state-{version}.db"


def stores(folder: Path) -> dict[int, Path]:
    """Databases that are there, by format."""
    found = {}
    for path in folder.iterdir():
        match = NAME.fullmatch(path.name)
        if match:
            found[int(match[1])] = path
    return found


# ---- small files
def sync_folder(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_whole(path: Path, data: bytes) -> None:
    """The file as it was or as it shall be, whenever the power fails."""
    other = path.with_name(path.name + NEW)
    fd = os.open(other, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
    try:
        os.write(fd, data)
        os.fsync(fd)
    finally:
        os.close(fd)
    os.replace(other, path)
    sync_folder(path.parent)


def read_marker(folder: Path) -> dict[str, Any] | None:
    """None where the folder never held a store; one that can't be read says at least that it did."""
    try:
        data = json.loads((folder / MARKER).read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, ValueError):
        return {}
    return data if isinstance(data, dict) else {}


def read_witness(folder: Path) -> int | None:
    with suppress(OSError):
        data = (folder / WITNESS).read_bytes()
        if len(data) == 16 and xxhash.xxh3_64_digest(data[:8]) == data[8:]:
            return int.from_bytes(data[:8], "big")
    return None


class Lock:
    """The one owner of a folder. The system lets go of it when the process ends, however it ends."""

    def __init__(self, folder: Path, name: str, ask: bool = False) -> None:
        """`ask`: only to learn whether it could be had; the name in it stays."""
        self.fd = os.open(folder / LOCK, os.O_CREAT | os.O_RDWR, 0o600)
        for left in range(TRIES, 0, -1):
            try:
                fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except OSError:
                if left > 1:  # it may only be a command that asks
                    time.sleep(PAUSE)
                    continue
                holder = os.pread(self.fd, 512, 0).decode("utf-8", "replace").strip()
                os.close(self.fd)
                raise Held(holder or "another process") from None
        if ask:
            return
        with suppress(OSError):  # a full disk: the lock holds all the same
            os.ftruncate(self.fd, 0)
            since = time.strftime("%Y-%m-%d %H:%M:%S")
            os.pwrite(self.fd, f"process {os.getpid()} ({name}) since {since}\n".encode(), 0)

    def release(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1


# ---- the database
@dataclass
class Contents:
    """What a store holds, as far as it can be believed."""

    begun: list[Begun] = field(default_factory=list)
    ended: bytearray = field(default_factory=bytearray)  # for each of them: whether its end is on record
    learned: Learned | None = None
    loss: Loss | None = None
    census: Census | None = None
    counted: Census = Census()
    damaged: int = 0
    unreadable: str | None = None

    def seen(self, marker: bool, newer: str | None, witness: int | None) -> Seen:
        counted = (
            None
            if self.census is None
            else Census(self.census.number, self.counted.count, self.counted.digest)
        )
        return Seen(marker, True, newer, self.unreadable, self.damaged, self.census, counted, witness)


class Database:
    """One file. `vfs` names a file system that apsw knows, for tests that put their own under it."""

    def __init__(
        self, path: Path, max_mb: float = 0, vfs: str | None = None, read_only: bool = False
    ) -> None:
        writing = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE
        flags = apsw.SQLITE_OPEN_READONLY if read_only else writing
        self.path, self.vfs, self.census, self.log_pages = path, vfs, Census(), 0
        self.db = apsw.Connection(str(path), flags=flags, vfs=vfs)
        try:
            self.db.set_busy_timeout(200)
            if vfs:  # one of Python has no shared memory, and needs none
                self.db.execute("PRAGMA locking_mode=EXCLUSIVE")
            if not read_only:
                self.db.execute(
                    "PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA wal_autocheckpoint=0"
                )
                self.db.set_wal_hook(self._logged)
            self.db.execute("PRAGMA cell_size_check=ON; PRAGMA trusted_schema=OFF; PRAGMA mmap_size=0")
            if max_mb:
                self.db.execute(f"PRAGMA max_page_count={max(16, int(max_mb * 1e6) // PAGE)}")
        except BaseException:
            self.db.close(True)
            raise

    def _logged(self, db: apsw.Connection, name: str, pages: int) -> int:
        self.log_pages = pages
        return apsw.SQLITE_OK

    @property
    def bytes(self) -> int:
        """What the database and its log take on disk."""
        paths = (self.path, self.path.with_name(self.path.name + "-wal"))
        return sum(p.stat().st_size for p in paths if p.exists())

    # ---- writing
    def create(self, number: int) -> None:
        self.db.execute("BEGIN IMMEDIATE;" + SCHEMA)
        self.census = Census(number)
        self._save(CENSUS, self.census)

    def end_create(self) -> None:
        self._save(CENSUS, self.census)
        self.db.execute("COMMIT")

    def commit(self, ops: Sequence[Op]) -> int:
        """Puts all of it on record, durably, or nothing of it; gives the commit's number. Raises Failed."""
        census = self.census
        try:
            self.db.execute("BEGIN IMMEDIATE")
            self.census = Census(census.number + 1, census.count, census.digest)
            self._apply(ops)
            self._save(CENSUS, self.census)
            self.db.execute("COMMIT")
        except (apsw.Error, OSError) as error:
            self.census = census
            with suppress(apsw.Error):
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
            raise failure(error) from None
        return self.census.number

    def tidy(self) -> None:
        """Moves the log into the database where it has grown. Raises Failed."""
        if self.log_pages >= CHECKPOINT:
            try:
                self.db.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
            except apsw.BusyError:
                return
            except apsw.Error as error:
                raise failure(error) from None
            self.log_pages = 0

    def _apply(self, ops: Sequence[Op]) -> None:
        """In few statements: after each the thread has to ask for the interpreter again."""
        changes, named = net(ops)
        replaced = [key for key, change in changes.items() if change.replaces]
        if replaced:
            known = f"({', '.join('?' * len(replaced))})"
            for (old,) in self.db.execute(
                f"DELETE FROM begun WHERE key IN {known} RETURNING data", replaced
            ).fetchall():
                self.census = self.census.changed(0, digest(old), -1)
            self.db.execute(f"DELETE FROM finished WHERE key IN {known}", replaced)
        self.put_begun([(key, pack(key, c.begun)) for key, c in changes.items() if c.begun is not None])
        self.put_finished(
            [(key, pack(key, c.finished)) for key, c in changes.items() if c.finished is not None]
        )
        for name, record in named.items():
            self._save(name, record)

    def put_begun(self, rows: Sequence[tuple[bytes, bytes]]) -> None:
        self._insert("INSERT INTO begun", rows)
        for _, data in rows:
            self.census = self.census.changed(digest(data), 0, 1)

    def put_finished(self, rows: Sequence[tuple[bytes, bytes]]) -> None:
        self._insert("INSERT OR REPLACE INTO finished", rows)

    def _insert(self, into: str, rows: Sequence[tuple[bytes, bytes]]) -> None:
        for at in range(0, len(rows), AT_ONCE):
            part = rows[at : at + AT_ONCE]
            self.db.execute(
                f"{into} VALUES {', '.join(['(?, ?)'] * len(part))}", [value for row in part for value in row]
            )

    def _save(self, name: str, record: Any) -> None:
        self.db.execute("INSERT OR REPLACE INTO named VALUES (?, ?)", (name, pack(name.encode(), record)))

    save = _save

    # ---- reading
    def contents(self) -> Contents:
        """All but the results themselves. What can't be believed is counted and left out."""
        out = Contents()
        try:
            sums, begun, ended = 0, out.begun.append, out.ended.append
            for key, data, end in self.db.execute(
                "SELECT b.key, b.data, f.key IS NOT NULL FROM begun b LEFT JOIN finished f USING (key)"
            ):
                try:
                    begun(unpack(key, data, Begun))
                    ended(end)
                    sums ^= digest(data)
                except (CorruptRecordError, UnsupportedFormatError):
                    out.damaged += 1
            out.counted = Census(0, len(out.begun), sums)
            named = dict(self.db.execute("SELECT name, data FROM named"))
        except (apsw.Error, OSError) as error:
            out.unreadable = str(error)
            return out
        for name, kind in ((CENSUS, Census), (LOSS, Loss), (LEARNED, Learned)):
            if name in named:
                try:
                    setattr(out, name, unpack(name.encode(), named[name], kind))
                except (CorruptRecordError, UnsupportedFormatError):
                    out.damaged += name != LEARNED  # that is learned anew, and no filing is lost by it
        if out.census is not None:
            self.census = out.census
        return out

    def fetch(self, key: bytes) -> Finished | None:
        """The end of a filing; None where there is none that can be believed. Raises Failed."""
        try:
            row = self.db.execute("SELECT data FROM finished WHERE key = ?", (key,)).fetchall()
        except (apsw.Error, OSError) as error:
            raise failure(error) from None
        try:
            return unpack(key, row[0][0], Finished) if row else None
        except (CorruptRecordError, UnsupportedFormatError):
            return None

    def all_finished(self) -> Iterator[tuple[bytes, bytes]]:
        """Keys and records whose checksum fits, as far as they can be read."""
        try:
            for key, data in self.db.execute("SELECT key, data FROM finished"):
                with suppress(CorruptRecordError, UnsupportedFormatError):
                    unpack(key, data, Finished)
                    yield key, data
        except (apsw.Error, OSError):
            return

    def check(self) -> list[str]:
        """What the library finds wrong with its own structures."""
        try:
            return [text for (text,) in self.db.execute("PRAGMA integrity_check(20)") if text != "ok"]
        except (apsw.Error, OSError) as error:
            return [str(error)]

    def close(self) -> None:
        with suppress(apsw.Error):
            self.db.close(True)


def fill(
    path: Path,
    number: int,
    begun: Iterable[Begun],
    finished: Iterable[tuple[bytes, bytes]],
    named: dict[str, Any],
    vfs: str | None = None,
) -> None:
    """A whole new store in one step: it is not there, or all of it is. Raises Failed."""
    new = path.with_name(path.name + NEW)
    for ending in ("", "-wal", "-shm"):
        with suppress(FileNotFoundError):
            os.unlink(f"{new}{ending}")
    db = None
    try:
        db = Database(new, vfs=vfs)
        db.create(number)
        rows = {key_of(record.token): record for record in begun}
        db.put_begun([(key, pack(key, record)) for key, record in rows.items()])
        db.put_finished([(key, data) for key, data in finished if key in rows])
        for name, record in named.items():
            if record is not None:
                db.save(name, record)
        db.end_create()
        db.db.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_TRUNCATE)
        db.db.close()
        fd = os.open(new, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
        os.replace(new, path)
        sync_folder(path.parent)
    except (apsw.Error, OSError) as error:
        if db is not None:
            db.close()
        raise failure(error) from None


def set_aside(path: Path, word: str) -> str:
    """Gives a store another name, its log first: a log must never be found beside a store it does not
    belong to."""
    name = f"{path.name}.{word}-{time.strftime('%Y%m%dT%H%M%SZ', time.gmtime())}"
    number = 0
    while path.with_name(name + (f"-{number}" if number else "")).exists():
        number += 1
    name += f"-{number}" if number else ""
    for ending in ("-wal", "-shm", ""):
        with suppress(FileNotFoundError):
            os.replace(f"{path}{ending}", path.with_name(name + ending))
    sync_folder(path.parent)
    return name
