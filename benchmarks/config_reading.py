"""What reading a configuration takes, at several sizes, beside an earlier revision in one run.

`python -m benchmarks.config_reading REVISION [--sizes 3 1000 ...] [--rounds N] [--json FILE]`; the
revision comes from git, into a folder of its own that is removed again. For each size, with routes in
proportion (3,800 at 58,000), as an appliance's TOML and as the platform's JSON: the first reading, and
from that a change of one tenant, of one route, of 100 tenants scattered over the file, and none. Of each
the median of the rounds of: processor time, the longest step in processor time (before: the whole, which
is one step), and memory above that of the smallest size, with both configurations held.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
SIZES = (3, 1_000, 10_000, 58_000)
KINDS = ("first", "one tenant", "one route", "100 tenants", "none")


def routes(tenants: int) -> int:
    return max(3, tenants * 3_800 // 58_000)


def texts(tenants: int, as_json: bool) -> dict[str, str]:
    """The file of each kind of change."""
    from ochrehoist.lab.toml import toml_file

    sys.path.append(str(ROOT))
    from tests.support.site_settings import site_settings

    def text(kind: str) -> str:
        step = max(1, tenants // 100)
        changed = {"one tenant": {tenants // 2}, "100 tenants": set(range(0, tenants, step))}.get(kind, ())
        site = site_settings(
            Tenants=[
                {
                    "Name": f"tenant-{at:05d}",
                    "QuotaPerS": 999.5 if at in changed else 10.5 + at % 90,
                    "Fraction": round(1 / tenants, 9),
                }
                for at in range(tenants)
            ]
        )
        top: dict[str, Any] = {"name": "n1", "admin": "127.0.0.1:8010"}
        if as_json:
            return json.dumps(
                top | {"listen": "127.0.0.1:0", "kernel": "127.0.0.1:9", "seed": "1f", "settings": site}
            )
        rules = [
            {
                "uri": f"/services/{at % 340}/resource-{at}/*",
                "class": "read",
                "methods": ["PUT"] if kind == "one route" and at == routes(tenants) // 2 else ["GET", "HEAD"],
            }
            for at in range(routes(tenants))
        ]
        return toml_file(
            top
            | {
                "ajp": {"listen": "127.0.0.1:0", "servers": [{"address": "127.0.0.1:9"}], "rules": rules},
                "settings": site,
            }
        )

    return {kind: text(kind) for kind in KINDS}


def status(key: str) -> float:
    """MB, of this process."""
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if line.startswith(key))
    return int(line.split()[1]) / 1024


def one(folder: str, ending: str) -> dict[str, tuple[float, float, float, float]]:
    """In the tree that is measured: seconds, ms of the longest step, MB then, and at the most, by kind."""
    from ochrehoist.config import loader as config

    # Loaded beforehand: what a worker has loaded when a change comes.
    config.load(str(Path(folder, f"warm{ending}")), {})
    out, first = {}, None
    for kind in KINDS:
        Path("/proc/self/clear_refs").write_text("5")  # the most from here on
        path, longest, begun = str(Path(folder, kind.replace(" ", "_") + ending)), 0.0, time.process_time()
        if hasattr(config, "load_in_steps"):
            steps, new = config.load_in_steps(path, {}, first), None
            while new is None:
                at = time.thread_time()
                try:
                    next(steps)
                except StopIteration as end:
                    new = end.value
                longest = max(longest, time.thread_time() - at)
        else:
            new = config.load(path, {})
            longest = time.process_time() - begun
        took = time.process_time() - begun
        first = first or new
        out[kind] = took, longest * 1000, status("VmRSS"), status("VmHWM")
    return out


def measured(tree: Path, folder: str, ending: str) -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, __file__, "--one", folder, ending],
        cwd=tree,
        check=True,
        env=os.environ | {"PYTHONPATH": str(tree)},
        capture_output=True,
        text=True,
    )
    return json.loads(done.stdout)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("revision")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, metavar="TENANTS")
    parser.add_argument("--rounds", type=int, default=3, metavar="N")
    parser.add_argument("--json", type=Path, metavar="FILE", help="The figures as JSON too.")
    wanted = parser.parse_args()
    from benchmarks.earlier import versions

    rows = []
    print(
        f"load {os.getloadavg()[0]:.1f}; s of processor time | longest step, ms | MB above the smallest, "
        "after | at the most"
    )
    with versions(wanted.revision) as trees:
        for ending in (".toml", ".json"):
            base: dict[str, float] = {}
            for size in wanted.sizes:
                with tempfile.TemporaryDirectory() as folder:
                    for kind, text in texts(size, ending == ".json").items():
                        Path(folder, kind.replace(" ", "_") + ending).write_text(text)
                    Path(folder, f"warm{ending}").write_text(texts(3, ending == ".json")["first"])
                    # By turns, so that what else the machine does meets both.
                    rounds = [
                        {name: measured(tree, folder, ending) for name, tree in trees}
                        for _ in range(wanted.rounds)
                    ]
                for kind in KINDS:
                    if kind == "one route" and ending == ".json":
                        continue
                    for name, _ in trees:
                        took, longest, after, most = (
                            statistics.median(r[name][kind][at] for r in rounds) for at in range(4)
                        )
                        base.setdefault(name, after)
                        rows.append(
                            {
                                "file": ending[1:],
                                "tenants": size,
                                "change": kind,
                                "version": name,
                                "processor_s": took,
                                "longest_step_ms": longest,
                                "memory_mb": after - base[name],
                                "most_mb": most - base[name],
                            }
                        )
                        print(
                            f"{ending[1:]} {size:6} {kind:12} {name:7} {took:7.3f} | {longest:8.2f} | "
                            f"{after - base[name]:6.1f} | {most - base[name]:6.1f}",
                            flush=True,
                        )
    print(f"load {os.getloadavg()[0]:.1f}")
    if wanted.json:
        wanted.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    if sys.argv[1:2] == ["--one"]:
        print(json.dumps(one(*sys.argv[2:])))
    else:
        main()
