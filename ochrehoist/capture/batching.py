"""What the recorder decides: which subjects, when a batch or a file is full, and what is dropped. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

HASH_VALUES = 1 << 32  # of the 32-bit hash that subjects are sampled by


class SubjectSampler:
    """Samples by subject, so that popularity stays true: all requests of a subject, or none.

    The choice is the same in all files and workers; the hash in a record is salted anew for each file.
    """

    def __init__(self, fraction: float) -> None:
        self._limit = int(fraction * HASH_VALUES)

    def includes(self, subject: bytes) -> bool:
        """Whether requests of this subject are recorded."""
        return self._limit >= HASH_VALUES or xxhash.xxh32_intdigest(subject) < self._limit


@dataclass
class BatchWindow:
    """Batches of records on their way to the disk.

    With `max_in_flight` batches under way, further records are dropped and counted: the recorder never holds
    up the worker.
    """

    batch_records: int = 512
    max_in_flight: int = 4
    in_flight: int = 0
    dropped: int = 0  # records that the capture does not report yet
    total_dropped: int = 0

    def is_full(self, record_count: int) -> bool:
        """Whether so many waiting records are a batch."""
        return record_count >= self.batch_records

    def has_capacity(self) -> bool:
        """Whether another batch may be sent to the disk."""
        return self.in_flight < self.max_in_flight

    def drop(self, count: int) -> None:
        """Counts records that are not written."""
        self.dropped += count
        self.total_dropped += count

    def take_dropped(self) -> int:
        """The number of dropped records that the capture has to report; each is returned once."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


def file_is_complete(
    opened_at_s: float, now_s: float, size_bytes: int, max_age_s: float, max_bytes: int
) -> bool:
    """Whether the next records belong into a new file. Both moments are of one monotonic clock."""
    return size_bytes >= max_bytes or now_s - opened_at_s >= max_age_s


def files_to_delete(files: Iterable[tuple[str, int]], max_bytes: int) -> list[str]:
    """Names of the oldest files that must go so that the rest fits; the newest always stays.

    `files` are names, which sort by age, and sizes in bytes.
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
