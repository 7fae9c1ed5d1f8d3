"""The four rules on random sequences of events; no model of a server's speed."""

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
    st.tuples(st.just("finish"), st.integers(0, 20), st.sampled_from([Outcome.OK, Outcome.FAILED])),
    st.tuples(st.just("needs"), st.integers(0, 20)),
    st.tuples(st.just("called"), st.integers(0, 20), st.sampled_from(list(Outcome))),
    st.tuples(st.just("gone"), st.integers(0, 20)),
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


class World:
    """Keeps the state that the wire would keep, and checks each action against the rules."""

    def __init__(self, site):
        self.d = Driver(**site)
        self.running, self.at_call, self.out, self.joined, self.open = [], [], [], [], {}
        self.kind, self.ran, self.kept, self.root, self.leave, self.seen = {}, set(), {}, {}, None, 0

    def check(self):
        for now, a in self.d.log[self.seen :]:
            job = getattr(a, "id", None)
            if isinstance(a, StartRun):
                assert job in self.open and job not in self.ran and self.root.get(job, job) not in self.ran
                assert CLASSES[self.kind[job]].idempotency is not Idempotency.KEYED or job in self.kept
                assert (
                    self.leave is None or self.d.arrived[job] <= self.leave + self.d.settings.drain_grace_ns
                )
                self.ran.add(job)
                self.running.append(job)
            elif isinstance(a, RejectRequest | FailRequest):
                assert job in self.open, "a second final answer"
                assert now <= self.open.pop(job) + self.d.settings.answer_grace_ns
                assert not (
                    isinstance(a, RejectRequest) and (job in self.ran or self.root.get(job) in self.ran)
                )
                if job in self.joined:
                    self.joined.remove(job)
                if job in self.at_call + self.out:
                    self.end(job)
            elif isinstance(a, AttachDuplicate):
                self.joined.append(job)
            elif isinstance(a, RetainKey):
                self.kept[job] = now + a.ttl_ns
            elif isinstance(a, ReleaseKey):
                del self.kept[job]
            elif isinstance(a, StartDownstreamCall | SkipDownstreamCall):
                self.at_call.remove(job)
                (self.out if isinstance(a, StartDownstreamCall) else self.running).append(job)
        self.seen = len(self.d.log)
        c = self.d.controller
        assert (
            len(self.running) == c.concurrency.running
            and c.memory.used_kb + 50.0 * len(c.idempotency.retained) <= self.d.settings.memory_kb
        )
        assert c.concurrency.running <= self.d.settings.cores * self.d.settings.collapse_multiple

    def end(self, job, outcome=Outcome.CANCELLED):
        for place in (self.running, self.at_call, self.out):
            if job in place:
                place.remove(job)
        if outcome is not Outcome.CANCELLED:
            self.open.pop(job, None)
        self.d.complete(job, outcome)

    def step(self, what, n=0, *rest):  # noqa: C901 - one branch an event
        d = self.d
        if what == "request":
            remaining, unread, repeat = rest
            keyed = [k for k in self.kept if self.kept[k] > d.now_ns - unread * MS and k in self.kind]
            original = keyed[repeat % len(keyed)] if n == 1 and keyed and repeat < 4 else None
            job = f"r{d.count + 1}"
            self.kind[job], self.open[job] = n, d.now_ns + remaining * MS
            if original:
                self.root[job] = self.root.get(original, original)
            d.request(
                class_index=n,
                remaining_ns=remaining * MS,
                unread_ns=unread * MS,
                duplicate_of=original,
                is_retry=bool(original),
            )
        elif what == "finish" and self.running:
            self.end(self.running[n % len(self.running)], *rest)
        elif what == "needs" and self.running and d.settings.downstream is not DownstreamScope.NONE:
            job = self.running.pop(n % len(self.running))
            self.at_call.append(job)
            d.send(DownstreamCallNeeded(job))
            if job not in self.open:
                self.end(job)
        elif what == "called" and self.out:
            job = self.out.pop(n % len(self.out))
            (self.running if rest[0] is Outcome.OK else self.at_call).append(job)
            d.send(DownstreamCallEnded(job, rest[0], 50 * MS))
        elif what == "gone" and self.open:
            job = list(self.open)[n % len(self.open)]
            del self.open[job]
            d.send(RequestAbandoned(job))
            if job in self.joined:
                self.joined.remove(job)
            if job in self.at_call + self.out:
                self.end(job)
        elif what == "wait":
            for _ in range(max(1, n // 25)):
                d.advance(25 * MS)
                self.check()
        self.check()


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.sampled_from(SITES), st.lists(STEP, max_size=60), st.lists(STEP, max_size=25))
def test_the_four_rules_hold_on_any_sequence(site, before, after):
    world = World(site)
    for step in before:
        world.step(*step)
    world.leave = world.d.now_ns
    world.d.send(DrainStarted(4 * S))
    world.check()
    for step in after:
        if world.d.now_ns < world.leave + 2500 * MS:
            world.step(*step)
    world.step("wait", max(0, (world.leave + 4 * S - world.d.now_ns) // MS))
    assert not world.open, "read and never answered"


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.sampled_from(SITES), st.lists(STEP, max_size=40))
def test_same_events_same_actions_on_any_sequence(site, steps):
    logs = []
    for _ in range(2):
        world = World(site)
        for step in steps:
            world.step(*step)
        logs.append(world.d.log)
    assert logs[0] == logs[1]
