"""Status of the configuration for operators: the version in force, and the last reload and its effect."""

import time
from enum import StrEnum

from ochrehoist.core.metrics import Metrics, RequestCounter, format_samples

# Request counters by their keys in /status.
COUNTERS = {
    "served": RequestCounter.ANSWERED,
    "refused": RequestCounter.REJECTED,
    "failed": RequestCounter.FAILED,
}


class ReloadOutcome(StrEnum):
    """Outcome of the last reload, as shown in /status."""

    START = "start"  # no reload since the start of the process
    TAKEN = "taken"
    REJECTED = "turned down"


class ReloadStatus:
    """Version in force, outcome and durations of reloads.

    `ended_at_s` is a time of the monotonic clock in s, `in_force_since_unix` is Unix time in s.
    """

    def __init__(self, version: str, metrics: Metrics) -> None:
        self._metrics = metrics
        self._reason = ""  # why the last reload was rejected
        self._counts_at_switch = self._counts()
        self.version = version
        self.outcome = ReloadOutcome.START
        self.ended_at_s = time.monotonic()
        self.in_force_since_unix = time.time()
        self.reload_duration_s = 0.0  # of the last change, from the start of the reload to the commit
        self.switch_duration_s = 0.0  # of the last change: the time that the commit took
        self.longest_block_s = 0.0  # longest time for which a step of the last reload blocked the event loop
        self.longest_block_ever_s = 0.0

    def begin(self) -> None:
        """Records the start of a reload."""
        self.longest_block_s = 0.0

    def record_block(self, duration_s: float) -> None:
        """Records for how long a step of a reload blocked the event loop."""
        self.longest_block_s = max(self.longest_block_s, duration_s)
        self.longest_block_ever_s = max(self.longest_block_ever_s, duration_s)

    def reject(self, reason: str) -> None:
        """Records that a reload was rejected because of `reason`; the old version stays in force."""
        self.outcome = ReloadOutcome.REJECTED
        self._reason = reason
        self.ended_at_s = time.monotonic()

    def switch(self, version: str, started_at_s: float) -> None:
        """Records that `version` took effect, by a commit that began at `started_at_s`."""
        self.version = version
        self.outcome, self._reason, self.ended_at_s = ReloadOutcome.TAKEN, "", time.monotonic()
        self._counts_at_switch = self._counts()
        self.in_force_since_unix = time.time()
        self.switch_duration_s = self.ended_at_s - started_at_s
        self.record_block(self.switch_duration_s)

    def counts_since_switch(self) -> dict[str, int]:
        """Returns the number of requests by outcome since the current version took effect."""
        return {key: count - self._counts_at_switch[key] for key, count in self._counts().items()}

    def status_section(self, *, reload_running: bool) -> dict[str, object]:
        """Returns the section `configuration` of /status."""
        reason = {"why": self._reason} if self._reason else {}
        return {
            "last": self.outcome.value,
            "age_s": round(time.monotonic() - self.ended_at_s, 1),
            **reason,
            "since": self.counts_since_switch(),
            "version": self.version,
            "in_force_since": round(self.in_force_since_unix, 3),
            "reading": reload_running,
            "took_s": round(self.reload_duration_s, 3),
            "switch_ms": round(1000 * self.switch_duration_s, 3),
            "held_ms": round(1000 * self.longest_block_s, 3),
        }

    def metrics_text(self) -> str:
        """Returns the metrics of the version in force and of the durations of reloads."""
        return format_samples(
            {
                "app_conf_info": [(f'{{version="{self.version}"}}', 1)],
                "app_conf_in_force_since_seconds": [("", round(self.in_force_since_unix, 3))],
                "app_conf_took_seconds": [("", round(self.reload_duration_s, 6))],
                "app_conf_held_seconds": [("", round(self.longest_block_s, 6))],
                "app_conf_held_longest_seconds": [("", round(self.longest_block_ever_s, 6))],
            }
        )

    def _counts(self) -> dict[str, int]:
        return {key: self._metrics.total(counter) for key, counter in COUNTERS.items()}
