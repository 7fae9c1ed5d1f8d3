"""Service rate as a function of concurrency, learned from successful runs."""

from math import exp

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.admission.timing import DECAY_TIME_S
from ochrehoist.units import NS_PER_S

# Share of the concurrency at which the instance collapses; the rest is for runs that return from their calls.
SURVIVABLE_SHARE = 0.8
SEED_RUN_TIME_DIVISOR = 4  # the seed curve assumes runs of 1/4 of the mean latency objective
PRIOR_S = 10.0  # the seed curve weighs as much as this observation time at one concurrency
SEED_DECLINE = 0.95  # share of the peak that the seed curve loses from the cores to the maximum
MIN_RATE_PER_S = 1e-9


class ServiceRateCurve:
    """Completions per second with n requests running; mu(n) in the LIGHT-APPROX paper.

    While little was observed at some n, its rate follows a seed curve, which is proportional to n up to the
    number of cores and then falls linearly up to `max_concurrency`.
    """

    def __init__(self, cores: int, max_concurrency: int, peak_rate_per_s: float) -> None:
        """`max_concurrency`: runs that the instance survives; `peak_rate_per_s`: initial estimate."""
        self.cores = cores
        self.max_concurrency = max_concurrency
        self.peak_rate_per_s = peak_rate_per_s
        self.observed_s = [0.0] * (max_concurrency + 2)  # by concurrency; the last counts all above
        self.completions = [0.0] * (max_concurrency + 2)

    def observe_time(self, running: int, elapsed_s: float) -> None:
        """Adds observation time at a concurrency."""
        self.observed_s[min(running, self.max_concurrency + 1)] += elapsed_s

    def observe_completion(self, running: int, is_warm: bool) -> None:
        """Counts a completion at a concurrency; not counted unless the instance is warm."""
        self.completions[min(running, self.max_concurrency + 1)] += is_warm

    def seed_share(self, running: int) -> float:
        """Returns the rate of the seed curve as a share of its peak."""
        decline = SEED_DECLINE * (running - self.cores) / (self.max_concurrency - self.cores)
        return min(running / self.cores, 1 - decline)

    def decay(self, elapsed_s: float) -> None:
        """Decays all observations by this time, and fits the peak of the seed curve to them."""
        kept = exp(-elapsed_s / DECAY_TIME_S)
        self.observed_s = [observed * kept for observed in self.observed_s]
        self.completions = [count * kept for count in self.completions]
        offered = sum(observed * self.seed_share(n) for n, observed in enumerate(self.observed_s))
        self.peak_rate_per_s = (sum(self.completions) + self.peak_rate_per_s) / (offered + 1)

    def rate_per_s(self, running: int) -> float:
        """Returns the expected completions per second at a concurrency; always above 0."""
        level = min(running, self.max_concurrency + 1)
        expected = PRIOR_S * self.peak_rate_per_s * self.seed_share(level)
        return max(MIN_RATE_PER_S, (self.completions[level] + expected) / (self.observed_s[level] + PRIOR_S))

    def restore(self, peak_rate_per_s: float, observed_s: list[float], completions: list[float]) -> None:
        """Sets a learned curve of an instance with the same cores and maximum concurrency."""
        self.peak_rate_per_s = max(MIN_RATE_PER_S, peak_rate_per_s)
        self.observed_s = observed_s
        self.completions = completions


def seed_curve(settings: AdmissionSettings, mean_objective_ns: float) -> ServiceRateCurve:
    """Returns the initial curve of an instance without observations."""
    cores = settings.cores
    survivable = int(cores * settings.collapse_multiple * SURVIVABLE_SHARE)
    peak_rate_per_s = cores / (mean_objective_ns / NS_PER_S / SEED_RUN_TIME_DIVISOR)
    return ServiceRateCurve(cores, max(cores + 1, survivable), peak_rate_per_s)
