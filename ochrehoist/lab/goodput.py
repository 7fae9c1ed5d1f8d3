"""Figures of a run of a scenario: what callers gained, and what services ran. No I/O; times in s."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from ochrehoist.lab.outcomes import Call, ServiceRun

RECOVERED_FRACTION = 0.95  # of the undisturbed goodput, in two seconds in a row


class WeightedCall(Protocol):
    """What the goodput is computed of, of real and of simulated calls."""

    @property
    def request_class(self) -> str:
        """The name of its class."""
        ...

    @property
    def weight(self) -> float:
        """Its priority weight."""
        ...

    @property
    def started_s(self) -> float:
        """When it began."""
        ...

    @property
    def succeeded(self) -> bool:
        """Whether it was served within its latency objective."""
        ...


@dataclass
class SecondOfCalls:
    """The weight of the calls that began in one second, and of those that succeeded."""

    asked: float = 0.0
    gained: float = 0.0

    @property
    def goodput(self) -> float:
        """The part that was gained; 1 where nothing was asked."""
        return self.gained / self.asked if self.asked else 1.0


def calls_by_second(calls: Sequence[Call], request_class: str | None = None) -> dict[int, SecondOfCalls]:
    """The calls of a class, or of all, by the second in which they began."""
    seconds: dict[int, SecondOfCalls] = {}
    for call in calls:
        if request_class in (None, call.request_class):
            second = seconds.setdefault(int(call.started_s), SecondOfCalls())
            second.asked += call.weight
            second.gained += call.weight * call.succeeded
    return seconds


def goodput(
    calls: Sequence[WeightedCall], since_s: float, until_s: float, request_class: str | None = None
) -> float:
    """The weight of calls that succeeded, as a fraction of those that began in the span; 1 for none."""
    counted = [
        call
        for call in calls
        if since_s <= call.started_s < until_s and request_class in (None, call.request_class)
    ]
    asked = sum(call.weight for call in counted)
    return sum(call.weight for call in counted if call.succeeded) / asked if asked else 1.0


def recovery_time_s(calls: Sequence[Call], since_s: float, level: float) -> float | None:
    """When two seconds in a row first had nearly this goodput, after `since_s`; None where none had."""
    goodputs = {number: second.goodput for number, second in calls_by_second(calls).items() if second.asked}
    for second in sorted(goodputs):
        if second < since_s or second + 1 not in goodputs:
            continue
        if min(goodputs[second], goodputs[second + 1]) >= RECOVERED_FRACTION * level:
            return second - since_s
    return None


def peak_count(times: Iterable[float], window_s: float) -> int:
    """The most times that fall into any window of this length."""
    recent: deque[float] = deque()
    peak = 0
    for time_s in sorted(times):
        recent.append(time_s)
        while recent[0] <= time_s - window_s:
            recent.popleft()
        peak = max(peak, len(recent))
    return peak


def retry_times(runs: Sequence[ServiceRun]) -> list[float]:
    """When workers retried an attempt of a caller at another service: the later runs of the same attempt."""
    by_attempt: dict[tuple[str, int, int], list[float]] = defaultdict(list)
    for run in runs:
        by_attempt[run.worker, run.call_number, run.attempt_number].append(run.started_s)
    return [time_s for times in by_attempt.values() for time_s in sorted(times)[1:]]


def peak_starts_by_service(runs: Sequence[ServiceRun]) -> dict[str, int]:
    """The most runs that began at each service within one second."""
    by_service: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        by_service[run.service].append(run.started_s)
    return {service: peak_count(times, 1.0) for service, times in by_service.items()}


def runs_by_worker(runs: Sequence[ServiceRun], since_s: float, until_s: float) -> dict[str, dict[str, int]]:
    """How many runs began in the span, by worker and service."""
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for run in runs:
        if since_s <= run.started_s < until_s:
            counts[run.worker][run.service] += 1
    return {worker: dict(services) for worker, services in counts.items()}


def figures_record(
    calls: Sequence[Call], runs: Sequence[ServiceRun], spans: Mapping[str, tuple[float, float]]
) -> dict[str, Any]:
    """The figures of a run as its result file has them, in total and by named spans."""
    classes = sorted({call.request_class for call in calls})
    by_span = {
        name: {"all": goodput(calls, *span)}
        | {request_class: goodput(calls, *span, request_class) for request_class in classes}
        for name, span in spans.items()
    }
    attempts = [attempt for call in calls for attempt in call.attempts]
    return {
        "calls": len(calls),
        "tries_per_call": len(attempts) / max(1, len(calls)),
        "statuses": dict(Counter(str(attempt.status) for attempt in attempts)),
        "runs": dict(Counter(run.service for run in runs)),
        "repeats": len(retry_times(runs)),
        "most_in_a_second": peak_starts_by_service(runs),
        "goodput": by_span,
        "seconds": [[number, second.goodput] for number, second in sorted(calls_by_second(calls).items())],
    }
