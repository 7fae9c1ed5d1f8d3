"""What witnesses cost a filing, and many restarts with stores kept, removed and older.

`witness-latency`: filings with none, one, two and three witnesses, and with one of three that answers
slowly, in one run. `restarts N`: so many restarts of real workers; the exit code is 1 where an invariant
was broken, as by a filing that ran twice.
"""

import argparse
import logging
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from benchmarks.shared.samples import MEDIAN, P99, percentile_ms
from ochrehoist.lab.outcomes import SERVED
from ochrehoist.lab.scenario import parse
from ochrehoist.lab.scenario_runner import ScenarioRun

WORK_MS = 2
WINDOW_S = 5.0
CLASSES = [
    {"name": "filing", "share": 0.9, "work_ms": WORK_MS, "keyed": True, "window_s": WINDOW_S},
    {"name": "read", "share": 0.1, "work_ms": WORK_MS},
]
WARMUP_S = 2  # of a scenario, in which filings do not count
MEASURED_WORKER, WITNESS = "w0", "w1"
SLOW_WITNESS = {"at": 0.5, "kind": "delay", "who": [WITNESS], "lasts": 11.0, "amount": 0.4}
RESTART_ROUNDS = 3  # in one scenario
FIRST_KILL_S, KILL_INTERVAL_S = 7.0, 3
RESTARTED_WORKERS = ("w0", "w1", "w2")  # the fourth stays
STORES = ("removed", "kept", "older")


@dataclass(frozen=True)
class WitnessCase:
    """So many witnesses, and what is done to them."""

    name: str
    witnesses: int
    faults: list[dict[str, Any]] = field(default_factory=list)


WITNESS_CASES = (
    WitnessCase("none", 0),
    WitnessCase("one", 1),
    WitnessCase("two", 2),
    WitnessCase("three", 3),
    WitnessCase("three, one slow (0.2 to 0.4 s)", 3, [SLOW_WITNESS]),
)


@dataclass(frozen=True)
class FilingLatencies:
    """Latencies in seconds of the filings that one worker served, and how many invariants were broken."""

    latencies_s: list[float]
    broken_invariants: int


@dataclass(frozen=True)
class RestartOutcome:
    """One scenario with restarts: what was broken, and how many workers were restarted."""

    seed: int
    broken_invariants: list[str]
    restarts: int


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    kinds = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
    kinds.add_parser("witness-latency", help="of filings, by witnesses")
    restarts = kinds.add_parser("restarts", help="of workers, with their stores kept, removed and older")
    restarts.add_argument("count", nargs="?", type=int, default=2000)
    restarts.add_argument("--jobs", type=int, default=4)


def run(arguments: argparse.Namespace) -> int:
    """Measure what was asked for and print it; 1 where restarts broke an invariant."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    if arguments.kind == "witness-latency":
        for case in WITNESS_CASES:
            print_latencies(case, filing_latencies(case))
        return 0
    return _restart(arguments.count, arguments.jobs)


def filing_latencies(case: WitnessCase) -> FilingLatencies:
    """Run with so many witnesses; the filings of one worker, whose witness is the one that may be slow."""
    play, verdict = _run_scenario(1, case.witnesses, case.faults)
    latencies_s = [
        attempt.ended_s - attempt.started_s
        for call in play.calls
        if call.idempotency_key and call.started_s > WARMUP_S
        for attempt in call.attempts
        if attempt.status == SERVED and attempt.worker == MEASURED_WORKER and attempt.ended_s is not None
    ]
    return FilingLatencies(latencies_s, len(verdict["broken"]))


def restart_outcomes(count: int, jobs: int) -> Iterator[RestartOutcome]:
    """Run scenarios until so many workers were restarted."""
    restarted = seed = 0
    with ProcessPoolExecutor(jobs) as pool:
        while restarted < count:
            for outcome in pool.map(restart_outcome, range(seed, seed + jobs)):
                restarted += outcome.restarts
                yield outcome
            seed += jobs


def restart_outcome(seed: int) -> RestartOutcome:
    """One scenario of three rounds: one to three of four workers are killed at one moment."""
    faults: list[dict[str, Any]] = [
        {
            "at": FIRST_KILL_S + KILL_INTERVAL_S * number,
            "kind": "kill",
            "who": list(RESTARTED_WORKERS[: 1 + (seed + number) % len(RESTARTED_WORKERS)]),
            "lasts": 0.1 * (seed % 4),
            "store": STORES[(seed + number) % len(STORES)],
        }
        for number in range(RESTART_ROUNDS)
    ]
    load = {"rate": 60.0, "tries": 15, "wait_ms": 150}
    _, verdict = _run_scenario(seed, 2, faults, seconds=18.0, load=load)
    restarts = sum(len(fault["who"]) for fault in faults)
    return RestartOutcome(seed, verdict["broken"], restarts)


def print_latencies(case: WitnessCase, latencies: FilingLatencies) -> None:
    """Print the line of one case."""
    print(
        f"{case.name}: {len(latencies.latencies_s)} filings at {MEASURED_WORKER}, "
        f"p50 {percentile_ms(latencies.latencies_s, MEDIAN):.1f} ms, "
        f"p99 {percentile_ms(latencies.latencies_s, P99):.1f} ms, broken {latencies.broken_invariants}",
        flush=True,
    )


def _restart(count: int, jobs: int) -> int:
    """Print what was broken and how far it is; the exit code."""
    restarted = scenarios_with_broken = 0
    for outcome in restart_outcomes(count, jobs):
        restarted += outcome.restarts
        scenarios_with_broken += bool(outcome.broken_invariants)
        for line in outcome.broken_invariants:
            print(f"seed {outcome.seed}: {line}", flush=True)
        print(
            f"{restarted} of {count} restarts, {scenarios_with_broken} scenarios with a broken invariant",
            flush=True,
        )
    return 1 if scenarios_with_broken else 0


def _run_scenario(
    seed: int, witnesses: int, faults: list[dict[str, Any]], **more: Any
) -> tuple[ScenarioRun, dict[str, Any]]:
    values = {
        "name": "recovery",
        "seconds": 12.0,
        "workers": 4,
        "state": True,
        "faults": faults,
        "load": {"rate": 80.0},
        "services": {"shared": 0},
        "classes": CLASSES,
        "tables": {"recovery": {"witnesses": witnesses}},
        "balancer": {"choice": "weighted", "check_s": 0.2, "redispatch": True},
    }
    play = ScenarioRun(parse(values | more), seed)
    return play, play.run()
