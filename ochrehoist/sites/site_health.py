"""The health of the other sites, as one worker tracks it. No I/O; seconds.

A site that nobody here hears has died, or only the link to it has: its silence is the same. What differs is
the load: of a site that died it comes here, of one that is cut off it does not. So without that evidence no
site is called lost, and a worker that hears nobody of any other site decides nothing for them.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

MIN_SILENCE_S = 0.5  # before anything is made of it
# Wald's sequential test weighs the load of before against what a loss would bring, by what comes. The
# logarithm of the likelihood ratio decides at EVIDENCE_THRESHOLD: an error in a thousand for what comes by
# chance alone. Bursts count for less.
EVIDENCE_THRESHOLD = 7.0
MAX_EVIDENCE = 10.0
BURST_FACTOR = 1.5
FLAP_WINDOW_S = 60.0  # in which losses of one site are counted
FLAP_WAIT_S = 1.0  # before a site that was lost again takes a stage; doubled each time
MAX_FLAP_WAIT_S = 16.0
MAX_CHANGES = 100


class SiteState(StrEnum):
    """What a site is taken for, by the names that are reported and shown."""

    UP = "up"
    THIN = "thin"  # less than half of its workers are heard
    UNHEARD = "unheard"
    CUT = "cut"  # the link to it is cut
    LOST = "lost"
    RETURNING = "returning"
    AWAY = "away"  # its workers left on purpose


REACHABLE_STATES = frozenset({SiteState.UP, SiteState.THIN, SiteState.RETURNING})
ABSENT_STATES = frozenset({SiteState.LOST, SiteState.RETURNING, SiteState.AWAY})


@dataclass(slots=True, frozen=True)
class SiteMembership:
    """What membership says of one site's workers, and what others report of it."""

    known: int
    alive: int
    left: int = 0
    returning: int = 0  # of those alive
    third_site_states: Sequence[str] = ()
    evidence: float = 0.0  # of all others that are heard, together

    @property
    def is_silent(self) -> bool:
        """Whether nobody of it is heard, though not all left on purpose."""
        return not self.alive and self.left < self.known


@dataclass(slots=True)
class SiteHealth:
    """What one site is taken for, and why."""

    state: SiteState = SiteState.UP
    since: float = 0.0
    reason: str = ""
    silent_since: float | None = None
    evidence: float = 0.0  # that its load comes here, as a logarithm of likelihoods
    lost_at: list[float] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class LoadSample:
    """First tries that came to this worker over `span_s`, and the usual rate; None: not known yet."""

    arrivals: float
    usual_rate: float | None
    span_s: float

    def evidence(self, increase: float) -> float:
        """How much more likely this is where the load has grown so than where it has not."""
        if self.usual_rate is None or increase <= 0:
            return 0.0
        expected_growth = self.usual_rate * self.span_s * increase
        return (self.arrivals * math.log1p(increase) - expected_growth) / BURST_FACTOR


@dataclass(slots=True, frozen=True)
class HealthChange:
    """A site was taken for something else."""

    at: float
    site: str
    state: SiteState
    reason: str


class SiteHealthTracker:
    """The health of each other site; `changes` holds the latest changes, the newest last."""

    def __init__(self) -> None:
        self.sites: dict[str, SiteHealth] = {}
        self.changes: list[HealthChange] = []
        self.isolated_since: float | None = None  # this worker's own site hears no other

    def tick(
        self, now: float, memberships: Mapping[str, SiteMembership], own_workers: int, load: LoadSample
    ) -> list[HealthChange]:
        """Several times a second; gives what has changed. `own_workers`: of this worker's own site."""
        self._follow_sites(memberships, now)
        silent = [site for site, membership in memberships.items() if membership.is_silent]
        self._update_isolation(now, bool(memberships) and len(silent) == len(memberships))
        missing = sum(memberships[site].known for site in silent)
        total = own_workers + sum(membership.known for membership in memberships.values())
        increase = total / max(1, total - missing) - 1  # of the load, if all of these are lost
        changes = [
            self._judge(site, membership, now, increase, load) for site, membership in memberships.items()
        ]
        return [change for change in changes if change is not None]

    def _follow_sites(self, memberships: Mapping[str, SiteMembership], now: float) -> None:
        for site in memberships:
            self.sites.setdefault(site, SiteHealth(since=now))
        for site in [site for site in self.sites if site not in memberships]:
            del self.sites[site]

    def _update_isolation(self, now: float, isolated: bool) -> None:
        if not isolated:
            self.isolated_since = None
        elif self.isolated_since is None:
            self.isolated_since = now

    def _judge(
        self, site: str, membership: SiteMembership, now: float, increase: float, load: LoadSample
    ) -> HealthChange | None:
        health = self.sites[site]
        if membership.alive:
            health.silent_since = None
            health.evidence = 0.0
            return self._judge_reachable(site, membership, now)
        if membership.known and membership.left == membership.known:
            return self._change(site, SiteState.AWAY, "all of its workers have left on purpose", now)
        self._weigh_load(health, now, increase, load)
        return self._judge_silent(site, membership, now)

    @staticmethod
    def _weigh_load(health: SiteHealth, now: float, increase: float, load: LoadSample) -> None:
        if health.silent_since is None:
            health.silent_since = now
        evidence = health.evidence + load.evidence(increase)
        health.evidence = max(-MAX_EVIDENCE, min(MAX_EVIDENCE, evidence))

    def _judge_silent(self, site: str, membership: SiteMembership, now: float) -> HealthChange | None:
        health = self.sites[site]
        assert health.silent_since is not None
        silence_s = now - health.silent_since
        if silence_s < MIN_SILENCE_S:
            return None
        # What came to each worker is evidence of its own: likelihoods multiply.
        evidence = health.evidence + membership.evidence
        if evidence >= EVIDENCE_THRESHOLD:
            return self._call_lost(site, silence_s, now)
        if health.state is SiteState.LOST:
            if evidence > -EVIDENCE_THRESHOLD:
                return None
            return self._change(site, SiteState.CUT, "silent, but its load no longer comes here", now)
        if any(state in REACHABLE_STATES for state in membership.third_site_states):
            return self._change(site, SiteState.CUT, "silent here, heard by a third site", now)
        if evidence <= -EVIDENCE_THRESHOLD:
            reason = "silent, but none of its load comes here: the link is cut, or we are cut off"
            return self._change(site, SiteState.CUT, reason, now)
        if health.state is SiteState.CUT:
            return None
        reason = "silent; whether its load comes here is not known yet"
        return self._change(site, SiteState.UNHEARD, reason, now)

    def _call_lost(self, site: str, silence_s: float, now: float) -> HealthChange | None:
        health = self.sites[site]
        if health.state is SiteState.LOST:
            return None
        health.lost_at = [at for at in health.lost_at if now - at < FLAP_WINDOW_S] + [now]
        reason = f"silent for {silence_s:.1f} s, and its load comes here"
        return self._change(site, SiteState.LOST, reason, now)

    def _judge_reachable(self, site: str, membership: SiteMembership, now: float) -> HealthChange | None:
        if self.sites[site].state in ABSENT_STATES and membership.returning:
            reason = f"{membership.returning} of its workers are coming back"
            return self._change(site, SiteState.RETURNING, reason, now)
        if 2 * membership.alive >= membership.known:
            return self._change(site, SiteState.UP, "", now)
        return self._change(site, SiteState.THIN, "less than half of its workers are heard", now)

    def _change(self, site: str, state: SiteState, reason: str, now: float) -> HealthChange | None:
        """Takes a site for something, or for the same with another reason; gives a change of its state."""
        health = self.sites[site]
        health.reason = reason
        if health.state is state:
            return None
        health.state = state
        health.since = now
        change = HealthChange(now, site, state, reason)
        self.changes.append(change)
        del self.changes[:-MAX_CHANGES]
        return change

    # What follows from it.

    def lost_sites(self) -> list[str]:
        """Names in their order."""
        return sorted(site for site, health in self.sites.items() if health.state is SiteState.LOST)

    def requested_wait_s(self, site: str, now: float) -> float:
        """For how long a site that was lost several times lately is asked to stay at its first stage."""
        health = self.sites[site]
        repeats = len([at for at in health.lost_at if now - at < FLAP_WINDOW_S]) - 1
        if repeats < 1 or health.state not in REACHABLE_STATES:
            return 0.0
        wait_s: float = min(MAX_FLAP_WAIT_S, FLAP_WAIT_S * 2 ** (repeats - 1))
        return max(0.0, health.since + wait_s - now)
