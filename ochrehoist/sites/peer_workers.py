"""The other workers of the fleet, as membership and their own reports tell of them. No I/O; seconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ochrehoist.peers.wire import MemberState
from ochrehoist.sites.site_report import TOPIC, SiteObservation, SiteReport, decode

if TYPE_CHECKING:
    from ochrehoist.peers.group import Group

MAX_REPORT_AGE_S = 1.5  # up to which another's report counts
FULL_LOAD_WEIGHT = 90  # percent, from which on a worker counts as asking for all of its load


@dataclass(slots=True, frozen=True)
class PeerWorker:
    """Another worker. `age_s`: the most that its report can be old."""

    name: str
    site: str
    state: str  # of membership
    age_s: float = 0.0
    report: SiteReport | None = None

    @property
    def is_alive(self) -> bool:
        """Whether membership hears it."""
        return self.state == MemberState.ALIVE

    @property
    def may_be_alive(self) -> bool:
        """Whether membership has not given it up."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def has_left(self) -> bool:
        """Whether it left on purpose."""
        return self.state == MemberState.LEFT

    @property
    def is_recovering(self) -> bool:
        """Whether it is there, and not known to be at full service."""
        return self.is_alive and (self.report is None or not self.report.is_full_service)

    @property
    def fresh_report(self) -> SiteReport | None:
        """Its report, where that is young enough to count."""
        if self.report is None or self.age_s > MAX_REPORT_AGE_S or not self.may_be_alive:
            return None
        return self.report


@dataclass(slots=True, frozen=True)
class PeerBaseline:
    """The workers at full service, as they last reported.

    `threshold` is their mean; `rate`: the first tries a second that would come to a worker that asks for all
    of its load.
    """

    count: int = 0
    threshold: float = 1.0
    rate: float = 0.0

    @property
    def capped_threshold(self) -> float:
        """Their threshold, at most 1."""
        return min(1.0, self.threshold)


class ReportedObservation(NamedTuple):
    """What a worker of a third site reports of a site."""

    worker: str
    observation: SiteObservation


class PeerWorkers:
    """All other workers as of the last update, and what follows from their reports."""

    def __init__(self, own_site: str) -> None:
        self.own_site = own_site
        self.all: list[PeerWorker] = []
        self.baseline = PeerBaseline()

    def update(self, peers: list[PeerWorker]) -> None:
        """Takes what is known now."""
        self.all = peers
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
        """All reports that count."""
        return [report for peer in self.all if (report := peer.fresh_report) is not None]

    def of_site(self, site: str) -> list[PeerWorker]:
        """The workers of one site."""
        return [peer for peer in self.all if peer.site == site]

    def of_other_sites(self) -> dict[str, list[PeerWorker]]:
        """Workers by site; those without a site under the empty name."""
        by_site: dict[str, list[PeerWorker]] = {}
        for peer in self.all:
            if peer.site != self.own_site:
                by_site.setdefault(peer.site, []).append(peer)
        return by_site

    def site_names(self) -> list[str]:
        """All sites that are known, with the own one."""
        return sorted({self.own_site, *(peer.site for peer in self.all if peer.site)})

    def observations_of(self, site: str) -> list[ReportedObservation]:
        """What workers of other sites report of a site."""
        return [
            ReportedObservation(peer.name, observation)
            for peer in self.all
            if peer.site != site and (report := peer.fresh_report) is not None
            for observation in report.observations
            if observation.site == site
        ]

    def another_site_serves(self) -> bool:
        """Whether a worker of another site asks for load."""
        return any(
            report.weight != 0
            for peer in self.all
            if peer.site != self.own_site and (report := peer.fresh_report) is not None
        )

    def all_at_full_load(self) -> bool:
        """Whether each one that did not leave is there and asks for all, or nearly all, of its load."""
        return all(peer.has_left or _is_at_full_load(peer) for peer in self.all)


def _is_at_full_load(peer: PeerWorker) -> bool:
    report = peer.report
    return (
        peer.is_alive and report is not None and report.is_full_service and report.weight >= FULL_LOAD_WEIGHT
    )


def observe_peers(group: Group, site_of: Callable[[str], str | None] | None = None) -> list[PeerWorker]:
    """The members of a group.

    `site_of` gives the site of a host, where a description of the fleet tells; else it is what the worker
    says itself.
    """
    statuses = group.extension_data(TOPIC)
    peers = []
    for name, member in group.members.members.items():
        age_s, data = statuses.get(name, (0.0, b""))
        site = site_of(member.address.rpartition(":")[0]) if site_of is not None else None
        report = decode(data) if data else None
        peers.append(PeerWorker(name, site or member.site, member.state, age_s, report))
    return peers
