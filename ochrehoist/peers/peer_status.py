"""What other members report of themselves, decoded, with its age; and this worker's own status. No I/O; s."""

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

FRESH_DEMAND_S = 2.0  # for which another worker's demand counts


class OwnStatus:
    """This worker's status as all other members are to know it; each renewal makes a new version."""

    def __init__(self, settings: FleetSettings, membership: Membership) -> None:
        self.leaving = False
        self.version = 0
        self.encoded = b""
        self._settings = settings
        self._membership = membership

    def reconfigure(self, settings: FleetSettings) -> None:
        """Takes new settings."""
        self._settings = settings

    def renew(
        self,
        now: float,
        observations: Sequence[HealthObservation],
        demands: Sequence[BudgetDemand],
        extensions: Mapping[str, bytes],
    ) -> None:
        """Takes what is to be reported from now on."""
        isolated = self._membership.isolated_for_s(now) is not None
        status = WorkerStatus(self.leaving, isolated, list(observations), list(demands), dict(extensions))
        self.version += 1
        self.encoded = encode_status(status)

    def update(self) -> MemberUpdate:
        """The status with who and where this worker is."""
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
    """The statuses of the other members; each version is decoded once."""

    def __init__(self, membership: Membership) -> None:
        self.decoded: dict[str, tuple[int, WorkerStatus]] = {}  # by name: version and status
        self._membership = membership

    def status_of(self, name: str) -> WorkerStatus | None:
        """The latest status of a member; None where none is known or it cannot be read."""
        member = self._membership.members.get(name)
        if member is None or member.status_as_of is None or not member.status:
            return None
        known = self.decoded.get(name)
        if known is not None and known[0] == member.version:
            return known[1]
        try:
            status = decode_status(member.status)
        except MessageRejectedError:
            return None
        self.decoded[name] = (member.version, status)
        return status

    def leaving_names(self) -> set[str]:
        """Members that have announced to leave."""
        return {
            name
            for name in self._membership.members
            if (status := self.status_of(name)) is not None and status.leaving
        }

    def demands(self, budget: str, now: float) -> dict[str, PeerDemand]:
        """What the members that are there hold and want of a budget, as far as it is known."""
        demands = {}
        for name, member in self._membership.members.items():
            status = self.status_of(name) if member.state in PRESENT_STATES else None
            if status is None or member.status_as_of is None:
                continue
            for demand in status.demands:
                if demand.budget == budget:
                    fresh = now - member.status_as_of <= FRESH_DEMAND_S and not status.leaving
                    demands[name] = PeerDemand(demand.held_slots, demand.wanted, demand.denied, fresh)
        return demands

    def health_reports(self, now: float) -> dict[str, RemoteReport]:
        """What the members that are there have observed of services."""
        reports = {}
        for name, member in self._membership.members.items():
            status = self.status_of(name) if member.state in PRESENT_STATES else None
            if status is not None and status.observations and member.status_as_of is not None:
                reports[name] = RemoteReport(now - member.status_as_of, status.observations)
        return reports

    def extension_data(self, topic: str, now: float) -> dict[str, tuple[float, bytes]]:
        """What members report under the topic of an extension, each with the most that it can be old (s)."""
        data = {}
        for name, member in self._membership.members.items():
            status = self.status_of(name)
            if status is not None and topic in status.extensions and member.status_as_of is not None:
                data[name] = now - member.status_as_of, status.extensions[topic]
        return data
