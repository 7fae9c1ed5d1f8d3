"""A crowd that has gone must not keep work away from idle cores."""

from ochrehoist.admission.actions import StartRun
from tests.admission.controller_driver import MS, Driver


def test_times_learned_under_contention_do_not_keep_out_work_once_cores_are_idle():
    driver = Driver()
    for _ in range(12):  # beside twice as many as the cores run, each takes twice as long as it would alone
        job_id, said = driver.request()
        assert StartRun(job_id) in said
        driver.controller.policy.floor = driver.controller.concurrency.running = 8
        driver.complete(job_id, duration_ns=1600 * MS)
        driver.controller.concurrency.running = 0
        driver.now_ns += 1000 * MS
    driver.controller.policy.floor = 4
    driver.request()
    fresh, said = driver.request()  # beside one that runs; alone on its core it ends within its aim
    assert StartRun(fresh) in said
