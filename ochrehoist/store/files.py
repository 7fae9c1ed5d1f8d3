"""The files of a state folder: its databases, marker and commit watermark.

state-N.db   the store: intents, results and named records; N is the format version
store.json   the marker: the folder has held a store; it records the longest idempotency window ever used
witness      the watermark: the number of the last durable commit, written after the commit without a sync
owner.lock   locked by the process that writes to the folder, and holds its name (see `lock`)

All functions may wait for the disk, and raise OSError if it fails.
"""

import json
import os
import re
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import xxhash

from ochrehoist.store.errors import FailureKind, StoreFailedError
from ochrehoist.store.records import FORMAT_VERSION

MARKER_FILE = "store.json"
WATERMARK_FILE = "witness"
LOCK_FILE = "owner.lock"
NEW_SUFFIX = ".new"  # a file that is being written
REPLACEMENT_SUFFIX = ".anew"  # a complete store that is about to replace the current one
WAL_SUFFIXES = ("-wal", "-shm")  # SQLite's write-ahead log and the index of it
FILE_MODE = 0o600
FOLDER_MODE = 0o700
STORE_NAME = re.compile(r"state-(\d+)\.db")
WATERMARK_BYTES = 16  # the commit number and its checksum, 8 bytes each


@dataclass(frozen=True, slots=True)
class FolderMarker:
    """The contents of a folder's marker; `values` is empty if the marker cannot be read."""

    values: dict[str, Any]

    @property
    def store_id(self) -> str | None:
        """The random id given to the folder with its first store."""
        return self.values.get("store")

    @property
    def longest_window_ns(self) -> int:
        """The longest idempotency window ever used with the folder, in ns."""
        return int(self.values.get("longest_window") or 0)

    @property
    def newer_stores(self) -> dict[str, int]:
        """The stores of newer format versions found earlier: modification time (ns) by file name."""
        return self.values.get("newer") or {}


def store_file_name(version: int = FORMAT_VERSION) -> str:
    """Returns the file name of a store of this format version."""
    return f"state-{version}.db"


def find_stores(folder: Path) -> dict[int, Path]:
    """Returns the paths of the stores in a folder, by format version."""
    found = {}
    for path in folder.iterdir():
        match = STORE_NAME.fullmatch(path.name)
        if match:
            found[int(match[1])] = path
    return found


def make_folder(folder: Path) -> None:
    """Creates the folder if it is missing; its parent has to exist."""
    if not folder.is_dir():
        folder.mkdir(mode=FOLDER_MODE)
        sync_folder(folder.parent)


def require_store(folder: Path) -> None:
    """Raises StoreFailedError if the folder has never held a store, for example on an unmounted volume.

    A new store there would lack the requests that ran before, and a later mount would hide it.
    """
    if not folder.is_dir() or read_marker(folder) is None:
        raise StoreFailedError(FailureKind.MISSING, f"{folder}: {FailureKind.MISSING.value}")


def sync_folder(folder: Path) -> None:
    """Makes changes to the folder's directory entries durable."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def sync_file(path: Path) -> None:
    """Makes the content of a closed file durable."""
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces a file; after a power failure at any time it has either the old or the new content."""
    new_path = path.with_name(path.name + NEW_SUFFIX)
    fd = os.open(new_path, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, FILE_MODE)
    try:
        os.write(fd, data)
        os.fsync(fd)
    finally:
        os.close(fd)
    new_path.replace(path)
    sync_folder(path.parent)


def read_marker(folder: Path) -> FolderMarker | None:
    """Returns the folder's marker; None if the folder has never held a store."""
    try:
        values = json.loads((folder / MARKER_FILE).read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, ValueError):
        return FolderMarker({})
    return FolderMarker(values if isinstance(values, dict) else {})


def write_marker(
    folder: Path, current: FolderMarker | None, store_id: str, attributes: dict[str, Any]
) -> None:
    """Writes the marker, unless the current one has the same contents."""
    values = {"store": store_id, **attributes}
    if current is None or current.values != values:
        write_atomically(folder / MARKER_FILE, json.dumps(values).encode())


def read_watermark(folder: Path) -> int | None:
    """Returns the number of the last commit reported as durable; None if it cannot be read."""
    with suppress(OSError):
        data = (folder / WATERMARK_FILE).read_bytes()
        if len(data) == WATERMARK_BYTES and xxhash.xxh3_64_digest(data[:8]) == data[8:]:
            return int.from_bytes(data[:8], "big")
    return None


class CommitWatermark:
    """The file with the number of the last durable commit; without syncs, its content may lag behind."""

    def __init__(self, folder: Path) -> None:
        self._fd = os.open(folder / WATERMARK_FILE, os.O_CREAT | os.O_RDWR, FILE_MODE)

    def write(self, commit_number: int) -> None:
        """Writes the number; errors are ignored, since they only weaken a later check for lost commits."""
        data = commit_number.to_bytes(8, "big")
        with suppress(OSError):
            os.pwrite(self._fd, data + xxhash.xxh3_64_digest(data), 0)

    def close(self) -> None:
        """Closes the file."""
        os.close(self._fd)


def remove_store(path: Path) -> None:
    """Removes a store file and its write-ahead log, if they exist."""
    for suffix in ("", *WAL_SUFFIXES):
        path.with_name(path.name + suffix).unlink(missing_ok=True)


def remove_wal(path: Path) -> None:
    """Removes the write-ahead log of a store whose database file is about to be replaced."""
    for suffix in WAL_SUFFIXES:
        path.with_name(path.name + suffix).unlink(missing_ok=True)


def set_aside(path: Path, reason: str) -> str:
    """Renames a store that is no longer used, and returns its new file name.

    The write-ahead log is renamed first, so that it is never found beside a store that it does not belong to.
    """
    base_name = f"{path.name}.{reason}-{time.strftime('%Y%m%dT%H%M%SZ', time.gmtime())}"
    name, number = base_name, 0
    while path.with_name(name).exists():
        number += 1
        name = f"{base_name}-{number}"
    for suffix in (*WAL_SUFFIXES, ""):
        with suppress(FileNotFoundError):
            path.with_name(path.name + suffix).replace(path.with_name(name + suffix))
    sync_folder(path.parent)
    return name
