"""Predicts which requests will cost many times what is usual for their class, before they run.

Three signs are asked in turn: the work that the request states, what its subject cost lately, and its size.
What is usual is a running median: a few expensive requests don't move it, as they would a mean.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from ochrehoist.core.request import InboundRequest

NS_PER_S = 1e9
EXPENSIVE_MULTIPLE = 6.0  # of the usual cost, from which on a request belongs in the low-priority lane
MAX_MULTIPLE = 40.0  # that is predicted
MAX_SUBJECTS = 2048  # remembered, the latest
SUBJECT_HALF_LIFE_S = 60.0  # after which what a subject cost counts half
MIN_MEDIAN_STEP = 0.05  # of the running median, in log
MIN_COMPLETIONS = 20  # of a class before anything is called usual
MIN_CORRELATION = 0.35  # squared, of stated work with cost, for stated work to be trusted
LARGE_MULTIPLE = 4.0  # of the usual size, from which on a request is large
MIN_EXPENSIVE_LARGE = 8  # large requests that were expensive, before a size alone says anything,
MIN_EXPENSIVE_LARGE_FRACTION = 0.7  # and their part of all large ones
LARGE_DECAY = 0.97  # of the counts of large requests, with each new one
MIN_DURATION_S = 1e-6

LOG_EXPENSIVE = math.log(EXPENSIVE_MULTIPLE)


class PredictionBasis(StrEnum):
    """What a prediction rests on, as published in the worker's status."""

    STATED_WORK = "stated work"
    SUBJECT = "subject"
    SIZE = "size"


@dataclass
class RunningMedian:
    """A running median of log values, whose steps shrink as it settles."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Moves the median a step towards the sample; the first sample sets it."""
        self.count += 1
        if self.count == 1:
            self.value = sample
            return
        step = max(MIN_MEDIAN_STEP, 1.0 / self.count)
        if sample > self.value:
            self.value += step
        elif sample < self.value:
            self.value -= step


@dataclass
class DecayingCorrelation:
    """The correlation of two series over the last hundred pairs or so."""

    decay: float = 0.99
    count: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_yy: float = 0.0
    sum_xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        """Takes one pair."""
        self.count = self.count * self.decay + 1.0
        self.sum_x = self.sum_x * self.decay + x
        self.sum_y = self.sum_y * self.decay + y
        self.sum_xx = self.sum_xx * self.decay + x * x
        self.sum_yy = self.sum_yy * self.decay + y * y
        self.sum_xy = self.sum_xy * self.decay + x * y

    @property
    def positive_r_squared(self) -> float:
        """The square of the correlation; 0 where it is negative, or where too little is known."""
        if self.count < MIN_COMPLETIONS / 2:
            return 0.0
        variance_x = self.sum_xx / self.count - (self.sum_x / self.count) ** 2
        variance_y = self.sum_yy / self.count - (self.sum_y / self.count) ** 2
        covariance = self.sum_xy / self.count - self.sum_x * self.sum_y / self.count**2
        if variance_x < 1e-9 or variance_y < 1e-9:
            return 0.0
        return max(0.0, covariance) ** 2 / (variance_x * variance_y)


@dataclass
class ClassBaseline:
    """What is usual for one class, in logs of its unit."""

    duration_s: RunningMedian = field(default_factory=RunningMedian)  # of a run, as if alone
    stated_work_s: RunningMedian = field(default_factory=RunningMedian)
    size_kb: RunningMedian = field(default_factory=RunningMedian)
    stated_work_fit: DecayingCorrelation = field(default_factory=DecayingCorrelation)
    large_count: float = 0.0  # decaying, of requests of many times the usual size
    large_expensive_count: float = 0.0  # and those of them that were expensive

    @property
    def established(self) -> bool:
        """Whether enough runs ended for the median to be called usual."""
        return self.duration_s.count >= MIN_COMPLETIONS

    @property
    def usual_duration_s(self) -> float:
        """Seconds of a run."""
        return math.exp(self.duration_s.value)

    def is_large(self, request: InboundRequest) -> bool:
        """Whether its size is many times the usual."""
        return (
            self.size_kb.count >= MIN_COMPLETIONS
            and request.memory_kb > 0
            and math.log(request.memory_kb) - self.size_kb.value >= math.log(LARGE_MULTIPLE)
        )

    @property
    def size_predicts_cost(self) -> bool:
        """Whether most large requests have proved expensive."""
        return (
            self.large_expensive_count >= MIN_EXPENSIVE_LARGE
            and self.large_expensive_count >= MIN_EXPENSIVE_LARGE_FRACTION * self.large_count
        )


@dataclass(slots=True, frozen=True)
class SubjectCost:
    """What runs on one subject cost lately."""

    log_multiple: float  # of what is usual for the class
    learned_s: float


class CostPredictor:
    """Learns from completions what is usual, and predicts the cost of requests as a multiple of it."""

    def __init__(self) -> None:
        self.baselines: dict[str, ClassBaseline] = {}
        self.predicted = dict.fromkeys(PredictionBasis, 0)  # how many were predicted to be expensive
        self._subjects: OrderedDict[tuple[str, str], SubjectCost] = OrderedDict()  # by class and subject

    def cost_multiple(self, request: InboundRequest, now_s: float) -> float:
        """How many times the usual the request will cost; 1 where nothing says that it is expensive."""
        baseline = self.baselines.get(request.request_class.name)
        if baseline is None or not baseline.established:
            return 1.0
        for basis, log_multiple in (
            (PredictionBasis.STATED_WORK, self._by_stated_work(baseline, request)),
            (PredictionBasis.SUBJECT, self._by_subject(request, now_s)),
            (PredictionBasis.SIZE, self._by_size(baseline, request)),
        ):
            if log_multiple >= LOG_EXPENSIVE:
                self.predicted[basis] += 1
                return min(MAX_MULTIPLE, math.exp(log_multiple))
        return 1.0

    @staticmethod
    def _by_stated_work(baseline: ClassBaseline, request: InboundRequest) -> float:
        if not request.work_ns or baseline.stated_work_fit.positive_r_squared < MIN_CORRELATION:
            return 0.0
        return math.log(request.work_ns / NS_PER_S) - baseline.stated_work_s.value

    def _by_subject(self, request: InboundRequest, now_s: float) -> float:
        known = (
            self._subjects.get((request.request_class.name, request.routing_key))
            if request.routing_key
            else None
        )
        if known is None:
            return 0.0
        decay: float = 0.5 ** ((now_s - known.learned_s) / SUBJECT_HALF_LIFE_S)
        return known.log_multiple * decay

    @staticmethod
    def _by_size(baseline: ClassBaseline, request: InboundRequest) -> float:
        if not baseline.is_large(request) or not baseline.size_predicts_cost:
            return 0.0
        return LOG_EXPENSIVE

    def learn(self, request: InboundRequest, now_s: float, duration_s: float, contention: float) -> float:
        """Learns from a run; gives how many times the usual it cost.

        Args:
            request: what ran.
            now_s: when it ended.
            duration_s: how long it ran.
            contention: how many times longer than alone runs took meanwhile.
        """
        baseline = self.baselines.setdefault(request.request_class.name, ClassBaseline())
        log_duration = math.log(max(MIN_DURATION_S, duration_s / max(1.0, contention)))
        log_multiple = log_duration - baseline.duration_s.value if baseline.established else 0.0
        expensive = log_multiple >= LOG_EXPENSIVE
        baseline.duration_s.add(log_duration)
        if request.work_ns:
            log_work = math.log(request.work_ns / NS_PER_S)
            baseline.stated_work_s.add(log_work)
            baseline.stated_work_fit.add(log_work, log_duration)
        if request.memory_kb > 0:
            self._learn_size(baseline, request, expensive)
        if request.routing_key:
            self._learn_subject(
                (request.request_class.name, request.routing_key), log_multiple, expensive, now_s
            )
        return math.exp(log_multiple)

    @staticmethod
    def _learn_size(baseline: ClassBaseline, request: InboundRequest, expensive: bool) -> None:
        if baseline.is_large(request):
            baseline.large_count = baseline.large_count * LARGE_DECAY + 1
            baseline.large_expensive_count = baseline.large_expensive_count * LARGE_DECAY + expensive
        baseline.size_kb.add(math.log(request.memory_kb))

    def _learn_subject(
        self, subject: tuple[str, str], log_multiple: float, expensive: bool, now_s: float
    ) -> None:
        """Remembers only subjects that were expensive: the popular ones are many, and usual."""
        known = self._subjects.pop(subject, None)
        if known is None and not expensive:
            return
        mean = log_multiple if known is None else (known.log_multiple + log_multiple) / 2
        if mean > LOG_EXPENSIVE / 2:
            self._subjects[subject] = SubjectCost(mean, now_s)
        while len(self._subjects) > MAX_SUBJECTS:
            self._subjects.popitem(last=False)
