"""The calls that clients make: drawn from a description, or as a capture tells them. No I/O.

Random numbers are numpy's, a stream for each thing that is drawn: a change of one leaves the others alone.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np
import xxhash

from ochrehoist.capture.reader import Capture, CapturedRequest
from ochrehoist.capture.records import RequestRecord
from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.errors import CaptureUnusableError

FloatArray = np.ndarray[tuple[int, ...], np.dtype[np.float64]]
IndexArray = np.ndarray[tuple[int, ...], np.dtype[np.int64]]

NO_TENANT = -1
NEVER_NS = -(10**18)
NS_PER_S = 1e9
NS_PER_MS = 1e6
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
    """Named random generators of one seed."""

    def __init__(self, seed: int) -> None:
        children = np.random.SeedSequence(seed).spawn(len(STREAMS))
        self._by_name = {
            name: np.random.default_rng(child) for name, child in zip(STREAMS, children, strict=True)
        }

    def __getitem__(self, name: str) -> np.random.Generator:
        return self._by_name[name]


@dataclass(slots=True, frozen=True)
class PlannedCall:
    """A call that a client will make.

    Attributes:
        starts_at: s since the start of the run.
        tenant_index: NO_TENANT where the fleet has none.
        subject: What it is about; 0 for nothing.
        work_s: CPU time on a core of speed 1.
        stated_work_s: CPU time as the request states it.
        memory_kb: While a worker holds it.
    """

    starts_at: float
    class_index: int
    tenant_index: int
    subject: int
    work_s: float
    stated_work_s: float
    router_index: int
    memory_kb: float


def draw_lognormal(rng: np.random.Generator, mean: float, cv: float, count: int) -> FloatArray:
    """Draws from a log-normal distribution of this mean and coefficient of variation.

    sigma is the standard deviation of the logarithm, sqrt(ln(1 + cv^2)); its mean is ln(mean) - sigma^2 / 2.
    """
    if cv == 0:
        return np.full(count, mean)
    sigma = math.sqrt(math.log(1 + cv * cv))
    return rng.lognormal(math.log(mean) - sigma * sigma / 2, sigma, count)


def zipf_weights(subjects: int, exponent: float) -> FloatArray:
    """The share of requests for each subject by its rank: rank^-exponent, summing up to 1."""
    weights: FloatArray = np.arange(1, subjects + 1, dtype=float) ** -exponent
    normalized: FloatArray = weights / weights.sum()
    return normalized


def draw_arrivals(fleet: Fleet, rng: np.random.Generator, duration_s: float) -> FloatArray:
    """Arrivals (s) of a Poisson process whose rate swings as a sine, by thinning."""
    load = fleet.load
    peak_rate = load.rate * (1 + load.swing)
    count = rng.poisson(peak_rate * duration_s)
    arrivals = np.sort(rng.uniform(0, duration_s, count))
    if load.swing:
        rate = load.rate * (1 + load.swing * np.sin(2 * math.pi * arrivals / load.swing_s))
        arrivals = arrivals[rng.uniform(0, peak_rate, count) < rate]
    return arrivals


def draw_calls(fleet: Fleet, streams: Streams, duration_s: float) -> Iterator[PlannedCall]:
    """The calls of the described load, in order of time."""
    arrivals = draw_arrivals(fleet, streams["arrivals"], duration_s)
    count = len(arrivals)
    classes = _draw_indices(streams["classes"], [each.share for each in fleet.classes], count)
    tenants: IndexArray = np.full(count, NO_TENANT)
    if fleet.tenants:
        tenants = _draw_indices(streams["tenants"], [tenant.share for tenant in fleet.tenants], count)
    router_weights = [fleet.routers[router.group].weight for router in fleet.placed_routers]
    routers = _draw_indices(streams["routers"], router_weights, count)
    subjects = _draw_subjects(fleet, streams, count)
    work = _draw_work(fleet, streams, classes)
    stated_work = work * draw_lognormal(streams["hints"], 1.0, fleet.load.hint_cv, count)
    sizes = streams["sizes"].uniform(*fleet.intake.held_kb, count)
    for index in range(count):
        yield PlannedCall(
            starts_at=float(arrivals[index]),
            class_index=int(classes[index]),
            tenant_index=int(tenants[index]),
            subject=int(subjects[index]),
            work_s=float(work[index]),
            stated_work_s=float(stated_work[index]),
            router_index=int(routers[index]),
            memory_kb=float(sizes[index]),
        )


def _draw_indices(rng: np.random.Generator, shares: list[float], count: int) -> IndexArray:
    weights = np.array(shares, dtype=float)
    return rng.choice(len(weights), count, p=weights / weights.sum())


def _draw_subjects(fleet: Fleet, streams: Streams, count: int) -> IndexArray:
    """By Zipf's law, and of the hot subjects their share; subjects count from 1."""
    load = fleet.load
    weights = zipf_weights(load.subjects, load.zipf)
    subjects = streams["subjects"].choice(load.subjects, count, p=weights) + 1
    if load.hot and load.hot_share:
        is_hot = streams["hot"].uniform(size=count) < load.hot_share
        subjects[is_hot] = load.subjects + 1 + streams["hot"].integers(0, load.hot, int(is_hot.sum()))
    return subjects


def _draw_work(fleet: Fleet, streams: Streams, classes: IndexArray) -> FloatArray:
    """Seconds on a core of speed 1 for each call of these classes; heavy ones cost many times as much."""
    count = len(classes)
    work = np.empty(count)
    for index, request_class in enumerate(fleet.classes):
        of_class = classes == index
        mean_s = request_class.work_ms / 1000
        work[of_class] = draw_lognormal(streams["work"], mean_s, request_class.cv, int(of_class.sum()))
        is_heavy = of_class & (streams["heavy"].uniform(size=count) < request_class.heavy_share)
        work[is_heavy] *= request_class.heavy_times
    return work


def draw_speeds(fleet: Fleet, streams: Streams) -> list[float]:
    """A speed for each worker, drawn from its kind's range; one more worker leaves the others' alone."""
    speeds = []
    for worker in fleet.placed_workers:
        low, high = fleet.kind(worker.kind).speed_range
        speeds.append(float(streams["speeds"].uniform(low, high)))
    return speeds


def calls_of_capture(fleet: Fleet, capture: Capture, streams: Streams) -> tuple[list[PlannedCall], float]:
    """The first attempts of a capture as calls, from its first on, and the seconds that they span.

    Stated work stands for the work, where there is any. A sampled capture is made whole by repeating what is
    there, moved by up to 1 s. A marked retry whose first attempt no worker has seen (its router knew of none
    to send it to) is a call.

    Raises:
        CaptureUnusableError: There is no call, or one is of a class or tenant that the fleet does not have.
    """
    class_indices = {each.name: index for index, each in enumerate(fleet.classes)}
    tenant_indices = {tenant.name: index for index, tenant in enumerate(fleet.tenants)}
    requests = _first_attempts(fleet, capture, class_indices)
    if not requests:
        raise CaptureUnusableError.no_first_attempts()
    begin_ns = requests[0].arrived_unix_ns
    calls = []
    for request in requests:
        record = request.record
        class_index = _class_index(record, class_indices)
        tenant_index = _tenant_index(record, tenant_indices)
        described_work_s = fleet.classes[class_index].work_ms / 1000
        work_s = record.work_ns / NS_PER_S if record.work_ns else described_work_s
        copies = 1 / capture.sample_fraction
        for copy in range(int(copies) + int(streams["arrivals"].uniform() < copies % 1)):
            shift_s = streams["arrivals"].uniform() if copy else 0.0
            calls.append(
                PlannedCall(
                    starts_at=(request.arrived_unix_ns - begin_ns) / NS_PER_S + shift_s,
                    class_index=class_index,
                    tenant_index=tenant_index,
                    subject=request.subject + copy if request.subject else 0,
                    work_s=work_s,
                    stated_work_s=work_s,
                    router_index=_caller_hash(record) % len(fleet.placed_routers),
                    memory_kb=float(streams["sizes"].uniform(*fleet.intake.held_kb)),
                )
            )
    calls.sort(key=lambda call: call.starts_at)
    return calls, calls[-1].starts_at


def _class_index(record: RequestRecord, indices: dict[str, int]) -> int:
    if record.class_name not in indices:
        raise CaptureUnusableError.unknown_class(record.class_name)
    return indices[record.class_name]


def _tenant_index(record: RequestRecord, indices: dict[str, int]) -> int:
    """NO_TENANT where the fleet has none."""
    if indices and record.tenant not in indices:
        raise CaptureUnusableError.unknown_tenant(record.tenant)
    return NO_TENANT if record.tenant is None else indices.get(record.tenant, NO_TENANT)


def _caller_hash(record: RequestRecord) -> int:
    return record.caller or xxhash.xxh32_intdigest(record.address.encode())


def _first_attempts(fleet: Fleet, capture: Capture, class_indices: dict[str, int]) -> list[CapturedRequest]:
    """The first that was seen of each call. Its attempts state the same work, which hardly two calls do."""
    last_seen_ns: dict[tuple[str, str | None, int, int, str], int] = {}
    first_attempts = []
    for request in capture.requests:
        record = request.record
        address = "" if record.caller else record.address
        call = (record.class_name, record.tenant, record.work_ns, record.caller, address)
        lifetime_ns = 0.0
        if record.class_name in class_indices:
            lifetime_ns = fleet.classes[class_indices[record.class_name]].deadline_ms * NS_PER_MS
        # Nothing tells attempts apart where no work is stated: then the marks alone count.
        age_ns = request.arrived_unix_ns - last_seen_ns.get(call, NEVER_NS)
        is_known = not record.work_ns or age_ns <= lifetime_ns
        is_first = not record.is_retry or not is_known
        if is_first:
            first_attempts.append(request)
        if is_first or call not in last_seen_ns:
            last_seen_ns[call] = request.arrived_unix_ns
    return first_attempts
