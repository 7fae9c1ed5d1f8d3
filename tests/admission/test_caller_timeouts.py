"""Caller timeouts, which are learned only from requests that callers cancel."""

from ochrehoist.admission.actions import RejectRequest
from ochrehoist.admission.events import RequestAbandoned, TimerFired
from tests.admission.controller_driver import MS, Driver, S


def driver_with_cancellations(age_ns, gave_up=True):
    """Returns a driver whose caller 1 has abandoned eight running requests, each at this age."""
    driver = Driver(marks_retries=True)
    for _ in range(8):
        job_id, _ = driver.request()
        driver.now_ns += age_ns
        driver.send(RequestAbandoned(job_id, gave_up))
        driver.complete(job_id, duration_ns=400 * MS)
    for _ in range(4):
        driver.request(caller=2)  # occupies every core
    return driver


def test_requests_that_would_end_after_their_callers_timeout_are_rejected_and_others_wait():
    driver = driver_with_cancellations(400 * MS)
    of_short_timeout, _ = driver.request()
    of_other_caller, _ = driver.request(caller=2)
    assert of_short_timeout in driver.ids(RejectRequest)
    assert of_other_caller not in driver.ids(RejectRequest)


def test_a_timeout_expires_without_further_cancellations():
    driver = driver_with_cancellations(400 * MS)
    driver.now_ns += 11 * S
    later, _ = driver.request()
    assert later not in driver.ids(RejectRequest)


def test_lost_connections_and_early_cancellations_do_not_set_a_timeout():
    for driver in (driver_with_cancellations(400 * MS, gave_up=False), driver_with_cancellations(20 * MS)):
        other, _ = driver.request()
        assert other not in driver.ids(RejectRequest)


def test_the_floor_does_not_rise_on_a_lagging_busy_share_while_threads_are_runnable():
    driver = Driver()
    driver.send(TimerFired(1, {"cpu_busy": 0.2, "runnable": 9}))
    ids = [driver.request()[0] for _ in range(12)]
    for job_id in ids[:4]:
        driver.complete(job_id, duration_ns=50 * MS)
    assert driver.controller.policy.floor == driver.settings.cores


def test_run_times_are_learned_without_the_effect_of_a_cold_start():
    driver = Driver(cold_start=True, warmup_speed=0.25)
    mean_before_ns = driver.controller.run_times.mean_run_ns[0].value
    job_id, _ = driver.request()
    driver.now_ns += 100 * MS
    driver.complete(job_id, duration_ns=mean_before_ns * 4)  # at a quarter of the speed
    assert driver.controller.run_times.mean_run_ns[0].value < mean_before_ns * 1.1
