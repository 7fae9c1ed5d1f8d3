"""The fleet in steady state, by figures alone: offered work with the fixed point of retries, and what binds
each worker. No I/O.

It checks the event model where both apply: constant load, warm machines, the hold short against the aims.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from ochrehoist.config.fleet_description import Choice, Fleet, Kind
from ochrehoist.plan.demand import lognormal, popularity
from ochrehoist.plan.routing import rendezvous

ROUNDS = 200  # of the fixed point; it is damped by half
USABLE = 0.97  # of the cores that a hold which is never empty keeps busy
SAMPLES = 4000  # of the work of a class
WAITED = 0.6  # of what an aim leaves after the run that a hold in overload lets requests wait


@dataclass(frozen=True)
class WorkerState:
    """One worker in steady state."""

    address: str
    kind: str
    speed: float
    tries: float  # a second
    served: float  # a second
    load: float  # work offered, reading included, of what its cores can do
    memory: float  # share in use
    connections: float  # share in use
    limit: str  # what binds it first: cores, reading, memory, connections, or aim
    headroom: float  # the load grows by this factor before that binds; under 1 it binds now


@dataclass(frozen=True)
class Steady:
    goodput: float
    tries_per_call: float
    workers: list[WorkerState]

    @property
    def first(self) -> WorkerState:
        """The worker that binds first."""
        return min(self.workers, key=lambda w: w.headroom)


def _shares(fleet: Fleet, speeds: Sequence[float]) -> tuple[np.ndarray, np.ndarray]:
    """The share of each worker in first tries, routers together; and in proportion to its room, for those who
    look at what is open."""
    kinds = [fleet.kind(w.kind) for w in fleet.placed_workers]
    room = np.array([k.cores * v for k, v in zip(kinds, speeds, strict=True)])
    count, out = len(room), np.zeros(len(room))
    groups = [fleet.routers[r.group] for r in fleet.placed_routers]
    whole = sum(g.weight for g in groups)
    by_subject: np.ndarray | None = None
    looks = 0.0
    for g in groups:
        part = g.weight / whole
        if g.choice is Choice.SUBJECT:
            if by_subject is None:
                by_subject = _by_subject(fleet, count)
            out += part * by_subject
        elif g.choice is Choice.WEIGHTED:
            out += part * room / room.sum()
        elif g.choice is Choice.ROUND:
            out += part / count
        else:
            looks += part
    return out, looks * room / room.sum()


def _by_subject(fleet: Fleet, count: int) -> np.ndarray:
    load, out = fleet.load, np.zeros(count)
    workers = range(count)
    hot = load.hot_share if load.hot else 0.0
    weights = popularity(load.subjects, load.zipf) * (1 - hot)
    for at in range(min(load.subjects, 2000)):  # the rest is even enough
        out[rendezvous(at + 1, workers)] += weights[at]
    out += weights[2000:].sum() / count
    for at in range(load.hot):
        out[rendezvous(load.subjects + 1 + at, workers)] += hot / load.hot
    return out / out.sum()


def erlang_c(servers: int, offered: float) -> float:
    """The chance that one has to wait, of `offered` servers' worth of work."""
    if offered >= servers:
        return 1.0
    term = total = 1.0
    for n in range(1, servers):
        term *= offered / n
        total += term
    last = term * offered / servers * servers / (servers - offered)
    return last / (total + last)


def _again(left: float, again: float, routers: float, clients: int) -> float:
    """Further tries for each call where the share `left` of the tries is refused. The module wishes that a
    marked try is not sent around, and of the others the more, the more marked ones come."""
    final = min(1.0, 2 * again / (1 + again))
    around = min(1.0, routers) * left * (1 - final)
    failed = left - around * (1 - left)
    return around + sum(failed * left**n for n in range(clients))


def _by_worth(fleet: Fleet, served: float) -> float:
    """The share of the worth that is got where so much of the calls is served, the dearest first."""
    total = gained = 0.0
    for c in sorted(fleet.classes, key=lambda c: -c.worth):
        part = min(1.0, served / c.share) if c.share else 0.0
        served = max(0.0, served - c.share)
        total += c.share * c.worth * c.mean_ms
        gained += part * c.share * c.worth * c.mean_ms
    return gained / total


def _in_time(
    fleet: Fleet, kind: Kind, speed: float, load: float, rng: np.random.Generator
) -> tuple[float, float]:
    """Of what is served, the worth's share; of what comes, the share that no idle machine ends by its aim."""
    gained = total = hopeless = 0.0
    for c in fleet.classes:
        work = lognormal(rng, c.work_ms / 1000, c.cv, SAMPLES) / speed
        heavy = rng.uniform(size=SAMPLES) < c.heavy_share
        work[heavy] *= c.heavy_times
        aim, due = c.aim_ms / 1000, c.deadline_ms / 1000
        # At the most what waits in overload, where what would wait longer is turned away.
        wait = rng.uniform(0.3, 1.0, SAMPLES) * WAITED * aim * (1 - 1 / (1 + kind.cores))
        if load < 1:
            waits = erlang_c(kind.cores, load * kind.cores)
            drain = kind.cores * (1 - load) / max(1e-9, float(work.mean()))
            some = np.where(rng.uniform(size=SAMPLES) < waits, rng.exponential(1 / drain, SAMPLES), 0.0)
            wait = np.minimum(wait, some)
        ends, worth = work + wait, c.share * c.worth * c.mean_ms
        # Worth is by work: a large one that no idle machine ends in time weighs more than its count.
        good = float(work[ends <= aim].sum() / work.sum())
        late = float(work[(ends > aim) & (ends <= due)].sum() / work.sum())
        gained += worth * (good + c.late_worth * late)
        total += worth
        hopeless += c.share * float((work > aim).mean())
    return gained / total, hopeless


def steady(fleet: Fleet, speeds: Sequence[float], seed: int = 0) -> Steady:
    """`speeds`: of each worker in the fleet's order. The same for the same arguments.

    Within an aim the work that comes swings about its mean, in a small fleet by much: goodput is that of
    three loads, as Gauss and Hermite weigh them. Workers are told at the mean.
    """
    middle, rate = _at(fleet, speeds, seed), fleet.load.rate
    aim = sum(c.share * c.aim_ms for c in fleet.classes) / 1000
    spread = sum(c.share * (1 + c.cv**2) for c in fleet.classes)
    swing = min(0.5, math.sqrt(3 * spread / max(1.0, rate * aim)))
    low, high = (_at(fleet.with_load(rate * (1 + part)), speeds, seed).goodput for part in (-swing, swing))
    # The share of the worth: what comes in a heavier spell weighs by its load.
    goodput = ((1 - swing) * low + 4 * middle.goodput + (1 + swing) * high) / 6
    return Steady(goodput, middle.tries_per_call, middle.workers)


def _at(fleet: Fleet, speeds: Sequence[float], seed: int) -> Steady:
    """At one load, without its swing."""
    placed = fleet.placed_workers
    kinds = [fleet.kind(w.kind) for w in placed]
    mean, read = fleet.mean_work_s, fleet.intake.share * fleet.mean_work_s
    capacity = np.array([k.cores * v for k, v in zip(kinds, speeds, strict=True)])
    direct, looking = _shares(fleet, speeds)
    share = direct + looking
    rate, refused = fleet.load.rate, np.zeros(len(placed))
    retries = sum(r.weight * r.retries for r in (fleet.routers[p.group] for p in fleet.placed_routers)) / sum(
        fleet.routers[p.group].weight for p in fleet.placed_routers
    )
    tries, again = rate * share, 0.0
    for _ in range(ROUNDS):
        # What is refused comes again, at the others, as often as routers and clients try.
        left = float((tries * refused).sum()) / max(1e-9, float(tries.sum()))
        again = _again(left, again, retries, fleet.clients.retries)
        spread = np.maximum(1e-9, (1 - refused) * capacity) if refused.any() else capacity
        wanted = rate * (share + again * spread / spread.sum())
        tries = (tries + wanted) / 2
        room = np.maximum(0.0, USABLE * capacity - tries * read) / mean
        refused = np.where(tries > room, 1 - room / np.maximum(1e-9, tries), 0.0)
    served = tries * (1 - refused)
    states, gained, value = [], 0.0, 0.0
    kb = sum(fleet.intake.held_kb) / 2
    keyed = sum(c.share * c.window_ms / 1000 for c in fleet.classes if c.repeat == "deduplicated")
    known: dict[tuple[str, int, int], tuple[float, float]] = {}
    for n, (p, k) in enumerate(zip(placed, kinds, strict=True)):
        load = float(tries[n] * (mean * (1 - refused[n]) + read) / capacity[n])
        offered = float(tries[n] * (mean + read) / capacity[n])
        key = p.kind, round(speeds[n] * 50), round(min(load, 1.0) * 50)
        if key not in known:
            # The same draws at every load: a little less of it must not come out worse by chance.
            draws = np.random.default_rng(seed)
            known[key] = _in_time(fleet, k, speeds[n], offered if offered > USABLE else load, draws)
        part, hopeless = known[key]
        gained += float(served[n]) * part
        value += float(served[n])
        running = min(k.cores * 1.3, float(served[n]) * mean / speeds[n] + 1)
        memory = (
            running * kb * fleet.intake.run_factor
            + float(served[n]) * keyed * fleet.intake.key_kb
            + float(tries[n]) * 0.3 * kb
        ) / (k.memory_mb * 1000)
        connections = len(fleet.placed_routers) / k.connections
        reading = float(tries[n]) * read / capacity[n]
        limits = {
            "cores": offered / USABLE,
            "reading": reading / USABLE,
            "memory": memory,
            "connections": connections,
            "aim": hopeless / 0.25,
        }
        limit = max(limits, key=lambda name: limits[name])
        states.append(
            WorkerState(
                p.address,
                p.kind,
                speeds[n],
                float(tries[n]),
                float(served[n]),
                offered,
                memory,
                connections,
                limit,
                1 / max(1e-9, limits[limit]),
            )
        )
    good = _by_worth(fleet, min(1.0, value / rate)) * gained / value if value else 0.0
    return Steady(good, float(tries.sum()) / rate, states)


def knee(fleet: Fleet, speeds: Sequence[float]) -> float:
    """The rate at which the first worker's binding limit is reached, by bisection."""
    low, high = fleet.load.rate * 0.01, fleet.load.rate * 100
    for _ in range(40):
        middle = math.sqrt(low * high)
        if steady(fleet.with_load(middle), speeds).first.headroom >= 1:
            low = middle
        else:
            high = middle
    return low
