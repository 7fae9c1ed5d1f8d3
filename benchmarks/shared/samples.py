"""Statistics of measured samples."""

from collections.abc import Sequence

MEDIAN = 0.5
P99 = 0.99
P999 = 0.999
MS_PER_S = 1000
US_PER_S = 1_000_000


def percentile(samples: Sequence[float], share: float) -> float:
    """The sample below which `share` (0 to 1) of them lie, by nearest rank; `samples` must not be empty."""
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def percentile_ms(samples_s: Sequence[float], share: float) -> float:
    """The same in milliseconds, of samples in seconds."""
    return percentile(samples_s, share) * MS_PER_S


def rounded_percentile_ms(samples_s: Sequence[float], share: float, digits: int = 1) -> float | None:
    """The same, rounded for a report; None where nothing was measured."""
    return round(percentile_ms(samples_s, share), digits) if samples_s else None
