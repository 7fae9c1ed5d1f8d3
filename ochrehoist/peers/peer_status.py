"""Statuses reported by other members, with their ages, and this worker's own. No I/O; times in seconds."""

from collections.abc import Mapping, Sequence

from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.lease_assignment import PeerDemand
from ochrehoist.peers.member import PRESENT_STATES
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.remote_health import RemoteReport
from ochrehoist.peers.wire import (
    BudgetDemand,
    HealthObservation,
    MemberState,
    MemberUpdate,
    MessageRejectedError,
    WorkerStatus,
    decode_status,
    encode_status,
)

DEMAND_MAX_AGE_S = 2.0  # an older demand of another worker is not served by a transfer


class OwnStatus:
    """This worker's status as published to all other members; each renewal is a new version."""

    def __init__(self, settings: FleetSettings, membership: Membership) -> None:
        self.leaving = False
        self.version = 0
        self.encoded = b""
        self._settings = settings
        self._membership = membership

    def reconfigure(self, settings: FleetSettings) -> None:
        """Applies new settings."""
        self._settings = settings

    def renew(
        self,
        now: float,
        observations: Sequence[HealthObservation],
        demands: Sequence[BudgetDemand],
        extensions: Mapping[str, bytes],
    ) -> None:
        """Replaces the status, with a new version number."""
        isolated = self._membership.isolated_for_s(now) is not None
        status = WorkerStatus(self.leaving, isolated, list(observations), list(demands), dict(extensions))
        self.version += 1
        self.encoded = encode_status(status)

    def update(self) -> MemberUpdate:
        """Returns the status with this worker's incarnation, address and site."""
        return MemberUpdate(
            self._membership.incarnation,
            self._settings.address,
            self._settings.site,
            MemberState.LEFT if self.leaving else MemberState.ALIVE,
            self.version,
            0,
            self.encoded,
            self._membership.refutations,
        )


class PeerStatuses:
    """Statuses of the other members; each version is decoded once."""

    def __init__(self, membership: Membership) -> None:
        self.decoded: dict[str, tuple[int, WorkerStatus]] = {}  # by name: version and status
        self._membership = membership

    def status_of(self, name: str) -> WorkerStatus | None:
        """Returns the latest status of a member; None if there is none or it cannot be decoded."""
        member = self._membership.members.get(name)
        if member is None or member.status_as_of is None or not member.status:
            return None
        cached = self.decoded.get(name)
        if cached is not None and cached[0] == member.version:
            return cached[1]
        try:
            status = decode_status(member.status)
        except MessageRejectedError:
            return None
        self.decoded[name] = (member.version, status)
        return status

    def leaving_names(self) -> set[str]:
        """Returns the names of members that have announced their shutdown."""
        return {
            name
            for name in self._membership.members
            if (status := self.status_of(name)) is not None and status.leaving
        }

    def demands(self, budget: str, now: float) -> dict[str, PeerDemand]:
        """Returns the held slots and demand of one budget, for each live member that reports them."""
        demands = {}
        for name, member in self._membership.members.items():
            status = self.status_of(name) if member.state in PRESENT_STATES else None
            if status is None or member.status_as_of is None:
                continue
            for demand in status.demands:
                if demand.budget == budget:
                    fresh = now - member.status_as_of <= DEMAND_MAX_AGE_S and not status.leaving
                    demands[name] = PeerDemand(demand.held_slots, demand.wanted, demand.denied, fresh)
        return demands

    def health_reports(self, now: float) -> dict[str, RemoteReport]:
        """Returns the service observations of each live member that reports any."""
        reports = {}
        for name, member in self._membership.members.items():
            status = self.status_of(name) if member.state in PRESENT_STATES else None
            if status is not None and status.observations and member.status_as_of is not None:
                reports[name] = RemoteReport(now - member.status_as_of, status.observations)
        return reports

    def extension_data(self, topic: str, now: float) -> dict[str, tuple[float, bytes]]:
        """Returns the data that members report for an extension, each with its maximum age in s."""
        data = {}
        for name, member in self._membership.members.items():
            status = self.status_of(name)
            if status is not None and topic in status.extensions and member.status_as_of is not None:
                data[name] = now - member.status_as_of, status.extensions[topic]
        return data
