"""The staged reduction of an evacuated worker's load, paced by the peers that take it over.

No I/O; times are in seconds.
"""

from ochrehoist.sites.peer_workers import PeerBaseline

STAGES = (0.7, 0.4, 0.15, 0.0)  # fractions of the usual load
MIN_STAGE_S = 0.5
MAX_STAGE_S = 3.0  # the next stage follows after this time even if the peers are overloaded
OVERLOADED_PEERS_THRESHOLD = 0.97  # below this mean threshold, peers get more time to absorb the load


class EvacuationRamp:
    """The evacuation of one worker in stages."""

    def __init__(self, now: float, reason: str) -> None:
        self.started_at = now
        self.reason = reason
        self._stage = 0
        self._entered_at = now

    @property
    def load_fraction(self) -> float:
        """The fraction of its usual load that this worker requests."""
        return STAGES[self._stage]

    @property
    def is_empty(self) -> bool:
        """Whether the last stage is reached, at which the worker requests no load."""
        return self._stage == len(STAGES) - 1

    def evaluate(self, now: float, baseline: PeerBaseline) -> bool:
        """Enters the next stage if it is due, and returns whether it did; called at each tick."""
        stage_duration_s = now - self._entered_at
        if self.is_empty or stage_duration_s < MIN_STAGE_S:
            return False
        if baseline.threshold < OVERLOADED_PEERS_THRESHOLD and stage_duration_s < MAX_STAGE_S:
            return False
        self._stage = self._stage + 1
        self._entered_at = now
        return True
