"""What one worker's part in its fleet is configured with."""

from collections.abc import Mapping
from dataclasses import dataclass

from ochrehoist.peers.budget import Budget


@dataclass(frozen=True)
class FleetSettings:
    """All of it but `group` may change while the worker runs. Addresses are written as host:port."""

    group: str
    address: str  # of this worker
    site: str
    addresses: Mapping[str, str]  # of members, by name
    seed_addresses: tuple[str, ...]  # of members whose names are not known
    protocol_period_s: float
    budgets: tuple[Budget, ...]
    services: tuple[str, ...]
    max_ejected_fraction: float  # of the services
    max_rate_per_s: float  # that one worker counts at the most

    def addresses_of_others(self) -> dict[str, str]:
        """The addresses by name without this worker's own."""
        return {name: address for name, address in self.addresses.items() if address != self.address}
