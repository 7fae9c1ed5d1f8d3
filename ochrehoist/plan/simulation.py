"""A fleet as discrete events in virtual time. One seed, one result. No I/O.

The core and decision module of each worker are the real ones; its cores, the routers and clients with their
habits and the endpoint list that lags are modelled.
"""

from collections.abc import Callable, Iterable
from functools import partial
from heapq import heappop, heappush

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.demand import PlannedCall
from ochrehoist.plan.fleet_run import DEFAULT_SETTLE_S, FleetRun, Outage, outcome_of
from ochrehoist.plan.routing import Answer, Call, NextStep, Reply
from ochrehoist.plan.run_statistics import CallOutcome, RunStatistics
from ochrehoist.plan.simulated_worker import Attempt, SimulatedWorker

SITE_DELAY_S = 0.0003  # one way within a site
PROGRESS_STEPS = 50  # reports of progress in a run


class SimulatedWorkerError(RuntimeError):
    """The core of a simulated worker had a fault: no result is given."""

    def __init__(self, fault: str) -> None:
        super().__init__(f"a worker had a fault: {fault}")


def no_progress(share: float) -> None:
    """Takes reports of progress that nobody wants."""


class Simulation(FleetRun):
    """One run of a fleet in virtual time; `run` returns its statistics, once.

    Attributes:
        now: s of virtual time since the start.
        workers: In the fleet's order.
    """

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        duration_s: float,
        settle_s: float = DEFAULT_SETTLE_S,
        outages: Iterable[Outage] = (),
        planned_calls: Iterable[PlannedCall] | None = None,
    ) -> None:
        super().__init__(fleet, seed, duration_s, settle_s, planned_calls)
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._router_sites = [router.site for router in fleet.placed_routers]
        self._worker_sites = [worker.site for worker in fleet.placed_workers]
        self._cross_site_delay_s = {site.name: site.cross_ms / 1000 for site in fleet.sites}
        self._current_attempts: dict[int, Attempt] = {}  # the last of each open call, by its number
        self.workers = [
            SimulatedWorker(self, number, placed, speed)
            for number, (placed, speed) in enumerate(
                zip(fleet.placed_workers, self.worker_speeds, strict=True)
            )
        ]
        for outage in outages:
            self.schedule_at(outage.starts_at, partial(self._start_outage, outage))
            if outage.ends_at is not None:
                self.schedule_at(outage.ends_at, partial(self._end_outage, outage))

    def schedule_at(self, moment: float, call: Callable[[], None]) -> None:
        """Makes a call at a moment of virtual time; calls of one moment in the order of their scheduling."""
        self._event_count += 1
        heappush(self._events, (moment, self._event_count, call))

    def schedule_after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Makes a call after a span of virtual time."""
        self.schedule_at(self.now + delay_s, call)

    def run(self, progress: Callable[[float], None] = no_progress) -> RunStatistics:
        """Plays the whole run. `progress` is notified of the share of the time that is over, now and then.

        Raises:
            SimulatedWorkerError: The core of a worker had a fault.
        """
        self._schedule_next_call()
        self.schedule_at(self.duration_s, self._measure_busy)
        longest_call_s = max(each.deadline_ms for each in self.fleet.classes) / 1000
        end = self.duration_s + longest_call_s
        reported_at = 0.0
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heappop(self._events)
            call()
            if self.now - reported_at > end / PROGRESS_STEPS:
                reported_at = self.now
                progress(min(1.0, self.now / end))
        for worker in self.workers:
            if worker.log.faults:
                raise SimulatedWorkerError(worker.log.faults[0])
        self.statistics.workers = [worker.statistics for worker in self.workers]
        return self.statistics

    def _measure_busy(self) -> None:
        for worker in self.workers:
            worker.measure_busy()

    def _start_outage(self, outage: Outage) -> None:
        self.note_outage(outage, self.now)
        for number in outage.workers:
            if self.workers[number].up:
                self.workers[number].lose()
                self.publish_health(number, False)

    def _end_outage(self, outage: Outage) -> None:
        self.note_return(outage, self.now)
        for number in outage.workers:
            if not self.workers[number].up:
                self.workers[number].boot(cold=True)
                self.publish_health(number, True)

    def publish_health(self, worker: int, healthy: bool) -> None:
        """Routers learn of a worker's health after the lag of the endpoint list."""
        self.schedule_after(self.fleet.membership.lag_s, partial(self.set_listed, worker, healthy))

    def network_delay_s(self, router: int, worker: int) -> float:
        """One way between a router and a worker."""
        router_site = self._router_sites[router]
        if self._worker_sites[worker] == router_site:
            return SITE_DELAY_S
        return SITE_DELAY_S + self._cross_site_delay_s[router_site]

    def _schedule_next_call(self) -> None:
        planned = next(self.planned_calls, None)
        if planned is not None:
            self.schedule_at(planned.starts_at, partial(self._begin, planned))

    def _begin(self, planned: PlannedCall) -> None:
        call = self.begin_call(planned, self.now)
        self.schedule_at(call.deadline_at, partial(self._give_up, call))
        self._send(call)
        self._schedule_next_call()

    def _send(self, call: Call) -> None:
        if call.ended:
            return
        worker = self.choose_worker(call, self.now, self._is_up)
        if worker is None:  # another attempt would find none either
            self._follow(call, None, Reply(Answer.REFUSED, no_retry=True))
            return
        attempt = Attempt(self, call, self.workers[worker], self.next_number())
        call.tried.append(worker)
        self._current_attempts[call.number] = attempt
        self.routers[call.router_index].open_requests[worker] += 1
        delay_s = self.network_delay_s(call.router_index, worker)
        self.schedule_after(delay_s, partial(self.workers[worker].attempt_arrived, attempt))

    def _is_up(self, worker: int) -> bool:
        return self.workers[worker].up

    def reply_arrived(self, attempt: Attempt, reply: Reply) -> None:
        """The router has the reply; it is of no use to a call that has ended, or has moved on."""
        call = attempt.call
        worker = attempt.worker.number
        self.routers[call.router_index].open_requests[worker] -= 1
        self.apply_backoff(call, worker, reply, self.now)
        if call.ended or self._current_attempts[call.number] is not attempt:
            return
        self._follow(call, worker, reply)

    def _follow(self, call: Call, worker: int | None, reply: Reply) -> None:
        decision = self.decide_next_step(call, worker, reply, self.now)
        if decision.step is NextStep.END:
            self._end(call, outcome_of(call, reply.answer, self.now))
        else:
            self.schedule_after(decision.delay_s, partial(self._send, call))

    def _give_up(self, call: Call) -> None:
        """The client waits no more; the worker that has its last attempt is informed."""
        if call.ended:
            return
        attempt = self._current_attempts.get(call.number)
        self._end(call, CallOutcome.TIMED_OUT)
        if attempt is None or attempt.answered:
            return
        worker = attempt.worker
        self.routers[call.router_index].open_requests[worker.number] -= 1
        delay_s = self.network_delay_s(call.router_index, worker.number)
        self.schedule_after(delay_s, partial(worker.attempt_abandoned, attempt))

    def _end(self, call: Call, outcome: CallOutcome) -> None:
        self._current_attempts.pop(call.number, None)
        self.end_call(call, outcome, self.now)
