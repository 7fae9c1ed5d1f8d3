"""Decides when a worker without a kernel link is unhealthy, and when it reloads its configuration.

A worker that has lost the kernel accepts requests and fails each at its due time. Routers that prefer workers
with few requests in flight would send it even more. So it reports itself as unhealthy, and reloads its
configuration, which may hold a new address: the reload signal may have been lost, or the file may have been
invalid at that time.
"""

from dataclasses import dataclass

# Time without a link after which the worker is unhealthy. Reconnecting, also to another address, takes far
# less.
DISCONNECT_GRACE_S = 2.0
# The interval between reloads of the configuration starts with the first value and doubles up to the second.
FIRST_RELOAD_INTERVAL_S = 1.0
MAX_RELOAD_INTERVAL_S = 10.0


@dataclass(slots=True, frozen=True)
class KernelLinkStatus:
    """Health and reload decision derived from the state of the link."""

    healthy: bool  # the link is up, or has been down for less than the grace period
    reload_due: bool = False  # the configuration must be reloaded now


class KernelLinkMonitor:
    """Evaluation of periodic reports of the link's state. Times are seconds of one monotonic clock."""

    def __init__(self, disconnect_grace_s: float = DISCONNECT_GRACE_S) -> None:
        self._disconnect_grace_s = disconnect_grace_s
        self._down_since_s: float | None = None
        self._reload_at_s = 0.0
        self._reload_interval_s = FIRST_RELOAD_INTERVAL_S
        self._address: object = None

    def evaluate(self, now_s: float, connected: bool, address: object) -> KernelLinkStatus:
        """Returns what follows from the link's state.

        Args:
            now_s: The time of this state.
            connected: Whether the link is up.
            address: The address that the worker tries to reach. A changed address delays the next reload, so
                that the link can be set up; the worker becomes healthy again only once the link is up.
        """
        if connected:
            self._down_since_s = None
            return KernelLinkStatus(healthy=True)
        if self._down_since_s is None:
            self._down_since_s = now_s
            self._reload_interval_s = FIRST_RELOAD_INTERVAL_S
            self._address = address
            self._reload_at_s = now_s + self._disconnect_grace_s
        healthy = now_s - self._down_since_s < self._disconnect_grace_s
        if address != self._address:
            self._address = address
            self._reload_interval_s = FIRST_RELOAD_INTERVAL_S
            self._reload_at_s = now_s + FIRST_RELOAD_INTERVAL_S
        if healthy or now_s < self._reload_at_s:
            return KernelLinkStatus(healthy)
        self._reload_at_s = now_s + self._reload_interval_s
        self._reload_interval_s = min(MAX_RELOAD_INTERVAL_S, 2 * self._reload_interval_s)
        return KernelLinkStatus(healthy=False, reload_due=True)
