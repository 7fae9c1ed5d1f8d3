"""The admission controller: its tick and a request's decision, by all that it keeps."""

from itertools import count

from benchmarks.scaling.admission_driver import MS, RUN_NS, AdmissionDriver, S, admission_settings
from benchmarks.scaling.probe import Limit, Measures, Probe, core_share, request_delay
from benchmarks.scaling.timing import cpu_us, median_cpu_us, short_call_cpu_us, with_memory_growth
from ochrehoist.admission.caller_activity import CANCELLATIONS_KEPT
from ochrehoist.admission.events import Outcome, RequestAbandoned

ALL_TENANTS = 58_000
TICKS_A_SECOND = 10
ACTIVE_REQUESTS = 2000
TIMED_FILINGS = 50
TIMED_QUEUED_REQUESTS = 200
CALLER_EXPIRY_NS = 11 * S
IDEMPOTENCY_EXPIRY_NS = 3000 * S
QUEUE_OBJECTIVE_NS = 60 * S
QUEUE_CORES = 2
QUEUE_PEAK_RATE_PER_S = 500.0
QUEUED_REQUEST_WAIT_NS = 60_000

TICK_SHARE = core_share("tick_us", TICKS_A_SECOND)
TICK_DELAY = request_delay("tick_us")
DECISION_DELAY = request_delay("decision_us")
EXPIRY_DELAY = request_delay("expiry_tick_us")


def by_tenants(size: int, seed: int) -> Measures:
    """So many tenants, of whom some thousand were active."""
    settings, settings_bytes = with_memory_growth(lambda: admission_settings(size))
    driver, controller_bytes = with_memory_growth(lambda: AdmissionDriver(settings, seed))
    for _ in range(ACTIVE_REQUESTS):
        driver.serve()
    return driver.measures() | {"settings_bytes": settings_bytes, "controller_bytes": controller_bytes}


def by_active_tenants(size: int, seed: int) -> Measures:
    """So many of 58,000 tenants were active lately, once each.

    At 171 requests a second, evenly spread, some 7,400 count as active: a count decays from 1 to 0.1 within
    46 s.
    """
    return _active_tenants(size, seed, Outcome.OK)


def by_unanswered_tenants(size: int, seed: int) -> Measures:
    """The same, where none of them got an answer in time."""
    return _active_tenants(size, seed, Outcome.FAILED)


def by_classes(size: int, seed: int) -> Measures:
    """So many request classes."""
    return AdmissionDriver(admission_settings(classes=size), seed).measures()


def by_callers(size: int, seed: int) -> Measures:
    """So many callers sent lately, and each cancelled as many requests as are kept."""
    driver = AdmissionDriver(admission_settings(), seed)
    callers = driver.controller.callers

    def send_and_cancel() -> None:
        for caller in range(size):
            driver.complete(driver.receive(caller=caller))
            for _ in range(CANCELLATIONS_KEPT):
                callers.observe_cancellation(caller, driver.now_ns - 450 * MS, driver.now_ns)

    _, callers_bytes = with_memory_growth(send_and_cancel)
    assert len(callers.last_seen_ns) == size, len(callers.last_seen_ns)
    measures = driver.measures() | {"bytes": callers_bytes}
    assert len(callers.last_seen_ns) >= size, len(callers.last_seen_ns)
    driver.now_ns += CALLER_EXPIRY_NS  # all of them expire in one tick
    measures["expiry_tick_us"] = cpu_us(driver.tick)
    assert not callers.last_seen_ns
    return measures


def by_idempotency_keys(size: int, seed: int) -> Measures:
    """So many filings ran within their idempotency window."""
    driver = AdmissionDriver(admission_settings(), seed)

    def serve_filings() -> None:
        for _ in range(size):
            driver.serve(class_index=1)
            driver.now_ns -= RUN_NS

    _, keys_bytes = with_memory_growth(serve_filings)
    measures = driver.measures() | {
        "bytes": keys_bytes,
        "filing_us": short_call_cpu_us(lambda: driver.serve(class_index=1), TIMED_FILINGS),
    }
    assert len(driver.controller.idempotency.ended) >= size
    driver.now_ns += IDEMPOTENCY_EXPIRY_NS  # they expire together: the worst tick there is
    return measures | {"expiry_tick_us": cpu_us(driver.tick)}


def by_queue_of_few_tenants(size: int, seed: int) -> Measures:
    """So many requests wait, of three tenants."""
    return _queued(size, seed, 3)


def by_queue_of_many_tenants(size: int, seed: int) -> Measures:
    """So many requests wait, each of a tenant of its own: as many groups as requests."""
    return _queued(size, seed, size)


def _active_tenants(size: int, seed: int, outcome: Outcome) -> Measures:
    driver = AdmissionDriver(admission_settings(ALL_TENANTS), seed)
    _, active_bytes = with_memory_growth(lambda: driver.serve_tenants(size, outcome))
    return {"bytes": active_bytes, "tick_us": median_cpu_us(driver.tick)}


def _queued(size: int, seed: int, tenants: int) -> Measures:
    """All that wait do so behind runs that do not end; they would complete in time if those did."""
    settings = admission_settings(tenants, latency_objective_ns=QUEUE_OBJECTIVE_NS, cores=QUEUE_CORES)
    driver = AdmissionDriver(settings, seed)
    controller = driver.controller
    for mean in controller.run_times.mean_run_ns:
        mean.value = float(RUN_NS)
    controller.curve.peak_rate_per_s = QUEUE_PEAK_RATE_PER_S
    controller.policy.rebuild(driver.now_ns)
    numbers = count()

    def receive() -> str:
        return driver.receive(tenant=next(numbers) % tenants)

    def receive_and_abandon() -> None:
        request_id = receive()
        driver.now_ns += QUEUED_REQUEST_WAIT_NS
        driver.dispatch(RequestAbandoned(request_id))

    waiting = controller.queue.jobs
    for _ in range(3 * size + 200):
        if len(waiting) >= size:
            break
        receive()
    assert len(waiting) >= size, len(waiting)
    return {
        "groups": len(controller.queue.groups),
        "decision_us": short_call_cpu_us(receive_and_abandon, TIMED_QUEUED_REQUESTS),
        "tick_us": median_cpu_us(driver.tick),
    }


def admission_probes() -> list[Probe]:
    """The probes of this module."""
    tick_limits: tuple[Limit, ...] = (TICK_SHARE, TICK_DELAY)
    return [
        Probe(
            "admission by tenants",
            "tenants",
            (3, 1000, 5000, 20000, ALL_TENANTS),
            by_tenants,
            ALL_TENANTS,
            (*tick_limits, DECISION_DELAY),
        ),
        Probe(
            "admission by active tenants",
            "tenants active lately, of 58,000",
            (100, 1000, 3000, 8000, 20000),
            by_active_tenants,
            7400,
            tick_limits,
        ),
        Probe(
            "admission by unanswered tenants",
            "tenants without answers, of 58,000",
            (100, 1000, 3000, 8000, 20000),
            by_unanswered_tenants,
            7400,
            tick_limits,
        ),
        Probe(
            "admission by classes",
            "classes",
            (2, 34, 340, 1000),
            by_classes,
            340,
            (TICK_SHARE, DECISION_DELAY),
        ),
        Probe(
            "admission by callers",
            "callers",
            (100, 1000, 5000, 19000),
            by_callers,
            1710,
            (TICK_SHARE, DECISION_DELAY, EXPIRY_DELAY),
        ),
        Probe(
            "admission by queue",
            "requests that wait",
            (10, 100, 1000, 3600),
            by_queue_of_few_tenants,
            3600,
            (DECISION_DELAY, TICK_SHARE),
        ),
        Probe(
            "admission by queue of many tenants",
            "requests that wait, each of another tenant",
            (10, 100, 400, 1200),
            by_queue_of_many_tenants,
            3600,
            (DECISION_DELAY, TICK_SHARE),
        ),
        Probe(
            "admission by idempotency keys",
            "filings within two windows",
            (1000, 5000, 20000, 60000),
            by_idempotency_keys,
            30780,
            (TICK_SHARE, DECISION_DELAY, EXPIRY_DELAY),
        ),
    ]
