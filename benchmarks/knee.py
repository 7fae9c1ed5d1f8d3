"""Ways to find how many may run at once, on machines that none of them knows: work without end, lognormal, on
modelled cores that slow each other past a point. What counts is the work done, as a share of what the best
fixed limit does there, and how long runs take beside it.

`python -m benchmarks.knee [--seconds N]`. Each begins at three limits, far too low, near and far too high;
"halved" is a machine whose cores lose half of their speed in the middle; on "noisy" runs vary by ten times.
"""

import argparse
import math
from dataclasses import dataclass
from random import Random
from statistics import mean

import joblib

from ochrehoist.overload.completion_window import WindowAggregator
from ochrehoist.overload.concurrency_limits import LIMIT_ALGORITHMS, FixedLimit, LimitBounds
from ochrehoist.plan.cores import Cores, Machine


@dataclass(frozen=True)
class Case:
    machine: Machine
    cv: float = 0.9
    halved: bool = False


def machine(cores: int, slow_from: float, slow_to: float) -> Machine:
    return Machine(cores, 1.0, slow_from=slow_from, slow_to=slow_to, crowd=8.0)


CASES = {
    "3 cores": Case(machine(3, 1.3, 0.6)),
    "6 cores": Case(machine(6, 1.3, 0.6)),
    "6 cores, steep": Case(machine(6, 1.0, 0.2)),
    "16 cores, late": Case(machine(16, 2.5, 0.4)),
    "6 cores, noisy": Case(machine(6, 1.3, 0.6), cv=2.5),
    "6 cores, halved": Case(machine(6, 1.3, 0.6), halved=True),
}
STARTS = (2, 8, 60)
WORK_S = 0.3


def play(case: str, controller, seed: int, seconds: float) -> tuple[float, float, float]:
    """Work done a second of the second half, mean time of a run there, and mean limit."""
    c, rng, windows = CASES[case], Random(seed), WindowAggregator()
    m = c.machine
    cores, now, running, number = Cores(m, 0.0, False), 0.0, 0, 0
    sigma = math.sqrt(math.log(1 + c.cv**2))
    works: dict[int, tuple[float, float]] = {}
    done = took = area = 0.0
    ends = 0
    while now < seconds:
        while running < int(controller.limit):
            number += 1
            work = rng.lognormvariate(-sigma * sigma / 2, sigma) * WORK_S
            slow = 2.0 if c.halved and now > seconds / 2 else 1.0
            works[number] = (work, now)
            cores.start(number, work * slow)
            running += 1
        at = cores.next_end()
        windows.record_concurrency(at - now, running)
        area += (at - now) * controller.limit if at > seconds / 2 else 0.0
        now = at
        for ended in cores.advance(now):
            running -= 1
            work, began = works.pop(ended)
            windows.record_completion(now, work, now - began)
            if now > seconds / 2:
                done, took, ends = done + work, took + now - began, ends + 1
        if (w := windows.close(now)) is not None:
            controller.update(w)
    return done / (seconds / 2), took / max(1, ends), area / (seconds / 2)


def best(case: str, seconds: float) -> tuple[float, int]:
    m = CASES[case].machine
    limits = sorted({max(1, round(m.cores * x / 4)) for x in range(2, 17)})
    return max((mean(play(case, FixedLimit(n), s, seconds)[0] for s in (1, 2)), n) for n in limits)


def one(case: str, name: str, start: int, seed: int, seconds: float):
    m = CASES[case].machine
    bounds = LimitBounds(1, m.cores * 8)
    return play(case, LIMIT_ALGORITHMS[name](float(min(start, bounds.maximum)), bounds), seed, seconds)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=240.0)
    seconds = parser.parse_args().seconds
    cases = list(CASES)
    tops = joblib.Parallel(n_jobs=-1)(joblib.delayed(best)(c, seconds) for c in cases)
    wanted = [
        (c, n, start, seed) for c in cases for n in LIMIT_ALGORITHMS for start in STARTS for seed in (1, 2, 3)
    ]
    got = joblib.Parallel(n_jobs=-1)(joblib.delayed(one)(*w, seconds) for w in wanted)
    by = {}
    for (c, n, start, _), values in zip(wanted, got, strict=True):
        by.setdefault((c, n, start), []).append(values)
    print(f"{'':18}{'best':>6}" + "".join(f"{n:>24}" for n in LIMIT_ALGORITHMS))
    for c, (top, at) in zip(cases, tops, strict=True):
        for start in STARTS:
            cells = ""
            for n in LIMIT_ALGORITHMS:
                done, took, limit = (mean(column) for column in zip(*by[c, n, start], strict=True))
                cells += f"{done / top:10.2f} {limit:6.1f} {took:5.2f}s"
            print(f"{c:15} {start:2}{at:6}{cells}")
    print("each: work done as a share of the best fixed limit's, mean limit, mean time of a run")


if __name__ == "__main__":
    main()
