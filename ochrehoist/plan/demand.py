"""The calls that clients make: drawn from a description, or as a capture tells them. No I/O.

Random numbers are numpy's, a stream for each thing that is drawn: a change of one leaves the others alone.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np
import xxhash

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.config.fleet_description import Fleet

STREAMS = (
    "arrivals",
    "classes",
    "tenants",
    "subjects",
    "work",
    "hints",
    "routers",
    "heavy",
    "hot",
    "speeds",
    "heed",
    "sizes",
)


class Streams:
    """Named generators of one seed."""

    def __init__(self, seed: int) -> None:
        children = np.random.SeedSequence(seed).spawn(len(STREAMS))
        self.by_name = {
            name: np.random.default_rng(child) for name, child in zip(STREAMS, children, strict=True)
        }

    def __getitem__(self, name: str) -> np.random.Generator:
        return self.by_name[name]


@dataclass(slots=True, frozen=True)
class Wish:
    """What a client wants: `work` in seconds on a core of speed 1, `stated` as the request tells it."""

    at: float
    cls: int
    tenant: int
    subject: int  # 0: none
    work: float
    stated: float
    router: int
    memory_kb: float


def lognormal(rng: np.random.Generator, mean: float, cv: float, count: int) -> np.ndarray:
    if cv == 0:
        return np.full(count, mean)
    sigma = math.sqrt(math.log(1 + cv * cv))
    return rng.lognormal(math.log(mean) - sigma * sigma / 2, sigma, count)


def popularity(subjects: int, zipf: float) -> np.ndarray:
    weights = np.arange(1, subjects + 1, dtype=float) ** -zipf
    return weights / weights.sum()


def moments(fleet: Fleet, rng: np.random.Generator, seconds: float) -> np.ndarray:
    """Arrivals of a Poisson stream whose rate swings, by thinning."""
    load = fleet.load
    top = load.rate * (1 + load.swing)
    count = rng.poisson(top * seconds)
    at = np.sort(rng.uniform(0, seconds, count))
    if load.swing:
        rate = load.rate * (1 + load.swing * np.sin(2 * math.pi * at / load.swing_s))
        at = at[rng.uniform(0, top, count) < rate]
    return at


def drawn(fleet: Fleet, streams: Streams, seconds: float) -> Iterator[Wish]:
    """The calls of a described load, in order of time."""
    load = fleet.load
    at = moments(fleet, streams["arrivals"], seconds)
    count = len(at)

    def one_of(stream: str, shares: list[float]) -> np.ndarray:
        weights = np.array(shares, dtype=float)
        return streams[stream].choice(len(weights), count, p=weights / weights.sum())

    classes = one_of("classes", [c.share for c in fleet.classes])
    tenants = one_of("tenants", [t.share for t in fleet.tenants]) if fleet.tenants else np.full(count, -1)
    routers = one_of("routers", [fleet.routers[r.group].weight for r in fleet.placed_routers])
    subjects = streams["subjects"].choice(load.subjects, count, p=popularity(load.subjects, load.zipf)) + 1
    if load.hot and load.hot_share:
        hot = streams["hot"].uniform(size=count) < load.hot_share
        subjects[hot] = load.subjects + 1 + streams["hot"].integers(0, load.hot, int(hot.sum()))
    work = np.empty(count)
    for number, c in enumerate(fleet.classes):
        mine = classes == number
        work[mine] = lognormal(streams["work"], c.work_ms / 1000, c.cv, int(mine.sum()))
        heavy = mine & (streams["heavy"].uniform(size=count) < c.heavy_share)
        work[heavy] *= c.heavy_times
    stated = work * lognormal(streams["hints"], 1.0, load.hint_cv, count)
    sizes = streams["sizes"].uniform(*fleet.intake.held_kb, count)
    for n in range(count):
        yield Wish(
            float(at[n]),
            int(classes[n]),
            int(tenants[n]),
            int(subjects[n]),
            float(work[n]),
            float(stated[n]),
            int(routers[n]),
            float(sizes[n]),
        )


def speeds(fleet: Fleet, streams: Streams) -> list[float]:
    """A speed for each worker, drawn from its kind's range; one more worker leaves the others' alone."""
    out = []
    for worker in fleet.placed_workers:
        low, high = fleet.kind(worker.kind).speeds
        out.append(float(streams["speeds"].uniform(low, high)))
    return out


def _firsts(fleet: Fleet, capture: Capture, classes: dict[str, int]) -> list[CapturedRequest]:
    """The first that was seen of each call. Tries of one state the same work, which hardly two calls do."""
    seen: dict[tuple, int] = {}
    out = []
    for e in capture.requests:
        s = e.record
        call = s.class_name, s.tenant, s.work_ns, s.caller, s.address if not s.caller else ""
        lasts = fleet.classes[classes[s.class_name]].deadline_ms * 1e6 if s.class_name in classes else 0
        # Nothing tells tries apart where no work is stated: then the marks alone count.
        known = not s.work_ns or e.arrived_unix_ns - seen.get(call, -(10**18)) <= lasts
        if not s.is_retry or not known:
            out.append(e)
        if not s.is_retry or not known or call not in seen:
            seen[call] = e.arrived_unix_ns
    return out


def captured(fleet: Fleet, capture: Capture, streams: Streams) -> tuple[list[Wish], float]:
    """The first tries of a capture as calls, from its first on, and the seconds that they span.

    Stated work stands for the work, where it was told; a request of a class or tenant that the fleet does
    not have raises ValueError. A sampled capture is made whole by repeating what is there, moved by up to
    1 s. A marked repeat whose first try no worker has seen (its router knew of none to send it to) is a call.
    """
    classes = {c.name: at for at, c in enumerate(fleet.classes)}
    tenants = {t.name: at for at, t in enumerate(fleet.tenants)}
    entries = _firsts(fleet, capture, classes)
    if not entries:
        raise ValueError("no first tries are on record")
    begin, routers, out = entries[0].arrived_unix_ns, len(fleet.placed_routers), []
    for e in entries:
        if e.record.class_name not in classes:
            raise ValueError(f"class {e.record.class_name!r} of the capture is not in the fleet's classes")
        if tenants and e.record.tenant not in tenants:
            raise ValueError(f"tenant {e.record.tenant!r} of the capture is not in the fleet's tenants")
        cls = classes[e.record.class_name]
        stated = e.record.work_ns / 1e9 if e.record.work_ns else fleet.classes[cls].work_ms / 1000
        copies = 1 / capture.sample_fraction
        for n in range(int(copies) + (streams["arrivals"].uniform() < copies % 1)):
            at = (e.arrived_unix_ns - begin) / 1e9 + (streams["arrivals"].uniform() if n else 0.0)
            subject = e.subject + n if e.subject else 0
            out.append(
                Wish(
                    at,
                    cls,
                    tenants.get(e.record.tenant, -1),
                    subject,
                    stated,
                    stated,
                    (e.record.caller or xxhash.xxh32_intdigest(e.record.address.encode())) % routers,
                    float(streams["sizes"].uniform(*fleet.intake.held_kb)),
                )
            )
    out.sort(key=lambda w: w.at)
    return out, out[-1].at
