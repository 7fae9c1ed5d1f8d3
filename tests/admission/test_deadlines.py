"""Every request is answered once, by its deadline."""

from ochrehoist.admission.actions import (
    CancelRun,
    FailRequest,
    RejectRequest,
    StartRun,
)
from ochrehoist.admission.events import (
    DownstreamCallEnded,
    DownstreamCallNeeded,
    Outcome,
    RequestAbandoned,
)
from ochrehoist.admission.settings import (
    Preemption,
)
from tests.admission.controller_driver import MS, WRITE, Driver, S


def test_queued_and_running_are_answered_by_their_deadline_while_runs_hang():
    d = Driver()
    ids = [d.request(class_index=k % 3)[0] for k in range(12)]
    d.advance(3 * S + 100 * MS)
    for job_id in ids:
        answers = d.times_of(FailRequest, job_id) + d.times_of(RejectRequest, job_id)
        assert len(answers) == 1
        assert answers[0] <= 1000 * S + 3 * S + 100 * MS


def test_without_a_propagated_deadline_that_of_its_class_counts_from_its_arrival():
    d = Driver(propagates_deadline=False)
    job_id, actions = d.request(remaining_ns=None, unread_ns=1 * S)
    assert StartRun(job_id) in actions
    d.advance(5 * S)
    assert d.times_of(FailRequest, job_id)[0] <= 1000 * S + 4 * S + 100 * MS


def test_overdue_runs_are_cancelled_where_the_site_allows_it():
    d = Driver(preemption=Preemption.DROP)
    job_id, _ = d.request()
    d.advance(3 * S)
    assert d.ids(FailRequest) == [job_id] and d.ids(CancelRun) == [job_id]


def test_what_has_ended_is_not_answered_again():
    d = Driver()
    job_id, _ = d.request()
    d.complete(job_id)
    d.complete(job_id)
    d.send(RequestAbandoned(job_id))
    d.send(DownstreamCallNeeded(job_id))
    d.send(DownstreamCallEnded(job_id, Outcome.OK, 1))
    d.advance(4 * S)
    assert not d.ids(FailRequest) and not d.ids(RejectRequest)


def test_an_abandoned_request_leaves_the_queue_and_is_not_answered():
    d = Driver()
    ids = [d.request()[0] for _ in range(12)]
    held = [x for x in ids if x not in d.ids(StartRun) + d.ids(RejectRequest)]
    assert held
    d.send(RequestAbandoned(held[0]))
    d.advance(4 * S)
    assert held[0] not in d.ids(FailRequest) + d.ids(RejectRequest) + d.ids(StartRun)


def test_what_is_due_before_the_next_tick_is_answered_when_it_is_read():
    d = Driver()
    first, _ = d.request(class_index=WRITE)
    d.request(remaining_ns=60 * S)  # the server is not empty
    short, _ = d.request(remaining_ns=50 * MS)
    again, _ = d.request(class_index=WRITE, duplicate_of=first, is_retry=True, remaining_ns=50 * MS)
    assert d.times_of(RejectRequest, short) + d.times_of(StartRun, short) == [d.now_ns] and d.times_of(
        FailRequest, again
    ) == [d.now_ns]
    d = Driver()
    alone, _ = d.request(remaining_ns=50 * MS)
    assert d.times_of(RejectRequest, alone) == [d.now_ns]
