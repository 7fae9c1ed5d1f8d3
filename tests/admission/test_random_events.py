"""Invariants of admission on random sequences of events, without a model of the speed of a server."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.admission.actions import (
    AttachDuplicate,
    FailRequest,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SkipDownstreamCall,
    StartDownstreamCall,
    StartRun,
)
from ochrehoist.admission.events import (
    DownstreamCallEnded,
    DownstreamCallNeeded,
    DrainStarted,
    Outcome,
    RequestAbandoned,
)
from ochrehoist.admission.settings import BackpressureSignal, DownstreamScope, Idempotency
from tests.admission.controller_driver import CLASSES, MS, Driver, S

STEP = st.one_of(
    st.tuples(
        st.just("request"), st.integers(0, 3), st.integers(50, 6000), st.integers(0, 1500), st.integers(0, 9)
    ),
    st.tuples(st.just("complete"), st.integers(0, 20), st.sampled_from([Outcome.OK, Outcome.FAILED])),
    st.tuples(st.just("call needed"), st.integers(0, 20)),
    st.tuples(st.just("call ended"), st.integers(0, 20), st.sampled_from(list(Outcome))),
    st.tuples(st.just("abandon"), st.integers(0, 20)),
    st.tuples(st.just("wait"), st.integers(1, 1200)),
)
SITES = (
    {},
    {
        "downstream": DownstreamScope.SHARED,
        "downstream_share": 2.0,
        "downstream_window_ns": 5 * S,
        "abandoned_call_ns": 200 * MS,
    },
    {
        "downstream": DownstreamScope.SHARED,
        "downstream_share": 0.3,
        "downstream_window_ns": 5 * S,
        "abandoned_call_ns": 200 * MS,
        "cores": 2,
    },
    {
        "downstream": DownstreamScope.TIER,
        "memory_kb": 900.0,
        "backpressure": BackpressureSignal.WINDOW,
        "cold_start": True,
    },
)


class ModelCheck:
    """Model of the requests as the network side sees them; checks each action against the invariants."""

    def __init__(self, site):
        self.driver = Driver(**site)
        self.running, self.awaiting_call, self.calling, self.attached, self.deadlines_ns = [], [], [], [], {}
        (
            self.class_indices,
            self.started,
            self.key_expiries_ns,
            self.originals,
            self.drain_started_at_ns,
            self.checked_count,
        ) = {}, set(), {}, {}, None, 0

    def check(self):
        for time_ns, action in self.driver.log[self.checked_count :]:
            job_id = getattr(action, "id", None)
            if isinstance(action, StartRun):
                assert (
                    job_id in self.deadlines_ns
                    and job_id not in self.started
                    and self.originals.get(job_id, job_id) not in self.started
                )
                assert (
                    CLASSES[self.class_indices[job_id]].idempotency is not Idempotency.KEYED
                    or job_id in self.key_expiries_ns
                )
                assert (
                    self.drain_started_at_ns is None
                    or self.driver.arrived_at_ns[job_id]
                    <= self.drain_started_at_ns + self.driver.settings.drain_grace_ns
                )
                self.started.add(job_id)
                self.running.append(job_id)
            elif isinstance(action, RejectRequest | FailRequest):
                assert job_id in self.deadlines_ns, "second final answer to a request"
                assert time_ns <= self.deadlines_ns.pop(job_id) + self.driver.settings.answer_grace_ns
                assert not (
                    isinstance(action, RejectRequest)
                    and (job_id in self.started or self.originals.get(job_id) in self.started)
                )
                if job_id in self.attached:
                    self.attached.remove(job_id)
                if job_id in self.awaiting_call + self.calling:
                    self.end(job_id)
            elif isinstance(action, AttachDuplicate):
                self.attached.append(job_id)
            elif isinstance(action, RetainKey):
                self.key_expiries_ns[job_id] = time_ns + action.ttl_ns
            elif isinstance(action, ReleaseKey):
                del self.key_expiries_ns[job_id]
            elif isinstance(action, StartDownstreamCall | SkipDownstreamCall):
                self.awaiting_call.remove(job_id)
                (self.calling if isinstance(action, StartDownstreamCall) else self.running).append(job_id)
        self.checked_count = len(self.driver.log)
        admission = self.driver.controller
        assert (
            len(self.running) == admission.concurrency.running
            and admission.memory.used_kb + 50.0 * len(admission.idempotency.retained)
            <= self.driver.settings.memory_kb
        )
        assert (
            admission.concurrency.running
            <= self.driver.settings.cores * self.driver.settings.collapse_multiple
        )

    def end(self, job_id, outcome=Outcome.CANCELLED):
        for jobs in (self.running, self.awaiting_call, self.calling):
            if job_id in jobs:
                jobs.remove(job_id)
        if outcome is not Outcome.CANCELLED:
            self.deadlines_ns.pop(job_id, None)
        self.driver.complete(job_id, outcome)

    def step(self, kind, value=0, *rest):  # noqa: C901 - one branch per event
        driver = self.driver
        if kind == "request":
            remaining_ms, unread_ms, duplicate_choice = rest
            keyed = [
                key
                for key in self.key_expiries_ns
                if self.key_expiries_ns[key] > driver.now_ns - unread_ms * MS and key in self.class_indices
            ]
            original = (
                keyed[duplicate_choice % len(keyed)]
                if value == 1 and keyed and duplicate_choice < 4
                else None
            )
            job_id = f"r{driver.request_count + 1}"
            self.class_indices[job_id], self.deadlines_ns[job_id] = value, driver.now_ns + remaining_ms * MS
            if original:
                self.originals[job_id] = self.originals.get(original, original)
            driver.request(
                class_index=value,
                remaining_ns=remaining_ms * MS,
                unread_ns=unread_ms * MS,
                duplicate_of=original,
                is_retry=bool(original),
            )
        elif kind == "complete" and self.running:
            self.end(self.running[value % len(self.running)], *rest)
        elif (
            kind == "call needed" and self.running and driver.settings.downstream is not DownstreamScope.NONE
        ):
            job_id = self.running.pop(value % len(self.running))
            self.awaiting_call.append(job_id)
            driver.send(DownstreamCallNeeded(job_id))
            if job_id not in self.deadlines_ns:
                self.end(job_id)
        elif kind == "call ended" and self.calling:
            job_id = self.calling.pop(value % len(self.calling))
            (self.running if rest[0] is Outcome.OK else self.awaiting_call).append(job_id)
            driver.send(DownstreamCallEnded(job_id, rest[0], 50 * MS))
        elif kind == "abandon" and self.deadlines_ns:
            job_id = list(self.deadlines_ns)[value % len(self.deadlines_ns)]
            del self.deadlines_ns[job_id]
            driver.send(RequestAbandoned(job_id))
            if job_id in self.attached:
                self.attached.remove(job_id)
            if job_id in self.awaiting_call + self.calling:
                self.end(job_id)
        elif kind == "wait":
            for _ in range(max(1, value // 25)):
                driver.advance(25 * MS)
                self.check()
        self.check()


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.sampled_from(SITES), st.lists(STEP, max_size=60), st.lists(STEP, max_size=25))
def test_the_invariants_hold_on_any_sequence_of_events(site, steps_before_drain, steps_during_drain):
    model = ModelCheck(site)
    for step in steps_before_drain:
        model.step(*step)
    model.drain_started_at_ns = model.driver.now_ns
    model.driver.send(DrainStarted(4 * S))
    model.check()
    for step in steps_during_drain:
        if model.driver.now_ns < model.drain_started_at_ns + 2500 * MS:
            model.step(*step)
    model.step("wait", max(0, (model.drain_started_at_ns + 4 * S - model.driver.now_ns) // MS))
    assert not model.deadlines_ns, "requests were read but never answered"


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.sampled_from(SITES), st.lists(STEP, max_size=40))
def test_same_events_same_actions_on_any_sequence(site, steps):
    logs = []
    for _ in range(2):
        model = ModelCheck(site)
        for step in steps:
            model.step(*step)
        logs.append(model.driver.log)
    assert logs[0] == logs[1]
