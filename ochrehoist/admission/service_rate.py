"""The service rate as a function of concurrency, learned from successful runs."""

from math import exp

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.admission.timing import DECAY_S
from ochrehoist.units import NS_PER_S

SURVIVABLE_SHARE = 0.8  # of the concurrency at which the instance collapses; returns from calls come on top
SEED_RUN_TIME_DIVISOR = 4  # a run is taken to last 1/4 of the mean objective until one was seen
PRIOR_S = 10.0  # of observation at one concurrency that weigh as much as the seed curve
SEED_DECLINE = 0.95  # share of the peak that the seed curve loses from the cores to the maximum
MIN_RATE_PER_S = 1e-9


class ServiceRateCurve:
    """Runs completed per second with n running; in the paper mu(n).

    Until enough was observed at some n its rate is that of a seed curve: proportional up to the number of
    cores, then falling linearly up to `max_concurrency`.
    """

    def __init__(self, cores: int, max_concurrency: int, peak_rate_per_s: float) -> None:
        """`max_concurrency`: runs that the instance survives; `peak_rate_per_s`: a guess to start with."""
        self.cores = cores
        self.max_concurrency = max_concurrency
        self.peak_rate_per_s = peak_rate_per_s
        self.observed_s = [0.0] * (max_concurrency + 2)  # by concurrency; the last counts all above
        self.completions = [0.0] * (max_concurrency + 2)

    def observe_time(self, running: int, elapsed_s: float) -> None:
        """So many were running for so long."""
        self.observed_s[min(running, self.max_concurrency + 1)] += elapsed_s

    def observe_completion(self, running: int, counts: bool) -> None:
        """One of so many has completed; it teaches nothing unless it `counts`."""
        self.completions[min(running, self.max_concurrency + 1)] += counts

    def seed_share(self, running: int) -> float:
        """The seed curve, as a share of its peak."""
        decline = SEED_DECLINE * (running - self.cores) / (self.max_concurrency - self.cores)
        return min(running / self.cores, 1 - decline)

    def decay(self, elapsed_s: float) -> None:
        """Ages all observations by this time, and fits the peak of the seed curve to them."""
        kept = exp(-elapsed_s / DECAY_S)
        self.observed_s = [observed * kept for observed in self.observed_s]
        self.completions = [count * kept for count in self.completions]
        offered = sum(observed * self.seed_share(n) for n, observed in enumerate(self.observed_s))
        self.peak_rate_per_s = (sum(self.completions) + self.peak_rate_per_s) / (offered + 1)

    def rate_per_s(self, running: int) -> float:
        """The expected completions per second with so many running; always above 0."""
        at = min(running, self.max_concurrency + 1)
        expected = PRIOR_S * self.peak_rate_per_s * self.seed_share(at)
        return max(MIN_RATE_PER_S, (self.completions[at] + expected) / (self.observed_s[at] + PRIOR_S))

    def restore(self, peak_rate_per_s: float, observed_s: list[float], completions: list[float]) -> None:
        """Continues from a curve of the same cores and maximum that was learned elsewhere."""
        self.peak_rate_per_s = max(MIN_RATE_PER_S, peak_rate_per_s)
        self.observed_s = observed_s
        self.completions = completions


def seed_curve(settings: AdmissionSettings, mean_objective_ns: float) -> ServiceRateCurve:
    """The curve of an instance that has observed nothing yet."""
    cores = settings.cores
    survivable = int(cores * settings.collapse_multiple * SURVIVABLE_SHARE)
    peak_rate_per_s = cores / (mean_objective_ns / NS_PER_S / SEED_RUN_TIME_DIVISOR)
    return ServiceRateCurve(cores, max(cores + 1, survivable), peak_rate_per_s)
