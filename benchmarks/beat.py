"""What a beat and a request cost the decision module, by the number of tenants, beside an earlier version.

    python -m benchmarks.beat 000e6de

Both run in one process, by turns, each with the types of its own tree. A beat is timed alone, in processor
time of the thread (us). A request is its arrival and its end together, in short rounds in which each goes
first every other time: the median of the rounds, and of the ratio within each. Memory is what the module
takes beyond its settings, as tracemalloc counts it. `active` tenants have asked before and were served, at
`lacking` ones it failed; the others never asked.
"""

import argparse
import json
import os
import random
import statistics
import time
import tracemalloc
from typing import Any

from benchmarks.decision_api import DecisionApi
from benchmarks.decision_histories import FAILED, OK, request_class, settings_of
from benchmarks.earlier import versions
from ochrehoist.lab.workers import ROOT

MS, S = 1_000_000, 1_000_000_000
KEYED = 1  # position in the enum Idempotency
SIZES = (  # tenants, active, and whether these lack answers
    (3, 0, False),
    (3, 3, False),
    (100, 0, False),
    (1000, 0, False),
    (10_000, 0, False),
    (58_000, 0, False),
    (58_000, 2000, False),
    (58_000, 2000, True),
    (58_000, 8000, False),
)
CALM, BUSY = 0, 24  # requests that wait while others are measured
BLOCKS = 4  # of beats, by turns: a version's own caches, as in a process of its own


def settings(api: DecisionApi, tenants: int) -> Any:
    classes = (
        request_class(api, name="read", latency_objective_ns=800 * MS, deadline_ns=3 * S),
        request_class(
            api,
            name="write",
            latency_objective_ns=2 * S,
            deadline_ns=5 * S,
            priority_weight=3.0,
            idempotency=api.member("Idempotency", KEYED),
        ),
        request_class(api, name="report", latency_objective_ns=4 * S, deadline_ns=9 * S, priority_weight=2.0),
    )
    return settings_of(
        api,
        classes=classes,
        tenants=tuple(api.settings_types["Tenant"](f"tenant-{n}", 40.0, 1 / tenants) for n in range(tenants)),
        objective=api.settings_types["ObjectiveWeights"](0.45, 0.15, 0.3, 0.1),
        fleet_size=12,
        caller_count=10,
        cores=4,
        memory_kb=1e6,
        collapse_multiple=3.0,
        collapse_after_ns=S,
        over_quota_weight=0.1,
        max_retry_after_ns=S,
    )


class Module:
    """One version at one size, with its own clock."""

    def __init__(self, api: DecisionApi, tenants: int, active: int, lacking: bool = False) -> None:
        told = settings(api, tenants)
        self.events, self.start_run = api.event_types, api.action_types["StartRun"]
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        self.controller = api.controller(told, 1)
        self.now, self.number, self.rng = 1000 * S, 0, random.Random(1)
        self.tell(api.event("InstanceStarted"))
        self.tenants, self.active = tenants, self.rng.sample(range(tenants), active)
        self.waiting: list[str] = []
        self.running: list[str] = []
        self.born_kb = (tracemalloc.get_traced_memory()[0] - before) / 1000
        tracemalloc.stop()
        self.outcome = api.outcomes[FAILED if lacking else OK]
        for tenant in self.active:
            self.request(tenant)
        self.beats: list[int] = []

    def tell(self, event: Any) -> list[Any]:
        return self.controller.handle(self.now, event)

    def request(self, tenant: int) -> None:
        self.number += 1
        job = f"r{self.number}"
        acts = self.tell(
            self.events["RequestReceived"](
                job, self.number % 3, tenant, None, None, None, 10.0, 0.0, False, False, self.number % 10
            )
        )
        for a in acts:
            if isinstance(a, self.start_run):
                self.running.append(a.id)
        self.now += 1
        if self.running and len(self.controller.jobs) > self.depth:
            acts = self.tell(self.events["RequestCompleted"](self.running.pop(0), self.outcome, 20 * MS))
            self.running += [a.id for a in acts if isinstance(a, self.start_run)]

    depth = 0  # requests that stay open behind the one that comes

    def beat(self) -> None:
        self.now += 100 * MS
        for _ in range(min(20, len(self.active))):  # as many as come in a beat, of those that came before
            self.request(self.rng.choice(self.active))
        began = time.thread_time_ns()
        self.tell(self.events["TimerFired"](1, {"cpu_busy": 0.5}))
        self.beats.append(time.thread_time_ns() - began)

    def requests(self, count: int, depth: int) -> float:
        """us of processor time for each."""
        self.depth = depth
        tenants = [self.rng.randrange(self.tenants) for _ in range(count)]
        for _ in range(depth):
            self.request(0)
        began = time.thread_time_ns()
        for tenant in tenants:
            self.request(tenant)
        return (time.thread_time_ns() - began) / count / 1000


def row(apis: dict[str, DecisionApi], tenants: int, active: int, lacking: bool, scale: float) -> dict:
    out: dict[str, Any] = {"tenants": tenants, "active": active, "lacking": lacking}
    modules = {name: Module(api, tenants, active, lacking) for name, api in apis.items()}
    for _ in range(BLOCKS):
        for module in modules.values():
            module.beat()  # after the other version's block it finds nothing in the caches: not counted
            del module.beats[-1]
            for _ in range(max(3, int(scale * 500))):
                module.beat()
    for name, module in modules.items():
        times = sorted(module.beats)
        out[name] = {
            "beats": len(times),
            "p50_us": times[len(times) // 2] / 1000,
            "p99_us": times[int(len(times) * 0.99)] / 1000,
            "most_us": times[-1] / 1000,
            "memory_kb": round(module.born_kb, 1),
        }
    out["beat_ratio"] = round(out["now"]["p50_us"] / out["before"]["p50_us"], 3)
    for depth, what in ((CALM, "request"), (BUSY, "request_queue")):
        rounds = [
            {name: modules[name].requests(60, depth) for name in sorted(modules, reverse=bool(turn % 2))}
            for turn in range(max(2, int(scale * 150)))
        ]
        for name in modules:
            out[name][what + "_us"] = round(statistics.median(costs[name] for costs in rounds), 2)
        out[what + "_ratio"] = round(statistics.median(c["now"] / c["before"] for c in rounds), 3)
    return out


def side_by_side(api: DecisionApi, few: int, many: int, scale: float) -> dict[str, Any]:
    """This version alone at two sizes, nobody active, in short blocks by turns: the load of the machine
    changes within a run, and is the same for both."""
    modules = {size: Module(api, size, 0) for size in (few, many)}
    for _ in range(int(scale * 100)):
        for module in modules.values():
            for _ in range(40):
                module.beat()
    at = {size: sorted(module.beats) for size, module in modules.items()}
    out = {
        f"p{part}_us": {size: times[len(times) * part // 100] / 1000 for size, times in at.items()}
        for part in (50, 99)
    }
    return {"beats": len(at[few])} | out | {"p99_ratio": round(out["p99_us"][many] / out["p99_us"][few], 2)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("revision")
    parser.add_argument("--scale", type=float, default=1.0, help="of the beats and requests measured")
    args = parser.parse_args()
    with versions(args.revision) as ((_, tree), _):
        apis = {"before": DecisionApi(tree), "now": DecisionApi(ROOT)}
        for size in SIZES:
            print(json.dumps(row(apis, *size, args.scale)), flush=True)
    print(json.dumps(side_by_side(apis["now"], 3, 58_000, args.scale)))
    print(json.dumps({"load": os.getloadavg()}))


if __name__ == "__main__":
    main()
