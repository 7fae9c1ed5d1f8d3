"""A copy of the counters of another incarnation, as far as they were received. No I/O; times in seconds."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ochrehoist.peers.own_counters import MAX_KEYS
from ochrehoist.peers.wire import CounterDelta


@dataclass(slots=True, frozen=True)
class PendingVersion:
    """The version that a replica has once the last part of a round has arrived, and when it existed."""

    version: int = 0
    as_of: float = 0.0


@dataclass(slots=True)
class CounterReplica:
    """Counts of one incarnation.

    All counts of `version` are there, which existed at `as_of` or later; single counts may be newer.
    """

    counts: dict[str, int]
    version: int
    as_of: float | None  # None: its beginning is unknown, so what is missing has no bound yet
    ended: bool = False
    started_at: float | None = None  # at this moment or later it had counted nothing
    complete_up_to: str = ""  # the key up to which the parts of `pending` have arrived
    pending: PendingVersion = field(default_factory=PendingVersion)
    _sorted_keys: list[str] = field(default_factory=list)

    def sorted_keys(self) -> list[str]:
        """All keys in order."""
        if len(self._sorted_keys) != len(self.counts):
            self._sorted_keys = sorted(self.counts)
        return self._sorted_keys

    def merge(self, counts: Mapping[str, int]) -> None:
        """Takes each count that is higher than the one known."""
        for key, count in counts.items():
            has_room = key in self.counts or len(self.counts) < MAX_KEYS
            if count > self.counts.get(key, -1) and has_room:
                self.counts[key] = count

    def complete(self, version: int, as_of: float) -> None:
        """All counts of a version are there."""
        self.version = max(self.version, version)
        self.as_of = as_of if self.as_of is None else max(self.as_of, as_of)
        if self.pending.version <= self.version:
            self.complete_up_to = ""

    def advance(self, delta: CounterDelta, as_of: float) -> None:
        """Notes which range of keys a part has completed; its counts were merged before."""
        if not delta.after_key and not delta.up_to_key:
            self.complete(delta.version, as_of)
            return
        if delta.after_key != self.complete_up_to or delta.version <= self.version:
            return
        # Whoever sent each of them, all parts are of the earliest version or a later one.
        before = self.pending if self.complete_up_to else PendingVersion(delta.version, as_of)
        self.pending = PendingVersion(min(before.version, delta.version), min(before.as_of, as_of))
        self.complete_up_to = delta.up_to_key
        if not delta.up_to_key:
            self.complete(self.pending.version, self.pending.as_of)


@dataclass(slots=True, frozen=True)
class CounterReading:
    """`total` is what was received; the truth is at most `missing` plus `lost` more."""

    total: int
    age_s: float  # of the oldest replica that still counts
    missing: int
    lost: int  # of incarnations that ended, at most: it will never be known
