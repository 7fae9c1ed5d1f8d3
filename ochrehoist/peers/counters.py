"""Replicated grow-only counters (G-counters): each incarnation increments only its own counts.

Nothing is counted twice, and the missing amount is bounded by the age of the received counts. The bytes sent
at a time are limited, so a replica may arrive in parts (`counter_encoding`). Parts follow the order of the
keys; each part contains all counts that changed in its key range. A request names the version that the
requester has completely and the last key that it received; the answer continues from there. A lost part is
requested again; the answering member keeps no state about the requester. No I/O; times in seconds.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from ochrehoist.peers.budget import CLOCK_DRIFT
from ochrehoist.peers.counter_encoding import (
    MAX_SNAPSHOT_BYTES,
    DeltaWriter,
    ceil_ms,
    max_snapshot_size,
)
from ochrehoist.peers.counter_replica import CounterReading, CounterReplica
from ochrehoist.peers.own_counters import MAX_KEYS, OwnCounters
from ochrehoist.peers.wire import CounterCursor, CounterDelta, CounterSnapshot, Incarnation

MAX_INCARNATIONS = 16  # separate replicas per name; the counts of older incarnations are added up
MAX_REPLICAS_SENT = 4  # replicas in an answer
ROUND_UP_OFFSET = 0.999  # rounds the bounds of a reading up to whole numbers


class ReplicatedCounters:
    """The counters of this incarnation, and replicas of the counters of all others.

    `max_rate_per_s` is the maximum that one worker can count per second over all keys; the bound of the
    missing counts depends on it. `started_at` is a time at which all counts of this incarnation were 0, or
    None if unknown.
    """

    def __init__(
        self, incarnation: Incarnation, max_rate_per_s: float, started_at: float | None = None
    ) -> None:
        self.incarnation = incarnation
        self.max_rate_per_s = max_rate_per_s
        self.own = OwnCounters()
        self.replicas: dict[Incarnation, CounterReplica] = {}
        self.incomplete: dict[Incarnation, None] = {}  # replicas with further parts outstanding
        self.folded_counts: dict[str, Counter[str]] = {}  # by name: sum over the oldest incarnations
        self._started_at = started_at
        self._last_folded: dict[str, tuple[int, int]] = {}  # by name: number and boot id
        self._by_number: dict[tuple[str, int], Incarnation] = {}  # replicas by name and number
        self._cursor_rotation = 0
        self._send_rotation = 0

    def reconfigure(self, max_rate_per_s: float) -> None:
        """Sets a new upper bound of one worker's counting rate."""
        self.max_rate_per_s = max_rate_per_s

    def set_incarnation(self, incarnation: Incarnation) -> None:
        """Sets the incarnation under which this process is known to other members."""
        self.incarnation = incarnation

    def add(self, key: str, count: int = 1) -> None:
        """Adds `count` to the counter `key`, which has the form kind/name/word."""
        self.own.add(key, count)

    # ---- receiving
    def merge_snapshot(
        self, snapshot: CounterSnapshot, round_trip_s: float, now: float, is_present: bool = False
    ) -> None:
        """Merges a complete snapshot from a member of an older release.

        If `is_present` is set, the incarnation is known to be running, and its `ended` flag is ignored.
        """
        if not self._accepts(snapshot.incarnation, len(snapshot.counts)):
            return
        as_of = now - round_trip_s - max(0, snapshot.age_ms) / 1000
        replica = self.replicas.get(snapshot.incarnation)
        if replica is None:
            replica = CounterReplica(dict(snapshot.counts), snapshot.version, as_of)
            self._add_replica(snapshot.incarnation, replica)
        elif snapshot.version >= replica.version:  # an older snapshot contains nothing new
            replica.merge(snapshot.counts)
            replica.complete(snapshot.version, as_of)
            self._track_incomplete(snapshot.incarnation, replica)
        replica.ended = replica.ended or (snapshot.ended and not is_present)

    def merge_delta(
        self, delta: CounterDelta, round_trip_s: float, now: float, is_present: bool = False
    ) -> None:
        """Merges a delta; `is_present` has the same meaning as in `merge_snapshot`."""
        if not self._accepts(delta.incarnation, len(delta.counts)):
            return
        as_of = now - round_trip_s - max(0, delta.age_ms) / 1000
        replica = self.replicas.get(delta.incarnation)
        if replica is None:
            replica = self._empty_replica(delta, round_trip_s, now)
            self._add_replica(delta.incarnation, replica)
        replica.ended = replica.ended or (delta.ended and not is_present)
        replica.merge(delta.counts)
        if delta.since_version <= replica.version:  # otherwise it omits counts that are missing here
            replica.advance(delta, as_of)
            self._track_incomplete(delta.incarnation, replica)

    @staticmethod
    def _empty_replica(delta: CounterDelta, round_trip_s: float, now: float) -> CounterReplica:
        """Returns an empty replica as of the incarnation's start, so that its missing counts are bounded."""
        if delta.started_ms_ago < 0:
            return CounterReplica({}, 0, None)
        started_at = now - round_trip_s - delta.started_ms_ago / 1000 * (1 + CLOCK_DRIFT)
        return CounterReplica({}, 0, started_at, started_at=started_at)

    def _accepts(self, incarnation: Incarnation, key_count: int) -> bool:
        last_folded = self._last_folded.get(incarnation.name, (-1, -1))
        is_folded = (incarnation.number, incarnation.boot_id) <= last_folded
        return incarnation != self.incarnation and not is_folded and key_count <= MAX_KEYS

    def _add_replica(self, incarnation: Incarnation, replica: CounterReplica) -> None:
        self.replicas[incarnation] = replica
        self._by_number[incarnation.name, incarnation.number] = incarnation
        self._fold_oldest(incarnation.name)

    def _fold_oldest(self, name: str) -> None:
        """Merges all but the latest incarnations of a name into their sum."""
        same_name = (incarnation for incarnation in self.replicas if incarnation.name == name)
        oldest_first = sorted(same_name, key=lambda incarnation: (incarnation.number, incarnation.boot_id))
        for incarnation in oldest_first[:-MAX_INCARNATIONS]:
            counts = self.replicas.pop(incarnation).counts
            self.folded_counts.setdefault(name, Counter()).update(counts)
            self._by_number.pop((incarnation.name, incarnation.number), None)
            self.incomplete.pop(incarnation, None)
            self._last_folded[name] = incarnation.number, incarnation.boot_id

    def _track_incomplete(self, incarnation: Incarnation, replica: CounterReplica) -> None:
        if replica.complete_up_to:
            self.incomplete[incarnation] = None
        else:
            self.incomplete.pop(incarnation, None)

    def mark_ended(self, incarnation: Incarnation) -> None:
        """Marks an incarnation as ended, so that its missing counts no longer grow."""
        replica = self.replicas.get(incarnation)
        if replica is not None:
            replica.ended = True

    def mark_present(self, incarnation: Incarnation) -> None:
        """Reverts `mark_ended` for an incarnation that turned out to be running."""
        replica = self.replicas.get(incarnation)
        if replica is not None:
            replica.ended = False

    # ---- queries
    def read(
        self, key: str, now: float, ended_at: Mapping[Incarnation, float] | None = None
    ) -> CounterReading:
        """Returns the total of a key with its bounds; `ended_at` has the end times of ended incarnations."""
        total = self.own.counts[key]
        for folded in self.folded_counts.values():
            total += folded[key]
        age_s = missing = lost = 0.0
        for incarnation, replica in self.replicas.items():
            if replica.as_of is None:
                continue  # no bound yet, as for an unknown incarnation
            total += replica.counts.get(key, 0)
            counted_until = (ended_at or {}).get(incarnation, now)
            unknown_s = max(0.0, counted_until - replica.as_of)
            if replica.ended:
                lost += unknown_s * self.max_rate_per_s
            else:
                age_s = max(age_s, now - replica.as_of)
                missing += unknown_s * self.max_rate_per_s
        return CounterReading(total, age_s, int(missing + ROUND_UP_OFFSET), int(lost + ROUND_UP_OFFSET))

    def sorted_keys(self) -> list[str]:
        """Returns all keys of all incarnations, sorted."""
        keys = set(self.own.counts)
        for replica in self.replicas.values():
            keys |= replica.counts.keys()
        for folded in self.folded_counts.values():
            keys |= folded.keys()
        return sorted(keys)

    # ---- sending
    def cursors_for(self, name: str, number: int) -> list[CounterCursor]:
        """Returns the cursors for a ping: the target's, and in rotation those of other incarnations."""
        target = self._by_number.get((name, number))
        wanted = [target] if target is not None else []
        cursors = [CounterCursor(name, number, 0, "")] if target is None else []
        self._cursor_rotation += 1
        pools = (list(self.incomplete), list(self.replicas))  # one incomplete replica, and one of all
        wanted += [candidates[self._cursor_rotation % len(candidates)] for candidates in pools if candidates]
        return cursors + [self._cursor(incarnation) for incarnation in dict.fromkeys(wanted)]

    def _cursor(self, incarnation: Incarnation) -> CounterCursor:
        replica = self.replicas[incarnation]
        return CounterCursor(incarnation.name, incarnation.number, replica.version, replica.complete_up_to)

    def deltas_for(self, cursors: Sequence[CounterCursor], now: float) -> list[CounterDelta]:
        """Returns the answer to the cursors of a ping, limited in bytes.

        The answer contains this incarnation's counters, the requested replicas, and the versions of some
        further replicas.
        """
        by_number = {(cursor.name, cursor.number): cursor for cursor in cursors[:MAX_REPLICAS_SENT]}
        own_cursor = by_number.pop((self.incarnation.name, self.incarnation.number), None)
        writer = DeltaWriter()
        writer.write_own(self._own_delta(own_cursor, now), self.own)
        wanted = [self._by_number[key] for key in by_number if key in self._by_number]
        others = dict.fromkeys(wanted + self._next_replicas(MAX_REPLICAS_SENT - len(wanted)))
        for incarnation in others:
            replica = self.replicas[incarnation]
            if replica.as_of is None:
                continue
            cursor = by_number.get((incarnation.name, incarnation.number))
            delta = self._replica_delta(incarnation, replica, replica.as_of, now)
            writer.write_replica(delta, replica, cursor)
        return writer.deltas

    def _own_delta(self, cursor: CounterCursor | None, now: float) -> CounterDelta:
        since_version = min(cursor.version, self.own.version) if cursor is not None else 0
        return CounterDelta(
            self.incarnation,
            since_version,
            cursor.after_key if cursor is not None else "",
            "",
            self.own.version,
            0,
            False,
            -1 if self._started_at is None else ceil_ms(now - self._started_at),
            {},
        )

    @staticmethod
    def _replica_delta(
        incarnation: Incarnation, replica: CounterReplica, as_of: float, now: float
    ) -> CounterDelta:
        started_ms_ago = -1 if replica.started_at is None else ceil_ms(now - replica.started_at)
        return CounterDelta(
            incarnation,
            replica.version,
            "",
            "",
            replica.version,
            ceil_ms(now - as_of),
            replica.ended,
            started_ms_ago,
            {},
        )

    def _next_replicas(self, count: int) -> list[Incarnation]:
        incarnations = list(self.replicas)
        selected = []
        for _ in range(min(count, len(incarnations))):
            self._send_rotation += 1
            selected.append(incarnations[self._send_rotation % len(incarnations)])
        return selected

    def snapshots(self, now: float, max_bytes: int = MAX_SNAPSHOT_BYTES) -> list[CounterSnapshot]:
        """Returns complete snapshots for a member of an older release, this incarnation's first.

        Snapshots beyond `max_bytes` are omitted, so that member's bound of the missing counts grows.
        """
        own = CounterSnapshot(self.incarnation, self.own.version, 0, False, dict(self.own.counts))
        selected = []
        for snapshot in [own, *self._replica_snapshots(now)]:
            size = max_snapshot_size(snapshot)
            if size <= max_bytes:
                max_bytes -= size
                selected.append(snapshot)
        return selected

    def _replica_snapshots(self, now: float) -> list[CounterSnapshot]:
        snapshots = []
        for incarnation in self._next_replicas(MAX_REPLICAS_SENT):
            replica = self.replicas[incarnation]
            if replica.as_of is None or replica.complete_up_to:
                continue  # contains counts of several versions
            age_ms = ceil_ms(now - replica.as_of)
            snapshots.append(
                CounterSnapshot(incarnation, replica.version, age_ms, replica.ended, replica.counts)
            )
        return snapshots
