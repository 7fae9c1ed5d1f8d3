"""Opening of a state folder off the loop, with retries until it succeeds."""

import gc
import time
from collections.abc import Callable, Mapping

from ochrehoist.errors import InvalidInputError
from ochrehoist.loop_protocols import BlockingCalls, TimerLoop
from ochrehoist.store.commit_scheduler import StoreFailureLog
from ochrehoist.store.errors import StoreFailedError, StoreLockedError, store_failure
from ochrehoist.store.folder_session import FolderSession, OpenedFolder

FOLDER_SETTING = "state.folder"
LOCK_RETRY_DELAY_S = 0.02  # short, since a replaced process releases the folder soon
LOCK_WAIT_LOGGED_S = 3.0  # waiting for the lock is reported as a failure after this time
# Delay after failures other than a locked folder; doubled for each further one.
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 10.0


def prepare_folder(session: FolderSession, replacing: bool, failures: StoreFailureLog) -> None:
    """Creates and locks the folder at the start of the process; `FolderOpener` retries what may be temporary.

    A process that replaces another one locks the folder only when it opens it.

    Raises:
        InvalidInputError: Another process uses the folder, or it cannot be created.
    """
    folder = session.folder
    try:
        session.prepare()
        if not replacing:
            session.lock()
    except StoreLockedError as error:
        problem = f"in use by {error}; stop that process, or replace it: use the same name and TMPDIR"
        raise InvalidInputError.in_setting(FOLDER_SETTING, f"{folder}: {problem}") from None
    except FileNotFoundError as error:
        raise InvalidInputError.in_setting(FOLDER_SETTING, f"{folder}: {error.strerror}") from None
    except StoreFailedError as error:
        failures.record_failure(error)
    except OSError as error:
        failures.record_failure(store_failure(error))


class FolderOpener:
    """Repeated attempts to open a folder.

    Retries follow at short intervals while another process holds the lock, and with exponential backoff after
    other failures.

    Args:
        loop: the worker's loop.
        thread: carries out calls that wait for the disk.
        session: the state folder.
        failures: records why the folder could not be opened.
        windows_ns: the idempotency windows of the settings in force by class name.
        hold_at_first_start: whether a first start in this folder may follow the loss of another one.
        clock_ns: the core's clock.
        opened: called on the loop once the folder is open.
    """

    def __init__(
        self,
        loop: TimerLoop,
        thread: BlockingCalls,
        session: FolderSession,
        failures: StoreFailureLog,
        windows_ns: Callable[[], Mapping[str, int]],
        hold_at_first_start: Callable[[], bool],
        clock_ns: Callable[[], int],
        opened: Callable[[OpenedFolder], None],
    ) -> None:
        self._loop = loop
        self._thread = thread
        self._session = session
        self._failures = failures
        self._windows_ns = windows_ns
        self._hold_at_first_start = hold_at_first_start
        self._clock_ns = clock_ns
        self._opened = opened
        self._requested_at = time.monotonic()
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._stopping = False

    def open(self) -> None:
        """Starts opening the folder; `opened` is called once an attempt succeeds."""
        self._requested_at = time.monotonic()
        self._attempt()

    def stop(self) -> None:
        """Stops further attempts."""
        self._stopping = True

    def _attempt(self) -> None:
        windows_ns = self._windows_ns()
        hold_at_first_start = self._hold_at_first_start()
        gc.disable()  # restored runs stay alive, and collections while they are read would double the time
        self._thread.submit(
            lambda: self._session.open(windows_ns, hold_at_first_start, self._clock_ns), self._attempt_ended
        )

    def _attempt_ended(self, folder: OpenedFolder | None, error: Exception | None) -> None:
        gc.enable()
        if folder is not None:
            self._use(folder)
        elif error is not None:
            self._attempt_failed(error)

    def _use(self, folder: OpenedFolder) -> None:
        try:
            self._opened(folder)
        except Exception as error:  # filings are rejected from now on, so the status has to say why
            self._failures.record_failure(error)
            raise

    def _attempt_failed(self, error: Exception) -> None:
        locked = isinstance(error, StoreLockedError)
        if not locked:
            self._failures.record_failure(error)
        elif time.monotonic() - self._requested_at > LOCK_WAIT_LOGGED_S:
            self._failures.record_failure(StoreLockedError(f"waits for the folder: in use by {error}"))
        if self._stopping:
            return
        if locked:
            self._loop.call_later(LOCK_RETRY_DELAY_S, self._attempt)
            self._retry_delay_s = LOCK_RETRY_DELAY_S
        else:
            self._loop.call_later(self._retry_delay_s, self._attempt)
            self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self._retry_delay_s)
