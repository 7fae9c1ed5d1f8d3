"""Slopes: the points that a probe measured, the lines through them, and where its limits are met."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from functools import partial
from statistics import fmean
from typing import Any

from benchmarks.scaling.fit import Crossing, Line, fitted_line, limit_crossing
from benchmarks.scaling.probe import Limit, Measures, Probe
from benchmarks.scaling.timing import in_child_process

MAX_ERROR_CHARACTERS = 200
FAR_BEYOND_GOAL = 10  # goals, from which on a crossing says nothing


@dataclass(frozen=True)
class Point:
    """What was measured at one size with one seed."""

    size: int
    seed: int
    measures: Measures


@dataclass(frozen=True)
class LimitCheck:
    """A limit of a probe, and where its measure meets it."""

    limit: Limit
    crossing: Crossing

    def share_of_goal(self, goal: float) -> float | None:
        """The crossing in parts of the goal; None where it lies nowhere, or far beyond the goal."""
        if self.crossing.size is None or self.crossing.size > FAR_BEYOND_GOAL * goal:
            return None
        return self.crossing.size / goal


@dataclass(frozen=True)
class Slope:
    """What came of one probe. `not_run`: points that could not be measured, and why."""

    name: str
    grows_with: str
    goal: float
    points: list[Point]
    not_run: dict[str, str]
    lines: dict[str, Line]
    limits: list[LimitCheck]

    @property
    def largest_size(self) -> int:
        """The largest size that was measured."""
        return max(point.size for point in self.points)

    def at_largest_size(self, measure: str) -> float:
        """The mean of a measure at the largest size."""
        largest = self.largest_size
        return fmean(point.measures[measure] for point in self.points if point.size == largest)

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Slope":
        """A slope that `to_json` wrote."""
        return cls(
            data["name"],
            data["grows_with"],
            data["goal"],
            [Point(**point) for point in data["points"]],
            data["not_run"],
            {measure: Line(**line) for measure, line in data["lines"].items()},
            [LimitCheck(Limit(**check["limit"]), Crossing(**check["crossing"])) for check in data["limits"]],
        )

    def to_json(self) -> dict[str, Any]:
        """The slope as JSON values."""
        return asdict(self)


def measured_slope(probe: Probe, seeds: int) -> Slope:
    """Measure a probe at all its sizes, each with so many seeds.

    A point that fails is reported and left out; what is left must still be four sizes, else ValueError.
    RuntimeError where no point could be measured.
    """
    points: list[Point] = []
    not_run: dict[str, str] = {}
    for size in probe.sizes:
        for seed in range(1, seeds + 1):
            try:
                measures = in_child_process(partial(probe.measure, size, seed))
            except RuntimeError as error:
                not_run[f"{size} with seed {seed}"] = str(error)[:MAX_ERROR_CHARACTERS]
                continue
            points.append(Point(size, seed, measures))
    if not points:
        message = f"no size could be run: {not_run}"
        raise RuntimeError(message)
    sizes = [point.size for point in points]
    lines = {measure: fitted_line(sizes, _values(points, measure)) for measure in points[0].measures}
    checks = [
        LimitCheck(limit, limit_crossing(sizes, _values(points, limit.measure), limit.most))
        for limit in probe.limits
    ]
    return Slope(probe.name, probe.grows_with, probe.goal, points, not_run, lines, checks)


def _values(points: Sequence[Point], measure: str) -> list[float]:
    return [point.measures[measure] for point in points]
