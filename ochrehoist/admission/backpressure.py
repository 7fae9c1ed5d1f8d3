"""What is signalled to callers: the backpressure value, and when idle connections are closed."""

from math import exp

from ochrehoist.admission.actions import Action, SendBackpressure, SetIdleTimeout
from ochrehoist.admission.arrivals import ArrivalMonitor
from ochrehoist.admission.caller_activity import CallerTracker
from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.mpl_policy import MplPolicy
from ochrehoist.admission.settings import AdmissionSettings, BackpressureSignal
from ochrehoist.admission.timing import TICK_INTERVAL_NS
from ochrehoist.units import NS_PER_S

TARGET_LATENCY_SHARE = (
    0.5  # of the mean objective that requests may spend here before callers should send less
)
MIN_CHANGE_SHARE = 0.02  # of the value that was sent last: less is not worth sending
MIN_REUSE_SHARE = 0.5  # of idle connections whose callers come back in time: above it they are left open


class Backpressure:
    """Computes the value of the site's backpressure signal, and remembers what was sent."""

    def __init__(
        self,
        settings: AdmissionSettings,
        mean_objective_ns: float,
        policy: MplPolicy,
        concurrency: ConcurrencyTracker,
        arrivals: ArrivalMonitor,
        callers: CallerTracker,
    ) -> None:
        """Nothing was sent."""
        self._settings = settings
        self._mean_objective_ns = mean_objective_ns
        self._policy = policy
        self._concurrency = concurrency
        self._arrivals = arrivals
        self._callers = callers
        self._sent_value = -1.0
        self._sent_idle_timeout_ns: int | None = None

    def update(self, healthy: bool) -> list[Action]:
        """What is to be sent and set at a tick, where it differs from the last time."""
        actions = self._changed_signal(healthy), self._idle_timeout()
        return [action for action in actions if action is not None]

    def _changed_signal(self, healthy: bool) -> SendBackpressure | None:
        """The value to send, if it differs enough from the last one."""
        signal = self._settings.backpressure
        if signal is BackpressureSignal.NONE:
            return None
        if signal is BackpressureSignal.THRESHOLD:
            value = 0.0 if healthy else 1 - 1 / len(self._settings.classes)
        elif signal is BackpressureSignal.WEIGHT:
            value = float(healthy)
        else:
            value = self._window() if healthy else 0.0
        if not abs(value - self._sent_value) > MIN_CHANGE_SHARE * self._sent_value:
            return None
        self._sent_value = value
        return SendBackpressure(value)

    def _window(self) -> float:
        """How many requests one caller may have outstanding, so that they spend the target time here."""
        rate_per_s = self._policy.saturated_rate_per_s(self._concurrency.running)
        target_ns = TARGET_LATENCY_SHARE * self._mean_objective_ns
        capacity = rate_per_s * (target_ns - self._arrivals.unread_ns.value) / NS_PER_S
        return max(capacity, 1.0) / max(1, len(self._callers.last_seen_ns))

    def _idle_timeout(self) -> SetIdleTimeout | None:
        """Closes idle connections early where few callers come back to them.

        They fill the table, take cores and keep a rush out. Where half of the callers come back in time
        handshakes cost more. The cost: where few callers send most.
        """
        settings = self._settings
        timeout_ns = settings.idle_timeout_ns
        reused = 1 - exp(-self._arrivals.rate_per_s * timeout_ns / NS_PER_S / max(1, settings.caller_count))
        wanted_ns = 0 if reused > MIN_REUSE_SHARE else min(timeout_ns, TICK_INTERVAL_NS)
        if wanted_ns == self._sent_idle_timeout_ns:
            return None
        self._sent_idle_timeout_ns = wanted_ns
        return SetIdleTimeout(wanted_ns)
