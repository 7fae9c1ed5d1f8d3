"""How long runs take, by class and by the work that requests state."""

from ochrehoist.admission.decaying_mean import DecayingMean
from ochrehoist.admission.job import Job
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.admission.timing import DECAY_S

MIN_SIZE = 0.05  # of the usual cost of its class: the least that a request is expected to cost
MAX_SIZE = 30.0
RUN_TIME_DECAY_S = 10.0
INITIAL_RUN_TIME_DIVISOR = 4  # a run is expected to take 1/4 of the mean objective until one was seen
INITIAL_WEIGHT = 3.0


def contention(running: int, floor: int, cores: int) -> float:
    """How many times longer runs take where so many share the cores.

    Past the cores runs take longer. A time that was learned in a crowd would, once that has gone, keep away
    work that idle cores could end in time, and with it the completions that would correct it. So times are
    learned free of contention, and stretched by the contention at hand.
    """
    return max(1.0, min(running, floor) / cores)


class RunTimeModel:
    """The mean run time of each class, free of crowding and cold starts.

    Where the work that requests state predicts their run times better than the mean alone, requests are
    expected to take a multiple of the mean, and the mean is that of a request of the usual size.
    """

    def __init__(self, settings: AdmissionSettings, mean_objective_ns: float) -> None:
        """Each class is expected to take a share of the mean objective."""
        classes = settings.classes
        first_ns = mean_objective_ns / INITIAL_RUN_TIME_DIVISOR
        self.mean_run_ns = [DecayingMean(RUN_TIME_DECAY_S, first_ns, INITIAL_WEIGHT) for _ in classes]
        self.mean_stated_work_ns = [DecayingMean(DECAY_S, 0.0, 0.0) for _ in classes]
        # By how much stated work betters the guess; as long as nothing was seen it is believed.
        self.stated_work_gain_ns = [DecayingMean(DECAY_S, 1.0, INITIAL_WEIGHT) for _ in classes]

    def observe_stated_work(self, job: Job, work_ns: int, now_ns: int) -> None:
        """Sets the size of a request that states its work."""
        mean = self.mean_stated_work_ns[job.request.class_index]
        mean.add(now_ns, work_ns)
        job.size = max(MIN_SIZE, min(MAX_SIZE, work_ns / mean.value))

    def observe_run(self, job: Job, run_ns: float, now_ns: int) -> None:
        """A run has taken so long, as on an idle warm instance."""
        at = job.request.class_index
        mean = self.mean_run_ns[at]
        gain_ns = abs(run_ns - mean.value) - abs(run_ns - mean.value * job.size)
        self.stated_work_gain_ns[at].add(now_ns, gain_ns)
        mean.add(now_ns, run_ns / self.expected_size(job))

    def expected_size(self, job: Job) -> float:
        """How many times the mean of its class the request is expected to take."""
        if self.stated_work_gain_ns[job.request.class_index].value > 0:
            return job.size
        return job.request.cost_multiple

    def shortest_mean_ns(self) -> float:
        """Of the class whose runs are shortest."""
        return min(mean.value for mean in self.mean_run_ns)

    def average_mean_ns(self) -> float:
        """Over all classes, each counted alike."""
        return sum(mean.value for mean in self.mean_run_ns) / len(self.mean_run_ns)
