"""Consensus on downstream services from the observations of other workers. No I/O; times in seconds.

At least two observers must agree. An observer that reports most services as unhealthy is ignored, because
the fault is likely in its own link.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ochrehoist.peers.service_health import UNHEALTHY
from ochrehoist.peers.wire import HealthObservation, HealthStatus

REMOTE_MAX_AGE_S = 3.0  # older remote observations are ignored
MIN_OBSERVERS = 2


@dataclass(slots=True)
class RemoteReport:
    """The observations of one other worker; `age_s` is to be added to the age of each."""

    age_s: float
    observations: list[HealthObservation]

    def age_of(self, observation: HealthObservation) -> float:
        """Returns an upper bound of the age of an observation in s."""
        return self.age_s + observation.age_ms / 1000


RemoteReports = Mapping[str, RemoteReport]  # by member name


@dataclass(slots=True)
class RemoteConsensus:
    """The status that other workers agree on, None if they do not, and the observers as `member:status`."""

    status: HealthStatus | None
    observers: list[str]

    @property
    def is_unhealthy(self) -> bool:
        """Whether other workers agree that the service is unhealthy."""
        return self.status in UNHEALTHY


def _credible_observations(reports: RemoteReports) -> Iterator[tuple[str, list[HealthObservation]]]:
    """Yields the fresh observations of each member that does not report most services as unhealthy."""
    for member, report in reports.items():
        fresh = [
            observation
            for observation in report.observations
            if report.age_of(observation) <= REMOTE_MAX_AGE_S
        ]
        unhealthy_count = sum(observation.status in UNHEALTHY for observation in fresh)
        if len(fresh) <= 1 or 2 * unhealthy_count <= len(fresh):
            yield member, fresh


def consensus(service: str, reports: RemoteReports, own: HealthObservation | None = None) -> RemoteConsensus:
    """Returns the consensus of other workers; an unhealthy `own` observation counts as one observer."""
    counts: Counter[str] = Counter()
    observers: list[str] = []
    if own is not None and own.status in UNHEALTHY:
        counts[own.status] += 1
        observers.append(f"itself:{own.status}")
    for member, observations in _credible_observations(reports):
        for observation in observations:
            if observation.service == service:
                counts[observation.status] += 1
                observers.append(f"{member}:{observation.status}")
    unhealthy_count = sum(count for status, count in counts.items() if status in UNHEALTHY)
    if unhealthy_count >= MIN_OBSERVERS and unhealthy_count > counts[HealthStatus.OK]:
        most_frequent = max(
            (status for status in counts if status in UNHEALTHY), key=lambda status: counts[status]
        )
        return RemoteConsensus(HealthStatus(most_frequent), observers)
    return RemoteConsensus(HealthStatus.OK if counts[HealthStatus.OK] else None, observers)


def is_recovered(service: str, reports: RemoteReports, within_s: float) -> bool:
    """Returns whether more workers observed a service as healthy than unhealthy in the last `within_s`."""
    healthy_count = unhealthy_count = 0
    for report in reports.values():
        for observation in report.observations:
            if observation.service == service and report.age_of(observation) < within_s:
                healthy_count += observation.status == HealthStatus.OK
                unhealthy_count += observation.status in UNHEALTHY
    return healthy_count > unhealthy_count
