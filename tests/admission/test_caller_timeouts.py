"""How long callers wait is learned from what they take back, and from nothing else."""

from ochrehoist.admission.actions import RejectRequest
from ochrehoist.admission.events import RequestAbandoned, TimerFired
from tests.admission.controller_driver import MS, Driver, S


def driver(waits, gave_up=True):
    """A caller has taken back eight requests that ran, each after `waits`."""
    d = Driver(marks_retries=True)
    for _ in range(8):
        job_id, _ = d.request()
        d.now_ns += waits
        d.send(RequestAbandoned(job_id, gave_up))
        d.complete(job_id, duration_ns=400 * MS)
    for _ in range(4):
        d.request(caller=2)  # every core has work
    return d


def test_what_ends_after_its_caller_gives_up_is_rejected_at_once_and_other_callers_wait():
    d = driver(400 * MS)
    hasty, _ = d.request()
    patient, _ = d.request(caller=2)
    assert hasty in d.ids(RejectRequest)
    assert patient not in d.ids(RejectRequest)


def test_a_timeout_is_forgotten_when_nothing_is_cancelled_any_more():
    d = driver(400 * MS)
    d.now_ns += 11 * S
    again, _ = d.request()
    assert again not in d.ids(RejectRequest)


def test_lost_connections_and_early_cancellations_say_nothing_of_the_timeout():
    for d in (driver(400 * MS, gave_up=False), driver(20 * MS)):
        other, _ = d.request()
        assert other not in d.ids(RejectRequest)


def test_the_floor_does_not_grow_on_a_busy_share_that_is_half_a_second_old():
    d = Driver()
    d.send(TimerFired(1, {"cpu_busy": 0.2, "runnable": 9}))
    ids = [d.request()[0] for _ in range(12)]
    for job_id in ids[:4]:
        d.complete(job_id, duration_ns=50 * MS)
    assert d.controller.policy.floor == d.settings.cores


def test_run_times_are_learned_free_of_a_cold_start():
    d = Driver(cold_start=True, warmup_speed=0.25)
    before = d.controller.run_times.mean_run_ns[0].value
    job_id, _ = d.request()
    d.now_ns += 100 * MS
    d.complete(job_id, duration_ns=before * 4)  # a quarter of the speed
    assert d.controller.run_times.mean_run_ns[0].value < before * 1.1
