"""A crowd that has gone must not keep work away from idle cores."""

from ochrehoist.admission.actions import StartRun
from tests.admission.controller_driver import MS, Driver


def test_times_learned_under_contention_do_not_keep_out_work_once_cores_are_idle():
    d = Driver()
    for _ in range(12):  # beside twice as many as the cores run, each takes twice as long as it would alone
        job_id, said = d.request()
        assert StartRun(job_id) in said
        d.controller.policy.floor = d.controller.concurrency.running = 8
        d.complete(job_id, duration_ns=1600 * MS)
        d.controller.concurrency.running = 0
        d.now_ns += 1000 * MS
    d.controller.policy.floor = 4
    d.request()
    fresh, said = d.request()  # beside one that runs; alone on its core it ends within its aim
    assert StartRun(fresh) in said
