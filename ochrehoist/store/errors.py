"""Errors of the store, and the classification of disk and database failures."""

import errno
from enum import Enum
from pathlib import Path

import apsw

from ochrehoist.errors import OchrehoistError

_READ_ONLY_ERRORS = (apsw.ReadOnlyError, apsw.CantOpenError, apsw.PermissionsError, PermissionError)
_SYNC_ERROR_CODES = frozenset({apsw.SQLITE_IOERR_FSYNC, apsw.SQLITE_IOERR_DIR_FSYNC})


class FailureKind(Enum):
    """The kinds of store failures; the values are shown to operators."""

    FULL = "no room on the disk, or max_mb is reached"
    READ_ONLY = "the folder can't be written to"
    IO = "the disk failed"
    SYNC = "the disk failed to keep what was written: nothing written before it can be trusted"
    DAMAGED = "the store is damaged"
    MISSING = "no store is there, and must_exist says that there is one: is its volume mounted?"

    @property
    def invalidates_store(self) -> bool:
        """Whether data written earlier can no longer be trusted, so that the store has to be rebuilt."""
        return self in (FailureKind.IO, FailureKind.SYNC, FailureKind.DAMAGED)


class StoreFailedError(OchrehoistError):
    """A failed operation of the store, none of which was stored."""

    def __init__(self, kind: FailureKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class StoreLockedError(OchrehoistError):
    """A state folder that another process has locked; the message names that process."""


class StoreNotOpenError(OchrehoistError):
    """A call that needs an open store, while the store is not open yet or already released."""

    def __init__(self) -> None:
        super().__init__("the store is not open")


class StoreMissingError(OchrehoistError):
    """A folder without a store that the command can use; `problem` describes what was found."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class InvalidExportError(OchrehoistError):
    """An export that cannot be imported, with the faulty line's number (from 1) and the problem."""

    def __init__(self, line_number: int, problem: str) -> None:
        super().__init__(f"line {line_number}: {problem}")
        self.line_number = line_number
        self.problem = problem


def store_failure(error: Exception) -> StoreFailedError:
    """Returns the store's error for an exception of the database library or the operating system."""
    return StoreFailedError(_failure_kind(error), f"{type(error).__name__}: {error}")


def _failure_kind(error: Exception) -> FailureKind:
    error_number = getattr(error, "errno", None)
    if isinstance(error, apsw.FullError) or error_number in (errno.ENOSPC, errno.EDQUOT):
        return FailureKind.FULL
    if isinstance(error, _READ_ONLY_ERRORS) or error_number == errno.EROFS:
        return FailureKind.READ_ONLY
    if isinstance(error, apsw.CorruptError | apsw.NotADBError):
        return FailureKind.DAMAGED
    if getattr(error, "extendedresult", None) in _SYNC_ERROR_CODES:
        return FailureKind.SYNC
    return FailureKind.IO
