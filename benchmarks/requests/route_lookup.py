"""What finding the route of a request takes, beside an earlier revision.

Whole checks of AJP requests whose route is the first, in the middle, the last, or none, in tables of several
sizes; and what building the index takes, its longest step, and its memory.
"""

import argparse
import contextlib
import json
from dataclasses import asdict, dataclass
from pathlib import Path

from benchmarks.shared.revisions import BEFORE, NOW, ROOT, Tree, before_and_now
from benchmarks.shared.tree_process import Figures, measure_in_tree

DEFAULT_REVISION = "d2aafe5"
TASK_MODULE = "benchmarks.requests.route_lookup_task"
TABLE_SIZES = (3, 38, 380, 3800)
ROUTE_FORMS = {
    "mixed": ("/svc{}/*", "/svc{}/status", "/svc{}/*/detail", "/api/*/items/svc{}"),
    "prefixes": ("/svc{}/*",),
    "`/*x`: by its end": ("/*svc{}",),
    "`/*x*`: the worst": ("/*svc{:04}*",),
}


@dataclass(frozen=True)
class LookupFigures:
    """One tree's figures with one table.

    `found`: p50 and p99 of a check in us by the route's position. The others are of building the index, None
    where the tree has none.
    """

    found: dict[str, list[float]]
    built_ms: float | None = None
    longest_step_ms: float | None = None
    bytes_a_route: float | None = None


@dataclass(frozen=True)
class TableFigures:
    """Both trees with one table of routes."""

    table: str
    routes: int
    before: LookupFigures
    now: LookupFigures


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("revision", nargs="?", default=DEFAULT_REVISION, help="the earlier one")
    parser.add_argument("--root", type=Path, help="the earlier tree, instead of a revision")
    parser.add_argument("--calls", type=int, default=2000, help="checks timed at each position")
    parser.add_argument(
        "--rounds", type=int, default=3, help="in alternation; the least of each figure counts"
    )
    parser.add_argument("--json", type=Path, metavar="FILE", help="keep the figures in this file too")


def run(arguments: argparse.Namespace) -> int:
    """Measure all tables, print each, and keep them where asked to."""
    rows = []
    with contextlib.ExitStack() as stack:
        if arguments.root:
            before, now = Tree(BEFORE, arguments.root), Tree(NOW, ROOT)
        else:
            before, now = stack.enter_context(before_and_now(arguments.revision))
        for table, forms in ROUTE_FORMS.items():
            for size in TABLE_SIZES:
                task = {"forms": forms, "size": size, "calls": arguments.calls}
                rows.append(_measured_table(table, task, before, now, arguments.rounds))
                print(table_line(rows[-1]), flush=True)
    if arguments.json:
        arguments.json.write_text(json.dumps([asdict(row) for row in rows], indent=1))
    return 0


def table_line(row: TableFigures) -> str:
    """What is printed of one table."""
    parts = [f"{row.table}, {row.routes} routes, us p50/p99 before -> now:"]
    for position, (p50, p99) in row.now.found.items():
        p50_before, p99_before = row.before.found[position]
        parts.append(f"{position} {p50_before:.1f}/{p99_before:.1f} -> {p50:.1f}/{p99:.1f};")
    if row.now.built_ms is not None:
        parts.append(
            f"built in {row.now.built_ms:.2f} ms, longest step {row.now.longest_step_ms:.2f} ms, "
            f"{row.now.bytes_a_route:.0f} bytes a route"
        )
    return " ".join(parts)


def _measured_table(
    table: str, task: dict[str, object], before: Tree, now: Tree, rounds: int
) -> TableFigures:
    measured_before, measured_now = [], []
    for _ in range(rounds):
        measured_before.append(measure_in_tree(before.root, TASK_MODULE, task))
        measured_now.append(measure_in_tree(now.root, TASK_MODULE, task))
    return TableFigures(table, int(str(task["size"])), _least(measured_before), _least(measured_now))


def _least(rounds: list[Figures]) -> LookupFigures:
    """The least of each figure: what else runs on the machine only adds."""
    found = {
        position: [min(figures["found"][position][at] for figures in rounds) for at in (0, 1)]
        for position in rounds[0]["found"]
    }
    others = {name: min(figures[name] for figures in rounds) for name in rounds[0] if name != "found"}
    return LookupFigures(found, **others)
