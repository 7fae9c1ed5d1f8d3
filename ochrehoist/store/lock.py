"""The lock on a state folder: at most one process writes to it."""

import fcntl
import os
import time
from contextlib import suppress
from pathlib import Path

from ochrehoist.store.errors import StoreLockedError
from ochrehoist.store.files import FILE_MODE, LOCK_FILE

LOCK_ATTEMPTS = 3  # retries are needed because a probe by a command also holds the lock for a moment
ATTEMPT_INTERVAL_S = 0.01
MAX_HOLDER_BYTES = 512
CLOSED = -1


class FolderLock:
    """An exclusive lock, held until `release`. The system releases it when the process ends in any way.

    Args:
        folder: the state folder.
        name: the name of the holder, shown to other processes.
        probe: acquires the lock without recording the holder, to test whether it is free.

    Raises StoreLockedError if another process holds it, OSError if the folder cannot be used.
    """

    def __init__(self, folder: Path, name: str, probe: bool = False) -> None:
        self._fd = os.open(folder / LOCK_FILE, os.O_CREAT | os.O_RDWR, FILE_MODE)
        self._acquire()
        if not probe:
            self._write_holder(name)

    def _acquire(self) -> None:
        for attempt in range(1, LOCK_ATTEMPTS + 1):
            try:
                fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                if attempt < LOCK_ATTEMPTS:
                    time.sleep(ATTEMPT_INTERVAL_S)
            else:
                return
        holder = os.pread(self._fd, MAX_HOLDER_BYTES, 0).decode("utf-8", "replace").strip()
        self.release()
        raise StoreLockedError(holder or "another process")

    def _write_holder(self, name: str) -> None:
        with suppress(OSError):  # the lock is effective without the holder's name, e.g. on a full disk
            os.ftruncate(self._fd, 0)
            since = time.strftime("%Y-%m-%d %H:%M:%S")
            os.pwrite(self._fd, f"process {os.getpid()} ({name}) since {since}\n".encode(), 0)

    def release(self) -> None:
        """Releases the lock; it may be called more than once."""
        if self._fd != CLOSED:
            os.close(self._fd)
            self._fd = CLOSED


def lock_holder(folder: Path, name: str) -> str:
    """Returns a description of the process that has locked a folder; empty if none has."""
    if not (folder / LOCK_FILE).exists():
        return ""
    try:
        FolderLock(folder, name, probe=True).release()
    except StoreLockedError as error:
        return str(error)
    return ""
