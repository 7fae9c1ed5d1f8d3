"""The small files of a state folder: its marker, its commit watermark, and names of its databases.

state-N.db   the store: intents, results, and what else is kept by name; N is the format version
store.json   the marker, made once: the folder holds a store; it names the longest window ever kept
witness      the watermark: the number of the last durable commit, written after it and not synced
owner.lock   locked by the one process that writes, with its name (see `lock`)

All functions may wait for the disk; OSError where it fails.
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
REPLACEMENT_SUFFIX = ".anew"  # a complete store that is about to replace the present one
LOG_SUFFIXES = ("-wal", "-shm")  # of the database's write-ahead log and its index
FILE_MODE = 0o600
FOLDER_MODE = 0o700
STORE_NAME = re.compile(r"state-(\d+)\.db")
WATERMARK_BYTES = 16  # the commit number, and its checksum


@dataclass(frozen=True, slots=True)
class FolderMarker:
    """What the marker of a folder says; nothing where it can't be read."""

    values: dict[str, Any]

    @property
    def store_id(self) -> str | None:
        """A random name, made with the first store of the folder."""
        return self.values.get("store")

    @property
    def longest_window_ns(self) -> int:
        """The longest idempotency window that the folder has ever kept."""
        return int(self.values.get("longest_window") or 0)

    @property
    def newer_stores(self) -> dict[str, int]:
        """Stores of newer format versions that were found before: time of modification (ns) by file name."""
        return self.values.get("newer") or {}


def store_file_name(version: int = FORMAT_VERSION) -> str:
    """The file name of a store of this format version."""
    return f"state-{version}.db"


def find_stores(folder: Path) -> dict[int, Path]:
    """The stores in a folder, by format version."""
    found = {}
    for path in folder.iterdir():
        match = STORE_NAME.fullmatch(path.name)
        if match:
            found[int(match[1])] = path
    return found


def make_folder(folder: Path) -> None:
    """Makes the folder where it is missing; its parent has to exist."""
    if not folder.is_dir():
        folder.mkdir(mode=FOLDER_MODE)
        sync_folder(folder.parent)


def require_store(folder: Path) -> None:
    """Raises StoreFailedError where there has never been a store in the folder.

    Where its volume is not mounted, a new store would be hidden by the mount later, and what ran before
    would not be known meanwhile.
    """
    if not folder.is_dir() or read_marker(folder) is None:
        raise StoreFailedError(FailureKind.MISSING, f"{folder}: {FailureKind.MISSING.value}")


def sync_folder(folder: Path) -> None:
    """Makes changes to the folder's list of files durable."""
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
    """Replaces a file: after a power cut at any moment it has its old content or the new one."""
    new = path.with_name(path.name + NEW_SUFFIX)
    fd = os.open(new, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, FILE_MODE)
    try:
        os.write(fd, data)
        os.fsync(fd)
    finally:
        os.close(fd)
    new.replace(path)
    sync_folder(path.parent)


def read_marker(folder: Path) -> FolderMarker | None:
    """The folder's marker; None where there has never been a store in it."""
    try:
        values = json.loads((folder / MARKER_FILE).read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, ValueError):
        return FolderMarker({})
    return FolderMarker(values if isinstance(values, dict) else {})


def write_marker(folder: Path, known: FolderMarker | None, store_id: str, marker: dict[str, Any]) -> None:
    """Writes the marker, unless the `known` one says the same."""
    values = {"store": store_id, **marker}
    if known is None or known.values != values:
        write_atomically(folder / MARKER_FILE, json.dumps(values).encode())


def read_watermark(folder: Path) -> int | None:
    """The number of the last commit that was reported as durable; None where it is not known."""
    with suppress(OSError):
        data = (folder / WATERMARK_FILE).read_bytes()
        if len(data) == WATERMARK_BYTES and xxhash.xxh3_64_digest(data[:8]) == data[8:]:
            return int.from_bytes(data[:8], "big")
    return None


class CommitWatermark:
    """Records the number of the last durable commit, without a sync of its own: it may lag behind."""

    def __init__(self, folder: Path) -> None:
        self._fd = os.open(folder / WATERMARK_FILE, os.O_CREAT | os.O_RDWR, FILE_MODE)

    def write(self, commit_number: int) -> None:
        """Writes the number; an error is ignored, since it only weakens a later check."""
        data = commit_number.to_bytes(8, "big")
        with suppress(OSError):
            os.pwrite(self._fd, data + xxhash.xxh3_64_digest(data), 0)

    def close(self) -> None:
        """Closes the file."""
        os.close(self._fd)


def remove_store(path: Path) -> None:
    """Removes a store file and its log, as far as they are there."""
    for suffix in ("", *LOG_SUFFIXES):
        path.with_name(path.name + suffix).unlink(missing_ok=True)


def remove_log(path: Path) -> None:
    """Removes the log of a store whose database file is about to be replaced."""
    for suffix in LOG_SUFFIXES:
        path.with_name(path.name + suffix).unlink(missing_ok=True)


def set_aside(path: Path, reason: str) -> str:
    """Renames a store that is no longer used, and returns its new file name.

    The log is renamed first: it must never be found beside a store that it does not belong to.
    """
    base_name = f"{path.name}.{reason}-{time.strftime('%Y%m%dT%H%M%SZ', time.gmtime())}"
    name, number = base_name, 0
    while path.with_name(name).exists():
        number += 1
        name = f"{base_name}-{number}"
    for suffix in (*LOG_SUFFIXES, ""):
        with suppress(FileNotFoundError):
            path.with_name(path.name + suffix).replace(path.with_name(name + suffix))
    sync_folder(path.parent)
    return name
