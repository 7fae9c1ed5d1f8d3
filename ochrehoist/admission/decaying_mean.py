"""Exponentially decaying mean."""

from math import exp

from ochrehoist.units import NS_PER_S


class DecayingMean:
    """A mean of samples whose weights decay exponentially with their age."""

    __slots__ = ("_decay_time_ns", "_updated_at_ns", "value", "weight")

    def __init__(self, decay_time_s: float, initial_value: float = 0.0, initial_weight: float = 0.0) -> None:
        """`decay_time_s` is the time constant; the initial value counts as `initial_weight` samples."""
        self._decay_time_ns = decay_time_s * NS_PER_S
        self.value = initial_value
        self.weight = initial_weight
        self._updated_at_ns: int | None = None  # None: the initial value does not age before the first sample

    def add(self, now_ns: int, sample: float) -> None:
        """Adds a sample with weight 1."""
        negative_age_ns = (self._updated_at_ns or now_ns) - now_ns
        self.weight = self.weight * exp(negative_age_ns / self._decay_time_ns) + 1
        self.value = self.value + (sample - self.value) / self.weight
        self._updated_at_ns = now_ns

    def restore(self, now_ns: int, value: float, weight: float) -> None:
        """Sets a mean that was learned elsewhere, as if its last sample were taken now."""
        self.value = value
        self.weight = weight
        self._updated_at_ns = now_ns
