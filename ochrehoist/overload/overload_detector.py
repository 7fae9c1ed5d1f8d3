"""Whether a worker is overloaded, and what request rate it can afford, from samples of itself.

It is overloaded when what is offered costs more processor time than there is, or when tasks run late. Both
are needed: delay tells it at once but vanishes as soon as load shedding helps, so it can't tell when
shedding may end; the processor time that all that is offered would cost can, as it counts what is shed too.
"""

from dataclasses import dataclass, field
from typing import Any

from ochrehoist.overload.delay_histogram import DelayHistogram

MILLISECOND_S = 0.001
MICROSECOND_S = 1e-6
SAMPLE_INTERVAL_S = 0.1
SMOOTHING = 0.3  # weight of the latest sample
CPU_UTILISATION_TARGET = 0.85  # of the processor time available: bursts and collections need the rest
OVERLOAD_DELAY_S = (
    0.020  # loop delay from which on it counts as overloaded: less than half of the 50 ms promised
)
RECOVERY_DELAY_S = 0.010  # and under which it may count as well again
RECOVERY_LOAD_FRACTION = 0.9  # of the affordable rate, under which all that is offered must be
MIN_UTILISATION_TO_LEARN = 0.25  # of the processor time available: below, the program's own work would count
MIN_REQUESTS_TO_LEARN = 5
MIN_BUSY_S_FOR_SHARE = 5 * MILLISECOND_S  # in a sample, for it to tell our share of a processor
BUSY_LOOP_FRACTION = 0.7  # of the time in loop iterations, from which on an excess rate counts as overload
SAMPLES_TO_RECOVER = 10  # as long as two bursts are apart, or the state would flap with each
SAMPLES_TO_OVERLOAD = 2  # one late sample is a garbage collection, or a pause of the machine
MEMORY_HIGH_FRACTION = 0.80  # of the limit, from where on less is admitted,
MEMORY_FULL_FRACTION = 0.95  # and nothing but filings
MIN_ADMITTED_PER_RUN_STARTED = 2.0  # what is admitted whatever comes: so many times the run rate,
MIN_EXTRA_ADMITTED_PER_S = 20.0  # and so many more
MIN_CPU_SHARE = 0.02  # that a starved worker is taken to have
INITIAL_COST_S = 300e-6  # processor time of a request, until it is measured
MIN_ADMITTED_COST_S = 20 * MICROSECOND_S
MIN_REJECTED_COST_S = 5 * MICROSECOND_S
MIN_DELAY_GAIN = 0.2


@dataclass(slots=True)
class LoadSample:
    """What was counted since the sample before."""

    at_s: float
    cpu_s: float  # processor time of this process
    busy_s: float  # time that iterations of the event loop took
    loop_delay_s: float  # the longest that anything runnable waited
    admitted: int = 0  # requests that passed early rejection
    rejected: int = 0  # and those that did not
    rss_bytes: int = 0
    unread_bytes: int = 0  # in the socket buffers
    runs_started: int = 0


@dataclass
class OverloadDetector:
    """Detects overload with hysteresis, and estimates the request rate that the worker can afford."""

    memory_limit_bytes: int
    overloaded: bool = False
    affordable_per_s: float = float("inf")  # requests that may be admitted
    cpu_share: float = 1.0  # of a processor, that this process gets while it wants one
    admitted_cost_s: float = INITIAL_COST_S  # processor time of one request that is admitted
    rejected_cost_s: float = INITIAL_COST_S / 4  # and of one that is rejected early
    offered_per_s: float = 0.0  # requests, with those rejected early
    runs_started_per_s: float = 0.0
    loop_delay_s: float = 0.0
    rss_bytes: int = 0
    unread_bytes: int = 0
    delay_gain: float = 1.0  # lowers the affordable rate while the loop is late whatever the costs say
    overload_count: int = 0
    changed_s: float = 0.0  # when `overloaded` last changed
    delays: DelayHistogram = field(default_factory=DelayHistogram)
    _sampled_s: float | None = None
    _overloaded_samples: int = 0
    _recovery_samples: int = 0

    def observe(self, sample: LoadSample) -> None:
        """Takes a sample and decides anew."""
        interval_s = SAMPLE_INTERVAL_S
        if self._sampled_s is not None:
            interval_s = max(1e-3, sample.at_s - self._sampled_s)
        self._sampled_s = sample.at_s
        self.loop_delay_s = sample.loop_delay_s
        self.rss_bytes = sample.rss_bytes
        self.unread_bytes = sample.unread_bytes
        self._learn_cpu_share(sample)
        self._learn_costs(sample, interval_s)
        # By the interval as measured: a pause of the machine brings in one sample what came in all of it.
        self.offered_per_s += SMOOTHING * (
            (sample.admitted + sample.rejected) / interval_s - self.offered_per_s
        )
        self.runs_started_per_s += SMOOTHING * (sample.runs_started / interval_s - self.runs_started_per_s)
        self._adjust_delay_gain(sample)
        self.affordable_per_s = self._affordable_rate(sample)
        self._decide(sample, interval_s)

    def _learn_cpu_share(self, sample: LoadSample) -> None:
        if sample.busy_s > MIN_BUSY_S_FOR_SHARE:
            measured = min(1.0, max(MIN_CPU_SHARE, sample.cpu_s / sample.busy_s))
            self.cpu_share += SMOOTHING * (measured - self.cpu_share)

    def _learn_costs(self, sample: LoadSample, interval_s: float) -> None:
        """One sample tells one of the two costs at most, the other taken as known."""
        if sample.admitted + sample.rejected < MIN_REQUESTS_TO_LEARN:
            return
        if sample.cpu_s < MIN_UTILISATION_TO_LEARN * self.cpu_share * interval_s:
            return
        if sample.rejected > 4 * sample.admitted:
            rest_s = max(0.0, sample.cpu_s - sample.admitted * self.admitted_cost_s)
            self.rejected_cost_s += SMOOTHING * (rest_s / sample.rejected - self.rejected_cost_s)
        elif sample.admitted > sample.rejected:
            rest_s = max(0.0, sample.cpu_s - sample.rejected * self.rejected_cost_s)
            self.admitted_cost_s += SMOOTHING * (rest_s / sample.admitted - self.admitted_cost_s)
        self.admitted_cost_s = max(MIN_ADMITTED_COST_S, self.admitted_cost_s)
        self.rejected_cost_s = max(MIN_REJECTED_COST_S, min(self.rejected_cost_s, self.admitted_cost_s))

    def _adjust_delay_gain(self, sample: LoadSample) -> None:
        if sample.loop_delay_s > OVERLOAD_DELAY_S:
            self.delay_gain = max(MIN_DELAY_GAIN, self.delay_gain * 0.9)
        elif sample.loop_delay_s < RECOVERY_DELAY_S:
            self.delay_gain = min(1.0, self.delay_gain + 0.02)

    def _affordable_rate(self, sample: LoadSample) -> float:
        """Requests a second that fit into the processor time left by rejecting all others, and into memory.

        Solved for the admitted rate `a`: a * admitted_cost + (offered - a) * rejected_cost = cpu_budget.
        """
        cpu_budget = self.cpu_share * CPU_UTILISATION_TARGET * self.delay_gain
        rate = (cpu_budget - self.offered_per_s * self.rejected_cost_s) / max(
            1e-9, self.admitted_cost_s - self.rejected_cost_s
        )
        # A flood may cost more to reject than there is: the cores must have something to run all the same.
        minimum = MIN_ADMITTED_PER_RUN_STARTED * self.runs_started_per_s + MIN_EXTRA_ADMITTED_PER_S
        return max(minimum, rate) * self._memory_headroom(sample.rss_bytes)

    def _memory_headroom(self, rss_bytes: int) -> float:
        """From 1 at the high mark down to 0 at the full mark."""
        used = rss_bytes / self.memory_limit_bytes
        return min(
            1.0,
            max(0.0, (MEMORY_FULL_FRACTION - used) / (MEMORY_FULL_FRACTION - MEMORY_HIGH_FRACTION)),
        )

    def _decide(self, sample: LoadSample, interval_s: float) -> None:
        """Several samples in a row must agree before the state changes."""
        too_much_offered = (
            self.offered_per_s > self.affordable_per_s and sample.busy_s > BUSY_LOOP_FRACTION * interval_s
        )
        late = sample.loop_delay_s > OVERLOAD_DELAY_S
        calm = (
            self.offered_per_s < RECOVERY_LOAD_FRACTION * self.affordable_per_s
            and sample.loop_delay_s < RECOVERY_DELAY_S
        )
        self._overloaded_samples = self._overloaded_samples + 1 if late or too_much_offered else 0
        self._recovery_samples = self._recovery_samples + 1 if calm else 0
        if not self.overloaded and self._overloaded_samples >= SAMPLES_TO_OVERLOAD:
            self.overloaded = True
            self.changed_s = sample.at_s
            self.overload_count += 1
            self._recovery_samples = 0
        elif self.overloaded and self._recovery_samples >= SAMPLES_TO_RECOVER:
            self.overloaded = False
            self.changed_s = sample.at_s
            self.delay_gain = 1.0

    def status_section(self) -> dict[str, Any]:
        """For operators, in plain values, under the published status keys."""
        return {
            "behind": self.overloaded,
            "times_behind": self.overload_count,
            "loop_delay_ms": {
                f"p{percent}": round(self.delays.quantile(percent / 100) / MILLISECOND_S, 2)
                for percent in (50, 99)
            },
            "share_of_a_core": round(self.cpu_share, 2),
            "cost_us": round(self.admitted_cost_s / MICROSECOND_S),
            "shed_cost_us": round(self.rejected_cost_s / MICROSECOND_S),
            "offered_per_s": round(self.offered_per_s, 1),
            "affordable_per_s": None
            if self.affordable_per_s == float("inf")
            else round(self.affordable_per_s, 1),
            "rss_mb": round(self.rss_bytes / 1e6, 1),
            "unread_bytes": self.unread_bytes,
        }
