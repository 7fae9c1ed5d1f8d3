"""Calls to dependencies: their share of any period, retries, fallbacks and capacity for their return."""

import pytest

from ochrehoist.admission.actions import (
    FailRequest,
    SkipDownstreamCall,
    StartDownstreamCall,
    StartRun,
)
from ochrehoist.admission.events import (
    NEVER_RAN,
    DownstreamCallEnded,
    DownstreamCallNeeded,
    Outcome,
    RequestAbandoned,
)
from ochrehoist.admission.job import JobState
from ochrehoist.admission.settings import (
    DownstreamScope,
)
from tests.admission.controller_driver import CLASSES, MS, READ, RICH, WRITE, Driver, S


def test_a_call_is_retried_only_after_proof_that_it_never_ran():
    for outcome in Outcome:
        if outcome is Outcome.OK:
            continue
        classes = (*CLASSES[:3], CLASSES[1])
        d = Driver(downstream=DownstreamScope.TIER, classes=classes)
        job_id, _ = d.request(class_index=WRITE)
        d.send(DownstreamCallNeeded(job_id))
        assert d.ids(StartDownstreamCall) == [job_id]
        d.send(DownstreamCallEnded(job_id, outcome, 10 * MS))
        d.advance(2 * S)
        assert len(d.ids(StartDownstreamCall)) == (2 if outcome in NEVER_RAN else 1)


def shared(downstream_share=3.0, **changes):
    return Driver(
        downstream=DownstreamScope.SHARED,
        downstream_share=downstream_share,
        downstream_window_ns=5 * S,
        abandoned_call_ns=200 * MS,
        **changes,
    )


class SlowBelow:
    """What lies below keeps each call as long as it may; checks the mean of what it holds over any period."""

    def __init__(self, d):
        self.d, self.spans, self.seen = d, {}, 0

    def look(self):
        for at, a in self.d.log[self.seen :]:
            if isinstance(a, StartDownstreamCall):
                self.spans.setdefault(a.id, []).append([at, a.stop_at_ns + self.d.settings.abandoned_call_ns])
        self.seen = len(self.d.log)

    def cut(self, job_id, linger=True):
        self.spans[job_id][-1][1] = self.d.now_ns + (self.d.settings.abandoned_call_ns if linger else 0)

    def worst(self):
        over = self.d.settings.downstream_window_ns
        spans = [s for many in self.spans.values() for s in many]
        return max(
            (sum(max(0, min(b, end) - max(a, end - over)) for a, b in spans) / over for _, end in spans),
            default=0.0,
        )


@pytest.mark.parametrize("fair", [0.2, 0.5, 0.9, 3.0])
@pytest.mark.parametrize("ending", [Outcome.TIMED_OUT, Outcome.QUEUE_FULL, "gone", "answered"])
def test_calls_that_last_as_long_as_they_may_stay_within_the_share_of_any_period(fair, ending):  # noqa: C901 - one history
    # One call was let out until its deadline where the share is under one call, and a call whose caller left
    # or whose answer was given did not count while it lingered: the sum over a fleet could pass the shares.
    d = Driver(
        downstream=DownstreamScope.SHARED,
        downstream_share=fair,
        downstream_window_ns=5 * S,
        abandoned_call_ns=200 * MS,
        cores=2,
        classes=(CLASSES[0], CLASSES[1], CLASSES[0], CLASSES[3]),
        propagates_deadline=False,
        clock_step_ns=10 * MS,
    )
    below = SlowBelow(d)
    for n in range(2000):
        if n % 5 == 0:
            d.request(class_index=n // 5 % 4, remaining_ns=None)
        for started in [x for x in d.ids(StartRun) if x in d.controller.jobs]:
            if d.controller.jobs[started].state is JobState.RUNNING:
                d.send(DownstreamCallNeeded(started))
        below.look()
        for out, spans in list(below.spans.items()):
            below.look()
            if out not in d.controller.jobs or d.controller.jobs[out].state is not JobState.CALLING:
                continue
            if ending in ("gone", "answered") and d.now_ns - spans[-1][0] > 30 * MS * (n % 9):
                below.cut(out)
                if ending == "gone":
                    d.send(RequestAbandoned(out))
                d.complete(out, Outcome.CANCELLED)
            elif ending is Outcome.QUEUE_FULL and d.now_ns - spans[-1][0] > 40 * MS:
                below.cut(out, linger=False)
                d.send(DownstreamCallEnded(out, ending, 40 * MS))
            elif d.now_ns >= spans[-1][1] - d.settings.abandoned_call_ns:
                below.cut(out)
                d.send(DownstreamCallEnded(out, Outcome.TIMED_OUT, d.now_ns - spans[-1][0]))
                d.complete(out, Outcome.FAILED) if out in d.controller.jobs else None
        d.advance(10 * MS)
        below.look()
    assert len(below.spans) > 3 and below.worst() <= fair


def test_a_full_dependency_is_skipped_where_there_is_a_fallback_and_waited_for_where_there_is_none():
    d = shared(downstream_share=0.3, classes=CLASSES[:1] + (CLASSES[3],) * 3)
    rich, read = d.request(class_index=RICH)[0], d.request(class_index=READ)[0]
    for _ in range(6):
        job_id, _ = d.request(class_index=RICH)
        d.send(DownstreamCallNeeded(job_id))
    assert d.ids(StartDownstreamCall) and d.ids(SkipDownstreamCall)
    d.send(DownstreamCallNeeded(read))
    assert read not in d.ids(StartDownstreamCall) + d.ids(SkipDownstreamCall)
    for out in d.ids(StartDownstreamCall):
        d.send(DownstreamCallEnded(out, Outcome.OK, 5 * MS))
    assert read in d.ids(StartDownstreamCall) and rich not in d.ids(StartDownstreamCall)


def test_calls_that_may_have_run_are_not_retried_but_skipped_or_failed():
    d = shared()
    job_id, _ = d.request(class_index=RICH)
    d.send(DownstreamCallNeeded(job_id))
    d.send(DownstreamCallEnded(job_id, Outcome.CONNECTION_RESET, 10 * MS))
    assert d.ids(SkipDownstreamCall) == [job_id]


def test_starts_leave_capacity_for_the_calls_that_may_all_come_back_at_once():
    d = Driver(
        downstream=DownstreamScope.TIER, memory_kb=1e9, collapse_multiple=3.0, classes=(CLASSES[0],) * 4
    )
    for _ in range(60):
        job_id, _ = d.request(remaining_ns=60 * S)
        d.advance(5 * MS, step_ns=5 * MS, gauges={"cpu_busy": 0.1})
        if job_id in d.ids(StartRun):
            d.send(DownstreamCallNeeded(job_id))
    assert 6 <= len(d.ids(StartRun)) <= 4 * 3
    assert len(d.ids(StartDownstreamCall)) <= 4 * 3


def test_one_whose_call_cannot_be_retried_is_answered_at_the_same_event():
    for ending in (Outcome.TIMED_OUT, Outcome.CONNECTION_RESET, Outcome.FAILED):
        d = shared()
        job_id, _ = d.request(class_index=WRITE)
        d.send(DownstreamCallNeeded(job_id))
        assert FailRequest(job_id) in d.send(DownstreamCallEnded(job_id, ending, 10 * MS))


def test_after_slow_calls_one_is_started_again_when_the_window_is_over():
    d = shared(downstream_share=0.5, classes=(CLASSES[0],) * 4)
    for _ in range(3):
        job_id, _ = d.request(class_index=READ)
        d.send(DownstreamCallNeeded(job_id))
        if job_id in d.ids(StartDownstreamCall):
            d.now_ns += 900 * MS
            d.send(DownstreamCallEnded(job_id, Outcome.OK, 1100 * MS))
    calls = len(d.ids(StartDownstreamCall))
    d.advance(6 * S, step_ns=100 * MS)
    job_id, _ = d.request(class_index=READ)
    d.send(DownstreamCallNeeded(job_id))
    assert len(d.ids(StartDownstreamCall)) > calls
