"""Settings of one worker as a member of its fleet."""

from collections.abc import Mapping
from dataclasses import dataclass

from ochrehoist.peers.budget import Budget


@dataclass(frozen=True)
class FleetSettings:
    """Fleet settings; all except `group` can change while the worker runs. Addresses are host:port."""

    group: str
    address: str  # this worker's own address
    site: str
    addresses: Mapping[str, str]  # member addresses by name
    seed_addresses: tuple[str, ...]  # addresses of members with unknown names
    protocol_period_s: float
    budgets: tuple[Budget, ...]
    services: tuple[str, ...]
    max_ejected_fraction: float  # fraction of the services that may be ejected at a time
    max_rate_per_s: float  # upper bound of one worker's counting rate, over all counters

    def addresses_of_others(self) -> dict[str, str]:
        """Returns the member addresses by name, without this worker's own."""
        return {name: address for name, address in self.addresses.items() if address != self.address}
