"""Which algorithm to find the concurrency limit by, and what bulkheads, lane and retry budgets do: fleets on
virtual time with the real core and module, each case with and without, on the same draws.

`python -m benchmarks.limit_choice [--seeds N] [--seconds N] [--jobs N] [CASE ...]`. Goodput, and that of
the class that the case is about.
"""

import argparse
import copy
import dataclasses
import tomllib
from pathlib import Path
from statistics import mean

import joblib

from ochrehoist.config.fleet_description import parse
from ochrehoist.config.tables import LimitController, OverloadConfig
from ochrehoist.overload.limiter import AdaptiveLimiter
from ochrehoist.plan.cores import Cores
from ochrehoist.plan.events import Simulation

BASE = tomllib.loads((Path(__file__).parent / "plan" / "base.toml").read_text())
READ, FILING = BASE["classes"]
CHEAP = [
    {**READ, "name": "lookup", "share": 0.5, "work_ms": 10.0, "cv": 0.3},
    {**READ, "share": 0.4},
    {**FILING, "share": 0.1},
]
HEAVY = [{**READ, "heavy_share": 0.02, "heavy_times": 15.0}, FILING]
STORM = {
    "routers": [{**BASE["routers"][0], "retries": 3, "choice": "round"}],
    "clients": {"retries": 2, "wait_ms": 150.0, "heed": 0.3},
}

# Name: demand, changes of the fleet, how many times the real cores are told, and the class that it is about.
CASES = {
    "90%": (0.9, {}, 1, None),
    "120%": (1.2, {}, 1, None),
    "150%": (1.5, {}, 1, None),
    "200%": (2.0, {}, 1, None),
    "twice the cores told, 120%": (1.2, {}, 2, None),
    "twice the cores told, 200%": (2.0, {}, 2, None),
    "half the cores told, 120%": (1.2, {}, 0.5, None),
    "cheap calls, 150%": (1.5, {"classes": CHEAP}, 1, "lookup"),
    "cheap calls, 200%": (2.0, {"classes": CHEAP}, 1, "lookup"),
    "heavy tail, 85%": (0.85, {"classes": HEAVY}, 1, None),
    "heavy tail, 105%": (1.05, {"classes": HEAVY}, 1, None),
    "heavy tail, no work stated, 105%": (1.05, {"classes": HEAVY, "unstated": True}, 1, None),
    "retry storm, 120%": (1.2, STORM, 1, None),
}
OFF = OverloadConfig(admission=False, bulkheads=False, low_priority_lane=False, retry_budget=False)
WAYS: dict[str, OverloadConfig | None] = {
    "module alone": None,
    **{
        name: dataclasses.replace(OFF, bulkheads=True, controller=name)
        for name in LimitController
        if name is not LimitController.MODULE
    },
    "pools": dataclasses.replace(OFF, bulkheads=True),
    "pools, lane": dataclasses.replace(OFF, bulkheads=True, low_priority_lane=True),
    "lane": dataclasses.replace(OFF, low_priority_lane=True),
    "budgets": dataclasses.replace(OFF, retry_budget=True),
    "all": OverloadConfig(low_priority_lane=True, retry_budget=True),
}


def play(case: str, way: str, seed: int, seconds: float) -> tuple[str, str, float, float | None, float]:
    demand, changes, told, about = CASES[case]
    changes = dict(changes)
    unstated = changes.pop("unstated", False)
    fleet = parse(copy.deepcopy(BASE) | changes).at(demand)
    real = fleet.kinds[0]
    if told != 1:  # the load stays that of the real machine
        kinds = [real.model_copy(update={"cores": int(real.cores * told)})]
        fleet = fleet.model_copy(update={"kinds": kinds})
    sim = Simulation(fleet, seed, seconds, settle=8.0)
    for w in sim.workers:
        if told != 1:
            w.machine = dataclasses.replace(w.machine, cores=real.cores)
            w.cores = Cores(w.machine, 0.0, False)
        if WAYS[way] is not None:
            w.owner.register_limiter(AdaptiveLimiter(WAYS[way], w.owner.settings, seed))
        if unstated:
            plain = w._inbound

            def inbound(t, plain=plain):
                r = plain(t)
                r.work_ns = None
                return r

            w._inbound = inbound
    tally = sim.run()
    values = tally.values()
    named = values["classes"][about]["goodput"] if about else None
    return case, way, tally.goodput, named, values["tries_per_call"]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--jobs", type=int, default=-1)
    parser.add_argument("cases", nargs="*")
    given = parser.parse_args()
    cases = given.cases or list(CASES)
    got: dict[tuple[str, str], list[tuple]] = {}
    wanted = [(c, w, s) for c in cases for w in WAYS for s in range(1, given.seeds + 1)]
    runs = joblib.Parallel(n_jobs=given.jobs, return_as="generator_unordered")(
        joblib.delayed(play)(*each, given.seconds) for each in wanted
    )
    for case, way, *rest in runs:
        got.setdefault((case, way), []).append(rest)

    def line(title: str, case: str, which: int, form: str) -> None:
        cells = (format(mean(r[which] for r in got[case, w]), form) for w in WAYS)
        print(f"{title:34}" + "".join(cells), flush=True)

    print(f"{'':34}" + "".join(f"{w:>13}" for w in WAYS))
    for case in cases:
        line(case, case, 0, "13.3f")
        if CASES[case][3]:
            line(f"   {CASES[case][3]}", case, 1, "13.3f")
        if case.startswith("retry"):
            line("   tries for each call", case, 2, "13.2f")


if __name__ == "__main__":
    main()
