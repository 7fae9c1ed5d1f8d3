"""One process's use of a state folder: its lock, its store and its commit watermark.

Its methods may wait for the disk, and are called one at a time on the journal's thread, but for `use` and
`rebuilt`, which the loop calls.
"""

from collections.abc import Callable, Sequence
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
    """What opening a folder gave: its store, and the runs that it knows."""

    store: OpenStore
    runs: RunsByKey


class FolderSession:
    """The folder from its lock to its release. `store` is None while there is none in use."""

    def __init__(self, config: StateConfig, worker_name: str) -> None:
        self.folder = Path(config.folder)
        self.store: OpenStore | None = None
        self.size_bytes = 0  # on disk, as of the last commit
        self._config = config
        self._worker_name = worker_name
        self._lock: FolderLock | None = None
        self._watermark: CommitWatermark | None = None

    def prepare(self) -> None:
        """Makes the folder, or makes sure that it holds a store, as the settings say.

        Raises StoreFailedError where a store is missing, OSError.
        """
        if self._config.must_exist:
            files.require_store(self.folder)
        else:
            files.make_folder(self.folder)

    def lock(self) -> None:
        """Locks the folder. Raises StoreLockedError, OSError."""
        self._lock = FolderLock(self.folder, self._worker_name)

    def open(self, longest_window_ns: int, clock_ns: Callable[[], int]) -> OpenedFolder:
        """Opens the store, locking the folder first where it is not; `use` follows.

        Raises StoreLockedError, StoreFailedError, OSError; it can be tried again.
        """
        failpoints.reached(Failpoint.FOLDER_OPENING)
        if self._lock is None:
            self.prepare()
            self.lock()
        failpoints.reached(Failpoint.FOLDER_LOCKED)
        # Both clocks are read at one moment: windows run on while the folder is opened.
        now, now_ns = current_timestamp(), clock_ns()
        store = open_store(self.folder, self._config.max_mb, longest_window_ns, now)
        self._watermark = CommitWatermark(self.folder)
        self._watermark.write(store.database.summary.commit_number)
        return OpenedFolder(store, restored_runs(store.intents, now_ns))

    def use(self, store: OpenStore) -> None:
        """Takes an opened store into use."""
        self.store = store
        self.size_bytes = store.database.size_bytes

    def commit(self, operations: Sequence[Operation]) -> int:
        """Makes a group of operations durable; returns their number. Raises StoreFailedError."""
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
        """Replaces a store that can't be trusted any more. Raises StoreFailedError."""
        rebuild_store(self._store_in_use(), self._config.max_mb, intents, loss, learned)

    def rebuilt(self) -> str:
        """Reports a rebuilt store as durable; returns the file name of the one set aside."""
        store = self._store_in_use()
        self._write_watermark(store.database.summary.commit_number)
        return store.set_aside[-1]

    def read_result(self, key: bytes) -> ResultRecord | None:
        """The stored result of a request. Raises StoreFailedError."""
        return self._store_in_use().database.read_result(key)

    def release(self) -> None:
        """Closes the store and releases the folder; harmless where that was done."""
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
