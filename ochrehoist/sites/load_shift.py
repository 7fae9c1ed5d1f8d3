"""How a worker at full service asks for less than its share while it is worse off than the others.

No I/O; seconds.
"""

from ochrehoist.sites.peer_workers import PeerBaseline

INTERVAL_S = 1.0
MIN_LOAD_FRACTION = 0.3
DECREASE_FACTOR = 0.9
INCREASE = 0.05
MAX_DEFICIT = 0.08  # of the threshold against the others, before the load decreases
TOLERANCE = 0.02  # within which it counts as theirs, and the load increases


class LoadShift:
    """Decreases the load by a factor, and increases it by an amount, once a second."""

    def __init__(self, now: float) -> None:
        self.load_fraction = 1.0
        self._evaluated_at = now

    def evaluate(self, now: float, threshold: float, baseline: PeerBaseline) -> None:
        """Ten times a second; `threshold`: this worker's own, on a mean."""
        if now - self._evaluated_at < INTERVAL_S:
            return
        self._evaluated_at = now
        if baseline.count and threshold < baseline.capped_threshold - MAX_DEFICIT:
            self.load_fraction = max(MIN_LOAD_FRACTION, self.load_fraction * DECREASE_FACTOR)
        elif not baseline.count or threshold >= baseline.capped_threshold - TOLERANCE:
            self.load_fraction = min(1.0, self.load_fraction + INCREASE)
