"""When a worker counts as cut off from what runs its requests, and when it reads its configuration again.

A worker that cannot run anything takes requests all the same and fails each at its due time, while routers
that choose by how little is in flight send it more. So it reports itself unhealthy, and reads its
configuration again: an order to do so may never have come, or may have met a file that could not be used.
"""

from dataclasses import dataclass

DISCONNECT_GRACE_S = 2.0  # without a link: a move to another address and a broken link take far less
# Between two reads of the configuration: doubled each time up to the longest.
FIRST_RELOAD_INTERVAL_S = 1.0
MAX_RELOAD_INTERVAL_S = 10.0


@dataclass(slots=True, frozen=True)
class KernelLinkStatus:
    """What the link's state means now."""

    healthy: bool  # requests can be run, or may be again in a moment
    reload_due: bool = False  # the configuration should be read now


class KernelLinkMonitor:
    """Fed with the link's state now and then (times in seconds, of one clock that never goes back)."""

    def __init__(self, disconnect_grace_s: float = DISCONNECT_GRACE_S) -> None:
        self._disconnect_grace_s = disconnect_grace_s
        self._down_since_s: float | None = None
        self._reload_at_s = 0.0
        self._reload_interval_s = FIRST_RELOAD_INTERVAL_S
        self._address: object = None

    def evaluate(self, now_s: float, connected: bool, address: object) -> KernelLinkStatus:
        """Takes the link's state in, and says what it means.

        Args:
            now_s: The time of this state.
            connected: Whether the link is up.
            address: Where the link is tried: another one is given its own time to answer. The worker stays
                cut off meanwhile: only a link that is up makes it healthy again.
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
