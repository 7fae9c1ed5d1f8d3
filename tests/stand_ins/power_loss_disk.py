"""A disk under SQLite that loses power: what was written and not synced may be lost, torn or out of order.

Files are real, in a folder of the test. `image` gives what might be found in them after the power failed now.
"""

import itertools
import os
import random
from collections.abc import Callable
from pathlib import Path

import apsw

SECTOR_BYTES = 512
WRITE_SURVIVES, OUT_OF_ORDER, SECTOR_SURVIVES = 0.7, 0.5, 0.8  # probabilities
disk_numbers = itertools.count()


class PowerLossDisk(apsw.VFS):
    """A file system of SQLite; `fails`, given the operation and its number, may raise."""

    def __init__(self, fails: Callable[[str, int], None] = lambda *_: None):
        self.name, self.fails = f"disk{next(disk_numbers)}", fails
        self.operations, self.dead = 0, False
        self.durable: dict[str, bytes] = {}
        self.pending: dict[str, list] = {}  # by path: (offset, data), or the size that it was cut to
        super().__init__(self.name, "")

    def xOpen(self, name, flags):  # noqa: N802 - the library's name
        """Opens a file; called by SQLite."""
        path = name.filename() if isinstance(name, apsw.URIFilename) else name
        if path:
            self.durable.setdefault(path, Path(path).read_bytes() if os.path.exists(path) else b"")
            self.pending.setdefault(path, [])
        return PowerLossFile(self, path, name, flags)

    def count_operation(self, operation: str) -> None:
        """Counts a write, cut or sync, which fails once `dead` is set."""
        if self.dead:
            message = "no power"
            raise apsw.IOError(message)
        self.operations += 1
        self.fails(operation, self.operations)

    def image(self, seed: int) -> dict[str, bytes]:
        """By path: what is there after a power cut; each sector that was not synced may be old or new."""
        source = random.Random(seed)
        return {path: self._file_image(path, durable, source) for path, durable in self.durable.items()}

    def _file_image(self, path: str, durable: bytes, source: random.Random) -> bytes:
        data = bytearray(durable)
        writes = [w for w in self.pending[path] if source.random() < WRITE_SURVIVES]
        if source.random() < OUT_OF_ORDER:
            source.shuffle(writes)
        for write in writes:
            if isinstance(write, int):
                del data[write:]
                continue
            offset, new = write
            for at in range(0, len(new), SECTOR_BYTES):
                if source.random() < SECTOR_SURVIVES:
                    piece = new[at : at + SECTOR_BYTES]
                    data.extend(bytes(max(0, offset + at + len(piece) - len(data))))
                    data[offset + at : offset + at + len(piece)] = piece
        return bytes(data)


class PowerLossFile(apsw.VFSFile):
    """A file of the disk."""

    def __init__(self, disk, path, name, flags):
        self.disk, self.path = disk, path
        super().__init__("", name, flags)

    def xWrite(self, data, offset):  # noqa: N802 - the library's name
        """Writes; it is lost unless a sync follows."""
        self.disk.count_operation("write")
        super().xWrite(data, offset)
        if self.path:
            self.disk.pending[self.path].append((offset, bytes(data)))

    def xTruncate(self, size):  # noqa: N802 - the library's name
        """Cuts the file; as a write."""
        self.disk.count_operation("truncate")
        super().xTruncate(size)
        if self.path:
            self.disk.pending[self.path].append(size)

    def xSync(self, flags):  # noqa: N802 - the library's name
        """All that was written before is durable."""
        self.disk.count_operation("sync")
        super().xSync(flags)
        if self.path:
            self.disk.durable[self.path] = Path(self.path).read_bytes()
            self.disk.pending[self.path].clear()
