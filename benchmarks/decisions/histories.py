"""Random histories for the admission controller of one tree.

For each history a line of JSON: its seed, a digest of the text of all events and actions, what was counted,
and the processor time. With `--transcript` that text itself.
"""

import argparse
import hashlib
import json
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

from benchmarks.decisions.decision_api import DecisionApi
from benchmarks.decisions.history import History, QuotaChanges

MAX_DRAWN_TENANTS = 6  # of a history for which none were asked for


@dataclass(frozen=True)
class HistoryOptions:
    """Which histories are run. `tenants`: 0 stands for 1 to 6, by the seed."""

    histories: int
    seed: int
    tenants: int
    changes: QuotaChanges
    seconds: float

    def command_line(self) -> list[str]:
        """The options as arguments of this command."""
        return [part for name, value in asdict(self).items() for part in (f"--{name}", str(value))]


@dataclass(frozen=True)
class HistorySummary:
    """What is compared of one history. `cpu_s`: processor time in seconds."""

    seed: int
    digest: str
    counts: dict[str, int]
    cpu_s: float


def add_history_options(parser: argparse.ArgumentParser) -> None:
    """Declare the options that `history_options` reads."""
    parser.add_argument("--histories", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1, help="of the first history")
    parser.add_argument("--tenants", type=int, default=0, help="0: 1 to 6")
    parser.add_argument(
        "--changes",
        type=QuotaChanges,
        choices=list(QuotaChanges),
        default=QuotaChanges.ON_TICK,
        help="of quotas",
    )
    parser.add_argument("--seconds", type=float, default=15.0, help="of a history, on its own clock")


def history_options(arguments: argparse.Namespace) -> HistoryOptions:
    """Read the options that `add_history_options` declares."""
    return HistoryOptions(
        arguments.histories, arguments.seed, arguments.tenants, arguments.changes, arguments.seconds
    )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("tree", type=Path, help="the folder of the tree")
    add_history_options(parser)
    parser.add_argument("--transcript", action="store_true", help="write the text instead of its digest")


def run(arguments: argparse.Namespace) -> int:
    """Run the histories and print a line, or the transcript, of each."""
    api = DecisionApi(arguments.tree)
    options = history_options(arguments)
    if arguments.transcript:
        for history, _ in run_histories(api, options):
            print("\n".join(history.transcript))
        return 0
    for _, summary in run_histories(api, options):
        print(json.dumps(asdict(summary)), flush=True)
    return 0


def run_histories(api: DecisionApi, options: HistoryOptions) -> Iterator[tuple[History, HistorySummary]]:
    """Each history once it was run, and its summary."""
    for seed in range(options.seed, options.seed + options.histories):
        tenant_count = options.tenants or 1 + seed % MAX_DRAWN_TENANTS
        began_s = time.process_time()
        history = History(api, seed, tenant_count, options.changes, options.seconds)
        history.run()
        digest = hashlib.sha256("\n".join(history.transcript).encode()).hexdigest()
        spent_s = time.process_time() - began_s
        yield history, HistorySummary(seed, digest, dict(history.counts), spent_s)
