"""What the planner is asked: forecasts over seeds, what breaks first, how many machines, what a loss does."""

import json
import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, stdev
from typing import Any

from ochrehoist.capture.reader import Capture
from ochrehoist.config.fleet_description import Fleet, Workers
from ochrehoist.errors import OchrehoistError
from ochrehoist.plan import analytic
from ochrehoist.plan.demand import Streams, Wish, captured, speeds
from ochrehoist.plan.events import Simulation, Trouble

Progress = Callable[[int, int], None]  # runs that are done, of all
T_95 = {2: 12.71, 3: 4.30, 4: 3.18, 5: 2.78, 6: 2.57, 7: 2.45, 8: 2.36, 9: 2.31, 10: 2.26}
MOST_WORKERS = 2000  # that `size` adds before it gives up
RECOVERED = 0.95  # of the goodput before a loss


class UnanswerableQuestionError(OchrehoistError):
    """More than the model can tell; the text says why. No number is given."""


@dataclass(frozen=True)
class Range:
    """A mean over seeds and its 95% interval; `half` is None where one seed tells no interval."""

    mean: float
    half: float | None

    def __str__(self) -> str:
        return f"{self.mean:.3f}" + ("" if self.half is None else f" ±{self.half:.3f}")

    def values(self) -> dict[str, float | None]:
        return {"mean": round(self.mean, 4), "half": None if self.half is None else round(self.half, 4)}


def ranged(values: Sequence[float]) -> Range:
    if len(values) < 2:
        return Range(values[0], None)
    return Range(mean(values), T_95.get(len(values), 1.96) * stdev(values) / math.sqrt(len(values)))


@dataclass(frozen=True)
class Run:
    """One run to make: picklable, for another process."""

    fleet: Fleet
    seed: int
    seconds: float
    settle: float = 5.0
    troubles: tuple[Trouble, ...] = ()
    wishes: tuple[Wish, ...] | None = None
    recovery_from: float | None = None


def made(run: Run) -> dict[str, Any]:
    tally = Simulation(run.fleet, run.seed, run.seconds, run.settle, run.troubles, run.wishes).run()
    values = tally.values()
    if run.recovery_from is not None:
        before = [
            tally.second_gained[s] / tally.second_asked[s]
            for s in tally.second_asked
            if run.settle <= s < run.recovery_from - 1 and tally.second_asked[s]
        ]
        values["before"] = mean(before) if before else 1.0
        values["recovered_s"] = tally.recovered(run.recovery_from, RECOVERED * values["before"])
    return values


def all_made(runs: Sequence[Run], jobs: int, progress: Progress) -> Iterator[dict[str, Any]]:
    """Results in the order of the runs, spread over processes."""
    if jobs == 1 or len(runs) == 1:
        results = map(made, runs)
    else:
        import joblib

        results = joblib.Parallel(n_jobs=jobs, return_as="generator")(joblib.delayed(made)(r) for r in runs)
    for n, values in enumerate(results, 1):
        progress(n, len(runs))
        yield values


def known(runs: Sequence[Run], jobs: int, progress: Progress, whole: int = 1) -> list[dict[str, Any]]:
    """As `all_made`; interrupted, what is known so far, in groups of `whole` runs that belong together."""
    got: list[dict[str, Any]] = []
    try:
        for values in all_made(runs, jobs, progress):
            got.append(values)
    except KeyboardInterrupt:
        if len(got) < whole:
            raise
    return got[: len(got) // whole * whole]


def forecast_of_capture(
    fleet: Fleet, capture: Capture, seeds: Sequence[int], jobs: int, progress: Progress
) -> dict[str, Any]:
    """What the fleet would make of a recorded load; the seeds draw its speeds and habits."""
    listed, span = captured(fleet, capture, Streams(1))
    return forecast(
        fleet.with_load(len(listed) / max(1.0, span)), seeds, max(12.0, span), jobs, progress, tuple(listed)
    )


def forecast(
    fleet: Fleet,
    seeds: Sequence[int],
    seconds: float,
    jobs: int,
    progress: Progress,
    wishes: tuple[Wish, ...] | None = None,
) -> dict[str, Any]:
    """Goodput by class, tenant and worker, refusals, latencies; what is known so far if interrupted."""
    got = known([Run(fleet, s, seconds, wishes=wishes) for s in seeds], jobs, progress)
    return summed(fleet, got) | {"seeds": len(got), "asked_seeds": len(seeds), "seconds": seconds}


def summed(fleet: Fleet, got: Sequence[dict[str, Any]]) -> dict[str, Any]:
    def over(*path: str) -> Range:
        values = []
        for each in got:
            for key in path:
                each = each[key]
            values.append(each)
        return ranged(values)

    return {
        "goodput": over("goodput").values(),
        "tries_per_call": over("tries_per_call").values(),
        "demand": fleet.demand,
        "rate": fleet.load.rate,
        "shares": {key: over("shares", key).values() for key in got[0]["shares"]},
        "classes": {
            c.name: {key: over("classes", c.name, key).values() for key in got[0]["classes"][c.name]}
            for c in fleet.classes
        },
        "tenants": {t.name: over("tenants", t.name).values() for t in fleet.tenants},
        "workers": got[0]["workers"],
        "seconds_line": got[0]["seconds"],
        "events": got[0]["events"],
    }


def breaks(
    fleet: Fleet,
    factors: Sequence[float],
    seeds: Sequence[int],
    seconds: float,
    jobs: int,
    progress: Progress,
) -> dict[str, Any]:
    """Raises the load step by step; and which limit binds first, on which worker, and what is next once that
    kind's limit is lifted."""
    steps = []
    runs = [Run(fleet.with_load(fleet.load.rate * f), s, seconds) for f in factors for s in seeds]
    got = known(runs, jobs, progress, len(seeds))
    for n, factor in enumerate(factors[: len(got) // len(seeds)]):
        mine = got[n * len(seeds) : (n + 1) * len(seeds)]
        steps.append(
            {
                "factor": factor,
                "rate": fleet.load.rate * factor,
                "goodput": ranged([v["goodput"] for v in mine]).values(),
                "refused": mean(v["shares"]["refused"] for v in mine),
                "busiest": max(mine[0]["workers"], key=lambda w: w["busy"])["address"],
            }
        )
    drawn = speeds(fleet, Streams(seeds[0]))
    first = analytic.steady(fleet, drawn).first
    at = analytic.knee(fleet, drawn) / fleet.load.rate
    lifted = _lifted(fleet, first.kind, first.limit)
    then = analytic.steady(lifted, speeds(lifted, Streams(seeds[0]))).first
    again = analytic.knee(lifted, speeds(lifted, Streams(seeds[0]))) / fleet.load.rate
    return {
        "steps": steps,
        "first": {"limit": first.limit, "worker": first.address, "kind": first.kind, "factor": at},
        "next": {"limit": then.limit, "worker": then.address, "kind": then.kind, "factor": again},
    }


def _lifted(fleet: Fleet, kind: str, limit: str) -> Fleet:
    """The fleet with twice as much of what bound that kind."""
    change = {"cores": "cores", "reading": "cores", "memory": "memory_mb", "connections": "connections"}

    def better(k: Any) -> Any:
        if k.name != kind:
            return k
        if limit == "aim":
            return k.model_copy(update={"speed": (k.speeds[0] * 2, k.speeds[1] * 2)})
        return k.model_copy(update={change[limit]: getattr(k, change[limit]) * 2})

    return fleet.model_copy(update={"kinds": [better(k) for k in fleet.kinds]})


def with_workers(fleet: Fleet, kind: str, count: int) -> Fleet:
    """The fleet with so many workers of one kind: the first that it has, then new ones, sites in turn."""
    here = [w for w in fleet.placed_workers if w.kind == kind]
    others = [w for w in fleet.placed_workers if w.kind != kind]
    taken = {p.address for p in (*fleet.placed_workers, *fleet.placed_routers)}
    addresses = [w.address for w in here[:count]]
    pools = [iter(site.space) for site in fleet.sites]
    while len(addresses) < count:
        pool = pools[len(addresses) % len(pools)]
        address = next((str(ip) for ip in pool if str(ip) not in taken), None)
        if address is None:
            raise UnanswerableQuestionError("the sites' networks have no address left for another worker")
        taken.add(address)
        addresses.append(address)
    groups = [Workers(kind=w.kind, addresses=[w.address]) for w in others]
    if addresses:
        groups.append(Workers(kind=kind, addresses=addresses))
    return Fleet.model_validate(fleet.model_dump() | {"workers": [g.model_dump() for g in groups]})


def size(
    fleet: Fleet, kind: str, goal: float, seeds: Sequence[int], seconds: float, jobs: int, progress: Progress
) -> dict[str, Any]:
    """The smallest number of one kind, beside the others as they are, whose goodput is `goal` by the lower
    end of its interval; and the number that is enough without any one machine."""
    if not 0 < goal < 1:
        raise UnanswerableQuestionError(f"a goal of {goal} is not between 0 and 1")
    asked: dict[tuple[int, bool], float] = {}

    def good(count: int, lost: bool = False) -> bool:
        if (count, lost) not in asked:
            changed = with_workers(fleet, kind, count)
            if lost:
                if len(changed.placed_workers) < 2:
                    return False
                changed = without_strongest(changed)
            got = list(all_made([Run(changed, s, seconds) for s in seeds], jobs, lambda *_: None))
            r = ranged([v["goodput"] for v in got])
            asked[count, lost] = r.mean - (r.half or 0.0)
            progress(len(asked), 0)
        return asked[count, lost] >= goal

    try:
        return _searched(fleet, kind, goal, good, asked)
    except KeyboardInterrupt:
        if not asked:
            raise
        best = max(asked, key=asked.get)
        raise UnanswerableQuestionError(
            f"stopped; so far {best[0]} of {kind} give {asked[best]:.3f}"
        ) from None


def _searched(
    fleet: Fleet, kind: str, goal: float, good: Callable[..., bool], asked: dict[tuple[int, bool], float]
) -> dict[str, Any]:
    others = sum(w.kind != kind for w in fleet.placed_workers)
    low, high = (0 if others else 1), max(1, sum(w.kind == kind for w in fleet.placed_workers))
    while not good(high):
        low, high = high + 1, high * 2
        if high > MOST_WORKERS:
            raise UnanswerableQuestionError(
                f"not reached with {low - 1} of {kind}: what is missing is not machines (see `plan breaks`)"
            )
    while low < high:
        middle = (low + high) // 2
        if middle + others and good(middle):
            high = middle
        else:
            low = middle + 1
    needed = high
    while not good(high, lost=True):
        high += 1
        if high > 2 * needed + 8:
            raise UnanswerableQuestionError(
                f"{needed} of {kind} reach the goal, but none up to {high - 1} bear a loss"
            )
    return {
        "kind": kind,
        "goal": goal,
        "needed": needed,
        "with_one_lost": high,
        "others": others,
        "goodput": asked[needed, False],
        "tried": {str(n): round(v, 4) for (n, lost), v in sorted(asked.items()) if not lost},
        "tried_one_lost": {str(n): round(v, 4) for (n, lost), v in sorted(asked.items()) if lost},
    }


def without_strongest(fleet: Fleet) -> Fleet:
    """The fleet without one machine of the kind whose loss costs most."""

    def strength(kind: str) -> float:
        k = fleet.kind(kind)
        return k.cores * sum(k.speeds)

    strongest = max((w.kind for w in fleet.placed_workers), key=strength)
    return with_workers(fleet, strongest, sum(w.kind == strongest for w in fleet.placed_workers) - 1)


def lose(
    fleet: Fleet,
    site: str,
    at: float,
    back: float | None,
    seeds: Sequence[int],
    seconds: float,
    jobs: int,
    progress: Progress,
) -> dict[str, Any]:
    """A site is lost at once, and returns cold; whether the rest bears it, and when all is as before."""
    which = tuple(n for n, w in enumerate(fleet.placed_workers) if w.site == site)
    if not which:
        raise UnanswerableQuestionError(
            f"no worker lies in {site!r}; there are {[s.name for s in fleet.sites]}"
        )
    if len(which) == len(fleet.placed_workers):
        raise UnanswerableQuestionError(f"all workers lie in {site!r}: nothing is left to forecast")
    during = back if back is not None else seconds
    if math.ceil(at) >= during:
        raise UnanswerableQuestionError(
            f"it is gone from second {at:g} to {during:g}: no whole second, too short to tell"
        )
    trouble = Trouble(at, which, back, site)
    runs = [Run(fleet, s, seconds, troubles=(trouble,), recovery_from=at) for s in seeds]
    got = known(runs, jobs, progress)

    def part(values: dict[str, Any], first: float, last: float) -> float:
        return mean(v for s, v in values["seconds"] if first <= s < last)

    times = [v["recovered_s"] for v in got]
    return {
        "site": site,
        "workers": len(which),
        "of": len(fleet.placed_workers),
        "at": at,
        "back": back,
        "before": ranged([v["before"] for v in got]).values(),
        "during": ranged([part(v, at, during) for v in got]).values(),
        "worst_second": min(v for r in got for s, v in r["seconds"] if at <= s < seconds - 1),
        "tips_over": sum(t is None for t in times),
        "seeds": len(got),
        "recovered_s": None if None in times else ranged(times).values(),
        "seconds_line": got[0]["seconds"],
        "events": got[0]["events"],
    }


def measured(
    fleet: Fleet, seed: int, seconds: float, lost: str | None, progress: Progress, record: Path | None = None
) -> dict[str, Any]:
    """One run in real time with real workers, and the forecast of the same draw; `record` is a folder for
    what the workers saw. Raises measure.Failed."""
    from ochrehoist.plan.measure import Play

    troubles: tuple[Trouble, ...] = ()
    if lost is not None:
        which = tuple(n for n, w in enumerate(fleet.placed_workers) if w.site == lost)
        if not which or len(which) == len(fleet.placed_workers):
            raise UnanswerableQuestionError(
                f"{lost!r} holds {len(which)} of {len(fleet.placed_workers)} workers"
            )
        troubles = (Trouble(seconds / 2, which, None, lost),)
    forecast_of = Simulation(fleet, seed, seconds, troubles=troubles).run()
    capture = None if record is None else f"[capture]\nfolder = {json.dumps(str(record.absolute()))}\n"
    play = Play(fleet, seed, seconds, troubles=troubles, operators=capture)
    real = play.run(lambda share: progress(int(share * 100), 100))
    return {
        "measured": real.values(),
        "forecast": forecast_of.values(),
        "ratio": forecast_of.goodput / max(1e-9, real.goodput),
        "late_p99_ms": float(play.late.get_value_at_percentile(99)),
    }


def compare(
    a: Fleet, b: Fleet, seeds: Sequence[int], seconds: float, jobs: int, progress: Progress
) -> dict[str, Any]:
    """Two fleets on the same seeds: each one's goodput, and the interval of the difference, pair by pair."""
    got = known([Run(f, s, seconds) for s in seeds for f in (a, b)], jobs, progress, 2)
    pairs = [(got[n]["goodput"], got[n + 1]["goodput"]) for n in range(0, len(got), 2)]
    difference = ranged([second - first for first, second in pairs])
    clear = difference.half is not None and abs(difference.mean) > difference.half
    return {
        "a": ranged([p[0] for p in pairs]).values(),
        "b": ranged([p[1] for p in pairs]).values(),
        "difference": difference.values(),
        "clear": clear,
        "seeds": len(pairs),
        "pairs": pairs,
    }
