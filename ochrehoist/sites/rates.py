"""Exponentially decaying rates, and a hash that is the same at all workers."""

import math

import xxhash

_HASH_RANGE = 2**64


class DecayingRate:
    """An exponentially weighted rate per second with the time constant `span_s`.

    The times passed to `add` and `read` must not decrease.
    """

    __slots__ = ("_span_s", "_updated_at", "_value")

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Adds `amount` at time `now`."""
        self.read(now)
        self._value += amount / self._span_s

    def read(self, now: float) -> float:
        """Returns the rate per second at time `now`."""
        if now > self._updated_at:
            self._value *= math.exp((self._updated_at - now) / self._span_s)
            self._updated_at = now
        return self._value


def hash_fraction(*parts: object) -> float:
    """Returns a hash of `parts` in [0, 1) that is the same at every worker."""
    return xxhash.xxh3_64_intdigest("\0".join(map(str, parts)).encode()) / _HASH_RANGE
