"""Which members are gossiped about: each change of a member rides on a few messages. No I/O."""

import math

MAX_UPDATES = 8  # in a message


class GossipQueue:
    """Names of members to gossip about, and on how many more messages each is sent."""

    def __init__(self) -> None:
        self.remaining: dict[str, int] = {}

    def enqueue(self, name: str, member_count: int) -> None:
        """Spreads news of a member: on a number of messages that is logarithmic in the size of the fleet."""
        self.remaining[name] = 3 * max(1, math.ceil(math.log2(member_count + 2)))

    def take(self, count: int) -> list[str]:
        """The names for one message, the least often sent first."""
        names = sorted(self.remaining, key=lambda name: -self.remaining[name])[:count]
        for name in names:
            self.remaining[name] -= 1
            if self.remaining[name] <= 0:
                del self.remaining[name]
        return names
