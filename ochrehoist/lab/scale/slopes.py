"""How figures grow with the members: lines over runs of several sizes, two results compared. No I/O."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypedDict

import numpy as np

from ochrehoist.lab.scale.results import COMPLETE, RunRecord
from ochrehoist.plan.report import Table

MIN_SIZES = 3  # that a line is fitted over
BYTES_TO_KB = 1e-3
FRACTION_TO_PERCENT = 100.0

# A line: value = `at_none` + `per_member` x members, fitted over `runs` runs `from` so many members `to` so
# many. `residual`: the root of the mean square, in the value's unit.
Slope = TypedDict(
    "Slope",
    {"per_member": float, "at_none": float, "residual": float, "from": float, "to": float, "runs": int},
)


@dataclass(frozen=True)
class Figure:
    """One figure of a run; `read` returns None where the run has none."""

    name: str
    unit: str
    read: Callable[[RunRecord], float | None]


def _at_rest(*keys: str, scale: float = 1.0) -> Callable[[RunRecord], float | None]:
    """Reads a number below `rest`."""

    def read(run: RunRecord) -> float | None:
        value: Any = run.get("rest", {})
        for key in keys:
            value = value.get(key) if isinstance(value, dict) else value
        return value * scale if isinstance(value, int | float) else None

    return read


def _join_time_s(run: RunRecord) -> float | None:
    """None of a run that began with its members introduced."""
    if run["spec"].get("met"):
        return None
    join_time_s: float | None = run.get("join", {}).get("all_s")
    return join_time_s


FIGURES = (
    Figure("bytes out p50", "kB/s", _at_rest("hollow", "bytes_out_per_s", "p50", scale=BYTES_TO_KB)),
    Figure("bytes out max", "kB/s", _at_rest("hollow", "bytes_out_per_s", "max", scale=BYTES_TO_KB)),
    Figure("bytes in p50", "kB/s", _at_rest("hollow", "bytes_in_per_s", "p50", scale=BYTES_TO_KB)),
    Figure("bytes in max", "kB/s", _at_rest("hollow", "bytes_in_per_s", "max", scale=BYTES_TO_KB)),
    Figure("messages out p50", "1/s", _at_rest("hollow", "sent_per_s", "p50")),
    Figure("messages out max", "1/s", _at_rest("hollow", "sent_per_s", "max")),
    Figure("messages in p50", "1/s", _at_rest("hollow", "received_per_s", "p50")),
    Figure("processor", "% of a core", _at_rest("cpu_share", scale=FRACTION_TO_PERCENT)),
    Figure(
        "of it peers p50", "% of a core", _at_rest("hollow", "peers_cpu_s", "p50", scale=FRACTION_TO_PERCENT)
    ),
    Figure(
        "of it peers max", "% of a core", _at_rest("hollow", "peers_cpu_s", "max", scale=FRACTION_TO_PERCENT)
    ),
    Figure("memory of one", "MB", _at_rest("rss_mb")),
    Figure("state of others", "bytes", _at_rest("state_bytes", "p50")),
    Figure("beat of the module p50", "ms", _at_rest("beat_ms", "p50")),
    Figure("beat of the module max", "ms", _at_rest("beat_ms", "max")),
    Figure("all know all", "s", _join_time_s),
)


def comparable_runs(runs: Sequence[RunRecord]) -> list[RunRecord]:
    """The runs that lines are fitted over: complete, without real workers, and trusted."""
    return [
        run
        for run in runs
        if run["ended"] == COMPLETE and not run["spec"]["real"] and run.get("trusted", True)
    ]


def figure_points(runs: Sequence[RunRecord], figure: Figure) -> list[tuple[float, float]]:
    """Members and value of each comparable run that has the figure."""
    values = [(run["spec"]["members"], figure.read(run)) for run in comparable_runs(runs)]
    return [(members, value) for members, value in values if value is not None]


def slope(points: Sequence[tuple[float, float]]) -> Slope | None:
    """The line of least squares; None for fewer than MIN_SIZES sizes."""
    if len({members for members, _ in points}) < MIN_SIZES:
        return None
    members, values = np.array(points, dtype=float).T
    per_member, at_none = np.polyfit(members, values, 1)
    residual = float(np.sqrt(np.mean((values - at_none - per_member * members) ** 2)))
    return {
        "per_member": float(per_member),
        "at_none": float(at_none),
        "residual": residual,
        "from": float(members.min()),
        "to": float(members.max()),
        "runs": len(points),
    }


def slopes(runs: Sequence[RunRecord]) -> dict[str, Slope]:
    """The line of each figure that has one, by the figure's name."""
    lines = {figure.name: slope(figure_points(runs, figure)) for figure in FIGURES}
    return {name: line for name, line in lines.items() if line is not None}


def comparison(runs: Sequence[RunRecord], other: Sequence[RunRecord]) -> Table:
    """Lines of two results side by side; a figure without a line by its value at the largest common size."""
    own_slopes = slopes(runs)
    other_slopes = slopes(other)
    sizes = {run["spec"]["members"] for run in runs} & {run["spec"]["members"] for run in other}
    rows: list[list[Any]] = []
    for figure in FIGURES:
        if figure.name in own_slopes and figure.name in other_slopes:
            rows.append(_slope_row(figure, other_slopes[figure.name], own_slopes[figure.name]))
        elif sizes:
            rows.append(_value_row(figure, max(sizes), other, runs))
    other_versions, own_versions = (
        ", ".join(sorted({run["version"] for run in side})) for side in (other, runs)
    )
    heads = ["", other_versions, "residual", own_versions, "residual", "times"]
    return ("Against another result", heads, rows)


def _slope_row(figure: Figure, before: Slope, now: Slope) -> list[Any]:
    ratio = now["per_member"] / before["per_member"] if before["per_member"] else None
    return [
        f"{figure.name}, {figure.unit} for each member",
        before["per_member"],
        before["residual"],
        now["per_member"],
        now["residual"],
        ratio,
    ]


def _value_row(
    figure: Figure, members: int, other: Sequence[RunRecord], runs: Sequence[RunRecord]
) -> list[Any]:
    before = _value_at(figure, members, other)
    now = _value_at(figure, members, runs)
    ratio = now / before if before and now is not None else None
    return [f"{figure.name}, {figure.unit}, at {members}", before, None, now, None, ratio]


def _value_at(figure: Figure, members: int, runs: Sequence[RunRecord]) -> float | None:
    """The figure of the first run of this size that has it."""
    values = (figure.read(run) for run in runs if run["spec"]["members"] == members)
    return next((value for value in values if value is not None), None)
