"""Counters of this incarnation: limited in number and size, with the version of each change. No I/O."""

from collections import Counter

MAX_KEYS = 512  # per incarnation; further keys are counted as OVERFLOW_KEY
OVERFLOW_KEY = "rest"
MAX_KEY_BYTES = 160
MAX_TOTAL_BYTES = 2000  # all keys and counts; beyond this, further tenants are counted together
COUNT_BYTES = 9  # upper bound for one encoded count
UNBOUNDED_KIND = "tenant/"  # prefix of keys whose number is not limited by the configuration
OTHER_TENANTS = "others"


class OwnCounters:
    """Grow-only counts by key. Keys beyond the size limits are counted together."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.version = 0  # incremented at each addition
        self.changed_at_version: dict[str, int] = {}
        self._free_bytes = MAX_TOTAL_BYTES
        self._sorted_keys: list[str] = []

    def add(self, key: str, count: int) -> None:
        """Adds to the count of `key`, which has the form kind/name/word."""
        if key not in self.counts:
            key = self._admit_key(key)
        self.counts[key] += count
        self.version += 1
        self.changed_at_version[key] = self.version

    def _admit_key(self, key: str) -> str:
        """Returns the key under which to count a new key: itself, or a shared one beyond the limits."""
        size = len(key.encode()) + COUNT_BYTES
        if key.startswith(UNBOUNDED_KIND) and (size > self._free_bytes or size > MAX_KEY_BYTES):
            word = key.rpartition("/")[2]
            key = f"{UNBOUNDED_KIND}{OTHER_TENANTS}/{word}"
            size = 0 if key in self.counts else len(key.encode()) + COUNT_BYTES
        max_keys = MAX_KEYS - 1 + (OVERFLOW_KEY in self.counts)
        is_full = key not in self.counts and len(self.counts) >= max_keys
        if not key or is_full or len(key.encode()) > MAX_KEY_BYTES:
            return OVERFLOW_KEY
        self._free_bytes -= size
        return key

    def sorted_keys(self) -> list[str]:
        """Returns all keys in order."""
        if len(self._sorted_keys) != len(self.counts):
            self._sorted_keys = sorted(self.counts)
        return self._sorted_keys
