"""What scale runs tell: slopes over sizes, two results side by side, lines and a page. No I/O."""

from collections.abc import Callable, Sequence
from typing import Any

import numpy as np

from ochrehoist.plan.report import Table, page

Run = dict[str, Any]


def _of(group: str, key: str, part: str, scale: float = 1.0) -> Callable[[Run], float | None]:
    def value(run: Run) -> float | None:
        at: Any = run.get("rest", {})
        for step in (group, key, part):
            at = at.get(step) if isinstance(at, dict) and step else at
        return at * scale if isinstance(at, int | float) else None

    return value


# Name, unit, and how it is read of a run.
FIGURES: tuple[tuple[str, str, Callable[[Run], float | None]], ...] = (
    ("bytes out p50", "kB/s", _of("hollow", "bytes_out_per_s", "p50", 1e-3)),
    ("bytes out max", "kB/s", _of("hollow", "bytes_out_per_s", "max", 1e-3)),
    ("bytes in p50", "kB/s", _of("hollow", "bytes_in_per_s", "p50", 1e-3)),
    ("bytes in max", "kB/s", _of("hollow", "bytes_in_per_s", "max", 1e-3)),
    ("messages out p50", "1/s", _of("hollow", "sent_per_s", "p50")),
    ("messages out max", "1/s", _of("hollow", "sent_per_s", "max")),
    ("messages in p50", "1/s", _of("hollow", "received_per_s", "p50")),
    ("processor", "% of a core", _of("", "cpu_share", "", 100)),
    ("of it peers p50", "% of a core", _of("hollow", "peers_cpu_s", "p50", 100)),
    ("of it peers max", "% of a core", _of("hollow", "peers_cpu_s", "max", 100)),
    ("memory of one", "MB", _of("", "rss_mb", "")),
    ("state of others", "bytes", _of("state_bytes", "", "p50")),
    ("beat of the module p50", "ms", _of("beat_ms", "", "p50")),
    ("beat of the module max", "ms", _of("beat_ms", "", "max")),
    ("all know all", "s", lambda run: None if run["spec"].get("met") else run.get("join", {}).get("all_s")),
)


def sizes(runs: Sequence[Run]) -> list[Run]:
    """The runs that slopes are made of: those that ended whole, without real workers, in time."""
    return [r for r in runs if r["ended"] == "whole" and not r["spec"]["real"] and r.get("trusted", True)]


def slope(points: Sequence[tuple[float, float]]) -> dict[str, float] | None:
    """Least squares over at least three sizes: value = `at_none` + `per_member` x members; `residual`: the
    root of the mean square, in the value's unit."""
    if len({x for x, _ in points}) < 3:
        return None
    x, y = np.array(points, dtype=float).T
    per_member, at_none = np.polyfit(x, y, 1)
    residual = float(np.sqrt(np.mean((y - at_none - per_member * x) ** 2)))
    return {
        "per_member": float(per_member),
        "at_none": float(at_none),
        "residual": residual,
        "from": float(x.min()),
        "to": float(x.max()),
        "runs": len(points),
    }


def slopes(runs: Sequence[Run]) -> dict[str, dict[str, float]]:
    out = {}
    for name, _, read in FIGURES:
        points = [(r["spec"]["members"], v) for r in sizes(runs) if (v := read(r)) is not None]
        fit = slope(points)
        if fit is not None:
            out[name] = fit
    return out


def against(mine: Sequence[Run], other: Sequence[Run]) -> Table:
    """Slopes of two results side by side; where a slope lacks, the figure at the largest size of both."""
    a, b, rows = slopes(mine), slopes(other), []
    common = {r["spec"]["members"] for r in mine} & {r["spec"]["members"] for r in other}
    for name, unit, read in FIGURES:
        if name in a and name in b:
            before, now = b[name]["per_member"], a[name]["per_member"]
            rows.append(
                [
                    f"{name}, {unit} for each member",
                    before,
                    b[name]["residual"],
                    now,
                    a[name]["residual"],
                    now / before if before else None,
                ]
            )
        elif common:
            at = max(common)
            before, now = (
                next((v for r in runs if r["spec"]["members"] == at and (v := read(r)) is not None), None)
                for runs in (other, mine)
            )
            rows.append(
                [
                    f"{name}, {unit}, at {at}",
                    before,
                    None,
                    now,
                    None,
                    now / before if before and now is not None else None,
                ]
            )
    versions = [", ".join(sorted({r["version"] for r in runs})) for runs in (other, mine)]
    return ("Against another result", ["", versions[0], "residual", versions[1], "residual", "times"], rows)


def told_factor(runs: Sequence[Run]) -> list[str]:
    """A line for each figure by which hollow workers are out by more than the check allows."""
    checks = [r["check"] for r in runs if r.get("check_valid")]
    if not checks:
        return ["not checked against real workers: run `ochrehoist lab scale --check` into the same file"]
    return [
        f"{key}: real workers have {c['factor']:.2f} times that of as many hollow ones; figures are as "
        "measured, not corrected"
        for key, c in checks[-1].items()
        if not c["within"] and c["factor"]
    ]


def lines(run: Run) -> list[str]:
    """What is said of one run."""
    s = run["spec"]
    out = [
        f"{s['members']} members ({s['real']} real) at pace {s['pace']:g}, seed {s['seed']}, version "
        f"{run['version']}: {run['ended']}; {run['processes']} processes, {run['peak_mb']:.0f} MB at the "
        f"most, load {run['machine']['load'][0]:g} on {run['machine']['cores']} cores"
    ]
    if "rest" in run:
        values = [(name, unit, read(run)) for name, unit, read in FIGURES]
        out += [f"  {name}: {value:.3f} {unit}" for name, unit, value in values if value is not None]
        out.append(f"  the harness itself: {100 * run['empty_cpu_share']:.3f} % of a core for each, empty")
    for f in run.get("faults", ()):
        after = (
            f"whole after {f['whole_after_s']:g} s"
            if f["whole_after_s"] is not None
            else f"not whole after {f['waited_s']:g} s"
        )
        out.append(
            f"  {f['kind']}, {f['struck']} struck: {after}; {f['bytes_out'] / 1e6:.2f} MB moved, "
            f"{f['bytes_out_beyond_rest'] / 1e6:+.2f} beyond rest"
        )
    for n, c in enumerate(run.get("changes", ()), 1):
        held, force = c["held_ms"] or {}, c["in_force_ms"] or {}
        out.append(
            f"  change {n}: {c['reached']} have it after {c['all_s']:g} s; reading it held each up "
            f"{held.get('p50', 0):.1f} ms ({held.get('max', 0):.1f} at the most), in force after "
            f"{force.get('p50', 0):.1f} ms"
        )
    for key, c in run.get("check", {}).items():
        factor = "-" if c["factor"] is None else f"{c['factor']:.2f}"
        out.append(
            f"  {key}: hollow {c['hollow']:.4g}, real {c['real']:.4g}: times {factor}, "
            + ("within 15%" if c["within"] else "OUT")
        )
    return out + [f"  note: {note}" for note in run["notes"]]


def report(runs: Sequence[Run], made: str, other: Sequence[Run] | None = None) -> str:
    """The page, with plots."""
    heads = ["", "unit", *(f"{r['spec']['members']}, seed {r['spec']['seed']}" for r in runs)]
    rows = [[name, unit, *(read(r) for r in runs)] for name, unit, read in FIGURES]
    fits = slopes(runs)
    tables: list[Table] = [
        ("For each worker, at rest", heads, rows),
        (
            "Slopes",
            ["", "at none", "for each member", "residual", "from", "to", "runs"],
            [
                [name, *(fit[k] for k in ("at_none", "per_member", "residual", "from", "to", "runs"))]
                for name, fit in fits.items()
            ],
        ),
        (
            "Faults",
            ["members", "kind", "struck", "whole after s", "MB moved", "MB beyond rest", "late s"],
            [
                [
                    r["spec"]["members"],
                    f["kind"],
                    f["struck"],
                    f["whole_after_s"],
                    f["bytes_out"] / 1e6,
                    f["bytes_out_beyond_rest"] / 1e6,
                    f["late_s"],
                ]
                for r in runs
                for f in r.get("faults", ())
            ],
        ),
        (
            "Changes",
            ["members", "reached", "after s", "held up ms p50", "max", "in force ms p50", "max"],
            [
                [
                    r["spec"]["members"],
                    c["reached"],
                    c["all_s"],
                    *((c[k] or {}).get(p) for k in ("held_ms", "in_force_ms") for p in ("p50", "max")),
                ]
                for r in runs
                for c in r.get("changes", ())
            ],
        ),
        (
            "Runs",
            ["members", "version", "date", "ended", "load", "cores", "MB at the most", "pace"],
            [
                [
                    r["spec"]["members"],
                    r["version"],
                    r["date"],
                    r["ended"],
                    r["machine"]["load"][0],
                    r["machine"]["cores"],
                    r["peak_mb"],
                    r["spec"]["pace"],
                ]
                for r in runs
            ],
        ),
    ]
    if other is not None:
        tables.insert(1, against(runs, other))
    notes = told_factor(runs) + [f"{r['spec']['members']} members: {n}" for r in runs for n in r["notes"]]
    plots = [
        {
            "name": name,
            "unit": unit,
            "points": [[r["spec"]["members"], v] for r in sizes(runs) if (v := read(r)) is not None],
            "fit": fits.get(name),
        }
        for name, unit, read in FIGURES
    ]
    return page("scale", "Scale run", made, {"plots": plots, "runs": list(runs)}, tables, notes)
