"""How many workers may restart at once at a load: by queueing theory, and by simulation."""

import math
from collections.abc import Sequence
from statistics import mean
from typing import TypedDict

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.fleet_run import Outage
from ochrehoist.plan.in_time_estimate import USABLE_SHARE
from ochrehoist.plan.runs import Progress, Run, execute_until_interrupted

RESTART_AT_S = 10.0  # since the start of a run
OBSERVED_AFTER_S = 6.0  # after the last worker is warm
MIN_GOODPUT = 1e-9


class RollingRestart(TypedDict):
    """The answer; `first` are addresses, `tried` the share kept in the worst run by the number at once."""

    most: int
    of: int
    goal: float
    down_s: float
    by_figures: int
    first: list[str]
    waves: int | None
    whole_s: float | None
    tried: dict[str, float]


def restart_order(fleet: Fleet) -> list[int]:
    """Numbers of the workers as they restart: sites and kinds in turn, so that no site loses all at once."""
    groups: dict[tuple[str, str], list[int]] = {}
    for number, placed in enumerate(fleet.placed_workers):
        groups.setdefault((placed.site, placed.kind), []).append(number)
    order: list[int] = []
    while any(groups.values()):
        by_size = sorted(groups.values(), key=lambda group: -len(group))
        order += [group.pop(0) for group in by_size if group]
    return order


def estimate_concurrent_restarts(fleet: Fleet, goal: float) -> int:
    """The most whose cores the others can do without, for `goal` of the work; only warm ones are counted."""
    kinds = [fleet.kind(fleet.placed_workers[number].kind) for number in restart_order(fleet)]
    capacities = [kind.cores * sum(kind.speed_range) / 2 for kind in kinds]
    needed = goal * fleet.load.rate * fleet.mean_work_s * (1 + fleet.intake.share) / USABLE_SHARE
    left = sum(capacities)
    count = 0
    for capacity in capacities[:-1]:
        left -= capacity
        if left < needed:
            break
        count += 1
    return count


def find_concurrent_restarts(
    fleet: Fleet, goal: float, down_s: float, seeds: Sequence[int], jobs: int, progress: Progress
) -> RollingRestart:
    """The most that may restart at once, each gone for `down_s`.

    What is served until they are warm stays at `goal` of that before, by priority weight, in the worst of the
    runs.

    Raises:
        UnanswerableQuestionError: The goal is not between 0 and 1, or there is one worker only.
    """
    if not 0 < goal < 1:
        raise UnanswerableQuestionError.goal_out_of_range(goal)
    total = len(fleet.placed_workers)
    if total < 2:
        raise UnanswerableQuestionError.single_worker()
    search = _RestartSearch(fleet, goal, down_s, seeds, jobs, progress)
    most = search.run()
    waves = math.ceil(total / most) if most else None
    return {
        "most": most,
        "of": total,
        "goal": goal,
        "down_s": down_s,
        "by_figures": estimate_concurrent_restarts(fleet, goal),
        "first": [fleet.placed_workers[number].address for number in search.order[:most]],
        "waves": waves,
        "whole_s": None if waves is None else round(waves * (down_s + search.warmup_s), 1),
        "tried": {str(count): round(share, 4) for count, share in sorted(search.known.items())},
    }


class _RestartSearch:
    """A bisection that begins at what queueing theory says.

    Attributes:
        order: Numbers of the workers as they restart.
        warmup_s: Of the slowest kind.
        known: The share kept in the worst run, by the number at once.
    """

    def __init__(
        self, fleet: Fleet, goal: float, down_s: float, seeds: Sequence[int], jobs: int, progress: Progress
    ) -> None:
        self._fleet = fleet
        self._goal = goal
        self._back_at = RESTART_AT_S + down_s
        self._seeds = seeds
        self._jobs = jobs
        self._progress = progress
        self.order = restart_order(fleet)
        self.warmup_s = max(kind.cold_s for kind in fleet.kinds)
        self.known: dict[int, float] = {}

    def run(self) -> int:
        """The most that keep the goal; 0 where one is too many."""
        low = 0
        high = len(self._fleet.placed_workers) - 1
        guess = min(high, max(1, estimate_concurrent_restarts(self._fleet, self._goal)))
        for count in (guess, guess + 1, guess - 1):  # most often the theory is near
            if low < count <= high:
                low, high = self._narrowed(low, high, count)
        while low < high:
            low, high = self._narrowed(low, high, (low + high + 1) // 2)
        return low

    def _narrowed(self, low: int, high: int, count: int) -> tuple[int, int]:
        return (count, high) if self._retained_share(count) >= self._goal else (low, count - 1)

    def _retained_share(self, count: int) -> float:
        if count not in self.known:
            warm_at = self._back_at + self.warmup_s
            outage = Outage(RESTART_AT_S, tuple(self.order[:count]), self._back_at, "restart")
            runs = [
                Run(
                    self._fleet,
                    seed,
                    warm_at + OBSERVED_AFTER_S,
                    outages=(outage,),
                    recovery_from_s=RESTART_AT_S,
                )
                for seed in self._seeds
            ]
            shares = []
            for values in execute_until_interrupted(runs, self._jobs, lambda _done, _total: None):
                during = [share for second, share in values["seconds"] if RESTART_AT_S <= second < warm_at]
                shares.append(mean(during) / max(MIN_GOODPUT, values["before"]))
            self.known[count] = min(shares)
            self._progress(len(self.known), 0)
        return self.known[count]
