"""Decisions of the recorder, without I/O: sampling, batch and file limits, dropped records, file deletion."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

HASH_VALUES = 1 << 32  # number of values of the 32-bit hash used for sampling


class SubjectSampler:
    """Sampling by subject: either all requests of a subject are recorded, or none.

    So the sample preserves the distribution of requests per subject. The choice is the same in all files and
    workers; the subject hash stored in records, in contrast, has a different salt in each file.
    """

    def __init__(self, fraction: float) -> None:
        self._limit = int(fraction * HASH_VALUES)

    def includes(self, subject: bytes) -> bool:
        """Returns whether requests of this subject are recorded."""
        return self._limit >= HASH_VALUES or xxhash.xxh32_intdigest(subject) < self._limit


@dataclass
class BatchWindow:
    """Limit on the batches of records that are being written to disk.

    While `max_in_flight` batches are in flight, further records are dropped and counted, so that a slow disk
    never blocks the worker.
    """

    batch_records: int = 512
    max_in_flight: int = 4
    in_flight: int = 0
    dropped: int = 0  # dropped records not yet reported in the capture
    total_dropped: int = 0

    def is_full(self, record_count: int) -> bool:
        """Returns whether `record_count` pending records fill a batch."""
        return record_count >= self.batch_records

    def has_capacity(self) -> bool:
        """Returns whether another batch may be submitted for writing."""
        return self.in_flight < self.max_in_flight

    def drop(self, count: int) -> None:
        """Counts dropped records."""
        self.dropped += count
        self.total_dropped += count

    def take_dropped(self) -> int:
        """Returns the number of dropped records not yet reported, and resets it to 0."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


def file_is_complete(
    opened_at_s: float, now_s: float, size_bytes: int, max_age_s: float, max_bytes: int
) -> bool:
    """Returns whether the next records belong in a new file. Both times are of the same monotonic clock."""
    return size_bytes >= max_bytes or now_s - opened_at_s >= max_age_s


def files_to_delete(files: Iterable[tuple[str, int]], max_bytes: int) -> list[str]:
    """Returns the names of the oldest files to delete so that the others fit into `max_bytes`.

    The newest file is never included. `files` has the name and the size in bytes of each file; names sort by
    age.
    """
    by_age = sorted(files)
    total_bytes = sum(size_bytes for _, size_bytes in by_age)
    surplus = []
    for name, size_bytes in by_age[:-1]:
        if total_bytes <= max_bytes:
            break
        surplus.append(name)
        total_bytes -= size_bytes
    return surplus
