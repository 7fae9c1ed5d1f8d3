"""Detects overload of a worker, and estimates the request rate that it can afford, from periodic samples.

A worker is overloaded if the offered load costs more CPU time than is available, or if the event loop is
late. Both signals are needed. The loop delay shows overload at once, but falls as soon as load is shed, so it
cannot tell when shedding may end. The CPU time of the whole offered load can, as it also counts requests that
are rejected.
"""

from dataclasses import dataclass, field
from typing import Any

from ochrehoist.overload.delay_histogram import DelayHistogram

MILLISECOND_S = 0.001
MICROSECOND_S = 1e-6
SAMPLE_INTERVAL_S = 0.1
SMOOTHING = 0.3  # weight of the latest sample in moving means
CPU_UTILISATION_TARGET = 0.85  # bursts and garbage collections need the rest of the available CPU time
OVERLOAD_DELAY_S = 0.020  # loop delay that counts as overload; less than half of the guaranteed 50 ms
RECOVERY_DELAY_S = 0.010  # loop delay below which the worker can recover
RECOVERY_LOAD_FRACTION = 0.9  # offered rate below which it can recover, as a fraction of the affordable rate
# Costs are learned above this fraction of the available CPU time; below it the CPU time that does not depend
# on requests would distort them.
MIN_UTILISATION_TO_LEARN = 0.25
MIN_REQUESTS_TO_LEARN = 5
MIN_BUSY_S_FOR_SHARE = 5 * MILLISECOND_S  # busy time that a sample needs for measuring the CPU share
BUSY_LOOP_FRACTION = 0.7  # busy fraction of the event loop above which an excessive rate counts as overload
SAMPLES_TO_RECOVER = 10  # spans the usual time between bursts, so that the state does not flap with each
SAMPLES_TO_OVERLOAD = 2  # a single late sample may be a garbage collection or a pause of the machine
MEMORY_HIGH_FRACTION = 0.80  # fraction of the memory limit from which the admitted rate is reduced
MEMORY_FULL_FRACTION = 0.95  # fraction of the memory limit from which only filings are admitted
# Minimum affordable rate: this multiple of the rate of started runs, plus this number of requests per second.
MIN_ADMITTED_PER_RUN_STARTED = 2.0
MIN_EXTRA_ADMITTED_PER_S = 20.0
MIN_CPU_SHARE = 0.02  # lower bound of the measured CPU share, for a starved worker
INITIAL_COST_S = 300e-6  # CPU time of a request until it is measured
MIN_ADMITTED_COST_S = 20 * MICROSECOND_S
MIN_REJECTED_COST_S = 5 * MICROSECOND_S
MIN_DELAY_GAIN = 0.2


@dataclass(slots=True)
class LoadSample:
    """Measurements since the previous sample."""

    at_s: float
    cpu_s: float  # CPU time of this process
    busy_s: float  # wall time in iterations of the event loop
    loop_delay_s: float  # longest delay of a runnable task
    admitted: int = 0  # requests that passed early rejection
    rejected: int = 0  # requests that were rejected early
    rss_bytes: int = 0
    unread_bytes: int = 0  # bytes in the socket buffers
    runs_started: int = 0


@dataclass
class OverloadDetector:
    """Overload detection with hysteresis, and an estimate of the request rate that the worker can afford."""

    memory_limit_bytes: int
    overloaded: bool = False
    affordable_per_s: float = float("inf")  # requests that can be admitted per second
    cpu_share: float = 1.0  # fraction of a CPU that this process gets while it is busy
    admitted_cost_s: float = INITIAL_COST_S  # CPU time of an admitted request
    rejected_cost_s: float = INITIAL_COST_S / 4  # CPU time of an early rejection
    offered_per_s: float = 0.0  # requests per second, including those rejected early
    runs_started_per_s: float = 0.0
    loop_delay_s: float = 0.0
    rss_bytes: int = 0
    unread_bytes: int = 0
    delay_gain: float = 1.0  # lowers the affordable rate while the loop is late, independently of the costs
    overload_count: int = 0
    changed_s: float = 0.0  # when `overloaded` last changed
    delays: DelayHistogram = field(default_factory=DelayHistogram)
    _sampled_s: float | None = None
    _overloaded_samples: int = 0
    _recovery_samples: int = 0

    def observe(self, sample: LoadSample) -> None:
        """Updates all estimates and the overload state from a sample."""
        interval_s = SAMPLE_INTERVAL_S
        if self._sampled_s is not None:
            interval_s = max(1e-3, sample.at_s - self._sampled_s)
        self._sampled_s = sample.at_s
        self.loop_delay_s = sample.loop_delay_s
        self.rss_bytes = sample.rss_bytes
        self.unread_bytes = sample.unread_bytes
        self._learn_cpu_share(sample)
        self._learn_costs(sample, interval_s)
        # Rates use the measured interval, as the sample after a pause of the machine covers the whole pause.
        self.offered_per_s += SMOOTHING * (
            (sample.admitted + sample.rejected) / interval_s - self.offered_per_s
        )
        self.runs_started_per_s += SMOOTHING * (sample.runs_started / interval_s - self.runs_started_per_s)
        self._adjust_delay_gain(sample)
        self.affordable_per_s = self._affordable_rate(sample)
        self._update_state(sample, interval_s)

    def _learn_cpu_share(self, sample: LoadSample) -> None:
        if sample.busy_s > MIN_BUSY_S_FOR_SHARE:
            measured = min(1.0, max(MIN_CPU_SHARE, sample.cpu_s / sample.busy_s))
            self.cpu_share += SMOOTHING * (measured - self.cpu_share)

    def _learn_costs(self, sample: LoadSample, interval_s: float) -> None:
        """Updates at most one of the two costs from a sample; the other is assumed to be correct."""
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
        """Returns the rate (per second) at which requests can be admitted with the CPU time and memory left.

        It is the admitted rate `a` that solves
        a * admitted_cost + (offered - a) * rejected_cost = cpu_budget.
        """
        cpu_budget = self.cpu_share * CPU_UTILISATION_TARGET * self.delay_gain
        rate = (cpu_budget - self.offered_per_s * self.rejected_cost_s) / max(
            1e-9, self.admitted_cost_s - self.rejected_cost_s
        )
        # Rejecting a flood may cost more CPU time than is available; the cores must be kept busy even then.
        minimum = MIN_ADMITTED_PER_RUN_STARTED * self.runs_started_per_s + MIN_EXTRA_ADMITTED_PER_S
        return max(minimum, rate) * self._memory_headroom(sample.rss_bytes)

    def _memory_headroom(self, rss_bytes: int) -> float:
        """Returns 1 up to the high fraction of memory use, falling linearly to 0 at the full fraction."""
        used = rss_bytes / self.memory_limit_bytes
        return min(
            1.0,
            max(0.0, (MEMORY_FULL_FRACTION - used) / (MEMORY_FULL_FRACTION - MEMORY_HIGH_FRACTION)),
        )

    def _update_state(self, sample: LoadSample, interval_s: float) -> None:
        """Changes the overload state after several consecutive samples that agree."""
        rate_exceeded = (
            self.offered_per_s > self.affordable_per_s and sample.busy_s > BUSY_LOOP_FRACTION * interval_s
        )
        late = sample.loop_delay_s > OVERLOAD_DELAY_S
        recovered = (
            self.offered_per_s < RECOVERY_LOAD_FRACTION * self.affordable_per_s
            and sample.loop_delay_s < RECOVERY_DELAY_S
        )
        self._overloaded_samples = self._overloaded_samples + 1 if late or rate_exceeded else 0
        self._recovery_samples = self._recovery_samples + 1 if recovered else 0
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
        """Returns the detector's state as plain values under the published status keys."""
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
