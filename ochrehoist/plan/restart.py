"""How many workers may restart at once at a load: by figures, and by events of the real decision module."""

import math
from collections.abc import Sequence
from statistics import mean
from typing import Any

from ochrehoist.config.fleet_description import Fleet
from ochrehoist.plan import analytic
from ochrehoist.plan.events import Trouble
from ochrehoist.plan.questions import Progress, Run, UnanswerableQuestionError, known

AT_S = 10.0  # s of the loss
AFTER_S = 6.0  # that is played after the last of them is warm


def spread(fleet: Fleet) -> list[int]:
    """Workers in the order in which they restart: sites and kinds in turn, so that no site gives all at
    once."""
    groups: dict[tuple[str, str], list[int]] = {}
    for n, p in enumerate(fleet.placed_workers):
        groups.setdefault((p.site, p.kind), []).append(n)
    out: list[int] = []
    while any(groups.values()):
        for key in sorted(groups, key=lambda k: -len(groups[k])):
            if groups[key]:
                out.append(groups[key].pop(0))
    return out


def by_figures(fleet: Fleet, goal: float) -> int:
    """The most whose cores the others can do without, warm ones alone counted, for `goal` of the work."""
    kinds = [fleet.kind(fleet.placed_workers[n].kind) for n in spread(fleet)]
    capacity = [k.cores * sum(k.speeds) / 2 for k in kinds]
    need = goal * fleet.load.rate * fleet.mean_work_s * (1 + fleet.intake.share) / analytic.USABLE
    left, count = sum(capacity), 0
    for c in capacity[:-1]:
        left -= c
        if left < need:
            break
        count += 1
    return count


def restart(
    fleet: Fleet, goal: float, down: float, seeds: Sequence[int], jobs: int, progress: Progress
) -> dict[str, Any]:
    """The most that may restart at once where the worth served until they are warm stays at `goal` of that
    before, in the worst of the runs; `down`: s for which each is gone."""
    if not 0 < goal < 1:
        raise UnanswerableQuestionError(f"a goal of {goal} is not between 0 and 1")
    total = len(fleet.placed_workers)
    if total < 2:
        raise UnanswerableQuestionError("a fleet of one has nobody to serve while it restarts")
    cold, order = max(k.cold_s for k in fleet.kinds), spread(fleet)
    until = AT_S + down + cold
    tried: dict[int, float] = {}

    def kept(count: int) -> float:
        if count not in tried:
            trouble = Trouble(AT_S, tuple(order[:count]), AT_S + down, "restart")
            runs = [Run(fleet, s, until + AFTER_S, troubles=(trouble,), recovery_from=AT_S) for s in seeds]
            shares = []
            for values in known(runs, jobs, lambda *_: None):
                during = [v for s, v in values["seconds"] if AT_S <= s < until]
                shares.append(mean(during) / max(1e-9, values["before"]))
            tried[count] = min(shares)
            progress(len(tried), 0)
        return tried[count]

    low, high = 0, total - 1
    guess = min(high, max(1, by_figures(fleet, goal)))
    for count in (guess, guess + 1, guess - 1):  # most often the figures are near
        if low < count <= high:
            low, high = (count, high) if kept(count) >= goal else (low, count - 1)
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if kept(middle) >= goal else (low, middle - 1)
    waves = math.ceil(total / low) if low else None
    return {
        "most": low,
        "of": total,
        "goal": goal,
        "down_s": down,
        "by_figures": by_figures(fleet, goal),
        "first": [fleet.placed_workers[n].address for n in order[:low]],
        "waves": waves,
        "whole_s": None if waves is None else round(waves * (down + cold), 1),
        "tried": {str(n): round(v, 4) for n, v in sorted(tried.items())},
    }
