"""Whether the module decides as an earlier version did: both are told the same random histories.

    python -m benchmarks.same_decisions d2aafe5 --histories 1000 --tenants 4

After each event the actions must be the same, in the same order. Where they differ for the first time, the
history ends, and the difference is told. Quotas change in the middle: `--changes beat` right before a beat,
as the earlier version looks at them once a beat; `--changes any` at any moment. Both modules have tenants
whose quotas follow by themselves, or the later one is told of each change.

Counts that decay when they are looked at differ in their last bits from those that decay at each beat. Where
two requests are worth the same to the last bit, that decides between them: with `--digits 12` both modules
rank by so many digits, and what still differs is no rounding.
"""

import argparse
import importlib.util
import json
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from pathlib import Path
from types import ModuleType

from benchmarks.earlier import versions
from ochrehoist.admission import controller
from ochrehoist.admission.actions import SetTimer, StartDownstreamCall, StartRun
from ochrehoist.admission.events import (
    ConcurrencyLimits,
    DownstreamCallEnded,
    DownstreamCallNeeded,
    Event,
    InstanceStarted,
    Outcome,
    RequestAbandoned,
    RequestCompleted,
    RequestReceived,
    RunAdopted,
    TenantsReplaced,
    TimerFired,
)
from ochrehoist.admission.settings import (
    AdmissionSettings,
    BackpressureSignal,
    DownstreamScope,
    Idempotency,
    ObjectiveWeights,
    Preemption,
    RequestClass,
    Tenant,
)

MS, S = 1_000_000, 1_000_000_000


@dataclass
class Live:
    """A tenant whose quota may change by itself."""

    name: str
    quota_per_s: float
    share: float


def rules_of(tree: Path) -> ModuleType:
    """The decision module of another tree, with the types of this one."""
    spec = importlib.util.spec_from_file_location("rules_before", tree / "ochrehoist" / "rules.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def site(rng: random.Random, tenants: int) -> AdmissionSettings:
    """Any settings: all weights of the goal, quotas from nothing to more than there is room for."""
    kinds = rng.randint(1, 4)
    classes = tuple(
        RequestClass(
            name=f"class{n}",
            latency_objective_ns=rng.randrange(200, 3000) * MS,
            deadline_ns=rng.randrange(1000, 6000) * MS,
            priority_weight=rng.choice((1.0, 1.0, 2.0, 5.5)),
            idempotency=rng.choice(tuple(Idempotency)),
            idempotency_window_ns=rng.choice((0, 10 * S)),
            calls_downstream=rng.random() < 0.3,
            fallback_weight=rng.choice((0.0, 0.5)),
        )
        for n in range(kinds)
    )
    cores = rng.randint(1, 8)
    usual = cores * 10.0 / max(1, min(tenants, 8))
    quotas = [rng.choice((0.0, usual / 10, usual, usual, usual * rng.random() * 2)) for _ in range(tenants)]
    weights = rng.choice(((0.45, 0.15, 0.3, 0.1), (0.6, 0.2, 0.2, 0.0), (0.2, 0.0, 0.1, 0.7), (0, 0, 0, 1.0)))
    fleet = rng.choice((1, 1, 12))
    return AdmissionSettings(
        classes=classes,
        tenants=tuple(Tenant(f"tenant{n}", q * fleet, 1 / tenants) for n, q in enumerate(quotas)),
        objective=ObjectiveWeights(*weights),
        fleet_size=fleet,
        caller_count=rng.choice((0, 3, 400)),
        cores=cores,
        memory_kb=rng.choice((4000.0, 200_000.0)),
        run_memory_factor=rng.choice((1.0, 4.0)),
        key_kb=10.0,
        cold_start=rng.random() < 0.2,
        warmup_ns=10 * S,
        warmup_speed=0.25,
        collapse_multiple=rng.choice((2.0, 5.0)),
        collapse_after_ns=2 * S,
        drain_grace_ns=2 * S,
        propagates_deadline=rng.random() < 0.5,
        reports_disconnects=True,
        marks_retries=rng.random() < 0.5,
        weighs_work=rng.random() < 0.5,
        over_quota_weight=rng.choice((0.0, 0.1, 1.0)),
        downstream=rng.choice(
            (DownstreamScope.NONE, DownstreamScope.NONE, DownstreamScope.TIER, DownstreamScope.SHARED)
        ),
        downstream_share=2.0,
        downstream_window_ns=5 * S,
        abandoned_call_ns=200 * MS,
        backpressure=rng.choice(tuple(BackpressureSignal)),
        max_retry_after_ns=S,
        preemption=rng.choice(tuple(Preemption)),
        idle_timeout_ns=15 * S,
        clock_step_ns=4 * MS,
    )


class History:
    """One history, told to two modules. The world follows what the earlier one says."""

    def __init__(self, before: ModuleType, seed: int, tenants: int, changes: str, seconds: float) -> None:
        self.rng = rng = random.Random(seed)
        settings = site(rng, tenants)
        self.tenants, self.changes, self.told = settings.tenants, changes, rng.random() < 0.5
        self.live = tuple(Live(t.name, t.quota_per_s, t.share) for t in settings.tenants)
        live = replace(settings, tenants=self.live)
        self.before = before.AdmissionController(live, seed)
        self.now_module = controller.AdmissionController(settings if self.told else live, seed)
        self.settings, self.seconds = settings, seconds
        self.now, self.due, self.number = 1000 * S, [], 0
        self.open: dict[str, RequestReceived] = {}
        self.seen: Counter = Counter()
        self.difference: str | None = None
        self.running: set[str] = set()

    def at(self, delay: float, what: str, *rest: object) -> None:
        self.number += 1
        heappush(self.due, (self.now + int(delay), self.number, what, rest))

    def tell(self, event: Event, before: Event | None = None) -> None:
        """`before`: what the earlier version is told instead."""
        if self.difference is not None:
            return
        was = self.before.handle(self.now, before or event)
        now = self.now_module.handle(self.now, event)
        self.seen["events"] += 1
        self.seen["actions"] += len(was)
        if was != now:
            self.difference = f"{type(event).__name__} at {(self.now - 1000 * S) / S:.3f} s: {was} {now}"
            return
        for a in was:
            self.seen[type(a).__name__] += 1
            if isinstance(a, SetTimer):
                self.at(a.delay_ns + self.rng.choice((0, 0, 0, 3 * MS, 400 * MS)), "beat", a.timer_id)
            elif isinstance(a, StartRun):
                self.at(self.rng.expovariate(1 / self.takes) * S, "end", a.id)
            elif isinstance(a, StartDownstreamCall):
                self.at(self.rng.expovariate(20) * S, "called", a.id)

    def run(self) -> None:
        rng, s = self.rng, self.settings
        self.takes = rng.choice((0.02, 0.1, 0.4))
        rate = s.cores / self.takes * rng.choice((0.3, 0.8, 1.1, 2.0))
        self.mean = S / min(rate, 40.0 if self.seconds > 60 else 150.0)
        self.skew = rng.choice((0.5, 1.0, 3.0))
        self.tell(InstanceStarted())
        for n in range(rng.choice((0, 0, 3))):
            r = RequestReceived(f"old{n}", rng.randrange(len(s.classes)), self.any_tenant(), unread_ns=S)
            self.tell(RunAdopted(r, rng.random() < 0.5, rng.random() < 0.5))
            self.at(rng.expovariate(1 / self.takes) * S, "end", r.id)
        self.at(0, "request")
        if self.changes != "none":
            self.at(rng.expovariate(0.3) * S, "change")
        self.change_due = False
        end = self.now + self.seconds * S
        while self.due and self.difference is None:
            at, _, what, rest = heappop(self.due)
            if at > end:
                break
            self.now = max(self.now, at)
            getattr(self, "on_" + what)(*rest)

    def any_tenant(self) -> int | None:
        if not self.tenants or self.rng.random() < 0.03:
            return None
        return min(len(self.tenants) - 1, int(self.rng.random() ** self.skew * len(self.tenants)))

    def on_request(self) -> None:
        rng, s = self.rng, self.settings
        kind = rng.randrange(len(s.classes))
        original = rng.choice(list(self.open)) if self.open and rng.random() < 0.05 else None
        r = RequestReceived(
            f"r{self.number}",
            kind,
            self.any_tenant(),
            remaining_ns=rng.randrange(300, 4000) * MS if s.propagates_deadline else None,
            work_ns=rng.choice((None, rng.randrange(1, 300) * MS)),
            memory_kb=30.0,
            is_retry=rng.random() < 0.15,
            caller=rng.randrange(5),
            unread_ns=rng.randrange(50) * MS,
            duplicate_of=original,
            cost_multiple=rng.choice((1.0,) * 20 + (8.0,)),
        )
        self.open[r.id] = r
        if len(self.open) > 50:
            del self.open[next(iter(self.open))]
        self.tell(r)
        # Now and then all is quiet for so long that a tenant's counts come down, or for longer than its
        # starts are known.
        pause = rng.choice((5, 60, 400)) if self.seconds > 60 and rng.random() < 0.004 else 0.0
        self.at(rng.expovariate(1 / self.mean) + pause * S, "request")
        if rng.random() < 0.05:
            self.at(rng.randrange(5, 3000) * MS, "gone", r.id)
        if rng.random() < 0.002:
            kinds = len(s.classes)
            told = ConcurrencyLimits(rng.randint(1, 30), (1,) * kinds, (rng.randint(1, 20),) * kinds, 3)
            self.tell(rng.choice((told, ConcurrencyLimits())))

    def on_beat(self, token: int) -> None:
        if self.change_due:
            self.change_quotas()
        self.tell(
            TimerFired(token, {"cpu_busy": self.rng.random() * 1.1, "runnable": self.rng.randrange(12)})
        )

    def on_end(self, job: str) -> None:
        rng = self.rng
        if rng.random() < 0.15 and self.settings.downstream is not DownstreamScope.NONE:
            self.tell(DownstreamCallNeeded(job))
            return self.at(rng.expovariate(1 / self.takes) * S, "end", job)
        outcome = rng.choice((Outcome.OK,) * 12 + (Outcome.FAILED, Outcome.QUEUE_FULL))
        self.tell(RequestCompleted(job, outcome, int(rng.expovariate(1 / self.takes) * S)))

    def on_called(self, job: str) -> None:
        outcome = self.rng.choice((Outcome.OK,) * 6 + (Outcome.TIMED_OUT, Outcome.UNREACHABLE))
        self.tell(DownstreamCallEnded(job, outcome, int(self.rng.expovariate(20) * S)))

    def on_gone(self, job: str) -> None:
        self.tell(RequestAbandoned(job, self.rng.random() < 0.8))

    def on_change(self) -> None:
        if self.changes == "any":
            self.change_quotas()
        else:
            self.change_due = True
        self.at(self.rng.expovariate(0.3) * S, "change")

    def change_quotas(self) -> None:
        self.change_due = False
        self.seen["changes of quotas"] += 1
        for at in {self.rng.randrange(len(self.live)) for _ in range(3)}:
            most = max(t.quota_per_s for t in self.tenants) or 10.0
            self.live[at].quota_per_s = self.rng.choice((0.0, most * self.rng.random()))
        if self.told:
            tenants = tuple(Tenant(t.name, t.quota_per_s, t.share) for t in self.live)
            self.tell(TenantsReplaced(tenants), RequestAbandoned("nobody"))  # any event looks at the queue


def rounded(module: ModuleType, digits: int) -> ModuleType:
    """The module, with values of so many digits in its ranking."""
    exact = module.AdmissionController._value
    module.AdmissionController._value = lambda self, j: float(f"{exact(self, j):.{digits - 1}e}")
    return module


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("revision")
    parser.add_argument("--histories", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tenants", type=int, default=0, help="0: 1 to 6")
    parser.add_argument("--changes", choices=("none", "beat", "any"), default="beat")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--digits", type=int, default=0, help="0: all")
    args = parser.parse_args()
    seen: Counter = Counter()
    began = time.process_time()
    with versions(args.revision) as ((_, tree), _):
        before = rules_of(tree)
        if args.digits:
            rounded(before, args.digits)
            rounded(controller, args.digits)
        for seed in range(args.seed, args.seed + args.histories):
            tenants = args.tenants or 1 + seed % 6
            history = History(before, seed, tenants, args.changes, args.seconds)
            history.run()
            seen += history.seen
            seen["histories"] += 1
            if history.difference is not None:
                seen["histories that differ"] += 1
                if seen["histories that differ"] <= 10:
                    print(f"seed {seed}: {history.difference}"[:600], file=sys.stderr)
    result = vars(args) | dict(seen) | {"cpu_s": round(time.process_time() - began, 1)}
    print(json.dumps(result))
    return 1 if seen["histories that differ"] else 0


if __name__ == "__main__":
    sys.exit(main())
