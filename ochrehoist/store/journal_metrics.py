"""Metrics of the journal: counters and commit latency, and their exposition."""

from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as this value
SIGNIFICANT_DIGITS = 2
STATUS_PERCENTILES = (("p50", 50), ("p99", 99), ("max", 100))
METRIC_PERCENTILES = (50, 90, 99, 99.9)


class JournalMetrics:
    """Counters and commit latencies since the start of the process."""

    def __init__(self) -> None:
        self.commits = 0
        self.operations = 0
        self.losses = 0
        self.rejections = 0
        self._committed_at: float | None = None
        self._latency_us: Any = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def committed(self, operations: int, started_at: float, now: float) -> None:
        """Counts a commit of a group from `started_at` until `now` (monotonic seconds)."""
        self.commits += 1
        self.operations += operations
        self._committed_at = now
        latency_us = int((now - started_at) * 1e6)
        self._latency_us.record_value(min(MAX_LATENCY_US, max(1, latency_us)))

    def seconds_since_commit(self, now: float) -> float | None:
        """Returns the seconds since the last commit; None before the first one."""
        return None if self._committed_at is None else round(now - self._committed_at, 1)

    def commit_latency_ms(self) -> dict[str, float]:
        """Returns percentiles of the commit latency in ms, by their keys in the status."""
        return {
            name: round(self._latency_us.get_value_at_percentile(percentile) / 1000, 2)
            for name, percentile in STATUS_PERCENTILES
        }

    def exposition(self, view: dict[str, Any]) -> str:
        """Returns the metrics in the Prometheus text format; `view` is the journal's status section."""
        lines = []
        for name, kind, value in (
            ("store_bytes", "gauge", view["bytes"]),
            ("store_waiting", "gauge", view["waiting"]),
            ("store_open", "gauge", int(view["open"])),
            ("store_refusing", "gauge", int(bool(view["refuses"]))),
            ("store_commits_total", "counter", self.commits),
            ("store_operations_total", "counter", self.operations),
            ("store_losses_total", "counter", self.losses),
            ("store_not_recorded_total", "counter", view["not_recorded"]),
        ):
            lines += [f"# TYPE app_{name} {kind}", f"app_{name} {value}"]
        lines.append("# TYPE app_store_commit_seconds summary")
        lines += [
            f'app_store_commit_seconds{{quantile="{percentile / 100}"}} '
            f"{self._latency_us.get_value_at_percentile(percentile) / 1e6}"
            for percentile in METRIC_PERCENTILES
        ]
        lines.append(f"app_store_commit_seconds_count {self._latency_us.get_total_count()}")
        return "\n".join(lines) + "\n"
