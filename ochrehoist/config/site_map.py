"""Which site an address lies in, by the description of the fleet that the planner reads too.

Loaded only where `sites.fleet` names a description: its libraries are for those who want it.
"""

from pathlib import Path

from ochrehoist.config.fleet_description import Fleet, FleetDescriptionError, load
from ochrehoist.errors import OchrehoistError


class SiteMapError(OchrehoistError):
    """The description cannot be used; the text names file and key."""


class FleetSiteMap:
    """Sites by address; two are equal where their descriptions are."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.site_names = [site.name for site in fleet.sites]

    @classmethod
    def load(cls, path: Path) -> "FleetSiteMap":
        """From a file. Raises SiteMapError."""
        try:
            return cls(load(path))
        except (FleetDescriptionError, OSError) as error:
            raise SiteMapError(str(error)) from None

    def __eq__(self, other: object) -> bool:
        return isinstance(other, FleetSiteMap) and other._fleet == self._fleet

    __hash__ = None  # type: ignore[assignment]  # a fleet description has none

    def site_of(self, host: str) -> str | None:
        """By the site's networks, addresses and ranges; None: it lies in no site."""
        return self._fleet.site_of(host)
