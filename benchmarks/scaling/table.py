"""The tables of slopes in docs/CAPACITY.md, of two files that `python -m benchmarks scaling --json` wrote."""

import argparse
from collections.abc import Iterator
from pathlib import Path

from benchmarks.scaling.measure import ScalingReport
from benchmarks.scaling.probe import Limit
from benchmarks.scaling.slopes import Slope

LEAST_GROWTH = 0.02  # of the base, under which a line is printed as flat
MISSING = "-"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("before", type=Path)
    parser.add_argument("now", type=Path)


def run(arguments: argparse.Namespace) -> int:
    """Print both tables."""
    before, now = ScalingReport.from_file(arguments.before), ScalingReport.from_file(arguments.now)
    for line in (*slope_table(before, now), "", *limit_table(before, now)):
        print(line)
    return 0


def slope_table(before: ScalingReport, now: ScalingReport) -> Iterator[str]:
    """The lines of all measures, in Markdown."""
    yield (
        f"| slope (by what, up to, goal) | measure | {before.version}: line | residual / power | at the "
        f"largest | {now.version}: line | residual / power | at the largest |"
    )
    yield "| --- " * 8 + "|"
    for old, new in _paired(before, now):
        slope = old or new
        if slope is None:
            continue
        head = f"{slope.name} ({slope.grows_with}, {slope.largest_size:,}, {_number(slope.goal)})"
        for measure in slope.lines:
            yield _row(head, measure, *_line_cells(old, measure), *_line_cells(new, measure))
            head = ""


def limit_table(before: ScalingReport, now: ScalingReport) -> Iterator[str]:
    """Where limits are met, in Markdown."""
    yield f"| slope | bound | goal | {before.version} breaks at | {now.version} breaks at |"
    yield "| --- " * 5 + "|"
    for old, new in _paired(before, now):
        slope = old or new
        if slope is None:
            continue
        for check in slope.limits:
            limit = check.limit
            text = f"{limit.measure} <= {_number(limit.most)}: {limit.reason}"
            yield _row(
                slope.name, text, f"{slope.goal:,}", _crossing_cell(old, limit), _crossing_cell(new, limit)
            )


def _paired(before: ScalingReport, now: ScalingReport) -> list[tuple[Slope | None, Slope | None]]:
    """The slopes of both by name, those of the earlier report first."""
    old = {slope.name: slope for slope in before.slopes}
    new = {slope.name: slope for slope in now.slopes}
    return [(old.get(name), new.get(name)) for name in dict.fromkeys([*old, *new])]


def _line_cells(slope: Slope | None, measure: str) -> tuple[str, str, str]:
    """The line, its residual and power, and the value at the largest size."""
    if slope is None or measure not in slope.lines:
        return MISSING, MISSING, MISSING
    line = slope.lines[measure]
    grows = abs(line.slope * slope.largest_size) > LEAST_GROWTH * abs(line.base)
    text = f"{_number(line.base)} + {line.slope:.3g} n" if grows else _number(line.base)
    return text, f"{line.residual:.2f} / {line.power:.1f}", _number(slope.at_largest_size(measure))


def _crossing_cell(slope: Slope | None, limit: Limit) -> str:
    if slope is None:
        return MISSING
    check = next(
        check
        for check in slope.limits
        if (check.limit.measure, check.limit.most) == (limit.measure, limit.most)
    )
    share = check.share_of_goal(slope.goal)
    if check.crossing.size is None or share is None:
        return "over 10 goals, worked out"
    worked_out = "" if check.crossing.measured else ", worked out"
    return f"{_number(check.crossing.size)} ({share:.1%}){worked_out}"


def _number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _row(*cells: str) -> str:
    return f"| {' | '.join(cells)} |"
