"""Real workers before three servers, of which one is 20 times slower, or gone: by fleet or each by itself."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from benchmarks.shared.revisions import NOW, Tree
from ochrehoist.lab.scenario import parse
from ochrehoist.lab.scenario_runner import ScenarioRun

SERVER = "s0"
FAULTS: dict[str, dict[str, Any]] = {
    "slow": {"at": 4, "kind": "slow", "who": [SERVER], "lasts": 6, "amount": 20.0},
    "dead": {"at": 4, "kind": "dead", "who": [SERVER], "lasts": 6},
}
RETRY_BUDGET = {"name": "again", "use": "repeats", "amount": 10, "floor_lease_s": 2.0}
# Work that is late once it is 20 times slower.
CLASSES = [
    {"name": "read", "share": 0.8, "work_ms": 100},
    {"name": "filing", "share": 0.2, "work_ms": 100, "worth": 3, "keyed": True},
]
EJECTED = "out"


@dataclass(frozen=True)
class EjectionFigures:
    """One scenario: goodput before, during and after the fault, runs, and when workers ejected the server."""

    quiet_goodput: float
    fault_goodput: float
    after_goodput: float
    runs_a_call: float
    runs_at_server: int
    ejections: int
    first_ejected_s: list[float]
    broken_invariants: int


def ejection_figures(
    trees: tuple[Tree, Tree], seeds: int
) -> Iterator[tuple[str, int, Tree, EjectionFigures]]:
    """Run each fault with each seed on each tree; the fault, the seed, the tree and what came of it."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    for fault in FAULTS:
        for seed in range(1, seeds + 1):
            for tree in trees:
                yield fault, seed, tree, measured_ejection(fault, seed, tree)


def measured_ejection(fault: str, seed: int, tree: Tree) -> EjectionFigures:
    """Run one fault: this tree as a fleet with a retry budget, an earlier one without."""
    with_peers = tree.name == NOW
    scenario = parse(
        {
            "name": fault,
            "seconds": 12,
            "workers": 6,
            "load": {"rate": 60.0},
            "classes": CLASSES,
            "peers": with_peers,
            "faults": [FAULTS[fault]],
            "budgets": [RETRY_BUDGET] if with_peers else [],
        }
    )
    verdict = ScenarioRun(scenario, seed, tree.root).run()
    ejections = [
        (worker, at_s)
        for at_s, worker, server, state, _ in verdict["judged"]
        if (server, state) == (SERVER, EJECTED)
    ]
    first_ejected_s: dict[str, float] = {}
    for worker, at_s in ejections:
        first_ejected_s[worker] = min(at_s, first_ejected_s.get(worker, at_s))
    goodput = verdict["goodput"]
    return EjectionFigures(
        quiet_goodput=goodput["quiet"]["all"],
        fault_goodput=goodput["faults"]["all"],
        after_goodput=goodput["after"]["all"],
        runs_a_call=sum(verdict["runs"].values()) / verdict["calls"],
        runs_at_server=verdict["runs"].get(SERVER, 0),
        ejections=len(ejections),
        first_ejected_s=sorted(first_ejected_s.values()),
        broken_invariants=len(verdict["broken"]),
    )
