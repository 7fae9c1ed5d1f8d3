"""What a stand-in balancer knows of its workers, and which it picks, by health checks, agents and refusals.

It behaves as HAProxy's documentation says: an agent's line sets weight, drain and down, its silence says
nothing, and a check that cannot connect counts towards `fall`. No I/O.
"""

import re
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Annotated, Literal

import xxhash
from pydantic import Field

from ochrehoist.config.fleet_description import DescriptionTable
from ochrehoist.plan.routing import rendezvous

AGENT_LINE = re.compile(rb"(?P<word>up|ready|drain|down|stopped)?\s*(?:(?P<weight>\d{1,3})%)?\s*$")
DOWN_WORDS = (b"down", b"stopped")
MAX_WEIGHT = 100


class BalancerSettings(DescriptionTable):
    """The `[balancer]` table of a scenario. `check_s`: between two health checks of each worker; 0: none."""

    choice: Literal["round", "weighted", "subject"] = "round"
    check_s: Annotated[float, Field(ge=0)] = 0.0
    fall: Annotated[int, Field(ge=1, le=10)] = 2
    rise: Annotated[int, Field(ge=1, le=10)] = 2
    redispatch: bool = False  # a refused connection goes to another worker at once, within the same attempt


@dataclass(slots=True)
class Backend:
    """One worker, as the balancer knows it."""

    name: str
    weight: int = MAX_WEIGHT
    down: bool = False  # by health checks
    agent_down: bool = False
    draining: bool = False
    failed_checks: int = 0  # in a row
    passed_checks: int = 0
    current_weight: int = 0  # of the smooth weighted round robin

    @property
    def usable(self) -> bool:
        """Whether it takes new requests."""
        return not (self.down or self.agent_down or self.draining) and self.weight > 0


class Balancer:
    """Picks a worker for each request."""

    def __init__(self, names: Iterable[str], settings: BalancerSettings) -> None:
        self._backends = {name: Backend(name) for name in names}
        self._settings = settings
        self._turn = 0  # of the plain round robin

    def weight(self, name: str) -> int:
        """The weight of a worker, by its agent."""
        return self._backends[name].weight

    # What it learns.

    def agent_reported(self, name: str, line: bytes) -> None:
        """A line of a worker's agent; one that cannot be read changes nothing."""
        match = AGENT_LINE.fullmatch(line.strip().lower())
        if match is None:
            return
        backend = self._backends[name]
        if match["weight"] is not None:
            backend.weight = min(MAX_WEIGHT, int(match["weight"]))
        if match["word"] is not None:
            backend.draining = match["word"] == b"drain"
            backend.agent_down = match["word"] in DOWN_WORDS

    def health_checked(self, name: str, healthy: bool) -> None:
        """The result of one health check."""
        backend = self._backends[name]
        backend.failed_checks = 0 if healthy else backend.failed_checks + 1
        backend.passed_checks = backend.passed_checks + 1 if healthy else 0
        if backend.failed_checks >= self._settings.fall:
            backend.down = True
        elif backend.passed_checks >= self._settings.rise:
            backend.down = False

    def connection_refused(self, name: str) -> None:
        """A connection for a request was refused: counts as a failed check."""
        if self._settings.check_s:
            self.health_checked(name, False)

    # Which it picks.

    def pick(self, subject: int, excluded: Collection[str] = ()) -> str:
        """The worker for a request about a subject; any at all where none is usable."""
        candidates = self._candidates(excluded)
        if self._settings.choice == "subject":
            return self._pick_by_subject(subject, candidates)
        if self._settings.choice == "round":
            return self._pick_in_turn(candidates)
        return self._pick_by_weight(candidates)

    def _candidates(self, excluded: Collection[str]) -> list[Backend]:
        others = [backend for backend in self._backends.values() if backend.name not in excluded]
        usable = [backend for backend in others if backend.usable]
        up = [backend for backend in others if not backend.down]
        return usable or up or others or list(self._backends.values())

    def _pick_in_turn(self, candidates: list[Backend]) -> str:
        self._turn += 1
        names = list(self._backends)
        first = self._turn % len(names)
        candidate_names = {backend.name for backend in candidates}
        return next(name for name in names[first:] + names[:first] if name in candidate_names)

    @staticmethod
    def _pick_by_weight(candidates: list[Backend]) -> str:
        """Smooth weighted round robin."""
        for backend in candidates:
            backend.current_weight += max(1, backend.weight)
        best = max(candidates, key=lambda backend: backend.current_weight)
        best.current_weight -= sum(max(1, backend.weight) for backend in candidates)
        return best.name

    def _pick_by_subject(self, subject: int, candidates: list[Backend]) -> str:
        """The same worker for a subject while it is there; less weight moves a part of the subjects."""
        numbers = {name: number for number, name in enumerate(self._backends)}
        remaining = {numbers[backend.name]: backend for backend in candidates}
        while len(remaining) > 1:
            first = remaining[rendezvous(subject, list(remaining))]
            share = xxhash.xxh3_64_intdigest(f"{subject}/{first.name}".encode()) % MAX_WEIGHT
            if share < first.weight:
                return first.name
            del remaining[numbers[first.name]]
        return next(iter(remaining.values())).name
