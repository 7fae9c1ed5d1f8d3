"""Selection of queued requests to start now, and of those to reject because they would be late."""

from collections.abc import Callable

from ochrehoist.admission.arrivals import ArrivalMonitor
from ochrehoist.admission.caller_activity import CallerTracker
from ochrehoist.admission.concurrency import ConcurrencyTracker, CoreGauges
from ochrehoist.admission.health import HealthMonitor
from ochrehoist.admission.job import Job
from ochrehoist.admission.load_shedding import CompletionForecast
from ochrehoist.admission.mpl_policy import MplPolicy
from ochrehoist.admission.request_queue import RequestQueue
from ochrehoist.admission.run_time import RunTimeModel

BUSY_CORES_SHARE = 0.9  # cores count as idle below this share of their time


class StartSelector:
    """Selector that combines the multiprogramming limit, the concurrency limits and the queue.

    It changes none of them.
    """

    def __init__(
        self,
        cores: int,
        health: HealthMonitor,
        concurrency: ConcurrencyTracker,
        queue: RequestQueue,
        policy: MplPolicy,
        arrivals: ArrivalMonitor,
        run_times: RunTimeModel,
        callers: CallerTracker,
    ) -> None:
        self._cores = cores
        self._health = health
        self._concurrency = concurrency
        self._queue = queue
        self._policy = policy
        self._arrivals = arrivals
        self._run_times = run_times
        self._callers = callers
        self._gauges = CoreGauges()

    def update_gauges(self, gauges: dict[str, float], now_ns: int) -> None:
        """Stores the gauges measured at a tick: `cpu_busy` (share of time) and `runnable` (threads)."""
        runnable = gauges.get("runnable", 0)
        other_runnable = int(max(0, runnable - self._concurrency.running))
        self._gauges = CoreGauges(gauges.get("cpu_busy", 1.0), runnable, other_runnable, now_ns)

    def cores_idle(self) -> bool:
        """Returns whether cores were idle at the last tick.

        The busy share lags behind, so the number of runnable threads has to be below the cores as well.
        """
        return self._gauges.busy_share < BUSY_CORES_SHARE and self._gauges.runnable < self._cores

    def allowed_starts(self, now_ns: int) -> int:
        """Returns how many requests may start now."""
        concurrency = self._concurrency
        policy = self._policy
        running = concurrency.running
        ceiling = concurrency.ceiling(now_ns)
        # Unread requests are waiting too, and reading takes CPU time.
        unread = self._arrivals.unread_requests()
        occupied = running
        if unread and self._gauges_are_fresh(now_ns):
            occupied += min(self._gauges.other_runnable, unread)
        by_policy = policy.starts(now_ns, len(self._queue.jobs) + unread, occupied)
        wanted = max(by_policy, min(policy.floor, ceiling) - occupied, 1 - running)
        survivable = ceiling - concurrency.calling - len(concurrency.awaiting_call)
        allowed = min(survivable, concurrency.limits.total) - running
        return max(0, min(wanted, allowed))

    def _gauges_are_fresh(self, now_ns: int) -> bool:
        """Returns whether the gauges are younger than a run; older ones could keep idle cores unused."""
        return now_ns - self._gauges.measured_at_ns < self._run_times.shortest_mean_ns()

    def startable(self, now_ns: int, starts: int, reject: Callable[[Job], None]) -> list[Job]:
        """Returns queued requests that can meet their objective, by priority; passes the others to `reject`.

        The others are rejected immediately, while their clients still have time to retry elsewhere. In a long
        queue only the newest request and those that start now are evaluated, except at fixed intervals.
        """
        queue = self._queue
        evaluate_all = queue.begin_full_evaluation(now_ns)
        limit = len(queue.jobs) if evaluate_all else starts
        forecast = self._forecast(now_ns, starts)
        startable: list[Job] = []
        position = 0
        for group in queue.by_priority():
            run_ns = forecast.safe_run_ns(group[0].request.class_index)
            position += len(group)
            is_newest = not evaluate_all and group[-1] is queue.newest
            if is_newest and self._should_reject(group[-1], position, forecast, run_ns):
                reject(group.pop())
            for job in group:
                if len(startable) >= limit:
                    break
                if self._should_reject(job, len(startable) + 1, forecast, run_ns):
                    reject(job)
                else:
                    startable.append(job)
        return startable

    def _forecast(self, now_ns: int, starts: int) -> CompletionForecast:
        return CompletionForecast(
            now_ns, starts, self._cores, self._concurrency, self._policy, self._run_times, self._callers
        )

    def _should_reject(self, job: Job, position: int, forecast: CompletionForecast, run_ns: float) -> bool:
        return self._health.stalled or forecast.misses_objective(job, position, run_ns)
