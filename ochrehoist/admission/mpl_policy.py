"""How many queued requests to start: the multiprogramming limit (MPL) by the LIGHT-APPROX policy.

LIGHT-APPROX ("Self-adaptive admission control policies for resource-sharing systems") tabulates the cheapest
choice for each length of the queue and each concurrency. The paper's symbols and the names here:

    Q       queued: requests that wait
    K       running: requests that run
    mu(n)   rates[n]: completions per second with n running
    p       zero_size_share: share of zero-size work of the size distribution H*(p)
    pi(Q,K) table[queued][running]: what to start
"""

from ochrehoist.admission.service_rate import ServiceRateCurve
from ochrehoist.units import NS_PER_S

# Entries of the table: starts beyond the one that keeps K.
START_NONE = -1
START_ONE = 0
START_TWO = 1
REBUILD_INTERVAL_NS = 5 * NS_PER_S
ZERO_SIZE_SHARE = 0.25  # the paper's default
MAX_TABLE_QUEUE = 32  # rows of the table; longer queues read the last one, where K is pinned
CLIMB_DIVISOR = 4  # the floor climbs by at most 1/CLIMB_SHARE of the cores from tick to tick

Table = list[list[int]]


def light_approx_table(
    rates: list[float], max_queued: int, max_running: int, zero_size_share: float
) -> Table:
    """The policy by queue length and concurrency: START_NONE, START_ONE or START_TWO.

    `rates[n]` is the service rate with n running, for n up to `max_running` + 1.
    """
    one_more, two_more = 1 - zero_size_share, (1 - zero_size_share) ** 2
    both_zero = zero_size_share * zero_size_share
    costs = [_costs_without_queue(rates, max_running)]
    table = [[START_NONE] * (max_running + 1)]
    for queued in range(1, max_queued + 1):
        after_one = costs[-1]
        after_two = costs[queued - 2]  # read from two queued on
        row_costs = [0.0] * (max_running + 1)
        row = [START_ONE] * (max_running + 1)
        # `jobs` are those in the system beside the one started; of equal costs fewer starts are taken.
        for running, jobs in enumerate(range(queued, queued + max_running), start=1):
            cost = jobs / rates[running] * one_more + after_one[running]
            if queued > 1 and running < max_running:
                remaining = (1 - both_zero) * after_two[running + 1] + both_zero * after_two[running]
                if (two_cost := two_more * jobs / rates[running + 1] + remaining) < cost:
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
    """The table, rebuilt from the service rates every few seconds, and a floor of the concurrency.

    The floor starts at the number of cores and climbs by one with each completion while cores idle and
    requests wait; otherwise each completion lowers it again.
    """

    def __init__(self, cores: int, curve: ServiceRateCurve) -> None:
        """The table is empty until the first `rebuild`."""
        self.curve = curve
        self.floor = cores
        self._cores = cores
        self._remaining_climbs = 0
        self._table: Table = []
        self._rebuilt_at_ns = 0
        self.reset_climbs()

    def begin(self, now_ns: int) -> None:
        """Builds the first table."""
        self._rebuilt_at_ns = now_ns
        self.rebuild(now_ns)

    def rebuild(self, now_ns: int) -> None:
        """Builds the table from what was observed until now."""
        curve = self.curve
        curve.decay((now_ns - self._rebuilt_at_ns) / NS_PER_S)
        self._rebuilt_at_ns = now_ns
        rates = [curve.rate_per_s(n) for n in range(curve.max_concurrency + 2)]
        self._table = light_approx_table(rates, MAX_TABLE_QUEUE, curve.max_concurrency, ZERO_SIZE_SHARE)

    def starts(self, now_ns: int, queued: int, running: int) -> int:
        """How many of so many queued requests to start beside so many running ones, by the table alone."""
        if now_ns - self._rebuilt_at_ns >= REBUILD_INTERVAL_NS:
            self.rebuild(now_ns)
        row = self._table[min(queued, MAX_TABLE_QUEUE)]
        return row[min(running + 1, len(row) - 1)] + 1

    def saturated_rate_per_s(self, running: int) -> float:
        """Completions per second with the cores full."""
        curve = self.curve
        return curve.rate_per_s(max(self.floor, min(running, curve.max_concurrency)))

    def reset_climbs(self) -> None:
        """Lets the floor climb again: a new gauge tells whether cores idle."""
        self._remaining_climbs = 1 + self._cores // CLIMB_DIVISOR

    def adjust_floor(self, cores_idle: bool) -> None:
        """At a completion: up while cores idle, as far as one gauge allows, down otherwise."""
        change = (self._remaining_climbs > 0) if cores_idle else -1
        self._remaining_climbs -= max(0, change)
        self.set_floor(self.floor + change)

    def set_floor(self, floor: int) -> None:
        """Sets the floor, within what the instance can bear."""
        self.floor = max(self._cores, min(self.curve.max_concurrency, floor))
