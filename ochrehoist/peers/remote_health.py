"""What other workers have observed of downstream services, and when that is believed. No I/O; seconds.

Remote observations count from two observers on, and never from one to whom most services look unhealthy: its
own link is at fault.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ochrehoist.peers.service_health import UNHEALTHY
from ochrehoist.peers.wire import HealthObservation, HealthStatus

REMOTE_MAX_AGE_S = 3.0  # for which a remote observation counts
MIN_OBSERVERS = 2


@dataclass(slots=True)
class RemoteReport:
    """The observations of one other worker, which are at most `age_s` old beyond their own age."""

    age_s: float
    observations: list[HealthObservation]

    def age_of(self, observation: HealthObservation) -> float:
        """Upper bound of the age of one of its observations in s."""
        return self.age_s + observation.age_ms / 1000


RemoteReports = Mapping[str, RemoteReport]  # by member


@dataclass(slots=True)
class RemoteConsensus:
    """What other workers agree on: None where they do not; and who says what, as `member:status`."""

    status: HealthStatus | None
    observers: list[str]

    @property
    def is_unhealthy(self) -> bool:
        """Whether they agree that the service is unhealthy."""
        return self.status in UNHEALTHY


def _believable(reports: RemoteReports) -> Iterator[tuple[str, list[HealthObservation]]]:
    """The fresh observations of each member whose own link seems well."""
    for member, report in reports.items():
        fresh = [seen for seen in report.observations if report.age_of(seen) <= REMOTE_MAX_AGE_S]
        unhealthy_count = sum(seen.status in UNHEALTHY for seen in fresh)
        if len(fresh) <= 1 or 2 * unhealthy_count <= len(fresh):
            yield member, fresh


def consensus(service: str, reports: RemoteReports, own: HealthObservation | None = None) -> RemoteConsensus:
    """What the others agree on; an unhealthy `own` observation counts as one observer's."""
    counts: Counter[str] = Counter()
    observers: list[str] = []
    if own is not None and own.status in UNHEALTHY:
        counts[own.status] += 1
        observers.append(f"itself:{own.status}")
    for member, observations in _believable(reports):
        for seen in observations:
            if seen.service == service:
                counts[seen.status] += 1
                observers.append(f"{member}:{seen.status}")
    unhealthy_count = sum(count for status, count in counts.items() if status in UNHEALTHY)
    if unhealthy_count >= MIN_OBSERVERS and unhealthy_count > counts[HealthStatus.OK]:
        most_seen = max(
            (status for status in counts if status in UNHEALTHY), key=lambda status: counts[status]
        )
        return RemoteConsensus(HealthStatus(most_seen), observers)
    return RemoteConsensus(HealthStatus.OK if counts[HealthStatus.OK] else None, observers)


def is_recovered(service: str, reports: RemoteReports, within_s: float) -> bool:
    """Whether more workers have seen it well in the last `within_s` than have seen it unhealthy."""
    healthy_count = unhealthy_count = 0
    for report in reports.values():
        for seen in report.observations:
            if seen.service == service and report.age_of(seen) < within_s:
                healthy_count += seen.status == HealthStatus.OK
                unhealthy_count += seen.status in UNHEALTHY
    return healthy_count > unhealthy_count
