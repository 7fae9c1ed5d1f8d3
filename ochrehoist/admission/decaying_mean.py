"""A mean that favours what was seen last."""

from math import exp

from ochrehoist.units import NS_PER_S


class DecayingMean:
    """A mean of samples whose weights decay exponentially with their age."""

    __slots__ = ("_decay_ns", "_updated_at_ns", "value", "weight")

    def __init__(self, decay_s: float, first: float = 0.0, weight: float = 0.0) -> None:
        """A sample counts for 1/e after `memory_s`; `first` counts as `weight` samples of now."""
        self._decay_ns = decay_s * NS_PER_S
        self.value = first
        self.weight = weight
        self._updated_at_ns: int | None = None  # None until the first sample, whatever the clock shows

    def add(self, now_ns: int, sample: float) -> None:
        """Counts a sample."""
        age_ns = (self._updated_at_ns or now_ns) - now_ns
        self.weight = self.weight * exp(age_ns / self._decay_ns) + 1
        self.value = self.value + (sample - self.value) / self.weight
        self._updated_at_ns = now_ns

    def restore(self, now_ns: int, value: float, weight: float) -> None:
        """Continues from a mean that was learned elsewhere, as of now."""
        self.value = value
        self.weight = weight
        self._updated_at_ns = now_ns
