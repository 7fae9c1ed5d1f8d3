"""Kills under load: no filing may run twice, none may be rejected once it ran, and no store may be lost.

Workers on folders of their own are killed at random moments under the load of their clients, and started
again; every run is counted by the server that ran it. The same with `--without` a store is the baseline.
The exit code is 1 where a filing ran twice, ended wrongly, or a store lost data.
"""

import argparse
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.shared.stand_ins import CrashLoad

MAX_PRINTED_VIOLATIONS = 10


@dataclass
class KillFigures:
    """What came of so many kills. `violations`: wrong ends of filings, and losses of stores."""

    kills: int = 0
    filings: int = 0
    filings_run_twice: int = 0
    violations: list[Any] = field(default_factory=list)
    ends: Counter[Any] = field(default_factory=Counter)

    def add(self, other: "KillFigures") -> None:
        """Count those of another folder too."""
        self.kills += other.kills
        self.filings += other.filings
        self.filings_run_twice += other.filings_run_twice
        self.violations += other.violations
        self.ends += other.ends


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("kills", nargs="?", type=int, default=2000)
    parser.add_argument("processes", nargs="?", type=int, default=4)
    parser.add_argument("--without", action="store_true", help="without a store")
    parser.add_argument("--each", type=int, default=50, help="kills on one folder")


def run(arguments: argparse.Namespace) -> int:
    """Kill workers on as many folders as it takes, and print the counts as they grow."""
    folders = -(-arguments.kills // arguments.each)
    total, began_s = KillFigures(), time.monotonic()
    with ProcessPoolExecutor(arguments.processes) as pool:
        for figures in pool.map(
            kills_on_one_folder,
            range(folders),
            [arguments.each] * folders,
            [not arguments.without] * folders,
        ):
            total.add(figures)
            print_counts(total, time.monotonic() - began_s)
    print("ends by status:", dict(total.ends))
    for violation in total.violations[:MAX_PRINTED_VIOLATIONS]:
        print("wrong:", violation)
    return 1 if total.filings_run_twice or total.violations else 0


def kills_on_one_folder(seed: int, kills: int, with_store: bool) -> KillFigures:
    """Kill workers on one folder, at moments of the seed."""
    with tempfile.TemporaryDirectory() as folder:
        harness = CrashLoad(Path(folder, "state"), seed, state=with_store)
        harness.run(kills)
        return KillFigures(
            kills=kills,
            filings=len(harness.server.runs),
            filings_run_twice=len(harness.run_twice),
            violations=[*harness.wrong, *harness.losses],
            ends=harness.outcomes,
        )


def print_counts(total: KillFigures, elapsed_s: float) -> None:
    """Print a line of what came so far."""
    print(
        f"{total.kills} kills, {total.filings} filings ran, {total.filings_run_twice} of them twice, "
        f"{len(total.violations)} wrong ends or losses; {elapsed_s:.0f} s",
        flush=True,
    )
