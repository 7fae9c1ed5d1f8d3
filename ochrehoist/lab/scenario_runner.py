"""Runs a scenario with its fault schedule: real workers, every link through a proxy (asyncio)."""

import asyncio
import tempfile
from collections.abc import Callable
from pathlib import Path

from ochrehoist.lab.deployment import Deployment
from ochrehoist.lab.fault_injection import FaultInjector
from ochrehoist.lab.load_generator import LoadGenerator, ReportProgress
from ochrehoist.lab.machine_cores import RunClock
from ochrehoist.lab.observation import Observer
from ochrehoist.lab.outcomes import Call, RunRecord
from ochrehoist.lab.run_report import RunReport
from ochrehoist.lab.scenario import Scenario
from ochrehoist.lab.worker_process import ROOT

LAST_ANSWERS_S = 0.5  # after the load and the faults, until the statuses are read for the last time
FIRST_HEALTH_CHECKS = 2  # of each worker, before the load begins


class ScenarioRun:
    """One run.

    `root`: the tree that workers are run from, to compare versions; `prolongs`: whether the load is to go on
    after the scenario's duration, asked before each call from then on.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        root: Path = ROOT,
        prolongs: Callable[[Deployment], bool] = lambda _deployment: False,
    ) -> None:
        self.calls: list[Call] = []  # once it was run
        self._scenario = scenario
        self._seed = seed
        self._root = root
        self._prolongs = prolongs

    def run(self, report: ReportProgress = lambda _done: None) -> RunRecord:
        """Runs it, and returns the violations and figures. Every process that was started is ended.

        Raises RunAbortedError.
        """
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(self._run(Path(folder), report))

    async def _run(self, folder: Path, report: ReportProgress) -> RunRecord:
        clock = RunClock()
        deployment = Deployment(self._scenario, self._seed, folder, self._root, clock)
        observer = Observer(deployment.workers, clock)
        background: list[asyncio.Task[None]] = []
        try:
            await deployment.connect()
            load = LoadGenerator(self._scenario, self._seed, clock, deployment.call_targets())
            injector = FaultInjector(deployment, load)
            await deployment.start_all()
            clock.restart()
            deployment.begin_run()
            background.append(asyncio.create_task(observer.watch_lateness()))
            background.append(asyncio.create_task(observer.watch_statuses()))
            await self._begin_health_checks(load, clock, background)
            faults = [asyncio.create_task(injector.inject(fault)) for fault in self._scenario.faults]
            background += faults
            await load.run(report, lambda: self._prolongs(deployment))
            for fault in faults:
                await fault
            await asyncio.sleep(LAST_ANSWERS_S)
            ended_s = clock()
            final_statuses = await observer.final_statuses()
        finally:
            for task in background:
                task.cancel()
            deployment.close()
        self.calls = load.calls
        return RunReport(deployment, load, injector, observer, final_statuses, ended_s).record()

    async def _begin_health_checks(
        self, load: LoadGenerator, clock: RunClock, background: list[asyncio.Task[None]]
    ) -> None:
        """Where there are any, the clock begins anew once each worker was checked."""
        interval_s = self._scenario.balancer.check_s
        if not interval_s:
            return
        background += [asyncio.create_task(load.check_health(name)) for name in self._scenario.worker_names]
        await asyncio.sleep(FIRST_HEALTH_CHECKS * interval_s)
        clock.restart()
