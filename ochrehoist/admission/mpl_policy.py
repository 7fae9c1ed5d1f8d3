"""The multiprogramming limit (MPL): how many queued requests to start, by the LIGHT-APPROX policy.

LIGHT-APPROX ("Self-adaptive admission control policies for resource-sharing systems") tabulates the cheapest
decision for each queue length and concurrency. The paper's symbols correspond to these names:

    Q       queued: number of waiting requests
    K       running: number of running requests
    mu(n)   rates[n]: completions per second with n running
    p       zero_size_share: share of zero-size jobs in the size distribution H*(p)
    pi(Q,K) table[queued][running]: how many requests to start
"""

from ochrehoist.admission.service_rate import ServiceRateCurve
from ochrehoist.units import NS_PER_S

# Table entries: the number of starts minus one, since one start replaces a completed run and keeps K.
START_NONE = -1
START_ONE = 0
START_TWO = 1
REBUILD_INTERVAL_NS = 5 * NS_PER_S
ZERO_SIZE_SHARE = 0.25  # the paper's default
MAX_TABLE_QUEUE = 32  # longer queues use the last row; the limit no longer depends on their length there
FLOOR_RISE_DIVISOR = 4  # the floor rises by at most 1 + cores // FLOOR_RISE_DIVISOR per tick

Table = list[list[int]]


def light_approx_table(
    rates: list[float], max_queued: int, max_running: int, zero_size_share: float
) -> Table:
    """Returns the decision for each queue length and concurrency: START_NONE, START_ONE or START_TWO.

    `rates[n]` is the service rate with n running, for n up to `max_running` + 1.
    """
    one_nonzero, both_nonzero = 1 - zero_size_share, (1 - zero_size_share) ** 2
    both_zero = zero_size_share * zero_size_share
    costs = [_costs_without_queue(rates, max_running)]
    table = [[START_NONE] * (max_running + 1)]
    for queued in range(1, max_queued + 1):
        after_one = costs[-1]
        after_two = costs[queued - 2]  # used only if at least two are queued
        row_costs = [0.0] * (max_running + 1)
        row = [START_ONE] * (max_running + 1)
        # `jobs` is the number in the system besides the one started; at equal cost fewer are started.
        for running, jobs in enumerate(range(queued, queued + max_running), start=1):
            cost = jobs / rates[running] * one_nonzero + after_one[running]
            if queued > 1 and running < max_running:
                remaining = (1 - both_zero) * after_two[running + 1] + both_zero * after_two[running]
                if (two_cost := both_nonzero * jobs / rates[running + 1] + remaining) < cost:
                    cost, row[running] = two_cost, START_TWO
            if running > 1 and (none_cost := jobs / rates[running - 1] + row_costs[running - 1]) <= cost:
                cost, row[running] = none_cost, START_NONE
            row_costs[running] = cost
        costs.append(row_costs)
        table.append(row)
    return table


def _costs_without_queue(rates: list[float], max_running: int) -> list[float]:
    costs = [0.0, 0.0]
    for running in range(2, max_running + 1):
        costs.append(costs[-1] + (running - 1) / rates[running - 1])
    return costs


class MplPolicy:
    """Multiprogramming limit from a table of the service rates and a lower bound, the concurrency floor.

    The table is rebuilt every few seconds. The floor starts at the number of cores; each completion raises it
    by one while cores are idle and requests wait, and lowers it by one otherwise.
    """

    def __init__(self, cores: int, curve: ServiceRateCurve) -> None:
        """The table is empty until `begin` is called."""
        self.curve = curve
        self.floor = cores
        self._cores = cores
        self._remaining_rises = 0
        self._table: Table = []
        self._rebuilt_at_ns = 0
        self.reset_rises()

    def begin(self, now_ns: int) -> None:
        """Builds the first table."""
        self._rebuilt_at_ns = now_ns
        self.rebuild(now_ns)

    def rebuild(self, now_ns: int) -> None:
        """Builds the table from the service rates observed so far."""
        curve = self.curve
        curve.decay((now_ns - self._rebuilt_at_ns) / NS_PER_S)
        self._rebuilt_at_ns = now_ns
        rates = [curve.rate_per_s(n) for n in range(curve.max_concurrency + 2)]
        self._table = light_approx_table(rates, MAX_TABLE_QUEUE, curve.max_concurrency, ZERO_SIZE_SHARE)

    def starts(self, now_ns: int, queued: int, running: int) -> int:
        """Returns how many queued requests to start according to the table, regardless of the floor."""
        if now_ns - self._rebuilt_at_ns >= REBUILD_INTERVAL_NS:
            self.rebuild(now_ns)
        row = self._table[min(queued, MAX_TABLE_QUEUE)]
        return row[min(running + 1, len(row) - 1)] + 1

    def saturated_rate_per_s(self, running: int) -> float:
        """Returns the completions per second while all cores are busy."""
        curve = self.curve
        return curve.rate_per_s(max(self.floor, min(running, curve.max_concurrency)))

    def reset_rises(self) -> None:
        """Resets the limit on rises of the floor, after a new measurement of idle cores."""
        self._remaining_rises = 1 + self._cores // FLOOR_RISE_DIVISOR

    def adjust_floor(self, cores_idle: bool) -> None:
        """Adjusts the floor on a completion: up while cores are idle and the tick allows it, else down."""
        change = (self._remaining_rises > 0) if cores_idle else -1
        self._remaining_rises -= max(0, change)
        self.set_floor(self.floor + change)

    def set_floor(self, floor: int) -> None:
        """Sets the floor, limited to the range from the number of cores to the maximum concurrency."""
        self.floor = max(self._cores, min(self.curve.max_concurrency, floor))
