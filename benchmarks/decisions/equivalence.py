"""Whether the admission controller decides as an earlier revision did, over the same random histories.

    python -m benchmarks decision-equivalence 000e6de --histories 1000 --tenants 4

Each revision runs in a process of its own tree, where types may have other names. After each event the
actions must be the same, in the same order: their text is compared by a digest for each history. Of a
history that differs the first line that does is printed. Quotas change in the middle: `--changes tick`
right before a timer event, `--changes any` at any time; in half of the histories they change without an
event, in the others the controllers get one. The exit code is 1 where a history differs.
"""

import argparse
import itertools
import json
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

from benchmarks.decisions.histories import (
    HistoryOptions,
    HistorySummary,
    add_history_options,
    history_options,
)
from benchmarks.shared.revisions import ROOT, before_and_now

MAX_REPORTED_DIFFERENCES = 10
MAX_REPORT_CHARACTERS = 900


@dataclass
class Comparison:
    """What came of comparing two trees. `cpu_s`: processor time of both in seconds."""

    counts: Counter[str] = field(default_factory=Counter)
    histories: int = 0
    different_seeds: list[int] = field(default_factory=list)
    cpu_s: float = 0.0
    exit_codes: tuple[int, ...] = ()


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("revision", help="the earlier one")
    add_history_options(parser)


def run(arguments: argparse.Namespace) -> int:
    """Compare, print what differs and what was compared; 1 where a history differs."""
    options = history_options(arguments)
    with before_and_now(arguments.revision) as trees:
        before, now = (tree.root for tree in trees)
        comparison = Comparison()
        for seed in different_seeds(before, now, options, comparison):
            if len(comparison.different_seeds) <= MAX_REPORTED_DIFFERENCES:
                difference = first_difference(before, now, options, seed)
                print(f"seed {seed}: {difference}"[:MAX_REPORT_CHARACTERS], file=sys.stderr)
    print_comparison(arguments.revision, options, comparison)
    complete = comparison.exit_codes == (0, 0) and comparison.histories == options.histories
    return 0 if complete and not comparison.different_seeds else 1


def different_seeds(
    before: Path, now: Path, options: HistoryOptions, comparison: Comparison
) -> Iterator[int]:
    """Seeds whose histories differ, as they are found; `comparison` is kept up to date.

    Raises ChildProcessError where one tree's process ends before the other's.
    """
    processes = [_start_histories(tree, options) for tree in (before, now)]
    outputs = [process.stdout or () for process in processes]
    for before_line, now_line in itertools.zip_longest(*outputs):
        if before_line is None or now_line is None:
            message = f"one version stopped after {comparison.histories} histories"
            raise ChildProcessError(message)
        summary_before, summary_now = (HistorySummary(**json.loads(line)) for line in (before_line, now_line))
        comparison.counts += Counter(summary_before.counts)
        comparison.histories += 1
        comparison.cpu_s += summary_before.cpu_s + summary_now.cpu_s
        if summary_before.digest != summary_now.digest:
            comparison.different_seeds.append(summary_before.seed)
            yield summary_before.seed
    comparison.exit_codes = tuple(process.wait() for process in processes)


def first_difference(before: Path, now: Path, options: HistoryOptions, seed: int) -> str:
    """Where the history of a seed differs for the first time."""
    one = replace(options, seed=seed, histories=1)
    transcripts = [
        _start_histories(tree, one, "--transcript").communicate()[0].splitlines() for tree in (before, now)
    ]
    for line_before, line_now in itertools.zip_longest(*transcripts):
        if line_before != line_now:
            return f"was {line_before}, is {line_now}"
    return "no difference when run again"


def print_comparison(revision: str, options: HistoryOptions, comparison: Comparison) -> None:
    """Print the options and all counts as one line of JSON."""
    report: dict[str, object] = {"revision": revision} | asdict(options) | dict(comparison.counts)
    report["histories"] = comparison.histories
    report["cpu_s"] = round(comparison.cpu_s, 1)
    if comparison.different_seeds:
        report["histories that differ"] = len(comparison.different_seeds)
    print(json.dumps(report))


def _start_histories(tree: Path, options: HistoryOptions, *more: str) -> subprocess.Popen[str]:
    """Start the process that runs the histories on the controller of a tree."""
    command = [sys.executable, "-m", "benchmarks", "decision-histories", str(tree)]
    command += [*options.command_line(), *more]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
