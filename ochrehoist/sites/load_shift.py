"""Shifting load away from a worker that is more overloaded than its peers.

Additive increase and multiplicative decrease of the requested load. No I/O; times are in seconds.
"""

from ochrehoist.sites.peer_workers import PeerBaseline

INTERVAL_S = 1.0
MIN_LOAD_FRACTION = 0.3
DECREASE_FACTOR = 0.9
INCREASE = 0.05
MAX_THRESHOLD_DEFICIT = 0.08  # further below the peers' threshold, the load decreases
THRESHOLD_TOLERANCE = 0.02  # at most this far below the peers' threshold, the load increases


class LoadShift:
    """The load fraction of a worker at full service, adjusted every INTERVAL_S."""

    def __init__(self, now: float) -> None:
        self.load_fraction = 1.0
        self._evaluated_at = now

    def evaluate(self, now: float, threshold: float, baseline: PeerBaseline) -> None:
        """Adjusts the load if it is due; `threshold` is this worker's smoothed admission threshold."""
        if now - self._evaluated_at < INTERVAL_S:
            return
        self._evaluated_at = now
        if baseline.count and threshold < baseline.capped_threshold - MAX_THRESHOLD_DEFICIT:
            self.load_fraction = max(MIN_LOAD_FRACTION, self.load_fraction * DECREASE_FACTOR)
        elif not baseline.count or threshold >= baseline.capped_threshold - THRESHOLD_TOLERANCE:
            self.load_fraction = min(1.0, self.load_fraction + INCREASE)
