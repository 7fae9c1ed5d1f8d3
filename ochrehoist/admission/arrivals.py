"""Arrival statistics: request rate, share of retries, and how long requests wait to be read."""

from math import exp

from ochrehoist.admission.decaying_mean import DecayingMean
from ochrehoist.admission.events import RequestReceived
from ochrehoist.admission.timing import TICK_INTERVAL_NS
from ochrehoist.units import NS_PER_S

RATE_DECAY_TIME_S = 5.0
DECAY_PER_TICK = exp(-TICK_INTERVAL_NS / NS_PER_S / RATE_DECAY_TIME_S)
RETRY_DECAY_TIME_S = 2.0
RETRY_INITIAL_WEIGHT = 10.0  # the initial value counts as this many samples
UNREAD_DECAY_TIME_S = 0.7


class ArrivalMonitor:
    """Decaying means over recently received requests."""

    def __init__(self) -> None:
        self.rate_per_s = 0.0
        self.retry_share = DecayingMean(RETRY_DECAY_TIME_S, 0.0, RETRY_INITIAL_WEIGHT)
        self.unread_ns = DecayingMean(UNREAD_DECAY_TIME_S)  # time between arrival and reading

    def observe(self, request: RequestReceived, now_ns: int) -> None:
        """Counts a received request."""
        self.rate_per_s = self.rate_per_s + 1 / RATE_DECAY_TIME_S
        self.retry_share.add(now_ns, request.is_retry)
        self.unread_ns.add(now_ns, request.unread_ns)

    def unread_requests(self) -> int:
        """Returns the number of requests that are waiting to be read, estimated by Little's law."""
        return int(self.rate_per_s * self.unread_ns.value / NS_PER_S)

    def tick(self) -> None:
        """Decays the rate by one tick."""
        self.rate_per_s *= DECAY_PER_TICK

    def restore_rate(self, rate_per_s: float) -> None:
        """Sets the rate to one that another controller has learned."""
        self.rate_per_s = rate_per_s
