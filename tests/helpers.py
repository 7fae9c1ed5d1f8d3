"""Settings and a driver for tests of the controller: events in, actions out, no model of a server's speed."""

import dataclasses

from ochrehoist import interface as i
from ochrehoist.rules import AdmissionController

MS, S = 1_000_000, 1_000_000_000


def request_class(**changes):
    base = i.RequestClass(
        name="read",
        aim=2 * S,
        deadline=5 * S,
        worth=1.0,
        late_worth=0.0,
        repeat=i.Repeat.SAFE,
        window=0,
        aim_stretch=0.0,
        calls=False,
        skip_worth=0.0,
    )
    return dataclasses.replace(base, **changes)


CLASSES = (
    request_class(),
    request_class(name="write", worth=3.0, repeat=i.Repeat.KEYED, window=10 * S),
    request_class(name="pay", worth=2.0, repeat=i.Repeat.UNSAFE),
    request_class(name="rich", worth=1.0, calls=True, skip_worth=0.5),
)


def settings(**changes):
    base = i.Settings(
        classes=CLASSES,
        tenants=(),
        goal=i.Goal(0.6, 0.2, 0.2, 0.0),
        prices={},
        fleet_size=10,
        tier=0,
        callers=3,
        cores=4,
        memory_kb=20_000.0,
        run_factor=4.0,
        key_kb=50.0,
        just_started=False,
        cold=10 * S,
        cold_from=0.25,
        tip_multiple=5.0,
        fall=2 * S,
        drain_grace=2 * S,
        answer_grace=100 * MS,
        passes_deadline=True,
        tells_gone=False,
        marks_retry=True,
        worth_by_work=False,
        over_share_worth=0.1,
        below=i.Below.NOTHING,
        fair_calls=0.0,
        calls_over=0,
        lingers=0,
        fresh_for=0,
        advice=i.Advice.NONE,
        advice_heard_for=S,
        backoff_relayed=True,
        max_backoff=S,
        preemption=i.Preemption.NONE,
        readiness=False,
        deep_checks=False,
        idle=15 * S,
        step=4 * MS,
    )
    return dataclasses.replace(base, **changes)


class Driver:
    """One controller, its clock, and all that it has said."""

    def __init__(self, **changes):
        self.settings = settings(**changes)
        self.controller = AdmissionController(self.settings, 7)
        self.now, self.count, self.log, self.arrived = 1000 * S, 0, [], {}
        self.send(i.Started())

    def send(self, event):
        actions = self.controller.handle(self.now, event)
        self.log += [(self.now, a) for a in actions]
        return actions

    def request(self, kind=0, remaining=3 * S, **changes):
        self.count += 1
        base = i.Request(
            id=f"r{self.count}",
            kind=kind,
            tenant=None,
            key=None,
            remaining=remaining,
            work=None,
            memory_kb=30.0,
            rank=0.5,
            retry=False,
            write=False,
            caller=1,
            unread_for=10 * MS,
            original=None,
        )
        event = dataclasses.replace(base, **changes)
        self.arrived[event.id] = self.now - event.unread_for
        return event.id, self.send(event)

    def done(self, job_id, outcome=i.Outcome.OK, took=100 * MS):
        return self.send(i.Completed(job_id, outcome, took))

    def run_for(self, span, every=25 * MS, gauges=None):
        """Let time pass, the sweep timer ringing."""
        out = []
        end = self.now + span
        while self.now < end:
            self.now = min(end, self.now + every)
            out += self.send(i.Alarm(1, gauges if gauges is not None else {"cpu_busy": 1.0}))
        return out

    def said(self, kind):
        return [a for _, a in self.log if isinstance(a, kind)]

    def ids(self, kind):
        return [a.id for a in self.said(kind)]

    def at(self, kind, job_id):
        return [t for t, a in self.log if isinstance(a, kind) and a.id == job_id]
