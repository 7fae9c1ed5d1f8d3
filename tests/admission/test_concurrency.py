"""How many requests run at once: bounds by cores, memory and survivable concurrency."""

import pytest

from ochrehoist.admission.actions import (
    StartRun,
)
from tests.admission.controller_driver import CLASSES, MS, Driver, S


@pytest.mark.parametrize("cold", [False, True])
def test_running_stays_under_the_survivable_concurrency(cold):
    d = Driver(cold_start=cold, memory_kb=1e9)
    for _ in range(200):
        d.request(remaining_ns=60 * S)
        d.advance(5 * MS, step_ns=5 * MS, gauges={"cpu_busy": 0.1})
    running = len(d.ids(StartRun))
    assert running <= 4 * (1 + 4 * (0.25 + 0.75 * 0.1 if cold else 1))


@pytest.mark.parametrize("cold", [False, True])
def test_idle_cores_raise_the_limit_to_the_ceiling_and_no_further(cold):
    d = Driver(
        cold_start=cold, memory_kb=1e9, collapse_multiple=3.0, warmup_ns=1000 * S, classes=(CLASSES[0],) * 4
    )
    most = 0
    for _ in range(40):  # runs that wait for disk: cores idle, work waits, each finish raises the floor
        for _ in range(8):
            d.request(remaining_ns=60 * S)
        d.advance(25 * MS, gauges={"cpu_busy": 0.1})
        running = [x for x in d.ids(StartRun) if x in d.controller.jobs]
        most = max(most, len(running))
        d.complete(running[0])
    assert (4 if cold else 5) <= most <= 4 * (1 + 2 * (0.26 if cold else 1))


def test_memory_is_never_overdrawn():
    d = Driver(memory_kb=700.0, key_kb=40.0)
    for n in range(30):
        d.request(class_index=n % 3, memory_kb=45.0, remaining_ns=2 * S)
        c = d.controller
        assert c.memory.used_kb + 40.0 * len(c.idempotency.retained) <= 700.0
    assert d.ids(StartRun)


def test_what_is_being_read_counts_as_running():
    # Short holds climbed past the cores while as many requests again were read (recetas-gt-later big-1);
    # handshakes, which want the cores too but leave nothing unread, do not count.
    for unread, runnable, running in ((0, 0, 3), (0, 3, 3), (900 * MS, 3, 1)):
        d = Driver(cores=2, collapse_multiple=8.0, classes=(CLASSES[0],) * 4)
        for _ in range(30):
            d.advance(500 * MS, step_ns=100 * MS, gauges={"cpu_busy": 1.0, "runnable": runnable})
            d.complete(d.request(unread_ns=unread)[0])
        for _ in range(3):
            d.request(unread_ns=unread)
        assert d.controller.concurrency.running == running


def test_starts_past_the_cores_do_not_overdraw_the_memory():
    d = Driver(memory_kb=700.0, collapse_multiple=8.0, classes=(CLASSES[0],) * 4)
    for _ in range(40):  # idle cores raise the floor, as with runs that wait for disk
        for _ in range(3):
            d.request(remaining_ns=60 * S)
        d.advance(25 * MS, gauges={"cpu_busy": 0.1})
        assert d.controller.memory.used_kb <= 700.0
        d.complete(next(x for x in d.ids(StartRun) if x in d.controller.jobs))
