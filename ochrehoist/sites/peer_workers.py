"""The other workers of the fleet, as known from membership and their reports.

No I/O; times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ochrehoist.peers.wire import MemberState
from ochrehoist.sites.site_report import TOPIC, SiteObservation, SiteReport, decode

if TYPE_CHECKING:
    from ochrehoist.peers.group import Group

MAX_REPORT_AGE_S = 1.5  # older reports are ignored
FULL_LOAD_WEIGHT = 90  # percent; a worker that requests at least this counts as requesting its full load


@dataclass(slots=True, frozen=True)
class PeerWorker:
    """Another worker; `state` is its membership state, `age_s` the upper limit of its report's age."""

    name: str
    site: str
    state: str
    age_s: float = 0.0
    report: SiteReport | None = None

    @property
    def is_alive(self) -> bool:
        """Whether the worker is alive according to membership."""
        return self.state == MemberState.ALIVE

    @property
    def may_be_alive(self) -> bool:
        """Whether membership has not declared the worker dead; a suspect may be alive."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def has_left(self) -> bool:
        """Whether the worker left the group by a graceful shutdown."""
        return self.state == MemberState.LEFT

    @property
    def is_recovering(self) -> bool:
        """Whether the worker is alive but has not reported full service."""
        return self.is_alive and (self.report is None or not self.report.is_full_service)

    @property
    def fresh_report(self) -> SiteReport | None:
        """The worker's report; None if it is too old or the worker is dead."""
        if self.report is None or self.age_s > MAX_REPORT_AGE_S or not self.may_be_alive:
            return None
        return self.report


@dataclass(slots=True, frozen=True)
class PeerBaseline:
    """Averages over the `count` workers at full service, by their fresh reports.

    `threshold` is the mean admission threshold; `rate` is the mean number of first attempts per second,
    scaled to a worker that requests its full load.
    """

    count: int = 0
    threshold: float = 1.0
    rate: float = 0.0

    @property
    def capped_threshold(self) -> float:
        """The mean threshold, limited to 1."""
        return min(1.0, self.threshold)


class ReportedObservation(NamedTuple):
    """An observation of a site, and the worker that reports it."""

    worker: str
    observation: SiteObservation


class PeerWorkers:
    """All other workers as of the last update, and aggregates of their reports."""

    def __init__(self, own_site: str) -> None:
        self.own_site = own_site
        self.workers: list[PeerWorker] = []
        self.baseline = PeerBaseline()

    def update(self, peers: list[PeerWorker]) -> None:
        """Replaces all workers by their current state."""
        self.workers = peers
        self.baseline = self._measure_baseline()

    def _measure_baseline(self) -> PeerBaseline:
        full = [report for report in self.fresh_reports() if report.is_full_service and report.weight > 0]
        divisor = max(1, len(full))
        return PeerBaseline(
            len(full),
            sum(report.admission_threshold for report in full) / divisor if full else 1.0,
            sum(100 * report.arrival_rate / report.weight for report in full) / divisor,
        )

    def fresh_reports(self) -> list[SiteReport]:
        """Returns the reports of all workers that have a fresh one."""
        return [report for peer in self.workers if (report := peer.fresh_report) is not None]

    def in_site(self, site: str) -> list[PeerWorker]:
        """Returns the workers of one site."""
        return [peer for peer in self.workers if peer.site == site]

    def by_other_site(self) -> dict[str, list[PeerWorker]]:
        """Returns the workers of other sites by site; workers without a site are under the empty name."""
        by_site: dict[str, list[PeerWorker]] = {}
        for peer in self.workers:
            if peer.site != self.own_site:
                by_site.setdefault(peer.site, []).append(peer)
        return by_site

    def site_names(self) -> list[str]:
        """Returns all known site names, including the worker's own site."""
        return sorted({self.own_site, *(peer.site for peer in self.workers if peer.site)})

    def observations_of(self, site: str) -> list[ReportedObservation]:
        """Returns what workers outside of a site report about it."""
        return [
            ReportedObservation(peer.name, observation)
            for peer in self.workers
            if peer.site != site and (report := peer.fresh_report) is not None
            for observation in report.observations
            if observation.site == site
        ]

    def another_site_serves(self) -> bool:
        """Whether any worker of another site requests load."""
        return any(
            report.weight != 0
            for peer in self.workers
            if peer.site != self.own_site and (report := peer.fresh_report) is not None
        )

    def all_at_full_load(self) -> bool:
        """Whether all workers that have not left gracefully are alive and serve (almost) their full load."""
        return all(peer.has_left or _is_at_full_load(peer) for peer in self.workers)


def _is_at_full_load(peer: PeerWorker) -> bool:
    report = peer.report
    return (
        peer.is_alive and report is not None and report.is_full_service and report.weight >= FULL_LOAD_WEIGHT
    )


def observe_peers(group: Group, site_of: Callable[[str], str | None] | None = None) -> list[PeerWorker]:
    """Returns the members of a group as peer workers.

    `site_of` maps a host to its site by the fleet description. Without it, and for hosts that it does not
    know, the site is the one that the worker announces itself.
    """
    statuses = group.extension_data(TOPIC)
    peers = []
    for name, member in group.members.members.items():
        age_s, data = statuses.get(name, (0.0, b""))
        site = site_of(member.address.rpartition(":")[0]) if site_of is not None else None
        report = decode(data) if data else None
        peers.append(PeerWorker(name, site or member.site, member.state, age_s, report))
    return peers
