"""A run on loopback in real time: real workers of this program on stand-in machines.

Stand-in routers decide as the simulation's. All but the workers runs by asyncio in one process.
"""

import asyncio
import base64
import tempfile
import time
from collections.abc import Callable, Iterable

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.demand import PlannedCall
from ochrehoist.plan.fleet_run import DEFAULT_SETTLE_S, FleetRun, Outage, outcome_of
from ochrehoist.plan.routing import Answer, Call, NextStep, Reply
from ochrehoist.plan.run_statistics import MAX_LATENCY_MS, CallOutcome, RunStatistics
from ochrehoist.plan.simulation import no_progress
from ochrehoist.plan.stand_in_machine import StandInMachine
from ochrehoist.plan.thrift_client import Connection

DELAY_DIGITS = 2
SUBJECT_MASK = (1 << 64) - 1


class MeasuredRun(FleetRun):
    """One measured run: the same calls, speeds and habits as the simulation's of the same seed.

    Attributes:
        operator_config: The text of a further file for each worker (TOML; `{worker}` is its name).
        machines: In the fleet's order.
        calls: All that clients will make, in order of time.
        start_delay_ms: A histogram of how late calls began because this machine was busy.
        folder: Of the workers' files, while it runs.
        loop: While it runs.
    """

    folder: str
    loop: asyncio.AbstractEventLoop

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        duration_s: float,
        settle_s: float = DEFAULT_SETTLE_S,
        outages: Iterable[Outage] = (),
        planned_calls: Iterable[PlannedCall] | None = None,
        operator_config: str | None = None,
    ) -> None:
        super().__init__(fleet, seed, duration_s, settle_s, planned_calls)
        self.operator_config = operator_config
        self.calls = list(self.planned_calls)
        self.machines = [
            StandInMachine(self, number, placed, speed)
            for number, (placed, speed) in enumerate(
                zip(fleet.placed_workers, self.worker_speeds, strict=True)
            )
        ]
        self.start_delay_ms = HdrHistogram(1, MAX_LATENCY_MS, DELAY_DIGITS)
        self._outages = tuple(outages)
        self._return_tasks: list[asyncio.Task[None]] = []  # kept until they are done
        self._started_at = 0.0

    def now(self) -> float:
        """Seconds since the start of the load."""
        return time.monotonic() - self._started_at

    def run(self, progress: Callable[[float], None] = no_progress) -> RunStatistics:
        """Plays the whole run, once; every worker that was started is ended.

        Raises:
            MeasurementError: A worker did not start.
        """
        with tempfile.TemporaryDirectory() as folder:
            self.folder = folder
            return asyncio.run(self._run(progress))

    async def _run(self, progress: Callable[[float], None]) -> RunStatistics:
        self.loop = asyncio.get_running_loop()
        self._started_at = time.monotonic()
        try:
            await asyncio.gather(*(machine.start(cold=False) for machine in self.machines))
            self._started_at = time.monotonic()
            for machine in self.machines:
                machine.restart_clock()
            self._schedule_outages()
            await self._make_calls(progress)
        finally:
            self._end_machines()
        self.statistics.workers = [machine.statistics for machine in self.machines]
        return self.statistics

    def _schedule_outages(self) -> None:
        for outage in self._outages:
            self.loop.call_later(outage.starts_at, self._start_outage, outage)
            if outage.ends_at is not None:
                self.loop.call_later(outage.ends_at, self._begin_return, outage)

    async def _make_calls(self, progress: Callable[[float], None]) -> None:
        tasks = []
        for planned in self.calls:
            await asyncio.sleep(max(0.0, planned.starts_at - self.now()))
            tasks.append(self.loop.create_task(self._call(planned)))
            progress(min(1.0, planned.starts_at / self.duration_s))
        for machine in self.machines:
            machine.measure_busy()
        await asyncio.gather(*tasks)

    def _end_machines(self) -> None:
        """Kills all workers; where operators' files make them record, all drain first, at the same time."""
        drain_first = self.operator_config is not None
        if drain_first:
            for machine in self.machines:
                machine.request_stop()
        for machine in self.machines:
            machine.lose(drain_first)

    def _publish(self, worker: int, listed: bool) -> None:
        """Routers learn of a worker's loss or return after the lag of the endpoint list."""
        self.loop.call_later(self.fleet.membership.lag_s, self.set_listed, worker, listed)

    def _start_outage(self, outage: Outage) -> None:
        self.note_outage(outage, self.now())
        for number in outage.workers:
            self.machines[number].lose()
            self._publish(number, False)

    def _begin_return(self, outage: Outage) -> None:
        self._return_tasks.append(self.loop.create_task(self._end_outage(outage)))

    async def _end_outage(self, outage: Outage) -> None:
        await asyncio.gather(*(self.machines[number].start(cold=True) for number in outage.workers))
        self.note_return(outage, self.now())
        for number in outage.workers:
            self._publish(number, True)

    async def _call(self, planned: PlannedCall) -> None:
        # From the moment that it was due, however late this machine came to it: a call that began later would
        # be missed by the count, or excuse the worker.
        began_at = planned.starts_at
        delay_ms = int((self.now() - began_at) * 1000)
        self.start_delay_ms.record_value(max(1, min(MAX_LATENCY_MS, delay_ms)))
        call = self.begin_call(planned, began_at)
        try:
            async with asyncio.timeout(call.deadline_at - self.now()):
                outcome = await self._make_attempts(call)
        except TimeoutError:
            outcome = CallOutcome.TIMED_OUT
        self.end_call(call, outcome, self.now())

    async def _make_attempts(self, call: Call) -> CallOutcome:
        while True:
            worker = self.choose_worker(call, self.now(), self._is_up)
            reply = Reply(Answer.REFUSED, no_retry=True)
            if worker is not None:
                call.tried.append(worker)
                reply = await self._attempt(call, worker)
                self.apply_backoff(call, worker, reply, self.now())
            decision = self.decide_next_step(call, worker, reply, self.now())
            if decision.step is NextStep.END:
                return outcome_of(call, reply.answer, self.now())
            await asyncio.sleep(decision.delay_s)

    def _is_up(self, worker: int) -> bool:
        return self.machines[worker].up

    async def _attempt(self, call: Call, worker: int) -> Reply:
        """One request at one worker; UNREACHABLE where it could not be sent."""
        machine = self.machines[worker]
        if not machine.up:
            return Reply(Answer.UNREACHABLE)
        open_requests = self.routers[call.router_index].open_requests
        open_requests[worker] += 1
        request_id = f"{self.next_number():016x}"
        sent_ms = time.time_ns() // 1_000_000
        machine.statistics.tries += 1
        try:
            if not await machine.read_request():
                return Reply(Answer.FAILED)
            connection = await machine.connection(call.router_index)
            machine.work_by_id[request_id] = call.work_s
            reply = await self._invoke(connection, call, self._fields(call, request_id, sent_ms))
        except ConnectionError:
            return Reply(Answer.UNREACHABLE)
        finally:
            open_requests[worker] -= 1
            machine.work_by_id.pop(request_id, None)
        _count_answer(machine, reply.answer)
        return reply

    async def _invoke(self, connection: Connection, call: Call, fields: dict[str, str]) -> Reply:
        body = base64.b64encode(str(call.number).encode())
        sequence_id, future = connection.invoke(fields, body)
        try:
            return (await future).as_reply()
        finally:
            connection.abort(sequence_id)

    def _fields(self, call: Call, request_id: str, sent_ms: int) -> dict[str, str]:
        """The fields of a request, as the protocol has them."""
        fields = {
            "method": self.fleet.classes[call.class_index].name,
            "rid": request_id,
            "t0": str(sent_ms),
            "peer": str(call.router_index),
            "est": f"{call.stated_work_s * 1000:.2f}",
            "mem": f"{call.memory_kb:.1f}",
            "prio": "0.5",
        }
        if self.fleet.tenants:
            fields["acct"] = self.fleet.tenants[call.tenant_index].name
        if call.attempts > 1:
            fields["again"] = "1"
        if call.has_idempotency_key:
            fields["token"] = f"{call.number:032x}"
        elif call.subject:
            fields["obj"] = f"{call.subject & SUBJECT_MASK:016x}"
        return fields


def _count_answer(machine: StandInMachine, answer: Answer) -> None:
    match answer:
        case Answer.SERVED:
            machine.statistics.served += 1
        case Answer.REFUSED:
            machine.statistics.refused += 1
        case Answer.FAILED:
            machine.statistics.failed += 1
