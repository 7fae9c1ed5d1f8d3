"""Replica of the counters of another incarnation, possibly incomplete. No I/O; times in seconds."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ochrehoist.peers.own_counters import MAX_KEYS
from ochrehoist.peers.wire import CounterDelta


@dataclass(slots=True, frozen=True)
class PendingVersion:
    """The version that a replica reaches with the last part of the current round, and its time."""

    version: int = 0
    as_of: float = 0.0


@dataclass(slots=True)
class CounterReplica:
    """The counts received of one incarnation.

    The replica contains all counts of `version`, which was current at `as_of` or later. Individual counts
    may be newer.
    """

    counts: dict[str, int]
    version: int
    as_of: float | None  # None: start time unknown, so the missing counts cannot be bounded yet
    ended: bool = False
    started_at: float | None = None  # lower bound of the time at which all counts were still 0
    complete_up_to: str = ""  # last key received of the `pending` version; empty if no round is in progress
    pending: PendingVersion = field(default_factory=PendingVersion)
    _sorted_keys: list[str] = field(default_factory=list)

    def sorted_keys(self) -> list[str]:
        """Returns all keys in order."""
        if len(self._sorted_keys) != len(self.counts):
            self._sorted_keys = sorted(self.counts)
        return self._sorted_keys

    def merge(self, counts: Mapping[str, int]) -> None:
        """Replaces each stored count that is lower than the received one."""
        for key, count in counts.items():
            has_room = key in self.counts or len(self.counts) < MAX_KEYS
            if count > self.counts.get(key, -1) and has_room:
                self.counts[key] = count

    def complete(self, version: int, as_of: float) -> None:
        """Records that all counts of a version have been received."""
        self.version = max(self.version, version)
        self.as_of = as_of if self.as_of is None else max(self.as_of, as_of)
        if self.pending.version <= self.version:
            self.complete_up_to = ""

    def advance(self, delta: CounterDelta, as_of: float) -> None:
        """Records the key range covered by a delta whose counts have already been merged."""
        if not delta.after_key and not delta.up_to_key:
            self.complete(delta.version, as_of)
            return
        if delta.after_key != self.complete_up_to or delta.version <= self.version:
            return
        # Parts may come from different members; each has the earliest of their versions or a later one.
        current = self.pending if self.complete_up_to else PendingVersion(delta.version, as_of)
        self.pending = PendingVersion(min(current.version, delta.version), min(current.as_of, as_of))
        self.complete_up_to = delta.up_to_key
        if not delta.up_to_key:
            self.complete(self.pending.version, self.pending.as_of)


@dataclass(slots=True, frozen=True)
class CounterReading:
    """The value of a counter: the true count is between `total` and `total + missing + lost`."""

    total: int
    age_s: float  # age of the oldest replica whose incarnation has not ended
    missing: int
    lost: int  # upper bound of the counts of ended incarnations that were never received
