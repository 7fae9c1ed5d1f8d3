"""Goodput of the first seconds after a restart, with the learned state and without.

A worker under one and a half times what its cores can do, on an emulated kernel (two cores shared by all
runs, and slower the more there are), is killed after 12 s and started again. A read counts that is answered
within its latency objective. By turns: a store as it was left, and a store from which the learned state was
removed; the steady state before the kill is the measure for both.
"""

import argparse
import tempfile
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
from typing import Any

from benchmarks.shared.stand_ins import Settings, WorkerProcess, site_settings
from benchmarks.store.emulated_kernel import CORES, MEAN_WORK_S, WORK_FACTORS, EmulatedKernel
from benchmarks.store.open_loop_router import LARGE, LARGE_SHARE, SMALL, OpenLoopRouter
from ochrehoist.store import files
from ochrehoist.store.database import LEARNED_STATE_NAME, Database

MS = 1_000_000
OVERLOAD = 1.5  # offered load by capacity
ROUTERS = 3
HEAP_KB = 900_000.0
STEADY_S = 12.0
FIRST_S = 10.0  # after the restart
RESTART_SEED = 1000  # between the seeds of the loads before and after the kill
LEAST_LOSS = 0.005  # under which there is nothing to regain


@dataclass(frozen=True)
class RestartGoodput:
    """Shares of requests answered in time: before the kill, and in the first seconds after the restart."""

    steady: float
    first: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("rounds", nargs="?", type=int, default=5)


def run(arguments: argparse.Namespace) -> int:
    """Restart with the learned state and without, in alternation; print each restart and the means."""
    warm, cold = [], []
    for seed in range(arguments.rounds):
        warm.append(restart_goodput(seed, keep_learned_state=True))
        print_restart(seed, "warm", warm[-1])
        cold.append(restart_goodput(seed, keep_learned_state=False))
        print_restart(seed, "from nothing", cold[-1])
    print_means(warm, cold)
    return 0


def restart_goodput(seed: int, keep_learned_state: bool) -> RestartGoodput:
    """Kill and restart one worker under load."""
    with tempfile.TemporaryDirectory(dir=".") as folder, closing(EmulatedKernel(seed)) as kernel:
        store_folder = Path(folder, "state")
        first = _start(kernel, store_folder)
        with closing(first):
            steady = _goodput(first, seed, STEADY_S)
            first.process.kill()
        if not keep_learned_state:
            _remove_learned_state(store_folder)
        kernel.restart()
        with closing(_start(kernel, store_folder)) as second:
            return RestartGoodput(steady, _goodput(second, seed + RESTART_SEED, FIRST_S))


def print_restart(seed: int, start: str, goodput: RestartGoodput) -> None:
    """Print the line of one restart."""
    print(
        f"round {seed}: steady {goodput.steady:.3f}, first {FIRST_S:.0f} s {start} {goodput.first:.3f}",
        flush=True,
    )


def print_means(warm: list[RestartGoodput], cold: list[RestartGoodput]) -> None:
    """Print the means, and the part of the loss that the learned state regains."""
    steady = fmean(goodput.steady for goodput in warm + cold)
    with_state = fmean(goodput.first for goodput in warm)
    without_state = fmean(goodput.first for goodput in cold)
    loss = steady - without_state
    regained = (
        f"{(with_state - without_state) / loss:.0%} of the loss regained"
        if loss > LEAST_LOSS
        else "no loss to regain"
    )
    print(f"goodput: steady {steady:.3f}, warm {with_state:.3f}, nothing {without_state:.3f}; {regained}")


def _start(kernel: EmulatedKernel, store_folder: Path) -> WorkerProcess:
    state = {"folder": str(store_folder), "learned_every_s": 1}
    return WorkerProcess(thrift=True, ajp=True, site=_settings(), kernel=kernel, rules=[], state=state)


def _goodput(worker: WorkerProcess, seed: int, duration_s: float) -> float:
    """The share of requests that were answered in time."""
    small_share = 1 - LARGE_SHARE
    mean_work_s = MEAN_WORK_S * (small_share * WORK_FACTORS[SMALL] + LARGE_SHARE * WORK_FACTORS[LARGE])
    requests_per_s = OVERLOAD * CORES / mean_work_s / ROUTERS
    routers = [
        OpenLoopRouter(worker, seed * 10 + number, requests_per_s, duration_s) for number in range(ROUTERS)
    ]
    for router in routers:
        router.start()
    for router in routers:
        router.join()
    return sum(router.good for router in routers) / sum(router.sent for router in routers)


def _remove_learned_state(store_folder: Path) -> None:
    database = Database(store_folder / files.store_file_name())
    database.connection.execute("DELETE FROM named WHERE name = ?", (LEARNED_STATE_NAME,))
    database.close()


def _settings() -> Settings:
    settings = site_settings()
    settings["Classes"] = [
        _request_class(SMALL, objective_ms=200, deadline_ms=800),
        _request_class(LARGE, objective_ms=500, deadline_ms=1200),
    ]
    settings["FamilyInfo"] |= {"Cores": CORES, "HeapKb": HEAP_KB}
    return settings


def _request_class(name: str, objective_ms: int, deadline_ms: int) -> dict[str, Any]:
    return {
        "Name": name,
        "Slo": objective_ms * MS,
        "Deadline": deadline_ms * MS,
        "Gain": 1.0,
        "Repeat": "idempotent",
    }
