"""The planner's forecasts beside real workers on loopback: each case in real time, and its draw forecast.

The cases were written down before they ran.
"""

import argparse
import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import joblib

from benchmarks.planner.fleets import (
    Description,
    base_description,
    changed_fleet,
    changed_router,
    retry_storm,
)
from ochrehoist.plan.measurement import measure

SLOW_AND_FAST: Description = {
    "kinds": [
        {"name": "slow", "cores": 3, "speed": 0.6, "memory_mb": 76.0},
        {"name": "fast", "cores": 3, "speed": 1.3, "memory_mb": 76.0},
    ],
    "workers": [
        {"kind": "slow", "addresses": ["10.1.0.1-10.1.0.2", "10.2.0.1"]},
        {"kind": "fast", "addresses": ["10.1.0.3", "10.2.0.3"]},
    ],
}


def _heavy_tail(share: float, factor: float) -> Description:
    classes = base_description()["classes"]
    return {"classes": [one_class | {"heavy_share": share, "heavy_times": factor} for one_class in classes]}


def _hot_keys() -> Description:
    return {"load": base_description()["load"] | {"hot": 3, "hot_share": 0.24, "zipf": 0.4}}


@dataclass(frozen=True)
class Case:
    """A load in parts of the capacity, what differs from the small fleet, and the site lost half way."""

    demand: float
    changes: Description = field(default_factory=dict)
    lost_site: str | None = None


CASES = {
    "calm": Case(0.6),
    "89%": Case(0.89),
    "105%": Case(1.05),
    "120%": Case(1.2),
    "150%": Case(1.5),
    "mixed nodes, round-robin": Case(0.85, SLOW_AND_FAST | changed_router(choice="round")),
    "mixed nodes, least, 105%": Case(1.05, SLOW_AND_FAST),
    "mixed nodes, weighted": Case(0.95, SLOW_AND_FAST | changed_router(choice="weighted")),
    "hot subjects": Case(0.7, changed_router(choice="subject") | _hot_keys()),
    "two choices, 105%": Case(1.05, changed_router(choice="two")),
    "heavy tail": Case(0.85, _heavy_tail(0.02, 15.0)),
    "a site lost": Case(0.6, lost_site="antwerp"),
    "retry storm, 120%": Case(1.2, retry_storm()),
}


@dataclass(frozen=True)
class Comparison:
    """Goodput of one case as measured and as forecast, and the shares that were rejected.

    `late_p99_ms`: by how much the load generator was late with its calls.
    """

    case: str
    seed: int
    measured: float
    forecast: float
    ratio: float
    measured_rejected: float
    forecast_rejected: float
    late_p99_ms: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("--jobs", type=int, default=2, help="cases side by side; each has up to five workers")
    parser.add_argument("--seconds", type=float, default=25.0, help="of a case")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--json", type=Path, metavar="FILE", help="keep the figures in this file too")
    parser.add_argument("cases", nargs="*", choices=[*CASES, []], metavar="CASE", help="all by default")


def run(arguments: argparse.Namespace) -> int:
    """Compare all cases, print each, and keep them where asked to."""
    print(f"{'case':26} seed  measured  forecast  ratio  refused, measured and forecast  calls late, p99 ms")
    comparisons = []
    for comparison in compared(
        arguments.cases or list(CASES), arguments.seeds, arguments.seconds, arguments.jobs
    ):
        comparisons.append(comparison)
        print_comparison(comparison)
    furthest = max(abs(comparison.ratio - 1) for comparison in comparisons)
    print(f"furthest from 1: {furthest:.1%}")
    if arguments.json:
        rows = [asdict(comparison) for comparison in comparisons]
        arguments.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 0


def compared(names: Iterable[str], seeds: list[int], duration_s: float, jobs: int) -> Iterator[Comparison]:
    """Each case with each seed, in order."""
    runs = joblib.Parallel(n_jobs=jobs, return_as="generator")(
        joblib.delayed(compare)(name, seed, duration_s) for name in names for seed in seeds
    )
    yield from runs


def compare(name: str, seed: int, duration_s: float) -> Comparison:
    """Measure one case in real time, and forecast its draw."""
    case = CASES[name]
    fleet = changed_fleet(case.changes, case.demand)
    outcome = measure(fleet, seed, duration_s, case.lost_site, lambda *_: None)
    real, forecast = outcome["measured"], outcome["forecast"]
    return Comparison(
        case=name,
        seed=seed,
        measured=real["goodput"],
        forecast=forecast["goodput"],
        ratio=outcome["ratio"],
        measured_rejected=real["shares"]["refused"],
        forecast_rejected=forecast["shares"]["refused"],
        late_p99_ms=outcome["late_p99_ms"],
    )


def print_comparison(comparison: Comparison) -> None:
    """Print the line of one case."""
    print(
        f"{comparison.case:26} {comparison.seed:4}  {comparison.measured:8.3f}  {comparison.forecast:8.3f}  "
        f"{comparison.ratio:5.3f}  {comparison.measured_rejected:.3f} {comparison.forecast_rejected:.3f}  "
        f"{comparison.late_p99_ms:.0f}",
        flush=True,
    )
