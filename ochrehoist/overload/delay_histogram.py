"""A histogram of delays over the last minute or two."""

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MICROSECOND_S = 1e-6
MAX_DELAY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
HALF_S = 60.0  # for how long one of the two histograms is filled


class DelayHistogram:
    """Delays in seconds, held in two histograms of which the older one is dropped in turn."""

    def __init__(self) -> None:
        self._halves = [self._empty(), self._empty()]  # the one being filled comes first
        self._rotated_s = 0.0

    def add(self, now_s: float, delay_s: float) -> None:
        """Counts one delay, as seen at `now_s`."""
        if now_s - self._rotated_s > HALF_S:
            self._rotated_s = now_s
            self._halves = [self._empty(), self._halves[0]]
        self._halves[0].record_value(max(1, min(MAX_DELAY_US, int(delay_s / MICROSECOND_S))))

    def quantile(self, fraction: float) -> float:
        """Seconds, of the half that holds most; 0 where nothing was counted."""
        fullest = max(self._halves, key=lambda half: half.get_total_count())
        if not fullest.get_total_count():
            return 0.0
        return float(fullest.get_value_at_percentile(fraction * 100) * MICROSECOND_S)

    @staticmethod
    def _empty() -> HdrHistogram:
        return HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)
