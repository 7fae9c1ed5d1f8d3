"""Up to which rank of the shedding order a worker admits: by measured work. No I/O; seconds.

What comes is work (the usual time of its class on one core); what the cores do is measured while they are
busy. The threshold is the one over the other, corrected by the backlog: a little of it keeps the cores busy,
more is waste.
"""

from ochrehoist.sites.rates import DecayingRate

TICK_INTERVAL_S = 0.1
OFFERED_SPAN_S = 1.2  # over which offered work is counted
COST_SPAN_S = 4.0  # over which the mean cost of a request is
COMPLETED_SPAN_S = 1.5  # over which completed work is
TARGET_BACKLOG = 0.3  # of the latency objective, that what waits may take
CORRECTION_RANGE = 0.3  # of the latency objective, over which the correction goes from none to all
MIN_CORRECTION = 0.3
MAX_CORRECTION = 1.25
MIN_THRESHOLD = 0.01
SMOOTHING_SPAN_S = 2.0  # of the threshold that is reported to others
MIN_CAPACITY = 0.25  # of the configured cores
MAX_CAPACITY = 1.5
LEAST_DIVISOR = 1e-9


class AdmissionThreshold:
    """`value`: the greatest rank that is admitted, at this moment; `smoothed`: its mean."""

    def __init__(self, cores: int, latency_objective_s: float) -> None:
        self.value = 1.0
        self.smoothed = 1.0
        self.backlog_s = 0.0
        self.capacity = float(cores)  # seconds of work that the cores do in one
        self._busy_for_s = 0.0
        self._offered = DecayingRate(OFFERED_SPAN_S)
        self._completed = DecayingRate(COMPLETED_SPAN_S)
        self._arrivals = DecayingRate(COST_SPAN_S)
        self._arrived_work = DecayingRate(COST_SPAN_S)
        self.configure(cores, latency_objective_s)

    def configure(self, cores: int, latency_objective_s: float) -> None:
        """Takes new settings; what was measured is kept."""
        self._cores = cores
        self._objective_s = latency_objective_s

    def record_arrival(self, work: float, now: float) -> None:
        """A first try came, with so much work."""
        self._offered.add(now, work)
        self._arrivals.add(now, 1.0)
        self._arrived_work.add(now, work)

    def record_completion(self, work: float, now: float) -> None:
        """A run ended that was so much work."""
        self._completed.add(now, work)

    def offered_work(self, now: float) -> float:
        """Seconds of work that come in a second."""
        return self._offered.read(now)

    def update(self, now: float, running: int, waiting_work: float, running_work: float) -> None:
        """Every TICK_INTERVAL_S. `running_work`: of what is on the cores or behind them."""
        offered = self._offered.read(now)
        self._measure_capacity(now, running)
        queued_work = max(0.0, 1 - self._cores / running) * running_work if running else 0.0
        self.backlog_s = (waiting_work + queued_work) / self.capacity
        spare_s = TARGET_BACKLOG * self._objective_s - self.backlog_s
        correction = 1 + spare_s / (CORRECTION_RANGE * self._objective_s)
        correction = max(MIN_CORRECTION, min(MAX_CORRECTION, correction))
        target = correction * self.capacity / max(LEAST_DIVISOR, offered)
        self.value = max(MIN_THRESHOLD, min(1.0, target))
        self.smoothed += (self.value - self.smoothed) * TICK_INTERVAL_S / SMOOTHING_SPAN_S

    def _measure_capacity(self, now: float, running: int) -> None:
        """While cores are idle nothing tells how much they could do: back to what is configured."""
        if running >= self._cores:
            self._busy_for_s += TICK_INTERVAL_S
            if self._busy_for_s > COMPLETED_SPAN_S / 2:
                error = self._completed.read(now) - self.capacity
                self.capacity += error * TICK_INTERVAL_S / COMPLETED_SPAN_S
        else:
            self._busy_for_s = 0.0
            self.capacity += (self._cores - self.capacity) * TICK_INTERVAL_S / COMPLETED_SPAN_S
        least = MIN_CAPACITY * self._cores
        most = MAX_CAPACITY * self._cores
        self.capacity = min(most, max(least, self.capacity))

    def value_at(self, rate: float, now: float) -> float:
        """What the threshold would be where so many of such requests came in a second."""
        mean_cost = self._arrived_work.read(now) / max(LEAST_DIVISOR, self._arrivals.read(now))
        return min(1.0, self.capacity / max(LEAST_DIVISOR, rate * mean_cost))
