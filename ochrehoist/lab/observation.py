"""What is observed during a run: the workers' statuses, and how late this process itself is (asyncio)."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

from ochrehoist.lab.deployment import AnyWorker
from ochrehoist.lab.machine_cores import RunClock
from ochrehoist.lab.outcomes import SlotHolding
from ochrehoist.lab.site_invariants import ObservedStatus

LATENESS_CHECK_S = 0.02
STATUS_INTERVAL_S = 0.25

Status = dict[str, Any]


class Observer:
    """Reads the statuses of all workers again and again."""

    def __init__(self, workers: Mapping[str, AnyWorker], clock: RunClock) -> None:
        self.lateness_s = 0.0  # of this process, at most
        self.statuses: list[ObservedStatus] = []
        self.slot_holdings: list[SlotHolding] = []
        self._workers = workers
        self._clock = clock

    async def watch_lateness(self) -> None:
        """Measures for ever how late this process is."""
        while True:
            before = self._clock()
            await asyncio.sleep(LATENESS_CHECK_S)
            self.lateness_s = max(self.lateness_s, self._clock() - before - LATENESS_CHECK_S)

    async def watch_statuses(self) -> None:
        """Reads the statuses for ever, of workers that can answer."""
        while True:
            await asyncio.sleep(STATUS_INTERVAL_S)
            for name, worker in self._workers.items():
                if not worker.paused and worker.is_running:
                    with suppress(OSError, KeyError):
                        await self._read_status(name, worker)

    async def _read_status(self, name: str, worker: AnyWorker) -> None:
        """What a worker says that it holds, it held for the time that it says, up to when it was asked."""
        process_number = len(worker.starts_s) - 1
        before = self._clock()
        status = await worker.status()
        after = self._clock()
        self.statuses.append(ObservedStatus(after, name, status))
        budgets = (status.get("peers") or {"budgets": {}})["budgets"]
        for budget, view in budgets.items():
            self.slot_holdings += [
                SlotHolding(budget, slot, name, process_number, after - held_for_s, before)
                for slot, held_for_s in view["rights"].items()
            ]

    def peak_holding(self, budget: str) -> int:
        """The most that all workers held of a budget together, as far as it was seen."""
        held: Counter[int] = Counter()
        for observed in self.statuses:
            interval = round(observed.at_s / STATUS_INTERVAL_S)
            held[interval] += observed.status["peers"]["budgets"][budget]["held"]
        return max(held.values(), default=0)

    async def final_statuses(self) -> dict[str, Status]:
        """The statuses now, of workers that answer."""
        statuses: dict[str, Status] = {}
        for name, worker in self._workers.items():
            with suppress(OSError, KeyError):
                statuses[name] = await worker.status()
        return statuses
