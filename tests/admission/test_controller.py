"""The controller as a whole: determinism, settings at their edges, and bounded cost."""

import pytest

from ochrehoist.admission.actions import (
    StartRun,
)
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    DownstreamCallNeeded,
    DrainStarted,
    InstanceStarted,
    RequestAbandoned,
    RequestReceived,
)
from ochrehoist.admission.settings import (
    AdmissionSettings,
    BackpressureSignal,
    DownstreamScope,
    RequestClass,
    Tenant,
)
from tests.admission.controller_driver import MS, Driver, S


def test_same_events_same_actions():
    def play():
        d = Driver(backpressure=BackpressureSignal.WINDOW)
        for n in range(40):
            d.request(class_index=n % 3, caller=n % 4, is_retry=n % 3 == 0)
            if n % 4 == 0 and d.ids(StartRun):
                d.complete(d.ids(StartRun)[-1])
            d.advance(50 * MS)
        return d.log

    assert play() == play()


def test_callers_are_forgotten_and_a_tick_costs_the_same_with_many():
    d = Driver(backpressure=BackpressureSignal.WINDOW)
    for n in range(3000):
        d.request(caller=n, remaining_ns=20 * MS)
        d.advance(25 * MS)
    assert len(d.controller.callers.last_seen_ns) < 500 and not d.controller.jobs


def test_the_first_values_of_the_means_count_whatever_the_clock_shows():
    d = Driver()
    before = d.controller.run_times.mean_run_ns[0].value
    d.complete(d.request()[0], duration_ns=1 * MS)
    assert d.controller.run_times.mean_run_ns[0].value > before / 2


@pytest.mark.parametrize(
    "changes",
    [
        {"cores": 1, "fleet_size": 1, "caller_count": 0},
        {"caller_count": 1000, "backpressure": BackpressureSignal.WINDOW},
        {"warmup_ns": 0, "cold_start": True, "warmup_speed": 0.0},
        {"clock_step_ns": 1, "idle_timeout_ns": 0, "max_retry_after_ns": 0, "drain_grace_ns": 0},
        {"tenants": (Tenant("none", 0.0, 0.0),)},
        {
            "downstream": DownstreamScope.SHARED,
            "downstream_share": 0.0,
            "downstream_window_ns": 1,
            "abandoned_call_ns": 0,
        },
        {
            "cores": 2,
            "reports_disconnects": True,
            "propagates_deadline": False,
            "downstream": DownstreamScope.SHARED,
            "downstream_share": 0.02,
            "downstream_window_ns": 5 * S,
            "abandoned_call_ns": 200 * MS,
            "marks_retries": False,
            "tenants": (Tenant("far over", 1.0, 0.4), *(Tenant(f"t{n}", 90.0, 0.15) for n in range(4))),
        },
    ],
)
def test_settings_at_their_edges_and_missing_gauges_decide_without_a_fault(changes):
    d = Driver(**changes)
    for n in range(40):
        job_id, _ = d.request(class_index=n % 4, caller=n, tenant_index=0 if d.settings.tenants else None)
        if d.settings.reports_disconnects and n % 3 == 0:
            d.send(RequestAbandoned(job_id))
        d.advance(100 * MS, step_ns=100 * MS, gauges={})
        if job_id in d.ids(StartRun):
            d.send(DownstreamCallNeeded(job_id))
            d.complete(job_id)
    d.send(DrainStarted(0))
    d.advance(6 * S, gauges={})
    assert not d.controller.jobs and d.ids(StartRun)


def test_what_a_site_lacks_can_be_left_out():
    page = RequestClass(name="page", latency_objective_ns=2 * S, deadline_ns=5 * S)
    bare = AdmissionSettings(
        classes=(page,), cores=2, memory_kb=1000.0, collapse_multiple=3.0, collapse_after_ns=S
    )
    c = AdmissionController(bare, 1)
    c.handle(0, InstanceStarted())
    assert StartRun("a") in c.handle(0, RequestReceived("a", 0))
