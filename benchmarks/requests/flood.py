"""A flood at admission, beside an earlier revision in alternation.

What a rejection costs in processor time, how long health checks and filings wait meanwhile, and how late
the worker's loop runs. The worker has a processor of its own, or shares it with `--busy` processes. Routers
keep 32 reads open on each of 16 connections and send the next as they are answered; beside them one client
asks for health and one files, 20 times a second each.
"""

import argparse
import json
import multiprocessing
import os
import threading
import time
from collections.abc import Callable
from contextlib import closing
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from benchmarks.requests.flood_load import ROUTERS, WORKER_CPU, RouterReport, run_busy_process, run_router
from benchmarks.shared.paired_runs import Pair, paired_rounds, ratio_summary
from benchmarks.shared.process_usage import cpu_s, resident_bytes
from benchmarks.shared.revisions import BEFORE, NOW, ROOT, checked_out
from benchmarks.shared.samples import MEDIAN, P99, US_PER_S, rounded_percentile_ms
from benchmarks.shared.stand_ins import (
    InstantKernel,
    ThriftRouter,
    WorkerProcess,
    short_deadline_settings,
)

DEFAULT_REVISION = "8710529"
CORES = 2
HEAP_KB = 90e6
RUN_DURATION_S = 0.1  # hardly any of the flood can run on two cores
PROBE_INTERVAL_S = 0.05  # between two health checks, or two filings
MAX_DESCRIPTORS = 512
BYTES_PER_MB = 1e6


@dataclass(frozen=True)
class Probe:
    """One health check or filing beside the flood: how long it took, and the kind of its answer."""

    latency_s: float
    answer: str


@dataclass(frozen=True)
class FloodFigures:
    """What one run measured, as it is printed."""

    answers_per_s: int
    cpu_us_each: int
    answer_p50_ms: float | None
    answer_p99_ms: float | None
    ping_p50_ms: float | None
    ping_p99_ms: float | None
    filing_p50_ms: float | None
    filings: int
    filings_served: int
    loop: Any  # of the worker's /status
    served: Any
    rss_mb: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("revision", nargs="?", default=DEFAULT_REVISION, help="the earlier one")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6.0, help="of a flood")
    parser.add_argument("--busy", type=int, default=0, help="busy processes on the worker's processor")


def run(arguments: argparse.Namespace) -> int:
    """Flood both revisions in alternation; print each run, and the ratio of their costs."""
    with checked_out(arguments.revision) as before:

        def run_before() -> FloodFigures:
            return _run_and_print(BEFORE, before, None, arguments)

        def run_now() -> FloodFigures:
            return _run_and_print(NOW, ROOT, {}, arguments)

        pairs = list(paired_rounds(arguments.rounds, run_before, run_now))
    costs = [Pair(float(pair.before.cpu_us_each), float(pair.now.cpu_us_each)) for pair in pairs]
    print(f"processor time of an answer, now/before: {ratio_summary(costs)}")
    return 0


def run_flood(
    root: Path, overload: dict[str, Any] | None, duration_s: float, busy_processes: int
) -> FloodFigures:
    """Flood a worker of a tree for some time; `overload` is its table of that name, or None."""
    settings = short_deadline_settings()
    settings["FamilyInfo"] |= {"Cores": CORES, "HeapKb": HEAP_KB}
    kernel = InstantKernel(after=RUN_DURATION_S)
    worker = WorkerProcess(
        site=settings, kernel=kernel, root=root, overload=overload, sockets=MAX_DESCRIPTORS
    )
    with closing(worker):
        os.sched_setaffinity(worker.process.pid, {WORKER_CPU})
        return _flooded(worker, duration_s, busy_processes)


def _run_and_print(
    name: str, root: Path, overload: dict[str, Any] | None, options: argparse.Namespace
) -> FloodFigures:
    figures = run_flood(root, overload, options.seconds, options.busy)
    print(name, json.dumps(asdict(figures)), flush=True)
    return figures


def _flooded(worker: WorkerProcess, duration_s: float, busy_processes: int) -> FloodFigures:
    address = worker.addresses["ThriftFront"]
    reports: multiprocessing.Queue[RouterReport] = multiprocessing.Queue()
    jobs: list[multiprocessing.Process | threading.Thread] = [
        multiprocessing.Process(target=run_router, args=(tuple(address), duration_s, number + 1, reports))
        for number in range(ROUTERS)
    ]
    jobs += [
        multiprocessing.Process(target=run_busy_process, args=(duration_s + 1,))
        for _ in range(busy_processes)
    ]
    checks: list[Probe] = []
    filings: list[Probe] = []
    jobs.append(threading.Thread(target=_probe, args=(_health_check(worker), duration_s, checks)))
    jobs.append(threading.Thread(target=_probe, args=(_filing(worker), duration_s, filings)))
    cpu_before_s = cpu_s(worker.process.pid)
    for job in jobs:
        job.start()
    routers = [reports.get() for _ in range(ROUTERS)]
    for job in jobs:
        job.join()
    spent_s = cpu_s(worker.process.pid) - cpu_before_s
    return _figures(worker, duration_s, spent_s, routers, checks, filings)


def _figures(
    worker: WorkerProcess,
    duration_s: float,
    spent_s: float,
    routers: list[RouterReport],
    checks: list[Probe],
    filings: list[Probe],
) -> FloodFigures:
    answered = sum(router.answered for router in routers)
    latencies_s = [latency_s for router in routers for latency_s in router.latencies_s]
    check_latencies_s = [probe.latency_s for probe in checks]
    filing_latencies_s = [probe.latency_s for probe in filings]
    status = json.loads(worker.operator_call()[1])
    return FloodFigures(
        answers_per_s=round(answered / duration_s),
        cpu_us_each=round(spent_s / max(1, answered) * US_PER_S),
        answer_p50_ms=rounded_percentile_ms(latencies_s, MEDIAN),
        answer_p99_ms=rounded_percentile_ms(latencies_s, P99),
        ping_p50_ms=rounded_percentile_ms(check_latencies_s, MEDIAN),
        ping_p99_ms=rounded_percentile_ms(check_latencies_s, P99),
        filing_p50_ms=rounded_percentile_ms(filing_latencies_s, MEDIAN),
        filings=len(filings),
        filings_served=sum(probe.answer == "Answer" for probe in filings),
        loop=status.get("overload", {}).get("loop"),
        served=status["served"],
        rss_mb=round(resident_bytes(worker.process.pid) / BYTES_PER_MB, 1),
    )


def _health_check(worker: WorkerProcess) -> Callable[[], str]:
    client = worker.thrift_router()

    def check() -> str:
        return str(client.ping())

    return check


def _filing(worker: WorkerProcess) -> Callable[[], str]:
    """A filing with a new idempotency key at each call; the kind of its answer."""
    client = ThriftRouter(worker.addresses["ThriftFront"])
    numbers = iter(range(10**9))

    def file() -> str:
        return client.call(method="filing", token=f"{next(numbers):032x}")[0]

    return file


def _probe(call: Callable[[], str], duration_s: float, probes: list[Probe]) -> None:
    """Call again and again until the time is up; adds to `probes`."""
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        began_s = time.monotonic()
        answer = call()
        probes.append(Probe(time.monotonic() - began_s, answer))
        time.sleep(PROBE_INTERVAL_S)
