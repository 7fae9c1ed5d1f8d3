"""Concurrency limits by cores, memory and survivable concurrency."""

import pytest

from ochrehoist.admission.actions import (
    StartRun,
)
from tests.admission.controller_driver import CLASSES, MS, Driver, S


@pytest.mark.parametrize("cold", [False, True])
def test_running_stays_under_the_survivable_concurrency(cold):
    driver = Driver(cold_start=cold, memory_kb=1e9)
    for _ in range(200):
        driver.request(remaining_ns=60 * S)
        driver.advance(5 * MS, step_ns=5 * MS, gauges={"cpu_busy": 0.1})
    running = len(driver.ids(StartRun))
    assert running <= 4 * (1 + 4 * (0.25 + 0.75 * 0.1 if cold else 1))


@pytest.mark.parametrize("cold", [False, True])
def test_idle_cores_raise_the_limit_to_the_ceiling_and_no_further(cold):
    driver = Driver(
        cold_start=cold, memory_kb=1e9, collapse_multiple=3.0, warmup_ns=1000 * S, classes=(CLASSES[0],) * 4
    )
    max_running = 0
    for _ in range(40):  # as with I/O-bound runs: cores idle, requests wait, each completion raises the floor
        for _ in range(8):
            driver.request(remaining_ns=60 * S)
        driver.advance(25 * MS, gauges={"cpu_busy": 0.1})
        running = [job_id for job_id in driver.ids(StartRun) if job_id in driver.controller.jobs]
        max_running = max(max_running, len(running))
        driver.complete(running[0])
    assert (4 if cold else 5) <= max_running <= 4 * (1 + 2 * (0.26 if cold else 1))


def test_memory_use_never_exceeds_the_budget():
    driver = Driver(memory_kb=700.0, key_kb=40.0)
    for n in range(30):
        driver.request(class_index=n % 3, memory_kb=45.0, remaining_ns=2 * S)
        admission = driver.controller
        assert admission.memory.used_kb + 40.0 * len(admission.idempotency.retained) <= 700.0
    assert driver.ids(StartRun)


def test_requests_that_are_being_read_count_as_running():
    # The limit for short runs rose above the cores while as many requests again were being read
    # (recetas-gt-later big-1). Handshakes are runnable too, but leave no requests unread and do not count.
    for unread_time_ns, runnable, expected_running in ((0, 0, 3), (0, 3, 3), (900 * MS, 3, 1)):
        driver = Driver(cores=2, collapse_multiple=8.0, classes=(CLASSES[0],) * 4)
        for _ in range(30):
            driver.advance(500 * MS, step_ns=100 * MS, gauges={"cpu_busy": 1.0, "runnable": runnable})
            driver.complete(driver.request(unread_ns=unread_time_ns)[0])
        for _ in range(3):
            driver.request(unread_ns=unread_time_ns)
        assert driver.controller.concurrency.running == expected_running


def test_starts_above_the_number_of_cores_do_not_exceed_the_memory_budget():
    driver = Driver(memory_kb=700.0, collapse_multiple=8.0, classes=(CLASSES[0],) * 4)
    for _ in range(40):  # idle cores raise the floor, as with I/O-bound runs
        for _ in range(3):
            driver.request(remaining_ns=60 * S)
        driver.advance(25 * MS, gauges={"cpu_busy": 0.1})
        assert driver.controller.memory.used_kb <= 700.0
        driver.complete(next(job_id for job_id in driver.ids(StartRun) if job_id in driver.controller.jobs))
