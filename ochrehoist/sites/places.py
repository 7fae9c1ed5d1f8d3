"""Which site an address lies in, by the description of the fleet that the planner reads too."""

from pathlib import Path

import netaddr

from ochrehoist.errors import OchrehoistError
from ochrehoist.plan.fleet import Fleet, FleetDescriptionError, load


class SiteMapError(OchrehoistError):
    """The description can't be used; the text names file and key."""


class Places:
    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.names = [s.name for s in fleet.sites]

    @classmethod
    def load(cls, path: Path) -> "Places":
        """Raises SiteMapError."""
        try:
            return cls(load(path))
        except (FleetDescriptionError, OSError) as error:
            raise SiteMapError(str(error)) from None

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Places) and other.fleet == self.fleet

    def site_of(self, host: str) -> str | None:
        """By the site's networks, addresses and ranges."""
        address = netaddr.IPAddress(host)
        return next((s.name for s in self.fleet.sites if address in s.space), None)
