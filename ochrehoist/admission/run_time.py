"""Run time prediction by class and by the work that requests state."""

from ochrehoist.admission.decaying_mean import DecayingMean
from ochrehoist.admission.job import Job
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.admission.timing import DECAY_TIME_S

MIN_SIZE = 0.05  # bounds of the expected cost of a request, as a multiple of the usual cost of its class
MAX_SIZE = 30.0
RUN_DECAY_TIME_S = 10.0
INITIAL_RUN_TIME_DIVISOR = 4  # the initial estimate is 1/4 of the mean latency objective
INITIAL_WEIGHT = 3.0


def contention(running: int, floor: int, cores: int) -> float:
    """Returns the factor by which runs take longer when `running` of them share the cores.

    Run times are learned with this factor removed, and predicted with the factor of the current concurrency.
    Otherwise a time that was learned under contention would later cause requests to be rejected that idle
    cores could complete in time, and without their completions it would never be corrected.
    """
    return max(1.0, min(running, floor) / cores)


class RunTimeModel:
    """Mean run time of each class, corrected for contention and cold starts.

    If the work that requests state predicts their run times better than the mean alone, the expected run time
    of a request is a multiple of the mean, and the mean is that of a request of the usual size.
    """

    def __init__(self, settings: AdmissionSettings, mean_objective_ns: float) -> None:
        """Initially runs of each class are expected to take a share of the mean latency objective."""
        classes = settings.classes
        initial_ns = mean_objective_ns / INITIAL_RUN_TIME_DIVISOR
        self.mean_run_ns = [DecayingMean(RUN_DECAY_TIME_S, initial_ns, INITIAL_WEIGHT) for _ in classes]
        self.mean_stated_work_ns = [DecayingMean(DECAY_TIME_S, 0.0, 0.0) for _ in classes]
        # Reduction of the prediction error by stated work; initially positive, so that stated work is used.
        self.stated_work_gain_ns = [DecayingMean(DECAY_TIME_S, 1.0, INITIAL_WEIGHT) for _ in classes]

    def observe_stated_work(self, job: Job, work_ns: int, now_ns: int) -> None:
        """Sets the size of a request that states its work."""
        mean = self.mean_stated_work_ns[job.request.class_index]
        mean.add(now_ns, work_ns)
        job.size = max(MIN_SIZE, min(MAX_SIZE, work_ns / mean.value))

    def observe_run(self, job: Job, run_ns: float, now_ns: int) -> None:
        """Records a run time, as it would be on an idle and warm instance."""
        index = job.request.class_index
        mean = self.mean_run_ns[index]
        gain_ns = abs(run_ns - mean.value) - abs(run_ns - mean.value * job.size)
        self.stated_work_gain_ns[index].add(now_ns, gain_ns)
        mean.add(now_ns, run_ns / self.expected_size(job))

    def expected_size(self, job: Job) -> float:
        """Returns the expected run time of a request as a multiple of the mean of its class."""
        if self.stated_work_gain_ns[job.request.class_index].value > 0:
            return job.size
        return job.request.cost_multiple

    def shortest_mean_ns(self) -> float:
        """Returns the mean run time of the class with the shortest runs."""
        return min(mean.value for mean in self.mean_run_ns)

    def average_mean_ns(self) -> float:
        """Returns the unweighted average of the mean run times of all classes."""
        return sum(mean.value for mean in self.mean_run_ns) / len(self.mean_run_ns)
