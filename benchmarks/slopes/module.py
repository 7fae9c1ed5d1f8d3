"""The decision module: its beat and a request's decision, by all that it keeps."""

from itertools import count
from random import Random
from typing import Any

from benchmarks.slopes.points import Bound, Measures, Probe, cpu_us, each_us, grown
from ochrehoist.admission.events import (
    Outcome,
    RequestAbandoned,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)

MS = 1_000_000
S = 1000 * MS
BEAT = Bound("beat_us", 2100, "2.1% of a core at ten beats a second")
TURN = Bound("decision_us", 5400, "5.4 ms on a request's way")
HELD_UP = Bound("beat_us", 5400, "5.4 ms on a request's way")


def settings(tenants: int = 3, classes: int = 2, **changes: Any) -> Any:
    """Of an appliance as its deploy file has it: reads first, the last class of filings."""
    from ochrehoist.admission.settings import (
        AdmissionSettings,
        Idempotency,
        ObjectiveWeights,
        RequestClass,
        Tenant,
    )

    aim = changes.pop("aim", 900 * MS)
    kinds = tuple(
        RequestClass(
            name=f"class-{n}",
            latency_objective_ns=aim,
            deadline_ns=2 * aim,
            priority_weight=1.0 + n % 3,
            idempotency=Idempotency.KEYED if n == classes - 1 else Idempotency.IDEMPOTENT,
            idempotency_window_ns=900 * S if n == classes - 1 else 0,
        )
        for n in range(classes)
    )
    named = tuple(Tenant(f"tenant-{n:06}", 100.0, 1 / max(1, tenants)) for n in range(tenants))
    values = {
        "classes": kinds,
        "tenants": named,
        "cores": 16,
        "memory_kb": 90e6,
        "collapse_multiple": 5.0,
        "collapse_after_ns": S,
        "run_memory_factor": 4.0,
        "key_kb": 10.0,
        "caller_count": 2,
        "idle_timeout_ns": 30 * S,
        "fleet_size": 2,
        "objective": ObjectiveWeights(0.5, 0.1, 0.2, 0.2),
        "max_retry_after_ns": S,
        "over_quota_weight": 0.2,
    }
    return AdmissionSettings(**values | changes)


class Driver:
    """A module and a clock; requests that end as they start, unless they are held."""

    def __init__(self, given: Any, seed: int) -> None:
        from ochrehoist.admission.controller import AdmissionController
        from ochrehoist.admission.events import InstanceStarted

        self.given, self.rng = given, Random(seed)
        self.module, self.now, self.ids = AdmissionController(given, seed), S, count()
        self.tell(InstanceStarted())

    def tell(self, event: Any) -> list:
        return self.module.handle(self.now, event)

    def request(self, kind: int = 0, caller: int = 0, tenant: int | None = None, kb: float = 24.0) -> str:
        """One that comes; its id."""
        name = f"r{next(self.ids)}"
        if tenant is None and self.given.tenants:
            tenant = self.rng.randrange(len(self.given.tenants))
        self.tell(RequestReceived(name, kind, tenant_index=tenant, memory_kb=kb, caller=caller))
        return name

    def through(self, kind: int = 0, caller: int = 0) -> None:
        """One that comes, runs and ends."""
        name = self.request(kind, caller)
        self.now += 4 * MS
        self.tell(RequestCompleted(name, Outcome.OK, 4 * MS))

    def beat(self) -> None:
        self.now += MS  # so little that nothing runs out while a beat is measured again and again
        self.tell(TimerFired(1, {"cpu_busy": 0.5, "runnable": 1.0}))

    def measured(self) -> Measures:
        for _ in range(30):
            self.through()
        busy = []

        def busy_beat() -> None:
            for _ in range(17):  # 171 a second
                self.through()
            busy.append(cpu_once(self.beat))

        quiet = cpu_us(self.beat)
        for _ in range(9):
            busy_beat()
        return {"beat_us": quiet, "busy_beat_us": sorted(busy)[4], "decision_us": each_us(self.through, 200)}


def cpu_once(call: Any) -> float:
    import time

    began = time.thread_time()
    call()
    return (time.thread_time() - began) * 1e6


def by_tenants(size: int, seed: int) -> Measures:
    given, of_settings = grown(lambda: settings(size))
    driver, of_module = grown(lambda: Driver(given, seed))
    for _ in range(2000):  # tenants that were active: what is kept of them counts too
        driver.through()
    return driver.measured() | {"settings_bytes": of_settings, "module_bytes": of_module}


def by_lacking(size: int, seed: int) -> Measures:
    """The same, where none of them got an answer in time."""
    return _of_58000(size, seed, answered=False)


def by_active(size: int, seed: int) -> Measures:
    """Of 58,000 tenants so many were heard in the last moments, once each. At 171 requests a second, evenly
    spread, some 7,400 are counted as active: a count falls from 1 to 0.1 within 46 s."""
    return _of_58000(size, seed, answered=True)


def _of_58000(size: int, seed: int, answered: bool) -> Measures:
    driver = Driver(settings(58000), seed)

    def heard() -> None:
        for tenant in driver.rng.sample(range(58000), size):
            name = driver.request(tenant=tenant)
            outcome = Outcome.OK if answered else Outcome.FAILED
            driver.tell(RequestCompleted(name, outcome, 4 * MS))

    _, of_active = grown(heard)
    return {"bytes": of_active, "beat_us": cpu_us(driver.beat)}


def by_classes(size: int, seed: int) -> Measures:
    return Driver(settings(classes=size), seed).measured()


def by_callers(size: int, seed: int) -> Measures:
    """All of them sent lately, and each took back as many as are remembered."""
    driver = Driver(settings(), seed)

    def heard() -> None:
        for caller in range(size):
            name = driver.request(caller=caller)
            driver.tell(RequestCompleted(name, Outcome.OK, 4 * MS))
            for _ in range(12):
                driver.module.callers.observe_cancellation(caller, driver.now - 450 * MS, driver.now)

    _, of_callers = grown(heard)
    assert len(driver.module.callers.last_seen_ns) == size, len(driver.module.callers.last_seen_ns)
    out = driver.measured() | {"bytes": of_callers}
    assert len(driver.module.callers.last_seen_ns) >= size, len(driver.module.callers.last_seen_ns)
    driver.now += 11 * S  # all of them are forgotten in one beat
    out["forgetting_beat_us"] = cpu_once(driver.beat)
    assert not driver.module.callers.last_seen_ns
    return out


def by_keys(size: int, seed: int) -> Measures:
    """Filings that ran within their window."""
    driver = Driver(settings(), seed)

    def ran() -> None:
        for _ in range(size):
            driver.through(kind=1)
            driver.now -= 4 * MS

    _, of_keys = grown(ran)
    out = driver.measured() | {"bytes": of_keys, "filing_us": each_us(lambda: driver.through(kind=1), 50)}
    assert len(driver.module.idempotency.ended) >= size
    driver.now += 3000 * S  # they run out together: the worst beat there is
    return out | {"forgetting_beat_us": cpu_once(driver.beat)}


def _held(size: int, seed: int, tenants: int) -> Measures:
    """All that wait do so behind runs that do not end; they would end in time if those did."""
    driver = Driver(settings(tenants, cores=2, aim=60 * S), seed)
    for mean in driver.module.run_times.mean_run_ns:
        mean.value = 4.0 * MS
    driver.module.curve.peak_rate_per_s = 500.0
    driver.module.policy.rebuild(driver.now)
    at = count()

    def comes() -> str:
        return driver.request(tenant=next(at) % tenants)

    def comes_and_leaves() -> None:
        name = comes()
        driver.now += 60_000
        driver.tell(RequestAbandoned(name))

    queue = driver.module.queue.jobs
    for _ in range(3 * size + 200):
        if len(queue) >= size:
            break
        comes()
    assert len(queue) >= size, len(queue)
    return {
        "groups": len(driver.module.queue.groups),
        "decision_us": each_us(comes_and_leaves, 200),
        "beat_us": cpu_us(driver.beat),
    }


def held_of_few(size: int, seed: int) -> Measures:
    return _held(size, seed, 3)


def held_of_many(size: int, seed: int) -> Measures:
    """Each of a tenant of its own: as many groups as requests."""
    return _held(size, seed, size)


PROBES = [
    Probe(
        "module by tenants",
        "tenants",
        (3, 1000, 5000, 20000, 58000),
        by_tenants,
        58000,
        (BEAT, HELD_UP, TURN),
    ),
    Probe(
        "module by active tenants",
        "tenants heard lately, of 58,000",
        (100, 1000, 3000, 8000, 20000),
        by_active,
        7400,
        (BEAT, HELD_UP),
    ),
    Probe(
        "module by tenants that lack answers",
        "tenants that lack answers, of 58,000",
        (100, 1000, 3000, 8000, 20000),
        by_lacking,
        7400,
        (BEAT, HELD_UP),
    ),
    Probe("module by classes", "classes", (2, 34, 340, 1000), by_classes, 340, (BEAT, TURN)),
    Probe(
        "module by callers",
        "callers",
        (100, 1000, 5000, 19000),
        by_callers,
        1710,
        (BEAT, TURN, Bound("forgetting_beat_us", 5400, "5.4 ms on a request's way")),
    ),
    Probe("module by queue", "requests held", (10, 100, 1000, 3600), held_of_few, 3600, (TURN, BEAT)),
    Probe(
        "module by queue of many tenants",
        "requests held, each of another tenant",
        (10, 100, 400, 1200),
        held_of_many,
        3600,
        (TURN, BEAT),
    ),
    Probe(
        "module by keys",
        "filings within two windows",
        (1000, 5000, 20000, 60000),
        by_keys,
        30780,
        (BEAT, TURN, Bound("forgetting_beat_us", 5400, "5.4 ms on a request's way")),
    ),
]
