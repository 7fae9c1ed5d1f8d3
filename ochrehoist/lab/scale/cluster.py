"""The running group of a scale run: its processes, commands to all, and what they report (asyncio)."""

import asyncio
import os
import statistics
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar

from ochrehoist.lab.hollow.protocol import (
    Command,
    EmptyProcessCost,
    Incarnations,
    Inspect,
    Inspection,
    IntroduceMembers,
    ListIncarnations,
    MeasureEmptyProcess,
    MembersIntroduced,
    ProcessDescription,
    ProcessSample,
    StartWorkers,
    TakeSample,
    WorkerDescription,
    WorkersStarting,
)
from ochrehoist.lab.process_info import resident_kb
from ochrehoist.lab.scale.measurements import GroupSample
from ochrehoist.lab.scale.processes import HollowProcess, RealWorker
from ochrehoist.lab.scale.results import KB_PER_MB, ClusterView, Convergence, RunFigures
from ochrehoist.lab.scale.spec import ScaleSpec
from ochrehoist.lab.scale.topology import BUDGET_AMOUNT, Topology
from ochrehoist.net.peers import PEER_TICK_INTERVAL_S

PROCESS_TIME_MARGIN_S = 30.0  # of wall time, by which processes outlast the run's limit
EMPTY_MEASUREMENT_S = 2.0  # of wall time
MAX_START_SPREAD_S = 5.0
START_INTERVAL_S = 0.02  # between two starts, where the members join each other
CONVERGENCE_CHECK_S = 0.5
FULL_HOLDING_FRACTION = 0.95  # of the budget's amount

ResultT = TypeVar("ResultT")


class ScaleCluster:
    """All members of one run, hollow workers in `process_count` processes. `root`: the tree that is run."""

    def __init__(
        self, spec: ScaleSpec, topology: Topology, folder: Path, root: Path, process_count: int
    ) -> None:
        self._spec = spec
        self.topology = topology
        self._folder = folder
        self._root = root
        self._process_count = process_count
        self._processes: list[HollowProcess] = []
        self._real: list[RealWorker] = []

    async def wait(self, duration_s: float) -> None:
        """Sleeps for a duration by the workers' clocks."""
        await asyncio.sleep(duration_s / self._spec.pace)

    async def broadcast(self, command: Command, result_type: type[ResultT]) -> list[ResultT]:
        """Sends a command to all processes of hollow workers, and returns their results."""
        requests = (process.request(command, result_type) for process in self._processes)
        return list(await asyncio.gather(*requests))

    # Starts and ends.

    async def start(self, figures: RunFigures, parallel_starts: int) -> None:
        """Starts all members, and fills in what the harness costs. Raises RunAbortedError."""
        spec = self._spec
        for description in self._process_descriptions():
            self._processes.append(HollowProcess(description, self._root))
        await asyncio.gather(*(process.start() for process in self._processes))
        measure = MeasureEmptyProcess(EMPTY_MEASUREMENT_S * spec.pace)
        empty = await self.broadcast(measure, EmptyProcessCost)
        shares = sum(cost.cpu_s / cost.duration_s for cost in empty)
        figures.empty_cpu_share = shares / spec.hollow_count
        await self._start_real_workers(parallel_starts)
        # Members that are introduced start at once, as all have to be there; else not all in one moment.
        spread_s = 0.0 if spec.met else min(MAX_START_SPREAD_S, START_INTERVAL_S * spec.members)
        starting = await self.broadcast(StartWorkers(spread_s), WorkersStarting)
        figures.base_mb = round(statistics.median(each.base_kb for each in starting) / KB_PER_MB, 1)
        configuration_kb = statistics.median(each.configuration_kb for each in starting)
        figures.settings_mb = round(configuration_kb / KB_PER_MB, 1)

    def _process_descriptions(self) -> Iterator[ProcessDescription]:
        """Workers are dealt to the processes in turn."""
        spec = self._spec
        workers = [
            WorkerDescription(name, self.topology.peers_table(name)) for name in self.topology.hollow_names
        ]
        for position in range(self._process_count):
            yield ProcessDescription(
                workers=workers[position :: self._process_count],
                seed=spec.seed,
                clock_rate=spec.pace,
                time_limit_s=spec.limit_s + PROCESS_TIME_MARGIN_S,
                requests_per_s=spec.uses,
                folder=str(self._folder),
                template=self.topology.template(),
            )

    async def _start_real_workers(self, parallel_starts: int) -> None:
        for name in self.topology.real_names:
            tables = self.topology.real_worker_tables(name)
            self._real.append(RealWorker(name, tables, self._folder, self._root))
        for first in range(0, len(self._real), parallel_starts):
            batch = self._real[first : first + parallel_starts]
            await asyncio.gather(*(worker.start(0.0) for worker in batch))

    async def introduce_all(self) -> int:
        """Introduces all hollow workers to each other; returns how many introductions were refused."""
        await self.wait(2 * PEER_TICK_INTERVAL_S)  # until each has a status to report
        lists = await self.broadcast(ListIncarnations(), Incarnations)
        members = [member for each in lists for member in each.members]
        introduced = await self.broadcast(IntroduceMembers(members), MembersIntroduced)
        return sum(each.refused_count for each in introduced)

    async def end(self) -> None:
        """Ends all processes, and waits for their ends."""
        for worker in self._real:
            worker.kill()
        await asyncio.gather(*(process.end() for process in self._processes))

    def resident_kb(self) -> int:
        """The memory of all processes, this one included."""
        pids = [process.pid for process in self._processes]
        pids += [worker.process.pid for worker in self._real if worker.process]
        return sum(resident_kb(pid) for pid in (*pids, os.getpid()) if pid is not None)

    # Figures.

    async def sample(self) -> GroupSample:
        """The counters of all members now."""
        real_samples = asyncio.gather(*(worker.sample() for worker in self._real))
        processes, real = await asyncio.gather(self.broadcast(TakeSample(), ProcessSample), real_samples)
        return GroupSample(time.monotonic(), processes, real)

    async def view(self) -> ClusterView:
        """How many others each hollow worker believes alive, and what they hold of the budget."""
        inspections = await self.broadcast(Inspect(), Inspection)
        alive = [count for inspection in inspections for count in inspection.alive_counts]
        faults: Counter[str] = Counter()
        for inspection in inspections:
            faults.update(inspection.faults)
        return ClusterView(
            hollow_count=len(alive),
            least_alive=min(alive, default=0),
            median_alive=statistics.median(alive) if alive else 0,
            complete_count=sum(count == self._spec.members - 1 for count in alive),
            held_amount=sum(inspection.held_amount for inspection in inspections),
            lateness_s=round(max(inspection.lateness_s for inspection in inspections), 3),
            faults=dict(faults),
            resident_mb=round(sum(inspection.resident_kb for inspection in inspections) / KB_PER_MB, 1),
        )

    async def wait_until_complete(self, time_limit_s: float) -> Convergence:
        """Waits until all members know all and the budget is held, or the time is over."""
        started = time.monotonic()
        while True:
            view = await self.view()
            elapsed_s = (time.monotonic() - started) * self._spec.pace
            complete = self._is_complete(view)
            if complete or elapsed_s > time_limit_s:
                rounded_s = round(elapsed_s, 2)
                return Convergence(rounded_s if complete else None, rounded_s, view)
            await self.wait(CONVERGENCE_CHECK_S)

    def _is_complete(self, view: ClusterView) -> bool:
        """Real workers hold a part of the budget, so that the share of the others says nothing then."""
        all_known = view.complete_count == self._spec.hollow_count
        budget_held = view.held_amount >= FULL_HOLDING_FRACTION * BUDGET_AMOUNT
        return all_known and (self._spec.real > 0 or budget_held)
