"""What one small read costs in processor time on each front, beside an earlier revision.

`python -m benchmarks read-cost REVISION` compares the revision with this tree in alternation. With
`--capture` instead of a revision: AJP reads of this tree without and with its load captured; with `--peers
N`: alone and in a fleet with N more workers, which are idle. With `--side-by-side` both revisions run all
the while and take turns of a few reads, for a machine that is busy with other things; each figure is then
of all its turns together.
"""

import argparse
import statistics
import tempfile
from collections.abc import Callable
from contextlib import ExitStack, closing
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.shared.paired_runs import Pair, paired_rounds, ratio_summary
from benchmarks.shared.peer_tables import peer_tables
from benchmarks.shared.process_usage import cpu_s, main_thread_cpu_s
from benchmarks.shared.revisions import ROOT, checked_out
from benchmarks.shared.samples import US_PER_S
from benchmarks.shared.stand_ins import WorkerProcess
from benchmarks.shared.workers import (
    Front,
    ReadClient,
    equal_tenants,
    large_machine_settings,
    start_instant_worker,
)

WARMUP_READS = 300
READS_A_TURN = 50  # of runs side by side
TENANTS = ("acme", "b", "c")
TENANT_QUOTA_PER_S = 1e4
RETRY_BUDGET_A_S = 20

Cost = Callable[[], float]


@dataclass(frozen=True)
class SideBySideCost:
    """Processor time of a read in us over all turns; the median ratio now/before of pairs of turns."""

    before_us: float
    now_us: float
    median_ratio: float
    turns: int


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    compared = parser.add_mutually_exclusive_group(required=True)
    compared.add_argument("revision", nargs="?", help="the earlier one")
    compared.add_argument("--capture", action="store_true", help="AJP reads without and with [capture]")
    compared.add_argument("--peers", type=int, metavar="N", help="AJP reads alone and in a fleet of N more")
    parser.add_argument("--side-by-side", action="store_true", help="both revisions run at once")
    parser.add_argument("--reads", type=int, default=4000, help="of a round")
    parser.add_argument("--rounds", type=int, default=5)


def run(arguments: argparse.Namespace) -> int:
    """Compare what was asked for, and print each round and the ratio."""
    if arguments.peers:
        _compare_fleet(arguments)
    elif arguments.capture:
        _compare_capture(arguments)
    else:
        _compare_revisions(arguments)
    return 0


def read_cost_us(root: Path, front: Front, reads: int, **tables: Any) -> float:
    """Processor time of one read in us, of a worker of its own; `tables` are those of its configuration."""
    with closing(_start(root, front, **tables)) as worker:
        client = ReadClient(worker, front)
        client.read_many(WARMUP_READS)
        began_s = cpu_s(worker.process.pid)
        client.read_many(reads)
        return (cpu_s(worker.process.pid) - began_s) / reads * US_PER_S


def read_cost_in_fleet_us(reads: int, other_workers: int) -> float:
    """The same of one worker whose fleet has so many more, which are idle."""
    budget = {"name": "again", "use": "repeats", "amount": RETRY_BUDGET_A_S, "floor_lease_s": 2}
    own_table, *other_tables = peer_tables(other_workers + 1, budget)
    with ExitStack() as stack:
        for number, table in enumerate(other_tables):
            stack.enter_context(
                closing(WorkerProcess(thrift=False, ajp=True, peers=table, name=f"n{number + 2}"))
            )
        return read_cost_us(ROOT, Front.AJP, reads, peers=own_table)


def side_by_side_cost(before: Path, front: Front, turns: int) -> SideBySideCost:
    """Processor time of a read in us, of both revisions running at once and reading in alternation."""
    with closing(_start(before, front)) as earlier, closing(_start(ROOT, front)) as present:
        pairs = list(paired_rounds(turns, _turn_of(earlier, front), _turn_of(present, front)))
    return SideBySideCost(
        statistics.fmean(pair.before for pair in pairs),
        statistics.fmean(pair.now for pair in pairs),
        statistics.median(pair.now / pair.before for pair in pairs),
        len(pairs),
    )


def _start(root: Path, front: Front, **tables: Any) -> WorkerProcess:
    settings = large_machine_settings()
    settings["Tenants"] = equal_tenants(TENANTS, TENANT_QUOTA_PER_S)
    return start_instant_worker(front, settings, root, **tables)


def _turn_of(worker: WorkerProcess, front: Front) -> Cost:
    """A turn of a worker that is warm: processor time of a read in us."""
    client = ReadClient(worker, front)
    client.read_many(WARMUP_READS)

    def turn() -> float:
        began_s = main_thread_cpu_s(worker.process.pid)
        client.read_many(READS_A_TURN)
        return (main_thread_cpu_s(worker.process.pid) - began_s) / READS_A_TURN * US_PER_S

    return turn


def _compare_fleet(arguments: argparse.Namespace) -> None:
    alone = partial(read_cost_us, ROOT, Front.AJP, arguments.reads)
    in_fleet = partial(read_cost_in_fleet_us, arguments.reads, arguments.peers)
    _compare(Front.AJP, arguments, alone, in_fleet)


def _compare_capture(arguments: argparse.Namespace) -> None:
    with tempfile.TemporaryDirectory() as folder:
        capture = {"folder": str(Path(folder, "load"))}
        plain = partial(read_cost_us, ROOT, Front.AJP, arguments.reads)
        captured = partial(read_cost_us, ROOT, Front.AJP, arguments.reads, capture=capture)
        _compare(Front.AJP, arguments, plain, captured)


def _compare_revisions(arguments: argparse.Namespace) -> None:
    with checked_out(arguments.revision) as before:
        for front in Front:
            if arguments.side_by_side:
                turns = arguments.rounds * arguments.reads // READS_A_TURN
                _print_side_by_side(front, side_by_side_cost(before, front, turns))
                continue
            cost_before = partial(read_cost_us, before, front, arguments.reads)
            cost_now = partial(read_cost_us, ROOT, front, arguments.reads)
            _compare(front, arguments, cost_before, cost_now)


def _compare(front: Front, arguments: argparse.Namespace, before: Cost, now: Cost) -> None:
    """Measure both in alternation; print each round, and the ratio of all."""
    pairs: list[Pair[float]] = []
    for pair in paired_rounds(arguments.rounds, before, now):
        pairs.append(pair)
        print(f"{front}: {pair.before:.0f} us before, {pair.now:.0f} us now", flush=True)
    print(f"{front}: now/before {ratio_summary(pairs)}, {arguments.reads} reads a round")


def _print_side_by_side(front: Front, cost: SideBySideCost) -> None:
    print(
        f"{front}, side by side: {cost.before_us:.1f} us before, {cost.now_us:.1f} us now, "
        f"now/before {cost.now_us / cost.before_us:.3f}; median of {cost.turns} pairs of turns "
        f"{cost.median_ratio:.3f}",
        flush=True,
    )
