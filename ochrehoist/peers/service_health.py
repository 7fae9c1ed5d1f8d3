"""This worker's observations of downstream services: latency, failures and slowness. No I/O.

Times are in seconds of this worker's steady clock. Latencies are compared with the baseline of their request
class. The baseline is the median over all services, so it rises if all services slow down together.
"""

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from ochrehoist.peers.wire import HealthObservation, HealthStatus

UNHEALTHY = frozenset({HealthStatus.SLOW, HealthStatus.FAILING, HealthStatus.UNREACHABLE})
SAMPLE_MAX_AGE_S = 2.0  # older results are ignored
RECENT_SAMPLES = 8  # limits how many earlier healthy results can mask a current fault
MAX_SAMPLES = 64
MIN_SAMPLES = 3  # observations of fewer samples are not conclusive
MIN_BASELINE_SAMPLES = 20  # a service counts for a class's baseline from this number of samples
BASELINE_WINDOW = 40  # samples in the moving mean of a class
SLOW_RATIO = 5.0  # a slow call exceeds this multiple of the baseline
SLOW_MARGIN_S = 0.03  # a slow call also exceeds the baseline by this margin
MIN_BASELINE_S = 1e-4  # lower limit for the divisor of latency ratios
MIN_UNREACHABLE = 2  # a service is unreachable after this many such results, the latest included


def is_slow(latency_s: float, baseline_s: float | None) -> bool:
    """Returns whether a call's latency so far is far above the baseline; False without a baseline."""
    if baseline_s is None:
        return False
    return latency_s > SLOW_RATIO * baseline_s and latency_s > baseline_s + SLOW_MARGIN_S


@dataclass(slots=True)
class MeanLatency:
    """The mean latency of a class at one service, and its number of samples up to `BASELINE_WINDOW`."""

    mean_s: float = 0.0
    sample_count: int = 0


class LatencyBaselines:
    """Baseline latencies of the request classes, cached between evaluations."""

    def __init__(self) -> None:
        self._means: dict[str, dict[str, MeanLatency]] = {}  # by service, then class
        self._baselines: dict[str, float | None] = {}  # by class, as of the last evaluation

    def configure(self, services: Iterable[str]) -> None:
        """Discards the means of all other services."""
        self._means = {name: self._means.get(name, {}) for name in services}

    def refresh(self) -> None:
        """Clears the cache, so that baselines are recomputed at their next use."""
        self._baselines.clear()

    def baseline_s(self, request_class: str) -> float | None:
        """Returns the mean latency at the median service (lower median); None with too few samples."""
        if request_class not in self._baselines:
            class_means = [means[request_class] for means in self._means.values() if request_class in means]
            means = sorted(mean.mean_s for mean in class_means if mean.sample_count >= MIN_BASELINE_SAMPLES)
            self._baselines[request_class] = means[(len(means) - 1) // 2] if means else None
        return self._baselines[request_class]

    def record(self, service: str, request_class: str, latency_s: float, baseline_s: float | None) -> None:
        """Adds the latency of a successful call."""
        means = self._means[service]
        mean = means.get(request_class)
        if mean is None:
            mean = means[request_class] = MeanLatency()
        if mean.sample_count < BASELINE_WINDOW:
            mean.sample_count += 1
        # A slow call changes the mean little, so that if all services turn slow, all are detected as slow
        # before the baseline has risen.
        weight = BASELINE_WINDOW if is_slow(latency_s, baseline_s) else mean.sample_count
        mean.mean_s += (latency_s - mean.mean_s) / weight


@dataclass(slots=True)
class CallResult:
    """A completed call, and the baseline of its class at its completion."""

    at: float
    status: HealthStatus
    latency_s: float
    baseline_s: float

    @property
    def is_slow(self) -> bool:
        """Whether the latency is far above the baseline."""
        return is_slow(self.latency_s, self.baseline_s)


@dataclass(slots=True)
class OpenCall:
    """A call that awaits its answer."""

    started_at: float
    request_class: str


@dataclass(slots=True)
class ServiceSamples:
    """This worker's calls to one service."""

    results: deque[CallResult] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    open_calls: dict[Hashable, OpenCall] = field(default_factory=dict)  # by ticket

    def discount_stall(self, stalled_s: float, now: float) -> None:
        """Excludes a stall of this worker from the latency of the open calls."""
        self.open_calls = {
            ticket: OpenCall(min(now, call.started_at + stalled_s), call.request_class)
            for ticket, call in self.open_calls.items()
        }

    def _overdue(self, now: float, baselines: LatencyBaselines) -> list[tuple[OpenCall, float]]:
        """Returns the open calls that are already slow, each with its baseline in s."""
        overdue = []
        for call in self.open_calls.values():
            baseline_s = baselines.baseline_s(call.request_class)
            if baseline_s is not None and is_slow(now - call.started_at, baseline_s):
                overdue.append((call, baseline_s))
        return overdue

    def observe(self, service: str, now: float, baselines: LatencyBaselines) -> HealthObservation | None:
        """Returns an observation of the service from recent calls; None with too few samples."""
        recent = [
            result for result in list(self.results)[-RECENT_SAMPLES:] if now - result.at <= SAMPLE_MAX_AGE_S
        ]
        overdue = self._overdue(now, baselines)
        if overdue:  # results from before their start do not reflect the current state
            first_start = min(call.started_at for call, _ in overdue)
            recent = [result for result in recent if result.at >= first_start]
        sample_count = len(recent) + len(overdue)
        if not sample_count:
            return None
        overdue_ratios = [(now - call.started_at) / baseline_s for call, baseline_s in overdue]
        ratio = _mean_latency_ratio(recent, overdue_ratios)
        status = _status_of(recent, len(overdue), ratio)
        if status is None:
            return None
        age_ms = int(1000 * (now - recent[-1].at)) if recent and not overdue else 0
        return HealthObservation(service, status, sample_count, age_ms, ratio)


def _mean_latency_ratio(recent: list[CallResult], overdue_ratios: list[float]) -> float:
    successes = [result for result in recent if result.status == HealthStatus.OK]
    ratios = [result.latency_s / max(MIN_BASELINE_S, result.baseline_s) for result in successes]
    ratios += overdue_ratios
    return sum(ratios) / len(ratios) if ratios else 1.0


def _status_of(recent: list[CallResult], overdue_count: int, ratio: float) -> HealthStatus | None:
    """Returns the status that recent results and overdue calls indicate; None with too few samples."""
    sample_count = len(recent) + overdue_count
    unreachable_count = sum(result.status == HealthStatus.UNREACHABLE for result in recent)
    failing_count = sum(result.status == HealthStatus.FAILING for result in recent)
    if unreachable_count >= MIN_UNREACHABLE and recent[-1].status == HealthStatus.UNREACHABLE:
        return HealthStatus.UNREACHABLE
    all_overdue = overdue_count > 0 and overdue_count == sample_count
    if sample_count < MIN_SAMPLES and not all_overdue:
        return None
    if 2 * (failing_count + unreachable_count) >= sample_count:
        return HealthStatus.FAILING
    slow_count = overdue_count + sum(result.status == HealthStatus.OK and result.is_slow for result in recent)
    if slow_count and ratio >= SLOW_RATIO:  # a single slow call may be a costly request: see `is_conclusive`
        return HealthStatus.SLOW
    return HealthStatus.OK


def is_conclusive(own: HealthObservation) -> bool:
    """Returns whether an unhealthy own observation suffices to eject; else it counts as one observer's."""
    if own.status != HealthStatus.SLOW or own.sample_count >= MIN_SAMPLES:
        return True
    return own.sample_count > 1 and own.latency_ratio >= 2 * SLOW_RATIO
