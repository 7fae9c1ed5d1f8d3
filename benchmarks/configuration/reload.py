"""What clients of an appliance wait while it reloads its configuration, at several sizes.

A real appliance with so many tenants and routes, an AJP server in a process of its own behind it, and a
client at a steady rate in another before it. Several trees take turns at each size. Measured: the time
until ready, processor time at rest, memory; the client's latencies without and during changes of one tenant
or one route (the file is replaced, then SIGHUP), each from when its request was due; the time from the
signal until a request of the new tenant or route is served. `--many`: so many changes in one run, each as
soon as the one before is in force.
"""

import argparse
import json
import os
import tempfile
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.configuration.appliance import (
    READY_TIMEOUT_S,
    Appliance,
    ChangeInForce,
    ChangeProber,
    ConfigurationFile,
)
from benchmarks.configuration.steady_client import (
    ClientProcess,
    ClientReport,
    client_process,
    server_process,
)
from benchmarks.shared.process_usage import MemoryUsage, cpu_s
from benchmarks.shared.revisions import NOW, ROOT, Tree
from benchmarks.shared.samples import MEDIAN, P99, P999, rounded_percentile_ms

DEFAULT_SIZES = "3/3,1000/65,10000/655,58000/3800"
DEFAULT_MANY_SIZE = "1000/65"
SETTLE_S = 2.0  # from ready until rest is measured
REST_S = 5.0
CLIENT_START_S = 1.0
AFTER_CHANGE_S = 0.1  # that still counts as during the change
MOST_AFTER_CHANGE_S = 0.5
MEMORY_SAMPLES = 10  # over the run of many changes

Report = dict[str, Any]


@dataclass(frozen=True)
class ConfigurationSize:
    """How many tenants and routes a configuration has."""

    tenants: int
    routes: int

    @classmethod
    def parse(cls, text: str) -> "ConfigurationSize":
        """Read `TENANTS/ROUTES`; ValueError where it is none."""
        tenants, routes = text.split("/")
        return cls(int(tenants), int(routes))

    def __str__(self) -> str:
        return f"{self.tenants}/{self.routes}"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument(
        "--root", action="append", type=_named_tree, default=[], help="NAME=FOLDER; by default now=this tree"
    )
    parser.add_argument("--sizes", type=_sizes, default=DEFAULT_SIZES, metavar="TENANTS/ROUTES,...")
    parser.add_argument("--changes", type=int, default=20, help="one after the other, at each size")
    parser.add_argument("--seconds", type=float, default=10.0, help="without a change")
    parser.add_argument("--rate", type=float, default=170.0, help="requests per second of the client")
    parser.add_argument("--many", type=int, default=0, help="changes without a pause")
    parser.add_argument(
        "--many-size", type=ConfigurationSize.parse, default=DEFAULT_MANY_SIZE, metavar="TENANTS/ROUTES"
    )
    parser.add_argument("--json", type=Path, metavar="FILE", help="keep the figures in this file too")


def run(arguments: argparse.Namespace) -> int:
    """Measure each size and tree, print each as a line of JSON, and keep them where asked to."""
    reports = []
    for report in _reports(arguments):
        reports.append(report)
        print(json.dumps(report), flush=True)
        if arguments.json:
            arguments.json.write_text(json.dumps(reports, indent=1))
    return 0


def _reports(arguments: argparse.Namespace) -> Iterator[Report]:
    trees = arguments.root or [Tree(NOW, ROOT)]
    for size in arguments.sizes:
        for tree in trees:
            yield _head(tree, size) | spaced_changes(tree.root, size, arguments)
    if arguments.many:
        for tree in trees:
            yield _head(tree, arguments.many_size) | many_changes(tree.root, arguments.many_size, arguments)


def spaced_changes(root: Path, size: ConfigurationSize, arguments: argparse.Namespace) -> Report:
    """One tree at one size: at rest, without changes, and with changes that have pauses between them."""
    with _started(root, size) as appliance:
        ready_s = appliance.wait_until_ready()
        if ready_s is None:
            return {
                "ready_s": None,
                "gave_up_after_s": READY_TIMEOUT_S,
                "cpu_s": cpu_s(appliance.pid),
                "mb": _memory_report(appliance.take_memory()),
            }
        time.sleep(SETTLE_S)
        report: Report = {"ready_s": ready_s, "at_rest_%": _cpu_percent(appliance, REST_S)}
        report["mb"] = _memory_report(appliance.take_memory())
        with client_process(appliance.front_address, arguments.rate) as client:
            time.sleep(CLIENT_START_S)
            client.report()
            report |= _without_changes(appliance, client, arguments.seconds)
            report |= _with_changes(appliance, client, arguments.changes)
            last = client.end()
        return report | {"unanswered": last.unanswered + last.cut_off, "events": appliance.logged_events}


def many_changes(root: Path, size: ConfigurationSize, arguments: argparse.Namespace) -> Report:
    """One tree at one size: many changes in one run, the next as soon as one is in force."""
    with _started(root, size) as appliance:
        if appliance.wait_until_ready() is None:
            return {"ready_s": None}
        memory, in_force_s, seen = [appliance.take_memory()], [], ClientReport()
        missed = 0
        with client_process(appliance.front_address, arguments.rate) as client:
            prober, began_s = ChangeProber(appliance.front_address), time.monotonic()
            for number in range(1, arguments.many + 1):
                change = appliance.change(prober)
                if change is None:
                    missed = 1
                    break
                in_force_s.append(change.after_s)
                if number % max(1, arguments.many // MEMORY_SAMPLES) == 0:
                    memory.append(appliance.take_memory())
                    seen.add(client.report())
                    _print_progress(number, time.monotonic() - began_s, memory[-1])
            seen.add(client.end())
        return {
            "changes": len(in_force_s),
            "not_in_force": missed,
            "took_s": time.monotonic() - began_s,
            "in_force_ms": _latency_report(in_force_s),
            "client_ms": _latency_report(seen.latencies_s),
            "answers": _answer_report(seen),
            "unanswered": seen.unanswered + seen.cut_off,
            "sent": seen.sent,
            "mb": [_memory_report(usage) for usage in memory],
            "events": appliance.logged_events,
        }


@contextmanager
def _started(root: Path, size: ConfigurationSize) -> Iterator[Appliance]:
    """An appliance of a tree with a configuration of that size, and its server."""
    with tempfile.TemporaryDirectory() as folder, server_process() as server_address:
        file = ConfigurationFile(Path(folder, "ajp.toml"), size.tenants, size.routes, server_address)
        with closing(Appliance(root, file)) as appliance:
            yield appliance


def _without_changes(appliance: Appliance, client: ClientProcess, duration_s: float) -> Report:
    cpu_percent = _cpu_percent(appliance, duration_s)
    seen = client.report()
    return {
        "steady_ms": _latency_report(seen.latencies_s),
        "steady_answers": _answer_report(seen),
        "steady_cpu_%": cpu_percent,
    }


def _with_changes(appliance: Appliance, client: ClientProcess, count: int) -> Report:
    """Changes one after the other, and after each as long a time without one, to compare with."""
    prober = ChangeProber(appliance.front_address)
    changes: list[ChangeInForce] = []
    changing, calm = ClientReport(), ClientReport()
    changing_worst_s, calm_worst_s = [], []
    for _ in range(count):
        began_s = time.monotonic()
        change = appliance.change(prober)
        if change is None:
            break
        changes.append(change)
        time.sleep(AFTER_CHANGE_S + min(change.after_s, MOST_AFTER_CHANGE_S))
        during = client.report()
        time.sleep(time.monotonic() - began_s)
        after = client.report()
        changing.add(during)
        calm.add(after)
        changing_worst_s.append(during.worst_s)
        calm_worst_s.append(after.worst_s)
    status = appliance.configuration_status()
    return {
        "in_force_ms": _latency_report([change.after_s for change in changes]),
        "seen_late_by_ms": _latency_report([change.uncertainty_s for change in changes]),
        "changing_ms": _latency_report(changing.latencies_s),
        "worst_of_each_ms": _latency_report(changing_worst_s),
        "calm_ms": _latency_report(calm.latencies_s),
        "worst_of_each_calm_ms": _latency_report(calm_worst_s),
        "changing_answers": {str(status): n for status, n in (changing.answers + calm.answers).items()},
        "changing_mb": _memory_report(appliance.take_memory()),
        "configuration": status,
    }


def _cpu_percent(appliance: Appliance, duration_s: float) -> float:
    """Processor time over the next seconds, in percent of one core."""
    began_s, cpu_before_s = time.monotonic(), cpu_s(appliance.pid)
    time.sleep(duration_s)
    used_s = cpu_s(appliance.pid) - cpu_before_s
    return round(100 * used_s / (time.monotonic() - began_s), 2)


def _head(tree: Tree, size: ConfigurationSize) -> Report:
    return {"tree": tree.name, "size": str(size), "load": os.getloadavg()[0]}


def _latency_report(samples_s: list[float]) -> Report:
    """Percentiles in ms; empty where nothing was measured."""
    if not samples_s:
        return {}
    return {
        "p50": rounded_percentile_ms(samples_s, MEDIAN, digits=3),
        "p99": rounded_percentile_ms(samples_s, P99, digits=3),
        "p99.9": rounded_percentile_ms(samples_s, P999, digits=3),
        "worst": rounded_percentile_ms(samples_s, 1.0, digits=3),
        "count": len(samples_s),
    }


def _answer_report(seen: ClientReport) -> Report:
    return {str(status): count for status, count in seen.answers.items()}


def _memory_report(usage: MemoryUsage) -> Report:
    return {"now": usage.resident_mb, "peak": usage.peak_mb}


def _print_progress(changes: int, elapsed_s: float, memory: MemoryUsage) -> None:
    print(f"  {changes} changes in {elapsed_s:.0f} s, {memory.resident_mb:.1f} MB", flush=True)


def _named_tree(text: str) -> Tree:
    name, separator, folder = text.partition("=")
    if not separator:
        message = f"not NAME=FOLDER: {text}"
        raise argparse.ArgumentTypeError(message)
    return Tree(name, Path(folder))


def _sizes(text: str) -> list[ConfigurationSize]:
    return [ConfigurationSize.parse(part) for part in text.split(",") if part]
