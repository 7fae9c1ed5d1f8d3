"""A disk under SQLite that forgets: what was written and not synced may be lost, torn or out of order.

Files are real, in a folder of the test. `image` gives what might be found in them after the power failed now.
"""

import itertools
import os
import random
from pathlib import Path

import apsw

SECTOR = 512
names = itertools.count()


class PowerCut(Exception):
    """Nothing works any more."""


class Disk(apsw.VFS):
    """`cut_at`: so many writes and syncs go well. `fails`: given the operation and its number, may raise."""

    def __init__(self, fails=lambda operation, number: None):
        self.name, self.fails = f"disk{next(names)}", fails
        self.done, self.dead = 0, False
        self.durable: dict[str, bytes] = {}
        self.pending: dict[str, list] = {}  # by path: (offset, data), or the size that it was cut to
        super().__init__(self.name, "")

    def xOpen(self, name, flags):
        path = name.filename() if isinstance(name, apsw.URIFilename) else name
        if path:
            self.durable.setdefault(path, Path(path).read_bytes() if os.path.exists(path) else b"")
            self.pending.setdefault(path, [])
        return File(self, path, name, flags)

    def operation(self, what):
        if self.dead:
            raise apsw.IOError("no power")
        self.done += 1
        self.fails(what, self.done)

    def image(self, seed):
        """By path: what is there after a power cut; each sector that was not synced may be old or new."""
        source, out = random.Random(seed), {}
        for path, durable in self.durable.items():
            data = bytearray(durable)
            writes = [w for w in self.pending[path] if source.random() < 0.7]
            if source.random() < 0.5:
                source.shuffle(writes)
            for write in writes:
                if isinstance(write, int):
                    del data[write:]
                    continue
                offset, new = write
                for at in range(0, len(new), SECTOR):
                    if source.random() < 0.8:
                        piece = new[at : at + SECTOR]
                        data.extend(bytes(max(0, offset + at + len(piece) - len(data))))
                        data[offset + at : offset + at + len(piece)] = piece
            out[path] = bytes(data)
        return out


class File(apsw.VFSFile):
    def __init__(self, disk, path, name, flags):
        self.disk, self.path = disk, path
        super().__init__("", name, flags)

    def xWrite(self, data, offset):
        self.disk.operation("write")
        super().xWrite(data, offset)
        if self.path:
            self.disk.pending[self.path].append((offset, bytes(data)))

    def xTruncate(self, size):
        self.disk.operation("truncate")
        super().xTruncate(size)
        if self.path:
            self.disk.pending[self.path].append(size)

    def xSync(self, flags):
        self.disk.operation("sync")
        super().xSync(flags)
        if self.path:
            self.disk.durable[self.path] = Path(self.path).read_bytes()
            self.disk.pending[self.path].clear()
