"""Time constants shared by the components of the admission controller."""

from ochrehoist.units import NS_PER_S

TICK_INTERVAL_NS = NS_PER_S // 10  # interval between checks of deadlines, backpressure and health
DECAY_TIME_S = 20.0  # time constant of decaying observations: one of this age counts for 1/e
