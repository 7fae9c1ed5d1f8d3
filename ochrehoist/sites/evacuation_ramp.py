"""How a worker that is evacuated gives up its load, with time for those who take it. No I/O; seconds."""

from ochrehoist.sites.peer_workers import PeerBaseline

STAGES = (0.7, 0.4, 0.15, 0.0)  # of its usual load
MIN_STAGE_S = 0.5
MAX_STAGE_S = 3.0  # whatever becomes of the others
CROWDED_THRESHOLD = 0.97  # of the others, under which they are given time


class EvacuationRamp:
    """The way out of one worker, by stages."""

    def __init__(self, now: float, reason: str) -> None:
        self.started_at = now
        self.reason = reason
        self._stage = 0
        self._entered_at = now

    @property
    def load_fraction(self) -> float:
        """Of the usual load, that this worker asks for."""
        return STAGES[self._stage]

    @property
    def is_empty(self) -> bool:
        """Whether it asks for nothing any more."""
        return self._stage == len(STAGES) - 1

    def evaluate(self, now: float, baseline: PeerBaseline) -> bool:
        """Ten times a second; whether the next stage was entered."""
        at_stage_s = now - self._entered_at
        if self.is_empty or at_stage_s < MIN_STAGE_S:
            return False
        if baseline.threshold < CROWDED_THRESHOLD and at_stage_s < MAX_STAGE_S:
            return False
        self._stage = self._stage + 1
        self._entered_at = now
        return True
