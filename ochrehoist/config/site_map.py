"""Maps addresses to sites by the fleet description, which the planner also reads.

Imported only if `sites.fleet` names a description: other workers do not need its libraries.
"""

from pathlib import Path

from ochrehoist.config.fleet_description import Fleet, FleetDescriptionError, load
from ochrehoist.errors import OchrehoistError


class SiteMapError(OchrehoistError):
    """An invalid or unreadable fleet description; the text names the file and the key."""


class FleetSiteMap:
    """Map from addresses to sites. Maps of equal fleet descriptions are equal."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.site_names = [site.name for site in fleet.sites]

    @classmethod
    def load(cls, path: Path) -> "FleetSiteMap":
        """Loads the fleet description at `path`. Raises SiteMapError."""
        try:
            return cls(load(path))
        except (FleetDescriptionError, OSError) as error:
            raise SiteMapError(str(error)) from None

    def __eq__(self, other: object) -> bool:
        return isinstance(other, FleetSiteMap) and other._fleet == self._fleet

    __hash__ = None  # type: ignore[assignment]  # fleet descriptions are not hashable

    def site_of(self, host: str) -> str | None:
        """Returns the name of the site that contains the address `host`, or None if no site does."""
        return self._fleet.site_of(host)
