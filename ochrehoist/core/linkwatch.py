"""When a worker counts as cut off from what runs its requests, and when it then looks for the way itself.

A worker that cannot run anything takes requests all the same and fails each at its due time, while routers
that choose by how little is in hand send it more. So it says that it is not well, and reads its configuration
again: an order to do so may never have come, or may have met a file that could not be used.
"""

from dataclasses import dataclass

PATIENCE = 2.0  # s without a link after which the worker is cut off: a move and a broken link take far less
FIRST, LONGEST = 1.0, 10.0  # s between two looks at the configuration: doubled each time up to the longest


@dataclass(slots=True, frozen=True)
class Verdict:
    """What the link's state means now."""

    good: bool  # requests can be run, or may be again in a moment
    read_again: bool = False  # the configuration should be read now


class LinkWatch:
    """Fed with the link's state now and then (times in seconds, of one clock that never goes back)."""

    def __init__(self, patience: float = PATIENCE) -> None:
        self.patience = patience
        self.down_since: float | None = None
        self.look_at = 0.0
        self.wait = FIRST
        self.address: object = None

    def look(self, now: float, up: bool, address: object) -> Verdict:
        """`address` is where the link is tried: another one is given its own time to answer.

        The worker stays cut off meanwhile: only a link that is up makes it well again.
        """
        if up:
            self.down_since = None
            return Verdict(True)
        if self.down_since is None:
            self.down_since, self.wait, self.address = now, FIRST, address
            self.look_at = now + self.patience
        good = now - self.down_since < self.patience
        if address != self.address:
            self.address, self.wait = address, FIRST
            self.look_at = now + FIRST
        if good or now < self.look_at:
            return Verdict(good)
        self.look_at = now + self.wait
        self.wait = min(LONGEST, 2 * self.wait)
        return Verdict(False, True)
