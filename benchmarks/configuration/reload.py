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
from dataclasses import asdict, dataclass
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


@dataclass(frozen=True)
class LatencySummary:
    """Percentiles of latencies in ms; None where nothing was measured."""

    count: int
    p50: float | None
    p99: float | None
    p999: float | None
    worst: float | None

    @classmethod
    def of(cls, samples_s: list[float]) -> "LatencySummary":
        """Of samples in seconds."""
        shares = (MEDIAN, P99, P999, 1.0)
        return cls(len(samples_s), *(rounded_percentile_ms(samples_s, share, digits=3) for share in shares))


@dataclass(frozen=True)
class SteadyFigures:
    """What the client saw without changes, and the appliance's processor time in percent of a core."""

    steady_ms: LatencySummary
    steady_answers: dict[int, int]
    steady_cpu_percent: float


@dataclass(frozen=True)
class ChangeFigures:
    """What the client saw during changes, and for as long after each.

    `in_force_ms`: from the signal until a change was in force, seen late by up to `seen_late_by_ms`.
    `configuration`: what `/status` says of it in the end.
    """

    in_force_ms: LatencySummary
    seen_late_by_ms: LatencySummary
    changing_ms: LatencySummary
    worst_of_each_ms: LatencySummary
    calm_ms: LatencySummary
    worst_of_each_calm_ms: LatencySummary
    changing_answers: dict[int, int]
    changing_mb: MemoryUsage
    configuration: dict[str, Any]


@dataclass(frozen=True)
class NotReady:
    """The appliance was not ready in time: how long it was waited for, processor time, memory."""

    gave_up_after_s: float
    cpu_s: float
    memory: MemoryUsage


@dataclass(frozen=True)
class SpacedFigures:
    """One tree at one size, with pauses between its changes."""

    ready_s: float
    at_rest_percent: float
    memory: MemoryUsage
    steady: SteadyFigures
    changes: ChangeFigures
    unanswered: int
    events: dict[str, int]


@dataclass(frozen=True)
class ManyFigures:
    """One tree at one size, through many changes without a pause; memory is sampled over the run."""

    changes: int
    not_in_force: int
    took_s: float
    in_force_ms: LatencySummary
    client_ms: LatencySummary
    answers: dict[int, int]
    unanswered: int
    sent: int
    memory: list[MemoryUsage]
    events: dict[str, int]


@dataclass(frozen=True)
class Report:
    """What is printed of one tree at one size."""

    tree: str
    size: str
    load: float
    figures: SpacedFigures | ManyFigures | NotReady


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
        reports.append(asdict(report))
        print(json.dumps(reports[-1]), flush=True)
        if arguments.json:
            arguments.json.write_text(json.dumps(reports, indent=1))
    return 0


def _reports(arguments: argparse.Namespace) -> Iterator[Report]:
    trees = arguments.root or [Tree(NOW, ROOT)]
    for size in arguments.sizes:
        for tree in trees:
            yield _report(tree, size, spaced_changes(tree.root, size, arguments))
    if arguments.many:
        for tree in trees:
            figures = many_changes(tree.root, arguments.many_size, arguments)
            yield _report(tree, arguments.many_size, figures)


def spaced_changes(
    root: Path, size: ConfigurationSize, arguments: argparse.Namespace
) -> SpacedFigures | NotReady:
    """One tree at one size: at rest, without changes, and with changes that have pauses between them."""
    with _started(root, size) as appliance:
        ready_s = appliance.wait_until_ready()
        if ready_s is None:
            return _not_ready(appliance)
        time.sleep(SETTLE_S)
        at_rest_percent = _cpu_percent(appliance, REST_S)
        memory = appliance.take_memory()
        with client_process(appliance.front_address, arguments.rate) as client:
            time.sleep(CLIENT_START_S)
            client.report()
            steady = _without_changes(appliance, client, arguments.seconds)
            changes = _with_changes(appliance, client, arguments.changes)
            last = client.end()
        return SpacedFigures(
            ready_s,
            at_rest_percent,
            memory,
            steady,
            changes,
            unanswered=last.unanswered + last.cut_off,
            events=appliance.logged_events,
        )


def many_changes(
    root: Path, size: ConfigurationSize, arguments: argparse.Namespace
) -> ManyFigures | NotReady:
    """One tree at one size: many changes in one run, the next as soon as one is in force."""
    with _started(root, size) as appliance:
        if appliance.wait_until_ready() is None:
            return _not_ready(appliance)
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
            took_s = time.monotonic() - began_s
            seen.add(client.end())
        return ManyFigures(
            changes=len(in_force_s),
            not_in_force=missed,
            took_s=took_s,
            in_force_ms=LatencySummary.of(in_force_s),
            client_ms=LatencySummary.of(seen.latencies_s),
            answers=dict(seen.answers),
            unanswered=seen.unanswered + seen.cut_off,
            sent=seen.sent,
            memory=memory,
            events=appliance.logged_events,
        )


@contextmanager
def _started(root: Path, size: ConfigurationSize) -> Iterator[Appliance]:
    """An appliance of a tree with a configuration of that size, and its server."""
    with tempfile.TemporaryDirectory() as folder, server_process() as server_address:
        file = ConfigurationFile(Path(folder, "ajp.toml"), size.tenants, size.routes, server_address)
        with closing(Appliance(root, file)) as appliance:
            yield appliance


def _report(tree: Tree, size: ConfigurationSize, figures: SpacedFigures | ManyFigures | NotReady) -> Report:
    return Report(tree.name, str(size), os.getloadavg()[0], figures)


def _not_ready(appliance: Appliance) -> NotReady:
    return NotReady(READY_TIMEOUT_S, cpu_s(appliance.pid), appliance.take_memory())


def _without_changes(appliance: Appliance, client: ClientProcess, duration_s: float) -> SteadyFigures:
    cpu_percent = _cpu_percent(appliance, duration_s)
    seen = client.report()
    return SteadyFigures(LatencySummary.of(seen.latencies_s), dict(seen.answers), cpu_percent)


def _with_changes(appliance: Appliance, client: ClientProcess, count: int) -> ChangeFigures:
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
    configuration = appliance.configuration_status()
    return ChangeFigures(
        in_force_ms=LatencySummary.of([change.after_s for change in changes]),
        seen_late_by_ms=LatencySummary.of([change.uncertainty_s for change in changes]),
        changing_ms=LatencySummary.of(changing.latencies_s),
        worst_of_each_ms=LatencySummary.of(changing_worst_s),
        calm_ms=LatencySummary.of(calm.latencies_s),
        worst_of_each_calm_ms=LatencySummary.of(calm_worst_s),
        changing_answers=dict(changing.answers + calm.answers),
        changing_mb=appliance.take_memory(),
        configuration=configuration,
    )


def _cpu_percent(appliance: Appliance, duration_s: float) -> float:
    """Processor time over the next seconds, in percent of one core."""
    began_s, cpu_before_s = time.monotonic(), cpu_s(appliance.pid)
    time.sleep(duration_s)
    used_s = cpu_s(appliance.pid) - cpu_before_s
    return round(100 * used_s / (time.monotonic() - began_s), 2)


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
