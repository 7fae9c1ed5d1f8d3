"""Which requests are rejected in overload, and when callers may come again."""

import pytest

from ochrehoist.admission.actions import (
    RejectRequest,
    StartRun,
)
from ochrehoist.admission.settings import (
    ObjectiveWeights,
    Tenant,
)
from tests.admission.controller_driver import CLASSES, MS, Driver, S


def test_what_cannot_meet_its_objective_behind_the_queue_is_rejected_at_once():
    # Held until it was hopeless, a client had no time left to go elsewhere (bc-coast-later overload).
    driver = Driver(classes=(CLASSES[0],) * 4)
    ids = [driver.request()[0] for _ in range(60)]
    told = [driver.times_of(RejectRequest, x) for x in ids if x in driver.ids(RejectRequest)]
    assert told and all(t == [driver.now_ns] for t in told)


def test_retry_after_of_a_rejected_request_is_a_part_of_its_objective_at_most():
    # A back-off of a second leaves a client with an aim of a second nothing (bc-coast-later overload).
    driver = Driver(classes=(CLASSES[0],) * 4, max_retry_after_ns=10 * S)
    for _ in range(60):
        driver.request()
    told = [a.retry_after_ns for a in driver.actions_of(RejectRequest)]
    assert told and 0 < max(told) <= 500 * MS


@pytest.mark.parametrize("marked", [False, True])
def test_in_a_retry_storm_rejections_forbid_retries(marked):
    # Unmarked retries of a full fleet came back as 4.7 attempts a request (incident i7f0c19).
    driver = Driver(marks_retries=marked, classes=(CLASSES[0],) * 4)
    for n in range(200):
        driver.request(is_retry=marked and n % 3 > 0)
        driver.now_ns += 10 * MS
    said = [a.no_retry for a in driver.actions_of(RejectRequest)]
    assert marked or not all(said[:10])
    assert sum(said[-50:]) > 35


TENANTS = (Tenant("large", 20.0, 0.5), Tenant("small", 20.0, 0.5))


def tenants_driver(**changes):
    return Driver(
        tenants=TENANTS, objective=ObjectiveWeights(0.5, 0.1, 0.1, 0.3), classes=(CLASSES[0],) * 4, **changes
    )


def test_a_tenant_over_its_quota_yields_to_one_within_it():
    # All traffic of a tenant that sends three times its share was weighed like that within a share, and as it
    # was turned away most, it looked worst served (dar-recordings big-2).
    driver = tenants_driver(marks_retries=False)
    for n in range(400):
        driver.request(tenant_index=0 if n % 4 else 1)
        driver.advance(200 * MS, step_ns=100 * MS)
        if n % 2 == 0:
            driver.complete(next(x for x in driver.ids(StartRun) if x in driver.controller.jobs))
    large, small = ({f"r{n + 1}" for n in range(200, 400) if (n % 4 > 0) is big} for big in (True, False))
    started = set(driver.ids(StartRun))
    assert len(started & small) / len(small) > 0.8 > 0.5 > len(started & large) / len(large) > 0.1


def test_within_its_quota_a_tenant_is_weighed_alike_however_often_it_is_retried():
    driver = tenants_driver()
    c = driver.controller
    for _ in range(10):
        driver.complete(driver.request(tenant_index=1)[0])
        driver.request(tenant_index=0, remaining_ns=20 * MS)
        driver.advance(200 * MS)
    driver.request(tenant_index=0, id="a"), driver.request(tenant_index=1, id="b")
    jobs = dict(c.jobs)
    assert c.priority.value(jobs["a"]) > c.priority.value(jobs["b"]) > 0  # the one turned away lacks more


def test_rejections_of_low_priority_requests_forbid_retries():
    driver = tenants_driver(marks_retries=True, fleet_size=40)
    for n in range(60):
        driver.request(tenant_index=0)
        driver.advance(100 * MS, step_ns=100 * MS)
        if n % 3 == 0:
            driver.complete(next(x for x in driver.ids(StartRun) if x in driver.controller.jobs))
    said = [a.no_retry for a in driver.actions_of(RejectRequest)]
    assert len(said) > 20 and all(said[-10:])
