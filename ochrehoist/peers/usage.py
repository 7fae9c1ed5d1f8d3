"""Use of a budget by one worker: each use is checked against the leases valid at its start. No I/O."""

from collections import deque
from dataclasses import dataclass

from ochrehoist.peers.budget import CLOCK_DRIFT, RATE_WINDOW_S
from ochrehoist.peers.leases import LeaseHolder

DEMAND_RETENTION_S = 2.0  # older demand is ignored
# A slot counts towards a rate only after all uses by an earlier holder have left the rate window.
RATE_WINDOW_WITH_DRIFT_S = RATE_WINDOW_S * (1 + CLOCK_DRIFT)


@dataclass(slots=True, frozen=True)
class Demand:
    """The uses that recent demand calls for, per second or simultaneous, and how many were denied."""

    wanted: int
    denied: int


@dataclass(slots=True)
class DemandSample:
    """A request for one use."""

    at: float
    granted: bool


class UsageMeter:
    """Meter of the uses of one budget by this incarnation; times in seconds of its steady clock."""

    def __init__(self, holder: LeaseHolder) -> None:
        self.holder = holder
        self.runs: dict[int, float] = {}  # by ticket: latest end of the run
        self.used_count = 0
        self.denied_count = 0
        self.max_used = 0  # simultaneous, or in one rate window
        self._uses: deque[float] = deque()
        self._recent_demand: deque[DemandSample] = deque()
        self._last_ticket = 0

    def _expire(self, now: float) -> None:
        while self._uses and self._uses[0] <= now - RATE_WINDOW_WITH_DRIFT_S:
            self._uses.popleft()
        while self._recent_demand and self._recent_demand[0].at <= now - DEMAND_RETENTION_S:
            self._recent_demand.popleft()

    def available(self, now: float) -> int:
        """Returns how many uses may begin now."""
        budget = self.holder.budget
        if budget.concurrent:
            return self.holder.amount(now, remaining_s=budget.max_run_s) - len(self.runs)
        self._expire(now)
        return self.holder.amount(now, held_for_s=RATE_WINDOW_WITH_DRIFT_S) - len(self._uses)

    def record_demand(self, now: float, granted: bool) -> None:
        """Counts demand for one use; `granted`: whether it was permitted."""
        self._recent_demand.append(DemandSample(now, granted))

    def acquire(self, now: float) -> int | None:
        """Returns a ticket for one use that begins now, or None if denied. `release` ends a run's ticket."""
        self._expire(now)
        granted = self.available(now) >= 1
        self.record_demand(now, granted)
        if not granted:
            self.denied_count += 1
            return None
        self.used_count += 1
        self._last_ticket += 1
        if self.holder.budget.concurrent:
            self.runs[self._last_ticket] = now + self.holder.budget.max_run_s
            self.max_used = max(self.max_used, len(self.runs))
        else:
            self._uses.append(now)
            self.max_used = max(self.max_used, len(self._uses))
        return self._last_ticket

    def release(self, ticket: int) -> None:
        """Ends the run of this ticket."""
        self.runs.pop(ticket, None)

    def transferable(self, now: float) -> int:
        """Returns the amount that may be given away now; the rest still covers the runs in progress."""
        budget = self.holder.budget
        if budget.concurrent:
            return max(0, self.holder.amount(now, remaining_s=budget.max_run_s) - len(self.runs))
        return self.holder.amount(now)

    def demand(self, now: float) -> Demand:
        """Returns the recent demand.

        For a concurrent budget, runs in progress plus denied ones; for a rate, the busier of the last two
        seconds.
        """
        self._expire(now)
        if self.holder.budget.concurrent:
            denied = sum(not sample.granted for sample in self._recent_demand)
            return Demand(len(self.runs) + denied, denied)
        last_second = [sample for sample in self._recent_demand if sample.at > now - 1]
        earlier_count = len(self._recent_demand) - len(last_second)
        denied = sum(not sample.granted for sample in last_second)
        return Demand(max(len(last_second), earlier_count), denied)
