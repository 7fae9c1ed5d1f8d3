"""What the recorder decides: which subjects, when a file ends, which go, and what is lost. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

WHOLE = 1 << 32


class Sample:
    """Chooses by subject, so that popularity stays true: all of a subject's requests, or none.

    The choice is the same in all files and workers; the hash on record is salted anew for each file.
    """

    def __init__(self, share: float) -> None:
        self.limit = int(share * WHOLE)

    def takes(self, subject: bytes) -> bool:
        return self.limit >= WHOLE or xxhash.xxh32_intdigest(subject) < self.limit


@dataclass
class Batches:
    """Records that wait for the disk, in batches. Past `most` batches under way what comes is lost, and
    counted: the recorder never holds up the worker."""

    size: int = 512
    most: int = 4
    under_way: int = 0
    lost: int = 0
    lost_in_all: int = 0

    def full(self, waiting: int) -> bool:
        return waiting >= self.size

    def may_go(self) -> bool:
        return self.under_way < self.most

    def drop(self, count: int) -> None:
        self.lost += count
        self.lost_in_all += count

    def told(self) -> int:
        """What is to be put on record as lost, once."""
        lost, self.lost = self.lost, 0
        return lost


def file_ends(opened_s: float, now_s: float, size: int, most_s: float, most_bytes: int) -> bool:
    return size >= most_bytes or now_s - opened_s >= most_s


def surplus(files: Iterable[tuple[str, int]], most_bytes: int) -> list[str]:
    """Names of the oldest files that must go so that the rest fits; names sort by age. The newest stays."""
    ordered = sorted(files)
    total, gone = sum(size for _, size in ordered), []
    for name, size in ordered[:-1]:
        if total <= most_bytes:
            break
        gone.append(name)
        total -= size
    return gone
