"""Random histories told to the decision module of one tree; run in a process of that tree.

    python -m benchmarks.decision_histories TREE --seed 1 --histories 10

The world follows what the module says, so the same decisions make the same history. For each history one
line is written: its seed, what was counted, and a digest of the text of all events and actions. With
`--transcript` that text itself is written.
"""

import argparse
import dataclasses
import hashlib
import json
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

from benchmarks.decision_api import DecisionApi

MS, S = 1_000_000, 1_000_000_000
# Positions of outcomes, and of the settings' fields, that all trees share.
OK, FAILED, QUEUE_FULL, TIMED_OUT, UNREACHABLE = range(5)
CLASS_FIELDS = (
    "name",
    "latency_objective_ns",
    "deadline_ns",
    "priority_weight",
    "late_weight",
    "idempotency",
    "idempotency_window_ns",
    "objective_stretch",
    "calls_downstream",
    "fallback_weight",
)
SETTINGS_FIELDS = (
    "classes",
    "cores",
    "memory_kb",
    "collapse_multiple",
    "collapse_after_ns",
    "run_memory_factor",
    "drain_grace_ns",
    "answer_grace_ns",
    "objective",
    "tenants",
    "prices",
    "fleet_size",
    "tier",
    "caller_count",
    "key_kb",
    "cold_start",
    "warmup_ns",
    "warmup_speed",
    "propagates_deadline",
    "reports_disconnects",
    "marks_retries",
    "weighs_work",
    "over_quota_weight",
    "downstream",
    "downstream_share",
    "downstream_window_ns",
    "abandoned_call_ns",
    "freshness_ns",
    "backpressure",
    "backpressure_ttl_ns",
    "relays_retry_after",
    "max_retry_after_ns",
    "preemption",
    "readiness",
    "deep_health_checks",
    "idle_timeout_ns",
    "clock_step_ns",
)
NO_DOWNSTREAM, SHARED_DOWNSTREAM, DOWNSTREAM_TIER = range(3)


@dataclass
class Live:
    """A tenant whose quota may change by itself."""

    name: str
    quota_per_s: float
    share: float


def site(api: DecisionApi, rng: random.Random, tenants: int) -> Any:
    """Any settings: all weights of the goal, quotas from nothing to more than there is room for."""
    kinds = rng.randint(1, 4)
    classes = tuple(
        request_class(
            api,
            name=f"class{n}",
            latency_objective_ns=rng.randrange(200, 3000) * MS,
            deadline_ns=rng.randrange(1000, 6000) * MS,
            priority_weight=rng.choice((1.0, 1.0, 2.0, 5.5)),
            idempotency=rng.choice(tuple(api.settings_types["Idempotency"])),
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
    return settings_of(
        api,
        classes=classes,
        tenants=tuple(
            api.settings_types["Tenant"](f"tenant{n}", q * fleet, 1 / tenants) for n, q in enumerate(quotas)
        ),
        objective=api.settings_types["ObjectiveWeights"](*weights),
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
        downstream=api.member(
            "DownstreamScope",
            rng.choice((NO_DOWNSTREAM, NO_DOWNSTREAM, DOWNSTREAM_TIER, SHARED_DOWNSTREAM)),
        ),
        downstream_share=2.0,
        downstream_window_ns=5 * S,
        abandoned_call_ns=200 * MS,
        backpressure=rng.choice(tuple(api.settings_types["BackpressureSignal"])),
        max_retry_after_ns=S,
        preemption=rng.choice(tuple(api.settings_types["Preemption"])),
        idle_timeout_ns=15 * S,
        clock_step_ns=4 * MS,
    )


def request_class(api: DecisionApi, **values: Any) -> Any:
    """A request class of the tree."""
    return api.of_settings("RequestClass", {CLASS_FIELDS.index(name): v for name, v in values.items()})


def settings_of(api: DecisionApi, **values: Any) -> Any:
    """Settings of the tree."""
    return api.of_settings(
        "AdmissionSettings", {SETTINGS_FIELDS.index(name): v for name, v in values.items()}
    )


class Known:
    """What the world needs of the settings, whatever a tree calls it."""

    def __init__(self, api: DecisionApi, settings: Any) -> None:
        names = [field.name for field in dataclasses.fields(settings)]

        def value(name: str) -> Any:
            return getattr(settings, names[SETTINGS_FIELDS.index(name)])

        self.classes, self.cores = value("classes"), value("cores")
        self.propagates_deadline = value("propagates_deadline")
        self.calls_downstream = value("downstream") is not api.member("DownstreamScope", NO_DOWNSTREAM)


class History:
    """One history, told to one module. The world follows what it says."""

    def __init__(self, api: DecisionApi, seed: int, tenants: int, changes: str, seconds: float) -> None:
        self.api = api
        self.rng = rng = random.Random(seed)
        settings = site(api, rng, tenants)
        self.tenants, self.changes, self.told = settings.tenants, changes, rng.random() < 0.5
        self.live = tuple(Live(t.name, t.quota_per_s, t.share) for t in settings.tenants)
        self.settings, self.seconds = Known(api, settings), seconds
        given = settings if self.told else dataclasses.replace(settings, tenants=self.live)
        self.given, self.seed = given, seed
        self.module = api.controller(given, seed)
        self.now, self.due, self.number = 1000 * S, [], 0
        self.open: dict[str, Any] = {}
        self.seen: Counter = Counter()
        self.lines: list[str] = []

    def at(self, delay: float, what: str, *rest: object) -> None:
        """Do this after so many ns."""
        self.number += 1
        heappush(self.due, (self.now + int(delay), self.number, what, rest))

    def tell(self, name: str, *values: Any) -> None:
        """Hand an event to the module, and do what it says."""
        event = self.api.event(name, *values)
        actions = [self.api.neutral(action) for action in self.module.handle(self.now, event)]
        self.seen["events"] += 1
        self.seen["actions"] += len(actions)
        about = values[0] if values and isinstance(values[0], str) else ""
        self.lines.append(f"{self.now} {name} {about}: {actions}")
        for action, *rest in actions:
            self.seen[action] += 1
            if action == "SetTimer":
                self.at(rest[0] + self.rng.choice((0, 0, 0, 3 * MS, 400 * MS)), "beat", rest[1])
            elif action == "StartRun":
                slow = 100 if self.rng.random() < self.hangs else 1
                self.at(slow * self.rng.expovariate(1 / self.takes) * S, "end", rest[0])
            elif action == "AttachDuplicate":
                self.at(self.rng.expovariate(1 / self.takes) * S, "resolved", rest[0])
            elif action == "StartDownstreamCall":
                self.at(self.rng.expovariate(20) * S, "called", rest[0])

    def run(self) -> None:
        rng, s = self.rng, self.settings
        self.takes = rng.choice((0.02, 0.1, 0.4))
        self.hangs = rng.choice((0.0, 0.0, 0.0, 0.05))  # share of the runs that take a hundred times as long
        rate = s.cores / self.takes * rng.choice((0.3, 0.8, 1.1, 2.0))
        self.mean = S / min(rate, 40.0 if self.seconds > 60 else 150.0)
        self.skew = rng.choice((0.5, 1.0, 3.0))
        self.tell("InstanceStarted")
        for n in range(rng.choice((0, 0, 3))):
            values = f"old{n}", rng.randrange(len(s.classes)), self.any_tenant()
            rest = None, None, None, 0.0, 0.0, False, False, 0, S  # read a second ago
            r = self.api.event("RequestReceived", *values, *rest)
            self.tell("RunAdopted", r, rng.random() < 0.5, rng.random() < 0.5)
            self.at(rng.expovariate(1 / self.takes) * S, "end", values[0])
        self.at(0, "request")
        if self.changes != "none":
            self.at(rng.expovariate(0.3) * S, "change")
        self.change_due = False
        if rng.random() < 0.3:
            self.at(rng.random() * self.seconds * S, "drain")
        end = self.now + self.seconds * S
        while self.due:
            at, _, what, rest = heappop(self.due)
            if at > end:
                break
            self.now = max(self.now, at)
            getattr(self, "on_" + what)(*rest)
        self.hand_on()

    def hand_on(self) -> None:
        """What was learned as it is stored, and what another module makes of it once a tick has passed."""
        stored = json.dumps(self.api.snapshot(self.module))
        self.lines.append(f"learned: {stored}")
        other = self.api.controller(self.given, self.seed)
        other.handle(self.now, self.api.event("InstanceStarted"))
        self.api.restore(other, json.loads(stored), self.now)
        other.handle(self.now + 100 * MS, self.api.event("TimerFired", 1, {"cpu_busy": 0.5}))
        self.lines.append(f"restored: {json.dumps(self.api.snapshot(other))}")

    def any_tenant(self) -> int | None:
        if not self.tenants or self.rng.random() < 0.03:
            return None
        return min(len(self.tenants) - 1, int(self.rng.random() ** self.skew * len(self.tenants)))

    def on_request(self) -> None:
        rng, s = self.rng, self.settings
        kind = rng.randrange(len(s.classes))
        original = rng.choice(list(self.open)) if self.open and rng.random() < 0.05 else None
        request = f"r{self.number}"
        values = (
            kind,
            self.any_tenant(),
            None,  # the routing key
            rng.randrange(300, 4000) * MS if s.propagates_deadline else None,  # until its deadline
            rng.choice((None, rng.randrange(1, 300) * MS)),  # its work
            30.0,  # memory in kB
            0.0,  # rank
            rng.random() < 0.15,  # a retry
            False,  # a write
            rng.randrange(5),  # the caller
            rng.randrange(50) * MS,  # waited to be read
            original,
            rng.choice((1.0,) * 20 + (8.0,)),  # cost multiple
        )
        self.open[request] = values
        if len(self.open) > 50:
            del self.open[next(iter(self.open))]
        self.tell("RequestReceived", request, *values)
        # Now and then all is quiet for so long that a tenant's counts come down, or for longer than its
        # starts are known.
        pause = rng.choice((5, 60, 400)) if self.seconds > 60 and rng.random() < 0.004 else 0.0
        self.at(rng.expovariate(1 / self.mean) + pause * S, "request")
        if rng.random() < 0.05:
            self.at(rng.randrange(5, 3000) * MS, "gone", request)
        if rng.random() < 0.002:
            kinds = len(s.classes)
            told = rng.randint(1, 30), (1,) * kinds, (rng.randint(1, 20),) * kinds, 3
            self.tell("ConcurrencyLimits", *rng.choice((told, ())))

    def on_beat(self, token: int) -> None:
        if self.change_due:
            self.change_quotas()
        gauges = {"cpu_busy": self.rng.random() * 1.1, "runnable": self.rng.randrange(12)}
        self.tell("TimerFired", token, gauges)

    def on_end(self, job: str) -> None:
        rng = self.rng
        if rng.random() < 0.15 and self.settings.calls_downstream:
            self.tell("DownstreamCallNeeded", job)
            return self.at(rng.expovariate(1 / self.takes) * S, "end", job)
        outcome = rng.choice((OK,) * 12 + (FAILED, QUEUE_FULL))
        spent = int(rng.expovariate(1 / self.takes) * S)
        self.tell("RequestCompleted", job, self.api.outcomes[outcome], spent)

    def on_called(self, job: str) -> None:
        outcome = self.rng.choice((OK,) * 6 + (TIMED_OUT, UNREACHABLE))
        spent = int(self.rng.expovariate(20) * S)
        self.tell("DownstreamCallEnded", job, self.api.outcomes[outcome], spent)

    def on_resolved(self, job: str) -> None:
        self.tell("RequestCompleted", job, self.api.outcomes[self.rng.choice((OK, OK, OK, FAILED))], 0)

    def on_drain(self) -> None:
        self.tell("DrainStarted", self.rng.randrange(5000) * MS)

    def on_gone(self, job: str) -> None:
        self.tell("RequestAbandoned", job, self.rng.random() < 0.8)

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
            tenant = self.api.settings_types["Tenant"]
            tenants = tuple(tenant(t.name, t.quota_per_s, t.share) for t in self.live)
            self.tell("TenantsReplaced", tenants)


def options(parser: argparse.ArgumentParser) -> None:
    """What a run of histories is told."""
    parser.add_argument("--histories", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tenants", type=int, default=0, help="0: 1 to 6")
    parser.add_argument("--changes", choices=("none", "beat", "any"), default="beat")
    parser.add_argument("--seconds", type=float, default=15.0)


def main() -> None:
    """Writes a line for each history, or the transcript of all."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("tree", type=Path)
    options(parser)
    parser.add_argument("--transcript", action="store_true")
    args = parser.parse_args()
    api = DecisionApi(args.tree)
    for seed in range(args.seed, args.seed + args.histories):
        began = time.process_time()
        history = History(api, seed, args.tenants or 1 + seed % 6, args.changes, args.seconds)
        history.run()
        text = "\n".join(history.lines)
        if args.transcript:
            sys.stdout.write(text + "\n")
            continue
        digest = hashlib.sha256(text.encode()).hexdigest()
        spent = time.process_time() - began
        print(json.dumps([seed, digest, dict(history.seen), spent]), flush=True)


if __name__ == "__main__":
    main()
