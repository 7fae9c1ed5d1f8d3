"""The usual load of a worker, the baseline for detecting a site loss. No I/O; times are in seconds."""

from collections.abc import Mapping, Sequence

from ochrehoist.sites.peer_workers import PeerWorker, PeerWorkers

LEARNING_SPAN_S = 20.0
MIN_LEARNING_S = 3.0  # the rate counts as known after this much learning time


class UsualLoad:
    """The usual rate of first attempts per second at this worker, and per worker of each other site."""

    def __init__(self) -> None:
        self.rate = 0.0
        self._learning_time_s = 0.0
        self._rate_by_site: dict[str, float] = {}  # per worker, as last reported

    @property
    def is_known(self) -> bool:
        """Whether the rate was learned for long enough to be used."""
        return self._learning_time_s >= MIN_LEARNING_S

    @property
    def reported_rate(self) -> float:
        """The rate; 0 if it is not known."""
        return self.rate if self.is_known else 0.0

    def rate_of(self, site: str) -> float:
        """Returns the last reported rate per worker of another site; 0 if it was never reported."""
        return self._rate_by_site.get(site, 0.0)

    def update_sites(self, workers_by_site: Mapping[str, Sequence[PeerWorker]]) -> None:
        """Stores the rates that other sites' workers report while they are at full service."""
        for site, workers in workers_by_site.items():
            rates = [
                report.usual_rate
                for worker in workers
                if (report := worker.fresh_report) is not None
                and report.is_full_service
                and report.usual_rate
            ]
            if rates:
                self._rate_by_site[site] = sum(rates) / len(rates)

    def learn(self, arrivals: int, span_s: float) -> None:
        """Updates the rate by `arrivals` within `span_s`; call it only while the whole fleet is healthy."""
        rate = arrivals / span_s if span_s > 0 else 0.0
        self._learning_time_s += span_s
        weight = min(1.0, span_s / min(LEARNING_SPAN_S, max(span_s, self._learning_time_s)))
        self.rate += (rate - self.rate) * weight

    def adopt_peer_rate(self, peers: PeerWorkers) -> None:
        """Adopts the rate that peers report, for a worker that has just started.

        Workers of the same site are preferred to the observations of other sites.
        """
        rates = [
            report.usual_rate
            for worker in peers.in_site(peers.own_site)
            if (report := worker.fresh_report) is not None and report.usual_rate
        ]
        rates = rates or [
            reported.observation.usual_rate
            for reported in peers.observations_of(peers.own_site)
            if reported.observation.usual_rate
        ]
        if rates:
            self.rate = sum(rates) / len(rates)
            self._learning_time_s = MIN_LEARNING_S

    def expected_rate(self, peers: PeerWorkers) -> float | None:
        """Returns the rate to expect now if all other sites are up; None if the usual rate is not known.

        The load of dead workers of the same site is assumed to move to the site's remaining workers.
        """
        if not self.is_known:
            return None
        own_site_peers = peers.in_site(peers.own_site)
        return self.rate * (
            (1 + len(own_site_peers)) / (1 + sum(worker.may_be_alive for worker in own_site_peers))
        )
