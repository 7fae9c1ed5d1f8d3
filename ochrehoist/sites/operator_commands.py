"""What operators want of a site: one log of commands that all workers merge. No I/O; seconds.

Each command has a number above all that were known where it was issued; the higher counts, and of two alike
the one whose issuer's name comes last. Each has an end. So a worker that missed one gets it from any other
that has it.
"""

from dataclasses import dataclass
from enum import StrEnum

from ochrehoist.sites.site_report import CommandEntry


class CommandKind(StrEnum):
    """The commands, by the names that operators give and workers report."""

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
MAX_SITES = 32  # with a command, as far as others report them


@dataclass(slots=True)
class OperatorCommand:
    """One command for a site."""

    kind: CommandKind
    number: int
    issued_by: str  # the worker that the operator called
    expires_at: float


class OperatorCommands:
    """The latest command for each site.

    One that has ended is kept for as long again, or an older one that comes late would count.
    """

    def __init__(self) -> None:
        self.by_site: dict[str, OperatorCommand] = {}

    def issue(self, site: str, kind: CommandKind, issued_by: str, now: float) -> OperatorCommand:
        """A command that was given here."""
        number = max((command.number for command in self.by_site.values()), default=0) + 1
        self.by_site[site] = OperatorCommand(kind, number, issued_by, now + DURATION_S[kind])
        return self.by_site[site]

    def merge(self, entries: list[CommandEntry], age_s: float, now: float) -> None:
        """Takes what another worker reports; `age_s`: the most that the report can be old."""
        for entry in entries:
            kind = _known_kind(entry.kind)
            is_full = entry.site not in self.by_site and len(self.by_site) >= MAX_SITES
            if kind is None or entry.number < 1 or is_full:
                continue
            mine = self.by_site.get(entry.site)
            if mine is None or (entry.number, entry.issued_by) > (mine.number, mine.issued_by):
                left_s = min(entry.left_ms / 1000, DURATION_S[kind])
                self.by_site[entry.site] = OperatorCommand(
                    kind, entry.number, entry.issued_by, now + left_s - age_s
                )

    def active(self, site: str, now: float) -> OperatorCommand | None:
        """The command that counts now."""
        command = self.by_site.get(site)
        return command if command is not None and command.expires_at > now else None

    def entries(self, now: float) -> list[CommandEntry]:
        """What to report; forgets what ended long ago."""
        self._forget(now)
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

    def _forget(self, now: float) -> None:
        ended = [
            site
            for site, command in self.by_site.items()
            if now - command.expires_at > DURATION_S[command.kind]
        ]
        for site in ended:
            del self.by_site[site]


def _known_kind(name: str) -> CommandKind | None:
    try:
        return CommandKind(name)
    except ValueError:
        return None
