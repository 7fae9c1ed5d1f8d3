"""The admission threshold: the rank of the shedding order up to which a worker admits requests.

Offered work is the sum of the mean run times of the arriving requests' classes, in core seconds per second.
Capacity is the completed work per second, measured while all cores are busy. The threshold is the ratio of
capacity to offered work, corrected by the backlog: a short backlog keeps the cores busy, a longer one only
adds latency. No I/O; times are in seconds.
"""

from ochrehoist.sites.rates import DecayingRate

TICK_INTERVAL_S = 0.1
# Averaging times of offered work, the mean cost of a request, and completed work.
OFFERED_SPAN_S = 1.2
COST_SPAN_S = 4.0
COMPLETED_SPAN_S = 1.5
# As fractions of the latency objective: the backlog to aim for, and the deviation that changes the
# correction by 1.
TARGET_BACKLOG = 0.3
CORRECTION_RANGE = 0.3
MIN_CORRECTION = 0.3
MAX_CORRECTION = 1.25
MIN_THRESHOLD = 0.01
SMOOTHING_SPAN_S = 2.0  # averaging time of the threshold that is reported to peers
# Limits of the measured capacity, as fractions of the configured cores.
MIN_CAPACITY = 0.25
MAX_CAPACITY = 1.5
MIN_DIVISOR = 1e-9


class AdmissionThreshold:
    """The current threshold (`value`) and its moving average (`smoothed`), from MIN_THRESHOLD to 1.

    `backlog_s` is the time that the cores need for the waiting work, `capacity` the core seconds of work that
    they complete per second.
    """

    def __init__(self, cores: int, latency_objective_s: float) -> None:
        self.value = 1.0
        self.smoothed = 1.0
        self.backlog_s = 0.0
        self.capacity = float(cores)
        self._busy_for_s = 0.0
        self._offered = DecayingRate(OFFERED_SPAN_S)
        self._completed = DecayingRate(COMPLETED_SPAN_S)
        self._arrivals = DecayingRate(COST_SPAN_S)
        self._arrived_work = DecayingRate(COST_SPAN_S)
        self.configure(cores, latency_objective_s)

    def configure(self, cores: int, latency_objective_s: float) -> None:
        """Applies changed settings; measurements are kept."""
        self._cores = cores
        self._objective_s = latency_objective_s

    def record_arrival(self, work: float, now: float) -> None:
        """Counts the first attempt of a request with `work` core seconds."""
        self._offered.add(now, work)
        self._arrivals.add(now, 1.0)
        self._arrived_work.add(now, work)

    def record_completion(self, work: float, now: float) -> None:
        """Counts a completed run of `work` core seconds."""
        self._completed.add(now, work)

    def offered_work(self, now: float) -> float:
        """Returns the offered work in core seconds per second."""
        return self._offered.read(now)

    def update(self, now: float, running: int, waiting_work: float, running_work: float) -> None:
        """Recomputes the threshold; called every TICK_INTERVAL_S.

        Args:
            now: the current time.
            running: the number of started runs, which may exceed the number of cores.
            waiting_work: core seconds of admitted requests that have not started.
            running_work: core seconds of the started runs.
        """
        offered = self._offered.read(now)
        self._measure_capacity(now, running)
        queued_work = max(0.0, 1 - self._cores / running) * running_work if running else 0.0
        self.backlog_s = (waiting_work + queued_work) / self.capacity
        spare_s = TARGET_BACKLOG * self._objective_s - self.backlog_s
        correction = 1 + spare_s / (CORRECTION_RANGE * self._objective_s)
        correction = max(MIN_CORRECTION, min(MAX_CORRECTION, correction))
        target = correction * self.capacity / max(MIN_DIVISOR, offered)
        self.value = max(MIN_THRESHOLD, min(1.0, target))
        self.smoothed += (self.value - self.smoothed) * TICK_INTERVAL_S / SMOOTHING_SPAN_S

    def _measure_capacity(self, now: float, running: int) -> None:
        """Updates the capacity: measured while all cores are busy, else drifting to the configured cores.

        With idle cores, the completed work says nothing about what the cores could complete.
        """
        if running >= self._cores:
            self._busy_for_s += TICK_INTERVAL_S
            if self._busy_for_s > COMPLETED_SPAN_S / 2:
                error = self._completed.read(now) - self.capacity
                self.capacity += error * TICK_INTERVAL_S / COMPLETED_SPAN_S
        else:
            self._busy_for_s = 0.0
            self.capacity += (self._cores - self.capacity) * TICK_INTERVAL_S / COMPLETED_SPAN_S
        min_capacity = MIN_CAPACITY * self._cores
        max_capacity = MAX_CAPACITY * self._cores
        self.capacity = min(max_capacity, max(min_capacity, self.capacity))

    def predict(self, rate: float, now: float) -> float:
        """Returns the threshold to expect at `rate` requests per second of the current mean cost."""
        mean_cost = self._arrived_work.read(now) / max(MIN_DIVISOR, self._arrivals.read(now))
        return min(1.0, self.capacity / max(MIN_DIVISOR, rate * mean_cost))
