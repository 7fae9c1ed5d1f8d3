"""What finding the route of a request takes beside an earlier revision, in one run: whole checks of requests
(AjpReader.check), whose route is the first, in the middle, the last, or none, in tables of several sizes.

`python -m benchmarks.routes [REVISION] [--root FOLDER] [--calls N] [--rounds N] [--json FILE]`; FOLDER is an
earlier tree that is there already. Beside it: what building an index takes, its longest step, and its memory.
"""

import argparse
import contextlib
import json
import subprocess
import sys
from pathlib import Path

from benchmarks.earlier import versions
from ochrehoist.lab.workers import ROOT

SIZES = (3, 38, 380, 3800)
TABLES = {
    "mixed": ("/svc{}/*", "/svc{}/status", "/svc{}/*/detail", "/api/*/items/svc{}"),
    "prefixes": ("/svc{}/*",),
    "`/*x`: by its end": ("/*svc{}",),
    "`/*x*`: the worst": ("/*svc{:04}*",),
}
# Run from the tree that is measured: both have these names.
CHILD = """
import json, sys, time, tracemalloc
from types import SimpleNamespace as Plain
from ochrehoist.admission import settings as i
from ochrehoist.config.tables import AjpRoute
from ochrehoist.net import ajp
from ochrehoist.net.ajp_front import AjpReader, Rejected
task = json.load(sys.stdin)
forms, size, calls = task["forms"], task["size"], task["calls"]
uris = [forms[n % len(forms)].format(n) for n in range(size)]
rules = tuple(AjpRoute(uri, frozenset(), "read") for uri in uris)
settings = Plain(classes=(i.RequestClass(name="read", latency_objective_ns=1, deadline_ns=2),), tenants=())
config = Plain(secret=None, max_body=0, packet_size=8192, servers=(Plain(secret=None),), routes=rules,
               tenant_header=b"t", key_header=b"k", default_tenant=None)
try:
    from ochrehoist.core.tenants import first
    tenants = first(())
except ImportError:
    tenants = {}
reader = AjpReader(Plain(settings=settings, tenants=tenants), None, config)
found = {}
for name, at in ("first", 0), ("middle", size // 2), ("last", size - 1), ("none", None):
    path = "/another" if at is None else uris[at].replace("*", "x/y")
    asked, took = ajp.Forward(b"", "GET", path.encode()), []
    for n in range(calls + calls // 10):
        began = time.perf_counter_ns()
        try:
            reader.check(asked)
        except Rejected:
            assert at is None
        took.append(time.perf_counter_ns() - began)
    took = sorted(took[calls // 10:])
    found[name] = [took[len(took) // 2] / 1000, took[len(took) * 99 // 100] / 1000]
out = {"found": found}
try:
    from ochrehoist.net.route_index import RouteIndex
except ImportError:
    RouteIndex = None
if RouteIndex is not None:
    steps = []
    building = RouteIndex.in_steps(rules)
    while True:
        began = time.perf_counter_ns()
        try:
            next(building)
        except StopIteration:
            break
        finally:
            steps.append((time.perf_counter_ns() - began) / 1e6)
    building = None
    tracemalloc.start()
    from ochrehoist.steps import run_to_completion
    index = run_to_completion(RouteIndex.in_steps(rules))
    out |= {"built_ms": sum(steps), "longest_step_ms": max(steps),
            "bytes_a_route": tracemalloc.get_traced_memory()[0] / size}
json.dump(out, sys.stdout)
"""


def measured(root: Path, task: dict) -> dict:
    done = subprocess.run(
        [sys.executable, "-c", CHILD],
        cwd=root,
        input=json.dumps(task),
        text=True,
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(done.stdout)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("revision", nargs="?", default="d2aafe5")
    parser.add_argument("--root", type=Path, help="the earlier tree, instead of a revision")
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=3, help="by turns; the least of each figure counts")
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    with contextlib.ExitStack() as stack:
        trees = (
            (("before", args.root), ("now", ROOT))
            if args.root
            else stack.enter_context(versions(args.revision))
        )
        rows = []
        for table, forms in TABLES.items():
            for size in SIZES:
                task = {"forms": forms, "size": size, "calls": args.calls}
                rounds = [{name: measured(root, task) for name, root in trees} for _ in range(args.rounds)]
                rows.append(
                    {"table": table, "routes": size}
                    | {name: best([r[name] for r in rounds]) for name, _ in trees}
                )
                print(line(rows[-1]), flush=True)
    if args.json:
        args.json.write_text(json.dumps(rows, indent=1))


def best(rounds: list[dict]) -> dict:
    """The least of each figure: what else runs on the machine only adds."""
    out: dict = {
        "found": {
            name: [min(r["found"][name][q] for r in rounds) for q in (0, 1)] for name in rounds[0]["found"]
        }
    }
    return out | {k: min(r[k] for r in rounds) for k in rounds[0] if k != "found"}


def line(row: dict) -> str:
    parts = [f"{row['table']}, {row['routes']} routes, us p50/p99 before -> now:"]
    for name, (p50, p99) in row["now"]["found"].items():
        then = row["before"]["found"][name]
        parts.append(f"{name} {then[0]:.1f}/{then[1]:.1f} -> {p50:.1f}/{p99:.1f};")
    now = row["now"]
    built = f"built in {now['built_ms']:.2f} ms, longest step {now['longest_step_ms']:.2f} ms,"
    return " ".join([*parts, built, f"{now['bytes_a_route']:.0f} bytes a route"])


if __name__ == "__main__":
    main()
