"""A histogram of delays over the last one to two minutes."""

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MICROSECOND_S = 1e-6
MAX_DELAY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
ROTATION_PERIOD_S = 60.0


class DelayHistogram:
    """Delays in two histograms; once per rotation period the older one is replaced by an empty one."""

    def __init__(self) -> None:
        self._histograms = [self._empty(), self._empty()]  # current, previous
        self._rotated_s = 0.0

    def add(self, now_s: float, delay_s: float) -> None:
        """Adds one delay, measured at `now_s`."""
        if now_s - self._rotated_s > ROTATION_PERIOD_S:
            self._rotated_s = now_s
            self._histograms = [self._empty(), self._histograms[0]]
        self._histograms[0].record_value(max(1, min(MAX_DELAY_US, int(delay_s / MICROSECOND_S))))

    def quantile(self, fraction: float) -> float:
        """Returns a quantile (s) of the histogram with more delays; 0 without any delay."""
        fullest = max(self._histograms, key=lambda histogram: histogram.get_total_count())
        if not fullest.get_total_count():
            return 0.0
        return float(fullest.get_value_at_percentile(fraction * 100) * MICROSECOND_S)

    @staticmethod
    def _empty() -> HdrHistogram:
        return HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)
