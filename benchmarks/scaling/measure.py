"""How the cost of each part grows with size: the measurements behind docs/CAPACITY.md.

Each point is measured in a process of its own, at four sizes or more; a line is put through them, and the
size is found at which a measure meets its limit. With `--root` the program of another tree is measured,
which has to have the names of this one.
"""

import argparse
import json
import os
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.scaling.probe import Probe
from benchmarks.scaling.slopes import LimitCheck, Slope, measured_slope
from benchmarks.shared.revisions import ROOT


@dataclass
class ScalingReport:
    """All slopes of one tree, and of the machine's load before and after."""

    version: str
    date: str
    cores: int | None
    seeds: int
    load_before: tuple[float, float, float]
    load_after: tuple[float, float, float] | None = None
    slopes: list[Slope] = field(default_factory=list)
    failed: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_file(cls, path: Path) -> "ScalingReport":
        """A report that `write` wrote."""
        data = json.loads(path.read_text())
        data["slopes"] = [Slope.from_json(slope) for slope in data["slopes"]]
        return cls(**data)

    def write(self, path: Path) -> None:
        """Write the report as JSON."""
        data: dict[str, Any] = vars(self) | {"slopes": [slope.to_json() for slope in self.slopes]}
        path.write_text(json.dumps(data, indent=1))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("--root", type=Path, default=ROOT, help="the tree whose program is measured")
    parser.add_argument("--json", type=Path, metavar="FILE", help="keep the figures in this file too")
    parser.add_argument("--only", metavar="TEXT", default="", help="probes whose name contains this")
    parser.add_argument("--against", type=Path, metavar="FILE", help="an earlier --json, printed beside")
    parser.add_argument("--seeds", type=int, default=2)


def run(arguments: argparse.Namespace) -> int:
    """Measure all slopes, print each, and keep them where asked to."""
    root = arguments.root.resolve()
    before = ScalingReport.from_file(arguments.against).slopes if arguments.against else []
    slopes_before = {slope.name: slope for slope in before}
    report = ScalingReport(
        _version(root), time.strftime("%Y-%m-%d %H:%M"), os.cpu_count(), arguments.seeds, os.getloadavg()
    )
    print(
        f"version {report.version}, load {report.load_before[0]:.1f} on {report.cores} cores, "
        f"{report.seeds} seeds"
    )
    for probe in load_probes(root):
        if arguments.only not in probe.name:
            continue
        try:
            slope = measured_slope(probe, arguments.seeds)
        except (RuntimeError, ValueError) as error:
            report.failed[probe.name] = str(error)
            print(f"\n{probe.name}: FAILED: {error}", flush=True)
            continue
        report.slopes.append(slope)
        print_slope(slope, slopes_before.get(probe.name))
    report.load_after = os.getloadavg()
    if arguments.json:
        report.write(arguments.json)
    print(f"\nload at the end {report.load_after[0]:.1f}; failed: {len(report.failed)}")
    return 0


def load_probes(root: Path) -> list[Probe]:
    """All probes, of the program of the tree at `root`: it must not have been imported before."""
    sys.path.insert(0, str(root))
    from benchmarks.scaling.admission_probes import admission_probes
    from benchmarks.scaling.connection_probes import connection_probes
    from benchmarks.scaling.core_probes import core_probes
    from benchmarks.scaling.learned_state_probes import learned_state_probes
    from benchmarks.scaling.peer_probes import peer_probes

    return [
        *admission_probes(),
        *learned_state_probes(),
        *core_probes(),
        *peer_probes(),
        *connection_probes(root),
    ]


def print_slope(slope: Slope, before: Slope | None) -> None:
    """Print the lines of one slope, beside those of an earlier measurement."""
    largest = slope.largest_size
    print(f"\n{slope.name}: by {slope.grows_with}, up to {largest:,}; goal {slope.goal:,.0f}")
    for measure, line in slope.lines.items():
        earlier = ""
        if before and measure in before.lines:
            earlier = f"; before {before.at_largest_size(measure):,.1f}"
        print(
            f"  {measure:20} {line.base:12,.1f} + {line.slope:.6g} n, residual {line.residual:.3f}, power "
            f"{line.power:.2f}; at {largest:,}: {slope.at_largest_size(measure):,.1f}{earlier}"
        )
    for point, reason in slope.not_run.items():
        print(f"  NOT RUN at {point}: {reason}")
    for check in slope.limits:
        print(
            f"  bound {check.limit.measure} <= {check.limit.most:,.0f} ({check.limit.reason}): "
            f"breaks at {_crossing_text(check, slope.goal)}",
            flush=True,
        )


def _crossing_text(check: LimitCheck, goal: float) -> str:
    share = check.share_of_goal(goal)
    if share is None:
        return "no size up to ten times the goal"
    worked_out = "" if check.crossing.measured else " (worked out, not run)"
    return f"{check.crossing.size:,.0f} = {share:.2%} of the goal{worked_out}"


def _version(root: Path) -> str:
    completed = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=root, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip()
