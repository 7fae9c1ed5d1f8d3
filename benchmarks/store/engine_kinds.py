"""Three ways to keep filings in a folder, behind one interface: LMDB, SQLite and an append-only log."""

import os
import struct
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Protocol

import apsw
import xxhash

Row = tuple[bytes, bytes]
LMDB_MAP_BYTES = 256 << 20
LOG_HEADER = struct.Struct("<QHI")  # digest, length of the key, length of the value


class UnreadableStoreError(Exception):
    """The file of a store can't be opened or read."""


class StorageEngine(Protocol):
    """A store of rows in one file of a folder."""

    file_name: str

    def commit(self, rows: Sequence[Row]) -> None:
        """Write rows, and return once they are durable."""

    def rows(self) -> dict[bytes, bytes]:
        """All rows; UnreadableStoreError where the file can't be read."""

    def close(self) -> None:
        """Close the file."""


@contextmanager
def _unreadable(error_type: type[Exception]) -> Iterator[None]:
    """Raise an engine's own error, or an OSError, as UnreadableStoreError."""
    try:
        yield
    except (error_type, OSError) as error:
        raise UnreadableStoreError(str(error)) from error


class LmdbEngine:
    """LMDB with a sync at each commit; ModuleNotFoundError without the extra `lab`."""

    file_name = "data.mdb"

    def __init__(self, folder: Path) -> None:
        import lmdb

        self._error: type[Exception] = lmdb.Error
        with _unreadable(self._error):
            self._environment: Any = lmdb.open(str(folder), map_size=LMDB_MAP_BYTES, sync=True, metasync=True)

    def commit(self, rows: Sequence[Row]) -> None:
        """Write rows, and return once they are durable."""
        with self._environment.begin(write=True) as transaction:
            for key, value in rows:
                transaction.put(key, value)

    def rows(self) -> dict[bytes, bytes]:
        """All rows; UnreadableStoreError where the file can't be read."""
        with _unreadable(self._error), self._environment.begin() as transaction:
            return {bytes(key): bytes(value) for key, value in transaction.cursor()}

    def close(self) -> None:
        """Close the file."""
        self._environment.close()


class SqliteEngine:
    """SQLite with a write-ahead log and full syncs."""

    file_name = "data.db"

    def __init__(self, folder: Path) -> None:
        with _unreadable(apsw.Error):
            self._connection = apsw.Connection(str(folder / self.file_name))
            self._connection.execute("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL")
            self._connection.execute(
                "CREATE TABLE IF NOT EXISTS filing (key BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID"
            )

    def commit(self, rows: Sequence[Row]) -> None:
        """Write rows, and return once they are durable."""
        with self._connection:
            self._connection.executemany("INSERT OR REPLACE INTO filing VALUES (?, ?)", rows)

    def rows(self) -> dict[bytes, bytes]:
        """All rows; UnreadableStoreError where the file can't be read."""
        with _unreadable(apsw.Error):
            return {
                bytes(key): bytes(value)
                for key, value in self._connection.execute("SELECT key, value FROM filing")
            }

    def close(self) -> None:
        """Close the file."""
        self._connection.close()


class LogEngine:
    """An append-only log whose records carry a digest."""

    file_name = "data.log"

    def __init__(self, folder: Path) -> None:
        self._path = folder / self.file_name
        self._descriptor = os.open(self._path, os.O_CREAT | os.O_RDWR | os.O_APPEND)

    def commit(self, rows: Sequence[Row]) -> None:
        """Write rows, and return once they are durable."""
        records = b"".join(
            LOG_HEADER.pack(xxhash.xxh3_64_intdigest(key + value), len(key), len(value)) + key + value
            for key, value in rows
        )
        os.write(self._descriptor, records)
        os.fdatasync(self._descriptor)

    def rows(self) -> dict[bytes, bytes]:
        """All rows up to the first damaged record; what follows it can't be found any more."""
        data, start, found = self._path.read_bytes(), 0, {}
        while start + LOG_HEADER.size <= len(data):
            digest, key_size, value_size = LOG_HEADER.unpack_from(data, start)
            key_start = start + LOG_HEADER.size
            value_start = key_start + key_size
            end = value_start + value_size
            key, value = data[key_start:value_start], data[value_start:end]
            if end > len(data) or xxhash.xxh3_64_intdigest(key + value) != digest:
                break
            found[key], start = value, end
        return found

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


ENGINES: dict[str, type[LmdbEngine] | type[SqliteEngine] | type[LogEngine]] = {
    "lmdb": LmdbEngine,
    "sqlite": SqliteEngine,
    "log": LogEngine,
}
