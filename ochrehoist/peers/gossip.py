"""Gossip queue: each change of a member is piggybacked on a limited number of messages. No I/O."""

import math

MAX_UPDATES = 8  # per message


class GossipQueue:
    """Names of changed members, each with the number of messages that it is still to be sent on."""

    def __init__(self) -> None:
        self.remaining: dict[str, int] = {}

    def enqueue(self, name: str, member_count: int) -> None:
        """Schedules a member for a number of messages that is logarithmic in the size of the fleet."""
        self.remaining[name] = 3 * max(1, math.ceil(math.log2(member_count + 2)))

    def take(self, count: int) -> list[str]:
        """Removes and returns up to `count` names for one message, the least often sent first."""
        names = sorted(self.remaining, key=lambda name: -self.remaining[name])[:count]
        for name in names:
            self.remaining[name] -= 1
            if self.remaining[name] <= 0:
                del self.remaining[name]
        return names
