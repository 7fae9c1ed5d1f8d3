"""What operators see of the configuration: the version in force, the last reload, and what has come of it."""

import time
from enum import StrEnum

from ochrehoist.core.metrics import Metrics, RequestCounter, format_samples

# The keys of /status, by counter.
COUNTERS = {
    "served": RequestCounter.ANSWERED,
    "refused": RequestCounter.REJECTED,
    "failed": RequestCounter.FAILED,
}


class ReloadOutcome(StrEnum):
    """How the last reload ended, as /status says it."""

    START = "start"  # there was none yet
    TAKEN = "taken"
    REJECTED = "turned down"


class ReloadStatus:
    """The state of reloads. Times are in s: of the monotonic clock, `in_force_since_unix` of Unix time."""

    def __init__(self, version: str, metrics: Metrics) -> None:
        self._metrics = metrics
        self._reason = ""  # why the last reload was rejected
        self._counts_at_switch = self._counts()
        self.version = version
        self.outcome = ReloadOutcome.START
        self.ended_at = time.monotonic()
        self.in_force_since_unix = time.time()
        self.reload_s = 0.0  # of the last change, from its reading until it was in force
        self.switch_s = 0.0  # of the last change, in which it came into force
        self.longest_hold_s = 0.0  # for which the last reload held up the event loop at most
        self.longest_hold_ever_s = 0.0

    def begin(self) -> None:
        """A reload begins."""
        self.longest_hold_s = 0.0

    def record_hold(self, duration_s: float) -> None:
        """Records for how long a step of a reload held up the event loop."""
        self.longest_hold_s = max(self.longest_hold_s, duration_s)
        self.longest_hold_ever_s = max(self.longest_hold_ever_s, duration_s)

    def reject(self, reason: str) -> None:
        """The reload was rejected: what was in force stays so."""
        self.outcome = ReloadOutcome.REJECTED
        self._reason = reason
        self.ended_at = time.monotonic()

    def switch(self, version: str, began_at: float) -> None:
        """`version` came into force, by a switch that began at `began_at`."""
        self.version = version
        self.outcome, self._reason, self.ended_at = ReloadOutcome.TAKEN, "", time.monotonic()
        self._counts_at_switch = self._counts()
        self.in_force_since_unix = time.time()
        self.switch_s = self.ended_at - began_at
        self.record_hold(self.switch_s)

    def counts_since_switch(self) -> dict[str, int]:
        """Requests by outcome since the version in force came into it."""
        return {key: count - self._counts_at_switch[key] for key, count in self._counts().items()}

    def status_section(self, *, reading: bool) -> dict[str, object]:
        """The part `configuration` of /status. `reading`: a file is being read."""
        reason = {"why": self._reason} if self._reason else {}
        return {
            "last": self.outcome.value,
            "age_s": round(time.monotonic() - self.ended_at, 1),
            **reason,
            "since": self.counts_since_switch(),
            "version": self.version,
            "in_force_since": round(self.in_force_since_unix, 3),
            "reading": reading,
            "took_s": round(self.reload_s, 3),
            "switch_ms": round(1000 * self.switch_s, 3),
            "held_ms": round(1000 * self.longest_hold_s, 3),
        }

    def metrics_text(self) -> str:
        """Metrics of the version in force, and of what reading it has cost."""
        return format_samples(
            {
                "app_conf_info": [(f'{{version="{self.version}"}}', 1)],
                "app_conf_in_force_since_seconds": [("", round(self.in_force_since_unix, 3))],
                "app_conf_took_seconds": [("", round(self.reload_s, 6))],
                "app_conf_held_seconds": [("", round(self.longest_hold_s, 6))],
                "app_conf_held_longest_seconds": [("", round(self.longest_hold_ever_s, 6))],
            }
        )

    def _counts(self) -> dict[str, int]:
        return {key: self._metrics.total(counter) for key, counter in COUNTERS.items()}
