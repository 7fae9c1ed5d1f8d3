"""What this worker observes of downstream services: latencies, failures, and what counts as slow. No I/O.

Times are seconds of this worker's steady clock. Latencies are compared with the baseline of their request
class, the median over all services, so where all slow down the baseline does too.
"""

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from ochrehoist.peers.wire import HealthObservation, HealthStatus

UNHEALTHY = frozenset({HealthStatus.SLOW, HealthStatus.FAILING, HealthStatus.UNREACHABLE})
SAMPLE_MAX_AGE_S = 2.0  # for which one result is evidence
RECENT_SAMPLES = 8  # that count, so that what was well before does not hide what is not now
KEPT_SAMPLES = 64
MIN_SAMPLES = 3  # that make evidence
MIN_BASELINE_SAMPLES = 20  # of a class at a service, for the baseline
BASELINE_WINDOW = 40  # samples that the mean of a class is taken over
SLOW_RATIO = 5.0  # times the baseline
SLOW_MARGIN_S = 0.03  # above the baseline, besides
MIN_BASELINE_S = 1e-4  # a shorter one is taken for this
MIN_UNREACHABLE = 2  # results that prove a service to be out of reach, the last one among them


def is_slow(latency_s: float, baseline_s: float | None) -> bool:
    """Whether a call took, or has taken so far, much longer than the baseline; never without one."""
    if baseline_s is None:
        return False
    return latency_s > SLOW_RATIO * baseline_s and latency_s > baseline_s + SLOW_MARGIN_S


@dataclass(slots=True)
class MeanLatency:
    """The mean latency of a class at one service, and the samples it rests on."""

    mean_s: float = 0.0
    sample_count: int = 0


class LatencyBaselines:
    """The baseline latency of each request class, kept from one evaluation to the next."""

    def __init__(self) -> None:
        self._means: dict[str, dict[str, MeanLatency]] = {}  # by service and class
        self._baselines: dict[str, float | None] = {}  # by class, as of the last evaluation

    def configure(self, services: Iterable[str]) -> None:
        """Keeps the means of these services only."""
        self._means = {name: self._means.get(name, {}) for name in services}

    def refresh(self) -> None:
        """Baselines are taken anew when next asked for."""
        self._baselines.clear()

    def baseline_s(self, request_class: str) -> float | None:
        """The mean latency at the median service, the faster of two; None where too little is known."""
        if request_class not in self._baselines:
            known = [means[request_class] for means in self._means.values() if request_class in means]
            means = sorted(mean.mean_s for mean in known if mean.sample_count >= MIN_BASELINE_SAMPLES)
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
        # A slow one moves the mean little: where all are slow, all are found so before it has moved.
        weight = BASELINE_WINDOW if is_slow(latency_s, baseline_s) else mean.sample_count
        mean.mean_s += (latency_s - mean.mean_s) / weight


@dataclass(slots=True)
class CallResult:
    """One completed call, and the baseline of its class at that time."""

    at: float
    status: HealthStatus
    latency_s: float
    baseline_s: float

    @property
    def is_slow(self) -> bool:
        """Whether it took much longer than the baseline."""
        return is_slow(self.latency_s, self.baseline_s)


@dataclass(slots=True)
class OpenCall:
    """One call that waits for its answer."""

    started_at: float
    request_class: str


@dataclass(slots=True)
class ServiceSamples:
    """The calls of this worker to one service."""

    results: deque[CallResult] = field(default_factory=lambda: deque(maxlen=KEPT_SAMPLES))
    open_calls: dict[Hashable, OpenCall] = field(default_factory=dict)  # by ticket

    def discount_stall(self, stalled_s: float, now: float) -> None:
        """This worker stood still: open calls are not older for that."""
        self.open_calls = {
            ticket: OpenCall(min(now, call.started_at + stalled_s), call.request_class)
            for ticket, call in self.open_calls.items()
        }

    def _overdue(self, now: float, baselines: LatencyBaselines) -> list[tuple[OpenCall, float]]:
        """Open calls that are slow already, each with its baseline in s."""
        overdue = []
        for call in self.open_calls.values():
            baseline_s = baselines.baseline_s(call.request_class)
            if baseline_s is not None and is_slow(now - call.started_at, baseline_s):
                overdue.append((call, baseline_s))
        return overdue

    def observe(self, service: str, now: float, baselines: LatencyBaselines) -> HealthObservation | None:
        """What was observed lately; None where that is too little."""
        recent = [
            result for result in list(self.results)[-RECENT_SAMPLES:] if now - result.at <= SAMPLE_MAX_AGE_S
        ]
        overdue = self._overdue(now, baselines)
        if overdue:  # what ended before the first of them began tells nothing of now
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
    """The status that recent results and overdue calls come to; None where they are too few."""
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
    if slow_count and ratio >= SLOW_RATIO:  # one may be a costly request: see `is_conclusive`
        return HealthStatus.SLOW
    return HealthStatus.OK


def is_conclusive(own: HealthObservation) -> bool:
    """Whether a worker's unhealthy observation suffices by itself; else it counts as one observer's."""
    if own.status != HealthStatus.SLOW or own.sample_count >= MIN_SAMPLES:
        return True
    return own.sample_count > 1 and own.latency_ratio >= 2 * SLOW_RATIO
