"""Signals to callers: the backpressure value, and the idle timeout of their connections."""

from math import exp

from ochrehoist.admission.actions import Action, SendBackpressure, SetIdleTimeout
from ochrehoist.admission.arrivals import ArrivalMonitor
from ochrehoist.admission.caller_activity import CallerTracker
from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.mpl_policy import MplPolicy
from ochrehoist.admission.settings import AdmissionSettings, BackpressureSignal
from ochrehoist.admission.timing import TICK_INTERVAL_NS
from ochrehoist.units import NS_PER_S

# Callers should send less when requests spend more than this share of the mean objective on the instance.
TARGET_LATENCY_SHARE = 0.5
MIN_CHANGE_SHARE = 0.02  # a smaller change, relative to the last value sent, is not sent
# Idle connections stay open if more than this share of callers is expected to reuse them before the timeout.
MIN_REUSE_SHARE = 0.5


class Backpressure:
    """Backpressure value and idle timeout of the site, which are sent to callers when they change."""

    def __init__(
        self,
        settings: AdmissionSettings,
        mean_objective_ns: float,
        policy: MplPolicy,
        concurrency: ConcurrencyTracker,
        arrivals: ArrivalMonitor,
        callers: CallerTracker,
    ) -> None:
        self._settings = settings
        self._mean_objective_ns = mean_objective_ns
        self._policy = policy
        self._concurrency = concurrency
        self._arrivals = arrivals
        self._callers = callers
        self._sent_value = -1.0
        self._sent_idle_timeout_ns: int | None = None

    def update(self, healthy: bool) -> list[Action]:
        """Returns the actions for the values that have changed since they were last sent."""
        actions = self._changed_signal(healthy), self._idle_timeout()
        return [action for action in actions if action is not None]

    def _changed_signal(self, healthy: bool) -> SendBackpressure | None:
        """Returns the backpressure value if it differs enough from the last one sent."""
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
        """Returns the outstanding requests per caller at which requests meet the target latency."""
        rate_per_s = self._policy.saturated_rate_per_s(self._concurrency.running)
        target_ns = TARGET_LATENCY_SHARE * self._mean_objective_ns
        capacity = rate_per_s * (target_ns - self._arrivals.unread_ns.value) / NS_PER_S
        return max(capacity, 1.0) / max(1, len(self._callers.last_seen_ns))

    def _idle_timeout(self) -> SetIdleTimeout | None:
        """Returns the idle timeout if it has changed; 0 keeps idle connections open.

        The timeout is short where few callers reuse their connections: idle connections fill the connection
        table, take CPU time and keep new callers out in a load peak. Where more than half of the callers
        reuse theirs, new handshakes would cost more than idle connections. The estimate assumes that all
        callers send alike; where a few send most of the requests, their connections are closed too early.
        """
        settings = self._settings
        timeout_ns = settings.idle_timeout_ns
        reuse_share = 1 - exp(
            -self._arrivals.rate_per_s * timeout_ns / NS_PER_S / max(1, settings.caller_count)
        )
        new_timeout_ns = 0 if reuse_share > MIN_REUSE_SHARE else min(timeout_ns, TICK_INTERVAL_NS)
        if new_timeout_ns == self._sent_idle_timeout_ns:
            return None
        self._sent_idle_timeout_ns = new_timeout_ns
        return SetIdleTimeout(new_timeout_ns)
