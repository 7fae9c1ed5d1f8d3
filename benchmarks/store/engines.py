"""Three ways to keep filings on disk, side by side: LMDB, SQLite and an append-only log.

For each: latency of a durable commit of 1 and of 16 filings, size on disk of all of them, and what a reader
makes of a file that was cut at some place or had one bit changed. Damage is read in a process of its own,
for a reader may die of it.
"""

import argparse
import random
import shutil
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from benchmarks.shared.revisions import ROOT
from benchmarks.shared.samples import MEDIAN, P99, percentile_ms
from benchmarks.store.engine_kinds import ENGINES, Row, UnreadableStoreError

FILINGS = 4000
BODY_BYTES = 300
GROUP_SIZES = (1, 16)  # filings in one commit
DAMAGED_COPIES = 60
READ_TIMEOUT_S = 60
LOCK_FILE = "lock.mdb"  # LMDB's, no data
BYTES_PER_KB = 1024


class Damage(StrEnum):
    """What is done to a file."""

    CUT = "cut"
    BIT_CHANGED = "one bit changed"


class ReadOutcome(StrEnum):
    """What a reader found in a file."""

    COMPLETE = "all"
    FEWER = "fewer, unsaid"
    WRONG = "wrong"
    ERROR = "error"
    CRASH = "crash"


@dataclass(frozen=True)
class WriteFigures:
    """Latencies of commits in seconds, and what all filings take on disk."""

    commit_s: list[float]
    size_bytes: int

    @property
    def filings_per_s(self) -> float:
        """Filings committed a second."""
        return FILINGS / sum(self.commit_s)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument(
        "folder", nargs="?", type=Path, help="on the disk to measure; a temporary one by default"
    )
    parser.add_argument("--read", choices=list(ENGINES), help="only read a folder that was damaged")


def run(arguments: argparse.Namespace) -> int:
    """Measure each engine and print its lines."""
    if arguments.read:
        print(read_outcome(arguments.read, arguments.folder))
        return 0
    print(f"{FILINGS} filings of {BODY_BYTES} bytes")
    for engine in ENGINES:
        for group_size in GROUP_SIZES:
            with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
                print_written(engine, group_size, written(engine, Path(folder), group_size))
                if group_size == GROUP_SIZES[-1]:
                    for damage in Damage:
                        outcomes = outcomes_of_damage(engine, Path(folder), damage)
                        print(f"{engine:7} {damage}: {dict(outcomes)}", flush=True)
    return 0


def filings() -> Iterator[Row]:
    """The rows that are written: the same each time."""
    rng = random.Random(1)
    for number in range(FILINGS):
        key = b"boekhoud-net/filing-submit/%016x" % rng.getrandbits(64)
        yield key, (b"%06d" % number) + rng.randbytes(BODY_BYTES)


def written(engine: str, folder: Path, group_size: int) -> WriteFigures:
    """Write all filings into a folder, so many in a commit."""
    store, rows, commit_s = ENGINES[engine](folder), list(filings()), []
    for start in range(0, len(rows), group_size):
        began_s = time.perf_counter()
        store.commit(rows[start : start + group_size])
        commit_s.append(time.perf_counter() - began_s)
    store.close()
    size_bytes = sum(file.stat().st_size for file in folder.iterdir() if file.name != LOCK_FILE)
    return WriteFigures(commit_s, size_bytes)


def read_outcome(engine: str, folder: Path) -> ReadOutcome:
    """How many filings are in a folder, and whether each is as it was written."""
    expected = dict(filings())
    try:
        found = ENGINES[engine](folder).rows()
    except UnreadableStoreError:
        return ReadOutcome.ERROR
    if any(expected.get(key) != value for key, value in found.items()):
        return ReadOutcome.WRONG
    return ReadOutcome.COMPLETE if len(found) == FILINGS else ReadOutcome.FEWER


def outcomes_of_damage(engine: str, folder: Path, damage: Damage) -> Counter[str]:
    """What a reader made of damaged copies of a folder."""
    outcomes: Counter[str] = Counter()
    rng = random.Random(2)
    for _ in range(DAMAGED_COPIES):
        with tempfile.TemporaryDirectory() as copy:
            shutil.copytree(folder, copy, dirs_exist_ok=True)
            _damage(Path(copy, ENGINES[engine].file_name), damage, rng)
            outcomes[_read_in_own_process(engine, Path(copy))] += 1
    return outcomes


def print_written(engine: str, group_size: int, figures: WriteFigures) -> None:
    """Print the line of one engine with groups of one size."""
    print(
        f"{engine:7} group {group_size:3}: commit p50 {percentile_ms(figures.commit_s, MEDIAN):6.2f} ms  "
        f"p99 {percentile_ms(figures.commit_s, P99):6.2f} ms  "
        f"{figures.filings_per_s:7.0f} filings/s  {figures.size_bytes / BYTES_PER_KB:6.0f} KB",
        flush=True,
    )


def _damage(path: Path, damage: Damage, rng: random.Random) -> None:
    position = rng.randrange(path.stat().st_size)
    with path.open("r+b") as file:
        if damage is Damage.CUT:
            file.truncate(position)
            return
        file.seek(position)
        byte = file.read(1)[0]
        file.seek(position)
        file.write(bytes((byte ^ 1 << rng.randrange(8),)))


def _read_in_own_process(engine: str, folder: Path) -> str:
    command = [sys.executable, "-m", "benchmarks", "store-engines", "--read", engine, str(folder)]
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=READ_TIMEOUT_S, check=False
    )
    if completed.returncode < 0:
        return f"killed by signal {-completed.returncode}"
    return completed.stdout.strip() or ReadOutcome.CRASH
