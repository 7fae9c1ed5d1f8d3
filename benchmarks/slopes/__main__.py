"""Measures all slopes, or one, on any tree: lines, residuals, and the sizes at which bounds break."""

import argparse
import json
import os
import subprocess
import sys
import time
from pathlib import Path

from benchmarks.slopes import connections, module, state
from benchmarks.slopes.fit import crossing, line
from benchmarks.slopes.points import Bound, Probe, apart

ROOT = Path(__file__).parent.parent.parent
PROBES = [*module.PROBES, *state.PROBES, *connections.PROBES]


def measured(probe: Probe, seeds: int) -> dict:
    """All points of one probe, and what they come to."""
    points, not_run = [], {}
    for size in probe.sizes:
        for seed in range(1, seeds + 1):
            try:
                found = apart(lambda s=size, k=seed: probe.measure(s, k))
            except RuntimeError as error:  # told, and left out: what is left must still be four sizes
                not_run[f"{size} with seed {seed}"] = str(error)[:200]
                continue
            points.append({"size": size, "seed": seed, **found})
    if not points:
        raise RuntimeError(f"no size could be run: {not_run}")
    sizes = [p["size"] for p in points]
    names = [name for name in points[0] if name not in ("size", "seed")]
    lines = {name: line(sizes, [p[name] for p in points]) for name in names}
    return {
        "name": probe.name,
        "grows_with": probe.grows_with,
        "goal": probe.goal,
        "points": points,
        "not_run": not_run,
        "lines": {
            name: {
                "base": x.base,
                "slope": x.slope,
                "residual": x.residual,
                "power": x.power,
                "at_goal": x.at(probe.goal),
            }
            for name, x in lines.items()
        },
        "bounds": [_broken(b, sizes, [p[b.measure] for p in points]) for b in probe.bounds],
    }


def _broken(bound: Bound, sizes: list[int], values: list[float]) -> dict:
    at, run = crossing(sizes, values, bound.most)
    return {"measure": bound.measure, "most": bound.most, "why": bound.why, "breaks_at": at, "run": run}


def told(row: dict, before: dict | None) -> None:
    largest = max(p["size"] for p in row["points"])
    print(f"\n{row['name']}: by {row['grows_with']}, up to {largest:,}; goal {row['goal']:,.0f}")
    for name, x in row["lines"].items():
        mine = [p[name] for p in row["points"] if p["size"] == largest]
        was = ""
        if before and name in before["lines"]:
            top = [p[name] for p in before["points"] if p["size"] == largest]
            was = f"; before {sum(top) / len(top):,.1f}" if top else ""
        print(
            f"  {name:20} {x['base']:12,.1f} + {x['slope']:.6g} n, residual {x['residual']:.3f}, power "
            f"{x['power']:.2f}; at {largest:,}: {sum(mine) / len(mine):,.1f}{was}"
        )
    for point, why in row["not_run"].items():
        print(f"  NOT RUN at {point}: {why}")
    for b in row["bounds"]:
        part = None if b["breaks_at"] is None else b["breaks_at"] / row["goal"]
        at = (
            "no size up to ten times the goal"
            if part is None or part > 10
            else f"{b['breaks_at']:,.0f} = {part:.2%} of the goal"
            f"{'' if b['run'] else ' (worked out, not run)'}"
        )
        print(f"  bound {b['measure']} <= {b['most']:,.0f} ({b['why']}): breaks at {at}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=ROOT, help="the tree whose program is measured")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--only", help="probes whose name holds this")
    parser.add_argument("--against", type=Path, help="an earlier --json, told beside")
    parser.add_argument("--seeds", type=int, default=2)
    args = parser.parse_args()
    sys.path.insert(0, str(args.root.resolve()))
    connections.ROOT = args.root.resolve()
    before = {r["name"]: r for r in json.loads(args.against.read_text())["slopes"]} if args.against else {}
    version = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=args.root, capture_output=True, text=True
    ).stdout.strip()
    out = {
        "version": version,
        "date": time.strftime("%Y-%m-%d %H:%M"),
        "load": os.getloadavg(),
        "cores": os.cpu_count(),
        "seeds": args.seeds,
        "slopes": [],
        "failed": {},
    }
    print(f"version {version}, load {out['load'][0]:.1f} on {out['cores']} cores, {args.seeds} seeds")
    for probe in PROBES:
        if args.only and args.only not in probe.name:
            continue
        try:
            row = measured(probe, args.seeds)
        except (RuntimeError, ValueError) as error:
            out["failed"][probe.name] = str(error)
            print(f"\n{probe.name}: FAILED: {error}", flush=True)
            continue
        out["slopes"].append(row)
        told(row, before.get(probe.name))
    out["load_after"] = os.getloadavg()
    if args.json:
        args.json.write_text(json.dumps(out, indent=1))
    print(f"\nload at the end {out['load_after'][0]:.1f}; failed: {len(out['failed'])}")


if __name__ == "__main__":
    main()
