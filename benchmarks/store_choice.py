"""Three ways to keep filings on disk, side by side: LMDB, SQLite and an append-only log of our own.

For each: latency of a durable commit of 1 and of 16 filings, size on disk for all of them, and what a
reader makes of a file that was cut at some place or had one byte changed. Damage is read in a process of
its own, for a reader may die of it. Run it as `python -m benchmarks.store_choice [FOLDER]`; needs the extra
`lab`.
"""

import os
import random
import shutil
import struct
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import apsw
import lmdb
import xxhash

FILINGS, BODY, GROUPS, CUTS = 4000, 300, (1, 16), 60


class Lmdb:
    file = "data.mdb"

    def __init__(self, folder):
        self.env = lmdb.open(str(folder), map_size=256 << 20, sync=True, metasync=True)

    def commit(self, rows):
        with self.env.begin(write=True) as transaction:
            for key, value in rows:
                transaction.put(key, value)

    def rows(self):
        with self.env.begin() as transaction:
            return {bytes(k): bytes(v) for k, v in transaction.cursor()}

    def close(self):
        self.env.close()


class Sqlite:
    file = "data.db"

    def __init__(self, folder):
        self.db = apsw.Connection(str(folder / self.file))
        self.db.execute("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL")
        self.db.execute("CREATE TABLE IF NOT EXISTS f (k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID")

    def commit(self, rows):
        with self.db:
            self.db.executemany("INSERT OR REPLACE INTO f VALUES (?, ?)", rows)

    def rows(self):
        return dict(self.db.execute("SELECT k, v FROM f"))

    def close(self):
        self.db.close()


class Log:
    file = "data.log"

    def __init__(self, folder):
        self.path = folder / self.file
        self.fd = os.open(self.path, os.O_CREAT | os.O_RDWR | os.O_APPEND)

    def commit(self, rows):
        out = b"".join(
            struct.pack("<QHI", xxhash.xxh3_64_intdigest(k + v), len(k), len(v)) + k + v for k, v in rows
        )
        os.write(self.fd, out)
        os.fdatasync(self.fd)

    def rows(self):
        data, at, found = self.path.read_bytes(), 0, {}
        while at + 14 <= len(data):
            digest, keys, values = struct.unpack_from("<QHI", data, at)
            key, value = data[at + 14 : at + 14 + keys], data[at + 14 + keys : at + 14 + keys + values]
            if len(key) + len(value) < keys + values or xxhash.xxh3_64_intdigest(key + value) != digest:
                break  # what follows can't be found any more
            found[key], at = value, at + 14 + keys + values
        return found

    def close(self):
        os.close(self.fd)


KINDS = {"lmdb": Lmdb, "sqlite": Sqlite, "log": Log}


def filings():
    source = random.Random(1)
    for n in range(FILINGS):
        key = b"boekhoud-net/filing-submit/%016x" % source.getrandbits(64)
        yield key, (b"%06d" % n) + source.randbytes(BODY)


def fill(kind, folder, group):
    store, rows, took = KINDS[kind](folder), list(filings()), []
    for at in range(0, len(rows), group):
        began = time.perf_counter()
        store.commit(rows[at : at + group])
        took.append(time.perf_counter() - began)
    store.close()
    return sorted(took)


def read(kind, folder):
    """In a process of its own: how many filings are there, and whether each is as it was written."""
    known = dict(filings())
    try:
        found = KINDS[kind](Path(folder)).rows()
    except (lmdb.Error, apsw.Error, OSError) as error:
        return print("error", type(error).__name__)
    wrong = sum(known.get(k) != v for k, v in found.items())
    print("wrong" if wrong else "all" if len(found) == FILINGS else "fewer, unsaid", len(found))


def damage(kind, folder, cut):
    ends, source = Counter(), random.Random(2)
    for _ in range(CUTS):
        with tempfile.TemporaryDirectory() as other:
            shutil.copytree(folder, other, dirs_exist_ok=True)
            path = Path(other, KINDS[kind].file)
            at = source.randrange(path.stat().st_size)
            with path.open("r+b") as file:
                if cut:
                    file.truncate(at)
                else:
                    file.seek(at)
                    was = file.read(1)
                    file.seek(at)
                    file.write(bytes((was[0] ^ 1 << source.randrange(8),)))
            done = subprocess.run(
                [sys.executable, "-m", "benchmarks.store_choice", "--read", kind, other],
                capture_output=True,
                text=True,
                timeout=60,
            )
            ends[
                f"killed by signal {-done.returncode}"
                if done.returncode < 0
                else " ".join(done.stdout.split()[:2]).rstrip("0123456789 ") or "crash"
            ] += 1
    return dict(ends)


def main(base):
    print(f"{FILINGS} filings of {BODY} bytes")
    for kind in KINDS:
        for group in GROUPS:
            folder = Path(tempfile.mkdtemp(dir=base))
            took = fill(kind, folder, group)
            size = sum(f.stat().st_size for f in folder.iterdir() if f.name != "lock.mdb")
            print(
                f"{kind:7} group {group:3}: commit p50 {took[len(took) // 2] * 1e3:6.2f} ms  "
                f"p99 {took[int(len(took) * 0.99)] * 1e3:6.2f} ms  "
                f"{FILINGS / sum(took):7.0f} filings/s  {size / 1024:6.0f} KB",
                flush=True,
            )
            if group == GROUPS[-1]:
                for name, cut in (("cut", True), ("one bit changed", False)):
                    print(f"{kind:7} {name}: {damage(kind, folder, cut)}", flush=True)
            shutil.rmtree(folder)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--read"]:
        read(*sys.argv[2:])
    else:
        main(sys.argv[1] if len(sys.argv) > 1 else None)
