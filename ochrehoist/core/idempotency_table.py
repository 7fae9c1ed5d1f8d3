"""Table of filings by idempotency key: the attempt that holds the key, the one that ran, and its result.

It enforces that a filing never runs twice, even if its attempts arrive at different fronts.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from ochrehoist.core.request import (
    NO_SERIAL,
    Fingerprint,
    IdempotencyKey,
    RequestReference,
    new_reference,
)
from ochrehoist.core.results import RunResult

# Time for which a run is kept beyond its window. It covers the error of arrival times, which are rounded to
# ms and derived from two clocks that are read one after the other, possibly with a pause of the process in
# between. Serving a result for longer than the window is harmless.
WINDOW_MARGIN_NS = 100_000_000
MAX_CLASS_NAMES = 64  # beyond this, class names that no key has any more are removed


@dataclass(slots=True, frozen=True)
class IdempotencyRecord:
    """The attempt that holds a key, whether or not it has been started."""

    holder: RequestReference
    expires_ns: int
    fingerprint: Fingerprint | None


@dataclass(slots=True)
class IdempotentRun:
    """The attempt of a filing that ran.

    Attributes:
        request: Reference of that attempt.
        window_end_ns: End of the idempotency window, which starts with the attempt's arrival, plus a margin.
        fingerprint: Fingerprint of its content; None if unknown.
        result: The result; None until the run has ended, and again after eviction.
        result_evicted: Whether the result was evicted to save memory; the run itself is kept.
        result_stored: Whether the result is in the journal and can be fetched from it.
        started: Whether the run was recorded and started on its executor; unused without a journal.
        restored: Whether the run dates from before a restart and the controller has not adopted it yet.
        waiters: The duplicates that wait for the result.
    """

    request: RequestReference
    window_end_ns: int
    fingerprint: Fingerprint | None
    result: RunResult | None = None
    result_evicted: bool = False
    result_stored: bool = False
    started: bool = False
    restored: bool = False
    waiters: tuple[RequestReference, ...] = ()

    @property
    def has_ended(self) -> bool:
        """Whether the run has ended; its result is available or was evicted."""
        return self.result is not None or self.result_evicted


def is_same_filing(attempt: Fingerprint | None, known: Fingerprint | None) -> bool:
    """Returns whether an attempt is of a known filing with the same caller's key, but another class name.

    Over AJP the class follows from the configuration, and the caller states a target in its place. Callers
    that state the class themselves have no target: among them, another class is another filing.
    """
    if attempt is None:
        return False
    if known is None:
        return attempt[0] is not None  # a failure is better than a second run
    if attempt[0] is not None and known[0] is not None:
        return attempt[0] == known[0]
    return attempt[0] != known[0] and attempt[1] == known[1]


class IdempotencyTable:
    """Records and runs by idempotency key.

    Attributes:
        read_delay_ns: Maximum time between the arrival of an attempt and its reading.
        max_bytes: Maximum memory for results; beyond it the oldest results are evicted.
        bytes: Memory that results use now.
        records: The attempt that holds each key; an attempt holds at most one.
        runs: The attempt that ran for each key.
        class_names: Names of all classes that keys in the table have; may have further ones.
    """

    def __init__(self, read_delay_ns: int, max_bytes: int) -> None:
        self.read_delay_ns = read_delay_ns
        self.max_bytes = max_bytes
        self.bytes = 0
        self.records: dict[IdempotencyKey, IdempotencyRecord] = {}
        self.runs: dict[IdempotencyKey, IdempotentRun] = {}
        self.class_names: set[str] = set()
        self._keys_by_holder: dict[RequestReference, IdempotencyKey] = {}
        # Sizes (bytes) of the results in memory, oldest first.
        self._result_sizes: OrderedDict[IdempotencyKey, int] = OrderedDict()

    def original_request(self, key: IdempotencyKey, arrived_ns: int) -> RequestReference | None:
        """Returns the attempt that an attempt with this arrival time duplicates, if any.

        Expiry is compared with the time of arrival, not with the possibly later time of reading.
        """
        record = self.records.get(key)
        if record is not None and arrived_ns <= record.expires_ns:
            return record.holder
        run = self.runs.get(key)
        return run.request if run is not None and arrived_ns <= run.window_end_ns else None

    def find_key(
        self,
        key: IdempotencyKey,
        other_keys: Iterable[IdempotencyKey],
        fingerprint: Fingerprint | None,
        arrived_ns: int,
    ) -> IdempotencyKey | None:
        """Returns the key under which an earlier attempt of a filing is known, if any.

        Class names may have been derived from a configuration that has changed since. So a key of another
        class, or one of `other_keys`, is that of the same filing if the fingerprints say so.
        """
        if self._is_known(key, arrived_ns):
            return key
        for other in (key, *other_keys):
            for class_name in self.class_names:
                candidate = (other[0], class_name, other[2])
                if self._is_known(candidate, arrived_ns) and is_same_filing(
                    fingerprint, self._fingerprint(candidate)
                ):
                    return candidate
        return None

    def knows_caller_key(self, tenant: str | None, caller_key: str, arrived_ns: int) -> bool:
        """Returns whether a filing is known under the caller's key, whatever its class and content."""
        return any(
            self._is_known((tenant, class_name, caller_key), arrived_ns) for class_name in self.class_names
        )

    def _is_known(self, key: IdempotencyKey, arrived_ns: int) -> bool:
        return self.original_request(key, arrived_ns) is not None or not self.may_run(key, arrived_ns)

    def _fingerprint(self, key: IdempotencyKey) -> Fingerprint | None:
        run = self.runs.get(key)
        if run is not None and run.fingerprint is not None:
            return run.fingerprint
        record = self.records.get(key)
        return None if record is None else record.fingerprint

    def has_same_content(self, key: IdempotencyKey, arrived_ns: int, fingerprint: Fingerprint | None) -> bool:
        """Returns False if the key belongs to different content; True if a fingerprint is unknown."""
        record = self.records.get(key)
        expires_ns, original = (0, None) if record is None else (record.expires_ns, record.fingerprint)
        run = self.runs.get(key)
        if run is not None and arrived_ns <= run.window_end_ns:
            expires_ns = run.window_end_ns
            original = original or run.fingerprint
        if arrived_ns > expires_ns or original is None or fingerprint is None:
            return True
        # Bodies are always compared; targets only if both are known, as only one wire protocol has them.
        targets = {original[0], fingerprint[0]} - {None}
        return original[1] == fingerprint[1] and len(targets) < 2

    def retain(
        self,
        key: IdempotencyKey,
        request: RequestReference,
        expires_ns: int,
        fingerprint: Fingerprint | None,
    ) -> None:
        """Makes the attempt the holder of its key until `expires_ns`; it keeps no other key."""
        self.release(request)
        self.drop_record(key)
        self.records[key] = IdempotencyRecord(request, expires_ns, fingerprint)
        self.class_names.add(key[1])
        self._keys_by_holder[request] = key

    def release(self, request: RequestReference) -> None:
        """Releases the key that the attempt holds, if any."""
        key = self._keys_by_holder.get(request)
        if key is not None:
            self.drop_record(key)

    def drop_record(self, key: IdempotencyKey) -> None:
        """Removes the record of a key, if there is one."""
        record = self.records.pop(key, None)
        if record is not None:
            del self._keys_by_holder[record.holder]

    def may_run(self, key: IdempotencyKey, arrived_ns: int) -> bool:
        """Returns whether an attempt with this arrival time may run.

        It may not while another run of the filing is in progress, or if it arrived within the window of one.
        """
        run = self.runs.get(key)
        return run is None or (arrived_ns > run.window_end_ns and run.has_ended)

    def run_started(
        self,
        key: IdempotencyKey,
        request: RequestReference,
        window_end_ns: int,
        fingerprint: Fingerprint | None,
    ) -> None:
        """Adds the run of an attempt; it replaces an earlier run of the same key."""
        self._drop_result(key)
        self.add_run(key, IdempotentRun(request, window_end_ns + WINDOW_MARGIN_NS, fingerprint))

    def add_run(self, key: IdempotencyKey, run: IdempotentRun) -> None:
        """Adds a run, for example one of another process."""
        self.runs[key] = run
        self.class_names.add(key[1])

    def restore_runs(self, runs: dict[IdempotencyKey, IdempotentRun]) -> None:
        """Adds runs from before a restart; runs that are known already take precedence."""
        runs.update(self.runs)
        self.runs = runs
        self.class_names.update(key[1] for key in runs)

    def run_in_progress(self, key: IdempotencyKey, request: RequestReference) -> IdempotentRun | None:
        """Returns the run of this attempt; None once it has ended."""
        run = self.runs.get(key)
        return run if run is not None and run.request == request and not run.has_ended else None

    def name_ended_runs(self) -> None:
        """Gives a unique reference to each ended run of which an earlier release wrote only the id."""
        for key, run in self.runs.items():
            if run.request.serial != NO_SERIAL or not run.has_ended:
                continue
            record = self.records.get(key)
            is_holder = record is not None and record.holder == run.request
            run.request = new_reference(run.request.id)
            if record is not None and is_holder:
                self.retain(key, run.request, record.expires_ns, record.fingerprint)

    def remove_unstarted_run(self, key: IdempotencyKey, request: RequestReference) -> list[RequestReference]:
        """Removes a run that was not started or never executed, so that a later attempt may run.

        Returns the duplicates that waited for it.
        """
        run = self.run_in_progress(key, request)
        if run is None:
            return []
        del self.runs[key]
        return list(run.waiters)

    def run_ended(
        self, key: IdempotencyKey, request: RequestReference, result: RunResult, size_bytes: int
    ) -> list[RequestReference]:
        """Stores the result of a run and returns the duplicates that waited for it."""
        run = self.run_in_progress(key, request)
        if run is None:
            return []
        waiters = list(run.waiters)
        run.waiters = ()
        run.result = result
        self._result_sizes[key] = size_bytes
        self.bytes += size_bytes
        self._evict_results()
        return waiters

    def _evict_results(self) -> None:
        """Evicts the oldest results while results exceed `max_bytes`; their runs are kept."""
        while self.bytes > self.max_bytes:
            oldest = next(iter(self._result_sizes))
            self.runs[oldest].result_evicted = True
            self._drop_result(oldest)

    def _drop_result(self, key: IdempotencyKey) -> None:
        self.bytes -= self._result_sizes.pop(key, 0)
        if key in self.runs:
            self.runs[key].result = None

    def drop_run(self, key: IdempotencyKey) -> None:
        """Removes the run of a key with its result."""
        self._drop_result(key)
        del self.runs[key]

    def remove_unused_class_names(self) -> None:
        """Removes the names of classes that no key has any more, once there are many names."""
        if len(self.class_names) > MAX_CLASS_NAMES:
            self.class_names = {key[1] for keys in (self.records, self.runs) for key in keys}

    def expired_records(self, now_ns: int) -> list[IdempotencyKey]:
        """Returns the keys whose record no attempt still to be read can refer to."""
        oldest_arrival_ns = now_ns - self.read_delay_ns
        return [key for key, record in self.records.items() if record.expires_ns < oldest_arrival_ns]

    def expired_runs(self, now_ns: int) -> list[IdempotencyKey]:
        """Returns the keys of ended runs that no attempt still to be read can refer to."""
        oldest_arrival_ns = now_ns - self.read_delay_ns
        return [
            key for key, run in self.runs.items() if run.window_end_ns < oldest_arrival_ns and run.has_ended
        ]
