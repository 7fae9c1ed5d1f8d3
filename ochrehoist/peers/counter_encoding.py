"""Division of counters into deltas that fit into one answer: size-limited, in key order. No I/O."""

from bisect import bisect_right
from collections.abc import Mapping, Sequence

from ochrehoist.peers.counter_replica import CounterReplica
from ochrehoist.peers.own_counters import OwnCounters
from ochrehoist.peers.wire import CounterCursor, CounterDelta, CounterSnapshot

MAX_DELTA_BYTES = 1536  # all deltas in an answer
# The delta of the answering incarnation must leave room for replicas: the counters of an incarnation
# that has ended can only be obtained from other members.
MAX_OWN_BYTES = 1024
MAX_SNAPSHOT_BYTES = 12_288  # all snapshots in an answer to a member of an older release
HEADER_BYTES = 72  # upper bound for a delta or snapshot without its name and keys
ENTRY_BYTES = 12  # upper bound for a key's length prefix and its count


def ceil_ms(span_s: float) -> int:
    """Returns a time span in ms, rounded up."""
    return max(0, int(span_s * 1000) + 1)


def _entry_size(key: str) -> int:
    return len(key.encode()) + ENTRY_BYTES


def _header_size(delta: CounterDelta) -> int:
    texts = (delta.incarnation.name, delta.after_key, delta.up_to_key)
    return HEADER_BYTES + sum(len(text.encode()) for text in texts)


def max_snapshot_size(snapshot: CounterSnapshot) -> int:
    """Returns an upper bound of the encoded size of a snapshot in bytes."""
    name_size = len(snapshot.incarnation.name.encode())
    return HEADER_BYTES + name_size + sum(_entry_size(key) for key in snapshot.counts)


class DeltaWriter:
    """Collector of the deltas of one answer, limited to `MAX_DELTA_BYTES`."""

    def __init__(self) -> None:
        self.deltas: list[CounterDelta] = []
        self._free_bytes = MAX_DELTA_BYTES

    def write_own(self, delta: CounterDelta, own: OwnCounters) -> None:
        """Adds the counters of the answering incarnation that changed since the delta's version."""
        free_bytes = _fill_delta(delta, own.counts, own.sorted_keys(), own.changed_at_version, MAX_OWN_BYTES)
        self._free_bytes = MAX_DELTA_BYTES - MAX_OWN_BYTES + free_bytes
        self.deltas.append(delta)

    def write_replica(
        self, delta: CounterDelta, replica: CounterReplica, cursor: CounterCursor | None
    ) -> None:
        """Adds the counters of another incarnation, or only its version if the cursor requests none."""
        if cursor is not None and cursor.version < replica.version:
            delta.since_version = 0
            delta.after_key = cursor.after_key
            free_bytes = _fill_delta(delta, replica.counts, replica.sorted_keys(), None, self._free_bytes)
        else:
            free_bytes = self._free_bytes - _header_size(delta)
        if free_bytes >= 0:
            self._free_bytes = free_bytes
            self.deltas.append(delta)


def _fill_delta(
    delta: CounterDelta,
    counts: Mapping[str, int],
    sorted_keys: Sequence[str],
    changed_at_version: Mapping[str, int] | None,
    max_bytes: int,
) -> int:
    """Adds counts to a delta in key order and sets its `up_to_key`.

    Returns the remaining bytes, negative if not even one key fits.
    """
    free_bytes = max_bytes - _header_size(delta)
    for index in range(bisect_right(sorted_keys, delta.after_key), len(sorted_keys)):
        key = sorted_keys[index]
        if changed_at_version is not None and changed_at_version[key] <= delta.since_version:
            continue
        if _entry_size(key) + len(key.encode()) > free_bytes:  # the key may also become `up_to_key`
            delta.up_to_key = next(reversed(delta.counts), "")
            return free_bytes - len(delta.up_to_key.encode()) if delta.up_to_key else -1
        delta.counts[key] = counts[key]
        free_bytes -= _entry_size(key)
    return free_bytes
