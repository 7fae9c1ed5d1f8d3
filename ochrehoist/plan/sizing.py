"""How many machines of one kind a fleet needs for a goal, and how many to survive the loss of one."""

from collections.abc import Sequence
from typing import TypedDict

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.fleet_changes import with_workers, without_strongest
from ochrehoist.plan.runs import Progress, Run, execute_all, interval_of

MAX_WORKERS = 2000  # that the search tries before it gives up
LOSS_SEARCH_FACTOR = 2  # of what is needed without a loss, up to which the search with one goes
LOSS_SEARCH_EXTRA = 8  # machines beyond that


class FleetSize(TypedDict):
    """The answer; goodput is the lower end of its interval, in `tried` by the number of machines."""

    kind: str
    goal: float
    needed: int
    with_one_lost: int
    others: int
    goodput: float
    tried: dict[str, float]
    tried_one_lost: dict[str, float]


def find_size(
    fleet: Fleet,
    kind: str,
    goal: float,
    seeds: Sequence[int],
    duration_s: float,
    jobs: int,
    progress: Progress,
) -> FleetSize:
    """The smallest number of one kind, beside the others as they are, whose goodput is `goal`.

    Goodput is the lower end of its interval. The answer also has the number that is enough without any one
    machine.

    Raises:
        UnanswerableQuestionError: No number of machines reaches the goal, or the user stopped the search.
    """
    if not 0 < goal < 1:
        raise UnanswerableQuestionError.goal_out_of_range(goal)
    search = _SizeSearch(fleet, kind, goal, seeds, duration_s, jobs, progress)
    try:
        return search.run()
    except KeyboardInterrupt:
        if not search.known:
            raise
        (count, _), goodput = max(search.known.items(), key=lambda item: item[1])
        raise UnanswerableQuestionError.search_interrupted(count, kind, goodput) from None


class _SizeSearch:
    """A search by doubling and bisection.

    Attributes:
        known: The lower end of goodput by the number of machines, and whether the strongest was taken away.
    """

    def __init__(
        self,
        fleet: Fleet,
        kind: str,
        goal: float,
        seeds: Sequence[int],
        duration_s: float,
        jobs: int,
        progress: Progress,
    ) -> None:
        self._fleet = fleet
        self._kind = kind
        self._goal = goal
        self._seeds = seeds
        self._duration_s = duration_s
        self._jobs = jobs
        self._progress = progress
        self.known: dict[tuple[int, bool], float] = {}

    def run(self) -> FleetSize:
        """The answer; raises UnanswerableQuestionError."""
        others = sum(worker.kind != self._kind for worker in self._fleet.placed_workers)
        needed = self._find_needed(others)
        with_one_lost = self._find_with_one_lost(needed)
        known = sorted(self.known.items())
        return {
            "kind": self._kind,
            "goal": self._goal,
            "needed": needed,
            "with_one_lost": with_one_lost,
            "others": others,
            "goodput": self.known[needed, False],
            "tried": {str(count): round(goodput, 4) for (count, lost), goodput in known if not lost},
            "tried_one_lost": {str(count): round(goodput, 4) for (count, lost), goodput in known if lost},
        }

    def _find_needed(self, others: int) -> int:
        low = 0 if others else 1
        high = max(1, len(self._fleet.placed_workers) - others)
        while not self._reaches_goal(high):
            low = high + 1
            high *= 2
            if high > MAX_WORKERS:
                raise UnanswerableQuestionError.goal_not_reached(low - 1, self._kind)
        while low < high:
            middle = (low + high) // 2
            if middle + others and self._reaches_goal(middle):
                high = middle
            else:
                low = middle + 1
        return high

    def _find_with_one_lost(self, needed: int) -> int:
        count = needed
        while not self._reaches_goal(count, one_lost=True):
            count += 1
            if count > LOSS_SEARCH_FACTOR * needed + LOSS_SEARCH_EXTRA:
                raise UnanswerableQuestionError.loss_not_survived(needed, self._kind, count - 1)
        return count

    def _reaches_goal(self, count: int, one_lost: bool = False) -> bool:
        if (count, one_lost) not in self.known:
            fleet = with_workers(self._fleet, self._kind, count)
            if one_lost:
                if len(fleet.placed_workers) < 2:
                    return False
                fleet = without_strongest(fleet)
            self.known[count, one_lost] = self._lower_goodput(fleet)
            self._progress(len(self.known), 0)
        return self.known[count, one_lost] >= self._goal

    def _lower_goodput(self, fleet: Fleet) -> float:
        """The lower end of the interval of goodput over the seeds."""
        runs = [Run(fleet, seed, self._duration_s) for seed in self._seeds]
        results = list(execute_all(runs, self._jobs, lambda _done, _total: None))
        goodput = interval_of([values["goodput"] for values in results])
        return goodput.mean - (goodput.half_width or 0.0)
