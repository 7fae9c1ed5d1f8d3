"""Predicts which requests will cost many times the usual cost of their class, before they run.

Three predictors are tried in order: the work that the request states, the recent cost of its subject, and its
size. The usual cost is a running median, as a few expensive requests would distort a mean.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from ochrehoist.core.request import InboundRequest

NS_PER_S = 1e9
EXPENSIVE_MULTIPLE = 6.0  # multiple of the usual cost from which a request uses the low-priority lane
MAX_MULTIPLE = 40.0  # maximum prediction, as a multiple of the usual cost
MAX_SUBJECTS = 2048  # subjects to remember; the least recently updated are dropped
SUBJECT_HALF_LIFE_S = 60.0  # half-life of a subject's learned cost
MIN_MEDIAN_STEP = 0.05  # minimum step of the running median, in natural logarithm
MIN_COMPLETIONS = 20  # completions of a class that establish its usual cost
MIN_R_SQUARED = 0.35  # squared correlation of stated work and cost above which stated work is used
LARGE_MULTIPLE = 4.0  # multiple of the usual size from which a request is large
# Size predicts the cost once this many large requests were expensive, and this fraction of all large ones.
MIN_EXPENSIVE_LARGE = 8
MIN_EXPENSIVE_LARGE_FRACTION = 0.7
LARGE_DECAY = 0.97  # decay of the counts of large requests with each large request
MIN_DURATION_S = 1e-6

LOG_EXPENSIVE = math.log(EXPENSIVE_MULTIPLE)


class PredictionBasis(StrEnum):
    """Predictor on which a prediction is based, as published in the worker's status."""

    STATED_WORK = "stated work"
    SUBJECT = "subject"
    SIZE = "size"


@dataclass
class RunningMedian:
    """Running median of logarithms; its step size decreases with the number of samples."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Moves the median by one step towards the sample; the first sample initialises it."""
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
    """Correlation of two series with exponential decay, over about the last hundred pairs."""

    decay: float = 0.99
    count: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_yy: float = 0.0
    sum_xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        """Adds one pair."""
        self.count = self.count * self.decay + 1.0
        self.sum_x = self.sum_x * self.decay + x
        self.sum_y = self.sum_y * self.decay + y
        self.sum_xx = self.sum_xx * self.decay + x * x
        self.sum_yy = self.sum_yy * self.decay + y * y
        self.sum_xy = self.sum_xy * self.decay + x * y

    @property
    def positive_r_squared(self) -> float:
        """The squared correlation; 0 if the correlation is negative or if there are too few pairs."""
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
    """Usual values of one class, as logarithms.

    Attributes:
        duration_s: Run time without contention.
        stated_work_s: Stated work.
        size_kb: Memory size.
        stated_work_fit: Correlation of stated work and run time.
        large_count: Decaying count of large requests.
        large_expensive_count: Decaying count of large requests that were expensive.
    """

    duration_s: RunningMedian = field(default_factory=RunningMedian)
    stated_work_s: RunningMedian = field(default_factory=RunningMedian)
    size_kb: RunningMedian = field(default_factory=RunningMedian)
    stated_work_fit: DecayingCorrelation = field(default_factory=DecayingCorrelation)
    large_count: float = 0.0
    large_expensive_count: float = 0.0

    @property
    def is_established(self) -> bool:
        """Whether enough runs have completed for the median to be reliable."""
        return self.duration_s.count >= MIN_COMPLETIONS

    @property
    def usual_duration_s(self) -> float:
        """The usual run time (s) without contention."""
        return math.exp(self.duration_s.value)

    def is_large(self, request: InboundRequest) -> bool:
        """Returns whether the request's size is many times the usual size."""
        return (
            self.size_kb.count >= MIN_COMPLETIONS
            and request.memory_kb > 0
            and math.log(request.memory_kb) - self.size_kb.value >= math.log(LARGE_MULTIPLE)
        )

    @property
    def size_predicts_cost(self) -> bool:
        """Whether most large requests were expensive."""
        return (
            self.large_expensive_count >= MIN_EXPENSIVE_LARGE
            and self.large_expensive_count >= MIN_EXPENSIVE_LARGE_FRACTION * self.large_count
        )


@dataclass(slots=True, frozen=True)
class SubjectCost:
    """Recent cost of the runs on one subject."""

    log_multiple: float  # logarithm of the cost as a multiple of the class's usual cost
    learned_s: float  # time of the last update


class CostPredictor:
    """Predictor that learns the usual cost of each class, and predicts costs as multiples of it."""

    def __init__(self) -> None:
        self.baselines: dict[str, ClassBaseline] = {}
        self.predicted = dict.fromkeys(PredictionBasis, 0)  # counts of requests predicted to be expensive
        self._subjects: OrderedDict[tuple[str, str], SubjectCost] = OrderedDict()  # by class and routing key

    def cost_multiple(self, request: InboundRequest, now_s: float) -> float:
        """Returns the predicted cost as a multiple of the usual cost; 1 if not predicted to be expensive."""
        baseline = self.baselines.get(request.request_class.name)
        if baseline is None or not baseline.is_established:
            return 1.0
        for basis, log_multiple in (
            (PredictionBasis.STATED_WORK, self._predict_by_stated_work(baseline, request)),
            (PredictionBasis.SUBJECT, self._predict_by_subject(request, now_s)),
            (PredictionBasis.SIZE, self._predict_by_size(baseline, request)),
        ):
            if log_multiple >= LOG_EXPENSIVE:
                self.predicted[basis] += 1
                return min(MAX_MULTIPLE, math.exp(log_multiple))
        return 1.0

    @staticmethod
    def _predict_by_stated_work(baseline: ClassBaseline, request: InboundRequest) -> float:
        if not request.work_ns or baseline.stated_work_fit.positive_r_squared < MIN_R_SQUARED:
            return 0.0
        return math.log(request.work_ns / NS_PER_S) - baseline.stated_work_s.value

    def _predict_by_subject(self, request: InboundRequest, now_s: float) -> float:
        subject_cost = (
            self._subjects.get((request.request_class.name, request.routing_key))
            if request.routing_key
            else None
        )
        if subject_cost is None:
            return 0.0
        decay: float = 0.5 ** ((now_s - subject_cost.learned_s) / SUBJECT_HALF_LIFE_S)
        return subject_cost.log_multiple * decay

    @staticmethod
    def _predict_by_size(baseline: ClassBaseline, request: InboundRequest) -> float:
        if not baseline.is_large(request) or not baseline.size_predicts_cost:
            return 0.0
        return LOG_EXPENSIVE

    def learn(self, request: InboundRequest, now_s: float, duration_s: float, contention: float) -> float:
        """Learns from a run and returns its cost as a multiple of the usual cost.

        Args:
            request: The request that ran.
            now_s: When the run ended.
            duration_s: Duration of the run.
            contention: Factor by which concurrency lengthened runs at that time.
        """
        baseline = self.baselines.setdefault(request.request_class.name, ClassBaseline())
        log_duration = math.log(max(MIN_DURATION_S, duration_s / max(1.0, contention)))
        log_multiple = log_duration - baseline.duration_s.value if baseline.is_established else 0.0
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
        """Updates a subject's cost. Only expensive subjects are stored, as most have the usual cost."""
        previous = self._subjects.pop(subject, None)
        if previous is None and not expensive:
            return
        mean = log_multiple if previous is None else (previous.log_multiple + log_multiple) / 2
        if mean > LOG_EXPENSIVE / 2:
            self._subjects[subject] = SubjectCost(mean, now_s)
        while len(self._subjects) > MAX_SUBJECTS:
            self._subjects.popitem(last=False)
