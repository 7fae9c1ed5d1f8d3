"""Limits the concurrency of one worker, based on arrivals, starts and completions of requests."""

from collections import Counter
from collections.abc import Hashable, Mapping
from typing import Any

from ochrehoist.admission.events import ConcurrencyLimits, Outcome
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.tables import LimitController, OverloadConfig
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import Rejection
from ochrehoist.overload.bulkheads import ClassActivity, bulkhead_limits, low_cost_classes
from ochrehoist.overload.completion_window import WindowAggregator
from ochrehoist.overload.concurrency_limits import (
    LIMIT_ALGORITHMS,
    FixedLimit,
    LimitAlgorithm,
    LimitBounds,
)
from ochrehoist.overload.cost_prediction import EXPENSIVE_MULTIPLE, MIN_COMPLETIONS, CostPredictor
from ochrehoist.overload.retry_budget import RetryBudget
from ochrehoist.units import NS_PER_S

RETRY_DENIED_BACKOFF_NS = NS_PER_S  # Retry-After of a caller over its retry budget, before jitter
# Maximum run time, as a multiple of the usual, that is reported to the controller for an expensive run that
# was not predicted. Rare runs must not raise the controller's estimate for a class.
MAX_REPORTED_MULTIPLE = 4.0
COLLAPSE_MARGIN = 0.8  # default maximum limit, as a fraction of the concurrency at which throughput collapses


class AdaptiveLimiter:
    """ConcurrencyLimiter that computes the admission controller's limits and rejects excess retries.

    It never blocks and reads no clock; times are ns of the core's clock.
    """

    def __init__(self, config: OverloadConfig, settings: AdmissionSettings, seed: int) -> None:
        self.config = config
        self.cost_predictor = CostPredictor()
        self.retry_budget = RetryBudget(seed)
        self.activity: dict[str, ClassActivity] = {}  # by class
        self.running = 0
        self.low_cost: set[str] = set()
        self.algorithm: LimitAlgorithm = FixedLimit(1.0)
        self._windows = WindowAggregator()
        self._work_units: dict[str, float] = {}  # usual run time (s) by class, fixed once established
        self._updated_s = 0.0
        self._last_limits: ConcurrencyLimits | None = None
        self._mispredicted = 0  # count of expensive runs that were not predicted
        self.configure(settings, config)

    def configure(self, settings: AdmissionSettings, config: OverloadConfig) -> None:
        """Sets new settings; the learned state of remaining classes is kept."""
        self.settings = settings
        self.config = config
        default_max = max(
            settings.cores + 1, int(settings.cores * settings.collapse_multiple * COLLAPSE_MARGIN)
        )
        bounds = LimitBounds(
            config.min_running or max(1, settings.cores // 4), config.max_running or default_max
        )
        algorithm_type = LIMIT_ALGORITHMS.get(config.controller, FixedLimit)
        if not isinstance(self.algorithm, algorithm_type) or algorithm_type is FixedLimit:
            self.algorithm = algorithm_type(bounds.clamp(float(settings.cores)), bounds)
        else:
            self.algorithm.bounds = bounds
            self.algorithm.limit = bounds.clamp(self.algorithm.limit)
        previous = self.activity
        self.activity = {c.name: previous.get(c.name, ClassActivity()) for c in settings.classes}
        self._last_limits = None

    def check_arrival(self, request: InboundRequest, now_ns: int) -> Rejection | None:
        """Returns a rejection if the request, which never ran, is a retry over its caller's budget."""
        now_s = self._advance(now_ns)
        activity = self.activity.get(request.request_class.name)
        if activity is not None:
            activity.last_arrival_s = now_s
        if not self.config.retry_budget:
            return None
        allowed = self.retry_budget.admit_attempt(
            self._caller(request), self._signature(request), request.is_retry, self._saturated, now_s
        )
        if allowed or request.idempotency_key is not None or request.request_class.name in self.low_cost:
            # A filing has a higher priority than even a first attempt at a read, and running a request of a
            # low-cost class costs little more than rejecting it.
            return None
        return Rejection(self.retry_budget.with_jitter(RETRY_DENIED_BACKOFF_NS))

    def estimate_cost(self, request: InboundRequest, now_ns: int) -> float:
        """Returns the predicted cost as a multiple of the usual cost of the class."""
        if not self.config.low_priority_lane:
            return 1.0
        return self.cost_predictor.cost_multiple(request, now_ns / NS_PER_S)

    def run_started(self, request: InboundRequest, now_ns: int) -> None:
        """Counts a run that was started."""
        self._advance(now_ns)
        self.running += 1
        activity = self.activity.get(request.request_class.name)
        if activity is not None:
            activity.running += 1

    def run_ended(self, request: InboundRequest, now_ns: int, duration_ns: int, outcome: Outcome) -> int:
        """Learns from a run that has ended; returns the duration (ns) to report to the controller."""
        now_s = self._advance(now_ns)
        contention = max(1.0, self.running / max(1, self.settings.cores))
        self.running = max(0, self.running - 1)
        activity = self.activity.get(request.request_class.name)
        if activity is not None:
            activity.running = max(0, activity.running - 1)
        if outcome is not Outcome.OK or duration_ns <= 0:
            return duration_ns
        cost_multiple = self.cost_predictor.learn(request, now_s, duration_ns / NS_PER_S, contention)
        self._learn_class_cost(request.request_class.name, activity)
        self._windows.record_completion(
            now_s, self._work_done(request, cost_multiple), duration_ns / NS_PER_S
        )
        if (
            self.config.low_priority_lane
            and request.cost_multiple <= 1
            and cost_multiple > MAX_REPORTED_MULTIPLE
        ):
            self._mispredicted += 1
            return int(duration_ns * MAX_REPORTED_MULTIPLE / cost_multiple)
        return duration_ns

    def request_rejected(self, request: InboundRequest, retry_after_ns: int, now_ns: int) -> int:
        """Records a rejected request; returns the Retry-After (ns) to send to its caller."""
        if not self.config.retry_budget:
            return retry_after_ns
        self.retry_budget.record_rejection(self._signature(request), now_ns / NS_PER_S)
        return self.retry_budget.with_jitter(retry_after_ns)

    def evaluate(self, now_ns: int, waiting: Mapping[str, int]) -> ConcurrencyLimits | None:
        """Returns the concurrency limits if they have changed.

        `waiting` counts, by class, the requests that are neither started nor answered.
        """
        now_s = self._advance(now_ns)
        for name, activity in self.activity.items():
            activity.queued = waiting.get(name, 0)
        if not self.config.bulkheads:
            return None
        window = self._windows.close(now_s)
        if window is not None:
            self.algorithm.update(window)
        self.low_cost = low_cost_classes(self.activity)
        limit = None if self.config.controller is LimitController.MODULE else self.algorithm.limit
        lane = self.config.low_priority_lane
        limits = bulkhead_limits(limit, self.settings, self.activity, now_s, self.low_cost, lane)
        if limits == self._last_limits:
            return None
        self._last_limits = limits
        return limits

    def status_section(self) -> dict[str, Any]:
        """Returns the limiter's state as plain values under the published status keys."""
        classes = [request_class.name for request_class in self.settings.classes]
        floors = self._last_limits.class_floors if self._last_limits else ()
        predicted = Counter({str(basis): count for basis, count in self.cost_predictor.predicted.items()})
        return {
            "limit": None
            if self.config.controller is LimitController.MODULE
            else round(self.algorithm.limit, 1),
            "controller": self.config.controller,
            "running": self.running,
            "cheap": sorted(self.low_cost),
            "floors": dict(zip(classes, floors, strict=False)),
            "usual_ms": {
                name: round(activity.cost_s * 1000, 1)
                for name, activity in self.activity.items()
                if activity.cost_s
            },
            "heavy": predicted | Counter({"unforeseen": self._mispredicted}),
            "repeats": {
                "marked": self.retry_budget.marked_retries,
                "unmarked": self.retry_budget.unmarked_retries,
                "denied": self.retry_budget.denied,
            },
        }

    def _advance(self, now_ns: int) -> float:
        """Adds the time since the last event to the current window; returns `now_ns` in seconds."""
        now_s = now_ns / NS_PER_S
        span_s = max(0.0, now_s - self._updated_s) if self._updated_s else 0.0
        self._windows.record_concurrency(span_s, self.running)
        self._updated_s = now_s
        return now_s

    @property
    def _saturated(self) -> bool:
        return self.running >= self.settings.cores and any(
            activity.queued for activity in self.activity.values()
        )

    def _learn_class_cost(self, class_name: str, activity: ClassActivity | None) -> None:
        baseline = self.cost_predictor.baselines[class_name]
        if baseline.duration_s.count == MIN_COMPLETIONS:
            self._work_units[class_name] = baseline.usual_duration_s
        if activity is not None:
            activity.cost_s = baseline.usual_duration_s

    def _work_done(self, request: InboundRequest, cost_multiple: float) -> float:
        """Returns the work of a run (s): as stated, else estimated from the usual run time of its class.

        Expensive runs count as correspondingly more work, so that they are not mistaken for a slow machine.
        """
        if request.work_ns:
            return request.work_ns / NS_PER_S
        unit = self._work_units.get(request.request_class.name, 1.0)
        return unit * (cost_multiple if cost_multiple >= EXPENSIVE_MULTIPLE else 1.0)

    @staticmethod
    def _caller(request: InboundRequest) -> int | str:
        return request.caller or request.responder.origin()[1]

    def _signature(self, request: InboundRequest) -> Hashable:
        """Returns a value that is equal for all attempts of one request, marked as retries or not."""
        return (
            self._caller(request),
            request.request_class.name,
            request.routing_key or request.idempotency_key,
            request.work_ns or request.memory_kb,
        )
