"""The planner's forecasts beside real workers on loopback: each case in real time, and its draw forecast.

`python -m benchmarks.plan [--jobs N] [--seconds N] [--seeds N ...] [CASE ...]`. The cases were written down
before they ran.
"""

import argparse
import copy
import json
import tomllib
from pathlib import Path

import joblib

from ochrehoist.config.fleet_description import Fleet, parse
from ochrehoist.plan.questions import measured

BASE = tomllib.loads((Path(__file__).parent / "base.toml").read_text())
SLOW_AND_FAST = {
    "kinds": [
        {"name": "slow", "cores": 3, "speed": 0.6, "memory_mb": 76.0},
        {"name": "fast", "cores": 3, "speed": 1.3, "memory_mb": 76.0},
    ],
    "workers": [
        {"kind": "slow", "addresses": ["10.1.0.1-10.1.0.2", "10.2.0.1"]},
        {"kind": "fast", "addresses": ["10.1.0.3", "10.2.0.3"]},
    ],
}


def routers(**more):
    return {"routers": [BASE["routers"][0] | more]}


def heavy(share, times):
    return {"classes": [c | {"heavy_share": share, "heavy_times": times} for c in BASE["classes"]]}


# Name: load as a share of the capacity, what differs from the base, and the site that is lost half way.
CASES = {
    "calm": (0.6, {}, None),
    "89%": (0.89, {}, None),
    "105%": (1.05, {}, None),
    "120%": (1.2, {}, None),
    "150%": (1.5, {}, None),
    "mixed nodes, round-robin": (0.85, SLOW_AND_FAST | routers(choice="round"), None),
    "mixed nodes, least, 105%": (1.05, SLOW_AND_FAST, None),
    "mixed nodes, weighted": (0.95, SLOW_AND_FAST | routers(choice="weighted"), None),
    "hot subjects": (
        0.7,
        routers(choice="subject") | {"load": BASE["load"] | {"hot": 3, "hot_share": 0.24, "zipf": 0.4}},
        None,
    ),
    "two choices, 105%": (1.05, routers(choice="two"), None),
    "heavy tail": (0.85, heavy(0.02, 15.0), None),
    "a site lost": (0.6, {}, "antwerp"),
    "retry storm, 120%": (
        1.2,
        routers(retries=3, choice="round") | {"clients": {"retries": 2, "wait_ms": 150.0, "heed": 0.3}},
        None,
    ),
}


def fleet(name: str) -> Fleet:
    demand, changes, _ = CASES[name]
    return parse(copy.deepcopy(BASE) | changes).at(demand)


def made(name: str, seed: int, seconds: float) -> tuple[str, int, dict]:
    return name, seed, measured(fleet(name), seed, seconds, CASES[name][2], lambda *_: None)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=2, help="cases side by side; each has up to five workers")
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--json", type=Path, help="keep all figures in this file")
    parser.add_argument("cases", nargs="*", choices=[*CASES, []])
    given = parser.parse_args()
    names = given.cases or list(CASES)
    runs = joblib.Parallel(n_jobs=given.jobs, return_as="generator")(
        joblib.delayed(made)(name, seed, given.seconds) for name in names for seed in given.seeds
    )
    worst, kept = 0.0, []
    print(f"{'case':26} seed  measured  forecast  ratio  refused, measured and forecast  calls late, p99 ms")
    for name, seed, v in runs:
        m, f = v["measured"], v["forecast"]
        worst = max(worst, abs(v["ratio"] - 1))
        kept.append(
            {
                "case": name,
                "seed": seed,
                "measured": m["goodput"],
                "forecast": f["goodput"],
                "late_p99_ms": v["late_p99_ms"],
            }
        )
        print(
            f"{name:26} {seed:4}  {m['goodput']:8.3f}  {f['goodput']:8.3f}  {v['ratio']:5.3f}  "
            f"{m['shares']['refused']:.3f} {f['shares']['refused']:.3f}  {v['late_p99_ms']:.0f}",
            flush=True,
        )
    print(f"furthest from 1: {worst:.1%}")
    if given.json:
        given.json.write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main()
