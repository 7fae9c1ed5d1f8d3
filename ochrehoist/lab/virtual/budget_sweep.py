"""Seeded schedules of faults for fleets that use budgets: whether any budget is ever exceeded."""

from dataclasses import dataclass
from random import Random

from ochrehoist.lab.virtual.budget_oracle import BudgetExceededError
from ochrehoist.lab.virtual.fault_schedule import schedule_faults
from ochrehoist.lab.virtual.world import Node, World
from ochrehoist.peers.budget import Budget

DURATION_S = 14.0
RATE_BUDGET = "rate"
RUNS_BUDGET = "runs"
MAX_RUN_S = 0.6
MIN_RUN_S = 0.05
CLOCK_MARGIN = 1.02  # by which a run stays below the time that its lease allows for
USES_OF_HUNGRY_MEMBER = 4  # in a tick


@dataclass(frozen=True)
class SeedResult:
    """What came of one seed; `violation` says which rule was broken, if any."""

    seed: int
    violation: str | None
    use_count: int


def run_schedule(seed: int, duration_s: float = DURATION_S) -> World:
    """Runs 3 to 6 members with a budget of a rate and one of runs, which all want unevenly, under faults.

    Raises BudgetExceededError.
    """
    random = Random(f"{seed}/plan")
    count = random.randint(3, 6)
    names = tuple(f"w{number:03d}" for number in range(count))
    budgets = _draw_budgets(random, names)
    world = World(seed, budgets, addresses_known=random.random() < 0.6)
    world.start_fleet(count)
    hungry = random.sample(names, random.randint(1, count))

    def use_budgets(node: Node) -> None:
        for _ in range(USES_OF_HUNGRY_MEMBER if node.name in hungry else 1):
            world.use_budget(node, RATE_BUDGET)
            if random.random() < 0.5:
                run_s = random.uniform(MIN_RUN_S, MAX_RUN_S) / CLOCK_MARGIN
                world.use_budget(node, RUNS_BUDGET, run_s)

    world.observe_ticks(use_budgets)
    schedule_faults(world, world.random.faults, duration_s)
    world.run(duration_s)
    return world


def _draw_budgets(random: Random, names: tuple[str, ...]) -> tuple[Budget, Budget]:
    grantors = names if random.random() < 0.6 else names[:3]
    rate = Budget(
        RATE_BUDGET,
        random.choice((7, 24, 60)),
        grantors,
        lease_s=random.choice((0.8, 2.0)),
        floor_fraction=random.choice((0.0, 0.25, 0.5)),
        floor_lease_s=random.choice((1.5, 5.0)),
    )
    runs = Budget(
        RUNS_BUDGET,
        random.choice((5, 12)),
        grantors,
        concurrent=True,
        lease_s=0.8,
        floor_lease_s=2.0,
        max_run_s=MAX_RUN_S,
    )
    return rate, runs


def check_seed(seed: int) -> SeedResult:
    """Runs the schedule of a seed."""
    try:
        world = run_schedule(seed)
    except BudgetExceededError as error:
        return SeedResult(seed, str(error), 0)
    return SeedResult(seed, None, sum(world.oracle.use_counts.values()))
