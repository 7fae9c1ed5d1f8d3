"""Steps of sites that recover at once, which the step lease must keep apart. No I/O; times in s."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from ochrehoist.sites.step_lease import STEP_LEASE_DURATION_S


class SiteStep(Protocol):
    """A site stepped up its load."""

    @property
    def at_s(self) -> float:
        """When."""
        ...

    @property
    def site(self) -> str:
        """Which site."""
        ...


StepT = TypeVar("StepT", bound=SiteStep)


@dataclass(frozen=True)
class Interleaving(Generic[StepT]):
    """Two steps of one site, and those of others between them, all within half a step lease."""

    first: StepT
    between: list[StepT]
    last: StepT


def find_interleavings(steps: Sequence[StepT]) -> Iterator[Interleaving[StepT]]:
    """At most one for each step; `steps` are in order of time."""
    for position, first in enumerate(steps):
        between: list[StepT] = []
        for later in steps[position + 1 :]:
            if later.at_s - first.at_s >= STEP_LEASE_DURATION_S / 2:
                break
            if later.site != first.site:
                between.append(later)
            elif between:
                yield Interleaving(first, between, later)
                break
