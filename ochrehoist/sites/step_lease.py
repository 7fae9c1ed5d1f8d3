"""The fleet-wide step lease, which a returning site needs to advance its ramp.

No I/O; times are in seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from ochrehoist.peers.budget import Budget
from ochrehoist.sites.peer_workers import PeerWorkers
from ochrehoist.sites.site_health import ABSENT_STATES, SiteState
from ochrehoist.sites.site_report import SiteObservation

if TYPE_CHECKING:
    from ochrehoist.peers.group import Group

STEP_LEASE_BUDGET = "sites.return"
STEP_LEASE_DURATION_S = 0.5  # the lease is certainly held for this long after a slot was acquired
STEP_LEASE_RENEW_INTERVAL_S = 0.25
AFTER_LOSS_STATES = ABSENT_STATES - {SiteState.AWAY}


def step_lease_budget(grantors: tuple[str, ...]) -> Budget:
    """Returns the budget that implements the step lease: one concurrent run for the whole fleet.

    Its lease is short: a restarted grantor waits until all leases that it may have granted have expired, and
    a long wait would delay the recovery.
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
    """The fleet-wide lease, as held by one worker for its site."""

    def acquire(self, now: float) -> float:
        """Acquires or renews the lease; called at each tick while it is needed.

        Returns the seconds for which it is certainly held from `now` on; 0 if it is not held.
        """
        ...

    def release(self) -> None:
        """Releases the lease if it is held."""
        ...


class UnavailableStepLease:
    """A lease that is never granted, for workers without a group of peers."""

    def acquire(self, now: float) -> float:  # noqa: ARG002
        """Returns 0: the lease is never held."""
        return 0.0

    def release(self) -> None:
        """Does nothing."""


class BudgetStepLease:
    """The lease implemented by a budget of the peers' group."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._ticket: int | None = None
        self._renewed_at = 0.0
        self._held_until = 0.0

    def acquire(self, now: float) -> float:
        """Renews the slot if it is due; returns the seconds for which the last slot is certainly held."""
        if now - self._renewed_at >= STEP_LEASE_RENEW_INTERVAL_S:
            self._renewed_at = now
            self.release()
            self._ticket = self._group.leases.acquire(STEP_LEASE_BUDGET, now)
            if self._ticket is not None:
                self._held_until = now + STEP_LEASE_DURATION_S
        return max(0.0, self._held_until - now)

    def release(self) -> None:
        """Releases the slot, so that another site can acquire it at once."""
        if self._ticket is not None:
            self._group.leases.release(STEP_LEASE_BUDGET, self._ticket)
            self._ticket = None


class StepPermission(NamedTuple):
    """Whether this worker may enter its next stage, and how long its peers ask it to wait."""

    granted: bool
    requested_wait_s: float


class StepArbiter:
    """The arbiter that decides whether this worker may enter the next stage of its ramp.

    A single returning worker needs no lease. If a whole site returns, its recovering worker with the first
    name acquires the fleet-wide lease, and the others rely on that worker's report.
    """

    def __init__(self, worker: str, site: str, lease: StepLease) -> None:
        self._worker = worker
        self._site = site
        self.lease = lease
        self.held_until = 0.0
        self.site_returns = False

    def evaluate(self, now: float, peers: PeerWorkers, returned_by_operators: bool) -> StepPermission:
        """Returns the permission for the next stage; called at each tick of a recovery ramp."""
        observations = [reported.observation for reported in peers.observations_of(self._site)]
        self.site_returns = returned_by_operators or self._site_was_lost(peers, observations)
        if not self.site_returns:
            self.lease.release()
            return StepPermission(True, 0.0)
        requested_wait_s = max((entry.wait_ms / 1000 for entry in observations), default=0.0)
        if requested_wait_s <= 0 and self._is_first_recovering(peers):
            self.held_until = max(self.held_until, now + self.lease.acquire(now))
        else:
            self.lease.release()
        granted = self.held_until > now or self._held_by_peer_s(peers) > 0
        return StepPermission(granted, requested_wait_s)

    def _recovering(self, peers: PeerWorkers) -> list[str]:
        return [
            peer.name
            for peer in peers.in_site(self._site)
            if peer.is_alive and (report := peer.fresh_report) is not None and not report.is_full_service
        ]

    def _site_was_lost(self, peers: PeerWorkers, observations: list[SiteObservation]) -> bool:
        """Whether peers report the site as lost or returning, or half of its workers are recovering."""
        if any(observation.state in AFTER_LOSS_STATES for observation in observations):
            return True
        peer_count = len(peers.in_site(self._site))
        return peer_count > 0 and 2 * (1 + len(self._recovering(peers))) >= 1 + peer_count

    def _is_first_recovering(self, peers: PeerWorkers) -> bool:
        return self._worker <= min(self._recovering(peers), default=self._worker)

    def _held_by_peer_s(self, peers: PeerWorkers) -> float:
        return max(
            (
                report.step_lease_ms / 1000 - peer.age_s
                for peer in peers.in_site(self._site)
                if (report := peer.fresh_report) is not None
            ),
            default=0.0,
        )
