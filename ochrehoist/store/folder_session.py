"""A process's session with a state folder: the lock, the store and the commit watermark.

Its methods may wait for the disk and are called one at a time on the journal's thread, except `use` and
`finish_rebuild`, which are called on the loop.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from ochrehoist.config.tables import StateConfig
from ochrehoist.store import failpoints, files
from ochrehoist.store.errors import StoreNotOpenError
from ochrehoist.store.failpoints import Failpoint
from ochrehoist.store.files import CommitWatermark
from ochrehoist.store.journal_records import RunsByKey, restored_runs
from ochrehoist.store.lock import FolderLock
from ochrehoist.store.operations import Operation
from ochrehoist.store.records import DataLossRecord, IntentRecord, LearnedStateRecord, ResultRecord
from ochrehoist.store.store_repair import OpenStore, open_store, rebuild_store
from ochrehoist.store.timestamps import current_timestamp


@dataclass(slots=True)
class OpenedFolder:
    """The result of opening a folder: its store, and the runs restored from it."""

    store: OpenStore
    runs: RunsByKey


class FolderSession:
    """The use of a folder from its lock to its release.

    `store` is None while no store is in use; `size_bytes` is the store's size on disk after the last commit.
    """

    def __init__(self, config: StateConfig, worker_name: str) -> None:
        self.folder = Path(config.folder)
        self.store: OpenStore | None = None
        self.size_bytes = 0
        self._config = config
        self._worker_name = worker_name
        self._lock: FolderLock | None = None
        self._watermark: CommitWatermark | None = None

    def prepare(self) -> None:
        """Creates the folder, or verifies that it holds a store if the settings require one.

        Raises StoreFailedError if a required store is missing, and OSError.
        """
        if self._config.must_exist:
            files.require_store(self.folder)
        else:
            files.make_folder(self.folder)

    def lock(self) -> None:
        """Locks the folder. Raises StoreLockedError, OSError."""
        self._lock = FolderLock(self.folder, self._worker_name)

    def open(
        self, windows_ns: Mapping[str, int], hold_at_first_start: bool, clock_ns: Callable[[], int]
    ) -> OpenedFolder:
        """Locks the folder if necessary, and opens its store; the caller passes the store to `use`.

        See `open_store` for `windows_ns` and `hold_at_first_start`; `clock_ns` is the core's clock.

        Raises StoreLockedError, StoreFailedError and OSError, after which it can be retried.
        """
        failpoints.reached(Failpoint.FOLDER_OPENING)
        if self._lock is None:
            self.prepare()
            self.lock()
        failpoints.reached(Failpoint.FOLDER_LOCKED)
        # Both clocks are read together before the store is opened, since windows expire meanwhile.
        now, now_ns = current_timestamp(), clock_ns()
        longest_window_ns = max(windows_ns.values(), default=0)
        store = open_store(
            self.folder, self._config.max_mb, longest_window_ns, now, windows_ns, hold_at_first_start
        )
        self._watermark = CommitWatermark(self.folder)
        self._watermark.write(store.database.summary.commit_number)
        return OpenedFolder(store, restored_runs(store.intents, now_ns))

    def use(self, store: OpenStore) -> None:
        """Makes an opened store the one in use."""
        self.store = store
        self.size_bytes = store.database.size_bytes

    def commit(self, operations: Sequence[Operation]) -> int:
        """Commits a group of operations; returns the number of operations. Raises StoreFailedError."""
        failpoints.reached(Failpoint.COMMIT_STARTED)
        database = self._store_in_use().database
        commit_number = database.commit(operations)
        failpoints.reached(Failpoint.COMMITTED)
        self._write_watermark(commit_number)
        database.checkpoint_if_due()
        self.size_bytes = database.size_bytes
        return len(operations)

    def rebuild(
        self,
        intents: Sequence[IntentRecord],
        loss: DataLossRecord | None,
        learned: LearnedStateRecord | None,
    ) -> None:
        """Replaces a store that can no longer be trusted. Raises StoreFailedError."""
        rebuild_store(self._store_in_use(), self._config.max_mb, intents, loss, learned)

    def finish_rebuild(self) -> str:
        """Writes the rebuilt store's watermark; returns the file name of the store set aside."""
        store = self._store_in_use()
        self._write_watermark(store.database.summary.commit_number)
        return store.set_aside[-1]

    def read_result(self, key: bytes) -> ResultRecord | None:
        """Returns the stored result of a request; None if there is none. Raises StoreFailedError."""
        return self._store_in_use().database.read_result(key)

    def release(self) -> None:
        """Closes the store and releases the folder; it may be called more than once."""
        failpoints.reached(Failpoint.FOLDER_RELEASING)
        if self.store is not None:
            self.store.database.close()
            self.store = None
        if self._watermark is not None:
            self._watermark.close()
            self._watermark = None
        if self._lock is not None:
            self._lock.release()
        failpoints.reached(Failpoint.FOLDER_RELEASED)

    def _store_in_use(self) -> OpenStore:
        if self.store is None:
            raise StoreNotOpenError
        return self.store

    def _write_watermark(self, commit_number: int) -> None:
        assert self._watermark is not None
        self._watermark.write(commit_number)
