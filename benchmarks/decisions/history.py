"""One random history of events for the admission controller of any tree.

The simulated callers and runs follow what the controller decides, so the same decisions make the same
history.
"""

import dataclasses
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from heapq import heappop, heappush
from typing import Any

from benchmarks.decisions.decision_api import DecisionApi, NamedAction
from benchmarks.decisions.history_settings import MS, S, known_settings, random_settings

# Positions in the enum Outcome that all trees share.
OK, FAILED, QUEUE_FULL, TIMED_OUT, UNREACHABLE = range(5)
START_NS = 1000 * S
MAX_REMEMBERED_REQUESTS = 50  # that a duplicate or retry may refer to
LONG_HISTORY_S = 60  # from which on callers pause for so long that a tenant's counts decay
QUOTA_CHANGES_PER_S = 0.3
HUNG_RUN_FACTOR = 100


class QuotaChanges(StrEnum):
    """When tenants' quotas change within a history."""

    NONE = "none"
    ON_TICK = "tick"  # right before a timer event
    ANY_TIME = "any"


@dataclass
class MutableTenant:
    """A tenant whose quota may change without an event."""

    name: str
    quota_per_s: float
    share: float


@dataclass(order=True, frozen=True)
class ScheduledCall:
    """A step of the history that is due at some time; those of one time in the order they were scheduled."""

    due_ns: int
    number: int
    call: Callable[..., None] = field(compare=False)
    arguments: tuple[Any, ...] = field(compare=False)


class History:
    """Feeds one controller the events of one seed and records what it decided."""

    def __init__(
        self, api: DecisionApi, seed: int, tenant_count: int, changes: QuotaChanges, duration_s: float
    ) -> None:
        self._api = api
        self._seed = seed
        self._rng = random.Random(seed)
        self._changes = changes
        self._duration_s = duration_s
        settings = random_settings(api, self._rng, tenant_count)
        self._tenants = settings.tenants
        self._announces_quotas = self._rng.random() < 0.5
        self._mutable_tenants = tuple(
            MutableTenant(tenant.name, tenant.quota_per_s, tenant.share) for tenant in settings.tenants
        )
        self._settings = known_settings(api, settings)
        self._controller_settings = (
            settings
            if self._announces_quotas
            else dataclasses.replace(settings, tenants=self._mutable_tenants)
        )
        self._controller = api.controller(self._controller_settings, seed)
        self._now_ns = START_NS
        self._scheduled: list[ScheduledCall] = []
        self._scheduled_count = 0
        self._remembered_requests: dict[str, tuple[Any, ...]] = {}
        self._quota_change_due = False
        self._mean_run_s = 0.0
        self._hung_run_share = 0.0
        self._mean_arrival_ns = 0.0
        self._tenant_skew = 1.0
        self.counts: Counter[str] = Counter()
        self.transcript: list[str] = []

    def run(self) -> None:
        """Run the complete history; `counts` and `transcript` are complete afterwards."""
        rng = self._rng
        self._draw_load()
        self._dispatch("InstanceStarted")
        self._adopt_runs()
        self._schedule(0, self._receive_request)
        if self._changes is not QuotaChanges.NONE:
            self._schedule(rng.expovariate(QUOTA_CHANGES_PER_S) * S, self._request_quota_change)
        if rng.random() < 0.3:
            self._schedule(rng.random() * self._duration_s * S, self._start_drain)
        end_ns = self._now_ns + self._duration_s * S
        while self._scheduled:
            step = heappop(self._scheduled)
            if step.due_ns > end_ns:
                break
            self._now_ns = max(self._now_ns, step.due_ns)
            step.call(*step.arguments)
        self._record_learned_state()

    def _draw_load(self) -> None:
        rng = self._rng
        self._mean_run_s = rng.choice((0.02, 0.1, 0.4))
        self._hung_run_share = rng.choice((0.0, 0.0, 0.0, 0.05))
        arrivals_per_s = self._settings.cores / self._mean_run_s * rng.choice((0.3, 0.8, 1.1, 2.0))
        most_per_s = 40.0 if self._duration_s > LONG_HISTORY_S else 150.0
        self._mean_arrival_ns = S / min(arrivals_per_s, most_per_s)
        self._tenant_skew = rng.choice((0.5, 1.0, 3.0))

    def _adopt_runs(self) -> None:
        """Runs that an earlier process started, a second ago."""
        rng = self._rng
        for number in range(rng.choice((0, 0, 3))):
            identity = f"old{number}", rng.randrange(len(self._settings.classes)), self._any_tenant()
            remaining = None, None, None, 0.0, 0.0, False, False, 0, S
            request = self._api.event("RequestReceived", *identity, *remaining)
            self._dispatch("RunAdopted", request, rng.random() < 0.5, rng.random() < 0.5)
            self._schedule(rng.expovariate(1 / self._mean_run_s) * S, self._end_run, identity[0])

    def _record_learned_state(self) -> None:
        """The learned-state snapshot, and what another controller makes of it once a tick has passed."""
        snapshot = json.dumps(self._api.snapshot(self._controller))
        self.transcript.append(f"learned: {snapshot}")
        successor = self._api.controller(self._controller_settings, self._seed)
        successor.handle(self._now_ns, self._api.event("InstanceStarted"))
        self._api.restore(successor, json.loads(snapshot), self._now_ns)
        tick = self._api.event("TimerFired", 1, {"cpu_busy": 0.5})
        successor.handle(self._now_ns + 100 * MS, tick)
        self.transcript.append(f"restored: {json.dumps(self._api.snapshot(successor))}")

    def _schedule(self, delay_ns: float, call: Callable[..., None], *arguments: object) -> None:
        self._scheduled_count += 1
        due_ns = self._now_ns + int(delay_ns)
        heappush(self._scheduled, ScheduledCall(due_ns, self._scheduled_count, call, arguments))

    def _dispatch(self, name: str, *values: Any) -> None:
        """Hand an event to the controller and carry out its actions."""
        event = self._api.event(name, *values)
        actions = [self._api.named_action(action) for action in self._controller.handle(self._now_ns, event)]
        self.counts["events"] += 1
        self.counts["actions"] += len(actions)
        subject = values[0] if values and isinstance(values[0], str) else ""
        decided = [(action.name, *action.values) for action in actions]
        self.transcript.append(f"{self._now_ns} {name} {subject}: {decided}")
        for action in actions:
            self.counts[action.name] += 1
            self._carry_out(action)

    def _carry_out(self, action: NamedAction) -> None:
        rng = self._rng
        match action.name:
            case "SetTimer":
                lateness_ns = rng.choice((0, 0, 0, 3 * MS, 400 * MS))
                self._schedule(action.values[0] + lateness_ns, self._fire_timer, action.values[1])
            case "StartRun":
                factor = HUNG_RUN_FACTOR if rng.random() < self._hung_run_share else 1
                run_ns = factor * rng.expovariate(1 / self._mean_run_s) * S
                self._schedule(run_ns, self._end_run, action.values[0])
            case "AttachDuplicate":
                wait_ns = rng.expovariate(1 / self._mean_run_s) * S
                self._schedule(wait_ns, self._resolve_duplicate, action.values[0])
            case "StartDownstreamCall":
                self._schedule(rng.expovariate(20) * S, self._end_downstream_call, action.values[0])

    def _any_tenant(self) -> int | None:
        if not self._tenants or self._rng.random() < 0.03:
            return None
        position = int(self._rng.random() ** self._tenant_skew * len(self._tenants))
        return min(len(self._tenants) - 1, position)

    def _receive_request(self) -> None:
        rng = self._rng
        request_id = f"r{self._scheduled_count}"
        values = self._random_request()
        self._remembered_requests[request_id] = values
        if len(self._remembered_requests) > MAX_REMEMBERED_REQUESTS:
            del self._remembered_requests[next(iter(self._remembered_requests))]
        self._dispatch("RequestReceived", request_id, *values)
        # Now and then a pause so long that a tenant's counts decay, or its starts are forgotten.
        pause_s = self._pause_s()
        self._schedule(rng.expovariate(1 / self._mean_arrival_ns) + pause_s * S, self._receive_request)
        if rng.random() < 0.05:
            self._schedule(rng.randrange(5, 3000) * MS, self._abandon_request, request_id)
        if rng.random() < 0.002:
            self._change_concurrency_limits()

    def _pause_s(self) -> float:
        if self._duration_s > LONG_HISTORY_S and self._rng.random() < 0.004:
            return self._rng.choice((5.0, 60.0, 400.0))
        return 0.0

    def _random_request(self) -> tuple[Any, ...]:
        """The values of a RequestReceived after its id, by position."""
        rng = self._rng
        class_index = rng.randrange(len(self._settings.classes))
        earlier = self._remembered_requests
        original = rng.choice(list(earlier)) if earlier and rng.random() < 0.05 else None
        return (
            class_index,
            self._any_tenant(),
            None,  # routing key
            rng.randrange(300, 4000) * MS
            if self._settings.propagates_deadline
            else None,  # until its deadline
            rng.choice((None, rng.randrange(1, 300) * MS)),  # work
            30.0,  # memory in kB
            0.0,  # rank
            rng.random() < 0.15,  # a retry
            False,  # a write
            rng.randrange(5),  # caller
            rng.randrange(50) * MS,  # waited to be read
            original,
            rng.choice((1.0,) * 20 + (8.0,)),  # cost multiple
        )

    def _change_concurrency_limits(self) -> None:
        class_count = len(self._settings.classes)
        limits = self._rng.randint(1, 30), (1,) * class_count, (self._rng.randint(1, 20),) * class_count, 3
        self._dispatch("ConcurrencyLimits", *self._rng.choice((limits, ())))

    def _fire_timer(self, token: int) -> None:
        if self._quota_change_due:
            self._change_quotas()
        gauges = {"cpu_busy": self._rng.random() * 1.1, "runnable": self._rng.randrange(12)}
        self._dispatch("TimerFired", token, gauges)

    def _end_run(self, request_id: str) -> None:
        rng = self._rng
        if rng.random() < 0.15 and self._settings.calls_downstream:
            self._dispatch("DownstreamCallNeeded", request_id)
            self._schedule(rng.expovariate(1 / self._mean_run_s) * S, self._end_run, request_id)
            return
        outcome = rng.choice((OK,) * 12 + (FAILED, QUEUE_FULL))
        run_ns = int(rng.expovariate(1 / self._mean_run_s) * S)
        self._dispatch("RequestCompleted", request_id, self._api.outcomes[outcome], run_ns)

    def _end_downstream_call(self, request_id: str) -> None:
        outcome = self._rng.choice((OK,) * 6 + (TIMED_OUT, UNREACHABLE))
        call_ns = int(self._rng.expovariate(20) * S)
        self._dispatch("DownstreamCallEnded", request_id, self._api.outcomes[outcome], call_ns)

    def _resolve_duplicate(self, request_id: str) -> None:
        outcome = self._rng.choice((OK, OK, OK, FAILED))
        self._dispatch("RequestCompleted", request_id, self._api.outcomes[outcome], 0)

    def _start_drain(self) -> None:
        self._dispatch("DrainStarted", self._rng.randrange(5000) * MS)

    def _abandon_request(self, request_id: str) -> None:
        self._dispatch("RequestAbandoned", request_id, self._rng.random() < 0.8)

    def _request_quota_change(self) -> None:
        if self._changes is QuotaChanges.ANY_TIME:
            self._change_quotas()
        else:
            self._quota_change_due = True
        self._schedule(self._rng.expovariate(QUOTA_CHANGES_PER_S) * S, self._request_quota_change)

    def _change_quotas(self) -> None:
        self._quota_change_due = False
        self.counts["changes of quotas"] += 1
        most_per_s = max(tenant.quota_per_s for tenant in self._tenants) or 10.0
        for position in {self._rng.randrange(len(self._mutable_tenants)) for _ in range(3)}:
            quota_per_s = self._rng.choice((0.0, most_per_s * self._rng.random()))
            self._mutable_tenants[position].quota_per_s = quota_per_s
        if self._announces_quotas:
            tenant_type = self._api.settings_types["Tenant"]
            tenants = tuple(
                tenant_type(tenant.name, tenant.quota_per_s, tenant.share) for tenant in self._mutable_tenants
            )
            self._dispatch("TenantsReplaced", tenants)
