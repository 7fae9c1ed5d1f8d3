"""Counts the uses of budgets by true time, and fails where a budget is exceeded."""

from collections import Counter, deque
from collections.abc import Iterable
from heapq import heappop, heappush

from ochrehoist.errors import OchrehoistError
from ochrehoist.peers.budget import Budget

RATE_WINDOW_S = 1.0


class BudgetExceededError(OchrehoistError):
    """A budget was used beyond its amount; the text says which, when and by how much."""

    def __init__(self, budget: str, limit: int, count: int, now: float) -> None:
        super().__init__(f"budget {budget} over {limit}: {count} at {now:.3f}")


class BudgetOracle:
    """Sees all uses as a service would, whichever worker makes them."""

    def __init__(self, budgets: Iterable[Budget]) -> None:
        self.use_counts: Counter[str] = Counter()
        self.peak_counts: Counter[str] = Counter()  # the most at once, or within the window of a rate
        self._budgets = {budget.name: budget for budget in budgets}
        self._recent_uses: dict[str, deque[float]] = {}  # of rates
        self._run_ends: dict[str, list[float]] = {}  # of concurrent runs; heaps

    def is_concurrent(self, budget: str) -> bool:
        """Whether the budget counts runs at once, and no rate."""
        return self._budgets[budget].concurrent

    def record_use(self, name: str, now: float, duration_s: float = 0.0) -> None:
        """Raises BudgetExceededError."""
        budget = self._budgets[name]
        count = self._add_run(name, now, duration_s) if budget.concurrent else self._add_use(name, now)
        self.use_counts[name] += 1
        self.peak_counts[name] = max(self.peak_counts[name], count)
        if count > budget.amount:
            raise BudgetExceededError(name, budget.amount, count, now)

    def _add_run(self, name: str, now: float, duration_s: float) -> int:
        ends = self._run_ends.setdefault(name, [])
        while ends and ends[0] <= now:
            heappop(ends)
        heappush(ends, now + duration_s)
        return len(ends)

    def _add_use(self, name: str, now: float) -> int:
        recent = self._recent_uses.setdefault(name, deque())
        recent.append(now)
        while recent[0] <= now - RATE_WINDOW_S:
            recent.popleft()
        return len(recent)
