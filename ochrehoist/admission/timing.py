"""Time constants shared by the components of the admission controller."""

from ochrehoist.units import NS_PER_S

TICK_INTERVAL_NS = NS_PER_S // 10  # interval between checks of deadlines, backpressure and health
DECAY_S = 20.0  # decay time constant: an observation of this age counts for 1/e
