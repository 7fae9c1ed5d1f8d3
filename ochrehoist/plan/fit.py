"""What a capture tells of what nobody has measured: speeds, the crowd, reading, popularity, repeats.

Each estimate has an interval (95%, by resampling) or says why the capture cannot tell. No I/O.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.capture.records import RequestOutcome

RESAMPLES = 300
FEWEST = 40  # values under which nothing is said
CLEAR = 0.93  # of the capacity, under which a crowd counts as slower
SLOWS = "running a core, past which work slows"
CALM = 0.5  # of the cores busy, up to which a wait to be read is reading itself


@dataclass(frozen=True)
class Estimate:
    """`value` is None where the capture cannot tell; `note` says why, or what to mind."""

    what: str
    value: float | None
    low: float | None = None
    high: float | None = None
    count: int = 0
    note: str = ""

    def line(self) -> dict[str, Any]:
        return dict(self.__dict__)


def estimated(
    what: str, values: np.ndarray, of: Callable[[np.ndarray], float], rng: np.random.Generator, note: str = ""
) -> Estimate:
    if len(values) < FEWEST:
        return Estimate(what, None, count=len(values), note=f"only {len(values)} values; {FEWEST} are needed")
    samples = [of(values[rng.integers(0, len(values), len(values))]) for _ in range(RESAMPLES)]
    low, high = np.quantile(samples, (0.025, 0.975))
    return Estimate(what, float(of(values)), float(low), float(high), len(values), note)


def median(values: np.ndarray) -> float:
    return float(np.median(values))


def fitted(capture: Capture, seed: int = 1) -> list[Estimate]:
    """All that can be told, workers by name. Raises ValueError where nothing is on record."""
    if not capture.requests:
        raise ValueError("no requests are on record")
    rng, out = np.random.default_rng(seed), []
    out.append(_rate(capture, rng))
    by_class: dict[str, list[CapturedRequest]] = defaultdict(list)
    by_worker: dict[str, list[CapturedRequest]] = defaultdict(list)
    for e in capture.requests:
        by_class[e.record.class_name].append(e)
        by_worker[e.worker].append(e)
    for name, entries in sorted(by_class.items()):
        work = np.array([e.record.work_ns / 1e6 for e in entries if e.record.work_ns])
        note = "" if len(work) else "no request stated its work"
        out.append(estimated(f"{name}: stated work (ms)", work, lambda v: float(v.mean()), rng, note))
        out.append(estimated(f"{name}: spread of it (cv)", work, lambda v: float(v.std() / v.mean()), rng))
    cores = {h.worker: h.cores for h in capture.headers}
    for name, entries in sorted(by_worker.items()):
        out += _machine(name, entries, cores[name], rng, capture.sample_fraction < 1)
    out += [_popularity(capture), _repeats(capture, rng)]
    return out


def _rate(capture: Capture, rng: np.random.Generator) -> Estimate:
    """First tries a second, by whole seconds."""
    firsts = [e.arrived_unix_ns for e in capture.requests if not e.record.is_retry]
    if capture.duration_s < FEWEST:
        return Estimate(
            "first tries a second",
            len(firsts) / max(1.0, capture.duration_s) / capture.sample_fraction,
            count=len(firsts),
            note=f"{capture.duration_s:.0f} s are too short for an interval",
        )
    counts = Counter((at - capture.requests[0].arrived_unix_ns) // 1_000_000_000 for at in firsts)
    values = np.array(
        [counts[s] / capture.sample_fraction for s in range(int(capture.duration_s))], dtype=float
    )
    return estimated("first tries a second", values, lambda v: float(v.mean()), rng)


def _ran(entries: list[CapturedRequest]) -> list[CapturedRequest]:
    return [
        e
        for e in entries
        if e.record.outcome == RequestOutcome.SERVED and e.record.run_ns > 0 and e.record.work_ns
    ]


def _beside(entries: list[CapturedRequest], cores: int) -> dict[int, tuple[float, float]]:
    """For each run, by its place in the list: the mean share of a core that it had, and the crowd a core."""
    spans = [
        (n, e.arrived_unix_ns + e.record.read_delay_ns + e.record.queue_ns, e.record.run_ns)
        for n, e in enumerate(entries)
        if e.record.queue_ns >= 0 and e.record.run_ns > 0
    ]
    if not spans:
        return {}
    begins = np.array([b for _, b, _ in spans], dtype=float)
    ends = begins + np.array([r for _, _, r in spans], dtype=float)
    moments = np.concatenate([begins, ends])
    change = np.concatenate([np.ones(len(spans)), -np.ones(len(spans))])
    order = np.argsort(moments, kind="stable")
    moments, running = moments[order], np.cumsum(change[order])
    widths = np.diff(moments)
    share = np.concatenate([[0.0], np.cumsum(widths * np.minimum(1.0, cores / np.maximum(1, running[:-1])))])
    crowd = np.concatenate([[0.0], np.cumsum(widths * running[:-1] / cores)])
    lasted = np.maximum(1.0, ends - begins)
    had, beside = (
        (np.interp(ends, moments, area) - np.interp(begins, moments, area)) / lasted
        for area in (share, crowd)
    )
    return {n: (float(had[k]), float(beside[k])) for k, (n, _, _) in enumerate(spans)}


def _machine(
    name: str, entries: list[CapturedRequest], cores: int, rng: np.random.Generator, sampled: bool
) -> list[Estimate]:
    """Speed, crowd and reading of one worker. What ran beside a run is told by all others' times; of a
    sampled capture only by how many ran as it came."""
    beside = {} if sampled else _beside(entries, cores)
    own = {id(e): beside.get(n) for n, e in enumerate(entries)}
    ran = _ran(entries)

    def neighbours(e: CapturedRequest) -> tuple[float, float]:
        n = (e.record.running_requests + 1) / cores
        return own[id(e)] or (min(1.0, 1 / n), n)

    alone = np.array(
        [e.record.work_ns / e.record.run_ns / neighbours(e)[0] for e in ran if neighbours(e)[1] <= 1.0]
    )
    note = (
        "as runs have it, less what reading takes"
        if len(alone) >= FEWEST
        else "too few runs had a core of their own"
    )
    speed = estimated(f"{name}: speed of a core", alone, median, rng, note)
    out = [speed]
    if speed.value is None:
        return out + [Estimate(f"{name}: {SLOWS}", None, note="no speed is known")]
    by_crowd: dict[float, list[float]] = defaultdict(list)
    for e in ran:
        share, n = neighbours(e)
        by_crowd[math.floor(2 * n) / 2].append(e.record.work_ns / e.record.run_ns / (share * speed.value))
    slow, most = None, 0.0
    for crowd, parts in sorted(by_crowd.items()):
        if len(parts) < FEWEST or crowd < 1:
            continue
        most = crowd
        at = estimated("", np.array(parts), median, rng)
        if at.high < CLEAR and slow is None:
            slow = Estimate(
                f"{name}: {SLOWS}",
                crowd,
                crowd - 0.5,
                crowd + 0.5,
                len(parts),
                f"to {at.value:.2f} of the capacity there",
            )
    never = f"it was never seen to slow, up to {most:g} running a core"
    out.append(slow or Estimate(f"{name}: {SLOWS}", None, note=never))
    calm = np.array(
        [
            e.record.read_delay_ns / 1e9
            for e in entries
            if e.record.running_requests <= CALM * cores and not e.record.queued_requests
        ]
    )
    work = np.array([e.record.work_ns / 1e9 for e in entries if e.record.work_ns])
    if len(work):
        mean = float(work.mean())
        out.append(
            estimated(
                f"{name}: reading, of the mean work",
                calm * speed.value / mean,
                median,
                rng,
                "an upper bound: what passed before the request was read",
            )
        )
    return out


def _popularity(capture: Capture) -> Estimate:
    """The exponent of Zipf's law by likelihood, in the file with most subjects: hashes differ by file."""
    what = "popularity of subjects (zipf)"
    files: dict[tuple[str, int], Counter] = defaultdict(Counter)
    for e in capture.requests:
        if e.subject and not e.record.is_retry:
            files[e.worker, e.arrived_unix_ns - e.record.arrived_ns][e.subject] += 1
    counts = max(files.values(), key=len, default=Counter())
    total = sum(counts.values())
    if total < 10 * FEWEST or len(counts) < FEWEST:
        return Estimate(what, None, count=total, note="too few requests name a subject")
    frequency = np.sort(np.array(list(counts.values()), dtype=float))[::-1]
    ranks = np.log(np.arange(1, len(frequency) + 1))

    def loss(s: float) -> float:
        weights = -s * ranks
        return float(-(frequency * weights).sum() + total * np.log(np.exp(weights).sum()))

    grid = np.linspace(0.0, 2.5, 501)
    losses = np.array([loss(s) for s in grid])
    best = int(losses.argmin())
    inside = grid[losses <= losses[best] + 1.92]  # 95% by the likelihood ratio
    note = (
        "of the sampled subjects"
        if capture.sample_fraction < 1
        else "subjects never asked for are not counted"
    )
    return Estimate(what, float(grid[best]), float(inside.min()), float(inside.max()), total, note)


def _repeats(capture: Capture, rng: np.random.Generator) -> Estimate:
    marks = np.array([float(e.record.is_retry) for e in capture.requests])
    return estimated("marked repeats, of all requests", marks, lambda v: float(v.mean()), rng)
