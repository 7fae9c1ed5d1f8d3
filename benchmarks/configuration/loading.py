"""What reading a configuration takes, at several sizes, beside an earlier revision in alternation.

For each size, with routes in proportion (3,800 at 58,000 tenants), as an appliance's TOML and as the
platform's JSON: the first reading, and from that a change of one tenant, of one route, of 100 tenants
scattered over the file, and none. Of each the median of the rounds of: processor time, the longest step in
processor time, and memory above that of the smallest size, with both configurations held.
"""

import argparse
import json
import os
import statistics
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from benchmarks.configuration.loading_files import JSON, TOML, write_files
from benchmarks.configuration.loading_kinds import FileKind
from benchmarks.shared.revisions import Tree, before_and_now
from benchmarks.shared.tree_process import Figures, measure_in_tree

TASK_MODULE = "benchmarks.configuration.loading_task"
DEFAULT_SIZES = (3, 1_000, 10_000, 58_000)


@dataclass(frozen=True)
class ReadingCost:
    """One tree reading one kind of file at one size: medians of the rounds.

    Processor time in s and ms; memory in MB above that of the smallest size, after reading and at the peak.
    """

    file: str
    tenants: int
    change: str
    version: str
    processor_s: float
    longest_step_ms: float
    memory_mb: float
    most_mb: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("revision", help="the earlier one")
    parser.add_argument("--sizes", type=int, nargs="+", default=DEFAULT_SIZES, metavar="TENANTS")
    parser.add_argument("--rounds", type=int, default=3, metavar="N")
    parser.add_argument("--json", type=Path, metavar="FILE", help="keep the figures in this file too")


def run(arguments: argparse.Namespace) -> int:
    """Measure all sizes, print a line for each reading, and keep the figures where asked to."""
    print(
        f"load {os.getloadavg()[0]:.1f}; s of processor time | longest step, ms | MB above the smallest, "
        "after | at the most"
    )
    costs = []
    with before_and_now(arguments.revision) as trees:
        for suffix in (TOML, JSON):
            for cost in reading_costs(trees, suffix, arguments.sizes, arguments.rounds):
                costs.append(cost)
                print(cost_line(cost), flush=True)
    print(f"load {os.getloadavg()[0]:.1f}")
    if arguments.json:
        arguments.json.write_text(json.dumps([asdict(cost) for cost in costs], indent=1) + "\n")
    return 0


def reading_costs(
    trees: tuple[Tree, Tree], suffix: str, sizes: Sequence[int], rounds: int
) -> Iterator[ReadingCost]:
    """What each tree needs for each kind of file, size by size."""
    least_mb: dict[str, float] = {}
    for size in sizes:
        measured = _measured_rounds(trees, suffix, size, rounds)
        for kind in _compared_kinds(suffix):
            for tree in trees:
                figures = [by_tree[tree.name][kind.value] for by_tree in measured]
                least_mb.setdefault(tree.name, _median(figures, "resident_mb"))
                yield ReadingCost(
                    file=suffix.removeprefix("."),
                    tenants=size,
                    change=kind.value,
                    version=tree.name,
                    processor_s=_median(figures, "cpu_s"),
                    longest_step_ms=_median(figures, "longest_step_ms"),
                    memory_mb=_median(figures, "resident_mb") - least_mb[tree.name],
                    most_mb=_median(figures, "peak_mb") - least_mb[tree.name],
                )


def cost_line(cost: ReadingCost) -> str:
    """What is printed of one reading."""
    return (
        f"{cost.file} {cost.tenants:6} {cost.change:12} {cost.version:7} {cost.processor_s:7.3f} | "
        f"{cost.longest_step_ms:8.2f} | {cost.memory_mb:6.1f} | {cost.most_mb:6.1f}"
    )


def _measured_rounds(
    trees: tuple[Tree, Tree], suffix: str, size: int, rounds: int
) -> list[dict[str, Figures]]:
    """The figures of each round, by tree."""
    with tempfile.TemporaryDirectory() as folder:
        write_files(Path(folder), size, suffix)
        task = {"folder": folder, "suffix": suffix}
        return [
            {tree.name: measure_in_tree(tree.root, TASK_MODULE, task) for tree in trees}
            for _ in range(rounds)
        ]


def _compared_kinds(suffix: str) -> list[FileKind]:
    """A platform's file has no routes."""
    left_out = {FileKind.WARMUP} if suffix == TOML else {FileKind.WARMUP, FileKind.ONE_ROUTE}
    return [kind for kind in FileKind if kind not in left_out]


def _median(figures: list[Figures], name: str) -> float:
    return float(statistics.median(figure[name] for figure in figures))
