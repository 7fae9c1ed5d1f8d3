"""Operators' commands for sites, replicated to all workers. No I/O; times are in seconds.

Each worker reports the commands that it knows, and merges those of its peers, so a worker that missed a
command gets it from any other. A command's number is higher than all numbers known to the worker that issues
it. For each site, the command with the highest number wins; ties are broken by the issuer's name. Every
command expires.
"""

from dataclasses import dataclass
from enum import StrEnum

from ochrehoist.sites.site_report import CommandEntry


class CommandKind(StrEnum):
    """The kinds of commands; the values are used by operators and in reports."""

    EVACUATE = "evacuate"
    RETURN = "return"
    HOLD = "hold"
    SKIP = "skip"
    END = "end"


DURATION_S = {
    CommandKind.EVACUATE: 6 * 3600.0,
    CommandKind.RETURN: 600.0,
    CommandKind.HOLD: 900.0,
    CommandKind.SKIP: 60.0,
    CommandKind.END: 60.0,
}
MAX_SITES = 32  # peers' commands for further sites are ignored


@dataclass(slots=True)
class OperatorCommand:
    """One command for a site."""

    kind: CommandKind
    number: int
    issued_by: str  # name of the worker that received the command from the operator
    expires_at: float


class OperatorCommands:
    """The latest command for each site.

    An expired command is kept for as long as it was valid, so that an older one that arrives late does not
    take effect.
    """

    def __init__(self) -> None:
        self.by_site: dict[str, OperatorCommand] = {}

    def issue(self, site: str, kind: CommandKind, issued_by: str, now: float) -> OperatorCommand:
        """Issues a command that an operator gave to this worker."""
        number = max((command.number for command in self.by_site.values()), default=0) + 1
        self.by_site[site] = OperatorCommand(kind, number, issued_by, now + DURATION_S[kind])
        return self.by_site[site]

    def merge(self, entries: list[CommandEntry], age_s: float, now: float) -> None:
        """Merges the commands of a peer's report; `age_s` is the upper limit of the report's age."""
        for entry in entries:
            kind = _parse_kind(entry.kind)
            is_full = entry.site not in self.by_site and len(self.by_site) >= MAX_SITES
            if kind is None or entry.number < 1 or is_full:
                continue
            current = self.by_site.get(entry.site)
            if current is None or (entry.number, entry.issued_by) > (current.number, current.issued_by):
                remaining_s = min(entry.remaining_ms / 1000, DURATION_S[kind])
                self.by_site[entry.site] = OperatorCommand(
                    kind, entry.number, entry.issued_by, now + remaining_s - age_s
                )

    def active(self, site: str, now: float) -> OperatorCommand | None:
        """Returns the site's latest command; None if there is none or it has expired."""
        command = self.by_site.get(site)
        return command if command is not None and command.expires_at > now else None

    def entries(self, now: float) -> list[CommandEntry]:
        """Returns the commands to report to peers, after removing those that expired long ago."""
        self._remove_long_expired(now)
        return [
            CommandEntry(
                site,
                str(command.kind),
                command.number,
                command.issued_by,
                int(1000 * (command.expires_at - now)),
            )
            for site, command in self.by_site.items()
        ]

    def _remove_long_expired(self, now: float) -> None:
        long_expired = [
            site
            for site, command in self.by_site.items()
            if now - command.expires_at > DURATION_S[command.kind]
        ]
        for site in long_expired:
            del self.by_site[site]


def _parse_kind(name: str) -> CommandKind | None:
    try:
        return CommandKind(name)
    except ValueError:
        return None
