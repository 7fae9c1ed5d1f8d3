"""Past contention must not cause rejections while cores are idle."""

from ochrehoist.admission.actions import StartRun
from tests.admission.controller_driver import MS, Driver


def test_run_times_learned_under_contention_cause_no_rejections_once_cores_are_idle():
    driver = Driver()
    for _ in range(12):  # with twice as many runs as cores, each takes twice as long as it would alone
        job_id, actions = driver.request()
        assert StartRun(job_id) in actions
        driver.controller.policy.floor = driver.controller.concurrency.running = 8
        driver.complete(job_id, duration_ns=1600 * MS)
        driver.controller.concurrency.running = 0
        driver.now_ns += 1000 * MS
    driver.controller.policy.floor = 4
    driver.request()
    second, actions = driver.request()  # alone on its core, so that it meets its objective
    assert StartRun(second) in actions
