"""Filings by their idempotency key: which attempt holds the key, which one ran, and what came of it.

Guards the rule that a filing never runs twice, whichever front its attempts come by.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ochrehoist.core.request import Fingerprint, IdempotencyKey
from ochrehoist.core.results import RunResult

# A run stays known for so long beyond its window: times come in whole ms, and two clocks are read for each,
# one after the other, by a process that may be stopped in between. A result given too long harms nobody.
WINDOW_MARGIN_NS = 100_000_000


@dataclass(slots=True, frozen=True)
class IdempotencyRecord:
    """The attempt that holds a key, whether or not it runs."""

    request_id: str
    expires_ns: int
    fingerprint: Fingerprint | None


@dataclass(slots=True)
class IdempotentRun:
    """The attempt of a filing that ran.

    Attributes:
        id: Id of that attempt.
        window_end_ns: The window counts from that attempt's arrival, and ends a margin later.
        fingerprint: Of its content, where known.
        result: None until it ended, and again once it was evicted.
        result_evicted: The result took too much memory; the run itself is never forgotten early.
        result_stored: The result is on record, and can be fetched from there.
        begun: Given to its executor, once on record; meaningless without a journal.
        restored: Of before a restart, and the controller has not been told of it.
        waiters: Ids of attempts that wait for its result.
    """

    id: str
    window_end_ns: int
    fingerprint: Fingerprint | None
    result: RunResult | None = None
    result_evicted: bool = False
    result_stored: bool = False
    begun: bool = False
    restored: bool = False
    waiters: tuple[str, ...] = ()

    @property
    def has_ended(self) -> bool:
        """Whether it has ended, with its result at hand or evicted."""
        return self.result is not None or self.result_evicted


class IdempotencyTable:
    """Records and runs by idempotency key.

    Attributes:
        read_delay_ns: How long after its arrival an attempt may still be read.
        max_bytes: Memory for results; the oldest are evicted beyond it.
        bytes: Memory that results take now.
        records: The attempt that holds each key.
        runs: The attempt that ran for each key.
    """

    def __init__(self, read_delay_ns: int, max_bytes: int) -> None:
        self.read_delay_ns = read_delay_ns
        self.max_bytes = max_bytes
        self.bytes = 0
        self.records: dict[IdempotencyKey, IdempotencyRecord] = {}
        self.runs: dict[IdempotencyKey, IdempotentRun] = {}
        self._keys_by_holder: dict[str, IdempotencyKey] = {}
        # Sizes of the results that are kept, oldest first.
        self._result_sizes: OrderedDict[IdempotencyKey, int] = OrderedDict()

    def original_request_id(self, key: IdempotencyKey, arrived_ns: int) -> str | None:
        """The id of the attempt that one which arrived then duplicates.

        It is judged by its arrival, however late it is read.
        """
        record = self.records.get(key)
        if record is not None and arrived_ns <= record.expires_ns:
            return record.request_id
        run = self.runs.get(key)
        return run.id if run is not None and arrived_ns <= run.window_end_ns else None

    def has_same_content(self, key: IdempotencyKey, arrived_ns: int, fingerprint: Fingerprint | None) -> bool:
        """False where the key stands for other content, as far as both are known."""
        record = self.records.get(key)
        expires_ns, known = (0, None) if record is None else (record.expires_ns, record.fingerprint)
        run = self.runs.get(key)
        if run is not None and arrived_ns <= run.window_end_ns:
            expires_ns = run.window_end_ns
            known = known or run.fingerprint
        if arrived_ns > expires_ns or known is None or fingerprint is None:
            return True
        # Only one wire tells a target: there it counts, the body counts everywhere.
        targets = {known[0], fingerprint[0]} - {None}
        return known[1] == fingerprint[1] and len(targets) < 2

    def retain(
        self, key: IdempotencyKey, request_id: str, expires_ns: int, fingerprint: Fingerprint | None
    ) -> None:
        """Makes the attempt the holder of its key."""
        self._drop_record(key)
        self.records[key] = IdempotencyRecord(request_id, expires_ns, fingerprint)
        self._keys_by_holder[request_id] = key

    def release(self, request_id: str) -> None:
        """Drops the record that the attempt holds, if any."""
        key = self._keys_by_holder.get(request_id)
        if key is not None:
            self._drop_record(key)

    def _drop_record(self, key: IdempotencyKey) -> None:
        record = self.records.pop(key, None)
        if record is not None:
            del self._keys_by_holder[record.request_id]

    def may_run(self, key: IdempotencyKey, arrived_ns: int) -> bool:
        """Whether no run of the filing is known whose window covers that arrival, or that is not over."""
        run = self.runs.get(key)
        return run is None or (arrived_ns > run.window_end_ns and run.has_ended)

    def run_started(
        self, key: IdempotencyKey, request_id: str, window_end_ns: int, fingerprint: Fingerprint | None
    ) -> None:
        """Remembers that the attempt runs; it replaces an earlier run of the same key."""
        self._drop_result(key)
        self.runs[key] = IdempotentRun(request_id, window_end_ns + WINDOW_MARGIN_NS, fingerprint)

    def remove_unstarted_run(self, key: IdempotencyKey, request_id: str) -> list[str]:
        """Takes back a run that was never begun: a later attempt may run. Returns the ids that waited."""
        run = self.runs.get(key)
        if run is None or run.id != request_id:
            return []
        del self.runs[key]
        return list(run.waiters)

    def run_ended(
        self, key: IdempotencyKey, request_id: str, result: RunResult, size_bytes: int
    ) -> list[str]:
        """Keeps the result of a run and returns the ids of the attempts that waited for it."""
        run = self.runs.get(key)
        if run is None or run.id != request_id:
            return []
        waiters = list(run.waiters)
        run.waiters = ()
        run.result = result
        self._result_sizes[key] = size_bytes
        self.bytes += size_bytes
        self._evict_results()
        return waiters

    def _evict_results(self) -> None:
        """Drops the oldest results while they take too much memory; their runs stay known."""
        while self.bytes > self.max_bytes:
            oldest = next(iter(self._result_sizes))
            self.runs[oldest].result_evicted = True
            self._drop_result(oldest)

    def _drop_result(self, key: IdempotencyKey) -> None:
        self.bytes -= self._result_sizes.pop(key, 0)
        if key in self.runs:
            self.runs[key].result = None

    def expire(self, now_ns: int) -> list[IdempotencyKey]:
        """Forgets what no attempt that can still be read would name; returns the keys of expired runs."""
        oldest_arrival_ns = now_ns - self.read_delay_ns
        for key in [k for k, record in self.records.items() if record.expires_ns < oldest_arrival_ns]:
            self._drop_record(key)
        expired = [
            key for key, run in self.runs.items() if run.window_end_ns < oldest_arrival_ns and run.has_ended
        ]
        for key in expired:
            self._drop_result(key)
            del self.runs[key]
        return expired
