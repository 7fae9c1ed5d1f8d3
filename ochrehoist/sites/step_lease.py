"""The fleet's one lease that a returning site needs for each stage of its ramp. No I/O; seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from ochrehoist.peers.budget import Budget
from ochrehoist.sites.peer_workers import PeerWorkers
from ochrehoist.sites.site_health import ABSENT_STATES, SiteState
from ochrehoist.sites.site_report import SiteObservation

if TYPE_CHECKING:
    from ochrehoist.peers.group import Group

STEP_LEASE_BUDGET = "sites.return"
STEP_LEASE_DURATION_S = 0.5  # for which a use of it counts, and so the least that it is still held
STEP_LEASE_RENEW_INTERVAL_S = 0.25
AFTER_LOSS_STATES = ABSENT_STATES - {SiteState.AWAY}


def step_lease_budget(grantors: tuple[str, ...]) -> Budget:
    """A budget of one run at a time.

    Its lease is short, or grantors that come back themselves, and wait for what they may have granted before,
    would hold up the return.
    """
    return Budget(
        STEP_LEASE_BUDGET,
        1,
        grantors,
        concurrent=True,
        lease_s=0.5,
        floor_fraction=0.0,
        floor_lease_s=0.5,
        max_run_s=STEP_LEASE_DURATION_S,
    )


class StepLease(Protocol):
    """The fleet's lease, as one worker holds it for its site."""

    def acquire(self, now: float) -> float:
        """Seconds for which it is surely held from now on; 0: not held. Asked several times a second."""
        ...

    def release(self) -> None:
        """Gives it back, where it is held."""
        ...


class UnavailableStepLease:
    """No group of peers grants it."""

    def acquire(self, now: float) -> float:  # noqa: ARG002
        """Never held."""
        return 0.0

    def release(self) -> None:
        """Nothing is held."""


class BudgetStepLease:
    """The lease by a budget of the peers' group, renewed while it is asked for."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._ticket: int | None = None
        self._renewed_at = 0.0
        self._held_until = 0.0

    def acquire(self, now: float) -> float:
        """For as long as the slot that was used last is surely held."""
        if now - self._renewed_at >= STEP_LEASE_RENEW_INTERVAL_S:
            self._renewed_at = now
            self.release()
            self._ticket = self._group.leases.acquire(STEP_LEASE_BUDGET, now)
            if self._ticket is not None:
                self._held_until = now + STEP_LEASE_DURATION_S
        return max(0.0, self._held_until - now)

    def release(self) -> None:
        """Lets another site have it at once."""
        if self._ticket is not None:
            self._group.leases.release(STEP_LEASE_BUDGET, self._ticket)
            self._ticket = None


class StepPermission(NamedTuple):
    """Whether this worker may take a stage now, and for how long the others ask it to wait."""

    granted: bool
    requested_wait_s: float


class StepArbiter:
    """Decides whether this worker may take the next stage.

    A worker that comes back alone needs no lease. Of a site that comes back, one worker asks for the fleet's
    lease, and the others rely on its report.
    """

    def __init__(self, worker: str, site: str, lease: StepLease) -> None:
        self._worker = worker
        self._site = site
        self.lease = lease
        self.held_until = 0.0
        self.site_returns = False

    def evaluate(self, now: float, peers: PeerWorkers, returned_by_operators: bool) -> StepPermission:
        """At each tick of a recovery ramp."""
        observations = [reported.observation for reported in peers.observations_of(self._site)]
        self.site_returns = returned_by_operators or self._site_was_lost(peers, observations)
        if not self.site_returns:
            self.lease.release()
            return StepPermission(True, 0.0)
        requested_wait_s = max((o.wait_ms / 1000 for o in observations), default=0.0)
        if requested_wait_s <= 0 and self._is_first_recovering(peers):
            self.held_until = max(self.held_until, now + self.lease.acquire(now))
        else:
            self.lease.release()
        granted = self.held_until > now or self._held_by_peer_s(peers) > 0
        return StepPermission(granted, requested_wait_s)

    def _recovering(self, peers: PeerWorkers) -> list[str]:
        return [
            peer.name
            for peer in peers.of_site(self._site)
            if peer.is_alive and (report := peer.fresh_report) is not None and not report.is_full_service
        ]

    def _site_was_lost(self, peers: PeerWorkers, observations: list[SiteObservation]) -> bool:
        """Whether others called it lost, or at least half of its workers are recovering."""
        if any(o.state in AFTER_LOSS_STATES for o in observations):
            return True
        others = len(peers.of_site(self._site))
        return others > 0 and 2 * (1 + len(self._recovering(peers))) >= 1 + others

    def _is_first_recovering(self, peers: PeerWorkers) -> bool:
        return self._worker <= min(self._recovering(peers), default=self._worker)

    def _held_by_peer_s(self, peers: PeerWorkers) -> float:
        return max(
            (
                report.step_lease_ms / 1000 - peer.age_s
                for peer in peers.of_site(self._site)
                if (report := peer.fresh_report) is not None
            ),
            default=0.0,
        )
