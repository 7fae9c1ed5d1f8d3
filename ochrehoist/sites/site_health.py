"""Health tracking of the other sites by one worker. No I/O; times are in seconds.

A silent site has either failed or is unreachable through a network partition; membership cannot tell the two
apart. The load can: callers of a failed site move to the remaining sites, callers of a partitioned one do
not. So a site is declared lost only if its load arrives here. An isolated worker, which hears no other site,
gets no such load, and therefore does not mistake its own partition for a loss of the others.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

MIN_SILENCE_S = 0.5  # a site is not judged before it has been silent for this long
# Wald's sequential probability ratio test compares two hypotheses about the arrivals: the usual load, and the
# load after a loss. The test decides when the log-likelihood ratio reaches +/-EVIDENCE_THRESHOLD, which gives
# an error rate of about 1 in 1000 for Poisson arrivals. BURST_FACTOR divides the evidence, as real arrivals
# are burstier than that.
EVIDENCE_THRESHOLD = 7.0
MAX_EVIDENCE = 10.0
BURST_FACTOR = 1.5
# A site that is lost repeatedly within the window waits before it advances its ramp; doubled for each loss.
FLAP_WINDOW_S = 60.0
FLAP_WAIT_S = 1.0
MAX_FLAP_WAIT_S = 16.0
MAX_CHANGES = 100


class SiteState(StrEnum):
    """The state of a site as judged by a worker; the values are used in reports and status.

    DEGRADED: fewer than half of its workers are alive. SILENT: no worker is alive, and the cause is not known
    yet. PARTITIONED: only the link to the site has failed. AWAY: all of its workers have left gracefully.
    """

    UP = "up"
    DEGRADED = "thin"
    SILENT = "unheard"
    PARTITIONED = "cut"
    LOST = "lost"
    RETURNING = "returning"
    AWAY = "away"


REACHABLE_STATES = frozenset({SiteState.UP, SiteState.DEGRADED, SiteState.RETURNING})
ABSENT_STATES = frozenset({SiteState.LOST, SiteState.RETURNING, SiteState.AWAY})


@dataclass(slots=True, frozen=True)
class SiteMembership:
    """Counts of one site's workers by membership, and other workers' observations of the site.

    `returning_count` is the number of alive workers that are not at full service. `third_site_states` are
    the site's states as reported by workers of third sites. `evidence` is the sum of all other workers'
    evidence.
    """

    worker_count: int
    alive_count: int
    left_count: int = 0
    returning_count: int = 0
    third_site_states: Sequence[str] = ()
    evidence: float = 0.0

    @property
    def is_silent(self) -> bool:
        """Whether no worker is alive, and not all have left gracefully."""
        return not self.alive_count and self.left_count < self.worker_count


@dataclass(slots=True)
class SiteHealth:
    """The state of one site, the time and the reason of its last change, and the evidence so far.

    `evidence` is the log-likelihood ratio for a loss, by this worker's arrivals while the site is silent.
    `lost_at` are the times of recent losses.
    """

    state: SiteState = SiteState.UP
    state_since: float = 0.0
    reason: str = ""
    silent_since: float | None = None
    evidence: float = 0.0
    lost_at: list[float] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class LoadSample:
    """The number of first attempts that arrived within `span_s`, and the usual rate if it is known."""

    arrivals: float
    usual_rate: float | None
    span_s: float

    def evidence(self, increase: float) -> float:
        """Returns the log-likelihood ratio of the load being `increase` (a fraction) above the usual load.

        The alternative is the usual load; 0 if that is not known.
        """
        if self.usual_rate is None or increase <= 0:
            return 0.0
        expected_growth = self.usual_rate * self.span_s * increase
        return (self.arrivals * math.log1p(increase) - expected_growth) / BURST_FACTOR


@dataclass(slots=True, frozen=True)
class HealthChange:
    """A change of a site's state."""

    changed_at: float
    site: str
    state: SiteState
    reason: str


class SiteHealthTracker:
    """The health of each other site; `changes` holds the latest changes, the newest last.

    `isolated_since` is set while all other sites are silent.
    """

    def __init__(self) -> None:
        self.sites: dict[str, SiteHealth] = {}
        self.changes: list[HealthChange] = []
        self.isolated_since: float | None = None

    def tick(
        self, now: float, memberships: Mapping[str, SiteMembership], own_workers: int, load: LoadSample
    ) -> list[HealthChange]:
        """Re-evaluates all sites, and returns the changes of state; called at each tick.

        `own_workers` is the number of workers of this worker's own site.
        """
        self._update_site_list(memberships, now)
        silent = [site for site, membership in memberships.items() if membership.is_silent]
        self._update_isolation(now, bool(memberships) and len(silent) == len(memberships))
        missing_workers = sum(memberships[site].worker_count for site in silent)
        total_workers = own_workers + sum(membership.worker_count for membership in memberships.values())
        # The load per worker grows by this fraction if all silent sites are lost.
        increase = total_workers / max(1, total_workers - missing_workers) - 1
        changes = [
            self._evaluate_site(site, membership, now, increase, load)
            for site, membership in memberships.items()
        ]
        return [change for change in changes if change is not None]

    def _update_site_list(self, memberships: Mapping[str, SiteMembership], now: float) -> None:
        for site in memberships:
            self.sites.setdefault(site, SiteHealth(state_since=now))
        for site in [site for site in self.sites if site not in memberships]:
            del self.sites[site]

    def _update_isolation(self, now: float, isolated: bool) -> None:
        if not isolated:
            self.isolated_since = None
        elif self.isolated_since is None:
            self.isolated_since = now

    def _evaluate_site(
        self, site: str, membership: SiteMembership, now: float, increase: float, load: LoadSample
    ) -> HealthChange | None:
        health = self.sites[site]
        if membership.alive_count:
            health.silent_since = None
            health.evidence = 0.0
            return self._evaluate_reachable_site(site, membership, now)
        if membership.worker_count and membership.left_count == membership.worker_count:
            return self._set_state(site, SiteState.AWAY, "all of its workers have left on purpose", now)
        self._add_evidence(health, now, increase, load)
        return self._evaluate_silent_site(site, membership, now)

    @staticmethod
    def _add_evidence(health: SiteHealth, now: float, increase: float, load: LoadSample) -> None:
        if health.silent_since is None:
            health.silent_since = now
        evidence = health.evidence + load.evidence(increase)
        health.evidence = max(-MAX_EVIDENCE, min(MAX_EVIDENCE, evidence))

    def _evaluate_silent_site(self, site: str, membership: SiteMembership, now: float) -> HealthChange | None:
        health = self.sites[site]
        assert health.silent_since is not None
        silence_s = now - health.silent_since
        if silence_s < MIN_SILENCE_S:
            return None
        # Arrivals at different workers are independent, so their log-likelihood ratios add up.
        evidence = health.evidence + membership.evidence
        if evidence >= EVIDENCE_THRESHOLD:
            return self._declare_lost(site, silence_s, now)
        if health.state is SiteState.LOST:
            if evidence > -EVIDENCE_THRESHOLD:
                return None
            return self._set_state(
                site, SiteState.PARTITIONED, "silent, but its load no longer comes here", now
            )
        if any(state in REACHABLE_STATES for state in membership.third_site_states):
            return self._set_state(site, SiteState.PARTITIONED, "silent here, heard by a third site", now)
        if evidence <= -EVIDENCE_THRESHOLD:
            reason = "silent, but none of its load comes here: the link is cut, or we are cut off"
            return self._set_state(site, SiteState.PARTITIONED, reason, now)
        if health.state is SiteState.PARTITIONED:
            return None
        reason = "silent; whether its load comes here is not known yet"
        return self._set_state(site, SiteState.SILENT, reason, now)

    def _declare_lost(self, site: str, silence_s: float, now: float) -> HealthChange | None:
        health = self.sites[site]
        if health.state is SiteState.LOST:
            return None
        health.lost_at = [loss_at for loss_at in health.lost_at if now - loss_at < FLAP_WINDOW_S] + [now]
        reason = f"silent for {silence_s:.1f} s, and its load comes here"
        return self._set_state(site, SiteState.LOST, reason, now)

    def _evaluate_reachable_site(
        self, site: str, membership: SiteMembership, now: float
    ) -> HealthChange | None:
        if self.sites[site].state in ABSENT_STATES and membership.returning_count:
            reason = f"{membership.returning_count} of its workers are coming back"
            return self._set_state(site, SiteState.RETURNING, reason, now)
        if 2 * membership.alive_count >= membership.worker_count:
            return self._set_state(site, SiteState.UP, "", now)
        return self._set_state(site, SiteState.DEGRADED, "less than half of its workers are heard", now)

    def _set_state(self, site: str, state: SiteState, reason: str, now: float) -> HealthChange | None:
        """Sets a site's state and reason; returns the change, or None if only the reason differs."""
        health = self.sites[site]
        health.reason = reason
        if health.state is state:
            return None
        health.state = state
        health.state_since = now
        change = HealthChange(now, site, state, reason)
        self.changes.append(change)
        del self.changes[:-MAX_CHANGES]
        return change

    # Queries.

    def lost_sites(self) -> list[str]:
        """Returns the sorted names of all lost sites."""
        return sorted(site for site, health in self.sites.items() if health.state is SiteState.LOST)

    def requested_wait_s(self, site: str, now: float) -> float:
        """Returns how much longer a repeatedly lost site is asked to wait before it advances its ramp."""
        health = self.sites[site]
        repeats = len([loss_at for loss_at in health.lost_at if now - loss_at < FLAP_WINDOW_S]) - 1
        if repeats < 1 or health.state not in REACHABLE_STATES:
            return 0.0
        wait_s: float = min(MAX_FLAP_WAIT_S, FLAP_WAIT_S * 2 ** (repeats - 1))
        return max(0.0, health.state_since + wait_s - now)
