"""The load that usually comes to a worker, against which the loss of a site is found. No I/O; seconds."""

from collections.abc import Mapping, Sequence

from ochrehoist.sites.peer_workers import PeerWorker, PeerWorkers

LEARNING_SPAN_S = 20.0
MIN_KNOWN_S = 3.0  # of learning, from when on it is known


class UsualLoad:
    """First tries a second that come to this worker as a rule, and to one worker of each other site."""

    def __init__(self) -> None:
        self.rate = 0.0
        self._known_for_s = 0.0
        self._rate_by_site: dict[str, float] = {}  # as last reported

    @property
    def is_known(self) -> bool:
        """Whether it was learned for long enough."""
        return self._known_for_s >= MIN_KNOWN_S

    @property
    def reported_rate(self) -> float:
        """The rate, or 0 where it is not known."""
        return self.rate if self.is_known else 0.0

    def rate_of(self, site: str) -> float:
        """What one worker of another site had before it was lost; 0 where it never said."""
        return self._rate_by_site.get(site, 0.0)

    def update_sites(self, workers_by_site: Mapping[str, Sequence[PeerWorker]]) -> None:
        """Keeps what other sites report while they are at full service."""
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
        """Takes what came, while all are there and ask for all of their load."""
        rate = arrivals / span_s if span_s > 0 else 0.0
        self._known_for_s += span_s
        weight = min(1.0, span_s / min(LEARNING_SPAN_S, max(span_s, self._known_for_s)))
        self.rate += (rate - self.rate) * weight

    def adopt(self, peers: PeerWorkers) -> None:
        """Just started: those that were here know better, or else those of other sites."""
        rates = [
            report.usual_rate
            for worker in peers.of_site(peers.own_site)
            if (report := worker.fresh_report) is not None and report.usual_rate
        ]
        rates = rates or [
            reported.observation.usual_rate
            for reported in peers.observations_of(peers.own_site)
            if reported.observation.usual_rate
        ]
        if rates:
            self.rate = sum(rates) / len(rates)
            self._known_for_s = MIN_KNOWN_S

    def expected_rate(self, peers: PeerWorkers) -> float | None:
        """What would come now, were all other sites there; None: not known.

        What the dead workers of its own site had comes to the rest of it.
        """
        if not self.is_known:
            return None
        own = peers.of_site(peers.own_site)
        return self.rate * ((1 + len(own)) / (1 + sum(worker.may_be_alive for worker in own)))
