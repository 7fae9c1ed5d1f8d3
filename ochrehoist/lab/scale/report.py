"""What is said of scale runs: lines for the terminal, and a page with plots. No I/O."""

from collections.abc import Iterator, Sequence
from typing import Any

from ochrehoist.lab.scale.results import RunRecord
from ochrehoist.lab.scale.slopes import (
    FIGURES,
    Slope,
    comparison,
    figure_points,
    slopes,
)
from ochrehoist.plan.report import Table, page

BYTES_PER_MB = 1e6
SPREAD_KEYS = ("p50", "max")
RELOAD_KEYS = ("held_ms", "in_force_ms")


def calibration_lines(runs: Sequence[RunRecord]) -> list[str]:
    """A line for each figure by which hollow workers are off by more than the calibration allows."""
    checks = [run["check"] for run in runs if run.get("check_valid")]
    if not checks:
        return ["not checked against real workers: run `ochrehoist lab scale --check` into the same file"]
    return [
        f"{key}: real workers have {check['factor']:.2f} times that of as many hollow ones; figures are as "
        "measured, not corrected"
        for key, check in checks[-1].items()
        if not check["within"] and check["factor"]
    ]


def run_lines(run: RunRecord) -> list[str]:
    """What the terminal says of one run."""
    return [
        _header_line(run),
        *_rest_lines(run),
        *map(_fault_line, run.get("faults", ())),
        *(_reload_line(number, change) for number, change in enumerate(run.get("changes", ()), 1)),
        *(_check_line(key, check) for key, check in run.get("check", {}).items()),
        *(f"  note: {note}" for note in run["notes"]),
    ]


def _header_line(run: RunRecord) -> str:
    spec = run["spec"]
    machine = run["machine"]
    return (
        f"{spec['members']} members ({spec['real']} real) at pace {spec['pace']:g}, seed {spec['seed']}, "
        f"version {run['version']}: {run['ended']}; {run['processes']} processes, {run['peak_mb']:.0f} MB "
        f"at the most, load {machine['load'][0]:g} on {machine['cores']} cores"
    )


def _rest_lines(run: RunRecord) -> Iterator[str]:
    if "rest" not in run:
        return
    for figure in FIGURES:
        value = figure.read(run)
        if value is not None:
            yield f"  {figure.name}: {value:.3f} {figure.unit}"
    yield f"  the harness itself: {100 * run['empty_cpu_share']:.3f} % of a core for each, empty"


def _fault_line(fault: dict[str, Any]) -> str:
    recovery = f"not whole after {fault['waited_s']:g} s"
    if fault["whole_after_s"] is not None:
        recovery = f"whole after {fault['whole_after_s']:g} s"
    return (
        f"  {fault['kind']}, {fault['struck']} struck: {recovery}; "
        f"{fault['bytes_out'] / BYTES_PER_MB:.2f} MB moved, "
        f"{fault['bytes_out_beyond_rest'] / BYTES_PER_MB:+.2f} beyond rest"
    )


def _reload_line(number: int, change: dict[str, Any]) -> str:
    held = change["held_ms"] or {}
    in_force = change["in_force_ms"] or {}
    return (
        f"  change {number}: {change['reached']} have it after {change['all_s']:g} s; reading it held each "
        f"up {held.get('p50', 0):.1f} ms ({held.get('max', 0):.1f} at the most), in force after "
        f"{in_force.get('p50', 0):.1f} ms"
    )


def _check_line(key: str, check: dict[str, Any]) -> str:
    factor = "-" if check["factor"] is None else f"{check['factor']:.2f}"
    outcome = "within 15%" if check["within"] else "OUT"
    return f"  {key}: hollow {check['hollow']:.4g}, real {check['real']:.4g}: times {factor}, {outcome}"


def slope_lines(lines: dict[str, Slope]) -> list[str]:
    """What the terminal says of fitted lines."""
    return [
        f"{name}: {line['at_none']:.4g} + {line['per_member']:.4g} for each member, residual "
        f"{line['residual']:.3g}, {line['runs']} runs from {line['from']:g} to {line['to']:g}"
        for name, line in lines.items()
    ]


def html_page(runs: Sequence[RunRecord], made: str, other: Sequence[RunRecord] | None = None) -> str:
    """The page, with plots; `made` says how it was made, `other` is a result to compare with."""
    lines = slopes(runs)
    tables = [
        _rest_table(runs),
        _slope_table(lines),
        _fault_table(runs),
        _reload_table(runs),
        _run_table(runs),
    ]
    if other is not None:
        tables.insert(1, comparison(runs, other))
    notes = calibration_lines(runs)
    notes += [f"{run['spec']['members']} members: {note}" for run in runs for note in run["notes"]]
    data = {"plots": _plots(runs, lines), "runs": list(runs)}
    return page("scale", "Scale run", made, data, tables, notes)


def _plots(runs: Sequence[RunRecord], lines: dict[str, Slope]) -> list[dict[str, Any]]:
    return [
        {
            "name": figure.name,
            "unit": figure.unit,
            "points": [list(point) for point in figure_points(runs, figure)],
            "fit": lines.get(figure.name),
        }
        for figure in FIGURES
    ]


def _rest_table(runs: Sequence[RunRecord]) -> Table:
    heads = ["", "unit", *(f"{run['spec']['members']}, seed {run['spec']['seed']}" for run in runs)]
    rows = [[figure.name, figure.unit, *(figure.read(run) for run in runs)] for figure in FIGURES]
    return ("For each worker, at rest", heads, rows)


def _slope_table(lines: dict[str, Slope]) -> Table:
    heads = ["", "at none", "for each member", "residual", "from", "to", "runs"]
    rows: list[list[Any]] = [
        [
            name,
            line["at_none"],
            line["per_member"],
            line["residual"],
            line["from"],
            line["to"],
            line["runs"],
        ]
        for name, line in lines.items()
    ]
    return ("Slopes", heads, rows)


def _fault_table(runs: Sequence[RunRecord]) -> Table:
    heads = ["members", "kind", "struck", "whole after s", "MB moved", "MB beyond rest", "late s"]
    rows = [
        [
            run["spec"]["members"],
            fault["kind"],
            fault["struck"],
            fault["whole_after_s"],
            fault["bytes_out"] / BYTES_PER_MB,
            fault["bytes_out_beyond_rest"] / BYTES_PER_MB,
            fault["late_s"],
        ]
        for run in runs
        for fault in run.get("faults", ())
    ]
    return ("Faults", heads, rows)


def _reload_table(runs: Sequence[RunRecord]) -> Table:
    heads = ["members", "reached", "after s", "held up ms p50", "max", "in force ms p50", "max"]
    rows = [
        [
            run["spec"]["members"],
            change["reached"],
            change["all_s"],
            *((change[key] or {}).get(part) for key in RELOAD_KEYS for part in SPREAD_KEYS),
        ]
        for run in runs
        for change in run.get("changes", ())
    ]
    return ("Changes", heads, rows)


def _run_table(runs: Sequence[RunRecord]) -> Table:
    heads = ["members", "version", "date", "ended", "load", "cores", "MB at the most", "pace"]
    rows = [
        [
            run["spec"]["members"],
            run["version"],
            run["date"],
            run["ended"],
            run["machine"]["load"][0],
            run["machine"]["cores"],
            run["peak_mb"],
            run["spec"]["pace"],
        ]
        for run in runs
    ]
    return ("Runs", heads, rows)
