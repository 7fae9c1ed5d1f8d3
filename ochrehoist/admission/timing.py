"""The periods that all parts of the decisions share."""

from ochrehoist.units import NS_PER_S

TICK_INTERVAL_NS = NS_PER_S // 10  # between two checks of deadlines, backpressure and health
DECAY_S = 20.0  # after which an observation counts for 1/e
