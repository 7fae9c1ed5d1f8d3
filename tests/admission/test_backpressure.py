"""Backpressure values sent to callers, and the idle timeout of connections."""

import pytest

from ochrehoist.admission.actions import (
    SendBackpressure,
    SetIdleTimeout,
)
from ochrehoist.admission.settings import (
    BackpressureSignal,
)
from tests.admission.controller_driver import MS, Driver, S


@pytest.mark.parametrize("signal", list(BackpressureSignal))
def test_each_backpressure_signal_makes_callers_send_less_in_overload(signal):
    driver = Driver(backpressure=signal)
    driver.advance(S)
    calm_value = (
        driver.actions_of(SendBackpressure)[-1].value if driver.actions_of(SendBackpressure) else None
    )
    for _ in range(60):
        for _ in range(4):
            driver.request(unread_ns=900 * MS)
        driver.advance(50 * MS)
    if signal is BackpressureSignal.NONE:
        assert not driver.actions_of(SendBackpressure), "backpressure sent although it is disabled"
        return
    overload_value = driver.actions_of(SendBackpressure)[-1].value
    assert (
        overload_value > (calm_value or 0)
        if signal is BackpressureSignal.THRESHOLD
        else overload_value < calm_value
    )


def test_idle_connections_are_closed_early_only_where_few_callers_reuse_them():
    # With 1,100 callers a full connection table took CPU time and kept callers out (incident i405846); with
    # 270 callers, closing early cost two handshakes per request (h47e6e8).
    for callers, stay_open in ((5, True), (150, True), (1000, False)):
        driver = Driver(caller_count=callers)
        for n in range(120):
            job_id, _ = driver.request(caller=n % callers)
            driver.complete(job_id)
            driver.advance(100 * MS, step_ns=100 * MS)
        assert (driver.actions_of(SetIdleTimeout)[-1].idle_timeout_ns == 0) is stay_open


@pytest.mark.parametrize(
    "signal", [BackpressureSignal.THRESHOLD, BackpressureSignal.WEIGHT, BackpressureSignal.WINDOW]
)
def test_the_same_backpressure_is_not_sent_again(signal):
    driver = Driver(backpressure=signal)
    driver.advance(5 * S, step_ns=100 * MS)
    assert len(driver.actions_of(SendBackpressure)) == 1
