"""The callers of a run: which worker they call, by a stand-in balancer, and how they retry (asyncio)."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from ochrehoist.lab.balancer import Balancer
from ochrehoist.lab.fault_proxy import ConnectionProxy
from ochrehoist.lab.outcomes import CONNECTION_REFUSED, SERVED, Attempt, Call
from ochrehoist.lab.scenario import Scenario
from ochrehoist.lab.worker_client import WorkerClient

ANSWER_MARGIN_S = 1.0  # beside the machine's own lateness, by which an answer may come late
CHECK_TIMEOUT_S = 0.5
ENDLESS_RETRY_DELAY_S = 0.01
MAX_WORK_FACTOR = 5  # of the mean
MAX_PROLONGATION_S = 60.0  # of the load, beyond the scenario's duration

ReportProgress = Callable[[float], None]  # the part that is done, of 1


class WeightChange(NamedTuple):
    """The balancer learned another weight of a worker."""

    at_s: float
    worker: str
    weight: int


@dataclass(frozen=True)
class CallTarget:
    """One worker, as callers and the balancer reach it.

    `process_count` tells how many processes of it were started so far.
    """

    client: WorkerClient
    agent: ConnectionProxy
    front: ConnectionProxy
    process_count: Callable[[], int]


class LoadGenerator:
    """Makes the calls of a scenario, and the balancer's health checks."""

    def __init__(
        self, scenario: Scenario, seed: int, clock: Callable[[], float], targets: Mapping[str, CallTarget]
    ) -> None:
        self.calls: list[Call] = []
        self.weight_changes: list[WeightChange] = []
        self._scenario = scenario
        self._seed = seed
        self._clock = clock
        self._targets = targets
        self._rate_factor = 1.0
        self._call_random = Random(f"{seed}/calls")
        self._retry_random = Random(f"{seed}/tries")
        self._balancer = Balancer(targets, scenario.balancer)

    def begin_rate_change(self, factor: float) -> None:
        """Multiplies the rate of calls, on top of other changes."""
        self._rate_factor *= factor

    def end_rate_change(self, factor: float) -> None:
        """Takes one change back."""
        self._rate_factor /= factor

    async def run(self, report: ReportProgress, prolongs: Callable[[], bool] = lambda: False) -> None:
        """Makes all calls, and returns once the last has ended.

        After the scenario's duration the load goes on for as long as `prolongs` says so before each call, up
        to MAX_PROLONGATION_S.
        """
        duration_s = self._scenario.seconds
        at_s = 0.0
        number = 0
        open_calls = []
        while at_s < duration_s or (at_s < duration_s + MAX_PROLONGATION_S and prolongs()):
            number += 1
            call, work_s = self._draw_call(number, at_s)
            await asyncio.sleep(max(0.0, at_s - self._clock()))
            self.calls.append(call)
            open_calls.append(asyncio.create_task(self._make_call(call, work_s)))
            report(min(1.0, at_s / duration_s))
            at_s += self._call_random.expovariate(self._scenario.load.rate * self._rate_factor)
        await asyncio.gather(*open_calls)

    def _draw_call(self, number: int, at_s: float) -> tuple[Call, float]:
        """A call, and its work in s. The order of the draws is part of what a seed means."""
        scenario = self._scenario
        random = self._call_random
        request_class = random.choices(scenario.classes, [each.share for each in scenario.classes])[0]
        work_s = random.expovariate(1000 / request_class.work_ms)
        tenant = random.choice(list(scenario.tenants))
        hot = bool(scenario.load.hot_share and random.random() < scenario.load.hot_share)
        subject = number if request_class.keyed else self._draw_subject(hot)
        call = Call(
            number,
            request_class.name,
            tenant,
            request_class.worth,
            at_s,
            at_s + request_class.aim_ms / 1000,
            at_s + request_class.deadline_ms / 1000,
            f"k{self._seed}-{number}" if request_class.keyed else "",
            subject,
        )
        return call, min(work_s, MAX_WORK_FACTOR * request_class.work_ms / 1000)

    def _draw_subject(self, hot: bool) -> int:
        return 0 if hot else self._call_random.randint(1, self._scenario.load.subjects)

    async def _make_call(self, call: Call, work_s: float) -> None:
        """Attempts a call until it is served, out of attempts or out of time."""
        load = self._scenario.load
        number = 0
        while number < load.tries or load.endless:
            attempt = await self._attempt(call, number, work_s)
            number += 1
            if attempt.status == SERVED:
                return
            delay_s = ENDLESS_RETRY_DELAY_S
            if not load.endless:
                delay_s = load.wait_ms / 1000 * self._retry_random.uniform(1, 2)
            if self._clock() + delay_s >= call.due_s:
                return
            await asyncio.sleep(delay_s)

    async def _attempt(self, call: Call, number: int, work_s: float) -> Attempt:
        """One attempt; where connections are refused and the balancer redispatches, one at each worker."""
        refused: list[str] = []
        while True:
            sticky_worker = _worker_that_may_have_run(call)
            worker = sticky_worker or self._balancer.pick(call.subject, refused)
            attempt = await self._send(call, number, work_s, worker)
            if attempt.status != CONNECTION_REFUSED:
                return attempt
            self._balancer.connection_refused(worker)
            refused.append(worker)
            redispatches = self._scenario.balancer.redispatch and not sticky_worker
            if not redispatches or len(refused) >= len(self._targets) or self._clock() >= call.due_s:
                return attempt

    async def _send(self, call: Call, number: int, work_s: float, worker: str) -> Attempt:
        target = self._targets[worker]
        attempt = Attempt(worker, target.process_count() - 1, self._clock())
        call.attempts.append(attempt)
        answer_timeout_s = call.timeout_s + 2 * ANSWER_MARGIN_S
        try:
            attempt.status = await asyncio.wait_for(
                target.client.send(call, number, work_s), answer_timeout_s
            )
        except ConnectionRefusedError:
            attempt.status = CONNECTION_REFUSED
        except (OSError, TimeoutError):
            pass
        attempt.ended_s = self._clock() if attempt.status > 0 else None
        return attempt

    # Health checks.

    async def check_health(self, worker: str) -> None:
        """Asks one worker for ever: what its agent says, and whether its front can be reached."""
        target = self._targets[worker]
        while True:
            line, healthy = await asyncio.gather(_agent_line(target.agent), _can_connect(target.front))
            before = self._balancer.weight(worker)
            if line is not None:
                self._balancer.agent_reported(worker, line)
            self._balancer.health_checked(worker, healthy)
            weight = self._balancer.weight(worker)
            if weight != before:
                self.weight_changes.append(WeightChange(self._clock(), worker, weight))
            await asyncio.sleep(self._scenario.balancer.check_s)


def _worker_that_may_have_run(call: Call) -> str | None:
    """The worker that a filing must go to again, as it may have run there; any worker else."""
    if not call.idempotency_key:
        return None
    return next((attempt.worker for attempt in reversed(call.attempts) if attempt.may_have_run), None)


async def _agent_line(link: ConnectionProxy) -> bytes | None:
    """What the agent says; None where it says nothing in time."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*link.address)
            return await reader.readline() or None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def _can_connect(link: ConnectionProxy) -> bool:
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*link.address)
            writer.close()
            return True
    return False
