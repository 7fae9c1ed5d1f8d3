"""The tables of each answer of the planner: titles, heads and rows."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ochrehoist.capture.reader import Capture
    from ochrehoist.config.fleet_description import Fleet
    from ochrehoist.plan.breaking_point import BreakingPoint
    from ochrehoist.plan.fleet_comparison import FleetComparison
    from ochrehoist.plan.forecast import Forecast
    from ochrehoist.plan.measurement import Measurement
    from ochrehoist.plan.report import Table
    from ochrehoist.plan.rolling_restart import RollingRestart
    from ochrehoist.plan.site_loss import SiteLossForecast
    from ochrehoist.plan.sizing import FleetSize

CLASS_FIGURES = ("goodput", "refused", "p50_ms", "p99_ms")
WORKER_FIGURES = ("address", "kind", "site", "speed", "busy", "tries", "served", "refused")
ESTIMATE_FIGURES = ("what", "value", "low", "high", "count", "note")
CHANGE_FIGURES = ("what", "a", "b", "change", "low", "high", "note")


def _rows(lines: Sequence[dict[str, Any]], figures: Sequence[str]) -> list[tuple[Any, ...]]:
    return [tuple(line[figure] for figure in figures) for line in lines]


def forecast_tables(fleet: Fleet, answer: Forecast) -> list[Table]:
    """Goodput of classes and tenants; the workers of the first run."""
    all_classes = ("all", answer["goodput"], answer["shares"]["refused"], "", "")
    classes = [
        (name, *(figures[figure] for figure in CLASS_FIGURES)) for name, figures in answer["classes"].items()
    ]
    tenants = [(name, goodput, "", "", "") for name, goodput in answer["tenants"].items()]
    load = f"{answer['rate']:.0f} calls/s, {answer['demand']:.0%} of the capacity"
    return [
        (
            f"{fleet.name}: {load}; {answer['seeds']} runs",
            ("", "goodput", "refused", "p50 ms", "p99 ms"),
            [all_classes, *classes, *tenants],
        ),
        ("workers, first run", WORKER_FIGURES, _rows(answer["workers"], WORKER_FIGURES)),
    ]


def fit_tables(capture: Capture, estimates: Sequence[dict[str, Any]]) -> list[Table]:
    """All estimates."""
    title = f"{len(capture.requests)} requests in {capture.duration_s:.0f} s, {capture.files} files"
    return [(title, ESTIMATE_FIGURES, _rows(estimates, ESTIMATE_FIGURES))]


def breaking_point_tables(fleet: Fleet, answer: BreakingPoint) -> list[Table]:
    """The steps of the load; the limits."""
    steps = [
        (fleet.demand * step["factor"], step["rate"], step["goodput"], step["refused"], step["busiest"])
        for step in answer["steps"]
    ]
    limits = [
        (name, limit["limit"], limit["worker"], limit["kind"], limit["factor"] * fleet.load.rate)
        for name, limit in (("first", answer["first"]), ("next", answer["next"]))
    ]
    return [
        ("load, step by step", ("of capacity", "calls/s", "goodput", "refused", "busiest"), steps),
        ("what binds", ("", "limit", "worker", "kind", "at calls/s"), limits),
    ]


def size_tables(fleet: Fleet, answer: FleetSize) -> list[Table]:
    """What is needed; all that was tried, with and without a loss."""
    without_strongest = answer["tried_one_lost"]
    tried: list[tuple[Any, ...]] = [
        (count, goodput, without_strongest.get(count)) for count, goodput in answer["tried"].items()
    ]
    tried += [
        (count, None, goodput) for count, goodput in without_strongest.items() if count not in answer["tried"]
    ]
    return [
        (
            f"{answer['kind']} for a goodput of {answer['goal']} at {fleet.load.rate:g} calls/s, "
            f"beside {answer['others']} others",
            ("needed", "with one lost", "goodput"),
            [(answer["needed"], answer["with_one_lost"], answer["goodput"])],
        ),
        ("tried", ("machines", "goodput, lower end", "without the strongest"), tried),
    ]


def site_loss_tables(answer: SiteLossForecast) -> list[Table]:
    """Goodput before and while the site is gone, and the recovery."""
    row = (
        answer["before"],
        answer["during"],
        answer["worst_second"],
        answer["recovered_s"],
        f"{answer['tips_over']} of {answer['seeds']}",
    )
    return [
        (
            f"{answer['site']} lost at {answer['at']:g} s: {answer['workers']} of {answer['of']} workers",
            ("before", "while it is gone", "worst second", "recovered after s", "runs that tip over"),
            [row],
        )
    ]


def restart_tables(fleet: Fleet, answer: RollingRestart) -> list[Table]:
    """How many at once, and all numbers that were tried."""
    return [
        (
            f"{answer['most']} of {answer['of']} at once keep {answer['goal']:.0%} of the worth at "
            f"{fleet.load.rate:g} calls/s",
            ("at once", "by figures", "waves", "all restarted after s"),
            [(answer["most"], answer["by_figures"], answer["waves"], answer["whole_s"])],
        ),
        ("tried", ("at once", "kept, in the worst run"), list(answer["tried"].items())),
    ]


def measurement_tables(fleet: Fleet, answer: Measurement) -> list[Table]:
    """Measured and forecast figures."""
    measured = answer["measured"]
    forecast = answer["forecast"]
    classes = [
        (name, figures["goodput"], forecast["classes"][name]["goodput"])
        for name, figures in measured["classes"].items()
    ]
    return [
        (
            f"{len(fleet.placed_workers)} workers, {fleet.demand:.0%} of the capacity",
            ("", "measured", "forecast"),
            [
                ("goodput", measured["goodput"], forecast["goodput"]),
                ("tries for each call", measured["tries_per_call"], forecast["tries_per_call"]),
                *classes,
            ],
        )
    ]


def fleet_comparison_tables(path_a: Path, path_b: Path, answer: FleetComparison) -> list[Table]:
    """Goodput of both, and the difference."""
    clear = "yes" if answer["clear"] else "no: within the swing of the draws"
    return [
        (
            "goodput",
            (str(path_a), str(path_b), "difference", "clear"),
            [(answer["a"], answer["b"], answer["difference"], clear)],
        )
    ]


def capture_comparison_tables(changes: Sequence[dict[str, Any]]) -> list[Table]:
    """What changed; and what may be chance."""
    clear = [change for change in changes if change["clear"]]
    others = [change for change in changes if not change["clear"]]
    title = f"what changed and is not chance: {len(clear)} of {len(changes)}"
    return [
        (title, CHANGE_FIGURES, _rows(clear, CHANGE_FIGURES)),
        ("the rest", CHANGE_FIGURES, _rows(others, CHANGE_FIGURES)),
    ]


def forecasts_of_captures_table(
    fleet_path: Path, paths: Sequence[Path], answers: Sequence[Forecast]
) -> Table:
    """What one fleet would make of each capture."""
    rows = [
        (str(path), answer["goodput"], answer["rate"], answer["shares"]["refused"])
        for path, answer in zip(paths, answers, strict=True)
    ]
    return (f"on {fleet_path}", ("", "goodput", "calls/s", "refused"), rows)
