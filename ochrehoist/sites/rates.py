"""Rates that forget by and by, and a hash that all workers agree on."""

import math

import xxhash

_HASH_RANGE = 2**64


class DecayingRate:
    """An amount a second; what came `span_s` ago counts for 1/e. Times never go back."""

    __slots__ = ("_span_s", "_updated_at", "_value")

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Counts an amount at this moment."""
        self.read(now)
        self._value += amount / self._span_s

    def read(self, now: float) -> float:
        """The rate at this moment."""
        if now > self._updated_at:
            self._value *= math.exp((self._updated_at - now) / self._span_s)
            self._updated_at = now
        return self._value


def hash_fraction(*parts: object) -> float:
    """From 0 to under 1, the same for the same parts at every worker."""
    return xxhash.xxh3_64_intdigest("\0".join(map(str, parts)).encode()) / _HASH_RANGE
