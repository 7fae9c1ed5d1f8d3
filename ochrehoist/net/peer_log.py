"""Log events about the fleet: changes of members, of services, and of this worker's own membership."""

from ochrehoist.core.protocols import Logger
from ochrehoist.peers.group import Group
from ochrehoist.peers.outlier_detection import EjectionState
from ochrehoist.peers.wire import MemberState


class PeerEventLog:
    """Log of the changes of a group, each found by comparison with its previous state."""

    def __init__(self, log: Logger) -> None:
        self._log = log
        self._isolated = False
        self._has_duplicate = False
        self._member_states: dict[str, MemberState] = {}
        self._service_states: dict[str, EjectionState] = {}

    def update(self, group: Group, now: float) -> None:
        """Logs the changes since the last call; `now` is in seconds of the monotonic clock."""
        self._update_isolation(group.members.isolated_for_s(now) is not None)
        self._update_duplicate(group)
        self._update_members(group)
        self._update_services(group)

    def _update_isolation(self, isolated: bool) -> None:
        if isolated != self._isolated:
            self._log.warning("peers_unreachable" if isolated else "peers_reachable")
        self._isolated = isolated

    def _update_duplicate(self, group: Group) -> None:
        duplicate = group.members.duplicate
        if duplicate is not None and not self._has_duplicate:
            self._log.error(
                "duplicate_member_name",
                member=duplicate.name,
                own_incarnation=group.incarnation.number,
                other_incarnation=duplicate.number,
                other_boot_id=duplicate.boot_id,
            )
        self._has_duplicate = duplicate is not None

    def _update_members(self, group: Group) -> None:
        states = {name: member.state for name, member in group.members.members.items()}
        for name, state in states.items():
            if state != self._member_states.get(name, MemberState.ALIVE):
                self._log.warning("member_state_changed", member=name, state=state.value)
        self._member_states = states

    def _update_services(self, group: Group) -> None:
        services = group.outliers.services
        states = {name: service.ejection for name, service in services.items()}
        for name, state in states.items():
            if state != self._service_states.get(name, EjectionState.IN):
                self._log.warning(
                    "service_ejection_changed",
                    server=name,
                    state=state.value,
                    reason=services[name].reason,
                )
        self._service_states = states
